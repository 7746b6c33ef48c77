package coordination

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

// machineHarness drives a Machine without a Runtime, and stores its records as a store would.
type machineHarness struct {
	t       *testing.T
	machine *Machine
	now     time.Duration
	records map[string][]byte
	token   uint64
}

func newMachineHarness(t *testing.T) *machineHarness {
	t.Helper()
	r := &machineHarness{t: t, now: 100 * second, records: map[string][]byte{}}
	r.reload()
	return r
}

// reload replaces the machine by one that is loaded from the records, as a takeover does.
func (r *machineHarness) reload() {
	r.t.Helper()
	machine, err := Load(Config{HistoryRetention: 20 * second}, r.now, r.records)
	assert.NilError(r.t, err)
	r.machine = machine
}

// step applies events, stores the writes and returns the results by token.
func (r *machineHarness) step(events ...Event) map[uint64]Result {
	actions := r.machine.Step(r.now, events...)
	for key, record := range actions.Writes {
		if len(record) == 0 {
			delete(r.records, key)
		} else {
			r.records[key] = record
		}
	}
	results := map[uint64]Result{}
	for _, response := range actions.Responses {
		results[response.Token] = response.Result
	}
	return results
}

// do applies one call and returns its result; nil: the call is pending.
func (r *machineHarness) do(call Call) Result {
	r.token++
	return r.step(Request{r.token, call})[r.token]
}

func revision(v uint64) *uint64 { return &v }

func TestLock_States(t *testing.T) {
	r := newMachineHarness(t)
	assert.Equal(t, r.do(AcquireLock{"l", "a", 3 * second}), LockGranted{1})
	assert.Equal(t, r.do(AcquireLock{"l", "b", 3 * second}), LockUnavailable{})
	assert.Equal(t, r.do(AcquireLock{"other", "b", 3 * second}), LockGranted{2}, "another lock is free")
	assert.Equal(t, r.do(RenewLock{"l", "b", 1, 3 * second}), LockLost{}, "by another owner")
	assert.Equal(t, r.do(RenewLock{"l", "a", 2, 3 * second}), LockLost{}, "with the fence of another lock")

	r.now += 2 * second
	assert.Equal(t, r.do(RenewLock{"l", "a", 1, 3 * second}), LockRenewed{})
	r.now += 2 * second
	assert.Equal(t, r.do(AcquireLock{"l", "b", 3 * second}), LockUnavailable{}, "the hold was extended")
	r.now += 2 * second
	assert.Equal(t, r.do(RenewLock{"l", "a", 1, 3 * second}), LockLost{}, "the hold is over")
	assert.Equal(t, r.do(AcquireLock{"l", "b", 3 * second}), LockGranted{3})
	assert.Equal(t, r.do(ReleaseLock{"l", "a", 1}), LockReleased{}, "a release succeeds whether or not the lock is held")
	assert.Equal(t, r.do(AcquireLock{"l", "c", second}), LockUnavailable{}, "a late release by the former owner ends nothing")
	assert.Equal(t, r.do(ReleaseLock{"l", "b", 3}), LockReleased{})
	assert.Equal(t, r.do(AcquireLock{"l", "c", second}), LockGranted{4})
}

// The owner's clock may run slower by maxClockDrift: the lock must not be granted to another owner before the hold has expired by
// that clock, too.
func TestLock_HoldOutlastsSlowClock(t *testing.T) {
	r := newMachineHarness(t)
	r.do(AcquireLock{"l", "a", 10 * second})
	r.now += 10*second + 199*time.Millisecond
	assert.Equal(t, r.do(AcquireLock{"l", "b", second}), LockUnavailable{})
	r.now += time.Millisecond
	assert.Equal(t, r.do(AcquireLock{"l", "b", second}), LockGranted{2})
}

// An owner that acquires again holds the lock under a new fence. A late release with the previous fence must not end the hold, and
// a renewal with the previous fence must not shorten it.
func TestLock_ReacquiredByItsOwner(t *testing.T) {
	r := newMachineHarness(t)
	assert.Equal(t, r.do(AcquireLock{"l", "a", 5 * second}), LockGranted{1})
	assert.Equal(t, r.do(AcquireLock{"l", "a", second}), LockGranted{2})
	assert.Equal(t, r.do(ReleaseLock{"l", "a", 1}), LockReleased{})
	assert.Equal(t, r.do(AcquireLock{"l", "b", second}), LockUnavailable{})
	assert.Equal(t, r.do(RenewLock{"l", "a", 1, second}), LockRenewed{})
	r.now += 4 * second
	assert.Equal(t, r.do(AcquireLock{"l", "b", second}), LockUnavailable{}, "the longer previous hold still counts")
	r.now += 2 * second
	assert.Equal(t, r.do(AcquireLock{"l", "a", second}), LockGranted{3})
	assert.Equal(t, r.do(RenewLock{"l", "a", 2, second}), LockLost{}, "a fence of the expired hold")
}

