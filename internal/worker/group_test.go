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

const waitTimeout = 20 * time.Second

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

// A worker that fails or panics ends alone and is logged, and a worker that stalls is logged while it does. Workers stop in reverse order
// of starting, and Stop names the one that does not end in time.
func TestGroup_FailuresStallsAndStop(t *testing.T) {
	var log syncBuffer
	began := time.Now()
	g := &Group{Log: slog.New(slog.NewTextHandler(&log, nil)), Clock: func() time.Duration { return time.Since(began) }, StallThreshold: 20 * time.Millisecond}
	got := make(chan int, 100)
	unblock := make(chan struct{})
	newWorker := func(name string, do func(context.Context, int) error) *Worker[int, int] {
		return &Worker[int, int]{Name: name, Inbox: NewRingBuffer[int](name, 8, Block, nil), Stepper: echo{}, Execute: do}
	}
	sound := newWorker("sound", func(_ context.Context, n int) error { got <- n; return nil })
	fails := newWorker("fails", func(context.Context, int) error { return errors.New("no disk") })
	panics := newWorker("panics", func(context.Context, int) error { panic("test panic") })
	stalls := newWorker("stalls", func(context.Context, int) error { <-unblock; return nil })
	for _, d := range []*Worker[int, int]{sound, fails, panics, stalls} {
		g.Start(d, StopWorker)
		d.Inbox.Offer(7)
	}
	waitForLog := func(text string) {
		t.Helper()
		for end := time.Now().Add(waitTimeout); !strings.Contains(log.String(), text); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the log has no %q:\n%s", text, log.String())
			}
		}
	}
	waitForLog("no disk")
	waitForLog("test panic")
	waitForLog("a worker stalls\" worker=stalls")
	sound.Inbox.Offer(8)
	if a, b := <-got, <-got; a != 7 || b != 8 {
		t.Errorf("%d, %d", a, b)
	}
	if err := g.Stop(30 * time.Millisecond); err == nil || !strings.Contains(err.Error(), "stalls") {
		t.Errorf("%v", err)
	}
	close(unblock)
	if err := g.Stop(waitTimeout); err != nil {
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
		t.Errorf("workers that failed: %q", ended)
	}
}

// echo returns the events as actions.
type echo struct{}

func (echo) Step(_ time.Duration, events []int) ([]int, time.Duration) { return events, Never }
