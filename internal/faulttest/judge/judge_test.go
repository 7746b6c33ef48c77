package judge

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// writer builds a day's log. Times are microseconds; each scenario has a receiver of its own.
type writer struct {
	events []eventlog.Event
	calls  int64
	msgs   int
	dest   int
	end    int64
}

const millisecond = 1000

func figures() *eventlog.Figures {
	return &eventlog.Figures{Name: "planted", AnswerGrace: 300, Grace: 50, ReadyGrace: 1500, DrainGrace: 2000, WaitLetIn: 100,
		FallMultiple: 2, FallSpan: 3000, SlowStartCapacity: 0.2, SlowStart: 10000, OrderRest: 800, Patience: 400, Classes: map[string]eventlog.Class{
			"safe": {Effect: "safe", Deadline: 8000}, "keyed": {Effect: "keyed", KeyWindow: 3000, Deadline: 8000},
			"unsafe": {Effect: "unsafe", Deadline: 8000}, "ordered": {Effect: "safe", Ordered: true, Deadline: 8000}}}
}

func newWriter() *writer {
	w := &writer{}
	w.add(eventlog.Event{T: -2000 * millisecond, Kind: eventlog.World, Figures: figures()})
	for _, n := range []string{"n0", "n1"} {
		w.add(eventlog.Event{T: -1000 * millisecond, Kind: eventlog.Start, Sender: n, Run: 1})
		w.add(eventlog.Event{T: -500 * millisecond, Kind: eventlog.Ready, Sender: n, Run: 1})
	}
	return w
}

func (w *writer) add(e eventlog.Event) {
	w.events = append(w.events, e)
	w.end = max(w.end, e.T)
}

// log returns the events and the end of a day on which the kit was never late.
func (w *writer) log() []eventlog.Event {
	return append(w.events[:len(w.events):len(w.events)], eventlog.Event{T: w.end + 1, Kind: eventlog.Slip, MaxUS: 900, P99US: 300, Count: 200},
		eventlog.Event{T: w.end + 20_000*millisecond, Kind: eventlog.End})
}

// accepted hands a message in at t, which is answered 202 two milliseconds later, and returns its id.
func (w *writer) accepted(t int64, sender, class, order string, dest int) string {
	id := w.handIn(t, sender, class, order, dest)
	w.add(eventlog.Event{T: t + 2*millisecond, Kind: eventlog.Answer, Sender: sender, ID: id, Status: 202})
	return id
}

func (w *writer) handIn(t int64, sender, class, order string, dest int) string {
	w.msgs++
	id := fmt.Sprintf("id%d", w.msgs)
	w.add(eventlog.Event{T: t, Kind: eventlog.HandIn, Sender: sender, ID: id, Msg: fmt.Sprintf("m%d", w.msgs), Class: class, Order: order, Dest: dest, Deadline: 8000})
	return id
}

// call adds a call whose last byte arrived at t. It ends at done with a status and a detail, or never if done is 0.
func (w *writer) call(t, done int64, sender, id string, dest, status int, note string) {
	w.calls++
	w.add(eventlog.Event{T: t, Kind: eventlog.Call, Sender: sender, ID: id, Call: w.calls, Dest: dest, Endpoint: fmt.Sprintf("r%d-e0", dest), First: t})
	if done != 0 {
		w.add(eventlog.Event{T: done, Kind: eventlog.Done, ID: id, Call: w.calls, Dest: dest, Status: status, Detail: note})
	}
}

func (w *writer) notice(t int64, sender, id, outcome string) {
	w.add(eventlog.Event{T: t, Kind: eventlog.Notice, Sender: sender, ID: id, Outcome: outcome})
}

// scenario writes events that exceed the limit of a rule by over milliseconds; with 0 or less they keep the rule.
type scenario struct {
	name string
	rule int
	play func(w *writer, t int64, over int64)
}

// slowStartCapacity returns the number of calls that rule 4 allows within its span at a time after an outage.
func slowStartCapacity(after int64, capacity float64) int {
	capacityShare := 0.2 + 0.8*float64(after)/10_000_000
	budget := 2 * capacityShare * capacity * 3
	slack := 4.0
	for slack*slack < budget {
		slack += 1e-4
	}
	return int(budget + slack)
}

