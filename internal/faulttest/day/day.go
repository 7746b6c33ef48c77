// Package day plays a rehearsal: it starts the stand-ins and the senders, does what the plan says when it
// says so, and leaves the event log.
package day

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/fault"
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

// Open starts the stand-ins and the senders and returns when all are ready.
func Open(ctx context.Context, plan *script.Plan, opt Options) (*Day, error) {
	if err := os.MkdirAll(opt.Folder, 0o755); err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	// The day's clock starts with its arrivals: what is set up before has its events at time 0 and after.
	d := &Day{plan: plan, hosts: newHosts(), draining: map[string]int{}, delay: plan.Day.ListDelay.D(), ctx: ctx}
	zone := &zoneFile{path: filepath.Join(opt.Folder, "kit.zone")}
	text := plan.FeaturesText()
	if plan.Day.Names {
		var err error
		if zone.path, err = filepath.Abs(zone.path); err != nil {
			return nil, fmt.Errorf("rehearsal: %w", err)
		}
		text += "\n" + zone.features(plan)
	}
	d.text = text
	d.options = opt
	d.log = eventlog.New(opt.Log, opt.Watch)
	d.links = links.New(plan.Day.Seed, func(from, to, what string) {
		d.log.Add(eventlog.Event{Kind: eventlog.Link, Sender: from, Endpoint: to, Detail: what})
	})
	d.late = newLateness(d.log)
	d.registry = traffic.NewRegistry(d.log, maxAttempts, opt.Open)
	d.discovery = platform.New(d.log, d.hosts.next, d.registry.Notice)
	if plan.Day.Names {
		d.discovery.Names(zone.write)
	}
	d.log.Add(eventlog.Event{Kind: eventlog.World, Figures: d.figures()})
	fail := func(err error) (*Day, error) { return nil, errors.Join(err, d.Close()) }
	numbers := &atomic.Int64{}
	for i, r := range plan.Receivers {
		s, err := receiver.NewServer(i, r.Name, r.Spec, r.Endpoints, plan.Day.Seed*1000+uint64(i), d.log, d.registry, numbers, d.hosts.next)
		if err != nil {
			return fail(err)
		}
		d.receivers = append(d.receivers, s)
		for _, e := range s.Endpoints() {
			d.discovery.Set(d.line(i, e, platform.Serving))
		}
	}
	var wg sync.WaitGroup
	errs := make([]error, plan.Senders)
	d.clients = traffic.New(plan, d.log, d.registry, d.late.add)
	for i := range plan.Senders {
		s, err := d.machine(i)
		if err != nil {
			return fail(err)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = s.Start(true)
		}()
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return fail(err)
	}
	d.log.Restart()
	d.late.begin()
	return d, nil
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

// machine makes the next sender's machine.
func (d *Day) machine(i int) (*fleet.Sender, error) {
	name, host := name(i), d.hosts.sender(i)
	args, err := d.features(i)
	if err != nil {
		return nil, fmt.Errorf("sender %s: %w", name, err)
	}
	listen, err := fleet.FreeAddr(host)
	if err != nil {
		return nil, fmt.Errorf("sender %s: %w", name, err)
	}
	if _, err := d.discovery.Open(name); err != nil {
		return nil, err
	}
	s, err := fleet.New(name, listen, d.options.Folder, slices.Concat(d.options.Command, args), d.log, func(run int, fresh bool) (map[string]any, error) {
		return d.config(i, d.discovery.Addr(name), d.discovery.Started(name, run, fresh), run)
	})
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.senders = append(d.senders, s)
	d.mu.Unlock()
	d.clients.Join(name, s)
	return s, nil
}

func (d *Day) line(dest int, e *receiver.Endpoint, state string) platform.Target {
	return platform.Target{ID: e.ID, Addr: e.Addr, Zone: "a", Kind: d.plan.Receivers[dest].Kind, Cell: dest, State: state, Weight: 1}
}

// figures are what the judge goes by.
func (d *Day) figures() *eventlog.Figures {
	day := d.plan.Day
	f := &eventlog.Figures{Name: d.plan.Name, Seed: day.Seed, Seconds: day.Seconds, AnswerGrace: answerGrace.Milliseconds(), Grace: day.Grace.D().Milliseconds(),
		ReadyGrace: readyGrace.Milliseconds(), DrainGrace: day.DrainGrace.D().Milliseconds(), WaitLetIn: (waitLetIn + day.Grace.D()).Milliseconds(),
		FallMultiple: day.FallMultiple, FallSpan: day.FallSpan.D().Milliseconds(), SlowStartCapacity: day.SlowStartCapacity, SlowStart: day.SlowStart.D().Milliseconds(),
		OrderRest: day.OrderRest.D().Milliseconds(), Patience: day.Patience.D().Milliseconds(), Classes: map[string]eventlog.Class{}}
	for _, c := range d.plan.Classes {
		f.Classes[c.Name] = eventlog.Class{Effect: c.Effect, KeyWindow: c.KeyWindow.D().Milliseconds(), Ordered: c.Ordered, LatencyTarget: c.LatencyTarget.D().Milliseconds(),
			Deadline: c.Deadline.D().Milliseconds(), Value: c.LateValue}
	}
	for _, w := range d.plan.Wakes {
		f.Wakes = append(f.Wakes, eventlog.Wake{AtMS: w.At.Milliseconds(), Dest: w.Dest, Messages: w.Messages})
	}
	for _, r := range d.plan.Receivers {
		f.Receivers = append(f.Receivers, eventlog.Receiver{Name: r.Name, Kind: r.Kind, Member: r.Member, Capacity: r.Spec.Capacity})
	}
	return f
}

// config is a sender's configuration, in the names of PROTOCOL and DEPLOY.
func (d *Day) config(i int, discovery string, known platform.Targets, run int) (map[string]any, error) {
	day, p := d.plan.Day, d.plan
	rate := day.Rate / day.Load / float64(p.Senders)
	if day.SenderWeights != nil && i < len(day.SenderWeights) {
		sum := 0.0
		for _, s := range day.SenderWeights {
			sum += s
		}
		rate = day.Rate / day.Load * day.SenderWeights[i] / sum
	}
	busy := 0.0
	var models []any
	var apart, perCall []any
	for _, r := range p.Receivers {
		busy += r.Weight * r.Spec.Service.Seconds()
		if !slices.Contains(models, any(r.Kind)) {
			models, apart, perCall = append(models, r.Kind), append(apart, false), append(perCall, 1)
		}
	}
	effect := map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
	var services, orgs []any
	longest := time.Duration(0)
	for _, c := range p.Classes {
		longest = max(longest, c.Deadline.D())
		services = append(services, map[string]any{"name": c.Name, "slo": millis(c.LatencyTarget.D()), "giveUp": millis(c.Deadline.D()), "effect": effect[c.Effect],
			"dedupWindow": millis(c.KeyWindow.D()), "dedupScope": "all", "worth": 1.0, "lateValue": c.LateValue, "oneAtATime": c.Ordered, "stream": false})
	}
	all := 0.0
	for _, m := range p.Members {
		all += m.Weight
	}
	for _, m := range p.Members {
		orgs = append(orgs, map[string]any{"name": m.Name, "share": m.Weight / all, "allowancePerS": m.Weight / all * day.Rate / day.Load})
	}
	list, err := json.Marshal(known)
	if err != nil {
		return nil, err
	}
	return map[string]any{"discovery": discovery, "seed": strconv.FormatUint(day.Seed*7919+uint64(i)*101+uint64(run), 16),
		"limits": map[string]any{"cores": 1.0, "memory_mb": day.MemoryMB, "sockets": day.Sockets, "disk_mb": day.Disk},
		"known":  json.RawMessage(list),
		"settings": map[string]any{"balancers": p.Senders, "discovery": "on_request", "step": 5.0, "zone": 0, "zones": []any{"a"},
			"models": models, "overShareWorth": 0.05, "weights": "none",
			"familyInfo": map[string]any{"callsOut": max(4, int(day.SlotHeadroom*rate*busy+0.5)), "fades": "halving", "routesApart": apart, "perCall": perCall,
				"toll": []any{0.0}, "refusedPrice": 0.05},
			"limits": map[string]any{"cancel": true, "connIdle": millis(connIdle), "connectTimeout": millis(connectTime), "maxAttempts": maxAttempts,
				"mostHeld": max(32, int(rate*longest.Seconds())), "retryAfter": true, "maxRetryAfter": 2000.0, "mayDuplicate": true},
			"rules": map[string]any{"fallMultiple": day.FallMultiple, "startCapacity": day.SlowStartCapacity, "overloadFor": millis(day.FallSpan.D()),
				"cold": millis(day.SlowStart.D()), "drainGrace": millis(day.DrainGrace.D()), "settleAfterDoubt": millis(day.OrderRest.D()), "askWithin": 10000.0,
				"graceToAnswer": 20.0},
			"services": services, "orgs": orgs,
			"telemetry": map[string]any{"fields": []any{"x0", "x1"}, "via": "answers"}}}, nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (d *Day) fault(format string, args ...any) {
	d.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: fmt.Sprintf(format, args...)})
}

