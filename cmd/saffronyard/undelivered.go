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

// undeliveredCommand is the operators' way to the store.
func undeliveredCommand(args []string, getenv func(string) string, out, errs io.Writer) int {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		fmt.Fprint(errs, undeliveredUsage)
		return 2
	}
	what := args[0]
	switch what {
	case "list", "show", "count", "export", "settle", "drop", "resend":
	default:
		fmt.Fprintf(errs, "there is no command %q\n\n%s", what, undeliveredUsage)
		return 2
	}
	f := flag.NewFlagSet("saffronyard undelivered "+what, flag.ContinueOnError)
	f.SetOutput(errs)
	folder := f.String("folder", "", "the `folder` of the sender's store; default $EDGE_STATE/undelivered")
	file := f.String("store", "", "look at this `file`, a copy of a store")
	member := f.String("member", "", "of this `member`")
	reason := f.String("reason", "", "with this `reason`")
	class := f.String("class", "", "of this `class`")
	since := f.String("since", "", "ended at or after this `time` (RFC 3339), or so long ago (90m)")
	until := f.String("until", "", "ended before this `time`")
	most := f.Int("most", 0, "so many at the most; 0: all")
	asJSON := f.Bool("json", false, "JSON in place of a table")
	by := f.String("by", "", "settle: `who` does so")
	why := f.String("why", "", "settle: `why`")
	dry := f.Bool("dry-run", false, "resend: only say what would go, what may not, and why")
	stop := f.Bool("stop", false, "resend: what has not gone yet stays")
	if err := f.Parse(args[1:]); err != nil {
		return 2
	}
	fail := func(err error) int {
		fmt.Fprintln(errs, err)
		return 1
	}
	filter := undelivered.Filter{Member: *member, Class: *class, Limit: *most}
	var err error
	if *reason != "" {
		if filter.Reason, err = undelivered.ParseReason(*reason); err != nil {
			return fail(err)
		}
	}
	now := time.Now()
	for _, t := range []struct {
		text string
		into *int64
	}{{*since, &filter.Since}, {*until, &filter.Until}} {
		if t.text == "" {
			continue
		}
		at, err := parseTime(t.text, now)
		if err != nil {
			return fail(err)
		}
		*t.into = at.UnixNano()
	}
	var keys []undelivered.Key
	for _, name := range f.Args() {
		key, err := undelivered.ParseKey(name)
		if err != nil {
			return fail(err)
		}
		keys = append(keys, key)
	}
	if needs := what == "show" || what == "settle" || what == "drop"; needs != (len(keys) > 0) {
		fmt.Fprintf(errs, "%s: show, settle and drop take names, the others none\n", what)
		return 2
	}
	var from undelivered.Source
	if *file != "" {
		store, err := undelivered.OpenReadOnly(*file)
		if err != nil {
			return fail(err)
		}
		defer store.Close()
		from = store
	} else {
		if *folder == "" {
			if getenv("EDGE_STATE") == "" {
				return fail(errors.New("neither -folder nor -store, and EDGE_STATE is not set"))
			}
			*folder = filepath.Join(getenv("EDGE_STATE"), "undelivered")
		}
		from = undelivered.Dial(*folder)
	}
	switch what {
	case "resend":
		remote, ok := from.(*undelivered.Remote)
		if !ok {
			return fail(errors.New("resend asks a sender that runs, no copy"))
		}
		err = resendEntries(remote, filter, *dry, *stop, out)
	case "list":
		err = listEntries(from, filter, *asJSON, out)
	case "export":
		err = exportEntries(from, filter, out)
	case "show":
		err = showEntries(from, keys, out)
	case "count":
		err = countEntries(from, *asJSON, out)
	case "settle":
		for _, k := range keys {
			if err = from.Resolve(k, *by, *why, now.UnixNano()); err != nil {
				break
			}
			fmt.Fprintln(out, k, "settled")
		}
	case "drop":
		var n int
		if n, err = from.Drop(keys); err == nil {
			fmt.Fprintf(out, "%d of %d dropped\n", n, len(keys))
		}
	}
	if err != nil {
		return fail(err)
	}
	return 0
}

