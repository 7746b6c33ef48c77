// Package judge checks from a day's event log alone whether the six rules were kept. It does no I/O: the same events give the same
// verdict.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// Verdict is the outcome of checking a rule.
type Verdict string

// The verdicts. NotTried means that the day had no situation in which the rule could have been broken.
const (
	Pass     Verdict = "PASS"
	Fail     Verdict = "FAIL"
	NotTried Verdict = "NOT TRIED"
)

// Result is the verdict on one rule.
type Result struct {
	Rule     int // 1 to 6
	Name     string
	Verdict  Verdict
	Tried    int    // situations in which the rule could have been broken
	Broken   int    // violations
	Evidence string // of the first violation
}

// Report is the verdict on a day.
type Report struct {
	Name    string
	Results []Result
	Late    string // why the day is inconclusive; "" if it is conclusive
}

// The exit codes of a verdict.
const (
	ExitPass         = 0
	ExitFail         = 1
	ExitScript       = 2
	ExitInconclusive = 3
)

// Exit returns the exit code of the report. A day on which the kit itself was late is inconclusive.
func (r Report) Exit() int {
	if r.Late != "" {
		return ExitInconclusive
	}
	for _, x := range r.Results {
		if x.Verdict == Fail {
			return ExitFail
		}
	}
	return ExitPass
}

// Bounds of the kit's own lateness. The maximum must not exceed the rules' grace, as logged times may otherwise be off by more than the
// grace. The p99 must not exceed a fraction of the grace.
const (
	p99Divisor    = 5   // the bound of the p99 is the grace divided by this
	minP99Samples = 100 // with fewer samples the p99 is no more than the maximum
)

// call is one call at a receiver.
type call struct {
	eventlog.Event // of kind Call
	submission     *submission
	run            int
	done           bool
	end            eventlog.Event // of kind Done
}

// notExecuted reports whether the outcome proves that the call did not run.
func (c *call) notExecuted() bool {
	if !c.done || c.end.Detail != "" {
		return false
	}
	switch c.end.Status {
	case 400, 429, 503, 504:
		return true
	}
	return false
}

// served reports whether the call's answer confirms that the message is delivered.
func (c *call) served() bool { return c.done && c.end.Status == 200 }

// mayHaveRunAt reports whether the call may have run or may still run, as far as its sender can know at a time.
func (c *call) mayHaveRunAt(t int64) bool { return c.T <= t && !(c.notExecuted() && c.end.T <= t) }

// submission is one hand-in of a message.
type submission struct {
	eventlog.Event
	order    int // position in the log
	answer   eventlog.Event
	answered bool
	notices  []eventlog.Event
	calls    []*call
}

// unanswered reports whether the client got no answer and so no longer relies on this hand-in.
func (h *submission) unanswered() bool { return !h.answered || h.answer.Status == 0 }

func (h *submission) accepted() bool {
	return h.answered && (h.answer.Status == 200 || h.answer.Status == 202)
}

// deliveredAt returns when the first 200 was written.
func (h *submission) deliveredAt() (int64, bool) {
	at, ok := int64(0), false
	for _, c := range h.calls {
		if c.served() && (!ok || c.end.T < at) {
			at, ok = c.end.T, true
		}
	}
	return at, ok
}

// endedAt returns when the message ended: its first delivery or notice.
func (h *submission) endedAt() (int64, bool) {
	at, ok := h.deliveredAt()
	for _, n := range h.notices {
		if !ok || n.T < at {
			at, ok = n.T, true
		}
	}
	return at, ok
}

// process is one run of a sender.
type process struct {
	run                           int
	start, ready, term, kill, end int64 // 0: not yet
	stateLost, crash              bool
}

// endingSince returns when the process was terminated, else when it was killed, else when it ended; 0 if none of these happened.
func (p *process) endingSince() int64 {
	for _, t := range []int64{p.term, p.kill, p.end} {
		if t > 0 {
			return t
		}
	}
	return 0
}

// day is an indexed event log.
type day struct {
	figures     eventlog.Figures
	ids         map[string]*submission
	submissions []*submission
	calls       []*call
	unknown     []eventlog.Event // calls with messages that no client handed in
	listSent    []eventlog.Event
	outages     []eventlog.Event
	senders     map[string][]*process
	senderNames []string
	end         int64
	ended       bool
	slips       []eventlog.Event
	kitFailures []eventlog.Event
}

