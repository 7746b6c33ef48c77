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

// Takeover is how long it took until others had the work of a process that was stopped.
type Takeover struct {
	Node string
	Work string
	Took time.Duration
	Done bool // else there was none within Took
}

// noteEvent records an event.
func (rehearsal *rehearsal) noteEvent(what string, args ...any) {
	event := Event{At: time.Since(rehearsal.begun), What: fmt.Sprintf(what, args...)}
	rehearsal.mu.Lock()
	rehearsal.events = append(rehearsal.events, event)
	rehearsal.mu.Unlock()
	if rehearsal.options.Note != nil {
		rehearsal.options.Note(event.At, event.What)
	}
}

// trouble is the phase with faults: a turn store is killed and restarted with its disk, then the control-plane primary, one at a
// time, as the tier survives one loss. Meanwhile the endpoints are replaced one after the other.
func (rehearsal *rehearsal) trouble(ctx context.Context) {
	rehearsal.setPhase("trouble")
	begun := time.Now()
	at := func(part float64) { // part of the time
		pause(ctx, time.Until(begun.Add(time.Duration(part*float64(rehearsal.options.Trouble)))))
	}
	var releasing sync.WaitGroup
	releasing.Go(func() { rehearsal.releaseAll(ctx) })
	at(.05)
	rehearsal.loseTurnStore(ctx, at)
	at(.5)
	rehearsal.losePrimary(ctx, at)
	at(1)
	releasing.Wait()
}

// releaseAll replaces the endpoints one after the other.
func (rehearsal *rehearsal) releaseAll(ctx context.Context) {
	n := rehearsal.platform.count()
	for range n {
		pause(ctx, rehearsal.options.Trouble/time.Duration(n+1))
		if ctx.Err() != nil {
			return
		}
		instance, err := rehearsal.platform.release(ctx)
		if err != nil {
			rehearsal.noteEvent("no endpoint in the place of %s: %v", instance, err)
			return
		}
		rehearsal.noteEvent("endpoint %s released", instance)
	}
}

// stop kills a process and measures the time until others have its work.
func (rehearsal *rehearsal) stop(ctx context.Context, member *member, work string, taken func(context.Context) bool) {
	member.kill()
	stopped := time.Now()
	rehearsal.noteEvent("%s stopped", member.node())
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	err := until(ctx, "takeover from "+member.node(), taken)
	takeover := Takeover{Node: member.node(), Work: work, Took: time.Since(stopped), Done: err == nil}
	rehearsal.mu.Lock()
	rehearsal.takeovers = append(rehearsal.takeovers, takeover)
	rehearsal.mu.Unlock()
	if takeover.Done {
		rehearsal.noteEvent("%s taken over", work)
	}
}

// back restarts a process and waits until it has its part again and the tier survives another loss.
func (rehearsal *rehearsal) back(ctx context.Context, member *member, part func(context.Context) bool) {
	if err := member.start(); err != nil {
		rehearsal.noteEvent("%s does not start: %v", member.node(), err)
		return
	}
	rehearsal.noteEvent("%s started", member.node())
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if until(ctx, "the part of "+member.node(), func(ctx context.Context) bool { return part(ctx) && rehearsal.tier.hasAllCopies(ctx) }) == nil {
		rehearsal.noteEvent("%s does its part, and all copies are whole", member.node())
	}
}

// loseTurnStore kills a turn store that is a primary, and restarts it.
func (rehearsal *rehearsal) loseTurnStore(ctx context.Context, at func(float64)) {
	lost := rehearsal.tier.turnStores[0]
	for _, store := range rehearsal.tier.turnStores { // one that is a primary
		one, cancel := context.WithTimeout(ctx, lookTime)
		primary, _ := rehearsal.tier.isPrimary(one, store.node())
		cancel()
		if primary {
			lost = store
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	rehearsal.stop(ctx, lost, "partitions of "+lost.node(), func(ctx context.Context) bool {
		primary, known := rehearsal.tier.isPrimary(ctx, lost.node())
		return known && !primary
	})
	at(.25)
	rehearsal.back(ctx, lost, func(ctx context.Context) bool { return rehearsal.tier.hasCopy(ctx, lost.node()) })
}

// losePrimary kills the control-plane primary, changes the configuration, and restarts it.
func (rehearsal *rehearsal) losePrimary(ctx context.Context, at func(float64)) {
	one, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	var primary *member
	if until(one, "a primary", func(ctx context.Context) bool {
		primary, _ = rehearsal.tier.primary(ctx)
		return primary != nil
	}) != nil {
		return
	}
	rehearsal.stop(ctx, primary, "control", func(ctx context.Context) bool {
		p, _ := rehearsal.tier.primary(ctx)
		return p != nil
	})
	settings := primary.settings
	rehearsal.change(ctx, settings.ConfigApply+settings.ContactWindow)
	at(.75)
	rehearsal.back(ctx, primary, func(ctx context.Context) bool { return rehearsal.tier.isCurrent(ctx, primary) })
}
