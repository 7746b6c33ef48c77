package consensus

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// absence is one way in which a member misses writes.
type absence struct {
	name        string
	leave, back func(w *simulation, s *site)
}

var absences = []absence{
	{"restarted", func(_ *simulation, s *site) { s.stop(false) }, func(_ *simulation, s *site) { s.start(false) }},
	{"restarted after a loss of power", func(_ *simulation, s *site) { s.stop(true) }, func(_ *simulation, s *site) { s.start(false) }},
	{"paused", func(_ *simulation, s *site) { s.paused = true }, func(_ *simulation, s *site) { s.resume() }},
	{"restarted after a loss of its disk", func(_ *simulation, s *site) { s.wipe() }, func(_ *simulation, s *site) { s.start(false) }},
	{"replaced by a joiner", func(_ *simulation, s *site) { s.wipe(); s.removed = true }, func(w *simulation, s *site) {
		w.sites = append(w.sites, &site{simulation: w, member: &tierv1.Member{Address: "new", Zone: s.member.Zone, Region: "r"}})
		w.sites[len(w.sites)-1].start(false)
	}},
}

// isFullyRedundant reports whether all losses are tolerated again. This must hold by the primary's own health, which may be as old as
// answerMaxAge, and in fact: every member runs with its folder, and every site named by the view has the state of its epoch.
func (w *simulation) isFullyRedundant() bool {
	l := w.newestPrimary()
	if l == nil || l.syncing || !w.isComplete() || l.replica.health().Tolerates < w.toleratedLosses || len(l.replica.primary.view.Former) > 0 {
		return false
	}
	for _, s := range w.sites {
		if s.replica != nil && isNamedIn(l.replica.primary.view, s.replica.Folder) && (s.syncing || s.replica.stateEpoch < l.replica.primary.view.Epoch) {
			return false
		}
	}
	return true
}

// acknowledgeWrites calls put until n more writes are acknowledged, one after the other.
func (w *simulation) acknowledgeWrites(n int) {
	last := w.now
	for count := len(w.acknowledged); len(w.acknowledged) < count+n && len(w.violations) == 0; {
		before := len(w.acknowledged)
		if w.now-last > 2*w.window {
			w.recordViolation("nothing was acknowledged for %v", w.now-last)
			return
		}
		w.put(true)
		for i := 0; i < 200 && len(w.acknowledged) == before; i++ {
			w.runUntil(w.now + 2*time.Millisecond)
		}
		if len(w.acknowledged) > before {
			last = w.now
		}
	}
}

// playAbsence plays an absence during n writes. It returns the time from the return of the member until the next loss is tolerated, the
// bytes of snapshots that were sent to the member, and the size of one snapshot.
func playAbsence(t *testing.T, c absence, n int, seed uint64, backup bool) (w *simulation, took time.Duration, sent, snapshotSize int) {
	t.Helper()
	w = newSimulation(seed, 3, 1)
	w.boot()
	w.runUntil(5 * time.Second)
	leader := w.newestPrimary()
	assert.Assert(t, leader != nil, w.lastTrace())
	var s *site
	for _, o := range w.sites {
		if o != leader && isNamedIn(leader.replica.primary.view, o.replica.Folder) == backup {
			s = o
		}
	}
	assert.Assert(t, s != nil, w.lastTrace())
	c.leave(w, s)
	w.acknowledgeWrites(n)
	w.onDeliver = func(to *site, body proto.Message) {
		if q, ok := body.(*tierv1.WriteRequest); ok && q.Snapshot && (to == s || to.member.Address == "new") {
			sent += proto.Size(q)
		}
	}
	c.back(w, s)
	began := w.now
	w.leaseReadsUntil(began + 4*time.Second)
	for w.now < began+4*time.Second && !w.isFullyRedundant() && len(w.violations) == 0 {
		w.put(true)
		w.runUntil(w.now + 10*time.Millisecond)
	}
	took = w.now - began
	snapshotSize = proto.Size(w.newestPrimary().replica.snapshotWrite(1))
	// The primary's machine is lost permanently right after that. Another replica becomes primary with the state that it has.
	if len(w.violations) == 0 {
		old := w.newestPrimary()
		old.wipe()
		old.removed = true
		for limit := w.now + 4*time.Second; w.now < limit && w.newestPrimary() == nil; {
			w.runUntil(w.now + 10*time.Millisecond)
		}
		w.acknowledgeWrites(1)
	}
	return w, took, sent, snapshotSize
}

