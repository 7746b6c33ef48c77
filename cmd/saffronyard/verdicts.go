package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"saffronyard.example/saffronyard/internal/fleet"
)

// verdictsCommand is 'saffronyard verdicts': the fleet's shared health status of receivers, and suspensions by operators.
func (s *senderClient) verdictsCommand() *cobra.Command {
	top := &cobra.Command{Use: "verdicts", Short: "what all senders hold of receivers together", RunE: requireSubcommand}
	top.AddCommand(s.verdictsListCommand(), s.verdictsShowCommand(),
		s.verdictChangeCommand("suspend", "have no sender begin a call to a destination, until it is lifted"),
		s.verdictChangeCommand("lift", "end a suspension"))
	return top
}

func (s *senderClient) verdictReports() (all []fleet.HealthReport, err error) {
	return all, s.request(http.MethodGet, "/verdicts", nil, &all)
}

func (s *senderClient) verdictsListCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "the verdicts that stand at this sender", Args: exactArgs(), RunE: func(c *cobra.Command, _ []string) error {
		all, err := s.verdictReports()
		if err != nil {
			return err
		}
		return s.print(c, all, func(w io.Writer) {
			fmt.Fprintln(w, "DESTINATION\tIS\tBY\tIN CHARGE\tWHY")
			for _, v := range all {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", v.Destination, v.Status, v.Author, orElse(v.Owner, "-"), v.Reason)
			}
		})
	}}
}

func (s *senderClient) verdictsShowCommand() *cobra.Command {
	return &cobra.Command{Use: "show DESTINATION", Short: "the verdicts on one destination, and how stale they can be", Args: exactArgs("DESTINATION"), RunE: func(c *cobra.Command, args []string) error {
		d, err := parseDestination(args[0])
		if err != nil {
			return err
		}
		all, err := s.verdictReports()
		if err != nil {
			return err
		}
		matching := []fleet.HealthReport{}
		for _, v := range all {
			if v.Destination == d {
				matching = append(matching, v)
			}
		}
		return s.print(c, matching, func(w io.Writer) { printVerdicts(w, d, matching) })
	}}
}

func printVerdicts(w io.Writer, destination uint32, verdicts []fleet.HealthReport) {
	if len(verdicts) == 0 {
		fmt.Fprintf(w, "no verdict stands on destination %d\n", destination)
	}
	for _, v := range verdicts {
		lasts := "until it is lifted"
		if v.TTLMS > 0 {
			lasts = fmt.Sprintf("for %v, unless it is said again", time.Duration(v.TTLMS)*time.Millisecond)
		}
		fmt.Fprintf(w, "%s\tby %s: %s\n", v.Status, v.Author, orElse(v.Reason, "no reason is given"))
		fmt.Fprintf(w, "since\tentry %d, said last in entry %d; it lasts %s\n", v.StartIndex, v.UpdateIndex, lasts)
		fmt.Fprintf(w, "in charge\t%s\n", orElse(v.Owner, "a person"))
		fmt.Fprintf(w, "bound\t%s\n", v.Bound)
	}
}

// verdictChangeCommand is 'suspend' or 'lift': a verdict by an operator on one destination.
func (s *senderClient) verdictChangeCommand(verb, short string) *cobra.Command {
	var why string
	var dryRun bool
	c := &cobra.Command{Use: verb + " DESTINATION", Short: short, Args: exactArgs("DESTINATION"), RunE: func(c *cobra.Command, args []string) error {
		d, err := parseDestination(args[0])
		if err != nil {
			return err
		}
		if dryRun {
			return s.printPendingMessages(c, d)
		}
		return s.request(http.MethodPost, "/verdicts/"+verb+"?"+url.Values{"destination": args, "why": {why}}.Encode(), nil, &struct{}{})
	}}
	c.Flags().StringVar(&why, "why", "", "the reason, kept with it")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "say what it would touch, and change nothing")
	return c
}

// printPendingMessages prints how many messages for a destination are pending at the sender.
func (s *senderClient) printPendingMessages(c *cobra.Command, destination uint32) error {
	var pending []struct {
		Destination uint32 `json:"destination"`
		Messages    int    `json:"messages"`
	}
	if err := s.request(http.MethodGet, "/held", nil, &pending); err != nil {
		return err
	}
	n := 0
	for _, p := range pending {
		if p.Destination == destination {
			n += p.Messages
		}
	}
	fmt.Fprintf(c.OutOrStdout(), "destination %d: %d messages that this sender holds are touched\n", destination, n)
	return nil
}

// parseDestination reads a destination's number.
func parseDestination(text string) (uint32, error) {
	d, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, usageError{invalidInput("%q is not a destination number", text)}
	}
	return uint32(d), nil
}
