package worker

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const patience = 20 * time.Second

type syncBuffer struct {
	sync.Mutex
	bytes.Buffer
}

func (s *syncBuffer) Write(b []byte) (int, error) {
	s.Lock()
	defer s.Unlock()
	return s.Buffer.Write(b)
}

func (s *syncBuffer) String() string { s.Lock(); defer s.Unlock(); return s.Buffer.String() }

// A group runs workers side by side: one that fails or panics ends alone and is named, one that stalls is named while it does,
// and they stop in the order against that of their start.
func TestGroup_FailuresStallsAndStop(t *testing.T) {
	var log syncBuffer
	began := time.Now()
	g := &Group{Log: slog.New(slog.NewTextHandler(&log, nil)), Clock: func() time.Duration { return time.Since(began) }, StallThreshold: 20 * time.Millisecond}
	got := make(chan int, 100)
	hold := make(chan struct{})
	make1 := func(name string, do func(context.Context, int) error) *Worker[int, int] {
		return &Worker[int, int]{Name: name, Inbox: NewRingBuffer[int](name, 8, Block, nil), Stepper: echo{}, Execute: do}
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
	until("a worker stalls\" worker=stalls")
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

// echo returns the events as actions.
type echo struct{}

func (echo) Step(_ time.Duration, events []int) ([]int, time.Duration) { return events, Never }