// A member that missed 1 to 2,000 writes catches up within the bounds on time and bytes, and does not become primary before. A loss right
// after that loses no acknowledged write.
func TestStateTransfer_AfterAbsence(t *testing.T) {
	counts := []int{1, 10, 300, 2000}
	if testing.Short() || raceDetector {
		counts = []int{1, 100}
	}
	for _, c := range absences {
		for _, backup := range []bool{true, false} {
			for _, n := range counts {
				name := fmt.Sprintf("%s, backup %v, %d writes", c.name, backup, n)
				var worst time.Duration
				var most float64
				seeds := min(seedCount(3), 20)
				if raceDetector || n > 300 && seedCount(0) == 0 {
					seeds = 1
				}
				for seed := range uint64(seeds) {
					w, took, sent, snapshotSize := playAbsence(t, c, n, seed, backup)
					where := fmt.Sprintf("%s, seed %d: %v, sent %d of %d, %v\n%s", name, seed, took, sent, snapshotSize, w.violations, w.lastTrace())
					assert.Assert(t, len(w.violations) == 0, where)
					assert.Assert(t, took < w.window, where)
					assert.Assert(t, sent <= maxSnapshots*snapshotSize, where)
					assert.Assert(t, len(w.acknowledged) > n, where)
					worst, most = max(worst, took), max(most, float64(sent)/float64(snapshotSize))
				}
				t.Logf("%s: at most %v, %.2f times the state", name, worst, most)
			}
		}
	}
}

// maxSnapshots is how many snapshots may be sent to one member until it has the state: one for each view that names it
// anew, and a change of members takes two views.
const maxSnapshots = 3

// newBackup returns a replica that has prepared an epoch for the primary fa, and that epoch.
func newBackup(t *testing.T) (m *replica, epoch uint64) {
	t.Helper()
	epoch = 5 << epochBits
	d := durableState{identity: identity{Folder: "fb"}}
	m = newReplica(d, replicaConfig{self: &tierv1.Member{Address: "b"}, seeds: []string{"a", "b", "c"}, toleratedLosses: 1, timing: newTiming(3*time.Second, 0), jitterSeed: 1})
	m.actions = new(actions)
	m.handlePrepare(&tierv1.PrepareRequest{Epoch: epoch, From: &tierv1.Member{Folder: "fa", Address: "a"}})
	assert.Assert(t, m.preparedExactly(epoch, "fa"))
	return m, epoch
}

func entry(key string, sequence uint64) []*tierv1.Entry {
	return []*tierv1.Entry{{Key: key, Value: []byte(key), Sequence: sequence}}
}

// A snapshot that is late, duplicated, out of order or from an older epoch never overwrites later writes.
func TestHandleWrite_SnapshotOutOfOrder(t *testing.T) {
	m, epoch := newBackup(t)
	snapshot := &tierv1.WriteRequest{Epoch: epoch, Sequence: 1, Snapshot: true, Entries: entry("one", 1), From: "fa"}
	change := &tierv1.WriteRequest{Epoch: epoch, PreviousSequence: 1, Sequence: 2, Entries: entry("two", 2), From: "fa"}
	assertState := func(sequence uint64, keys ...string) {
		t.Helper()
		assert.Equal(t, m.sequence, sequence)
		assert.Equal(t, len(m.entries), len(keys))
		for _, k := range keys {
			assert.Assert(t, m.entries[k] != nil, k)
		}
	}
	// A write before any snapshot, and a write after a gap.
	assert.Assert(t, m.handleWrite(change).Behind)
	assert.Assert(t, m.handleWrite(snapshot).Acknowledged)
	assert.Assert(t, m.handleWrite(&tierv1.WriteRequest{Epoch: epoch, PreviousSequence: 2, Sequence: 3, Entries: entry("three", 3), From: "fa"}).Behind)
	assertState(1, "one")
	assert.Assert(t, m.handleWrite(change).Acknowledged)
	assertState(2, "one", "two")
	// Duplicates, a snapshot that is older than the write after it, and a snapshot of another folder.
	assert.Assert(t, m.handleWrite(snapshot).Acknowledged)
	assert.Assert(t, m.handleWrite(change).Acknowledged)
	assertState(2, "one", "two")
	foreign := proto.CloneOf(snapshot)
	foreign.From, foreign.Sequence = "fc", 9
	assert.Assert(t, !m.handleWrite(foreign).Acknowledged)
	assertState(2, "one", "two")
	// A new epoch: the snapshot of the old epoch arrives after the prepare alone, and after the writes of the new epoch.
	m.handlePrepare(&tierv1.PrepareRequest{Epoch: 2 * epoch, From: &tierv1.Member{Folder: "fc", Address: "c"}})
	late := proto.CloneOf(snapshot)
	late.Sequence = 50
	assert.Assert(t, !m.handleWrite(late).Acknowledged)
	assert.Assert(t, m.handleWrite(&tierv1.WriteRequest{Epoch: 2 * epoch, PreviousSequence: 2, Sequence: 2, From: "fc"}).Behind) // same sequence, other history
	assert.Assert(t, m.handleWrite(&tierv1.WriteRequest{Epoch: 2 * epoch, Sequence: 2, Snapshot: true, Entries: entry("other", 2), From: "fc"}).Acknowledged)
	assertState(2, "other")
	for _, q := range []*tierv1.WriteRequest{late, snapshot, change} {
		a := m.handleWrite(q)
		assert.Assert(t, !a.Acknowledged && !a.Behind && a.HighestPrepared == 2*epoch)
		assertState(2, "other")
	}
}

