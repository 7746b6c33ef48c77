package worker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// counter adds up its events, returns the sum in each step, and sets its alarm to a second later.
type counter struct {
	sum   int
	calls []time.Duration
}

func (c *counter) Step(now time.Duration, events []int) ([]int, time.Duration) {
	c.calls = append(c.calls, now)
	for _, e := range events {
		c.sum += e
	}
	return []int{c.sum}, now + time.Second
}

// The same seed gives the same run of several workers. Time advances only when no worker has anything to do.
func TestScheduler_SeedRepeatsRun(t *testing.T) {
	run := func(seed uint64) string {
		var log strings.Builder
		var workers []*Worker[int, int]
		for _, n := range []string{"a", "b", "c"} {
			workers = append(workers, &Worker[int, int]{Name: n, Inbox: NewRingBuffer[int](n, 4, DropOldest, nil), Stepper: &counter{}})
		}
		for i, d := range workers {
			d.Execute = func(_ context.Context, sum int) error {
				fmt.Fprintf(&log, "%s%d ", d.Name, sum)
				if sum < 40 {
					workers[(i+1)%3].Inbox.Offer(sum%7 + 1)
				}
				return nil
			}
		}
		s := NewScheduler(seed, workers[0], workers[1], workers[2])
		if done, err := s.Run(context.Background(), 30*time.Second, func() bool { return workers[0].Stepper.(*counter).sum > 30 }); !done || err != nil {
			t.Fatalf("%v %v", done, err)
		}
		for _, d := range workers {
			if calls := d.Stepper.(*counter).calls; !slices.IsSorted(calls) {
				t.Errorf("time went back: %v", calls)
			}
		}
		fmt.Fprint(&log, s.Now())
		return log.String()
	}
	if a, b := run(1), run(1); a != b {
		t.Errorf("the same seed gives two different runs:\n%s\n%s", a, b)
	}
	if run(1) == run(2) {
		t.Error("two seeds give the same run")
	}
	idle := &Worker[int, int]{Name: "idle", Inbox: NewRingBuffer[int]("idle", 1, Block, nil), Stepper: idler{}, Execute: func(context.Context, int) error { return nil }}
	if done, err := NewScheduler(1, idle).Run(context.Background(), time.Hour, func() bool { return false }); done || err != nil {
		t.Errorf("with nothing to do: %v %v", done, err)
	}
}

type idler struct{}

func (idler) Step(time.Duration, []int) ([]int, time.Duration) { return nil, Never }
