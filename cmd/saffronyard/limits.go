package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// limitsCommand is 'saffronyard limits': rate limits whose quota all senders share.
func (s *senderClient) limitsCommand() *cobra.Command {
	top := &cobra.Command{Use: "limits", Short: "limits that all senders keep together", RunE: requireSubcommand}
	top.AddCommand(s.limitsListCommand(), s.limitsShowCommand(), s.limitsExplainCommand(), s.limitsSetCommand())
	return top
}

func (s *senderClient) limitReports() (all []fleet.LimitReport, err error) {
	return all, s.request(http.MethodGet, "/limits", nil, &all)
}

func (s *senderClient) limitsListCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "each limit as this sender has it", Args: exactArgs(), RunE: func(c *cobra.Command, _ []string) error {
		all, err := s.limitReports()
		if err != nil {
			return err
		}
		return s.print(c, all, func(w io.Writer) {
			fmt.Fprintln(w, "LIMIT\tIS\tIN CHARGE\tHELD HERE\tIN USE\tWAITS\tUSED\tREFUSED")
			for _, l := range all {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", l.Key, l.Description, orElse(l.Owner, "nobody yet"), l.Granted, l.InUse, l.Waiting, l.Used, l.Rejected)
			}
		})
	}}
}

func (s *senderClient) limitsShowCommand() *cobra.Command {
	return &cobra.Command{Use: "show LIMIT", Short: "one limit: who holds what until when, and the bound; all of it where its authority is asked", Args: exactArgs("LIMIT"), RunE: func(c *cobra.Command, args []string) error {
		all, err := s.limitReports()
		if err != nil {
			return err
		}
		for _, l := range all {
			if l.Key == args[0] {
				return s.print(c, l, func(w io.Writer) { printLimit(w, l) })
			}
		}
		return notFound("there is no limit %q; 'saffronyard limits list' names them", args[0])
	}}
}

func (s *senderClient) limitsExplainCommand() *cobra.Command {
	return &cobra.Command{Use: "explain DESTINATION", Short: "what holds back the calls to a destination", Args: exactArgs("DESTINATION"), RunE: func(c *cobra.Command, args []string) error {
		if _, err := parseDestination(args[0]); err != nil {
			return err
		}
		all, err := s.limitReports()
		if err != nil {
			return err
		}
		var matching []fleet.LimitReport
		for _, l := range all {
			if key := "destination " + args[0]; l.Key == key || strings.HasPrefix(l.Key, key+",") {
				matching = append(matching, l)
			}
		}
		return s.print(c, matching, func(w io.Writer) {
			if len(matching) == 0 {
				fmt.Fprintf(w, "no limit of the fleet names destination %s\n", args[0])
			}
			for _, l := range matching {
				fmt.Fprintf(w, "%s\t%s\n", l.Key, l.Description)
				fmt.Fprintf(w, "\t%s\n", limitState(l))
			}
		})
	}}
}

// limitState describes what a sender may do at present under a limit.
func limitState(l fleet.LimitReport) string {
	switch {
	case l.Waiting == 0:
		return "nothing waits for it here"
	case l.Granted == 0 && l.Owner == "":
		return "nobody is in charge of it yet: senders are not heard of by a majority"
	case l.Granted == 0 && l.GraceMS > 0:
		return fmt.Sprintf("%s is in charge of it, and waits %v more until it knows what an earlier one lent", l.Owner, time.Duration(l.GraceMS)*time.Millisecond)
	case l.Granted == 0:
		return fmt.Sprintf("nothing is held here: %s, which is in charge, lends it to others, or can't be reached", l.Owner)
	case l.InUse >= l.Granted:
		return fmt.Sprintf("all %d that are held here are in use, or rest", l.Granted)
	}
	return fmt.Sprintf("%d of %d that are held here are free: the limit holds nothing back", l.Granted-l.InUse, l.Granted)
}

func printLimit(w io.Writer, l fleet.LimitReport) {
	fmt.Fprintf(w, "%s\t%s\n", l.Key, l.Description)
	fmt.Fprintf(w, "bound\t%s\n", l.Bound)
	fmt.Fprintf(w, "in charge\t%s\n", orElse(l.Owner, "nobody yet"))
	fmt.Fprintf(w, "here\t%d held, %v left; %d in use or at rest; %d wait; %d used, %d calls held back\n", l.Granted, time.Duration(l.RemainingMS)*time.Millisecond, l.InUse, l.Waiting, l.Used, l.Rejected)
	if l.Rotating {
		fmt.Fprintf(w, "\tthere are not enough for all: units go by turns\n")
	}
	if l.Outstanding != nil {
		fmt.Fprintf(w, "lent\t%d of %d are lent or at rest\n", *l.Outstanding, l.Units)
		if l.GraceMS > 0 {
			fmt.Fprintf(w, "\tnothing new is lent for %v: what an earlier authority lent may last\n", time.Duration(l.GraceMS)*time.Millisecond)
		}
		for _, h := range l.Grants {
			fmt.Fprintf(w, "%s\t%d held, %d at rest, free in %v at the latest; wants %d\n", h.Name, h.Units, h.Cooling, time.Duration(h.RemainingMS)*time.Millisecond, h.Wanted)
		}
	}
}

// limitsSetCommand is 'saffronyard limits set': it proposes a policy change that sets one limit of a destination.
func (s *senderClient) limitsSetCommand() *cobra.Command {
	var l fleetpolicy.Limit
	var span, lasts, transit time.Duration
	var none bool
	var change policyChange
	c := &cobra.Command{Use: "set DESTINATION", Short: "limit a destination, everywhere or nowhere", Args: exactArgs("DESTINATION"), RunE: func(c *cobra.Command, args []string) error {
		d, err := parseDestination(args[0])
		if err != nil {
			return err
		}
		r, err := s.report()
		if err != nil {
			return err
		}
		l.Span, l.MaxCallTime, l.TransitJitter = tomlfile.Span(span), tomlfile.Span(lasts), tomlfile.Span(transit)
		raw, err := fleetpolicy.WithLimit([]byte(r.Policy.Document), d, l, none)
		if err != nil {
			return err
		}
		p, err := parseDocument(string(raw))
		if err != nil {
			return err
		}
		if change.dryRun {
			return s.printDiff(c, r, p)
		}
		change.base, change.document = r.Policy.Version, raw
		return s.propose(c, change)
	}}
	f := c.Flags()
	f.Float64Var(&l.Calls, "calls", 0, "calls in a span")
	f.Int64Var(&l.Bytes, "bytes", 0, "bytes of messages in a span")
	f.Int64Var(&l.Concurrent, "at-once", 0, "calls at once")
	f.Int64Var(&l.Daily, "a-day", 0, "calls in a day")
	f.DurationVar(&span, "span", 0, "of calls and bytes; default 1s")
	f.DurationVar(&lasts, "lasts", 0, "with --at-once: no call lasts longer")
	f.DurationVar(&transit, "transit", 0, "by so much may the ways of two calls differ; default 20ms")
	f.Int64Var(&l.PartitionExtra, "over", 0, "each sender that is cut off may go so much beyond")
	f.BoolVar(&l.Adaptive, "learn", false, "what the receiver tells counts where it is lower")
	f.BoolVar(&none, "none", false, "no limit of it any more")
	change.addFlags(c)
	return c
}
