package consensus

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// limitInTests is a limit that tests reach with little data.
const limitInTests = 4096

// valueFor returns a value whose entry has exactly size bytes.
func valueFor(key string, size int) []byte {
	return bytes.Repeat([]byte{'v'}, size-entrySize(key, nil))
}

func assertTooLarge(t *testing.T, err error) {
	t.Helper()
	assert.Assert(t, errorx.IsOfType(err, StateTooLarge), "%v", err)
}

// putNow writes and returns the error of the outcome, which must arrive within one step.
func (s *manualNode) putNow(sets map[string][]byte) error {
	s.t.Helper()
	c := s.putSets(sets)
	s.runFor(5 * time.Millisecond)
	select {
	case o := <-c:
		return o.err
	default:
		s.t.Fatal("no outcome after a step")
		return nil
	}
}

// A state may be as large as its limit. A write that exceeds the limit by one byte is rejected at once: nothing of it is applied and the
// epoch continues. The same holds after a restart from the file.
func TestStateLimit_AtLimit(t *testing.T) {
	s := &manualNode{t: t, disk: wal.NewMemory(), limit: limitInTests}
	s.open(true, "a")
	s.runFor(time.Second)
	const small = 100
	assert.NilError(t, s.putNow(map[string][]byte{"small": valueFor("small", small)}))
	assert.NilError(t, s.putNow(map[string][]byte{"large": valueFor("large", limitInTests-small)}))
	for _, label := range []string{"first", "after a restart", "after a loss of power"} {
		epoch, _ := s.node.Primary()
		assert.Equal(t, s.node.replica.size, limitInTests, label)
		sequence := s.node.replica.sequence
		assertTooLarge(t, s.putNow(map[string][]byte{"small": valueFor("small", small+1)}))
		assertTooLarge(t, s.putNow(map[string][]byte{"new": []byte("x"), "small": valueFor("small", small)}))
		assert.Equal(t, s.node.replica.sequence, sequence, label)
		v, _ := s.node.Get("small")
		assert.DeepEqual(t, v, valueFor("small", small))
		v, _ = s.node.Get("new")
		assert.Assert(t, v == nil, label)
		now, ok := s.node.Primary()
		assert.Assert(t, ok && now == epoch, label)
		assert.NilError(t, s.node.DiskError(), label)

		// Space is freed and used again.
		assert.NilError(t, s.putNow(map[string][]byte{"small": nil}), label)
		assert.NilError(t, s.putNow(map[string][]byte{"small": valueFor("small", small)}), label)
		assert.Equal(t, s.node.replica.size, limitInTests, label)

		s.node.stop()
		s.disk.Kill()
		if label == "after a restart" {
			s.disk.Crash(rand.New(rand.NewPCG(1, 2)))
		}
		s.open(false, "a")
		s.runFor(time.Second)
	}
}

// A state above the limit, written by a version without the limit, is served. It may be changed as long as it does not grow, and writes
// that shrink it are accepted.
func TestStateLimit_StateAboveLimit(t *testing.T) {
	s := newManualNode(t, wal.NewMemory(), "a")
	s.runFor(time.Second)
	assert.NilError(t, s.putNow(map[string][]byte{"mark": []byte("1")}))
	assert.NilError(t, s.putNow(map[string][]byte{"large": valueFor("large", 2*limitInTests)}))
	s.node.stop()
	s.disk.Kill()
	s.limit = limitInTests
	s.open(false, "a")
	s.runFor(time.Second)
	_, ok := s.node.Primary()
	assert.Assert(t, ok)
	v, _ := s.node.Get("large")
	assert.Equal(t, entrySize("large", v), 2*limitInTests)

	assert.NilError(t, s.putNow(map[string][]byte{"mark": []byte("2")}))
	assertTooLarge(t, s.putNow(map[string][]byte{"mark": []byte("10")}))
	assertTooLarge(t, s.putNow(map[string][]byte{"large": valueFor("large", limitInTests+1)})) // shrinks, but is too large by itself
	assert.NilError(t, s.putNow(map[string][]byte{"large": valueFor("large", limitInTests/2)}))
	assert.NilError(t, s.putNow(map[string][]byte{"mark": []byte("10")}))
	assert.NilError(t, s.node.DiskError())
}