var scenarios = []scenario{
	{"the end is a notice", 1, func(w *writer, t, over int64) {
		id := w.accepted(t, "n0", "safe", "", w.dest)
		w.notice(t+(8000+300+50+over)*millisecond, "n0", id, "given_up")
	}},
	{"the end is a delivery", 1, func(w *writer, t, over int64) {
		id := w.accepted(t, "n1", "keyed", "", w.dest)
		w.call(t+8000*millisecond, t+(8000+300+50+over)*millisecond, "n1", id, w.dest, 200, "")
	}},
	{"sent after its notice", 1, func(w *writer, t, over int64) {
		id := w.accepted(t, "n0", "safe", "", w.dest)
		w.notice(t+500*millisecond, "n0", id, "handed_back")
		w.call(t+(500+50+over)*millisecond, t+900*millisecond, "n0", id, w.dest, 200, "")
	}},
	{"a key's window is over", 2, func(w *writer, t, over int64) {
		id := w.accepted(t, "n0", "keyed", "", w.dest)
		w.call(t+5*millisecond, t+100*millisecond, "n0", id, w.dest, 0, eventlog.DetailReset)
		w.call(t+(5+3000+50+over)*millisecond, t+4000*millisecond, "n0", id, w.dest, 200, "")
	}},
	{"an unsafe message before its refusal", 2, func(w *writer, t, over int64) {
		id := w.accepted(t, "n0", "unsafe", "", w.dest)
		w.call(t+5*millisecond, t+100*millisecond, "n0", id, w.dest, 503, "")
		w.call(t+(100-over)*millisecond, t+300*millisecond, "n0", id, w.dest, 200, "")
	}},
	{"an unsafe message handed back before its refusal", 2, func(w *writer, t, over int64) {
		id := w.accepted(t, "n1", "unsafe", "", w.dest)
		w.call(t+5*millisecond, t+100*millisecond, "n1", id, w.dest, 503, "")
		w.notice(t+(100-over)*millisecond, "n1", id, "handed_back")
	}},
	{"a draining endpoint", 3, func(w *writer, t, over int64) {
		w.add(eventlog.Event{T: t, Kind: eventlog.ListSent, Sender: "n0", Run: 1, Endpoint: fmt.Sprintf("r%d-e0", w.dest), Dest: w.dest, State: "DRAINING"})
		id := w.accepted(t+1000*millisecond, "n0", "safe", "", w.dest)
		w.call(t+(2000+50+over)*millisecond, t+2300*millisecond, "n0", id, w.dest, 200, "")
		w.accepted(t+3000*millisecond, "n0", "safe", "", w.dest)
		w.notice(t+3500*millisecond, "n0", fmt.Sprintf("id%d", w.msgs), "given_up")
	}},
	{"a receiver in slow start", 4, func(w *writer, t, over int64) {
		w.add(eventlog.Event{T: t, Kind: eventlog.Outage, Dest: w.dest, State: "on"})
		seen := w.accepted(t+100*millisecond, "n0", "safe", "", w.dest)
		w.call(t+200*millisecond, t+300*millisecond, "n0", seen, w.dest, 503, "")
		w.notice(t+400*millisecond, "n0", seen, "given_up")
		back := t + 5000*millisecond
		w.add(eventlog.Event{T: back, Kind: eventlog.Outage, Dest: w.dest, State: "off", Capacity: 10})
		at := back + 1000*millisecond
		for range slowStartCapacity(1000*millisecond, 10) + int(over) { // over is a number of calls here
			id := w.accepted(at-10*millisecond, "n0", "safe", "", w.dest)
			w.call(at, at+50*millisecond, "n0", id, w.dest, 200, "")
		}
	}},
	{"an ordered key's rest time", 5, func(w *writer, t, over int64) {
		key := fmt.Sprint("k", w.dest)
		a := w.accepted(t, "n0", "ordered", key, w.dest)
		b := w.accepted(t+10*millisecond, "n0", "ordered", key, w.dest)
		w.call(t+20*millisecond, t+500*millisecond, "n0", a, w.dest, 0, eventlog.DetailClosedBySender)
		w.notice(t+510*millisecond, "n0", a, "given_up")
		w.call(t+(500+800-50-over)*millisecond, t+1500*millisecond, "n0", b, w.dest, 200, "")
	}},
	{"an ordered key's calls one at a time", 5, func(w *writer, t, over int64) {
		key := fmt.Sprint("k", w.dest)
		a := w.accepted(t, "n1", "ordered", key, w.dest)
		b := w.accepted(t+10*millisecond, "n1", "ordered", key, w.dest)
		w.call(t+20*millisecond, t+120*millisecond, "n1", a, w.dest, 200, "")
		w.call(t+(120-over)*millisecond, t+300*millisecond, "n1", b, w.dest, 200, "")
	}},
	{"the start of a wait", 6, func(w *writer, t, over int64) {
		id := w.accepted(t, "n0", "safe", "", w.dest)
		w.rateLimited(t+5*millisecond, t+50*millisecond, 1000, "n0", id, w.dest)
		w.call(t+(50+100+over)*millisecond, t+300*millisecond, "n0", id, w.dest, 200, "")
	}},
	{"the end of a wait", 6, func(w *writer, t, over int64) {
		id := w.accepted(t, "n0", "safe", "", w.dest)
		w.rateLimited(t+5*millisecond, t+50*millisecond, 1000, "n0", id, w.dest)
		w.call(t+(50+1000-over)*millisecond, t+1200*millisecond, "n0", id, w.dest, 200, "")
	}},
}

