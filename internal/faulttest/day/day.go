// Package day plays a rehearsal: it starts the stand-ins and the senders, does what the plan says when it
// says so, and leaves the event log.
package day

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/fleet"
	"saffronyard.example/saffronyard/internal/faulttest/links"
	"saffronyard.example/saffronyard/internal/faulttest/platform"
	"saffronyard.example/saffronyard/internal/faulttest/receiver"
	"saffronyard.example/saffronyard/internal/faulttest/script"
	"saffronyard.example/saffronyard/internal/faulttest/traffic"
)

const (
	maxAttempts       = 6
	answerGrace       = 300 * time.Millisecond
	readyGrace        = 1500 * time.Millisecond
	waitLetIn         = 50 * time.Millisecond // and the grace
	connIdle          = 15 * time.Second
	connectTime       = 1500 * time.Millisecond
	removeAfter       = 3 * time.Second // a replaced endpoint is gone so long after it began to drain
	lostBack          = 2 * time.Second // a machine that was lost comes back, empty, after this
	stabilizationTime = 500 * time.Millisecond
	tickInterval      = 5 * time.Millisecond
)

// Options say how a day is played.
type Options struct {
	Command []string  // the sender's program
	Folder  string    // for the senders' files; made anew
	Log     io.Writer // of events, may be nil
	Watch   func(eventlog.Event)
	During  func(ctx context.Context, d *Day) // runs beside the day, if not nil; the day waits for its end
	Open    bool                              // messages that nobody of the kit handed in are taken as they come
}

// Usage is what a day took of the machine.
type Usage struct {
	Senders time.Duration // CPU of all sender processes
	Kit     time.Duration // CPU of the kit itself
	Wall    time.Duration
	Memory  int64 // bytes: the most that one sender process held
}

// Day is a day being played.
type Day struct {
	plan      *script.Plan
	options   Options
	log       *eventlog.Log
	hosts     *hosts
	text      string // of the features, with places
	links     *links.Net
	registry  *traffic.Registry
	clients   *traffic.Clients
	discovery *platform.Platform
	late      *lateness

	mu        sync.Mutex
	senders   []*fleet.Sender
	receivers []*receiver.Server
	draining  map[string]int // endpoint to the number of drains that hold it
	delay     time.Duration  // of discovery's news
	tasks     sync.WaitGroup
	ctx       context.Context
}

// Play plays a day to its end, or until ctx ends; what was written by then is in the log either way.
func Play(ctx context.Context, plan *script.Plan, opt Options) ([]eventlog.Event, Usage, error) {
	d, err := Open(ctx, plan, opt)
	if err != nil {
		return nil, Usage{}, err
	}
	began, cpu := time.Now(), kitCPU()
	over := make(chan struct{})
	go func() {
		d.act()
		close(over)
	}()
	var beside sync.WaitGroup
	if opt.During != nil {
		beside.Add(1)
		go func() {
			defer beside.Done()
			opt.During(ctx, d)
		}()
	}
	d.clients.Run(ctx)
	beside.Wait()
	select {
	case <-over:
	case <-ctx.Done():
	}
	traffic.Sleep(ctx, stabilizationTime) // what crossed the last end is written down
	if ctx.Err() == nil {
		d.late.flush()
		d.log.Add(eventlog.Event{Kind: eventlog.End})
	}
	use := Usage{Kit: kitCPU() - cpu, Wall: time.Since(began)}
	<-over
	err = d.Close()
	for _, s := range d.senders {
		cpu, memory := s.Used()
		use.Senders += cpu
		use.Memory = max(use.Memory, memory)
	}
	return d.log.Events(), use, errors.Join(err, ctx.Err())
}

// Close ends all processes and stand-ins, and writes the log out.
func (d *Day) Close() error {
	d.tasks.Wait()
	d.late.stop()
	d.mu.Lock()
	senders, receivers := slices.Clone(d.senders), slices.Clone(d.receivers)
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range senders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.Close()
		}()
	}
	wg.Wait()
	if d.links != nil {
		d.links.Close()
	}
	d.discovery.Close()
	for _, r := range receivers {
		r.Close()
	}
	return d.log.Flush()
}

// Now is the day's time, as its log has it.
func (d *Day) Now() time.Duration { return d.log.Now() }

// Sender is one of the senders' machines.
func (d *Day) Sender(i int) *fleet.Sender {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.senders[i]
}

// Heal lets all links be sound and all processes run, whatever the plan has done to them.
func (d *Day) Heal() {
	d.links.Heal()
	d.mu.Lock()
	senders := slices.Clone(d.senders)
	d.mu.Unlock()
	for _, s := range senders {
		s.Resume()
	}
}

// Places names what runs and where, a line each.
func (d *Day) Places() []string {
	var lines []string
	for _, s := range d.senders {
		lines = append(lines, fmt.Sprintf("sender %s      http://%s   discovery http://%s   log %s", s.Name, s.Listen, d.discovery.Addr(s.Name), s.Log()))
	}
	for i, r := range d.receivers {
		for _, e := range r.Endpoints() {
			lines = append(lines, fmt.Sprintf("receiver %-6s http://%s   dest=%d, member %s", e.ID, e.Addr, i, d.plan.Receivers[i].Member))
		}
	}
	return lines
}

// Curl is a command that hands a message in at the first sender for the first receiver.
func (d *Day) Curl() string {
	c := d.plan.Classes[0]
	return fmt.Sprintf(`curl -i -H "X-Request-Id: $(date +%%s%%N)" -H "X-Class: %s" -H "X-Tenant: %s" -H "X-Deadline-Ms: %d" -H "Idempotency-Key: $(date +%%s%%N)" -H "X-Addressing: dest=0" -d hello http://%s/api`,
		c.Name, d.plan.Receivers[0].Member, c.Deadline.D().Milliseconds(), d.senders[0].Listen)
}

// Faults lets what the plan says happen from now on, in the background.
func (d *Day) Faults() {
	d.background(func() error {
		d.act()
		return nil
	})
}