func index(events []eventlog.Event) (*day, error) {
	d := &day{ids: map[string]*submission{}, senders: map[string][]*process{}}
	sorted := slices.Clone(eventlog.Day(events))
	slices.SortStableFunc(sorted, func(a, b eventlog.Event) int { return cmp.Compare(a.T, b.T) })
	byCall := map[int64]*call{}
	found := false
	proc := func(e eventlog.Event) *process {
		all := d.senders[e.Sender]
		for _, p := range all {
			if p.run == e.Run {
				return p
			}
		}
		if all == nil {
			d.senderNames = append(d.senderNames, e.Sender)
		}
		p := &process{run: e.Run}
		d.senders[e.Sender] = append(all, p)
		return p
	}
	for i, e := range sorted {
		d.end = max(d.end, e.T)
		switch e.Kind {
		case eventlog.World:
			if e.Figures == nil {
				return nil, errNoFigures
			}
			d.figures, found = *e.Figures, true
		case eventlog.HandIn:
			if first := d.ids[e.Event]; e.Event != "" && first != nil && first.Sender == e.Sender {
				// The same event handed in again at the same sender is the same message as the first hand-in: calls, answers and
				// notices under either id belong to this message.
				d.ids[e.ID] = first
				continue
			}
			h := &submission{Event: e, order: i}
			d.ids[e.ID] = h
			d.submissions = append(d.submissions, h)
		case eventlog.Answer:
			if h := d.ids[e.ID]; h != nil && (!h.answered || h.answer.Status == 0 && h.answer.Detail != "closed") {
				h.answer, h.answered = e, true
			}
		case eventlog.Call:
			h := d.ids[e.ID]
			if e.Detail == "unknown" || h == nil || h.Dest != e.Dest {
				d.unknown = append(d.unknown, e)
				continue
			}
			c := &call{Event: e, submission: h}
			byCall[e.Call] = c
			h.calls = append(h.calls, c)
			d.calls = append(d.calls, c)
		case eventlog.Done:
			if c := byCall[e.Call]; c != nil && !c.done {
				c.end, c.done = e, true
			}
		case eventlog.Notice:
			if h := d.ids[e.ID]; h != nil {
				h.notices = append(h.notices, e)
			}
		case eventlog.ListSent:
			d.listSent = append(d.listSent, e)
		case eventlog.Outage:
			d.outages = append(d.outages, e)
		case eventlog.Start:
			proc(e).start = e.T
		case eventlog.Ready:
			proc(e).ready = e.T
		case eventlog.Term:
			proc(e).term = e.T
		case eventlog.Killed:
			p := proc(e)
			p.kill, p.stateLost = e.T, p.stateLost || e.Detail == "lost"
		case eventlog.Exit:
			p := proc(e)
			p.end, p.crash = e.T, e.Detail == "crash"
		case eventlog.Slip:
			d.slips = append(d.slips, e)
		case eventlog.KitFailure:
			d.kitFailures = append(d.kitFailures, e)
		case eventlog.End:
			d.ended = true
		default: // no rule depends on the other events
		}
	}
	if !found {
		return nil, errNoWorld
	}
	for _, c := range d.calls {
		c.run = d.runAt(c.Sender, c.T)
	}
	return d, nil
}

// runAt returns the run number of a sender's process at a time: the last one that had started.
func (d *day) runAt(sender string, t int64) int {
	run := 0
	for _, p := range d.senders[sender] {
		if p.start <= t {
			run = max(run, p.run)
		}
	}
	return run
}

// ms converts milliseconds to the log's unit, microseconds.
func ms(v int64) int64 { return v * 1000 }

// at formats a time of the log in seconds.
func at(t int64) string { return fmt.Sprintf("%.3f s", float64(t)/1e6) }

// Judge checks all rules against a day's events.
func Judge(events []eventlog.Event) (Report, error) {
	d, err := index(events)
	if err != nil {
		return Report{}, err
	}
	r := Report{Name: d.figures.Name, Late: d.late()}
	for i, rule := range []struct {
		name  string
		check func(*day) tally
	}{
		{"no message is lost", checkLoss}, {"no effect twice", checkRepeats}, {"drains are kept", checkDraining},
		{"a returning receiver is not pushed over", checkRecovery}, {"a key's order is kept", checkOrder}, {"waits are kept", checkWaits},
	} {
		t := rule.check(d)
		res := Result{Rule: i + 1, Name: rule.name, Verdict: Pass, Tried: t.tried, Broken: t.broken, Evidence: t.evidence}
		switch {
		case t.broken > 0:
			res.Verdict = Fail
		case t.tried == 0:
			res.Verdict = NotTried
		}
		r.Results = append(r.Results, res)
	}
	return r, nil
}

// late returns why a day is inconclusive; "" if it is conclusive.
func (d *day) late() string {
	if !d.ended {
		return "the log ends before the day does"
	}
	if len(d.slips) == 0 {
		return "the kit did not measure its own lateness"
	}
	for _, f := range d.kitFailures {
		return fmt.Sprintf("the kit failed at %s: %s", at(f.T), f.Detail)
	}
	lateMost := time.Duration(d.figures.Grace) * time.Millisecond
	lateP99 := lateMost / p99Divisor
	for _, s := range d.slips {
		if s.MaxUS > lateMost.Microseconds() {
			return fmt.Sprintf("the kit ran %.1f ms late in the second before %s (%v is allowed)", float64(s.MaxUS)/1000, at(s.T), lateMost)
		}
		if s.Count >= minP99Samples && s.P99US > lateP99.Microseconds() {
			return fmt.Sprintf("the kit ran %.1f ms late at p99 in the second before %s (%v is allowed)", float64(s.P99US)/1000, at(s.T), lateP99)
		}
	}
	return ""
}

// tally counts the situations in which a rule could have been broken, and its violations.
type tally struct {
	tried, broken int
	evidence      string
}

func (t *tally) breaks(format string, args ...any) {
	if t.broken++; t.broken == 1 {
		t.evidence = fmt.Sprintf(format, args...)
	}
}
