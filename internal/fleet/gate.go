// Package fleet is a sender's part in what the fleet agrees on: the voters' log on the disk, what senders say to each other, the
// duties in which all that runs, and the gate that each call passes before its first byte.
package fleet

import (
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
)

// Gate is what calls pass before they are written, from any goroutine, without a lock. A call that has passed is inside until it
// says that it is written: a view is not left behind while one that it let through waits.
type Gate struct {
	now        func() time.Duration
	coarseNow  func() time.Duration // as now, cheaper, and behind it by how long the machine slept since the last lease
	leaseUntil atomic.Int64         // of the lease; counted with now
	generation atomic.Pointer[generation]
}

// generation is those that were let through under a view.
type generation struct {
	view        atomic.Pointer[fleetpolicy.View] // its index moves on while it stays the same to each call
	admitted    atomic.Int64
	releaseFunc func()        // left, made once
	drained     chan struct{} // holds a word when it may be empty
	closing     atomic.Bool
}

// NewGate makes a gate that lets nothing through yet.
func NewGate(now func() time.Duration) *Gate { return &Gate{now: now, coarseNow: now} }

// Admit asks whether a call may be written now; leave is to be called when it is, and why says what stands against it.
func (g *Gate) Admit(c fleetpolicy.Call) (leave func(), why string) {
	for {
		r := g.generation.Load()
		if r == nil {
			return nil, "the fleet's policy is not known yet"
		}
		r.admitted.Add(1)
		if g.generation.Load() != r { // replaced meanwhile: nobody may have seen us inside
			r.release()
			continue
		}
		v := r.view.Load()
		ok, why := v.Allows(c)
		if ok && !g.acts(v, g.now()) {
			ok, why = false, "this sender is cut off from the fleet"
		}
		if !ok {
			r.release()
			return nil, why
		}
		return r.releaseFunc, ""
	}
}

// current is what calls go by, whether or not any are begun; nil while nothing is known. It asks no clock.
func (g *Gate) current() *fleetpolicy.View {
	if r := g.generation.Load(); r != nil {
		return r.view.Load()
	}
	return nil
}

// acts reports whether the lease lasts, at this very moment; or whether the policy has senders go on without one.
func (g *Gate) acts(v *fleetpolicy.View, now time.Duration) bool {
	until := time.Duration(g.leaseUntil.Load())
	return until > 0 && now < until+v.Policy.PartitionGrace()
}

func (r *generation) release() {
	if r.admitted.Add(-1) == 0 && r.closing.Load() {
		select {
		case r.drained <- struct{}{}:
		default:
		}
	}
}

// View is what calls go by, and whether they are begun at all, by the rough clock: what is taken on by it is asked again by Enter.
func (g *Gate) View() (v *fleetpolicy.View, acts bool) {
	r := g.generation.Load()
	if r == nil {
		return nil, false
	}
	v = r.view.Load()
	return v, v.Unfit == nil && g.acts(v, g.coarseNow())
}

// publish is what calls go by from now on. With drain it returns what waits until those that were let through before are
// written; that may last until the time-out of a call whose receiver takes nothing.
func (g *Gate) publish(v *fleetpolicy.View, until time.Duration, drain bool) (drained func()) {
	was := g.generation.Load()
	if was == nil || drain {
		r := &generation{drained: make(chan struct{}, 1)}
		r.releaseFunc = r.release
		r.view.Store(v)
		g.generation.Store(r)
	} else {
		was.view.Store(v)
	}
	g.leaseUntil.Store(int64(until)) // behind the view: a lease may need it
	if was == nil || !drain {
		return func() {}
	}
	return func() {
		was.closing.Store(true)
		for was.admitted.Load() > 0 {
			<-was.drained
		}
	}
}
