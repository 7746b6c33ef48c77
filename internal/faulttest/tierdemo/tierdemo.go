// Package tierdemo plays a small serving tier on loopback, with all of its roles and with fakes of the platform, the endpoints,
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
	"saffronyard.example/saffronyard/internal/tier/logformat"
)

const (
	startTime  = 30 * time.Second // until the tier accepts clients
	endTime    = 15 * time.Second // for the programs that still run at the end
	settleTime = 20 * time.Second // for the tier to recover from a fault
	modelCount = 4
	toolCount  = 2
)

// Options of a demo.
type Options struct {
	Calm, Trouble time.Duration
	Rate          float64 // programs a second
	Log           io.Writer
	// Progress is called each second, and Note at each event, if they are set. They must not call back.
	Progress func(at time.Duration, phase string, c Counts)
	Note     func(at time.Duration, what string)
}

// rehearsal is one run of the demo.
type rehearsal struct {
	options  Options
	tier     *tier
	platform *platform
	operator *operator
	caller   *caller
	witness  *witness
	record   *recorder
	stalls   stallMeter
	begun    time.Time // of the traffic

	mu        sync.Mutex
	phase     string
	events    []Event
	takeovers []Takeover
}

// Run plays the demo and returns its report. Errors are those of the demo itself; a rule that was broken is in the report only.
// No files or processes remain. If ctx ends, the report covers the time until then.
func Run(ctx context.Context, options Options) (report *Report, err error) {
	if options.Rate <= 0 || options.Calm < 0 || options.Trouble < 0 || options.Calm+options.Trouble <= 0 {
		return nil, errorx.IllegalArgument.New("a rehearsal needs a rate and a time above 0")
	}
	dir, err := os.MkdirTemp("", "serving-tier-demo-")
	if err != nil {
		return nil, errorx.Decorate(err, "temporary folder")
	}
	defer func() {
		if e := os.RemoveAll(dir); e != nil && err == nil {
			err = errorx.Decorate(e, "temporary folder")
		}
	}()
	rehearsal := &rehearsal{options: options, witness: newWitness(), phase: "start"}
	begun := time.Now()
	measured, over := context.WithCancel(context.Background())
	var measuring sync.WaitGroup
	measuring.Go(func() { _ = rehearsal.stalls.run(measured, dir) })
	defer func() { rehearsal.end(); over(); measuring.Wait() }()
	if err := rehearsal.start(ctx, dir); err != nil {
		return nil, err
	}
	report = &Report{Begun: time.Since(begun), Calm: options.Calm, Rate: options.Rate}
	rehearsal.play(ctx)
	report.Lasted = time.Since(rehearsal.begun)
	report.Interrupted = ctx.Err() != nil
	if !report.Interrupted {
		rehearsal.readBack(ctx)
	}
	report.Counts = rehearsal.record.counted()
	report.Seconds, report.Failures = rehearsal.record.series()
	report.Verdicts = rehearsal.witness.verdict()
	report.Processor, report.Disk = rehearsal.stalls.longest()
	report.Events, report.Takeovers = rehearsal.events, rehearsal.takeovers
	return report, nil
}

// start starts the fakes and the tier, and waits until it accepts clients and has all copies.
func (rehearsal *rehearsal) start(ctx context.Context, dir string) error {
	logs := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	if rehearsal.options.Log != nil {
		logs = logformat.New(rehearsal.options.Log, log.InfoLevel)
	}
	var err error
	if rehearsal.platform, err = startPlatform(rehearsal.witness, "127.0.0.1"); err != nil {
		return errorx.Decorate(err, "platform")
	}
	for i := range modelCount + toolCount {
		service := modelService
		if i >= modelCount {
			service = toolService
		}
		if err := rehearsal.platform.add(service, zoneName(i%perRole)); err != nil {
			return errorx.Decorate(err, "endpoint")
		}
	}
	if rehearsal.tier, err = newTier(dir, rehearsal.platform.address, logs); err != nil {
		return err
	}
	if err := rehearsal.tier.start(); err != nil {
		return err
	}
	var operators, gateways []string
	for _, member := range rehearsal.tier.controlPlanes {
		operators = append(operators, member.settings.Control)
	}
	for _, member := range rehearsal.tier.gateways {
		gateways = append(gateways, member.settings.Frontend)
	}
	rehearsal.operator, rehearsal.caller = newOperator(operators), newCaller(rehearsal.witness, gateways)
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := rehearsal.operator.change(ctx); err != nil {
		return err
	}
	if err := until(ctx, "all copies of all partitions", rehearsal.tier.hasAllCopies); err != nil {
		return err
	}
	return until(ctx, "gateways that take clients", rehearsal.tier.ready)
}

