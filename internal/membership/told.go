package membership

import "time"

// Told keeps a list from going back. A source that several machines answer for may give an older version after a newer
// one: from a machine that lags behind, or from a backup. What it was told to leave alone since, a sender must not take up
// again by such a list. It is for one source and one goroutine.
type Told struct {
	left  map[string]leaving  // by id, of what drains or is gone
	lines map[string]struct{} // ids that the list has
}

// leaving is when an endpoint was told to drain or go, and by which version.
type leaving struct {
	version int64
	at      time.Duration
}

// heldBack is how long an older version's word that an endpoint serves does not count. A source that numbers its versions
// anew without saying so, as after the loss of its state, is believed after that.
const heldBack = time.Minute

// NewTold gives the memory of a source that has told nothing yet.
func NewTold() *Told { return &Told{left: map[string]leaving{}, lines: map[string]struct{}{}} }

// Apply takes in an update and gives what of it counts: its lines, but for those that say an endpoint serves which a newer
// version had drain or go; such a line counts as draining. That something drains or is gone counts whatever the version,
// as it does no harm. now is any clock that does not go back.
func (t *Told) Apply(now time.Duration, u Update) (counts Update, older int) {
	if u.Anew {
		clear(t.left)
	}
	for id, l := range t.left {
		if now-l.at >= heldBack {
			delete(t.left, id)
		}
	}
	leave := func(id string) {
		if l, left := t.left[id]; !left || u.Version >= l.version {
			t.left[id] = leaving{u.Version, now}
		}
	}
	listed := map[string]struct{}{}
	for i, line := range u.Servers {
		listed[line.ID] = struct{}{}
		l, left := t.left[line.ID]
		switch {
		case line.State != Serving:
			leave(line.ID)
		case left && u.Version < l.version:
			if older++; older == 1 {
				u.Servers = append([]Target(nil), u.Servers...) // it is the caller's
			}
			u.Servers[i].State = Draining
		default:
			delete(t.left, line.ID)
		}
		if line.State == Deleted {
			delete(t.lines, line.ID)
		} else {
			t.lines[line.ID] = struct{}{}
		}
	}
	if u.Full {
		for id := range t.lines {
			if _, ok := listed[id]; !ok {
				delete(t.lines, id)
				leave(id)
			}
		}
	}
	return u, older
}
