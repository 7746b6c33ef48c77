package work

import (
	"testing"
	"time"
)

func TestScheduler_Retries(t *testing.T) {
	set := one(Settings{Kinds: map[string]Kind{"k": {Retry: Retry{InitialBackoff: sec, MaxBackoff: 10 * sec, MaxFailures: 4, Ratio: 0.1, Credit: 100}}}})
	r := newRig(t, set)
	r.submit(Job{ID: 1, Kind: "k", Owner: "a"})
	for _, pause := range []time.Duration{sec / 2, sec, 2 * sec} { // half of 1, 2, 4 s: the random number is a half
		r.end(SliceEnded{Failure: "no"})
		r.runs().why(1, "pause after a failure")
		if r.s.Next() != r.now+pause {
			t.Fatalf("again at %v, want after %v", r.s.Next()-r.now, pause)
		}
		r.at(r.now + pause).runs(1)
	}
	r.end(SliceEnded{Failure: "still no"})
	if r.parked[1] != "still no" || r.s.Next() != never {
		t.Error(r.parked, r.s.Next())
	}
	r.step(Command{Verb: Run, ID: 1}).runs(1)
	r.end(SliceEnded{Failure: "no"})
	r.at(r.s.Next()).runs(1) // its failures count anew
	r.end(SliceEnded{})
	if len(r.over) != 1 {
		t.Error(r.over)
	}
}

// Ten thousand jobs that all fail: what is tried again is bounded by the kind's budget, not by how many there are; and
// each goes on, at last, when the outage ends.
func TestScheduler_RetryBudgetPreventsStorm(t *testing.T) {
	set := Settings{Limits: Limits{Running: 10}, Kinds: map[string]Kind{"k": {Retry: Retry{InitialBackoff: 100 * time.Millisecond, MaxBackoff: sec, Ratio: 0.1, Credit: 20}}}}
	r := newRig(t, set)
	const jobs = 10_000
	for i := range jobs {
		r.submit(Job{ID: ID(i + 1), Kind: "k", Owner: "a"})
	}
	tries := 0
	until := func(end time.Duration, outage bool) {
		for r.now < end {
			for len(r.running) > 0 {
				e := SliceEnded{}
				if outage {
					e.Failure = "down"
				}
				r.end(e)
				tries++
			}
			r.at(min(end, max(r.s.Next(), r.now+time.Millisecond)))
		}
	}
	until(5*time.Minute, true)
	if most := jobs + 20 + 5*60/int(creditInterval/sec) + 2; tries > most {
		t.Errorf("%d tries of %d jobs in an outage, %d are allowed", tries, jobs, most)
	}
	until(3*time.Hour, false)
	if len(r.over) != jobs {
		t.Errorf("%d of %d are done", len(r.over), jobs)
	}
}

func TestScheduler_CircuitBreaker(t *testing.T) {
	set := one(Settings{Breaker: Breaker{FailureThreshold: 2, OpenTime: 10 * sec}, Kinds: map[string]Kind{"k": {Retry: Retry{InitialBackoff: 1, MaxBackoff: 1, Credit: 100}}}})
	r := newRig(t, set)
	r.submit(Job{ID: 1, Kind: "k", Owner: "a", Resource: "disk"}, Job{ID: 2, Kind: "k", Owner: "a", Resource: "disk"}, Job{ID: 3, Kind: "k", Owner: "b"})
	r.end(SliceEnded{Failure: "EIO"})
	r.runs(3)
	r.end(SliceEnded{})
	r.at(sec).runs(2)
	r.end(SliceEnded{Failure: "EIO"}) // the second in a row
	r.at(2*sec).runs().why(1, "breaker of disk").why(2, "breaker of disk")
	if r.s.Next() != 11*sec {
		t.Errorf("looks again at %v", r.s.Next())
	}
	r.at(11 * sec).runs(1) // one tries
	r.end(SliceEnded{Failure: "EIO"})
	r.at(12 * sec).runs()
	r.at(21 * sec)
	if len(r.running) != 1 {
		t.Fatal(r.running)
	}
	r.end(SliceEnded{More: true}) // well again: both go on
	r.at(22 * sec)
	for len(r.running) > 0 {
		r.end(SliceEnded{})
	}
	if len(r.over) != 3 || len(r.s.breakers) != 0 {
		t.Error(r.over, len(r.s.breakers))
	}
}
