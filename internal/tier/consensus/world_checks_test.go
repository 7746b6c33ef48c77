package consensus

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// check checks the invariants when a replica has become primary of a view.
func (w *simulation) check(s *site) {
	if s.replica == nil || s.replica.primary == nil {
		s.checkedView = nil
		return
	}
	r := s.replica.primary.view
	if r == s.checkedView {
		return
	}
	s.checkedView, s.newestEpoch = r, r.Epoch
	if other := w.chosen[r.Epoch]; other != nil && !proto.Equal(other, r) {
		w.recordViolation("two chosen views of epoch %d", r.Epoch)
	}
	w.chosen[r.Epoch] = r
	if w.newestView == nil || r.Epoch > w.newestView.Epoch {
		w.newestView = r
	}
	w.logf("leadership %s %v backups %v members %d former %d", s.replica.Folder, r.Epoch, r.Backups, len(r.Members), len(r.Former))
	for key, sequence := range w.acknowledged {
		if r.Epoch > w.acknowledgedUnder[key] || !w.superseded(r) {
			w.checkEntry(s, key, sequence)
		}
	}
	for key := range w.rejected {
		if s.replica.primary.committed[key] != nil {
			w.recordViolation("%s serves %s, which was rejected", s.replica.Folder, key)
		}
	}
}

// superseded reports whether a backup of a view has prepared a higher epoch, so that nothing can be acknowledged or confirmed under the
// view any more. The leadership of the view may still begin, if its primary receives late the reply by which it learns that the view was
// chosen. Reads under its lease are checked by leaseReads.
func (w *simulation) superseded(r *tierv1.View) bool {
	for _, s := range w.sites {
		if s.replica != nil && slices.Contains(r.Backups, s.replica.Folder) && s.replica.preparedEpoch > r.Epoch {
			return true
		}
	}
	return false
}

// visible returns the entries that the primary serves. For a replica that stepped down in the step that acknowledged a write, it returns
// the entries of its state, which include the write.
func (s *site) visible() map[string]*tierv1.Entry {
	if s.replica.primary == nil {
		return s.replica.entries
	}
	return s.replica.primary.committed
}

func (w *simulation) checkEntry(s *site, key string, sequence uint64) {
	e := s.visible()[key]
	if e == nil || e.Sequence != sequence {
		w.recordViolation("%s of epoch %d lacks %s of sequence %d", s.replica.Folder, epochOf(s.replica.chosen), key, sequence)
	}
	if s.replica.sequence < sequence {
		w.recordViolation("%s is at sequence %d, before %d", s.replica.Folder, s.replica.sequence, sequence)
	}
}

func (w *simulation) outcome(s *site, o outcome) {
	op := w.pendingOperations[o.token]
	if op == nil {
		return
	}
	delete(w.pendingOperations, o.token)
	switch {
	case o.err == nil && op.key == "":
		for key, sequence := range w.acknowledged {
			if w.acknowledgedAt[key] < op.began {
				if e := s.visible()[key]; e == nil || e.Sequence != sequence {
					w.recordViolation("%s confirmed without %s", s.replica.Folder, key)
				}
			}
		}
	case o.err == nil:
		w.acknowledged[op.key], w.acknowledgedAt[op.key], w.acknowledgedUnder[op.key] = o.sequence, w.now, s.newestEpoch
		for _, other := range w.sites {
			if other == s || other.replica != nil && other.replica.primary != nil && !other.syncing &&
				other.replica.primary.view.Epoch > s.newestEpoch {
				w.checkEntry(other, op.key, o.sequence)
			}
		}
	case errors.Is(o.err, ErrNotPrimary) && op.key != "":
		w.rejected[op.key] = true
	}
}

// put sends a write and a confirm to each replica that considers itself primary; with confirmed, only to those with a valid lease.
func (w *simulation) put(confirmed bool) (sent bool) {
	for _, s := range w.sites {
		if s.replica == nil || s.replica.primary == nil || confirmed && !s.replica.confirmedWithin(s.replica.timing.lease) {
			continue
		}
		sent = true
		epoch := s.replica.primary.view.Epoch
		w.token++
		key := fmt.Sprintf("k%d", w.token)
		w.pendingOperations[w.token] = &operation{key: key, began: w.now, site: s}
		e := putRequest{w.token, epoch, map[string][]byte{key: []byte(key)}}
		w.token++
		w.pendingOperations[w.token] = &operation{began: w.now, site: s}
		s.step(e, confirmRequest{w.token, epoch})
	}
	return sent
}

// load calls put at random intervals until a time.
func (w *simulation) load(until time.Duration) {
	if w.now >= until {
		return
	}
	w.put(w.random.IntN(2) == 0)
	w.after(time.Duration(w.random.Int64N(int64(200*time.Millisecond)))+time.Millisecond, func() { w.load(until) })
}

// recover ends all faults and returns how long it took until a put was acknowledged, at most limit.
func (w *simulation) recover(limit time.Duration) (time.Duration, bool) {
	clear(w.partitions)
	w.faultRate, w.chooseFault = 0, nil
	for _, s := range w.sites {
		s.start(false)
	}
	began, n := w.now, len(w.acknowledged)
	for w.now < began+limit && len(w.violations) == 0 {
		w.put(true)
		w.runUntil(w.now + 50*time.Millisecond)
		if len(w.acknowledged) > n {
			return w.now - began, true
		}
	}
	return limit, false
}

// isComplete reports whether the view in force has no former members and its full number of members and backups, none of them wiped.
func (w *simulation) isComplete() bool {
	want := min(2*w.toleratedLosses+1, len(w.sites))
	if w.newestView == nil || len(w.newestView.Former) > 0 || len(w.newestView.Members) < min(want, 3) || len(w.newestView.Backups) < w.toleratedLosses {
		return false
	}
	for _, v := range w.newestView.Members {
		if s := w.site(v.Address); s == nil || s.replica == nil || v.Folder != "" && s.replica.Folder != v.Folder {
			return false
		}
	}
	return true
}