// The limit is the same at each primary, before and after a takeover and after a power loss of all nodes.
func TestStateLimit_Takeover(t *testing.T) {
	c := newCluster(t)
	c.limit = limitInTests
	for _, a := range []string{"a", "b", "c"} {
		c.start(a, true)
	}
	full := valueFor("k", limitInTests)
	c.put("k", string(full))
	assertRejected := func() {
		t.Helper()
		c.until("the rejection", func() bool { // the epoch may end meanwhile
			n, epoch := c.primary()
			_, err := n.Put(t.Context(), epoch, map[string][]byte{"k": append(bytes.Clone(full), 'x')})
			return errorx.IsOfType(err, StateTooLarge)
		})
		assert.Equal(t, c.get("k"), string(full))
	}
	assertRejected()
	first, _ := c.primary()
	address := first.Self().Address
	c.stop(address)
	c.disks[address].Kill()
	assertRejected()
	c.start(address, false)
	for _, a := range []string{"a", "b", "c"} {
		c.stop(a)
		c.disks[a].Crash(rand.New(rand.NewPCG(3, 4)))
	}
	for _, a := range []string{"a", "b", "c"} {
		c.start(a, false)
	}
	assertRejected()
	c.put("k", "less")
	assert.Equal(t, c.get("k"), "less")
	for _, n := range c.nodes {
		assert.NilError(t, n.DiskError())
	}
}

// Queued operations go into a batch in order, as far as the limit allows. A put that would make the state too large goes into no batch,
// and does not delay the others.
func TestStateLimit_WriteBatch(t *testing.T) {
	m := newReplica(durableState{identity: identity{Folder: "fa"}}, replicaConfig{self: &tierv1.Member{Address: "a"}, timing: newTiming(3*time.Second, 0), jitterSeed: 1})
	m.stateLimit, m.actions = limitInTests, new(actions)
	half := func(token uint64) pendingOperation {
		return pendingOperation{token: token, sets: map[string][]byte{"k": valueFor("k", limitInTests/2)}}
	}
	queue := []pendingOperation{half(1), {token: 2}, {token: 3, sets: map[string][]byte{"k": valueFor("k", limitInTests+1)}}, half(4), half(5), {token: 6}, half(7)}
	batches := [][]uint64{{1, 2, 4}, {5, 6, 7}}
	for _, want := range batches {
		q := &tierv1.WriteRequest{Epoch: 7, PreviousSequence: m.sequence, Sequence: m.sequence}
		var batched []pendingOperation
		batched, queue = m.fillBatch(q, queue)
		var got []uint64
		for _, w := range batched {
			got = append(got, w.token)
		}
		assert.DeepEqual(t, got, want)
		assert.Equal(t, q.Sequence, q.PreviousSequence+2)
		assert.Equal(t, m.sequence, q.Sequence)
		assert.Assert(t, proto.Size(q) <= limitInTests)
		assert.Equal(t, m.size, limitInTests/2)
	}
	assert.Equal(t, len(queue), 0)
	assert.Equal(t, len(m.actions.outcomes), 1)
	assert.Equal(t, m.actions.outcomes[0].token, uint64(3))
	assertTooLarge(t, m.actions.outcomes[0].err)
}

// The size of a state is that of its entries, whatever writes led to it.
func TestDurableState_Size(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	var d durableState
	for range 2000 {
		w := &tierv1.WriteRequest{Snapshot: random.IntN(50) == 0, Sequence: d.sequence + 1}
		for range random.IntN(4) { // also duplicate keys, and removals of missing keys
			w.Entries = append(w.Entries, &tierv1.Entry{Key: fmt.Sprint(random.IntN(12)), Value: make([]byte, random.IntN(40))})
		}
		d.apply(w)
		size := 0
		for key, e := range d.entries {
			size += entrySize(key, e.Value)
		}
		assert.Equal(t, d.size, size)
	}
}

