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

// limits are the commands on what the fleet shares out.
func (a *atSender) limits() *cobra.Command {
	top := &cobra.Command{Use: "limits", Short: "limits that all senders keep together", RunE: needsVerb}
	reports := func() (all []fleet.LimitReport, err error) {
		return all, a.ask(http.MethodGet, "/limits", nil, &all)
	}
	list := &cobra.Command{Use: "list", Short: "each limit as this sender has it", Args: exactly(), RunE: func(c *cobra.Command, _ []string) error {
		all, err := reports()
		if err != nil {
			return err
		}
		return a.show(c, all, func(w io.Writer) {
			fmt.Fprintln(w, "LIMIT\tIS\tIN CHARGE\tHELD HERE\tIN USE\tWAITS\tUSED\tREFUSED")
			for _, l := range all {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", l.Key, l.Description, or(l.Owner, "nobody yet"), l.Granted, l.InUse, l.Waiting, l.Used, l.Rejected)
			}
		})
	}}
	show := &cobra.Command{Use: "show LIMIT", Short: "one limit: who holds what until when, and the bound; all of it where its authority is asked", Args: exactly("LIMIT"), RunE: func(c *cobra.Command, args []string) error {
		all, err := reports()
		if err != nil {
			return err
		}
		for _, l := range all {
			if l.Key == args[0] {
				return a.show(c, l, func(w io.Writer) { printLimit(w, l) })
			}
		}
		return fmt.Errorf("there is no limit %q; 'saffronyard limits list' names them", args[0])
	}}
	explain := &cobra.Command{Use: "explain DESTINATION", Short: "what holds back the calls to a destination", Args: exactly("DESTINATION"), RunE: func(c *cobra.Command, args []string) error {
		if _, err := destination(args[0]); err != nil {
			return err
		}
		all, err := reports()
		if err != nil {
			return err
		}
		var of []fleet.LimitReport
		for _, l := range all {
			if key := "destination " + args[0]; l.Key == key || strings.HasPrefix(l.Key, key+",") {
				of = append(of, l)
			}
		}
		return a.show(c, of, func(w io.Writer) {
			if len(of) == 0 {
				fmt.Fprintf(w, "no limit of the fleet names destination %s\n", args[0])
			}
			for _, l := range of {
				fmt.Fprintf(w, "%s\t%s\n", l.Key, l.Description)
				fmt.Fprintf(w, "\t%s\n", why(l))
			}
		})
	}}
	top.AddCommand(list, show, explain, a.setLimit())
	return top
}

// why says in words what a sender may do under a limit just now.
func why(l fleet.LimitReport) string {
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
	fmt.Fprintf(w, "in charge\t%s\n", or(l.Owner, "nobody yet"))
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

// setLimit has one limit of a destination take hold, by a change of the policy.
func (a *atSender) setLimit() *cobra.Command {
	var l fleetpolicy.Limit
	var span, lasts, transit, wait time.Duration
	var why string
	var dry, quiet, none bool
	c := &cobra.Command{Use: "set DESTINATION", Short: "limit a destination, everywhere or nowhere", Args: exactly("DESTINATION"), RunE: func(c *cobra.Command, args []string) error {
		d, err := destination(args[0])
		if err != nil {
			return err
		}
		r, err := a.report()
		if err != nil {
			return err
		}
		l.Span, l.MaxCallTime, l.TransitJitter = tomlfile.Span(span), tomlfile.Span(lasts), tomlfile.Span(transit)
		raw, err := fleetpolicy.WithLimit([]byte(r.Policy.Document), d, l, none)
		if err != nil {
			return err
		}
		p, err := parsed(string(raw))
		if err != nil {
			return err
		}
		if dry {
			return a.diff(c, r, p)
		}
		return a.propose(c, r.Policy.Version, 0, raw, why, wait, quiet)
	}}
	f := c.Flags()
	f.Float64Var(&l.Calls, "calls", 0, "calls in a span")
	f.Int64Var(&l.Bytes, "bytes", 0, "bytes of messages in a span")
	f.Int64Var(&l.Concurrent, "at-once", 0, "calls at once")
	f.Int64Var(&l.Daily, "a-day", 0, "calls in a day")
	f.DurationVar(&span, "span", 0, "of calls and bytes; default 1s")
	f.DurationVar(&lasts, "lasts", 0, "with --at-once: no call lasts longer")
	f.DurationVar(&transit, "transit", 0, "by so much may the ways of two calls differ; default 20ms")
	f.Int64Var(&l.CutOffExtra, "over", 0, "each sender that is cut off may go so much beyond")
	f.BoolVar(&l.Adaptive, "learn", false, "what the receiver tells counts where it is lower")
	f.BoolVar(&none, "none", false, "no limit of it any more")
	f.StringVar(&why, "why", "", "the reason, kept with it")
	f.DurationVar(&wait, "wait", 30*time.Second, "give up if it is not staged everywhere by then")
	f.BoolVar(&dry, "dry-run", false, "say what would change, and change nothing")
	f.BoolVar(&quiet, "quiet", false, "no progress")
	return c
}
