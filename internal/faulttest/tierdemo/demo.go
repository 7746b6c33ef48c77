// Package tierdemo runs a small serving tier on loopback, with all of its roles and with fakes of the platform, the endpoints,
// the operator and agent programs, and checks the guarantees of the tier.
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
	startTime    = 30 * time.Second // until the tier accepts clients
	finishTime   = 15 * time.Second // for the programs that still run at the end
	recoveryTime = 20 * time.Second // for the tier to recover from a fault
	modelCount   = 4
	toolCount    = 2
)

// Options of a demo.
type Options struct {
	Calm, Faults time.Duration
	Rate         float64 // programs a second
	Log          io.Writer
	// Progress is called each second, and OnEvent at each event, if they are set. They must not call back.
	Progress func(at time.Duration, phase string, c Counts)
	OnEvent  func(at time.Duration, what string)
}

// demo is one run.
type demo struct {
	options      Options
	tier         *tier
	platform     *platform
	operator     *operator
	caller       *caller
	checker      *ruleChecker
	recorder     *recorder
	stallMeter   stallMeter
	trafficBegan time.Time

	mu        sync.Mutex
	phase     string
	events    []Event
	takeovers []Takeover
}

// Run runs the demo and returns its report. Errors are those of the demo itself; a broken rule is only in the report. Run leaves no
// files or processes behind. If ctx ends, the report covers the time until then.
func Run(ctx context.Context, options Options) (report *Report, err error) {
	if options.Rate <= 0 || options.Calm < 0 || options.Faults < 0 || options.Calm+options.Faults <= 0 {
		return nil, errorx.IllegalArgument.New("the demo needs a rate and a time above 0")
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
	demo := &demo{options: options, checker: newRuleChecker(), phase: "start"}
	begun := time.Now()
	measureCtx, stopMeasuring := context.WithCancel(context.Background())
	var measuring sync.WaitGroup
	measuring.Go(func() { _ = demo.stallMeter.run(measureCtx, dir) })
	defer func() { demo.stopAll(); stopMeasuring(); measuring.Wait() }()
	if err := demo.start(ctx, dir); err != nil {
		return nil, err
	}
	report = &Report{Begun: time.Since(begun), Calm: options.Calm, Rate: options.Rate}
	demo.play(ctx)
	report.Lasted = time.Since(demo.trafficBegan)
	report.Interrupted = ctx.Err() != nil
	if !report.Interrupted {
		demo.readBack(ctx)
	}
	report.Counts = demo.recorder.totals()
	report.Seconds, report.Failures = demo.recorder.series()
	report.Verdicts = demo.checker.results()
	report.Processor, report.Disk = demo.stallMeter.longest()
	report.Events, report.Takeovers = demo.events, demo.takeovers
	return report, nil
}

// start starts the fakes and the tier, and waits until it accepts clients and all replicas are synced.
func (demo *demo) start(ctx context.Context, dir string) error {
	logs := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	if demo.options.Log != nil {
		logs = logformat.New(demo.options.Log, log.InfoLevel)
	}
	var err error
	if demo.platform, err = startPlatform(demo.checker, "127.0.0.1"); err != nil {
		return errorx.Decorate(err, "platform")
	}
	for i := range modelCount + toolCount {
		service := modelService
		if i >= modelCount {
			service = toolService
		}
		if err := demo.platform.add(service, zoneName(i%perRole)); err != nil {
			return errorx.Decorate(err, "endpoint")
		}
	}
	if demo.tier, err = newTier(dir, demo.platform.address, logs); err != nil {
		return err
	}
	if err := demo.tier.start(); err != nil {
		return err
	}
	var operators, gateways []string
	for _, member := range demo.tier.controlPlanes {
		operators = append(operators, member.settings.Control)
	}
	for _, member := range demo.tier.gateways {
		gateways = append(gateways, member.settings.Frontend)
	}
	demo.operator, demo.caller = newOperator(operators), newCaller(demo.checker, gateways)
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := demo.operator.change(ctx); err != nil {
		return err
	}
	if err := pollUntil(ctx, "all replicas of all partitions", demo.tier.hasAllReplicas); err != nil {
		return err
	}
	return pollUntil(ctx, "all gateways to be ready", demo.tier.ready)
}

// play runs programs during all phases, and waits at most finishTime for those that still run at the end.
func (demo *demo) play(ctx context.Context) {
	demo.trafficBegan = time.Now()
	demo.recorder = newRecorder(demo.trafficBegan)
	startCtx, stopStarting := context.WithCancel(ctx)
	runCtx, interruptPrograms := context.WithCancel(ctx)
	defer interruptPrograms()
	var traffic, progress sync.WaitGroup
	traffic.Go(func() { demo.runPrograms(startCtx, runCtx) })
	progressCtx, stopProgress := context.WithCancel(context.Background())
	progress.Go(func() { demo.reportProgress(progressCtx) })
	demo.runCalmPhase(ctx)
	if demo.options.Faults > 0 && ctx.Err() == nil {
		demo.injectFaults(ctx)
	}
	demo.setPhase("end")
	stopStarting()
	t := time.AfterFunc(finishTime, interruptPrograms)
	traffic.Wait()
	t.Stop()
	stopProgress()
	progress.Wait()
}

// runPrograms starts programs at random times, at the rate of the options, until startCtx ends, and waits for all programs. They
// are interrupted when runCtx ends.
func (demo *demo) runPrograms(startCtx, runCtx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		sleep(startCtx, time.Duration(rand.ExpFloat64()/demo.options.Rate*float64(time.Second)))
		if startCtx.Err() != nil {
			return
		}
		demo.recorder.programStarted()
		running.Go(func() {
			o, why := newProgram(n, demo.caller, demo.recorder).run(runCtx)
			demo.recorder.programEnded(o, why)
		})
	}
}

