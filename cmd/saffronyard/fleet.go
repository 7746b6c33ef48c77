package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os/user"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"saffronyard.example/saffronyard/internal/fleet"
)

// fleetCommand is 'saffronyard fleet': membership, leases and voters of the fleet, as one sender reports them.
func (s *senderClient) fleetCommand() *cobra.Command {
	top := &cobra.Command{Use: "fleet", Short: "what the senders agree on, as one of them has it", RunE: requireSubcommand}
	top.AddCommand(s.fleetStatusCommand(), s.fleetMembersCommand(), s.fleetVotersCommand(), s.fleetGoneCommand(), s.fleetVouchCommand())
	return top
}

func (s *senderClient) fleetStatusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "leases, voters and duties of this sender", Args: exactArgs(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := s.report()
		if err != nil {
			return err
		}
		return s.print(c, r, func(w io.Writer) { printStatus(w, r) })
	}}
}

func (s *senderClient) fleetMembersCommand() *cobra.Command {
	return &cobra.Command{Use: "members", Short: "the senders of the fleet", Args: exactArgs(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := s.report()
		if err != nil {
			return err
		}
		return s.print(c, r.Members, func(w io.Writer) {
			for _, m := range r.Members {
				version := "speaks " + strconv.Itoa(int(m.MaxCommandKind))
				if m.Removed {
					version = "gone for good"
				}
				fmt.Fprintf(w, "%s\t%s\n", m.Name, version)
			}
		})
	}}
}

func (s *senderClient) fleetGoneCommand() *cobra.Command {
	var why string
	c := &cobra.Command{Use: "gone NAME", Short: "declare a machine gone for good", Args: exactArgs("NAME"), RunE: func(_ *cobra.Command, args []string) error {
		return s.request(http.MethodPost, "/fleet/gone?"+url.Values{"name": args, "why": {why}}.Encode(), nil, &struct{}{})
	}}
	c.Flags().StringVar(&why, "why", "", "the reason, kept with it")
	return c
}

func (s *senderClient) fleetVotersCommand() *cobra.Command {
	c := &cobra.Command{Use: "voters", Short: "who keeps the log", Args: exactArgs(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := s.report()
		if err != nil {
			return err
		}
		return s.print(c, r.Voters, func(w io.Writer) {
			for _, v := range r.Voters {
				fmt.Fprintln(w, v)
			}
		})
	}}
	c.AddCommand(s.fleetVotersChangeCommand())
	return c
}

func (s *senderClient) fleetVotersChangeCommand() *cobra.Command {
	var remove []string
	c := &cobra.Command{Use: "change [NAME=ADDRESS ...]", Short: "add voters, and remove some, all at once", RunE: func(_ *cobra.Command, args []string) error {
		q := url.Values{"remove": remove}
		for _, arg := range args {
			name, address, ok := strings.Cut(arg, "=")
			if !ok || name == "" {
				return usageError{invalidInput("%q is not NAME=ADDRESS", arg)}
			}
			q.Add("add", name)
			q.Add("address", address)
		}
		return s.request(http.MethodPost, "/fleet/voters?"+q.Encode(), nil, &struct{}{})
	}}
	c.Flags().StringArrayVar(&remove, "remove", nil, "a voter that keeps the log no longer; it may be named again and again")
	return c
}

func (s *senderClient) fleetVouchCommand() *cobra.Command {
	return &cobra.Command{Use: "vouch", Short: "say that the folder of a voter that does not run is the newest", Args: exactArgs(),
		Long: "A voter that starts waits for the word of all others, as its folder may be an old copy. Where one of them can't answer, an operator who knows that the folder is the newest says so; it counts for the next start alone. Said of an old copy it may lose what the fleet agreed on.",
		RunE: func(_ *cobra.Command, _ []string) error {
			if s.state == "" {
				return usageError{errNoState}
			}
			name := "somebody"
			if u, err := user.Current(); err == nil {
				name = u.Username
			}
			return fleet.Vouch(filepath.Join(s.state, "fleet"), name)
		}}
}

func printStatus(w io.Writer, r fleet.Report) {
	acting := "begins no call: it is cut off"
	if r.MayAct {
		acting = fmt.Sprintf("acts, with %v of its lease left", time.Duration(r.LeaseMS)*time.Millisecond)
	}
	if r.Unfit != "" {
		acting = "begins no call: " + r.Unfit
	}
	fmt.Fprintf(w, "%s of cluster %q\t%s\n", r.Name, r.Cluster, acting)
	fmt.Fprintf(w, "state\tto entry %d, policy version %d; a voter's acting came %v ago\n", r.Index, r.Policy.Version, time.Duration(r.AgeMS)*time.Millisecond)
	if r.Followed != "" {
		fmt.Fprintf(w, "follows\t%s\n", r.Followed)
	}
	fmt.Fprintf(w, "a change waits\tfor one that is cut off: %s\n", r.Bound)
	if r.Voter != nil {
		printVoter(w, r.Voter)
	}
	for _, s := range r.Rings {
		fmt.Fprintf(w, "ring %s\t%d of %d, at most %d; %d dropped\n", s.Name, s.Length, s.Capacity, s.HighWatermark, s.Dropped)
	}
	for _, d := range r.Workers {
		state := fmt.Sprintf("%d turns, the longest %v", d.Steps, time.Duration(d.LongestStepUS)*time.Microsecond)
		if d.ExitReason != "" {
			state = "ended: " + d.ExitReason
		}
		fmt.Fprintf(w, "duty %s\t%s; inbox %d of %d, at most %d\n", d.Name, state, d.Inbox.Length, d.Inbox.Capacity, d.Inbox.HighWatermark)
	}
}

func printVoter(w io.Writer, v *fleet.VoterReport) {
	switch {
	case v.Failed != "":
		fmt.Fprintf(w, "voter\tno longer: %s\n", v.Failed)
	case v.MissingVoters != "":
		fmt.Fprintf(w, "voter\ttakes no part yet: it waits for the word of%s\n", v.MissingVoters)
	case v.IsLeader:
		fmt.Fprintf(w, "voter\tleads in term %d, to entry %d\n", v.Term, v.AppliedIndex)
	default:
		fmt.Fprintf(w, "voter\tin term %d, to entry %d; %s leads\n", v.Term, v.AppliedIndex, orElse(v.Leader, "nobody"))
	}
	if v.StaleReason != "" {
		fmt.Fprintf(w, "folder\tolder than what it promised: %s\n", v.StaleReason)
	}
	for _, l := range v.Leases {
		fmt.Fprintf(w, "lease\t%s: %v left, acts at %d or later\n", l.Name, time.Duration(l.RemainingMS)*time.Millisecond, l.ActingIndex)
	}
	for _, h := range v.WaitingOn {
		fmt.Fprintf(w, "the change waits\t%s %s: %v until its lease has lapsed\n", orElse(h.Name, "holders of an earlier leader's leases"), h.Reason, h.Remaining.Round(time.Millisecond))
	}
}
