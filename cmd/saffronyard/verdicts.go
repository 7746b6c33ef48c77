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

// verdicts are the commands on what the fleet holds of receivers.
func (a *atSender) verdicts() *cobra.Command {
	top := &cobra.Command{Use: "verdicts", Short: "what all senders hold of receivers together", RunE: needsVerb}
	reports := func() (all []fleet.HealthReport, err error) {
		return all, a.ask(http.MethodGet, "/verdicts", nil, &all)
	}
	list := &cobra.Command{Use: "list", Short: "the verdicts that stand at this sender", Args: exactly(), RunE: func(c *cobra.Command, _ []string) error {
		all, err := reports()
		if err != nil {
			return err
		}
		return a.show(c, all, func(w io.Writer) {
			fmt.Fprintln(w, "DESTINATION\tIS\tBY\tIN CHARGE\tWHY")
			for _, v := range all {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", v.Destination, v.Status, v.Author, or(v.Owner, "-"), v.Reason)
			}
		})
	}}
	show := &cobra.Command{Use: "show DESTINATION", Short: "the verdicts on one destination, and how stale they can be", Args: exactly("DESTINATION"), RunE: func(c *cobra.Command, args []string) error {
		d, err := destination(args[0])
		if err != nil {
			return err
		}
		all, err := reports()
		if err != nil {
			return err
		}
		of := []fleet.HealthReport{}
		for _, v := range all {
			if v.Destination == d {
				of = append(of, v)
			}
		}
		return a.show(c, of, func(w io.Writer) {
			if len(of) == 0 {
				fmt.Fprintf(w, "no verdict stands on destination %d\n", d)
			}
			for _, v := range of {
				lasts := "until it is lifted"
				if v.TTLMS > 0 {
					lasts = fmt.Sprintf("for %v, unless it is said again", time.Duration(v.TTLMS)*time.Millisecond)
				}
				fmt.Fprintf(w, "%s\tby %s: %s\n", v.Status, v.Author, or(v.Reason, "no reason is given"))
				fmt.Fprintf(w, "since\tentry %d, said last in entry %d; it lasts %s\n", v.StartIndex, v.UpdateIndex, lasts)
				fmt.Fprintf(w, "in charge\t%s\n", or(v.Owner, "a person"))
				fmt.Fprintf(w, "bound\t%s\n", v.Bound)
			}
		})
	}}
	top.AddCommand(list, show)
	for _, verb := range []struct{ name, short string }{{"suspend", "have no sender begin a call to a destination, until it is lifted"}, {"lift", "end a suspension"}} {
		var why string
		var dry bool
		c := &cobra.Command{Use: verb.name + " DESTINATION", Short: verb.short, Args: exactly("DESTINATION"), RunE: func(c *cobra.Command, args []string) error {
			d, err := destination(args[0])
			if err != nil {
				return err
			}
			if dry {
				var held []struct {
					Destination uint32 `json:"destination"`
					Messages    int    `json:"messages"`
				}
				if err := a.ask(http.MethodGet, "/held", nil, &held); err != nil {
					return err
				}
				n := 0
				for _, h := range held {
					if h.Destination == d {
						n += h.Messages
					}
				}
				fmt.Fprintf(c.OutOrStdout(), "destination %d: %d messages that this sender holds are touched\n", d, n)
				return nil
			}
			return a.ask(http.MethodPost, "/verdicts/"+verb.name+"?"+url.Values{"destination": args, "why": {why}}.Encode(), nil, &struct{}{})
		}}
		c.Flags().StringVar(&why, "why", "", "the reason, kept with it")
		c.Flags().BoolVar(&dry, "dry-run", false, "say what it would touch, and change nothing")
		top.AddCommand(c)
	}
	return top
}

func destination(text string) (uint32, error) {
	d, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, errUsage{fmt.Errorf("%q is no destination", text)}
	}
	return uint32(d), nil
}
