package brain

import (
	"testing"
	"time"
)

// Rule 6: messages with one ordering key go one at a time, and the key cools down after an uncertain attempt.
func TestOrdering_OneAtATimeWithCooldown(t *testing.T) {
	r := newRig(t, settings())
	r.serve(30, 0, 20*ms)
	a, b := r.message(3, 0, 5), r.message(3, 0, 5)
	s := r.step(a, b)
	if len(s) != 1 || s[0].Message != a.ID {
		t.Fatalf("first %+v", s)
	}
	s2 := r.step(Withdrawn{a.ID})
	if len(s2) != 0 {
		t.Fatal("sent while the earlier attempt has no outcome")
	}
	r.now += 4 * time.Second
	e := r.end(s[0], TimedOut)
	e.Final = true
	if s := r.step(e); len(s) != 0 {
		t.Fatal("the key did not rest after a time-out")
	}
	r.now += 299 * ms
	if s := r.step(TimerFired{}); len(s) != 0 {
		t.Fatal("the key rested too short")
	}
	r.now += 6 * ms
	if s := r.step(TimerFired{}); len(s) != 1 || s[0].Message != b.ID {
		t.Fatalf("then %+v", s)
	}
}
