// Package yard rehearses the serving tier: it plays a small one whole on loopback, with stand-ins for the platform, endpoints,
// the operator and agent programs, and checks what the tier promises.
package tierdemo

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
)

const (
	startTime  = 30 * time.Second // until the tier takes clients
	endTime    = 15 * time.Second // for programs under way at the end
	settleTime = 20 * time.Second // for a step of the trouble to show its effect
	modelCount = 4
	toolCount  = 2
)

// Options of a rehearsal.
type Options struct {
	Calm, Trouble time.Duration
	Rate          float64 // programs a second
	Log           io.Writer
	// Progress is called each second, and Note at each event, if they are set. They must not call back.
	Progress func(at time.Duration, phase string, c Counts)
	Note     func(at time.Duration, what string)
}

// rehearsal is one that is played.
type rehearsal struct {
	o        Options
	tier     *tier
	platform *platform
	operator *operator
	caller   *caller
	witness  *witness
	record   *recorder
	holdUps  holdUps
	begun    time.Time // of the traffic

	mu        sync.Mutex
	phase     string
	events    []Event
	takeovers []Takeover
}

// Run plays a rehearsal and reports what was seen. Errors are those of the rehearsal itself: a rule that was broken is in the
// report alone. Nothing is left behind. If ctx ends, the report tells what was seen by then.
func Run(ctx context.Context, o Options) (report *Report, err error) {
	if o.Rate <= 0 || o.Calm < 0 || o.Trouble < 0 || o.Calm+o.Trouble <= 0 {
		return nil, errorx.IllegalArgument.New("a rehearsal needs a rate and a time above 0")
	}
	dir, err := os.MkdirTemp("", "yard-rehearse-")
	if err != nil {
		return nil, errorx.Decorate(err, "temporary folder")
	}
	defer func() {
		if e := os.RemoveAll(dir); e != nil && err == nil {
			err = errorx.Decorate(e, "temporary folder")
		}
	}()
	r := &rehearsal{o: o, witness: newWitness(), phase: "start"}
	begun := time.Now()
	measured, over := context.WithCancel(context.Background())
	var measuring sync.WaitGroup
	measuring.Go(func() { _ = r.holdUps.run(measured, dir) })
	defer func() { r.end(); over(); measuring.Wait() }()
	if err := r.start(ctx, dir); err != nil {
		return nil, err
	}
	report = &Report{Begun: time.Since(begun), Calm: o.Calm, Rate: o.Rate}
	r.play(ctx)
	report.Lasted = time.Since(r.begun)
	report.Interrupted = ctx.Err() != nil
	if !report.Interrupted {
		r.readBack(ctx)
	}
	report.Counts = r.record.counted()
	report.Seconds, report.Failures = r.record.series()
	report.Verdicts = r.witness.verdict()
	report.Processor, report.Disk = r.holdUps.longest()
	report.Events, report.Takeovers = r.events, r.takeovers
	return report, nil
}

// start brings up the stand-ins and the tier, and waits until it takes clients and holds all copies.
func (r *rehearsal) start(ctx context.Context, dir string) error {
	logs := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	if r.o.Log != nil {
		logs = &log.Logger{Level: log.InfoLevel, TimeFormat: "15:04:05.000",
			Writer: &log.ConsoleWriter{Writer: r.o.Log, Formatter: log.LogfmtFormatter{TimeField: "time"}.Formatter}}
	}
	var err error
	if r.platform, err = startPlatform(r.witness, "127.0.0.1"); err != nil {
		return errorx.Decorate(err, "platform")
	}
	for i := range modelCount + toolCount {
		service := modelService
		if i >= modelCount {
			service = toolService
		}
		if err := r.platform.add(service, zoneName(i%perRole)); err != nil {
			return errorx.Decorate(err, "endpoint")
		}
	}
	if r.tier, err = layOut(dir, r.platform.address, logs); err != nil {
		return err
	}
	if err := r.tier.start(); err != nil {
		return err
	}
	var operators, gateways []string
	for _, p := range r.tier.controlPlanes {
		operators = append(operators, p.settings.Control)
	}
	for _, p := range r.tier.gateways {
		gateways = append(gateways, p.settings.Frontend)
	}
	r.operator, r.caller = newOperator(operators), newCaller(r.witness, gateways)
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := r.operator.change(ctx); err != nil {
		return err
	}
	if err := until(ctx, "all copies of all partitions", r.tier.whole); err != nil {
		return err
	}
	return until(ctx, "gateways that take clients", r.tier.ready)
}

