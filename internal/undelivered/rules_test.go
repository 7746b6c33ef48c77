package undelivered

import (
	"strings"
	"testing"
	"time"
)

// Whatever the rules, an operator and the state say, what may not go is never chosen; and each reason for not going has its
// words.
func TestChooseExhaustively(t *testing.T) {
	const window, second = 10 * time.Second, int64(time.Second)
	now := int64(1000) * second
	rules := [][]Rule{nil, {{Name: "r", Share: 1, Most: 2, Age: time.Minute, Deadline: time.Second}}, {{Name: "r", Share: 1, Most: 2, Drop: true, Deadline: time.Second}},
		{{Name: "r", ByHand: true, Share: 1, Most: 2, Deadline: time.Second}}, {{Name: "r", Members: []string{"other"}, Share: 1, Most: 2, Deadline: time.Second}}}
	n := map[Choice]int{}
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		for _, outcome := range []Outcome{"", Refused, TimedOut, Unknown} {
			for _, age := range []int64{1, 5, 30, 300} {
				for _, ordered := range []bool{false, true} {
					for _, how := range []string{GivenUp, HandedBack} {
						for _, state := range []State{Kept, Settled, Resending} {
							for lives := range 4 {
								for i, set := range rules {
									for _, hand := range []bool{false, true} {
										e := Entry{Member: "m", Effect: effect, Ordered: ordered, Key: "k", How: how, State: state, Lives: lives, Ended: now - age*second, Deadline: now - age*second}
										if outcome != "" {
											e.Attempts = []Attempt{{At: now - (age+1)*second, Outcome: outcome}}
										}
										c, why := Choose(set, &e, window, now, hand)
										n[c]++
										may, _ := MayGoAgain(e.History(), window, now)
										if (c == GoAgain || c == DropIt) && (may == Never || state != Kept) {
											t.Fatalf("%+v: %v", e, c)
										}
										if c == GoAgain && !hand && (how == HandedBack || i == 0 || i >= 3 || lives >= 2 || i == 1 && age > 60) {
											t.Fatalf("%+v goes by rules %d", e, i)
										}
										if (why == "") != (c == GoAgain) {
											t.Fatalf("%v because %q", c, why)
										}
									}
								}
							}
						}
					}
				}
			}
		}
	}
	for c := GoAgain; c <= NotByRule; c++ {
		if n[c] == 0 {
			t.Errorf("choice %d was never made", c)
		}
	}
}

func TestGate(t *testing.T) {
	const s = time.Second
	rule := &Rule{WellFor: 30 * s, Share: 0.5}
	noon := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	well := Receiver{Well: true, For: time.Minute, Rate: 4}
	g := &Gate{}
	pass := func(now time.Duration, r Receiver) int {
		n, why, again := g.Pass(now, noon, rule, r)
		if (n == 0) != (why != "") || n == 0 && again <= 0 {
			t.Fatalf("%d, %q, %v", n, why, again)
		}
		return n
	}
	if pass(0, well) != 0 { // nothing is saved up
		t.Error("it begins with a burst")
	}
	if pass(s, well) != 1 { // 2 a second, but one at once
		t.Error("not one after a second")
	}
	out := well
	out.Out = 1
	if pass(2*s, out) != 0 {
		t.Error("a second one before the first has shown that it is borne")
	}
	g.Ended(true)
	if pass(2*s, out) != 1 {
		t.Error("none more after one was delivered")
	}
	for name, r := range map[string]Receiver{"not well": {}, "well for a moment": {Well: true, For: s, Rate: 4}} {
		if pass(3*s, r) != 0 || g.window != 1 || g.tokens != 0 {
			t.Errorf("%s: it goes, or goes on as before when it is well", name)
		}
	}
	busy := well
	busy.Waiting = 1
	if pass(10*s, busy) != 0 {
		t.Error("before live ones")
	}
	// Over a minute no more than the share of the pace goes.
	g, n := &Gate{}, 0
	for now := time.Duration(0); now <= time.Minute; now += 50 * time.Millisecond {
		k, _, _ := g.Pass(now, noon, rule, well)
		n += k
		for range k {
			g.Ended(true)
		}
	}
	if n < 110 || n > 122 {
		t.Errorf("%d in a minute, 120 are its share", n)
	}
	g.Ended(false)
	if g.window > gateWindow/2 {
		t.Error("a failure changes nothing")
	}
	night := &Rule{From: 22 * time.Hour, To: 5 * time.Hour, Share: 1}
	if n, why, _ := (&Gate{}).Pass(s, noon, night, well); n != 0 || !strings.Contains(why, "time of day") {
		t.Error(n, why)
	}
	for at, want := range map[int]bool{23: true, 4: true, 5: false, 21: false} {
		if night.Open(noon.Add(time.Duration(at-12)*time.Hour)) != want {
			t.Errorf("open at %d: want %v", at, want)
		}
	}
}