func (w *writer) rateLimited(t, done, ms int64, sender, id string, dest int) {
	w.call(t, done, sender, id, dest, 429, "")
	w.events[len(w.events)-1].WaitMS = ms
}

func verdicts(t *testing.T, events []eventlog.Event) map[int]Result {
	t.Helper()
	r, err := Judge(events)
	if err != nil {
		t.Fatal(err)
	}
	if r.Late != "" {
		t.Fatal("inconclusive: ", r.Late)
	}
	of := map[int]Result{}
	for _, x := range r.Results {
		of[x.Rule] = x
	}
	return of
}

// Tests each limit to the millisecond: at the limit and 1 ms below it the rule passes; 1 ms above it this rule fails, and no other.
func TestLimitsToTheMillisecond(t *testing.T) {
	for _, s := range scenarios {
		for _, over := range []int64{-1, 0, 1, 2} {
			w := newWriter()
			s.play(w, 1000*millisecond, over)
			for rule, r := range verdicts(t, w.log()) {
				switch {
				case rule == s.rule && (r.Verdict == Fail) != (over > 0):
					t.Errorf("%s, %+d ms: rule %d is %s: %s", s.name, over, rule, r.Verdict, r.Evidence)
				case rule != s.rule && r.Verdict == Fail:
					t.Errorf("%s, %+d ms: rule %d fails too: %s", s.name, over, rule, r.Evidence)
				}
			}
		}
	}
}

// In a day of many overlapping scenarios, correct ones pass and an injected fault breaks only its own rule, whatever the order of the
// lines.
func TestJudge_FindsInjectedFaults(t *testing.T) {
	for seed := range uint64(600) {
		rng := rand.New(rand.NewPCG(seed, 9))
		w := newWriter()
		injected := scenarios[rng.IntN(len(scenarios))]
		faulty := seed%4 != 0
		n := 10 + rng.IntN(30)
		at := rng.IntN(n)
		for i := range n {
			w.dest = i
			when := int64(rng.IntN(20_000)) * millisecond
			if i == at && faulty {
				injected.play(w, when, 1+int64(rng.IntN(3)))
				continue
			}
			scenarios[rng.IntN(len(scenarios))].play(w, when, -int64(rng.IntN(3)))
		}
		events := w.log()
		rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		// Lines with the same time are in causal order, as in a log: the judge sorts by time alone.
		for rule, r := range verdicts(t, causal(events)) {
			if want := faulty && rule == injected.rule; (r.Verdict == Fail) != want {
				t.Fatalf("seed %d, injected %q (%v): rule %d is %s: %s", seed, injected.name, faulty, rule, r.Verdict, r.Evidence)
			}
		}
	}
}