// play has programs come while the phases pass, and waits for those under way.
func (r *rehearsal) play(ctx context.Context) {
	r.begun = time.Now()
	r.record = newRecorder(r.begun)
	asking, noMore := context.WithCancel(ctx)
	last, cancel := context.WithCancel(ctx)
	defer cancel()
	var traffic, showing sync.WaitGroup
	traffic.Go(func() { r.programs(asking, last) })
	shown, over := context.WithCancel(context.Background())
	showing.Go(func() { r.show(shown) })
	r.calm(ctx)
	if r.o.Trouble > 0 && ctx.Err() == nil {
		r.trouble(ctx)
	}
	r.setPhase("end")
	noMore()
	t := time.AfterFunc(endTime, cancel)
	traffic.Wait()
	t.Stop()
	over()
	showing.Wait()
}

// programs starts programs by chance, at the rate asked for, until asking ends, and waits for all; they end with last.
func (r *rehearsal) programs(asking, last context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		pause(asking, time.Duration(rand.ExpFloat64()/r.o.Rate*float64(time.Second)))
		if asking.Err() != nil {
			return
		}
		r.record.asked()
		running.Go(func() {
			o, why := newProgram(n, r.caller, r.record).run(last)
			r.record.ended(o, why)
		})
	}
}

// calm lets the time pass, and changes the configuration in its middle.
func (r *rehearsal) calm(ctx context.Context) {
	r.setPhase("calm")
	end := r.begun.Add(r.o.Calm)
	pause(ctx, r.o.Calm/2)
	if r.o.Calm > 0 {
		r.change(ctx, r.tier.gateways[0].settings.ConfigApply)
	}
	pause(ctx, time.Until(end))
}

// change has the operator change the configuration, and checks that all gateways have the new route within bound.
func (r *rehearsal) change(ctx context.Context, bound time.Duration) {
	if err := r.operator.change(ctx); err != nil { // it may be in force, or not
		r.note("not acknowledged: %v", err)
		return
	}
	acknowledged := time.Now()
	path := addedRoute(r.operator.revision)
	for _, p := range r.tier.gateways {
		for {
			q := request{path: path + "x", try: try{input: "new route", repeatable: true}}
			sent := time.Now()
			_, a := r.caller.send(ctx, p.settings.Frontend, q, toolTime)
			if ctx.Err() != nil {
				return
			}
			late := sent.Sub(acknowledged) > bound
			if a.status == 404 && late && r.heldUp(acknowledged) {
				r.note("configuration %d: the machine held all up, no bound was checked", r.operator.revision)
				return
			}
			if a.status/100 == 2 || a.status == 404 && late {
				r.witness.checkOutside(ConfigurationLost, a.status != 404, "revision %d is not in force at %s after %v", r.operator.revision, p.node(), bound)
				break
			}
			if late {
				break // it was not told what is in force there
			}
			pause(ctx, lookEvery)
		}
	}
	r.note("configuration %d in force", r.operator.revision)
}

// heldUp tells whether the machine has held processes up since, for so long that they may have been out of touch.
func (r *rehearsal) heldUp(since time.Time) bool {
	return r.holdUps.worst(since) > r.tier.gateways[0].settings.ContactWindow/10
}

// readBack reads the configuration as it is at the end.
func (r *rehearsal) readBack(ctx context.Context) {
	begun := time.Now()
	same, err := r.operator.same(ctx)
	if err != nil && r.heldUp(begun) {
		r.note("the configuration was not read back: the machine held all up")
		return
	}
	r.witness.checkOutside(ConfigurationLost, same, "revision %d is not read back (%v)", r.operator.revision, err)
}

func (r *rehearsal) setPhase(phase string) {
	r.mu.Lock()
	r.phase = phase
	r.mu.Unlock()
	r.note("%s", phase)
}

// show tells the progress each second.
func (r *rehearsal) show(ctx context.Context) {
	if r.o.Progress == nil {
		return
	}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.mu.Lock()
			phase := r.phase
			r.mu.Unlock()
			r.o.Progress(time.Since(r.begun), phase, r.record.counted())
		}
	}
}

// end stops all that was started.
func (r *rehearsal) end() {
	if r.caller != nil {
		r.caller.end()
		r.operator.end()
	}
	if r.tier != nil {
		r.tier.end()
	}
	if r.platform != nil {
		r.platform.end()
	}
}
