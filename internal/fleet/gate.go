package fleet

import (
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
)

// Gate is what each call passes before it is written. It is safe for concurrent use and takes no lock. A call that was admitted is counted until
// the caller says that it is written, so that a view is not left while a call that it admitted still waits to be written.
type Gate struct {
	now        func() time.Duration
	coarseNow  func() time.Duration // as now, cheaper; it lacks what the machine was suspended since it was last set
	leaseUntil atomic.Int64         // end of the lease, by now
	generation atomic.Pointer[generation]
}

// generation counts the calls that were admitted under views that are the same to each call.
type generation struct {
	view        atomic.Pointer[fleetpolicy.View] // its index moves on
	admitted    atomic.Int64
	releaseFunc func()        // release, made once
	drained     chan struct{} // holds a token when admitted may have come to 0
	closing     atomic.Bool
}

// NewGate makes a gate that admits no call yet. now is the clock that leases are counted by.
func NewGate(now func() time.Duration) *Gate { return &Gate{now: now, coarseNow: now} }

// Admit asks whether a call may be written now. If it may, release is to be called when it is written; if not, why tells the reason in words for
// operators.
func (g *Gate) Admit(c fleetpolicy.Call) (release func(), why string) {
	for {
		r := g.generation.Load()
		if r == nil {
			return nil, "the fleet's policy is not known yet"
		}
		r.admitted.Add(1)
		if g.generation.Load() != r { // replaced meanwhile: the count may have been read as 0 before
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

// current is the view that calls go by, whether or not any may be begun; nil while nothing is known. It reads no clock.
func (g *Gate) current() *fleetpolicy.View {
	if r := g.generation.Load(); r != nil {
		return r.view.Load()
	}
	return nil
}

// acts reports whether the lease, and the grace that the policy gives after it, lasts at a time.
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

// View is the view that calls go by, and whether any may be begun at all, by the coarse clock: Admit asks again by the exact one.
func (g *Gate) View() (v *fleetpolicy.View, acts bool) {
	r := g.generation.Load()
	if r == nil {
		return nil, false
	}
	v = r.view.Load()
	return v, v.Unfit == nil && g.acts(v, g.coarseNow())
}

// publish replaces the view and the lease's end. With drain it returns a function that waits until the calls which were admitted before are
// written, which may last until the time-out of a call whose receiver takes nothing.
func (g *Gate) publish(v *fleetpolicy.View, until time.Duration, drain bool) (waitDrained func()) {
	was := g.generation.Load()
	if was == nil || drain {
		r := &generation{drained: make(chan struct{}, 1)}
		r.releaseFunc = r.release
		r.view.Store(v)
		g.generation.Store(r)
	} else {
		was.view.Store(v)
	}
	g.leaseUntil.Store(int64(until)) // after the view, which the lease may need
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
