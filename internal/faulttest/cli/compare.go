package cli

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
	"saffronyard.example/saffronyard/internal/faulttest/report"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// variant is a set of message formats with which a day is played.
type variant struct {
	name         string
	clientFormat encoding.Format   // of the clients
	callFormats  []encoding.Format // of the calls to each kind of receiver, assigned in turn
}

// variants returns the variants that are compared: as many plain ones as given, to measure their spread, then each format for both
// clients and receivers, then all formats mixed.
func variants(plain int) []variant {
	var all []variant
	for range plain {
		all = append(all, variant{"plain", encoding.Plain, []encoding.Format{encoding.Plain}})
	}
	for _, f := range []encoding.Format{encoding.Binary, encoding.Structured, encoding.Batched} {
		all = append(all, variant{string(f), f, []encoding.Format{f}})
	}
	return append(all, variant{"mixed", encoding.Mixed, []encoding.Format{encoding.Binary, encoding.Plain, encoding.Batched, encoding.Structured}})
}

// apply returns a copy of a day's script with the variant's formats. A script without kinds of receivers gets the usual ones.
func (v variant) apply(s script.Script) (*script.Script, error) {
	d := *s.Day
	d.Speak = v.clientFormat
	s.Day = &d
	s.Kinds = slices.Clone(s.Kinds)
	if len(s.Kinds) == 0 {
		usual, err := script.UsualKinds()
		if err != nil {
			return nil, err
		}
		s.Kinds = usual
	}
	for i := range s.Kinds {
		s.Kinds[i].Format = v.callFormats[i%len(v.callFormats)]
	}
	return &s, nil
}

// variantResult is the result of a variant's day.
type variantResult struct {
	variant
	verdict      judge.Report
	sum          report.Summary
	answerCounts map[string]int    // number of first answers, by status
	firstAnswers map[string]string // status of the first answer, by message
	use          day.Usage
}

// recordAnswers finds the first answer to each message. It ignores how messages ended, because which few of them expire while a receiver
// hangs differs between any two runs; the share of worth covers that.
func (p *variantResult) recordAnswers(events []eventlog.Event) {
	p.answerCounts, p.firstAnswers = map[string]int{}, map[string]string{}
	msg := map[string]string{}
	for _, e := range eventlog.Day(events) {
		switch e.Kind {
		case eventlog.HandIn:
			msg[e.ID] = e.Msg
		case eventlog.Answer:
			if m := msg[e.ID]; p.firstAnswers[m] == "" {
				status := e.Status
				if status == 200 { // accepted like 202, and already delivered
					status = 202
				}
				p.firstAnswers[m] = fmt.Sprint(status)
				p.answerCounts[p.firstAnswers[m]]++
			}
		default: // other events say nothing about first answers
		}
	}
}

// differ returns how many messages of p have another first answer, or none, in q.
func (p *variantResult) differ(q *variantResult) int {
	n := 0
	for m, f := range p.firstAnswers {
		if q.firstAnswers[m] != f {
			n++
		}
	}
	return n
}