// causal puts calls before their ends, hand-ins before their answers and the day's end last, as a log has them.
func causal(events []eventlog.Event) []eventlog.Event {
	rank := map[eventlog.Kind]int{eventlog.World: 0, eventlog.HandIn: 1, eventlog.Answer: 2, eventlog.Call: 3, eventlog.Done: 4, eventlog.End: 6}
	var out []eventlog.Event
	for r := range 7 {
		for _, e := range events {
			k, ok := rank[e.Kind]
			if !ok {
				k = 5
			}
			if k == r {
				out = append(out, e)
			}
		}
	}
	return out
}

// A day without a situation in which a rule could have been broken does not pass the rule.
func TestNotTried(t *testing.T) {
	for rule, r := range verdicts(t, newWriter().log()) {
		if r.Verdict != NotTried {
			t.Errorf("rule %d of an empty day is %s", rule, r.Verdict)
		}
	}
}

func TestLost(t *testing.T) {
	process := func(w *writer, kind eventlog.Kind, at int64, run int, note string) {
		w.add(eventlog.Event{T: at * millisecond, Kind: kind, Sender: "n0", Run: run, Detail: note})
	}
	for name, c := range map[string]struct {
		play func(w *writer)
		want Verdict
	}{
		"no end at all": {func(w *writer) { w.accepted(0, "n0", "safe", "", 0) }, Fail},
		"two ends": {func(w *writer) {
			id := w.accepted(0, "n0", "safe", "", 0)
			w.notice(100*millisecond, "n0", id, "given_up")
			w.notice(200*millisecond, "n0", id, "handed_back")
		}, Fail},
		"the same notice again": {func(w *writer) {
			id := w.accepted(0, "n0", "safe", "", 0)
			w.notice(100*millisecond, "n0", id, "given_up")
			w.notice(200*millisecond, "n0", id, "given_up")
		}, Pass},
		"not answered before its client's time-out": {func(w *writer) {
			id := w.handIn(0, "n0", "safe", "", 0)
			w.add(eventlog.Event{T: 400 * millisecond, Kind: eventlog.Answer, ID: id, Sender: "n0", Detail: "patience"})
		}, NotTried},
		"closed without an answer": {func(w *writer) {
			id := w.handIn(0, "n0", "safe", "", 0)
			w.add(eventlog.Event{T: 10 * millisecond, Kind: eventlog.Answer, ID: id, Sender: "n0", Detail: "closed"})
		}, Fail},
		"closed by a kill": {func(w *writer) {
			id := w.handIn(0, "n0", "safe", "", 0)
			process(w, eventlog.Killed, 5, 1, "")
			w.add(eventlog.Event{T: 10 * millisecond, Kind: eventlog.Answer, ID: id, Sender: "n0", Detail: "closed"})
		}, NotTried},
		"lost with the machine": {func(w *writer) {
			w.accepted(0, "n0", "safe", "", 0)
			process(w, eventlog.Killed, 500, 1, "lost")
		}, NotTried},
		"overdue before the machine was lost": {func(w *writer) {
			w.accepted(0, "n0", "safe", "", 0)
			process(w, eventlog.Killed, 9000, 1, "lost")
		}, Fail},
		"a crash": {func(w *writer) { process(w, eventlog.Exit, 500, 1, "crash") }, Fail},
		"due while its sender restarts, notice in time after it": {func(w *writer) {
			id := w.accepted(0, "n0", "safe", "", 0)
			process(w, eventlog.Term, 8000, 1, "")
			process(w, eventlog.Start, 12000, 2, "")
			process(w, eventlog.Ready, 12100, 2, "")
			w.notice((12100+1500+50)*millisecond, "n0", id, "given_up")
		}, Pass},
		"due while its sender restarts, notice late after it": {func(w *writer) {
			id := w.accepted(0, "n0", "safe", "", 0)
			process(w, eventlog.Term, 8000, 1, "")
			process(w, eventlog.Start, 12000, 2, "")
			process(w, eventlog.Ready, 12100, 2, "")
			w.notice((12100+1500+51)*millisecond, "n0", id, "given_up")
		}, Fail},
	} {
		w := newWriter()
		c.play(w)
		if r := verdicts(t, w.log())[1]; r.Verdict != c.want {
			t.Errorf("%s: %s, want %s (%s)", name, r.Verdict, c.want, r.Evidence)
		}
	}
}

