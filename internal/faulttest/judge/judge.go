// Package judge says from a day's event log alone whether the six rules held. It does no I/O: the same
// events give the same verdict.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// Verdict is what a rule comes to.
type Verdict string

// The verdicts. NotTried means that the day never gave the rule a chance to break.
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
	Tried    int    // chances to break it
	Broken   int    // times it was
	Evidence string // of the first break
}

// Report is the verdict on a day.
type Report struct {
	Name    string
	Results []Result
	Late    string // why the day decides nothing; "" if it does
}

// The exit codes of a verdict.
const (
	ExitPass         = 0
	ExitFail         = 1
	ExitScript       = 2
	ExitInconclusive = 3
)

// Exit is the exit code that the report comes to. A day on which the kit itself was late decides nothing.
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

// The bounds of the kit's own lateness: the most is the rules' grace, as with more what is stamped may be off by
// more than that; the p99 is a part of it.
const (
	lateP99 = 5   // of the grace
	lateFew = 100 // samples: of fewer the p99 is but the most
)

// call is one call at a receiver.
type call struct {
	eventlog.Event // of kind Call
	hand           *hand
	run            int
	done           bool
	end            eventlog.Event // of kind Done
}

// never is whether the outcome proves that the call did not run.
func (c *call) never() bool {
	if !c.done || c.end.Detail != "" {
		return false
	}
	switch c.end.Status {
	case 400, 429, 503, 504:
		return true
	}
	return false
}

// served is whether the call's answer says that the message is delivered.
func (c *call) served() bool { return c.done && c.end.Status == 200 }

// doubtAt is whether at a time the call may have run, or may yet, as far as its sender can know.
func (c *call) doubtAt(t int64) bool { return c.T <= t && !(c.never() && c.end.T <= t) }

// hand is one hand-in.
type hand struct {
	eventlog.Event
	order    int // place in the log
	answer   eventlog.Event
	answered bool
	notices  []eventlog.Event
	calls    []*call
}

// void is whether its client counts on it no longer: it got no answer.
func (h *hand) void() bool { return !h.answered || h.answer.Status == 0 }

func (h *hand) taken() bool {
	return h.answered && (h.answer.Status == 200 || h.answer.Status == 202)
}

// delivered is when the first 200 was written.
func (h *hand) delivered() (int64, bool) {
	at, ok := int64(0), false
	for _, c := range h.calls {
		if c.served() && (!ok || c.end.T < at) {
			at, ok = c.end.T, true
		}
	}
	return at, ok
}

// over is when the message came to its end.
func (h *hand) over() (int64, bool) {
	at, ok := h.delivered()
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
	lost, crash                   bool
}

// gone is from when on the process was being ended; 0 if it never was.
func (p *process) gone() int64 {
	for _, t := range []int64{p.term, p.kill, p.end} {
		if t > 0 {
			return t
		}
	}
	return 0
}

// day is the log, indexed.
type day struct {
	figures  eventlog.Figures
	ids      map[string]*hand
	hands    []*hand
	calls    []*call
	unknown  []eventlog.Event // calls that nobody handed in
	listSent []eventlog.Event
	outages  []eventlog.Event
	senders  map[string][]*process
	names    []string
	end      int64
	ended    bool
	slips    []eventlog.Event
	faults   []eventlog.Event
}

func index(events []eventlog.Event) (*day, error) {
	d := &day{ids: map[string]*hand{}, senders: map[string][]*process{}}
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
			d.names = append(d.names, e.Sender)
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
				// The same event again, at the same sender: it counts as the first try, and what comes of either is one
				// message's.
				d.ids[e.ID] = first
				continue
			}
			h := &hand{Event: e, order: i}
			d.ids[e.ID] = h
			d.hands = append(d.hands, h)
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
			c := &call{Event: e, hand: h}
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
			p.kill, p.lost = e.T, p.lost || e.Detail == "lost"
		case eventlog.Exit:
			p := proc(e)
			p.end, p.crash = e.T, e.Detail == "crash"
		case eventlog.Slip:
			d.slips = append(d.slips, e)
		case eventlog.KitFailure:
			d.faults = append(d.faults, e)
		case eventlog.End:
			d.ended = true
		default: // the other events tell nothing here
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

// runAt is which process of a sender there was at a time: the last that had started.
func (d *day) runAt(sender string, t int64) int {
	run := 0
	for _, p := range d.senders[sender] {
		if p.start <= t {
			run = max(run, p.run)
		}
	}
	return run
}

// ms is a time limit in the log's unit.
func ms(v int64) int64 { return v * 1000 }

// at writes a time for people.
func at(t int64) string { return fmt.Sprintf("%.3f s", float64(t)/1e6) }

// Judge gives the verdict on a day.
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
		{"no message is lost", lost}, {"no effect twice", twice}, {"drains are kept", checkDraining},
		{"a returning receiver is not pushed over", pushed}, {"a key's order is kept", order}, {"waits are kept", waits},
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

// late is why a day decides nothing.
func (d *day) late() string {
	if !d.ended {
		return "the log ends before the day does"
	}
	if len(d.slips) == 0 {
		return "the kit did not measure its own lateness"
	}
	for _, f := range d.faults {
		return fmt.Sprintf("the kit failed at %s: %s", at(f.T), f.Detail)
	}
	lateMost := time.Duration(d.figures.Grace) * time.Millisecond
	lateP99 := lateMost / lateP99
	for _, s := range d.slips {
		if s.MaxUS > lateMost.Microseconds() {
			return fmt.Sprintf("the kit ran %.1f ms late in the second before %s (%v is allowed)", float64(s.MaxUS)/1000, at(s.T), lateMost)
		}
		if s.Count >= lateFew && s.P99US > lateP99.Microseconds() {
			return fmt.Sprintf("the kit ran %.1f ms late at p99 in the second before %s (%v is allowed)", float64(s.P99US)/1000, at(s.T), lateP99)
		}
	}
	return ""
}

// tally counts chances and breaks of a rule.
type tally struct {
	tried, broken int
	evidence      string
}

func (t *tally) breaks(format string, args ...any) {
	if t.broken++; t.broken == 1 {
		t.evidence = fmt.Sprintf(format, args...)
	}
}