// background does what takes time beside the plan.
func (d *Day) background(f func() error) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		if err := f(); err != nil && d.ctx.Err() == nil {
			d.fault("%v", err)
		}
	}()
}

// act does what the plan says, when it says so.
func (d *Day) act() {
	for _, a := range d.plan.Acts {
		if !traffic.Sleep(d.ctx, a.At-d.log.Now()) {
			return
		}
		d.do(a)
	}
}

func (d *Day) do(a script.Act) {
	switch a.Do {
	case "trouble", "end":
		for _, dest := range a.Dests {
			if a.Fault.Kind == fault.Drain {
				d.drain(dest, a.Only, a.Do == "trouble")
			}
			if a.Do == "trouble" {
				d.receivers[dest].Begin(a.Number, a.Fault)
			} else {
				d.receivers[dest].End(a.Number, a.Fault)
			}
		}
	case "replace":
		for _, dest := range a.Dests {
			d.replace(dest)
		}
	case "down", "up":
		d.discovery.Down(a.Do == "down")
	case "late":
		d.mu.Lock()
		d.delay += a.Delay
		d.mu.Unlock()
	case "punctual":
		d.mu.Lock()
		d.delay -= a.Delay
		d.mu.Unlock()
	case "move":
		for i, s := range slices.Clone(d.senders) {
			if !s.Ready() {
				continue // its next process is told the address it finds then
			}
			d.background(func() error {
				addr, err := d.discovery.Move(s.Name)
				if err != nil {
					return err
				}
				config, err := d.config(i, addr, platform.Targets{Full: true, Servers: []platform.Target{}}, 0)
				if err != nil {
					return err
				}
				return s.Reload(config)
			})
		}
	case "join":
		s, err := d.machine(a.Sender)
		if err != nil {
			d.fault("%v", err)
			return
		}
		d.background(func() error { return s.Start(true) })
	case "link":
		for _, w := range a.Ways {
			d.links.Set(name(w.From), name(w.To), a.Link)
		}
	case "reset":
		for _, w := range a.Ways {
			d.links.Reset(name(w.From), name(w.To))
		}
	case "pause":
		d.senders[a.Sender].Suspend()
	case "resume":
		d.senders[a.Sender].Resume()
	case "keep":
		d.background(d.senders[a.Sender].SaveSnapshot)
	case "kill", "restart", "lose", "old":
		s := d.senders[a.Sender]
		d.background(func() error {
			pause := fleet.DownTime
			switch a.Do {
			case "old":
				if err := s.Kill(false); err != nil {
					return err
				}
				if err := s.RestoreSnapshot(); err != nil {
					return err
				}
				d.registry.Lost(s.Name)
			case "restart":
				s.Term()
			case "lose":
				pause = lostBack
				if err := s.Kill(true); err != nil {
					return err
				}
				d.registry.Lost(s.Name)
			default:
				if err := s.Kill(false); err != nil {
					return err
				}
			}
			if !traffic.Sleep(d.ctx, pause) {
				return nil
			}
			return s.Start(a.Do == "lose")
		})
	}
}

