package membership

import "time"

// RollbackGuard keeps an endpoint list from going back. A source that several machines answer for may give an older version
// after a newer one: from a machine that lags behind, or from a backup. Endpoints that it had drain or go since, a sender must
// not take up again by such a list. It is for one source and one goroutine.
type RollbackGuard struct {
	drained map[string]drainRecord // by id, of what drains or is gone
	listed  map[string]struct{}    // ids that the list has
}

// drainRecord is when an endpoint was told to drain or go, and by which version.
type drainRecord struct {
	version int64
	at      time.Duration
}

// rollbackWindow is how long an older version's word that an endpoint serves does not count. A source that numbers its
// versions anew without saying so, as after the loss of its state, is believed after that.
const rollbackWindow = time.Minute

// NewRollbackGuard makes the guard of a source that has sent nothing yet.
func NewRollbackGuard() *RollbackGuard {
	return &RollbackGuard{drained: map[string]drainRecord{}, listed: map[string]struct{}{}}
}

// Apply takes in an update and gives what of it counts: its targets, but for those that say an endpoint serves which a newer
// version had drain or go; such a target counts as draining. That something drains or is gone counts whatever the version, as
// it does no harm. older is how many targets were held back. now is any clock that does not go back.
func (t *RollbackGuard) Apply(now time.Duration, u Update) (counts Update, older int) {
	if u.VersionsReset {
		clear(t.drained)
	}
	for id, drained := range t.drained {
		if now-drained.at >= rollbackWindow {
			delete(t.drained, id)
		}
	}
	recordDrain := func(id string) {
		if drained, left := t.drained[id]; !left || u.Version >= drained.version {
			t.drained[id] = drainRecord{u.Version, now}
		}
	}
	listed := map[string]struct{}{}
	for i, line := range u.Servers {
		listed[line.ID] = struct{}{}
		drained, left := t.drained[line.ID]
		switch {
		case line.State != Serving:
			recordDrain(line.ID)
		case left && u.Version < drained.version:
			if older++; older == 1 {
				u.Servers = append([]Target(nil), u.Servers...) // it is the caller's
			}
			u.Servers[i].State = Draining
		default:
			delete(t.drained, line.ID)
		}
		if line.State == Deleted {
			delete(t.listed, line.ID)
		} else {
			t.listed[line.ID] = struct{}{}
		}
	}
	if u.Full {
		for id := range t.listed {
			if _, ok := listed[id]; !ok {
				delete(t.listed, id)
				recordDrain(id)
			}
		}
	}
	return u, older
}