func TestCheckRules(t *testing.T) {
	good := Rule{Name: "a", Members: []string{"m"}, Share: 1, Most: 1, Deadline: time.Second}
	for want, edit := range map[string]func(r *Rule){"no name": func(r *Rule) { r.Name = "" }, "share": func(r *Rule) { r.Share = 0 }, "most": func(r *Rule) { r.Most = 0 },
		"deadline": func(r *Rule) { r.Deadline = 0 }, "times of day": func(r *Rule) { r.From = 25 * time.Hour }, "handed back": func(r *Rule) { r.Reasons = []Reason{NotComeAgain} }} {
		r := good
		edit(&r)
		if _, err := CheckRules([]Rule{r}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	b := good
	b.Name, b.Reasons = "b", []Reason{OutOfTime}
	if at, err := CheckRules([]Rule{good, b}); err == nil || at != 1 || !strings.Contains(err.Error(), "never reached") {
		t.Error(err)
	}
	if _, err := CheckRules([]Rule{b, good}); err != nil { // two that overlap: the first counts
		t.Error(err)
	}
	e := Entry{Member: "m", Reason: OutOfTime}
	if RuleOf([]Rule{b, good}, &e).Name != "b" || RuleOf([]Rule{good}, &Entry{Member: "x"}) != nil {
		t.Error("another rule counts")
	}
}

// An entry's way through its lives, with each step offered again as after a kill.
func TestLives(t *testing.T) {
	s, err := Open(t.TempDir()+"/u.db", Limits{Bytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	first := Entry{Message: "m", Member: "a", Class: "c", Key: "k", How: GivenUp, Reason: RefusedAll, Ended: 10, Attempts: []Attempt{{At: 1, Outcome: Refused}}}
	keep := func(e Entry) {
		t.Helper()
		for range 2 {
			if err := s.Keep([]Entry{e}, 100); err != nil {
				t.Fatal(err)
			}
			if err := s.Check(); err != nil {
				t.Fatal(err)
			}
		}
	}
	only := func() (k Key, e Entry, n int) {
		t.Helper()
		if err := s.List(Filter{}, func(at Key, x Entry) bool { k, e, n = at, x, n+1; return true }); err != nil {
			t.Fatal(err)
		}
		return k, e, n
	}
	keep(first)
	k, _, _ := only()
	if begun, err := s.Begin([]Key{k, {}}); err != nil || len(begun) != 1 || begun[0].State != Resending {
		t.Fatal(begun, err)
	}
	if begun, _ := s.Begin([]Key{k}); len(begun) != 0 {
		t.Error("it is begun twice")
	}
	if err := s.Settle(k, "x", "y", 1); err == nil {
		t.Error("what is on its way is settled")
	}
	if n, err := s.Reconcile(map[string]bool{"m": true}); n != 0 || err != nil {
		t.Error("what the journal holds is kept again", err)
	}
	if n, err := s.Reconcile(nil); n != 1 || err != nil {
		t.Error("what no journal holds is not kept again", err)
	}
	s.Begin([]Key{k})
	keep(first) // the first end, offered late: it is known
	if _, e, _ := only(); e.State != Resending {
		t.Error("a late offer of the first end changes it")
	}
	again := first
	again.Lives, again.Ended, again.Reason = 1, 20, LastErrored
	again.Attempts = append(again.Attempts, Attempt{At: 15, Outcome: Errored})
	keep(again)
	k, e, n := only()
	if n != 1 || e.State != Kept || e.Lives != 1 || e.First() != 10 || len(e.Attempts) != 2 {
		t.Errorf("%d %+v", n, e)
	}
	if n, err := s.Want([]Key{k}, true); n != 1 || err != nil {
		t.Error(n, err)
	}
	s.Begin([]Key{k})
	done := again
	done.Lives, done.Ended, done.How = 2, 30, Delivered
	keep(done)
	if _, _, n := only(); n != 0 {
		t.Error("what was delivered is kept still")
	}
	if c, _ := s.Count(); c.Resent != 1 {
		t.Errorf("%+v", c)
	}
	// Its client hands it in anew while it is kept.
	keep(first)
	if err := s.HandedIn([][2]string{{"a", "other"}, {"b", "k"}, {"a", "k"}}, 50); err != nil {
		t.Fatal(err)
	}
	if _, e, _ := only(); e.State != Settled || e.By != "client" {
		t.Errorf("%+v", e)
	}
	// What is too old goes a little at a time.
	s.limits.Age = 5
	for i := range 5 {
		keep(Entry{Message: string(rune('p' + i)), Member: "a", Ended: int64(200 + i)})
	}
	if n, more, err := s.Expire(1000, 3); n != 3 || !more || err != nil {
		t.Error(n, more, err)
	}
}