func TestTwice(t *testing.T) {
	for name, c := range map[string]struct {
		play func(w *writer)
		want Verdict
	}{
		"an unsafe message again after a reset": {func(w *writer) {
			id := w.accepted(0, "n0", "unsafe", "", 0)
			w.call(5*millisecond, 50*millisecond, "n0", id, 0, 0, eventlog.DetailReset)
			w.call(90*millisecond, 150*millisecond, "n0", id, 0, 200, "")
		}, Fail},
		"an unsafe message again while a call is in flight": {func(w *writer) {
			id := w.accepted(0, "n0", "unsafe", "", 0)
			w.call(5*millisecond, 0, "n0", id, 0, 0, "")
			w.call(90*millisecond, 150*millisecond, "n0", id, 0, 200, "")
		}, Fail},
		"an unsafe message again after a corrupt 503": {func(w *writer) {
			id := w.accepted(0, "n0", "unsafe", "", 0)
			w.call(5*millisecond, 50*millisecond, "n0", id, 0, 503, eventlog.DetailCorrupt)
			w.call(90*millisecond, 150*millisecond, "n0", id, 0, 200, "")
		}, Fail},
		"an unsafe message again after refusals": {func(w *writer) {
			id := w.accepted(0, "n0", "unsafe", "", 0)
			w.call(5*millisecond, 50*millisecond, "n0", id, 0, 503, "")
			w.call(60*millisecond, 70*millisecond, "n0", id, 0, 429, "")
			w.call(90*millisecond, 150*millisecond, "n0", id, 0, 200, "")
		}, NotTried},
		"an unsafe message given up after a reset": {func(w *writer) {
			id := w.accepted(0, "n0", "unsafe", "", 0)
			w.call(5*millisecond, 50*millisecond, "n0", id, 0, 0, eventlog.DetailReset)
			w.notice(60*millisecond, "n0", id, "given_up")
		}, Pass},
		"an unsafe message refused after a reset": {func(w *writer) {
			id := w.handIn(0, "n0", "unsafe", "", 0)
			w.call(5*millisecond, 50*millisecond, "n0", id, 0, 0, eventlog.DetailReset)
			w.add(eventlog.Event{T: 60 * millisecond, Kind: eventlog.Answer, Sender: "n0", ID: id, Status: 503})
		}, Fail},
		"a safe message sent repeatedly": {func(w *writer) {
			id := w.accepted(0, "n0", "safe", "", 0)
			w.call(5*millisecond, 50*millisecond, "n0", id, 0, 0, eventlog.DetailReset)
			w.call(90*millisecond, 150*millisecond, "n0", id, 0, 200, "")
			w.call(95*millisecond, 160*millisecond, "n0", id, 0, 200, "")
		}, NotTried},
		"a message that no client handed in": {func(w *writer) { w.call(5*millisecond, 0, "n0", "other", 0, 0, "") }, Fail},
		"a message at another receiver": {func(w *writer) {
			w.call(90*millisecond, 95*millisecond, "n0", w.accepted(0, "n0", "safe", "", 0), 1, 200, "")
			w.notice(100*millisecond, "n0", "id1", "given_up")
		}, Fail},
		"a hand-in whose client timed out is not judged": {func(w *writer) {
			id := w.handIn(0, "n0", "unsafe", "", 0)
			w.add(eventlog.Event{T: 400 * millisecond, Kind: eventlog.Answer, ID: id, Sender: "n0", Detail: "patience"})
			w.call(5*millisecond, 50*millisecond, "n0", id, 0, 0, eventlog.DetailReset)
			w.call(90*millisecond, 150*millisecond, "n0", id, 0, 200, "")
		}, NotTried},
	} {
		w := newWriter()
		c.play(w)
		if r := verdicts(t, w.log())[2]; r.Verdict != c.want {
			t.Errorf("%s: %s, want %s (%s)", name, r.Verdict, c.want, r.Evidence)
		}
	}
}

