package fleet

import (
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
)

// Gate admits or rejects each call before it is written. It is safe for concurrent use and takes no lock. An admitted call is counted until the
// caller releases it, so that a view counts as drained only when no call that it admitted still waits to be written.
type Gate struct {
	now        func() time.Duration
	coarseNow  func() time.Duration // a cheaper clock, which may lack time in which the machine was suspended; see coarseClock
	leaseUntil atomic.Int64         // end of the lease, by the clock now
	generation atomic.Pointer[generation]
}

// generation counts the calls that were admitted under views that replaced each other without drain.
type generation struct {
	view        atomic.Pointer[fleetpolicy.View] // replaced by each publish without drain
	admitted    atomic.Int64
	releaseFunc func()        // the method value release, made once
	drained     chan struct{} // has a token when admitted may have reached 0
	closing     atomic.Bool
}

// NewGate makes a gate that admits no call yet. now is the clock that leases are measured by.
func NewGate(now func() time.Duration) *Gate { return &Gate{now: now, coarseNow: now} }

// Admit decides whether a call may be written now. If so, the caller must call release when the call is written; if not, why is the reason in
// words for operators.
func (g *Gate) Admit(c fleetpolicy.Call) (release func(), why string) {
	for {
		r := g.generation.Load()
		if r == nil {
			return nil, "the fleet's policy is not known yet"
		}
		r.admitted.Add(1)
		if g.generation.Load() != r { // replaced meanwhile: waitDrained may have read the count as 0 before it was increased
			r.release()
			continue
		}
		v := r.view.Load()
		ok, why := v.Allows(c)
		if ok && !g.mayAct(v, g.now()) {
			ok, why = false, "this sender is cut off from the fleet"
		}
		if !ok {
			r.release()
			return nil, why
		}
		return r.releaseFunc, ""
	}
}

// current returns the view that calls are checked against, whether or not any call may be begun; nil before the first publish. It reads no clock.
func (g *Gate) current() *fleetpolicy.View {
	if r := g.generation.Load(); r != nil {
		return r.view.Load()
	}
	return nil
}

// mayAct reports whether a time is before the end of the lease and of the policy's grace after it.
func (g *Gate) mayAct(v *fleetpolicy.View, now time.Duration) bool {
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

// View returns the view that calls are checked against, and whether any call may be begun, by the coarse clock: Admit checks again by the
// exact clock.
func (g *Gate) View() (v *fleetpolicy.View, mayAct bool) {
	r := g.generation.Load()
	if r == nil {
		return nil, false
	}
	v = r.view.Load()
	return v, v.Unfit == nil && g.mayAct(v, g.coarseNow())
}

// publish replaces the view and the end of the lease. With drain, waitDrained waits until all calls that were admitted before are written,
// which may last until the time-out of a call whose receiver reads nothing.
func (g *Gate) publish(v *fleetpolicy.View, until time.Duration, drain bool) (waitDrained func()) {
	former := g.generation.Load()
	if former == nil || drain {
		r := &generation{drained: make(chan struct{}, 1)}
		r.releaseFunc = r.release
		r.view.Store(v)
		g.generation.Store(r)
	} else {
		former.view.Store(v)
	}
	g.leaseUntil.Store(int64(until)) // must follow the view, which the lease may require
	if former == nil || !drain {
		return func() {}
	}
	return func() {
		former.closing.Store(true)
		for former.admitted.Load() > 0 {
			<-former.drained
		}
	}
}
