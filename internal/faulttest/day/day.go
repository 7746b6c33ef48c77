// Package day plays the day of a fault test: it starts the simulated receivers and platform and the senders, performs the acts of
// the plan at their times, and writes the event log.
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
	waitLetIn         = 50 * time.Millisecond // the day's grace is added to it
	connIdle          = 15 * time.Second
	connectTime       = 1500 * time.Millisecond
	removeAfter       = 3 * time.Second // time from the start of a replaced endpoint's drain to its removal from the list, and from there to its stop
	lostMachineDelay  = 2 * time.Second // time until a lost machine comes back with an empty folder
	stabilizationTime = 500 * time.Millisecond
	tickInterval      = 5 * time.Millisecond
)

// Options configure how a day is played.
type Options struct {
	Command []string  // the sender's program and its arguments
	Folder  string    // for the senders' files; created if it does not exist
	Log     io.Writer // receives the event log; may be nil
	Watch   func(eventlog.Event)
	During  func(ctx context.Context, d *Day) // if not nil, runs during the day, which waits for it to return
	Open    bool                              // receivers accept messages that the kit's clients did not hand in
}

// Usage is the resources that a day used.
type Usage struct {
	Senders time.Duration // CPU of all sender processes
	Kit     time.Duration // CPU of the kit itself
	Wall    time.Duration
	Memory  int64 // maximum memory of one sender process, in bytes
}

// Day is a day that is being played.
type Day struct {
	plan         *script.Plan
	options      Options
	log          *eventlog.Log
	hosts        *hosts
	featuresText string // of the features file, with placeholders for addresses
	links        *links.Net
	registry     *traffic.Registry
	clients      *traffic.Clients
	discovery    *platform.Platform
	late         *lateness

	mu        sync.Mutex
	senders   []*fleet.Sender
	receivers []*receiver.Server
	draining  map[string]int // number of active drains, by endpoint
	delay     time.Duration  // before discovery reports a change
	tasks     sync.WaitGroup
	ctx       context.Context
}

// Play plays a day to its end, or until ctx ends. In both cases it returns the events up to then.
func Play(ctx context.Context, plan *script.Plan, opt Options) ([]eventlog.Event, Usage, error) {
	d, err := Open(ctx, plan, opt)
	if err != nil {
		return nil, Usage{}, err
	}
	began, cpu := time.Now(), kitCPU()
	actsDone := make(chan struct{})
	go func() {
		d.runActs()
		close(actsDone)
	}()
	var during sync.WaitGroup
	if opt.During != nil {
		during.Add(1)
		go func() {
			defer during.Done()
			opt.During(ctx, d)
		}()
	}
	d.clients.Run(ctx)
	during.Wait()
	select {
	case <-actsDone:
	case <-ctx.Done():
	}
	traffic.Sleep(ctx, stabilizationTime) // events still in flight at the end are recorded
	if ctx.Err() == nil {
		d.late.flush()
		d.log.Add(eventlog.Event{Kind: eventlog.End})
	}
	use := Usage{Kit: kitCPU() - cpu, Wall: time.Since(began)}
	<-actsDone
	err = d.Close()
	for _, s := range d.senders {
		cpu, memory := s.Used()
		use.Senders += cpu
		use.Memory = max(use.Memory, memory)
	}
	return d.log.Events(), use, errors.Join(err, ctx.Err())
}

// Close stops all senders, the simulated receivers and the platform, and flushes the event log.
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

// Now returns the time since the start of the day, as the event log records it.
func (d *Day) Now() time.Duration { return d.log.Now() }

// Sender returns the sender with the given number.
func (d *Day) Sender(i int) *fleet.Sender {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.senders[i]
}

// Heal ends all faults of links and resumes all suspended sender processes.
func (d *Day) Heal() {
	d.links.Heal()
	d.mu.Lock()
	senders := slices.Clone(d.senders)
	d.mu.Unlock()
	for _, s := range senders {
		s.Resume()
	}
}

// Places describes the address of each sender and each endpoint, one per line.
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

// Curl returns a shell command that hands a message for the first receiver in at the first sender.
func (d *Day) Curl() string {
	c := d.plan.Classes[0]
	return fmt.Sprintf(`curl -i -H "X-Request-Id: $(date +%%s%%N)" -H "X-Class: %s" -H "X-Tenant: %s" -H "X-Deadline-Ms: %d" -H "Idempotency-Key: $(date +%%s%%N)" -H "X-Addressing: dest=0" -d hello http://%s/api`,
		c.Name, d.plan.Receivers[0].Member, c.Deadline.D().Milliseconds(), d.senders[0].Listen)
}

// Faults starts to perform the acts of the plan in the background.
func (d *Day) Faults() {
	d.background(func() error {
		d.runActs()
		return nil
	})
}