// updateList changes a line of the list, as late as discovery tells it.
func (d *Day) updateList(t platform.Target) {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	d.background(func() error {
		if traffic.Sleep(d.ctx, delay) {
			d.discovery.Set(t)
		}
		return nil
	})
}

// drain begins or ends a drain of so many of a receiver's endpoints, the first ones, or all. Where two overlap
// an endpoint serves again when both are over.
func (d *Day) drain(dest, only int, begins bool) {
	for i, e := range d.receivers[dest].Endpoints() {
		if only > 0 && i >= only {
			return
		}
		d.mu.Lock()
		was := d.draining[e.ID]
		if begins {
			d.draining[e.ID]++
		} else if was > 0 {
			d.draining[e.ID]--
		}
		is := d.draining[e.ID]
		d.mu.Unlock()
		switch {
		case was == 0 && is == 1:
			d.updateList(d.line(dest, e, platform.Draining))
		case was == 1 && is == 0:
			d.updateList(d.line(dest, e, platform.Serving))
		}
	}
}

// replace puts a new endpoint in the place of a receiver's first one: the new one is listed, the old one
// drains, and is gone some time later.
func (d *Day) replace(dest int) {
	r := d.receivers[dest]
	all := r.Endpoints()
	if len(all) == 0 {
		return
	}
	old := all[0]
	next, err := r.Add()
	if err != nil {
		d.fault("%v", err)
		return
	}
	d.updateList(d.line(dest, next, platform.Serving))
	d.updateList(d.line(dest, old, platform.Draining))
	d.background(func() error {
		if !traffic.Sleep(d.ctx, removeAfter) {
			return nil
		}
		d.updateList(d.line(dest, old, platform.Deleted))
		if traffic.Sleep(d.ctx, removeAfter) {
			r.Remove(old)
		}
		return nil
	})
}

// Folder makes a new folder for a day's files below the system's one for those.
func Folder(name string) (string, error) {
	dir, err := os.MkdirTemp("", "rehearsal-"+name+"-")
	if err != nil {
		return "", fmt.Errorf("rehearsal: %w", err)
	}
	return filepath.Clean(dir), nil
}

// Machine describes the machine's size for notes on measurements.
func Machine() string {
	return fmt.Sprintf("%d cores, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())
}