// Rule 4 is broken only if at least two thirds of the load came from senders that knew of the outage.
func TestPushedByThoseWhoKnew(t *testing.T) {
	for _, c := range []struct {
		known, all    int
		noConnections bool // no connections during the outage: a sender knows of it if it held a message through it
		want          Verdict
	}{
		{40, 60, false, Fail}, {39, 60, false, Pass}, {0, 60, false, NotTried}, {60, 60, false, Fail}, {60, 60, true, Fail},
	} {
		w := newWriter()
		w.add(eventlog.Event{T: 1000 * millisecond, Kind: eventlog.Outage, State: "on"})
		id := w.accepted(1100*millisecond, "n0", "safe", "", 0)
		if !c.noConnections {
			w.call(1200*millisecond, 1300*millisecond, "n0", id, 0, 503, "")
		}
		w.add(eventlog.Event{T: 5000 * millisecond, Kind: eventlog.Outage, State: "off", Capacity: 10})
		w.notice(5100*millisecond, "n0", id, "given_up")
		for i := range c.all {
			sender := "n0"
			if i < c.all-c.known {
				sender = "n1"
			}
			id := w.accepted(5500*millisecond, sender, "safe", "", 0)
			w.call(5600*millisecond+int64(i), 5700*millisecond, sender, id, 0, 200, "")
		}
		if r := verdicts(t, w.log())[4]; r.Verdict != c.want {
			t.Errorf("%d of %d calls from senders that knew of the outage: %s, want %s (%s)", c.known, c.all, r.Verdict, c.want, r.Evidence)
		}
	}
}

// A restarted sender is not expected to know of an outage or a wait that its previous process saw.
func TestRestartForgetsAnOutageAndAWait(t *testing.T) {
	w := newWriter()
	w.add(eventlog.Event{T: 1000 * millisecond, Kind: eventlog.Outage, State: "on"})
	id := w.accepted(1100*millisecond, "n0", "safe", "", 0)
	w.rateLimited(1200*millisecond, 1300*millisecond, 20_000, "n0", id, 0)
	w.notice(1400*millisecond, "n0", id, "given_up")
	w.add(eventlog.Event{T: 4000 * millisecond, Kind: eventlog.Killed, Sender: "n0", Run: 1})
	w.add(eventlog.Event{T: 4600 * millisecond, Kind: eventlog.Start, Sender: "n0", Run: 2})
	w.add(eventlog.Event{T: 4700 * millisecond, Kind: eventlog.Ready, Sender: "n0", Run: 2})
	w.add(eventlog.Event{T: 5000 * millisecond, Kind: eventlog.Outage, State: "off", Capacity: 1})
	for range 60 {
		id := w.accepted(5500*millisecond, "n0", "safe", "", 0)
		w.call(5600*millisecond, 5700*millisecond, "n0", id, 0, 200, "")
	}
	of := verdicts(t, w.log())
	if of[4].Verdict != NotTried || of[6].Verdict == Fail {
		t.Errorf("rule 4 %s (%s), rule 6 %s (%s)", of[4].Verdict, of[4].Evidence, of[6].Verdict, of[6].Evidence)
	}
}

func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		play func(w *writer, a, b string)
		want Verdict
	}{
		"the later one first": {func(w *writer, a, b string) {
			w.call(30*millisecond, 40*millisecond, "n0", b, 0, 200, "")
			w.call(50*millisecond, 60*millisecond, "n0", a, 0, 200, "")
		}, Fail},
		"the later one while the earlier waits to be given up": {func(w *writer, a, b string) {
			w.call(30*millisecond, 40*millisecond, "n0", b, 0, 200, "")
			w.notice(5000*millisecond, "n0", a, "given_up")
		}, Fail},
		"the earlier one was given up just before": {func(w *writer, a, b string) {
			w.call(30*millisecond, 40*millisecond, "n0", b, 0, 200, "")
			w.notice(35*millisecond, "n0", a, "given_up")
		}, Pass},
		"another attempt of the earlier one": {func(w *writer, a, b string) {
			w.call(30*millisecond, 40*millisecond, "n0", a, 0, 0, eventlog.DetailReset)
			w.call(50*millisecond, 60*millisecond, "n0", a, 0, 200, "")
			w.call(900*millisecond, 950*millisecond, "n0", b, 0, 200, "")
		}, Pass},
	} {
		w := newWriter()
		a := w.accepted(0, "n0", "ordered", "k", 0)
		b := w.accepted(10*millisecond, "n0", "ordered", "k", 0)
		c.play(w, a, b)
		if r := verdicts(t, w.log())[5]; r.Verdict != c.want {
			t.Errorf("%s: %s, want %s (%s)", name, r.Verdict, c.want, r.Evidence)
		}
	}
}