// A new primary cannot determine when holds were last extended: each lock must stay held for its longest granted hold time from the
// takeover on, and fences must keep increasing.
func TestLock_AfterTakeover(t *testing.T) {
	r := newMachineHarness(t)
	r.do(AcquireLock{"l", "a", 3 * second})
	r.do(RenewLock{"l", "a", 1, 6 * second})
	r.do(AcquireLock{"released", "a", 3 * second})
	r.do(ReleaseLock{"released", "a", 2})
	r.now += 2 * second
	r.reload()
	assert.Equal(t, r.do(AcquireLock{"released", "b", second}), LockGranted{3})
	r.now += 6 * second
	assert.Equal(t, r.do(AcquireLock{"l", "b", second}), LockUnavailable{})
	assert.Equal(t, r.do(RenewLock{"l", "a", 1, second}), LockRenewed{})
	r.now += 2 * second
	assert.Equal(t, r.do(AcquireLock{"l", "b", second}), LockGranted{4})
}

// The record of an expired lock is removed with the next writes, so that the lock does not count as held after a takeover.
func TestLock_ExpiredRecordsRemoved(t *testing.T) {
	r := newMachineHarness(t)
	r.do(AcquireLock{"l", "a", second})
	r.now += 2 * second
	r.do(NextNumber{"n"})
	r.reload()
	assert.Equal(t, r.do(AcquireLock{"l", "b", second}), LockGranted{2})
}

// A renewal that does not make the hold longer than recorded writes nothing and needs only a round trip.
func TestLock_RenewalWritesNothing(t *testing.T) {
	r := newMachineHarness(t)
	r.do(AcquireLock{"l", "a", 3 * second})
	for _, c := range []struct {
		name   string
		hold   time.Duration
		writes int
	}{{"as long", 3 * second, 0}, {"shorter", second, 0}, {"longer", 4 * second, 1}, {"as long as the longest", 4 * second, 0}} {
		t.Run(c.name, func(t *testing.T) {
			actions := r.machine.Step(r.now, Request{1, RenewLock{"l", "a", 1, c.hold}})
			assert.Equal(t, len(actions.Writes), c.writes)
			assert.Assert(t, actions.Confirm)
		})
	}
}

func TestNumbers_RiseThroughTakeovers(t *testing.T) {
	r := newMachineHarness(t)
	assert.Equal(t, r.do(NextNumber{"n"}), Number{1})
	assert.Equal(t, r.do(NextNumber{"n"}), Number{2})
	assert.Equal(t, r.do(NextNumber{"m"}), Number{1})
	r.reload()
	assert.Equal(t, r.do(NextNumber{"n"}), Number{3})
}

func TestKeys_Put(t *testing.T) {
	r := newMachineHarness(t)
	assert.Equal(t, r.do(ReadKey{"g.a"}), KeyMissing{})
	for _, c := range []struct {
		name string
		put  PutKey
		want Result
	}{
		{"must exist and does not", PutKey{"g.a", "v0", revision(7)}, KeyConflict{0}},
		{"must not exist", PutKey{"g.a", "v1", revision(0)}, KeyWritten{1}},
		{"must not exist and does", PutKey{"g.a", "v2", revision(0)}, KeyConflict{1}},
		{"a repeat of what is in force", PutKey{"g.a", "v1", revision(0)}, KeyWritten{1}},
		{"another key of the group", PutKey{"g.b", "w1", nil}, KeyWritten{2}},
		{"another group", PutKey{"h.a", "x1", nil}, KeyWritten{1}},
		{"at its revision", PutKey{"g.a", "v3", revision(1)}, KeyWritten{3}},
		{"at the group's revision, which is not the key's", PutKey{"g.b", "w2", revision(3)}, KeyConflict{2}},
		{"a repeat of one that was replaced", PutKey{"g.a", "v1", revision(0)}, KeyWritten{1}},
		{"rejected before, and put again without a condition", PutKey{"g.a", "v2", nil}, KeyWritten{4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, r.do(c.put), c.want)
		})
	}
	r.reload()
	assert.Equal(t, r.do(ReadKey{"g.a"}), KeyFound{"v2", 4})
	assert.Equal(t, r.do(PutKey{"g.a", "v3", revision(1)}), KeyWritten{3}, "a repeat after a takeover")
	assert.Equal(t, r.do(PutKey{"g.b", "w3", nil}), KeyWritten{5})
}

func TestWatch_TellsAllPutsInOrder(t *testing.T) {
	r := newMachineHarness(t)
	assert.DeepEqual(t, r.do(WatchGroup{"g.", 0, second}), GroupPuts{})
	r.do(PutKey{"g.a", "1", nil})
	r.do(PutKey{"g.a", "2", nil})
	r.do(PutKey{"h.a", "x", nil})
	r.do(PutKey{"g.b", "3", nil})
	want := GroupPuts{Puts: []Put{{"g.a", "2", 2}, {"g.b", "3", 3}}, Revision: 3}
	assert.DeepEqual(t, r.do(WatchGroup{"g.", 1, second}), want)
	assert.DeepEqual(t, r.do(WatchGroup{"g.", 0, second}), GroupPuts{Revision: 3}) // returns only the revision
	assert.DeepEqual(t, r.do(WatchGroup{"g.", 4, second}), RevisionUnknown{})
	r.reload()
	assert.DeepEqual(t, r.do(WatchGroup{"g.", 1, second}), want)
}

