package brain

import (
	"testing"
	"time"
)

// Rule 1: each message ends once, before its deadline, also without endpoints or results.
func TestExpiry_EveryMessageEndsByItsDeadline(t *testing.T) {
	r := newRig(t, settings())
	a, b := r.message(0, 9, 0), r.message(2, 0, 0)
	sends := r.step(a, b)
	if len(sends) != 1 || sends[0].Message != b.ID || sends[0].Timeout != 20*time.Second {
		t.Fatalf("the time-out of a non-idempotent message is not its deadline: %+v", sends)
	}
	deadline := r.now + 20*time.Second
	r.now = r.b.timerAt
	for !r.failed[a.ID] && r.now < deadline {
		r.step(TimerFired{})
		r.now = max(r.b.timerAt, r.now+ms)
	}
	if !r.failed[a.ID] {
		t.Fatal("a message without an endpoint was not failed in time")
	}
	r.now = deadline
	r.step(r.result(sends[0], TimedOut))
	if !r.failed[b.ID] || len(r.b.messages) != 0 || r.b.pending != 0 {
		t.Fatalf("failed %v, %d messages left", r.failed, len(r.b.messages))
	}
}

// A message that an earlier process handled keeps its attempts: it is not sent again if its idempotency key has expired,
// if it is non-idempotent and may have run, or if it has no attempt left.
func TestResumedMessage_KeepsItsAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		m     Message
		sent  bool
	}{
		"never sent":                   {2, Message{}, true},
		"non-idempotent, never ran":    {2, Message{PriorAttempts: 2}, true},
		"non-idempotent, may have run": {2, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - time.Second}, false},
		"with a key, within its TTL":   {1, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - time.Second}, true},
		"with a key, after its TTL":    {1, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - 6*time.Second}, false},
		"idempotent, long ago":         {0, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - 15*time.Second}, true},
		"no attempt left":              {0, Message{PriorAttempts: 6, MayHaveRun: true, FirstRunAt: time.Hour - time.Second}, false},
	} {
		r := newRig(t, settings())
		m := r.message(c.class, 0, 0)
		m.PriorAttempts, m.MayHaveRun, m.FirstRunAt = c.m.PriorAttempts, c.m.MayHaveRun, c.m.FirstRunAt
		if sends := r.step(m); len(sends) == 1 != c.sent || r.failed[m.ID] == c.sent {
			t.Errorf("%s: %d sends, failed %v", name, len(sends), r.failed[m.ID])
		}
	}
	// The TTL of a key counts from the first attempt, also after further attempts.
	r := newRig(t, settings())
	m := r.message(1, 0, 0)
	m.PriorAttempts, m.MayHaveRun, m.FirstRunAt = 1, true, r.now-5*time.Second
	s := r.step(m)[0]
	r.now += 500 * ms
	r.step(r.result(s, Errored))
	r.now += 600 * ms
	if sends := r.step(TimerFired{}); len(sends) != 0 || !r.failed[m.ID] {
		t.Errorf("after the TTL: %d sends, failed %v", len(sends), r.failed[m.ID])
	}
}
