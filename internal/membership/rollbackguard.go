package membership

import "time"

// RollbackGuard prevents an endpoint list from reverting to an older version. A source with several machines may send an older version after
// a newer one: from a machine that lags behind, or from a backup. A sender must not use endpoints again, because of such a list, that the
// source has drained or removed since. A RollbackGuard is for one source and one goroutine.
type RollbackGuard struct {
	drained map[string]drainRecord // drained or removed endpoints, by id
	listed  map[string]struct{}    // ids in the list
}

// drainRecord is the version that drained or removed an endpoint, and when it was applied.
type drainRecord struct {
	version int64
	at      time.Duration
}

// rollbackWindow is how long an endpoint that was drained or removed is not used again because of an older version. After that the older
// version takes effect, as the source may have restarted its version numbers without VersionsReset, for example after the loss of its
// state.
const rollbackWindow = time.Minute

// NewRollbackGuard returns the guard of a source that has sent no update yet.
func NewRollbackGuard() *RollbackGuard {
	return &RollbackGuard{drained: map[string]drainRecord{}, listed: map[string]struct{}{}}
}

// Apply processes an update and returns it with the states that take effect: a serving target that a newer version has drained or removed is
// replaced by a draining one. Draining and removal take effect whatever the version, as they are safe. older is the number of targets that
// were replaced. now is the time of any monotonic clock.
func (g *RollbackGuard) Apply(now time.Duration, u Update) (effective Update, older int) {
	if u.VersionsReset {
		clear(g.drained)
	}
	for id, drained := range g.drained {
		if now-drained.at >= rollbackWindow {
			delete(g.drained, id)
		}
	}
	recordDrain := func(id string) {
		if drained, ok := g.drained[id]; !ok || u.Version >= drained.version {
			g.drained[id] = drainRecord{u.Version, now}
		}
	}
	listed := map[string]struct{}{}
	for i, target := range u.Servers {
		listed[target.ID] = struct{}{}
		drained, wasDrained := g.drained[target.ID]
		switch {
		case target.State != Serving:
			recordDrain(target.ID)
		case wasDrained && u.Version < drained.version:
			if older++; older == 1 {
				u.Servers = append([]Target(nil), u.Servers...) // must not modify the caller's slice
			}
			u.Servers[i].State = Draining
		default:
			delete(g.drained, target.ID)
		}
		if target.State == Deleted {
			delete(g.listed, target.ID)
		} else {
			g.listed[target.ID] = struct{}{}
		}
	}
	if u.Full {
		for id := range g.listed {
			if _, ok := listed[id]; !ok {
				delete(g.listed, id)
				recordDrain(id)
			}
		}
	}
	return u, older
}