func TestWatch_WaitsForPutOrDeadline(t *testing.T) {
	r := newMachineHarness(t)
	r.do(PutKey{"g.a", "1", nil})
	assert.Equal(t, r.do(WatchGroup{"g.", 1, 2 * second}), nil)
	watchToken := r.token
	at, holds := r.machine.NextDeadline()
	assert.Assert(t, holds)
	assert.Equal(t, at, r.now+2*second)
	results := r.step(Request{90, PutKey{"h.a", "x", nil}})
	assert.Equal(t, len(results), 1, "a put of another group must not answer the watch")
	results = r.step(Request{91, PutKey{"g.a", "2", nil}})
	assert.DeepEqual(t, results[watchToken], GroupPuts{Puts: []Put{{"g.a", "2", 2}}, Revision: 2})

	assert.Equal(t, r.do(WatchGroup{"g.", 2, 2 * second}), nil)
	watchToken = r.token
	r.now += 2 * second
	assert.DeepEqual(t, r.step()[watchToken], GroupPuts{Revision: 2})

	assert.Equal(t, r.do(WatchGroup{"g.", 2, 2 * second}), nil)
	r.step(WatchCancelled{r.token})
	_, holds = r.machine.NextDeadline()
	assert.Assert(t, !holds)
}

// A watch can continue from a revision for the full retention after it was returned, also after a takeover. Later it gets
// HistoryGone.
func TestWatch_HistoryRetention(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		r := newMachineHarness(t)
		r.do(PutKey{"g.a", "1", nil})
		r.do(PutKey{"g.a", "2", nil})
		r.now += 20 * second
		r.do(PutKey{"g.a", "3", nil})
		if takeover {
			r.reload()
		}
		assert.DeepEqual(t, r.do(WatchGroup{"g.", 1, second}), GroupPuts{Puts: []Put{{"g.a", "2", 2}, {"g.a", "3", 3}}, Revision: 3})
		r.now += 26 * second
		r.do(PutKey{"g.a", "4", nil})
		assert.DeepEqual(t, r.do(WatchGroup{"g.", 1, second}), HistoryGone{})
		assert.DeepEqual(t, r.do(WatchGroup{"g.", 3, second}), GroupPuts{Puts: []Put{{"g.a", "4", 4}}, Revision: 4})
		assert.DeepEqual(t, r.do(ReadKey{"g.a"}), KeyFound{"4", 4})
		r.reload()
		assert.DeepEqual(t, r.do(WatchGroup{"g.", 3, second}), GroupPuts{Puts: []Put{{"g.a", "4", 4}}, Revision: 4})
	}
}

// A response to a watch is bounded, and the next watch continues from its revision.
func TestWatch_LongHistoryInParts(t *testing.T) {
	r := newMachineHarness(t)
	long := make([]byte, 16<<10)
	for i := range 40 {
		long[0] = byte('A' + i)
		r.do(PutKey{"g.a", string(long), nil})
	}
	lastRevision, after, responses := 1, uint64(1), 0
	for after < 40 {
		part := r.do(WatchGroup{"g.", after, second}).(GroupPuts)
		for _, put := range part.Puts {
			lastRevision++
			assert.Equal(t, put.Revision, uint64(lastRevision))
		}
		assert.Assert(t, part.Revision > after)
		after = part.Revision
		responses++
	}
	assert.Equal(t, lastRevision, 40)
	assert.Assert(t, responses > 1)
}

func TestLoad_CorruptRecords(t *testing.T) {
	good := func() *machineHarness {
		r := newMachineHarness(t)
		r.do(AcquireLock{"l", "a", second})
		r.do(PutKey{"g.a", "1", nil})
		r.do(PutKey{"g.a", "2", nil})
		r.do(PutKey{"g.a", "3", nil})
		return r
	}
	for _, c := range []struct {
		name    string
		corrupt func(records map[string][]byte)
	}{
		{"a lock that is no record", func(m map[string][]byte) { m[lockKey("l")] = []byte{0xff} }},
		{"a gap in a history", func(m map[string][]byte) { delete(m, historyKey("g.", 2)) }},
		{"a history that ends before its keys", func(m map[string][]byte) { delete(m, historyKey("g.", 3)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := good()
			c.corrupt(r.records)
			_, err := Load(Config{}, 0, r.records)
			assert.ErrorContains(t, err, "coordination.corrupt_record")
		})
	}
	r := good()
	r.records[KeyPrefix+"later/x"] = []byte{1}
	r.reload() // a record of a later version is ignored
}

func TestGroupOf(t *testing.T) {
	for name, want := range map[string]string{"g1.2d": "g1.", "a.b.c": "a.", "plain": "plain", ".x": "."} {
		assert.Equal(t, GroupOf(name), want)
	}
}
