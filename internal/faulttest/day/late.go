package day

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// lateness measures how late the kit itself runs: how long after their scheduled times messages are handed in and a periodic tick
// fires. It logs both once a second.
type lateness struct {
	log  *eventlog.Log
	quit chan struct{}
	done chan struct{}

	mu      sync.Mutex
	samples []time.Duration
	started bool
}

func newLateness(log *eventlog.Log) *lateness {
	return &lateness{log: log, quit: make(chan struct{}), done: make(chan struct{})}
}

func (l *lateness) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, max(0, d))
}

func (l *lateness) begin() {
	l.mu.Lock()
	l.started = true
	l.mu.Unlock()
	go func() {
		defer close(l.done)
		t := time.NewTimer(tickInterval)
		defer t.Stop()
		due, lastFlush := time.Now().Add(tickInterval), time.Now()
		for {
			select {
			case <-t.C:
			case <-l.quit:
				return
			}
			l.log.Wait()
			now := time.Now()
			l.add(now.Sub(due))
			if now.Sub(lastFlush) >= time.Second {
				lastFlush = now
				l.flush()
			}
			due = time.Now().Add(tickInterval)
			t.Reset(tickInterval)
		}
	}()
}

// flush logs the lateness measured since the last flush.
func (l *lateness) flush() {
	l.mu.Lock()
	s := l.samples
	l.samples = nil
	l.mu.Unlock()
	if len(s) == 0 {
		return
	}
	slices.Sort(s)
	l.log.Add(eventlog.Event{Kind: eventlog.Slip, MaxUS: s[len(s)-1].Microseconds(), P99US: s[(len(s)*99-1)/100].Microseconds(), Count: len(s)})
}

func (l *lateness) stop() {
	l.mu.Lock()
	running := l.started
	l.started = false
	l.mu.Unlock()
	if running {
		close(l.quit)
		<-l.done
	}
}

// kitCPU returns the CPU time that this process has used.
func kitCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
