package undelivered

import (
	"strings"
	"testing"
	"time"
)

// Choose never resends or drops a message that MayResend forbids or that is not in state stored, whatever the rules and the operator's
// request. Every choice but ResendNow comes with a reason.
func TestChoose_Exhaustively(t *testing.T) {
	const window, second = 10 * time.Second, int64(time.Second)
	now := int64(1000) * second
	rules := [][]Rule{nil, {{Name: "r", RateFraction: 1, MaxResends: 2, MaxAge: time.Minute, Deadline: time.Second}}, {{Name: "r", RateFraction: 1, MaxResends: 2, DropExhausted: true, Deadline: time.Second}},
		{{Name: "r", ManualOnly: true, RateFraction: 1, MaxResends: 2, Deadline: time.Second}}, {{Name: "r", Members: []string{"other"}, RateFraction: 1, MaxResends: 2, Deadline: time.Second}}}
	n := map[Choice]int{}
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		for _, outcome := range []Outcome{"", Rejected, TimedOut, Unknown} {
			for _, age := range []int64{1, 5, 30, 300} {
				for _, ordered := range []bool{false, true} {
					for _, ending := range []string{GivenUp, HandedBack} {
						for _, state := range []State{Stored, Resolved, Resending} {
							for resends := range 4 {
								for i, set := range rules {
									for _, manual := range []bool{false, true} {
										e := Entry{Member: "m", Effect: effect, Ordered: ordered, Key: "k", Ending: ending, State: state, Resends: resends, EndedAt: now - age*second, Deadline: now - age*second}
										if outcome != "" {
											e.Attempts = []Attempt{{At: now - (age+1)*second, Outcome: outcome}}
										}
										c, why := Choose(set, &e, window, now, manual)
										n[c]++
										may, _ := MayResend(e.History(), window, now)
										if (c == ResendNow || c == DropEntry) && (may == Forbidden || state != Stored) {
											t.Fatalf("%+v: %v", e, c)
										}
										if c == ResendNow && !manual && (ending == HandedBack || i == 0 || i >= 3 || resends >= 2 || i == 1 && age > 60) {
											t.Fatalf("%+v is resent under rules %d", e, i)
										}
										if (why == "") != (c == ResendNow) {
											t.Fatalf("choice %v with the reason %q", c, why)
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
	for c := ResendNow; c <= NoRuleApplies; c++ {
		if n[c] == 0 {
			t.Errorf("choice %d was never made", c)
		}
	}
}

func TestPacer_Admit(t *testing.T) {
	const s = time.Second
	rule := &Rule{HealthyFor: 30 * s, RateFraction: 0.5}
	noon := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	healthy := Receiver{Healthy: true, HealthyFor: time.Minute, Rate: 4}
	g := &Pacer{}
	admit := func(now time.Duration, r Receiver) int {
		n, why, again := g.Admit(now, noon, rule, r)
		if (n == 0) != (why != "") || n == 0 && again <= 0 {
			t.Fatalf("%d, %q, %v", n, why, again)
		}
		return n
	}
	if admit(0, healthy) != 0 { // the token bucket is empty at first
		t.Error("the first call admits a message")
	}
	if admit(s, healthy) != 1 { // 2 a second, but the window is 1
		t.Error("a second later no message is admitted, or more than one")
	}
	out := healthy
	out.InFlight = 1
	if admit(2*s, out) != 0 {
		t.Error("a second message is admitted before the first has ended")
	}
	g.RecordResult(true)
	if admit(2*s, out) != 1 {
		t.Error("no message is admitted after one was delivered")
	}
	for name, r := range map[string]Receiver{"not healthy": {}, "healthy for too short a time": {Healthy: true, HealthyFor: s, Rate: 4}} {
		if admit(3*s, r) != 0 || g.window != 1 || g.tokens != 0 {
			t.Errorf("%s: a message is admitted, or tokens and window are not reset", name)
		}
	}
	busy := healthy
	busy.Waiting = 1
	if admit(10*s, busy) != 0 {
		t.Error("a message is admitted while live messages wait")
	}
	// Over a minute the fraction of the receiver's rate is used and not exceeded.
	g, n := &Pacer{}, 0
	for now := time.Duration(0); now <= time.Minute; now += 50 * time.Millisecond {
		k, _, _ := g.Admit(now, noon, rule, healthy)
		n += k
		for range k {
			g.RecordResult(true)
		}
	}
	if n < 110 || n > 122 {
		t.Errorf("%d in a minute, want about 120", n)
	}
	g.RecordResult(false)
	if g.window > maxWindow/2 {
		t.Error("a failure does not halve the window")
	}
	night := &Rule{From: 22 * time.Hour, To: 5 * time.Hour, RateFraction: 1}
	if n, why, _ := (&Pacer{}).Admit(s, noon, night, healthy); n != 0 || !strings.Contains(why, "time of day") {
		t.Error(n, why)
	}
	for at, want := range map[int]bool{23: true, 4: true, 5: false, 21: false} {
		if night.Open(noon.Add(time.Duration(at-12)*time.Hour)) != want {
			t.Errorf("open at %d: want %v", at, want)
		}
	}
}

func TestCheckRules(t *testing.T) {
	good := Rule{Name: "a", Members: []string{"m"}, RateFraction: 1, MaxResends: 1, Deadline: time.Second}
	for want, edit := range map[string]func(r *Rule){"no name": func(r *Rule) { r.Name = "" }, "share": func(r *Rule) { r.RateFraction = 0 }, "most": func(r *Rule) { r.MaxResends = 0 },
		"deadline": func(r *Rule) { r.Deadline = 0 }, "times of day": func(r *Rule) { r.From = 25 * time.Hour }, "handed back": func(r *Rule) { r.Reasons = []Reason{ReasonHandedBack} }} {
		r := good
		edit(&r)
		if _, err := CheckRules([]Rule{r}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want an error with %q", err, want)
		}
	}
	b := good
	b.Name, b.Reasons = "b", []Reason{ReasonExpired}
	if at, err := CheckRules([]Rule{good, b}); err == nil || at != 1 || !strings.Contains(err.Error(), "never reached") {
		t.Error(err)
	}
	if _, err := CheckRules([]Rule{b, good}); err != nil { // two rules that overlap: the first applies
		t.Error(err)
	}
	e := Entry{Member: "m", Reason: ReasonExpired}
	if FindRule([]Rule{b, good}, &e).Name != "b" || FindRule([]Rule{good}, &Entry{Member: "x"}) != nil {
		t.Error("FindRule returns another rule")
	}
}

// The states of an entry through several resends, with each end recorded twice, as happens after a kill.
func TestStore_RecordsResends(t *testing.T) {
	s, err := Open(t.TempDir()+"/u.db", Limits{MaxBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	first := Entry{Message: "m", Member: "a", Class: "c", Key: "k", Ending: GivenUp, Reason: ReasonRejected, EndedAt: 10, Attempts: []Attempt{{At: 1, Outcome: Rejected}}}
	record := func(e Entry) {
		t.Helper()
		for range 2 {
			if err := s.Record([]Entry{e}, 100); err != nil {
				t.Fatal(err)
			}
			if err := s.Check(); err != nil {
				t.Fatal(err)
			}
		}
	}
	onlyEntry := func() (k Key, e Entry, n int) {
		t.Helper()
		if err := s.List(Filter{}, func(at Key, x Entry) bool { k, e, n = at, x, n+1; return true }); err != nil {
			t.Fatal(err)
		}
		return k, e, n
	}
	record(first)
	k, _, _ := onlyEntry()
	if begun, err := s.BeginResend([]Key{k, {}}); err != nil || len(begun) != 1 || begun[0].State != Resending {
		t.Fatal(begun, err)
	}
	if begun, _ := s.BeginResend([]Key{k}); len(begun) != 0 {
		t.Error("an entry that is resending is begun again")
	}
	if err := s.Resolve(k, "x", "y", 1); err == nil {
		t.Error("an entry that is resending is resolved")
	}
	if n, err := s.Reconcile(map[string]bool{"m": true}); n != 0 || err != nil {
		t.Error("an entry in the journal is returned to stored", err)
	}
	if n, err := s.Reconcile(nil); n != 1 || err != nil {
		t.Error("an entry not in the journal is not returned to stored", err)
	}
	s.BeginResend([]Key{k})
	record(first) // the first end, recorded late: it is already known
	if _, e, _ := onlyEntry(); e.State != Resending {
		t.Error("recording the first end again changes the entry")
	}
	again := first
	again.Resends, again.EndedAt, again.Reason = 1, 20, ReasonErrored
	again.Attempts = append(again.Attempts, Attempt{At: 15, Outcome: Errored})
	record(again)
	k, e, n := onlyEntry()
	if n != 1 || e.State != Stored || e.Resends != 1 || e.FirstEnd() != 10 || len(e.Attempts) != 2 {
		t.Errorf("%d %+v", n, e)
	}
	if n, err := s.RequestResend([]Key{k}, true); n != 1 || err != nil {
		t.Error(n, err)
	}
	s.BeginResend([]Key{k})
	done := again
	done.Resends, done.EndedAt, done.Ending = 2, 30, Delivered
	record(done)
	if _, _, n := onlyEntry(); n != 0 {
		t.Error("a delivered message still has an entry")
	}
	if c, _ := s.Count(); c.Resent != 1 {
		t.Errorf("%+v", c)
	}
	// The client submits the message again while its entry is stored.
	record(first)
	if err := s.ResolveResubmitted([][2]string{{"a", "other"}, {"b", "k"}, {"a", "k"}}, 50); err != nil {
		t.Fatal(err)
	}
	if _, e, _ := onlyEntry(); e.State != Resolved || e.ResolvedBy != "client" {
		t.Errorf("%+v", e)
	}
	// Expire drops old entries up to its limit.
	s.limits.MaxAge = 5
	for i := range 5 {
		record(Entry{Message: string(rune('p' + i)), Member: "a", EndedAt: int64(200 + i)})
	}
	if n, more, err := s.Expire(1000, 3); n != 3 || !more || err != nil {
		t.Error(n, more, err)
	}
}