func parseTime(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, fmt.Errorf("%q is neither a time by RFC 3339 nor a span such as 90m", text)
	}
	return at, nil
}

func when(ns int64) string { return time.Unix(0, ns).UTC().Format("2006-01-02 15:04:05.000") }

func listEntries(from undelivered.Source, f undelivered.Filter, asJSON bool, out io.Writer) error {
	if asJSON {
		enc := json.NewEncoder(out)
		var failed error
		err := from.List(f, func(k undelivered.Key, e undelivered.Entry) bool {
			e.Body, e.Event = nil, nil
			failed = enc.Encode(undelivered.Named{Name: k.String(), Entry: e})
			return failed == nil
		})
		return errors.Join(err, failed)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tENDED (UTC)\tMEMBER\tDEST\tCLASS\tREASON\tTRIES\tSTATE")
	err := from.List(f, func(k undelivered.Key, e undelivered.Entry) bool {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", k, when(e.EndedAt), e.Member, e.Destination, e.Class, e.Reason, len(e.Attempts), e.State)
		return true
	})
	return errors.Join(err, w.Flush())
}

func exportEntries(from undelivered.Source, f undelivered.Filter, out io.Writer) error {
	enc := json.NewEncoder(out)
	var failed error
	err := from.List(f, func(k undelivered.Key, e undelivered.Entry) bool {
		failed = enc.Encode(undelivered.Named{Name: k.String(), Entry: e})
		return failed == nil
	})
	return errors.Join(err, failed)
}

func showEntries(from undelivered.Source, keys []undelivered.Key, out io.Writer) error {
	for _, k := range keys {
		e, ok, err := from.Get(k)
		if err != nil {
			return err
		}
		if !ok {
			return fmt.Errorf("entry %s is not there", k)
		}
		fmt.Fprintf(out, "%s\n  message      %s\n  member       %s, destination %d\n  class        %s (%s)\n  reason       %s\n  taken on     %s\n  ended        %s (%s)\n  deadline     %s\n  body         %d bytes\n",
			k, e.Message, e.Member, e.Destination, e.Class, e.Effect, e.Reason, when(e.AcceptedAt), when(e.EndedAt), e.Ending, when(e.Deadline), len(e.Body))
		if e.Key != "" {
			fmt.Fprintf(out, "  key          %s\n", e.Key)
		}
		for _, a := range e.Attempts {
			ran := "it never ran"
			if a.Outcome.MayHaveRun() {
				ran = "it may have run"
			}
			fmt.Fprintf(out, "  attempt      %s  %s  %s: %s\n", when(a.At), a.Endpoint, a.Outcome, ran)
		}
		if e.State == undelivered.Resolved {
			fmt.Fprintf(out, "  settled      %s by %s: %s\n", when(e.ResolvedAt), e.ResolvedBy, e.Resolution)
		}
	}
	return nil
}

// resendEntries has entries go again, or says what would become of them.
func resendEntries(from *undelivered.Remote, f undelivered.Filter, dry, stop bool, out io.Writer) error {
	if !dry {
		n, err := from.RequestResend(f, !stop)
		if err == nil && stop {
			fmt.Fprintf(out, "%d are stopped\n", n)
		} else if err == nil {
			fmt.Fprintf(out, "%d are to go again, as far as they may; 'saffronyard undelivered count' says how many have\n", n)
		}
		return err
	}
	goes, stays := 0, map[string]int{}
	err := from.Plans(f, func(p undelivered.ResendPlan) {
		if p.WillResend {
			goes++
		} else {
			stays[p.Why]++
			fmt.Fprintf(out, "%s of %s stays: %s\n", p.Name, p.Member, p.Why)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d would go again\n", goes)
	for _, why := range slices.Sorted(maps.Keys(stays)) {
		fmt.Fprintf(out, "%d would not: %s\n", stays[why], why)
	}
	return nil
}

func countEntries(from undelivered.Source, asJSON bool, out io.Writer) error {
	t, err := from.Count()
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
