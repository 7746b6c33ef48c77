package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"path/filepath"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/sender"
)

// errAborted is that a change took hold nowhere.
var errAborted = errors.New("aborted: it took hold nowhere")

// errUsage marks what is wrong with the words of a command.
type errUsage struct{ error }

// exactly wants so many arguments, and says which.
func exactly(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return errUsage{fmt.Errorf("%s takes %d arguments, not %d: %s", c.CommandPath(), len(names), len(args), c.UseLine())}
		}
		return nil
	}
}

// atSender is the sender that is asked.
type atSender struct {
	state   string
	json    bool
	current bool
}

func (a *atSender) ask(method, path string, body []byte, into any) error {
	if a.state == "" {
		return errUsage{errors.New("--state names the sender's state folder, as EDGE_STATE does")}
	}
	by := ""
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	raw, err := askSocketAs(method, filepath.Join(a.state, sender.SocketName), path, by, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

func (a *atSender) report() (r fleet.Report, err error) {
	path := "/fleet"
	if a.current {
		path += "?current=1"
	}
	return r, a.ask(http.MethodGet, path, nil, &r)
}

// show prints a value as JSON, or has it printed as text.
func (a *atSender) show(c *cobra.Command, v any, text func(w io.Writer)) error {
	if a.json {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 2, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func (a *atSender) fleet() *cobra.Command {
	top := &cobra.Command{Use: "fleet", Short: "what the senders agree on, as one of them has it", RunE: needsVerb}
	status := &cobra.Command{Use: "status", Short: "leases, voters and duties of this sender", Args: exactly(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := a.report()
		if err != nil {
			return err
		}
		return a.show(c, r, func(w io.Writer) { printStatus(w, r) })
	}}
	members := &cobra.Command{Use: "members", Short: "the senders of the fleet", Args: exactly(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := a.report()
		if err != nil {
			return err
		}
		return a.show(c, r.Members, func(w io.Writer) {
			for _, m := range r.Members {
				word := "speaks " + strconv.Itoa(int(m.MaxCommandKind))
				if m.Removed {
					word = "gone for good"
				}
				fmt.Fprintf(w, "%s\t%s\n", m.Name, word)
			}
		})
	}}
	var why string
	gone := &cobra.Command{Use: "gone NAME", Short: "declare a machine gone for good", Args: exactly("NAME"), RunE: func(c *cobra.Command, args []string) error {
		return a.ask(http.MethodPost, "/fleet/gone?"+url.Values{"name": args, "why": {why}}.Encode(), nil, &struct{}{})
	}}
	gone.Flags().StringVar(&why, "why", "", "the reason, kept with it")
	voters := &cobra.Command{Use: "voters", Short: "who keeps the log", Args: exactly(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := a.report()
		if err != nil {
			return err
		}
		return a.show(c, r.Voters, func(w io.Writer) {
			for _, v := range r.Voters {
				fmt.Fprintln(w, v)
			}
		})
	}}
	var remove []string
	change := &cobra.Command{Use: "change [NAME=ADDRESS ...]", Short: "add voters, and remove some, all at once", RunE: func(c *cobra.Command, args []string) error {
		q := url.Values{"remove": remove}
		for _, arg := range args {
			name, address, ok := cut(arg, '=')
			if !ok {
				return errUsage{fmt.Errorf("%q is not NAME=ADDRESS", arg)}
			}
			q.Add("add", name)
			q.Add("address", address)
		}
		return a.ask(http.MethodPost, "/fleet/voters?"+q.Encode(), nil, &struct{}{})
	}}
	change.Flags().StringArrayVar(&remove, "remove", nil, "a voter that keeps the log no longer; it may be named again and again")
	voters.AddCommand(change)
	vouch := &cobra.Command{Use: "vouch", Short: "say that the folder of a voter that does not run is the newest", Args: exactly(),
		Long: "A voter that starts waits for the word of all others, as its folder may be an old copy. Where one of them can't answer, an operator who knows that the folder is the newest says so; it counts for the next start alone. Said of an old copy it may lose what the fleet agreed on.",
		RunE: func(c *cobra.Command, _ []string) error {
			if a.state == "" {
				return errUsage{errors.New("--state names the sender's state folder, as EDGE_STATE does")}
			}
			by := "somebody"
			if u, err := user.Current(); err == nil {
				by = u.Username
			}
			return fleet.Vouch(filepath.Join(a.state, "fleet"), by)
		}}
	top.AddCommand(status, members, voters, gone, vouch)
	return top
}

func needsVerb(c *cobra.Command, args []string) error {
	names := ""
	for _, sub := range c.Commands() {
		names += " " + sub.Name()
	}
	return errUsage{fmt.Errorf("%s takes one of:%s", c.CommandPath(), names)}
}

func cut(s string, sep byte) (before, after string, ok bool) {
	if i := bytes.IndexByte([]byte(s), sep); i > 0 {
		return s[:i], s[i+1:], true
	}
	return s, "", false
}

func printStatus(w io.Writer, r fleet.Report) {
	word := "begins no call: it is cut off"
	if r.MayAct {
		word = fmt.Sprintf("acts, with %v of its lease left", time.Duration(r.LeaseMS)*time.Millisecond)
	}
	if r.Unfit != "" {
		word = "begins no call: " + r.Unfit
	}
	fmt.Fprintf(w, "%s of cluster %q\t%s\n", r.Name, r.Cluster, word)
	fmt.Fprintf(w, "state\tto entry %d, policy version %d; a voter's word came %v ago\n", r.Index, r.Policy.Version, time.Duration(r.AgeMS)*time.Millisecond)
	if r.Followed != "" {
		fmt.Fprintf(w, "follows\t%s\n", r.Followed)
	}
	fmt.Fprintf(w, "a change waits\tfor one that is cut off: %s\n", r.Bound)
	if v := r.Voter; v != nil {
		switch {
		case v.Failed != "":
			fmt.Fprintf(w, "voter\tno longer: %s\n", v.Failed)
		case v.MissingVoters != "":
			fmt.Fprintf(w, "voter\ttakes no part yet: it waits for the word of%s\n", v.MissingVoters)
		case v.IsLeader:
			fmt.Fprintf(w, "voter\tleads in term %d, to entry %d\n", v.Term, v.AppliedIndex)
		default:
			fmt.Fprintf(w, "voter\tin term %d, to entry %d; %s leads\n", v.Term, v.AppliedIndex, or(v.Leader, "nobody"))
		}
		if v.StaleReason != "" {
			fmt.Fprintf(w, "folder\tolder than what it promised: %s\n", v.StaleReason)
		}
		for _, l := range v.Leases {
			fmt.Fprintf(w, "lease\t%s: %v left, acts at %d or later\n", l.Name, time.Duration(l.RemainingMS)*time.Millisecond, l.ActingIndex)
		}
		for _, h := range v.WaitingOn {
			fmt.Fprintf(w, "the change waits\t%s %s: %v until its lease has lapsed\n", or(h.Name, "holders of an earlier leader's leases"), h.Reason, h.Remaining.Round(time.Millisecond))
		}
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

func or(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

func (a *atSender) policy() *cobra.Command {
	top := &cobra.Command{Use: "policy", Short: "what operators change in service for the whole fleet", RunE: needsVerb}
	check := &cobra.Command{Use: "check FILE", Short: "what is wrong with a document", Args: exactly("FILE"), RunE: func(c *cobra.Command, args []string) error {
		_, _, err := document(args[0])
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%s: it is sound\n", args[0])
		}
		return err
	}}
	diff := &cobra.Command{Use: "diff FILE", Short: "how a document differs from what is in force", Args: exactly("FILE"), RunE: func(c *cobra.Command, args []string) error {
		r, err := a.report()
		if err != nil {
			return err
		}
		p, _, err := document(args[0])
		if err != nil {
			return err
		}
		return a.diff(c, r, p)
	}}
	var why string
	var wait time.Duration
	var dry, quiet bool
	propose := &cobra.Command{Use: "propose FILE", Short: "have a document take hold everywhere, or nowhere", Args: exactly("FILE"), RunE: func(c *cobra.Command, args []string) error {
		r, err := a.report()
		if err != nil {
			return err
		}
		p, raw, err := document(args[0])
		if err != nil {
			return err
		}
		if dry {
			return a.diff(c, r, p)
		}
		return a.propose(c, r.Policy.Version, 0, raw, why, wait, quiet)
	}}
	back := &cobra.Command{Use: "back VERSION", Short: "have an earlier version take hold again, as a new one", Args: exactly("VERSION"), RunE: func(c *cobra.Command, args []string) error {
		r, err := a.report()
		if err != nil {
			return err
		}
		version, doc, err := past(r, args[0])
		if err != nil {
			return err
		}
		if dry {
			p, err := parsed(doc)
			if err != nil {
				return err
			}
			return a.diff(c, r, p)
		}
		return a.propose(c, r.Policy.Version, version, []byte(doc), or(why, fmt.Sprintf("back to version %d", version)), wait, quiet)
	}}
	for _, c := range []*cobra.Command{propose, back} {
		c.Flags().StringVar(&why, "why", "", "the reason, kept with it")
		c.Flags().DurationVar(&wait, "wait", 30*time.Second, "give up if it is not staged everywhere by then")
		c.Flags().BoolVar(&dry, "dry-run", false, "say what would change, and change nothing")
		c.Flags().BoolVar(&quiet, "quiet", false, "no progress")
	}
	abort := &cobra.Command{Use: "abort", Short: "end the change that is under way", Args: exactly(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := a.report()
		if err != nil {
			return err
		}
		if r.Policy.Open == nil {
			return errors.New("no change is under way")
		}
		q := url.Values{"change": {strconv.FormatUint(r.Policy.Open.ID, 10)}, "why": {why}}
		return a.ask(http.MethodPost, "/policy/abort?"+q.Encode(), nil, &struct{}{})
	}}
	abort.Flags().StringVar(&why, "why", "", "the reason, kept with it")
	status := &cobra.Command{Use: "status", Short: "the version in force, and the change under way", Args: exactly(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := a.report()
		if err != nil {
			return err
		}
		return a.show(c, struct {
			Version uint64              `json:"version"`
			Open    *fleet.ChangeReport `json:"open,omitempty"`
		}{r.Policy.Version, r.Policy.Open}, func(w io.Writer) {
			fmt.Fprintf(w, "version %d is in force\n", r.Policy.Version)
			if o := r.Policy.Open; o != nil {
				phase := "is being staged"
				if o.Frozen {
					phase = "is about to take hold"
				}
				fmt.Fprintf(w, "change %d by %s %s: %s\n", o.ID, o.Author, phase, or(o.Reason, "no reason is given"))
				for _, h := range o.WaitingOn {
					fmt.Fprintf(w, "it waits for %s %s, whose lease has %v left\n", or(h.Name, "holders of an earlier leader's leases"), h.Reason, h.Remaining.Round(time.Millisecond))
				}
			}
		})
	}}
	history := &cobra.Command{Use: "history", Short: "the changes that are over", Args: exactly(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := a.report()
		if err != nil {
			return err
		}
		return a.show(c, r.Policy.History, func(w io.Writer) {
			for _, p := range r.Policy.History {
				what := fmt.Sprintf("version %d", p.Version)
				if p.Version == 0 {
					what = "aborted: " + p.AbortReason
				}
				fmt.Fprintf(w, "change %d\tby %s\t%s\t%s\n", p.ID, p.Author, what, p.Reason)
			}
		})
	}}
	show := &cobra.Command{Use: "show [VERSION]", Short: "a version's document; without a number that in force", Args: cobra.MaximumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
		r, err := a.report()
		if err != nil {
			return err
		}
		doc := r.Policy.Document
		if len(args) == 1 {
			if _, doc, err = past(r, args[0]); err != nil {
				return err
			}
		}
		_, err = io.WriteString(c.OutOrStdout(), doc)
		return err
	}}
	top.AddCommand(check, diff, propose, status, abort, history, show, back)
	return top
}

// document reads a document from a file.
func document(path string) (*fleetpolicy.Policy, []byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	p, err := fleetpolicy.Parse(path, raw)
	return p, raw, err
}

func parsed(doc string) (*fleetpolicy.Policy, error) {
	return fleetpolicy.Parse("the version in force", []byte(doc))
}

// past is the document of an earlier version.
func past(r fleet.Report, text string) (uint64, string, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, "", errUsage{fmt.Errorf("%q is no version", text)}
	}
	if version == 0 {
		return 0, "", nil // before the first document
	}
	for _, p := range r.Policy.History {
		if p.Version == version {
			if p.Document == "" && version != r.Policy.Version {
				return 0, "", fmt.Errorf("the document of version %d is kept no longer", version)
			}
			return version, p.Document, nil
		}
	}
	return 0, "", fmt.Errorf("there is no version %d, or it is remembered no longer", version)
}

// diff says how a document differs, and how many messages that this sender holds are touched.
func (a *atSender) diff(c *cobra.Command, r fleet.Report, p *fleetpolicy.Policy) error {
	was, err := parsed(r.Policy.Document)
	if err != nil {
		return err
	}
	var held []sender.PendingCount
	if err := a.ask(http.MethodGet, "/held", nil, &held); err != nil {
		return err
	}
	counts := map[fleetpolicy.Call]int{}
	for _, h := range held {
		counts[fleetpolicy.Call{Destination: h.Destination, Tenant: h.Tenant}] += h.Messages
	}
	lines := fleetpolicy.Diff(was, p)
	total, by := fleetpolicy.AffectedBySwitch(was, p).CountMessages(counts)
	return a.show(c, struct {
		Base    uint64                     `json:"base"`
		Lines   []string                   `json:"lines"`
		Touched int                        `json:"held_messages_touched"`
		By      []fleetpolicy.MessageCount `json:"by_destination,omitempty"`
	}{r.Policy.Version, lines, total, by}, func(w io.Writer) {
		if len(lines) == 0 {
			fmt.Fprintf(w, "nothing differs from version %d\n", r.Policy.Version)
		}
		for _, l := range lines {
			fmt.Fprintln(w, l)
		}
		if total > 0 {
			fmt.Fprintf(w, "of the messages that this sender holds %d are touched\n", total)
		}
		for _, b := range by {
			fmt.Fprintf(w, "  %d for destination %d\n", b.Messages, b.Destination)
		}
	})
}

// propose hands a document in and follows the change to its end.
func (a *atSender) propose(c *cobra.Command, base, back uint64, doc []byte, why string, wait time.Duration, quiet bool) error {
	q := url.Values{"base": {strconv.FormatUint(base, 10)}, "back": {strconv.FormatUint(back, 10)}, "wait": {wait.String()}, "why": {why}}
	var in struct{ Change uint64 }
	if err := a.ask(http.MethodPost, "/policy/propose?"+q.Encode(), doc, &in); err != nil {
		return err
	}
	last := ""
	for end := time.Now().Add(wait + time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := a.report()
		if err != nil {
			return fmt.Errorf("change %d is handed in; how it ends is not known: %w", in.Change, err)
		}
		for _, p := range r.Policy.History {
			if p.ID != in.Change {
				continue
			}
			if p.Version == 0 {
				return fmt.Errorf("change %d is %w: %s", in.Change, errAborted, p.AbortReason)
			}
			return a.show(c, p, func(w io.Writer) { fmt.Fprintf(w, "version %d is in force\n", p.Version) })
		}
		if line := progress(r); !quiet && line != last {
			last = line
			fmt.Fprintf(c.ErrOrStderr(), "change %d: %s\n", in.Change, line)
		}
	}
	return fmt.Errorf("change %d is handed in; how it ends is not known yet", in.Change)
}

// progress is for whom a change waits, as far as this sender knows.
func progress(r fleet.Report) string {
	o := r.Policy.Open
	if o == nil {
		return "handed in"
	}
	line := "it is being staged"
	if o.Frozen {
		line = "it is about to take hold"
	}
	for _, w := range o.WaitingOn {
		line += fmt.Sprintf("; waits for %s %s, whose lease has %v left", or(w.Name, "holders of an earlier leader's leases"), w.Reason, w.Remaining.Round(time.Second))
	}
	return line
}