// A backup loses power at each operation of its disk while it stores snapshots and writes and rewrites its file. Afterwards it has all
// that it acknowledged, its state is not of an older epoch, and it accepts further writes.
func TestStateTransfer_PowerLossAtEachOperation(t *testing.T) {
	value := bytes.Repeat([]byte("x"), 4<<10)
	for at := 1; ; at++ {
		died := false
		for seed := range uint64(2) {
			label := fmt.Sprintf("operation %d, seed %d", at, seed)
			s := newManualNode(t, wal.NewMemory(), "a", "b", "c")
			var acknowledged, epoch uint64
			var sent map[string]bool
			write := func(q *tierv1.WriteRequest) bool {
				a, err := callNode(s, func(n *Node) (*tierv1.WriteReply, error) { return (server{n}).Write(context.Background(), q) })
				if err != nil || !a.Acknowledged {
					return false
				}
				acknowledged, epoch = q.Sequence, q.Epoch
				return true
			}
			s.disk.DieAt(at)
			takeSnapshotAndWrites := func(first uint64) bool {
				e := first << epochBits
				a, err := callNode(s, func(n *Node) (*tierv1.PrepareReply, error) {
					return (server{n}).Promise(context.Background(), &tierv1.PrepareRequest{Epoch: e, From: &tierv1.Member{Folder: "fa", Address: "b"}})
				})
				if err != nil || !a.Prepared {
					return false
				}
				sent = map[string]bool{"base": true}
				if !write(&tierv1.WriteRequest{Epoch: e, Sequence: 10 * first, Snapshot: true, Entries: []*tierv1.Entry{{Key: "base", Value: value}}, From: "fa"}) {
					return false
				}
				for i := 10 * first; i < 10*first+6; i++ {
					s.node.storage.rewriteAt = 1 // each write rewrites the file
					key := fmt.Sprint("k", i+1)
					sent[key] = true
					if !write(&tierv1.WriteRequest{Epoch: e, PreviousSequence: i, Sequence: i + 1, From: "fa",
						Entries: []*tierv1.Entry{{Key: key, Value: value, Sequence: i + 1}}}) {
						return false
					}
				}
				return true
			}
			completed := takeSnapshotAndWrites(1) && takeSnapshotAndWrites(2)
			died = died || !completed
			s.disk.Crash(rand.New(rand.NewPCG(uint64(at), seed)))
			s.open(false, "a", "b", "c")
			assert.NilError(t, s.node.DiskError(), label)
			d := &s.node.replica.durableState
			assert.Assert(t, d.stateEpoch >= epoch, "%s: state of epoch %d, acknowledged under %d", label, d.stateEpoch, epoch)
			assert.Assert(t, d.stateEpoch > epoch || d.sequence >= acknowledged, "%s: at sequence %d, acknowledged %d", label, d.sequence, acknowledged)
			assert.Assert(t, d.preparedEpoch >= epoch, label)
			if first := d.stateEpoch >> epochBits; first > 0 {
				assert.Assert(t, d.entries["base"] != nil && uint64(len(d.entries)) == d.sequence-10*first+1, "%s: %d keys at %d", label, len(d.entries), d.sequence)
			}
			assert.Assert(t, takeSnapshotAndWrites(3), label)
		}
		if !died {
			assert.Assert(t, at > 60)
			return
		}
	}
}
