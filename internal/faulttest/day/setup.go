package day

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/fleet"
	"saffronyard.example/saffronyard/internal/faulttest/links"
	"saffronyard.example/saffronyard/internal/faulttest/platform"
	"saffronyard.example/saffronyard/internal/faulttest/receiver"
	"saffronyard.example/saffronyard/internal/faulttest/script"
	"saffronyard.example/saffronyard/internal/faulttest/traffic"
)

// Open starts the simulated receivers, the platform and the senders, and returns when all are ready.
func Open(ctx context.Context, plan *script.Plan, opt Options) (*Day, error) {
	if err := os.MkdirAll(opt.Folder, 0o755); err != nil {
		return nil, fmt.Errorf("create the folder of the day: %w", err)
	}
	// The day's clock starts with the arrivals, at Restart below: the events of the setup get times before 0.
	d := &Day{plan: plan, hosts: newHosts(), draining: map[string]int{}, delay: plan.Day.ListDelay.D(), ctx: ctx}
	zone := &zoneFile{path: filepath.Join(opt.Folder, "kit.zone")}
	text := plan.FeaturesText()
	if plan.Day.Names {
		var err error
		if zone.path, err = filepath.Abs(zone.path); err != nil {
			return nil, fmt.Errorf("path of the zone file: %w", err)
		}
		text += "\n" + zone.features(plan)
	}
	d.featuresText = text
	d.options = opt
	d.log = eventlog.New(opt.Log, opt.Watch)
	d.links = links.New(plan.Day.Seed, func(from, to, what string) {
		d.log.Add(eventlog.Event{Kind: eventlog.Link, Sender: from, Endpoint: to, Detail: what})
	})
	d.late = newLateness(d.log)
	d.registry = traffic.NewRegistry(d.log, maxAttempts, opt.Open)
	d.discovery = platform.New(d.log, d.hosts.next, d.registry.Notice)
	if plan.Day.Names {
		d.discovery.UseZoneFile(zone.write)
	}
	d.log.Add(eventlog.Event{Kind: eventlog.World, Figures: d.figures()})
	fail := func(err error) (*Day, error) { return nil, errors.Join(err, d.Close()) }
	numbers := &atomic.Int64{}
	for i, r := range plan.Receivers {
		s, err := receiver.NewServer(receiver.Config{Destination: i, Name: r.Name, Spec: r.Spec, Endpoints: r.Endpoints, Seed: plan.Day.Seed*1000 + uint64(i),
			Log: d.log, Registry: d.registry, CallNumbers: numbers, Host: d.hosts.next})
		if err != nil {
			return fail(err)
		}
		d.receivers = append(d.receivers, s)
		for _, e := range s.Endpoints() {
			d.discovery.Set(d.target(i, e, platform.Serving))
		}
	}
	var wg sync.WaitGroup
	errs := make([]error, plan.Senders)
	d.clients = traffic.New(plan, d.log, d.registry, d.late.add)
	for i := range plan.Senders {
		s, err := d.addSender(i)
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

// addSender creates the sender with number i, without starting its process.
func (d *Day) addSender(i int) (*fleet.Sender, error) {
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
	s, err := fleet.New(fleet.Config{Name: name, Listen: listen, Folder: d.options.Folder, Command: slices.Concat(d.options.Command, args), Log: d.log,
		Configure: func(run int, fresh bool) (map[string]any, error) {
			return d.config(i, d.discovery.Addr(name), d.discovery.Started(name, run, fresh), run)
		}})
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.senders = append(d.senders, s)
	d.mu.Unlock()
	d.clients.Join(name, s)
	return s, nil
}

func (d *Day) target(dest int, e *receiver.Endpoint, state string) platform.Target {
	return platform.Target{ID: e.ID, Addr: e.Addr, Zone: "a", Kind: d.plan.Receivers[dest].Kind, Cell: dest, State: state, Weight: 1}
}

// figures returns the parameters of the day that the judge uses.
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

// config returns a sender's configuration, with the keys that PROTOCOL and DEPLOY define.
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

// Folder creates a new folder for a day's files in the system's folder for temporary files.
func Folder(name string) (string, error) {
	dir, err := os.MkdirTemp("", "rehearsal-"+name+"-")
	if err != nil {
		return "", fmt.Errorf("create temporary folder: %w", err)
	}
	return filepath.Clean(dir), nil
}

// Machine describes the machine on which a measurement runs.
func Machine() string {
	return fmt.Sprintf("%d cores, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())
}
