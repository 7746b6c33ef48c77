package tierdemo

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Event is something that was done or observed during the demo.
type Event struct {
	At   time.Duration // since the start of the traffic
	What string
}

// Takeover is a failover: how long it took until other processes had taken over the work of a process that was stopped.
type Takeover struct {
	Node string
	Work string
	Took time.Duration
	Done bool // false: the work was not taken over within Took
}

// recordEvent records an event.
func (demo *demo) recordEvent(what string, args ...any) {
	event := Event{At: time.Since(demo.trafficBegan), What: fmt.Sprintf(what, args...)}
	demo.mu.Lock()
	demo.events = append(demo.events, event)
	demo.mu.Unlock()
	if demo.options.OnEvent != nil {
		demo.options.OnEvent(event.At, event.What)
	}
}

// injectFaults is the phase with faults: a turn store is killed and restarted with its disk, then the control-plane primary, one at a
// time, as the tier survives one loss. Meanwhile the endpoints are replaced one after the other.
func (demo *demo) injectFaults(ctx context.Context) {
	demo.setPhase("trouble")
	begun := time.Now()
	at := func(fraction float64) { // fraction of the phase
		sleep(ctx, time.Until(begun.Add(time.Duration(fraction*float64(demo.options.Faults)))))
	}
	var releasing sync.WaitGroup
	releasing.Go(func() { demo.releaseAll(ctx) })
	at(.05)
	demo.loseTurnStore(ctx, at)
	at(.5)
	demo.losePrimary(ctx, at)
	at(1)
	releasing.Wait()
}

// releaseAll replaces the endpoints one after the other.
func (demo *demo) releaseAll(ctx context.Context) {
	n := demo.platform.count()
	for range n {
		sleep(ctx, demo.options.Faults/time.Duration(n+1))
		if ctx.Err() != nil {
			return
		}
		instance, err := demo.platform.release(ctx)
		if err != nil {
			demo.recordEvent("no endpoint in the place of %s: %v", instance, err)
			return
		}
		demo.recordEvent("endpoint %s released", instance)
	}
}

// kill kills a process and measures the time until other processes have taken over its work.
func (demo *demo) kill(ctx context.Context, member *member, work string, takenOver func(context.Context) bool) {
	member.kill()
	stopped := time.Now()
	demo.recordEvent("%s stopped", member.node())
	ctx, cancel := context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	err := pollUntil(ctx, "takeover from "+member.node(), takenOver)
	takeover := Takeover{Node: member.node(), Work: work, Took: time.Since(stopped), Done: err == nil}
	demo.mu.Lock()
	demo.takeovers = append(demo.takeovers, takeover)
	demo.mu.Unlock()
	if takeover.Done {
		demo.recordEvent("%s taken over", work)
	}
}

// restart restarts a process and waits until it serves its role again and the tier can survive another loss.
func (demo *demo) restart(ctx context.Context, member *member, serving func(context.Context) bool) {
	if err := member.start(); err != nil {
		demo.recordEvent("%s does not start: %v", member.node(), err)
		return
	}
	demo.recordEvent("%s started", member.node())
	ctx, cancel := context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	if pollUntil(ctx, "recovery of "+member.node(), func(ctx context.Context) bool { return serving(ctx) && demo.tier.hasAllReplicas(ctx) }) == nil {
		demo.recordEvent("%s does its part, and all copies are whole", member.node())
	}
}

// loseTurnStore kills a turn store that is a primary, and restarts it.
func (demo *demo) loseTurnStore(ctx context.Context, at func(float64)) {
	killed := demo.tier.turnStores[0]
	for _, store := range demo.tier.turnStores {
		pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		primary, _ := demo.tier.isPrimary(pollCtx, store.node())
		cancel()
		if primary {
			killed = store
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	demo.kill(ctx, killed, "partitions of "+killed.node(), func(ctx context.Context) bool {
		primary, known := demo.tier.isPrimary(ctx, killed.node())
		return known && !primary
	})
	at(.25)
	demo.restart(ctx, killed, func(ctx context.Context) bool { return demo.tier.hasReplica(ctx, killed.node()) })
}

// losePrimary kills the control-plane primary, changes the configuration, and restarts it.
func (demo *demo) losePrimary(ctx context.Context, at func(float64)) {
	pollCtx, cancel := context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	var primary *member
	if pollUntil(pollCtx, "a primary", func(ctx context.Context) bool {
		primary, _ = demo.tier.primary(ctx)
		return primary != nil
	}) != nil {
		return
	}
	demo.kill(ctx, primary, "control", func(ctx context.Context) bool {
		p, _ := demo.tier.primary(ctx)
		return p != nil
	})
	settings := primary.settings
	demo.change(ctx, settings.ConfigApply+settings.ContactWindow)
	at(.75)
	demo.restart(ctx, primary, func(ctx context.Context) bool { return demo.tier.isCurrent(ctx, primary) })
}
