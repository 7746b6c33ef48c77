package brain

import (
	"testing"
	"time"
)

// Rule 6: messages with one ordering key are sent one at a time, and the key cools down after an uncertain attempt.
func TestOrdering_OneAtATimeWithCooldown(t *testing.T) {
	r := newRig(t, settings())
	r.serve(30, 0, 20*ms)
	a, b := r.message(3, 0, 5), r.message(3, 0, 5)
	s := r.step(a, b)
	if len(s) != 1 || s[0].Message != a.ID {
		t.Fatalf("first sends %+v", s)
	}
	s2 := r.step(Withdrawn{a.ID})
	if len(s2) != 0 {
		t.Fatal("sent while the earlier attempt has no outcome")
	}
	r.now += 4 * time.Second
	e := r.result(s[0], TimedOut)
	e.Final = true
	if s := r.step(e); len(s) != 0 {
		t.Fatal("the key did not cool down after a time-out")
	}
	r.now += 299 * ms
	if s := r.step(TimerFired{}); len(s) != 0 {
		t.Fatal("the cool-down of the key was too short")
	}
	r.now += 6 * ms
	if s := r.step(TimerFired{}); len(s) != 1 || s[0].Message != b.ID {
		t.Fatalf("sends after the cool-down %+v", s)
	}
}

// A key whose queue was released twice, with the queue of another key in between, lost its next queue: two of its messages
// were sent at once.
func TestOrdering_QueueReleasedTwice(t *testing.T) {
	r := newRig(t, settings())
	r.serve(30, 0, 20*ms)
	leaveUncertain := func(key uint64) { // its only message ends with an attempt that may still be running
		t.Helper()
		m := r.message(3, 0, key)
		sends := r.step(m)
		if len(sends) != 1 {
			t.Fatalf("key %d: %d sends", key, len(sends))
		}
		r.step(Withdrawn{m.ID})
		r.step(r.result(sends[0], TimedOut))
	}
	leaveUncertain(5)
	released := r.now
	r.now = released + 200*ms
	leaveUncertain(6)
	again := r.message(3, 0, 5)
	r.step(again, Withdrawn{again.ID})

	r.now = released + 310*ms // key 5 has cooled down, key 6 has not
	r.step(TimerFired{})
	first, second := r.message(3, 0, 5), r.message(3, 1, 5) // at two destinations: only the key holds the second one back
	if sends := r.step(first); len(sends) != 1 {
		t.Fatalf("%d sends after the cool-down", len(sends))
	}
	r.now = released + 510*ms // both keys have cooled down
	r.step(TimerFired{})
	if sends := r.step(second); len(sends) != 0 {
		t.Fatal("a second message of the key was sent while the first one was in flight")
	}
	if err := r.b.CheckIndexes(); err != nil {
		t.Fatal(err)
	}
}
