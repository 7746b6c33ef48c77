package tierdemo

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Event is something that was done, or seen, during a rehearsal.
type Event struct {
	At   time.Duration // from the begin of the traffic
	What string
}

// Takeover is how long it took until others did the work of a process that was stopped.
type Takeover struct {
	Node string
	Work string
	Took time.Duration
	Done bool // else it had not happened by then
}

func (r *rehearsal) note(what string, args ...any) {
	e := Event{At: time.Since(r.begun), What: fmt.Sprintf(what, args...)}
	r.mu.Lock()
	r.events = append(r.events, e)
	r.mu.Unlock()
	if r.o.Note != nil {
		r.o.Note(e.At, e.What)
	}
}

// trouble stops a turn store and starts it with its disk, then the control plane primary, which is the tier's loss to be borne, one at a
// time; meanwhile the endpoints are released one after the other.
func (r *rehearsal) trouble(ctx context.Context) {
	r.setPhase("trouble")
	begun := time.Now()
	at := func(part float64) { // part of the time
		pause(ctx, time.Until(begun.Add(time.Duration(part*float64(r.o.Trouble)))))
	}
	var releasing sync.WaitGroup
	releasing.Go(func() { r.releaseAll(ctx) })
	at(.05)
	r.loseTurnStore(ctx, at)
	at(.5)
	r.losePrimary(ctx, at)
	at(1)
	releasing.Wait()
}

// releaseAll releases the endpoints one after the other.
func (r *rehearsal) releaseAll(ctx context.Context) {
	n := r.platform.count()
	for range n {
		pause(ctx, r.o.Trouble/time.Duration(n+1))
		if ctx.Err() != nil {
			return
		}
		instance, err := r.platform.release(ctx)
		if err != nil {
			r.note("no endpoint in the place of %s: %v", instance, err)
			return
		}
		r.note("endpoint %s released", instance)
	}
}

// stop kills a process and measures until others do its work.
func (r *rehearsal) stop(ctx context.Context, p *member, work string, taken func(context.Context) bool) {
	p.kill()
	stopped := time.Now()
	r.note("%s stopped", p.node())
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	err := until(ctx, "takeover from "+p.node(), taken)
	t := Takeover{Node: p.node(), Work: work, Took: time.Since(stopped), Done: err == nil}
	r.mu.Lock()
	r.takeovers = append(r.takeovers, t)
	r.mu.Unlock()
	if t.Done {
		r.note("%s taken over", work)
	}
}

// back starts a process again and waits until it does its part once more, and with it the tier bears a loss.
func (r *rehearsal) back(ctx context.Context, p *member, part func(context.Context) bool) {
	if err := p.start(); err != nil {
		r.note("%s does not start: %v", p.node(), err)
		return
	}
	r.note("%s started", p.node())
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if until(ctx, "the part of "+p.node(), func(ctx context.Context) bool { return part(ctx) && r.tier.whole(ctx) }) == nil {
		r.note("%s does its part, and all copies are whole", p.node())
	}
}

func (r *rehearsal) loseTurnStore(ctx context.Context, at func(float64)) {
	turnstore := r.tier.turnStores[0]
	for _, v := range r.tier.turnStores { // one that has something to lose
		one, cancel := context.WithTimeout(ctx, lookTime)
		speaks, _ := r.tier.speaks(one, v.node())
		cancel()
		if speaks {
			turnstore = v
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	r.stop(ctx, turnstore, "partitions of "+turnstore.node(), func(ctx context.Context) bool {
		speaks, known := r.tier.speaks(ctx, turnstore.node())
		return known && !speaks
	})
	at(.25)
	r.back(ctx, turnstore, func(ctx context.Context) bool { return r.tier.keeps(ctx, turnstore.node()) })
}

func (r *rehearsal) losePrimary(ctx context.Context, at func(float64)) {
	one, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	var primary *member
	if until(one, "a primary", func(ctx context.Context) bool {
		primary, _ = r.tier.primary(ctx)
		return primary != nil
	}) != nil {
		return
	}
	r.stop(ctx, primary, "control", func(ctx context.Context) bool {
		p, _ := r.tier.primary(ctx)
		return p != nil
	})
	s := primary.settings
	r.change(ctx, s.ConfigApply+s.ContactWindow)
	at(.75)
	r.back(ctx, primary, func(ctx context.Context) bool { return r.tier.follows(ctx, primary) })
}