// An endpoint that serves again is no longer draining.
func TestJudge_DrainingThatStops(t *testing.T) {
	w := newWriter()
	sendList := func(at int64, state string) {
		w.add(eventlog.Event{T: at * millisecond, Kind: eventlog.ListSent, Sender: "n0", Run: 1, Endpoint: "r0-e0", State: state})
	}
	sendList(0, "DRAINING")
	sendList(1000, "DELETED") // the span still begins with DRAINING
	sendList(3000, "SERVING")
	id := w.accepted(3000*millisecond, "n0", "safe", "", 0)
	w.call(3010*millisecond, 3100*millisecond, "n0", id, 0, 200, "")
	if r := verdicts(t, w.log())[3]; r.Verdict != NotTried {
		t.Errorf("%s: %s", r.Verdict, r.Evidence)
	}
	sendList(9000, "DRAINING")
	id = w.accepted(12_000*millisecond, "n0", "safe", "", 0)
	w.call(12_010*millisecond, 12_100*millisecond, "n0", id, 0, 200, "")
	if r := verdicts(t, w.log())[3]; r.Verdict != Fail {
		t.Errorf("%s", r.Verdict)
	}
}

// withGrace sets another grace in a day's figures.
func withGrace(events []eventlog.Event, ms int64) []eventlog.Event {
	for _, e := range events {
		if e.Figures != nil {
			e.Figures.Grace = ms
		}
	}
	return events
}

// A day on which the kit was late or failed is inconclusive, whatever the verdicts on the rules.
func TestInconclusive(t *testing.T) {
	slip := func(maxUS, p99 int64) []eventlog.Event {
		w := newWriter()
		w.add(eventlog.Event{Kind: eventlog.Slip, MaxUS: maxUS, P99US: p99, Count: 100})
		return w.log()
	}
	for name, c := range map[string]struct {
		events []eventlog.Event
		code   int
		says   string
	}{
		"in time":                         {newWriter().log(), ExitPass, ""},
		"at the bound":                    {slip(50_000, 10_000), ExitPass, ""},
		"late once":                       {slip(50_001, 100), ExitInconclusive, "50.0 ms late"},
		"late at p99":                     {slip(20_000, 10_001), ExitInconclusive, "p99"},
		"the kit failed":                  {append([]eventlog.Event{{Kind: eventlog.KitFailure, Detail: "no port"}}, newWriter().log()...), ExitInconclusive, "no port"},
		"the kit failed during clean-up":  {append(newWriter().log(), eventlog.Event{Kind: eventlog.KitFailure, Detail: "no port"}), ExitPass, ""},
		"log cut off":                     {newWriter().events, ExitInconclusive, "ends before"},
		"late with a longer grace":        {withGrace(slip(300_001, 100), 300), ExitInconclusive, "300.0 ms late"},
		"late at p99 with a longer grace": {withGrace(slip(200_000, 60_001), 300), ExitInconclusive, "p99"},
		"in time with a longer grace":     {withGrace(slip(300_000, 60_000), 300), ExitPass, ""},
	} {
		r, err := Judge(c.events)
		if err != nil {
			t.Fatal(err)
		}
		if r.Exit() != c.code || !strings.Contains(r.Late, c.says) {
			t.Errorf("%s: exit %d, %q", name, r.Exit(), r.Late)
		}
	}
	w := newWriter()
	w.accepted(0, "n0", "safe", "", 0)
	if r, _ := Judge(w.log()); r.Exit() != ExitFail {
		t.Errorf("a broken rule ends with %d", r.Exit())
	}
	if _, err := Judge(nil); err == nil {
		t.Error("no error for a log without figures")
	}
}

// resubmit hands in the event of an earlier hand-in again at a sender, which answers with status.
func (w *writer) resubmit(t int64, sender, first string, dest, status int) string {
	w.msgs++
	id := fmt.Sprintf("id%d", w.msgs)
	w.add(eventlog.Event{T: t, Kind: eventlog.HandIn, Sender: sender, ID: id, Event: first, Msg: "m-" + first, Class: "unsafe", Dest: dest, Deadline: 8000})
	w.add(eventlog.Event{T: t + 2*millisecond, Kind: eventlog.Answer, Sender: sender, ID: id, Status: status})
	return id
}

