package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"saffronyard.example/saffronyard/internal/undelivered"
)

const undeliveredUsage = `saffronyard undelivered COMMAND [flags] [NAME ...]

  list     what is kept, a line each, the oldest first
  show     all that is known of entries, by name
  count    how many are kept, and how many were dropped, by member and reason
  export   entries with their bodies, a JSON object a line
  settle   mark entries as dealt with: -by WHO -why TEXT
  drop     take entries out for good; they are counted as dropped
  resend   have entries go again, by the same filters; -dry-run says what would go, what may not, and why; -stop stops it

A sender that runs is asked by its socket in -folder (default $EDGE_STATE/undelivered); -store FILE looks at a copy of
its file instead.
`

// Errors of the undelivered commands.
var (
	errNoUndeliveredSource = errors.New("no store: neither -folder nor -store is given, and EDGE_STATE is not set")
	errResendNeedsSender   = errors.New("resend needs a running sender; it does not work on a copy of a store")
)

// undeliveredFlags are the flags of all undelivered commands.
type undeliveredFlags struct {
	folder, store         string
	member, reason, class string
	since, until          string
	limit                 int
	json                  bool
	by, why               string
	dryRun, stop          bool
}

// undeliveredRequest is an undelivered command with its arguments, checked as far as possible without the store.
type undeliveredRequest struct {
	verb   string
	flags  undeliveredFlags
	filter undelivered.Filter
	keys   []undelivered.Key
	now    time.Time
}

// undeliveredCommand is 'saffronyard undelivered': operators' commands on the store of messages that were not delivered.
func undeliveredCommand(args []string, getenv func(string) string, out, errs io.Writer) int {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		fmt.Fprint(errs, undeliveredUsage)
		return 2
	}
	r := undeliveredRequest{verb: args[0], now: time.Now()}
	switch r.verb {
	case "list", "show", "count", "export", "settle", "drop", "resend":
	default:
		fmt.Fprintf(errs, "there is no command %q\n\n%s", r.verb, undeliveredUsage)
		return 2
	}
	flags := r.flagSet(errs)
	if err := flags.Parse(args[1:]); err != nil {
		return 2
	}
	if err := r.parse(flags.Args()); err != nil {
		fmt.Fprintln(errs, err)
		return 1
	}
	if needsNames := r.verb == "show" || r.verb == "settle" || r.verb == "drop"; needsNames != (len(r.keys) > 0) {
		fmt.Fprintf(errs, "%s: show, settle and drop take names, the other commands take none\n", r.verb)
		return 2
	}
	if err := r.run(getenv, out); err != nil {
		fmt.Fprintln(errs, err)
		return 1
	}
	return 0
}

func (r *undeliveredRequest) flagSet(errs io.Writer) *flag.FlagSet {
	f, v := flag.NewFlagSet("saffronyard undelivered "+r.verb, flag.ContinueOnError), &r.flags
	f.SetOutput(errs)
	f.StringVar(&v.folder, "folder", "", "the `folder` of the sender's store; default $EDGE_STATE/undelivered")
	f.StringVar(&v.store, "store", "", "look at this `file`, a copy of a store")
	f.StringVar(&v.member, "member", "", "of this `member`")
	f.StringVar(&v.reason, "reason", "", "with this `reason`")
	f.StringVar(&v.class, "class", "", "of this `class`")
	f.StringVar(&v.since, "since", "", "ended at or after this `time` (RFC 3339), or so long ago (90m)")
	f.StringVar(&v.until, "until", "", "ended before this `time`")
	f.IntVar(&v.limit, "most", 0, "so many at the most; 0: all")
	f.BoolVar(&v.json, "json", false, "JSON in place of a table")
	f.StringVar(&v.by, "by", "", "settle: `who` does so")
	f.StringVar(&v.why, "why", "", "settle: `why`")
	f.BoolVar(&v.dryRun, "dry-run", false, "resend: only say what would go, what may not, and why")
	f.BoolVar(&v.stop, "stop", false, "resend: what has not gone yet stays")
	return f
}

// parse turns flags and names into a filter and keys.
func (r *undeliveredRequest) parse(names []string) (err error) {
	v := &r.flags
	r.filter = undelivered.Filter{Member: v.member, Class: v.class, Limit: v.limit}
	if v.reason != "" {
		if r.filter.Reason, err = undelivered.ParseReason(v.reason); err != nil {
			return err
		}
	}
	for _, t := range []struct {
		text string
		into *int64
	}{{v.since, &r.filter.Since}, {v.until, &r.filter.Until}} {
		if t.text == "" {
			continue
		}
		at, err := parseTime(t.text, r.now)
		if err != nil {
			return err
		}
		*t.into = at.UnixNano()
	}
	for _, name := range names {
		key, err := undelivered.ParseKey(name)
		if err != nil {
			return err
		}
		r.keys = append(r.keys, key)
	}
	return nil
}

// run opens the copy that -store names, or dials the sender, and runs the command there.
func (r *undeliveredRequest) run(getenv func(string) string, out io.Writer) error {
	if r.flags.store != "" {
		store, err := undelivered.OpenReadOnly(r.flags.store)
		if err != nil {
			return err
		}
		defer store.Close()
		if r.verb == "resend" {
			return errResendNeedsSender
		}
		return r.runOn(store, out)
	}
	folder := r.flags.folder
	if folder == "" {
		if getenv("EDGE_STATE") == "" {
			return errNoUndeliveredSource
		}
		folder = filepath.Join(getenv("EDGE_STATE"), "undelivered")
	}
	remote := undelivered.Dial(folder)
	switch {
	case r.verb == "resend" && r.flags.dryRun:
		return printResendPlans(remote, r.filter, out)
	case r.verb == "resend":
		return requestResend(remote, r.filter, r.flags.stop, out)
	}
	return r.runOn(remote, out)
}