// play runs programs during all phases, and waits for the last ones.
func (rehearsal *rehearsal) play(ctx context.Context) {
	rehearsal.begun = time.Now()
	rehearsal.record = newRecorder(rehearsal.begun)
	asking, noMore := context.WithCancel(ctx)
	last, cancel := context.WithCancel(ctx)
	defer cancel()
	var traffic, showing sync.WaitGroup
	traffic.Go(func() { rehearsal.programs(asking, last) })
	shown, over := context.WithCancel(context.Background())
	showing.Go(func() { rehearsal.show(shown) })
	rehearsal.calm(ctx)
	if rehearsal.options.Trouble > 0 && ctx.Err() == nil {
		rehearsal.trouble(ctx)
	}
	rehearsal.setPhase("end")
	noMore()
	t := time.AfterFunc(endTime, cancel)
	traffic.Wait()
	t.Stop()
	over()
	showing.Wait()
}

// programs starts programs at random times, at the rate of the options, until asking ends, and waits for all. They are
// interrupted when last ends.
func (rehearsal *rehearsal) programs(asking, last context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		pause(asking, time.Duration(rand.ExpFloat64()/rehearsal.options.Rate*float64(time.Second)))
		if asking.Err() != nil {
			return
		}
		rehearsal.record.asked()
		running.Go(func() {
			o, why := newProgram(n, rehearsal.caller, rehearsal.record).run(last)
			rehearsal.record.ended(o, why)
		})
	}
}

// calm is the phase without faults. The configuration is changed in its middle.
func (rehearsal *rehearsal) calm(ctx context.Context) {
	rehearsal.setPhase("calm")
	end := rehearsal.begun.Add(rehearsal.options.Calm)
	pause(ctx, rehearsal.options.Calm/2)
	if rehearsal.options.Calm > 0 {
		rehearsal.change(ctx, rehearsal.tier.gateways[0].settings.ConfigApply)
	}
	pause(ctx, time.Until(end))
}

// change has the operator change the configuration, and checks that all gateways have the new route within bound.
func (rehearsal *rehearsal) change(ctx context.Context, bound time.Duration) {
	if err := rehearsal.operator.change(ctx); err != nil { // it may be in force, or not
		rehearsal.noteEvent("not acknowledged: %v", err)
		return
	}
	acknowledged := time.Now()
	path := addedRoute(rehearsal.operator.revision)
	for _, gateway := range rehearsal.tier.gateways {
		if !rehearsal.checkRoute(ctx, gateway, path, acknowledged, bound) {
			return
		}
	}
	rehearsal.noteEvent("configuration %d in force", rehearsal.operator.revision)
}

// checkRoute checks that a gateway has a new route within bound. It returns false where no bound can be checked: ctx has ended,
// or the machine has stalled.
func (rehearsal *rehearsal) checkRoute(ctx context.Context, gateway *member, path string, acknowledged time.Time, bound time.Duration) bool {
	for {
		request := request{path: path + "x", attempt: attempt{input: "new route", repeatable: true}}
		sent := time.Now()
		_, answer := rehearsal.caller.send(ctx, gateway.settings.Frontend, request, toolTime)
		if ctx.Err() != nil {
			return false
		}
		late := sent.Sub(acknowledged) > bound
		if answer.status == 404 && late && rehearsal.stalledSince(acknowledged) {
			rehearsal.noteEvent("configuration %d: the machine held all up, no bound was checked", rehearsal.operator.revision)
			return false
		}
		if answer.status/100 == 2 || answer.status == 404 && late {
			rehearsal.witness.check(ConfigurationLost, answer.status != 404, "revision %d is not in force at %s after %v", rehearsal.operator.revision, gateway.node(), bound)
			return true
		}
		if late {
			return true // the answers do not show what is in force there
		}
		pause(ctx, lookEvery)
	}
}

// stalledSince reports whether the machine has stalled since then for so long that sessions may have lapsed.
func (rehearsal *rehearsal) stalledSince(since time.Time) bool {
	return rehearsal.stalls.longestSince(since) > rehearsal.tier.gateways[0].settings.ContactWindow/10
}

// readBack checks the configuration at the end.
func (rehearsal *rehearsal) readBack(ctx context.Context) {
	begun := time.Now()
	same, err := rehearsal.operator.readBack(ctx)
	if err != nil && rehearsal.stalledSince(begun) {
		rehearsal.noteEvent("the configuration was not read back: the machine held all up")
		return
	}
	rehearsal.witness.check(ConfigurationLost, same, "revision %d is not read back (%v)", rehearsal.operator.revision, err)
}

// setPhase begins a phase.
func (rehearsal *rehearsal) setPhase(phase string) {
	rehearsal.mu.Lock()
	rehearsal.phase = phase
	rehearsal.mu.Unlock()
	rehearsal.noteEvent("%s", phase)
}

// show reports the progress each second.
func (rehearsal *rehearsal) show(ctx context.Context) {
	if rehearsal.options.Progress == nil {
		return
	}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			rehearsal.mu.Lock()
			phase := rehearsal.phase
			rehearsal.mu.Unlock()
			rehearsal.options.Progress(time.Since(rehearsal.begun), phase, rehearsal.record.counted())
		}
	}
}

// end stops all that was started.
func (rehearsal *rehearsal) end() {
	if rehearsal.caller != nil {
		rehearsal.caller.end()
		rehearsal.operator.end()
	}
	if rehearsal.tier != nil {
		rehearsal.tier.end()
	}
	if rehearsal.platform != nil {
		rehearsal.platform.end()
	}
}