// An event that is handed in again is the same message as the first hand-in: it is delivered once or ends by a notice, and a second
// delivery breaks rule 2.
func TestJudge_RepeatedEvent(t *testing.T) {
	for name, c := range map[string]struct {
		play func(w *writer, first string)
		rule int // that is broken; 0 for none
	}{
		"delivered": {func(w *writer, first string) {
			w.call(20*millisecond, 60*millisecond, "n0", first, 0, 200, "")
			w.resubmit(100*millisecond, "n0", first, 0, 200)
		}, 0},
		"accepted, then delivered under the second id": {func(w *writer, first string) {
			id := w.resubmit(100*millisecond, "n0", first, 0, 202)
			w.call(200*millisecond, 260*millisecond, "n0", id, 0, 200, "")
		}, 0},
		"accepted, then given up": {func(w *writer, first string) {
			w.resubmit(100*millisecond, "n0", first, 0, 202)
			w.notice(200*millisecond, "n0", first, "given_up")
		}, 0},
		"never ended": {func(w *writer, first string) { w.resubmit(100*millisecond, "n0", first, 0, 202) }, 1},
		"delivered under both ids": {func(w *writer, first string) {
			id := w.resubmit(100*millisecond, "n0", first, 0, 202)
			w.call(120*millisecond, 160*millisecond, "n0", first, 0, 200, "")
			w.call(220*millisecond, 260*millisecond, "n0", id, 0, 200, "")
		}, 2},
		"no answer to either hand-in": {func(w *writer, first string) { w.resubmit(100*millisecond, "n0", first, 0, 0) }, 0},
	} {
		w := newWriter()
		first := w.handIn(10*millisecond, "n0", "unsafe", "", 0)
		w.add(eventlog.Event{T: 12 * millisecond, Kind: eventlog.Answer, Sender: "n0", ID: first, Detail: "lost"})
		c.play(w, first)
		for rule, r := range verdicts(t, w.log()) {
			if (r.Verdict == Fail) != (rule == c.rule) {
				t.Errorf("%s: rule %d %s: %s", name, rule, r.Verdict, r.Evidence)
			}
		}
	}
}

// A call that differs from what was handed in breaks rule 2, and the evidence has the reason. Rule 4 counts a call with several messages
// once.
func TestCallsOfEvents(t *testing.T) {
	w := newWriter()
	id := w.accepted(0, "n0", "safe", "", 0)
	w.add(eventlog.Event{T: 10 * millisecond, Kind: eventlog.Call, Dest: 0, Endpoint: "r0-e0", ID: id, Detail: "unknown", State: "event x is not what its client sent"})
	w.notice(20*millisecond, "n0", id, "given_up")
	if r := verdicts(t, w.log())[2]; r.Verdict != Fail || !strings.Contains(r.Evidence, "not what its client sent") {
		t.Errorf("%+v", r)
	}
	for _, together := range []bool{true, false} {
		w := newWriter()
		w.add(eventlog.Event{T: 0, Kind: eventlog.Outage, Dest: 0, State: "on"})
		seen := w.accepted(100*millisecond, "n0", "safe", "", 0)
		w.call(200*millisecond, 300*millisecond, "n0", seen, 0, 503, "")
		w.notice(400*millisecond, "n0", seen, "given_up")
		w.add(eventlog.Event{T: 5000 * millisecond, Kind: eventlog.Outage, Dest: 0, State: "off", Capacity: 10})
		first := int64(0)
		for i := range 2 * slowStartCapacity(1000*millisecond, 10) {
			id := w.accepted(5900*millisecond, "n0", "safe", "", 0)
			w.call(6000*millisecond, 6050*millisecond, "n0", id, 0, 200, "")
			if call := &w.events[len(w.events)-2]; i%10 == 0 {
				first = call.Call
			} else if together {
				call.With = first
			}
		}
		if r := verdicts(t, w.log())[4]; (r.Verdict == Fail) == together {
			t.Errorf("together %v: %s %s", together, r.Verdict, r.Evidence)
		}
	}
}
