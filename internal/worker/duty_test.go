package worker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const patience = 20 * time.Second

// A ring behaves as a plain list under its rule does, in any order of putting and taking.
func TestRingAgainstAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 5).Draw(t, "most")
		rule := OverflowPolicy(rapid.IntRange(0, 2).Draw(t, "rule"))
		type entry struct{ key, value int }
		key := func(e entry) string { return fmt.Sprint(e.key) }
		var of func(entry) string
		if rule == MergeByKey {
			of = key
		}
		r := NewRingBuffer("r", most, rule, of)
		var list []entry
		high, dropped, merged, waited := 0, 0, 0, 0
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "take") {
				n := rapid.IntRange(0, 3).Draw(t, "n")
				n = min(n, len(list))
				if got := r.Take(n); !slices.Equal(got, list[:n]) {
					t.Fatalf("took %v, want %v", got, list[:n])
				}
				list = list[n:]
				continue
			}
			e := entry{rapid.IntRange(0, 6).Draw(t, "key"), i}
			at := slices.IndexFunc(list, func(o entry) bool { return o.key == e.key })
			took := true
			switch {
			case rule == MergeByKey && at >= 0:
				list = slices.Clone(list)
				list[at] = e
				merged++
			case len(list) < most:
				list = append(slices.Clone(list), e)
			case rule == Block:
				took = false
				waited++
			default:
				list = append(slices.Clone(list[1:]), e)
				dropped++
			}
			high = max(high, len(list))
			if got := r.Offer(e); got != took {
				t.Fatalf("offer %v: %v, want %v", e, got, took)
			}
		}
		s := r.Stats()
		if s.Length != len(list) || s.HighWatermark != high || s.Dropped != uint64(dropped) || s.Merged != uint64(merged) || s.Blocked != uint64(waited) {
			t.Fatalf("%+v; list %d, high %d, dropped %d, merged %d, waited %d", s, len(list), high, dropped, merged, waited)
		}
	})
}