func compare(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	f := flags("compare [DAY.toml ...]", errs)
	program := f.String("sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	plain := f.Int("plain", 2, "number of plain runs, whose spread is the reference; at least 2")
	tries := f.Int("tries", 3, "play an inconclusive day again, up to this many `times` in total")
	slack := f.Float64("slack", 0.01, "distance by which a share of worth may lie outside the plain runs' spread")
	if err := parse(f, args); err != nil {
		return 0, err
	}
	if *plain < 2 || *slack < 0 {
		return judge.ExitScript, badArgument("compare: -plain %d must be at least 2, and -slack %v at least 0", *plain, *slack)
	}
	all, err := days(f.Args(), false)
	if err != nil {
		return judge.ExitScript, err
	}
	path, err := sender(ctx, *program, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	var codes []int
	for _, s := range all {
		code, err := compareDay(ctx, *s, path, *plain, max(1, *tries), *slack, out)
		if err != nil {
			return code, err
		}
		codes = append(codes, code)
	}
	return worstCode(codes), nil
}

// compareDay plays one day in each variant and prints where a variant differs from the plain runs.
func compareDay(ctx context.Context, s script.Script, path string, plain, tries int, slack float64, out io.Writer) (int, error) {
	var runs []*variantResult
	code := judge.ExitPass
	fmt.Fprintf(out, "%-11s %-24s %9s %8s %8s %8s %8s %9s  %s\n", "day, spoken", "first answers", "delivered", "worth", "p50", "p99", "differ", "CPU/msg", "rules")
	for _, v := range variants(plain) {
		p, err := playVariant(ctx, s, v, path, tries)
		if err != nil {
			return judge.ExitInconclusive, err
		}
		runs = append(runs, p)
		rules := "all kept"
		if p.verdict.Exit() != judge.ExitPass {
			rules = "BROKEN"
			for _, r := range p.verdict.Results {
				if r.Verdict == judge.Fail {
					rules += fmt.Sprintf(" %d (%s)", r.Rule, r.Evidence)
				}
			}
			if p.verdict.Late != "" {
				rules = "INCONCLUSIVE: " + p.verdict.Late
			}
			code = worstCode([]int{code, p.verdict.Exit()})
		}
		fmt.Fprintf(out, "%-11s %-24s %9d %7.2f%% %7.3fs %7.3fs %8d %7.0fus  %s\n", v.name, counts(p.answerCounts), p.sum.Delivered, p.sum.ServedFraction*100,
			p.sum.Latency50, p.sum.Lat99, runs[0].differ(p), p.use.Senders.Seconds()*1e6/float64(max(1, p.sum.Delivered)), rules)
	}
	for _, why := range deviations(runs[:plain], runs[plain:], slack) {
		fmt.Fprintln(out, "DIFFERS:", why)
		code = worstCode([]int{code, judge.ExitFail})
	}
	if code == judge.ExitPass {
		fmt.Fprintf(out, "%s: all forms within the spread of %d plain runs\n", runs[0].sum.Name, plain)
	}
	return code, nil
}

func playVariant(ctx context.Context, s script.Script, v variant, path string, tries int) (*variantResult, error) {
	p := &variantResult{variant: v}
	over, err := v.apply(s)
	if err != nil {
		return nil, err
	}
	events, verdict, use, err := playUntilConclusive(ctx, over, v.name, path, tries)
	if err != nil {
		return nil, err
	}
	p.verdict, p.sum, p.use = verdict, report.Make(events), use
	p.recordAnswers(events)
	return p, nil
}

// playUntilConclusive plays a day, and repeats an inconclusive day up to tries times in total. Each run writes its event log to a new folder.
func playUntilConclusive(ctx context.Context, s *script.Script, name, path string, tries int) (events []eventlog.Event, verdict judge.Report, use day.Usage, err error) {
	for range tries {
		plan, err := s.Make()
		if err != nil {
			return nil, verdict, use, err
		}
		folder, err := day.Folder(plan.Name + "-" + name)
		if err != nil {
			return nil, verdict, use, err
		}
		file, err := os.Create(filepath.Join(folder, "events.jsonl"))
		if err != nil {
			return nil, verdict, use, fmt.Errorf("create the event log: %w", err)
		}
		events, use, err = day.Play(ctx, plan, day.Options{Command: []string{path}, Folder: folder, Log: file})
		file.Close()
		if err != nil {
			return nil, verdict, use, err
		}
		if verdict, err = judge.Judge(events); err != nil {
			return nil, verdict, use, err
		}
		if verdict.Late == "" {
			break
		}
	}
	return events, verdict, use, nil
}

func counts(answers map[string]int) string {
	var all []string
	for status, n := range answers {
		all = append(all, fmt.Sprintf("%s:%d", status, n))
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// deviations describes where the other variants lie outside the spread of the plain runs: in the answers to messages, the share
// of worth and the median time to delivery.
func deviations(plain, others []*variantResult, slack float64) []string {
	var all []string
	differ, least, most, slowest := 0, math.Inf(1), 0.0, 0.0
	for _, p := range plain {
		for _, q := range plain {
			differ = max(differ, p.differ(q))
		}
		least, most, slowest = min(least, p.sum.ServedFraction), max(most, p.sum.ServedFraction), max(slowest, p.sum.Latency50)
	}
	// A few messages differ by chance, while a fault in the handling of a format affects many.
	allowed := differ + max(2, len(plain[0].firstAnswers)/200)
	for _, p := range others {
		n := math.MaxInt
		for _, q := range plain {
			n = min(n, q.differ(p))
		}
		if n > allowed {
			all = append(all, fmt.Sprintf("%s: %d messages were answered otherwise; plain runs differ in %d", p.name, n, differ))
		}
		if p.sum.ServedFraction < least-slack || p.sum.ServedFraction > most+slack {
			all = append(all, fmt.Sprintf("%s: %.2f%% of the worth; plain runs %.2f%% to %.2f%%", p.name, p.sum.ServedFraction*100, least*100, most*100))
		}
		if p.sum.Latency50 > slowest*1.2+0.02 {
			all = append(all, fmt.Sprintf("%s: half are delivered within %.3f s; plain runs %.3f s", p.name, p.sum.Latency50, slowest))
		}
	}
	return all
}