// runCalmPhase is the phase without faults. The configuration is changed in its middle.
func (demo *demo) runCalmPhase(ctx context.Context) {
	demo.setPhase("calm")
	end := demo.trafficBegan.Add(demo.options.Calm)
	sleep(ctx, demo.options.Calm/2)
	if demo.options.Calm > 0 {
		demo.change(ctx, demo.tier.gateways[0].settings.ConfigApply)
	}
	sleep(ctx, time.Until(end))
}

// change has the operator change the configuration, and checks that all gateways have the new route within bound.
func (demo *demo) change(ctx context.Context, bound time.Duration) {
	if err := demo.operator.change(ctx); err != nil { // the new configuration may be in force
		demo.recordEvent("not acknowledged: %v", err)
		return
	}
	acknowledged := time.Now()
	path := addedRoute(demo.operator.revision)
	for _, gateway := range demo.tier.gateways {
		if !demo.checkRoute(ctx, gateway, path, acknowledged, bound) {
			return
		}
	}
	demo.recordEvent("configuration %d in force", demo.operator.revision)
}

// checkRoute checks that a gateway has a new route within bound. It returns false if the bound cannot be checked because ctx has
// ended or the machine has stalled.
func (demo *demo) checkRoute(ctx context.Context, gateway *member, path string, acknowledged time.Time, bound time.Duration) bool {
	for {
		request := request{path: path + "x", attempt: attempt{input: "new route", idempotent: true}}
		sent := time.Now()
		_, answer := demo.caller.send(ctx, gateway.settings.Frontend, request, toolTime)
		if ctx.Err() != nil {
			return false
		}
		late := sent.Sub(acknowledged) > bound
		if answer.status == 404 && late && demo.stalledSince(acknowledged) {
			demo.recordEvent("configuration %d: the machine held all up, no bound was checked", demo.operator.revision)
			return false
		}
		if answer.status/100 == 2 || answer.status == 404 && late {
			demo.checker.check(RuleConfigurationInForce, answer.status != 404, "revision %d is not in force at %s after %v", demo.operator.revision, gateway.node(), bound)
			return true
		}
		if late {
			return true // the response does not show which configuration is in force at this gateway
		}
		sleep(ctx, pollInterval)
	}
}

// stalledSince reports whether the machine has stalled since a time for so long that sessions may have expired.
func (demo *demo) stalledSince(since time.Time) bool {
	return demo.stallMeter.longestSince(since) > demo.tier.gateways[0].settings.ContactWindow/10
}

// readBack checks the configuration at the end.
func (demo *demo) readBack(ctx context.Context) {
	begun := time.Now()
	same, err := demo.operator.readBack(ctx)
	if err != nil && demo.stalledSince(begun) {
		demo.recordEvent("the configuration was not read back: the machine held all up")
		return
	}
	demo.checker.check(RuleConfigurationInForce, same, "revision %d is not read back (%v)", demo.operator.revision, err)
}

// setPhase begins a phase.
func (demo *demo) setPhase(phase string) {
	demo.mu.Lock()
	demo.phase = phase
	demo.mu.Unlock()
	demo.recordEvent("%s", phase)
}

// reportProgress reports the progress each second.
func (demo *demo) reportProgress(ctx context.Context) {
	if demo.options.Progress == nil {
		return
	}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			demo.mu.Lock()
			phase := demo.phase
			demo.mu.Unlock()
			demo.options.Progress(time.Since(demo.trafficBegan), phase, demo.recorder.totals())
		}
	}
}

// stopAll stops the fakes and kills the processes of the tier.
func (demo *demo) stopAll() {
	if demo.caller != nil {
		demo.caller.close()
		demo.operator.close()
	}
	if demo.tier != nil {
		demo.tier.killAll()
	}
	if demo.platform != nil {
		demo.platform.stop()
	}
}