// Who puts into a full ring waits until something is taken, its time is over, or the ring is closed.
func TestPutWaits(t *testing.T) {
	r := NewRingBuffer[int]("full", 1, Block, nil)
	if err := r.Put(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := r.Put(ctx, 2); !errors.Is(err, context.DeadlineExceeded) || !strings.Contains(err.Error(), "full") {
		t.Errorf("%v", err)
	}
	put := make(chan error, 1)
	go func() { put <- r.Put(context.Background(), 3) }()
	for r.Stats().Blocked < 2 {
		time.Sleep(time.Millisecond)
	}
	r.Take(1)
	if err := <-put; err != nil {
		t.Error(err)
	}
	go func() { put <- r.Put(context.Background(), 4) }()
	for r.Stats().Blocked < 3 {
		time.Sleep(time.Millisecond)
	}
	r.Close()
	if err := <-put; !errors.Is(err, ErrClosed) {
		t.Errorf("%v", err)
	}
	if got := r.Take(9); !slices.Equal(got, []int{3}) || r.Offer(5) {
		t.Errorf("a closed ring gives %v", got)
	}
}

// counter adds up what it is told, passes each sum on, and wants to be called every second.
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

// One seed gives the same run of several duties; time moves on only when none has anything to do.
func TestScheduleRepeats(t *testing.T) {
	run := func(seed uint64) string {
		var log strings.Builder
		var duties []*Worker[int, int]
		for _, n := range []string{"a", "b", "c"} {
			duties = append(duties, &Worker[int, int]{Name: n, Inbox: NewRingBuffer[int](n, 4, DropOldest, nil), Stepper: &counter{}})
		}
		for i, d := range duties {
			d.Execute = func(_ context.Context, sum int) error {
				fmt.Fprintf(&log, "%s%d ", d.Name, sum)
				if sum < 40 {
					duties[(i+1)%3].Inbox.Offer(sum%7 + 1)
				}
				return nil
			}
		}
		s := NewScheduler(seed, duties[0], duties[1], duties[2])
		if done, err := s.Run(context.Background(), 30*time.Second, func() bool { return duties[0].Stepper.(*counter).sum > 30 }); !done || err != nil {
			t.Fatalf("%v %v", done, err)
		}
		for _, d := range duties {
			if calls := d.Stepper.(*counter).calls; !slices.IsSorted(calls) {
				t.Errorf("time went back: %v", calls)
			}
		}
		fmt.Fprint(&log, s.Now())
		return log.String()
	}
	if a, b := run(1), run(1); a != b {
		t.Errorf("one seed, two runs:\n%s\n%s", a, b)
	}
	if run(1) == run(2) {
		t.Error("two seeds, one run")
	}
	idle := &Worker[int, int]{Name: "idle", Inbox: NewRingBuffer[int]("idle", 1, Block, nil), Stepper: idler{}, Execute: func(context.Context, int) error { return nil }}
	if done, err := NewScheduler(1, idle).Run(context.Background(), time.Hour, func() bool { return false }); done || err != nil {
		t.Errorf("with nothing to do: %v %v", done, err)
	}
}

type idler struct{}

func (idler) Step(time.Duration, []int) ([]int, time.Duration) { return nil, Never }

type safe struct {
	sync.Mutex
	bytes.Buffer
}

func (s *safe) Write(b []byte) (int, error) { s.Lock(); defer s.Unlock(); return s.Buffer.Write(b) }
func (s *safe) String() string              { s.Lock(); defer s.Unlock(); return s.Buffer.String() }

// A group runs duties side by side: one that fails or panics ends alone and is named, one that stalls is named while it does,
// and they stop in the order against that of their start.
func TestGroup(t *testing.T) {
	var log safe
	began := time.Now()
	g := &Group{Log: slog.New(slog.NewTextHandler(&log, nil)), Clock: func() time.Duration { return time.Since(began) }, StallThreshold: 20 * time.Millisecond}
	got := make(chan int, 100)
	hold := make(chan struct{})
	make1 := func(name string, do func(context.Context, int) error) *Worker[int, int] {
		return &Worker[int, int]{Name: name, Inbox: NewRingBuffer[int](name, 8, Block, nil), Stepper: idlerOf{}, Execute: do}
	}
	sound := make1("sound", func(_ context.Context, n int) error { got <- n; return nil })
	fails := make1("fails", func(context.Context, int) error { return errors.New("no disk") })
	panics := make1("panics", func(context.Context, int) error { panic("half made") })
	stalls := make1("stalls", func(context.Context, int) error { <-hold; return nil })
	for _, d := range []*Worker[int, int]{sound, fails, panics, stalls} {
		g.Start(d, StopWorker)
		d.Inbox.Offer(7)
	}
	until := func(text string) {
		t.Helper()
		for end := time.Now().Add(patience); !strings.Contains(log.String(), text); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the log has no %q:\n%s", text, log.String())
			}
		}
	}
	until("no disk")
	until("half made")
	until("a duty stalls\" duty=stalls")
	sound.Inbox.Offer(8)
	if a, b := <-got, <-got; a != 7 || b != 8 {
		t.Errorf("%d, %d", a, b)
	}
	if err := g.Stop(30 * time.Millisecond); err == nil || !strings.Contains(err.Error(), "stalls") {
		t.Errorf("%v", err)
	}
	close(hold)
	if err := g.Stop(patience); err != nil {
		t.Error(err)
	}
	var ended []string
	for _, r := range g.Reports() {
		if r.Steps == 0 && r.Name == "sound" || r.Inbox.Capacity != 8 {
			t.Errorf("%+v", r)
		}
		if r.ExitReason != "" {
			ended = append(ended, r.Name)
		}
	}
	if !slices.Equal(ended, []string{"fails", "panics"}) {
		t.Errorf("ended by themselves: %q", ended)
	}
}

// idlerOf passes on what it is told.
type idlerOf struct{}

func (idlerOf) Step(_ time.Duration, events []int) ([]int, time.Duration) { return events, Never }
