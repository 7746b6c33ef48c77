package consensus

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// check holds what a machine has become against what was promised.
func (w *world) check(s *site) {
	if s.m == nil || s.m.primary == nil {
		s.seen = nil
		return
	}
	r := s.m.primary.view
	if r == s.seen {
		return
	}
	s.seen, s.led = r, r.Epoch
	if other := w.chosen[r.Epoch]; other != nil && !proto.Equal(other, r) {
		w.fault("two records of epoch %d", r.Epoch)
	}
	w.chosen[r.Epoch] = r
	if w.top == nil || r.Epoch > w.top.Epoch {
		w.top = r
	}
	w.logf("leadership %s %v backups %v members %d former %d", s.m.Folder, r.Epoch, r.Backups, len(r.Members), len(r.Former))
	for key, sequence := range w.acked {
		if r.Epoch > w.ackedUnder[key] || !w.overtaken(r) {
			w.holds(s, key, sequence)
		}
	}
	for key := range w.refused {
		if s.m.primary.committed[key] != nil {
			w.fault("%s shows %s, which was refused", s.m.Folder, key)
		}
	}
}

// overtaken tells whether nothing can be acknowledged or confirmed under a record any more: a backup has promised a higher
// epoch. Its leadership may begin all the same, where the answer by which its primary learns that it was chosen comes late;
// what it shows under its lease is held against the formula by leaseReads.
func (w *world) overtaken(r *tierv1.View) bool {
	for _, s := range w.sites {
		if s.m != nil && slices.Contains(r.Backups, s.m.Folder) && s.m.preparedEpoch > r.Epoch {
			return true
		}
	}
	return false
}

// visible is what the primary shows; one that stepped down in the step that acknowledged still has it in its copy.
func (s *site) visible() map[string]*tierv1.Entry {
	if s.m.primary == nil {
		return s.m.entries
	}
	return s.m.primary.committed
}

func (w *world) holds(s *site, key string, sequence uint64) {
	e := s.visible()[key]
	if e == nil || e.Sequence != sequence {
		w.fault("%s of epoch %d lacks %s of sequence %d", s.m.Folder, epochOf(s.m.chosen), key, sequence)
	}
	if s.m.sequence < sequence {
		w.fault("%s went back to %d from %d", s.m.Folder, s.m.sequence, sequence)
	}
}

func (w *world) outcome(s *site, o outcome) {
	op := w.waiting[o.token]
	if op == nil {
		return
	}
	delete(w.waiting, o.token)
	switch {
	case o.err == nil && op.key == "":
		for key, sequence := range w.acked {
			if w.ackedAt[key] < op.began {
				if e := s.visible()[key]; e == nil || e.Sequence != sequence {
					w.fault("%s confirmed without %s", s.m.Folder, key)
				}
			}
		}
	case o.err == nil:
		w.acked[op.key], w.ackedAt[op.key], w.ackedUnder[op.key] = o.sequence, w.now, s.led
		for _, other := range w.sites {
			if other == s || other.m != nil && other.m.primary != nil && !other.busy &&
				other.m.primary.view.Epoch > s.led {
				w.holds(other, op.key, o.sequence)
			}
		}
	case errors.Is(o.err, ErrNotPrimary) && op.key != "":
		w.refused[op.key] = true
	}
}

// put and confirm ask every process that takes itself for the primary.
func (w *world) put(confirmed bool) (asked bool) {
	for _, s := range w.sites {
		if s.m == nil || s.m.primary == nil || confirmed && !s.m.confirmedWithin(s.m.timing.lease) {
			continue
		}
		asked = true
		epoch := s.m.primary.view.Epoch
		w.token++
		key := fmt.Sprintf("k%d", w.token)
		w.waiting[w.token] = &operation{key: key, began: w.now, site: s}
		e := putRequest{w.token, epoch, map[string][]byte{key: []byte(key)}}
		w.token++
		w.waiting[w.token] = &operation{began: w.now, site: s}
		s.step(e, confirmRequest{w.token, epoch})
	}
	return asked
}

// load puts now and then until a time.
func (w *world) load(until time.Duration) {
	if w.now >= until {
		return
	}
	w.put(w.random.IntN(2) == 0)
	w.after(time.Duration(w.random.Int64N(int64(200*time.Millisecond)))+time.Millisecond, func() { w.load(until) })
}

// recover ends all trouble and gives how long it took until a put was acknowledged, at most limit.
func (w *world) recover(limit time.Duration) (time.Duration, bool) {
	clear(w.partitions)
	w.faultRate, w.mutate = 0, nil
	for _, s := range w.sites {
		s.start(false)
	}
	began, n := w.now, len(w.acked)
	for w.now < began+limit && len(w.faults) == 0 {
		w.put(true)
		w.run(w.now + 50*time.Millisecond)
		if len(w.acked) > n {
			return w.now - began, true
		}
	}
	return limit, false
}

// isComplete tells whether the record in force is settled and has its full number of members and backups, none of them wiped.
func (w *world) isComplete() bool {
	want := min(2*w.losses+1, len(w.sites))
	if w.top == nil || len(w.top.Former) > 0 || len(w.top.Members) < min(want, 3) || len(w.top.Backups) < w.losses {
		return false
	}
	for _, v := range w.top.Members {
		if s := w.site(v.Address); s == nil || s.m == nil || v.Folder != "" && s.m.Folder != v.Folder {
			return false
		}
	}
	return true
}