// runOn runs a command that works the same on a copy of a store and on a running sender.
func (r *undeliveredRequest) runOn(source undelivered.Source, out io.Writer) error {
	switch r.verb {
	case "list":
		return listEntries(source, r.filter, r.flags.json, out)
	case "export":
		return exportEntries(source, r.filter, out)
	case "show":
		return showEntries(source, r.keys, out)
	case "count":
		return countEntries(source, r.flags.json, out)
	case "settle":
		for _, k := range r.keys {
			if err := source.Resolve(k, r.flags.by, r.flags.why, r.now.UnixNano()); err != nil {
				return err
			}
			fmt.Fprintln(out, k, "settled")
		}
	case "drop":
		n, err := source.Drop(r.keys)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%d of %d dropped\n", n, len(r.keys))
	}
	return nil
}

// parseTime parses an RFC 3339 time, or a duration, which means that long before now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, invalidInput("%q is neither a time by RFC 3339 nor a span such as 90m", text)
	}
	return at, nil
}

// formatTime writes Unix nanoseconds as a time in UTC.
func formatTime(ns int64) string { return time.Unix(0, ns).UTC().Format("2006-01-02 15:04:05.000") }

func listEntries(source undelivered.Source, f undelivered.Filter, asJSON bool, out io.Writer) error {
	if asJSON {
		enc := json.NewEncoder(out)
		var failed error
		err := source.List(f, func(k undelivered.Key, e undelivered.Entry) bool {
			e.Body, e.Event = nil, nil
			failed = enc.Encode(undelivered.Named{Name: k.String(), Entry: e})
			return failed == nil
		})
		return errors.Join(err, failed)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tENDED (UTC)\tMEMBER\tDEST\tCLASS\tREASON\tTRIES\tSTATE")
	err := source.List(f, func(k undelivered.Key, e undelivered.Entry) bool {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", k, formatTime(e.EndedAt), e.Member, e.Destination, e.Class, e.Reason, len(e.Attempts), e.State)
		return true
	})
	return errors.Join(err, w.Flush())
}

func exportEntries(source undelivered.Source, f undelivered.Filter, out io.Writer) error {
	enc := json.NewEncoder(out)
	var failed error
	err := source.List(f, func(k undelivered.Key, e undelivered.Entry) bool {
		failed = enc.Encode(undelivered.Named{Name: k.String(), Entry: e})
		return failed == nil
	})
	return errors.Join(err, failed)
}

func showEntries(source undelivered.Source, keys []undelivered.Key, out io.Writer) error {
	for _, k := range keys {
		e, ok, err := source.Get(k)
		if err != nil {
			return err
		}
		if !ok {
			return notFound("entry %s not found", k)
		}
		fmt.Fprintf(out, "%s\n  message      %s\n  member       %s, destination %d\n  class        %s (%s)\n  reason       %s\n  taken on     %s\n  ended        %s (%s)\n  deadline     %s\n  body         %d bytes\n",
			k, e.Message, e.Member, e.Destination, e.Class, e.Effect, e.Reason, formatTime(e.AcceptedAt), formatTime(e.EndedAt), e.Ending, formatTime(e.Deadline), len(e.Body))
		if e.Key != "" {
			fmt.Fprintf(out, "  key          %s\n", e.Key)
		}
		for _, a := range e.Attempts {
			ran := "it never ran"
			if a.Outcome.MayHaveRun() {
				ran = "it may have run"
			}
			fmt.Fprintf(out, "  attempt      %s  %s  %s: %s\n", formatTime(a.At), a.Endpoint, a.Outcome, ran)
		}
		if e.State == undelivered.Resolved {
			fmt.Fprintf(out, "  settled      %s by %s: %s\n", formatTime(e.ResolvedAt), e.ResolvedBy, e.Resolution)
		}
	}
	return nil
}

// requestResend requests that entries are sent again, or cancels the request for those that are not sent yet.
func requestResend(remote *undelivered.Remote, f undelivered.Filter, stop bool, out io.Writer) error {
	n, err := remote.RequestResend(f, !stop)
	if err != nil {
		return err
	}
	if stop {
		fmt.Fprintf(out, "%d are stopped\n", n)
	} else {
		fmt.Fprintf(out, "%d are to go again, as far as they may; 'saffronyard undelivered count' says how many have\n", n)
	}
	return nil
}

// printResendPlans prints which entries would be sent again, and why others would not.
func printResendPlans(remote *undelivered.Remote, f undelivered.Filter, out io.Writer) error {
	resent, blocked := 0, map[string]int{}
	err := remote.Plans(f, func(p undelivered.ResendPlan) {
		if p.WillResend {
			resent++
		} else {
			blocked[p.Why]++
			fmt.Fprintf(out, "%s of %s stays: %s\n", p.Name, p.Member, p.Why)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d would go again\n", resent)
	for _, why := range slices.Sorted(maps.Keys(blocked)) {
		fmt.Fprintf(out, "%d would not: %s\n", blocked[why], why)
	}
	return nil
}

func countEntries(source undelivered.Source, asJSON bool, out io.Writer) error {
	t, err := source.Count()
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(out).Encode(t)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tREASON\tKEPT\tDROPPED")
	for _, c := range t.Counts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", c.Member, c.Reason, c.Stored, c.Dropped)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d bytes; %d were delivered after they had been kept\n", t.Bytes, t.Resent)
	return nil
}