// The largest state fits one record, with few large entries as well as with many small ones.
func TestStateLimit_LargestStateFitsRecord(t *testing.T) {
	const last = 1<<64 - 1
	snapshotOf := func(entries int) *tierv1.WriteRequest {
		d := durableState{identity: identity{Folder: strings.Repeat("f", 32)}, entries: map[string]*tierv1.Entry{}, sequence: last}
		each := StateLimit / entries
		value := make([]byte, each-entrySize("00000000", nil))
		for i := range entries {
			key := fmt.Sprintf("%08d", i)
			d.entries[key] = &tierv1.Entry{Key: key, Value: value, Sequence: last}
		}
		return d.snapshotWrite(last)
	}
	for _, entries := range []int{1, 2, 100, 10_000} {
		q := snapshotOf(entries)
		assert.Assert(t, fitsRecord(q), "%d entries", entries)
		assert.Assert(t, proto.Size(q) <= StateLimit+256, "%d entries: %d", entries, proto.Size(q))
	}
	assert.Assert(t, !fitsRecord(&tierv1.WriteRequest{Entries: []*tierv1.Entry{{Key: "k", Value: make([]byte, wal.MaxRecord)}}}))
}

// A write that does not fit one record, as a version without the limit may send it, is not acknowledged and changes nothing.
func TestHandleWrite_OversizedIsRejected(t *testing.T) {
	d := durableState{identity: identity{Folder: "fa"}, preparedEpoch: 1 << epochBits, preparedFor: "fb"}
	m := newReplica(d, replicaConfig{self: &tierv1.Member{Address: "a"}, toleratedLosses: 1, timing: newTiming(3*time.Second, 0), jitterSeed: 1})
	q := &tierv1.WriteRequest{Epoch: 1 << epochBits, Sequence: 1, Snapshot: true, From: "fb",
		Entries: []*tierv1.Entry{{Key: "k", Value: make([]byte, wal.MaxRecord)}}}
	out := m.Step(time.Second, incomingCall{1, q})
	assert.Equal(t, len(out.records), 0)
	a := out.replies[0].body.(*tierv1.WriteReply)
	assert.Assert(t, !a.Acknowledged && !a.Behind)
	assert.Equal(t, len(m.entries), 0)
	assert.Equal(t, m.sequence, uint64(0))
	q.Entries[0].Value = []byte("v")
	out = m.Step(2*time.Second, incomingCall{2, q})
	assert.Assert(t, out.replies[0].body.(*tierv1.WriteReply).Acknowledged)
}

// A record that the file rejects as too large is not a disk failure. The node restarts its replica from the file with every acknowledged
// write, and becomes primary again. Waiting callers get an unknown outcome.
func TestNode_RejectedRecordIsNoDiskFailure(t *testing.T) {
	s := newManualNode(t, wal.NewMemory(), "a")
	s.runFor(time.Second)
	assert.NilError(t, s.putNow(map[string][]byte{"k": []byte("1")}))
	folder := s.node.Self().Folder
	size := s.node.file.Size()
	waits := s.put("waits")
	s.node.perform(context.Background(), &actions{records: [][]byte{encodeStateEpoch(1), make([]byte, wal.MaxRecord+1)}, sync: true})
	assert.ErrorIs(t, (<-waits).err, ErrOutcomeUnknown)
	assert.NilError(t, s.node.DiskError())
	_, ok := s.node.Primary()
	assert.Assert(t, !ok)
	assert.Equal(t, s.node.file.Size(), size)
	s.runFor(time.Second)
	_, ok = s.node.Primary()
	assert.Assert(t, ok)
	assert.Equal(t, s.node.Self().Folder, folder)
	v, _ := s.node.Get("k")
	assert.Equal(t, string(v), "1")
	assert.NilError(t, s.putNow(map[string][]byte{"k": []byte("2")}))
	assert.Assert(t, strings.Contains(s.log.String(), "record_refused"))
	assert.Assert(t, !strings.Contains(s.log.String(), "disk_failed"))
	s.node.stop()
	s.disk.Crash(rand.New(rand.NewPCG(7, 8)))
	s.open(false, "a")
	s.runFor(time.Second)
	v, _ = s.node.Get("k")
	assert.Equal(t, string(v), "2")
}

// endless is a body without an end, which counts the bytes that are read.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// A call whose body has no end is rejected after about as many bytes as a record may have.
func TestHandler_BoundsRequestBody(t *testing.T) {
	s := newManualNode(t, wal.NewMemory(), "a")
	body := &endless{}
	q := httptest.NewRequest("POST", tierv1.ElectionPathPrefix+"Write", io.NopCloser(body))
	q.Header.Set("Content-Type", "application/protobuf")
	w := httptest.NewRecorder()
	s.node.Handler().ServeHTTP(w, q)
	assert.Assert(t, w.Code >= 400, "%d", w.Code)
	assert.Assert(t, body.read <= 2*requestLimit, "%d", body.read)
}
