package work

import (
	"testing"
	"time"
)

func TestScheduler_Retries(t *testing.T) {
	set := singleWorker(Settings{Kinds: map[string]Kind{"k": {Retry: Retry{InitialBackoff: sec, MaxBackoff: 10 * sec, MaxFailures: 4, Ratio: 0.1, Credit: 100}}}})
	r := newRig(t, set)
	r.submit(Job{ID: 1, Kind: "k", Owner: "a"})
	for _, pause := range []time.Duration{sec / 2, sec, 2 * sec} { // half of 1, 2, 4 s: the random number is a half
		r.end(SliceEnded{Failure: "no"})
		r.wantRunning().wantReason(1, "pause after a failure")
		if r.s.Next() != r.now+pause {
			t.Fatalf("the retry is after %v, want %v", r.s.Next()-r.now, pause)
		}
		r.at(r.now + pause).wantRunning(1)
	}
	r.end(SliceEnded{Failure: "still no"})
	if r.parked[1] != "still no" || r.s.Next() != never {
		t.Error(r.parked, r.s.Next())
	}
	r.step(Command{Verb: Run, ID: 1}).wantRunning(1)
	r.end(SliceEnded{Failure: "no"})
	r.at(r.s.Next()).wantRunning(1) // the count of failures starts again at 0
	r.end(SliceEnded{})
	if len(r.finished) != 1 {
		t.Error(r.finished)
	}
}

// Ten thousand jobs that all fail: the number of retries is bounded by the kind's retry budget, not by the number of jobs. After the outage
// all jobs finish.
func TestScheduler_RetryBudgetPreventsStorm(t *testing.T) {
	set := Settings{Limits: Limits{Running: 10}, Kinds: map[string]Kind{"k": {Retry: Retry{InitialBackoff: 100 * time.Millisecond, MaxBackoff: sec, Ratio: 0.1, Credit: 20}}}}
	r := newRig(t, set)
	const jobs = 10_000
	for i := range jobs {
		r.submit(Job{ID: ID(i + 1), Kind: "k", Owner: "a"})
	}
	attempts := 0
	until := func(end time.Duration, outage bool) {
		for r.now < end {
			for len(r.running) > 0 {
				e := SliceEnded{}
				if outage {
					e.Failure = "down"
				}
				r.end(e)
				attempts++
			}
			r.at(min(end, max(r.s.Next(), r.now+time.Millisecond)))
		}
	}
	until(5*time.Minute, true)
	if most := jobs + 20 + 5*60/int(creditInterval/sec) + 2; attempts > most {
		t.Errorf("%d attempts of %d jobs in an outage, at most %d are allowed", attempts, jobs, most)
	}
	until(3*time.Hour, false)
	if len(r.finished) != jobs {
		t.Errorf("%d of %d jobs are finished", len(r.finished), jobs)
	}
}

func TestScheduler_CircuitBreaker(t *testing.T) {
	set := singleWorker(Settings{Breaker: Breaker{FailureThreshold: 2, OpenTime: 10 * sec}, Kinds: map[string]Kind{"k": {Retry: Retry{InitialBackoff: 1, MaxBackoff: 1, Credit: 100}}}})
	r := newRig(t, set)
	r.submit(Job{ID: 1, Kind: "k", Owner: "a", Resource: "disk"}, Job{ID: 2, Kind: "k", Owner: "a", Resource: "disk"}, Job{ID: 3, Kind: "k", Owner: "b"})
	r.end(SliceEnded{Failure: "EIO"})
	r.wantRunning(3)
	r.end(SliceEnded{})
	r.at(sec).wantRunning(2)
	r.end(SliceEnded{Failure: "EIO"}) // the second consecutive failure opens the breaker
	r.at(2*sec).wantRunning().wantReason(1, "breaker of disk").wantReason(2, "breaker of disk")
	if r.s.Next() != 11*sec {
		t.Errorf("Next is %v, want 11s", r.s.Next())
	}
	r.at(11 * sec).wantRunning(1) // 1 is the trial
	r.end(SliceEnded{Failure: "EIO"})
	r.at(12 * sec).wantRunning()
	r.at(21 * sec)
	if len(r.running) != 1 {
		t.Fatal(r.running)
	}
	r.end(SliceEnded{More: true}) // the breaker closes: both jobs continue
	r.at(22 * sec)
	for len(r.running) > 0 {
		r.end(SliceEnded{})
	}
	if len(r.finished) != 3 || len(r.s.breakers) != 0 {
		t.Error(r.finished, len(r.s.breakers))
	}
}
