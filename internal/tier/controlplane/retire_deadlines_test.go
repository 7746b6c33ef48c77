package controlplane

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestConcurrentMoves(t *testing.T) {
	for _, test := range []struct {
		moves            int
		within, moveTime time.Duration
		want             int
	}{
		{0, 10 * time.Second, time.Second, 0},
		{20, time.Hour, time.Second, 1},
		{20, 10 * time.Second, time.Second, 2},
		{21, 10 * time.Second, time.Second, 3},
		{20, time.Millisecond, time.Second, 20},
		{20, 0, time.Second, 20},
		{20, -time.Second, time.Second, 20},
	} {
		assert.Equal(t, concurrentMoves(test.moves, test.within, test.moveTime), test.want, "%+v", test)
	}
}

// Only replicas on machines that are to be emptied by a deadline require moves.
func TestRequiredMoves(t *testing.T) {
	m := &tierv1.PartitionMap{
		StoreNodes: []*tierv1.StoreNode{{Folder: "f1", Node: "n1"}, {Folder: "f2", Node: "n2"}, {Folder: "f3", Node: "n3"}},
		Partitions: []*tierv1.Partition{
			{Primary: "f1", Backups: []*tierv1.Replica{{Folder: "f2"}}},
			{Primary: "f2", Backups: []*tierv1.Replica{{Folder: "f3"}}},
			{Primary: "f3", Backups: []*tierv1.Replica{{Folder: "f1"}}},
		},
		Retiring: []string{"n1", "n2", "gone"},
	}
	moves := func(left map[string]time.Duration) int { return requiredMoves(m, left, time.Second) }
	assert.Equal(t, moves(nil), 0)
	assert.Equal(t, moves(map[string]time.Duration{"gone": 0, "n3": 0}), 0)
	assert.Equal(t, moves(map[string]time.Duration{"n1": time.Minute}), 1)
	assert.Equal(t, moves(map[string]time.Duration{"n1": 0}), 2)
	assert.Equal(t, moves(map[string]time.Duration{"n1": 0, "n2": 0}), 4)
	assert.Equal(t, requiredMoves(nil, map[string]time.Duration{"n1": 0}, time.Second), 0)
}

// An order that another process accepted has no time left, as its age is not known; an order without a deadline never runs out.
func TestRetireDeadlines(t *testing.T) {
	now := time.Now()
	deadlines := retireDeadlines{}
	deadlines.record("timed", now, retireDuration(7))
	for i, seconds := range []float64{0, -1, 1e300} {
		deadlines.record(fmt.Sprint("endless", i), now, retireDuration(seconds))
	}
	left := deadlines.remaining(now.Add(5*time.Second), []string{"timed", "endless0", "endless1", "endless2", "another's"})
	assert.DeepEqual(t, left, map[string]time.Duration{"timed": 2 * time.Second, "another's": 0})
}

// An order that is repeated before it could be accepted keeps its deadline; after the deadline it counts as a new order.
func TestRetireDeadlines_RepeatedOrder(t *testing.T) {
	now := time.Now()
	times := retireDeadlines{}
	left := func(after time.Duration) time.Duration { return times.remaining(now.Add(after), []string{"n"})["n"] }
	times.record("n", now, 7*time.Second)
	times.record("n", now.Add(5*time.Second), 7*time.Second)
	assert.Equal(t, left(5*time.Second), 2*time.Second)
	times.prune(now.Add(6*time.Second), nil)
	assert.Equal(t, len(times), 1)
	times.record("n", now.Add(8*time.Second), 7*time.Second)
	assert.Equal(t, left(8*time.Second), 7*time.Second)
	times.prune(now.Add(time.Minute), []string{"n"})
	assert.Equal(t, len(times), 1)
	times.prune(now.Add(time.Minute), nil)
	assert.Equal(t, len(times), 0)
}

// slowSyncTime is how long the sync of a replica takes in these tests, and slowSyncPoll how long a call of their turn stores is held.
const (
	slowSyncTime = 700 * time.Millisecond
	slowSyncPoll = 50 * time.Millisecond
	repairTime   = time.Second // advance after a turn store's return
)

// absence is the absence of another turn store during an order.
type absence struct {
	time.Duration
	beforeOrder bool // the turn store is away before the order is sent, and the order is not accepted before it returns
}

// retireWithDeadline orders a machine to be emptied within a duration, and repeats the order until it is accepted. It returns
// the time from the first attempt to the completion, and the largest number of replicas that were being synced at a time once
// all turn stores were available.
func retireWithDeadline(t *testing.T, duration time.Duration, away absence) (took time.Duration, most int) {
	const again = 500 * time.Millisecond
	withHarness(t, func(h *harness) {
		stores := map[string]*testProcess{}
		join := func(node string) {
			stores[node] = h.join(roleTurnStore, node, func(p *testProcess) {
				p.syncTime, p.request.PollTimeoutMs = slowSyncTime, uint32(slowSyncPoll.Milliseconds())
			})
		}
		for _, node := range []string{"v1", "v2", "v3"} {
			join(node)
		}
		h.advance(3 * time.Second)
		if away.beforeOrder {
			stores["v3"].stop()
			h.advance(time.Second)
		}
		begun, back := time.Now(), false
		for accepted, completed := false, false; !completed && time.Since(begun) < time.Minute; {
			if !accepted {
				body := strings.NewReader(fmt.Sprintf(`{"duration_s":%g}`, duration.Seconds()))
				accepted = h.call("POST", "Retire.Create/v1", nil, body).Code == http.StatusOK
				assert.Assert(t, accepted != (away.beforeOrder && !back))
				if away.Duration > 0 && !away.beforeOrder && !back {
					stores["v3"].stop()
				}
			}
			if !back && time.Since(begun) >= away.Duration {
				back = true
				if away.Duration > 0 {
					join("v3")
					h.advance(repairTime)
				}
			}
			if back {
				most = max(most, countUnsynced(h.partitionMap()))
			}
			if accepted {
				h.advance(20 * time.Millisecond)
				completed = strings.Contains(h.call("GET", "Retire.Describe/v1", nil, nil).Body.String(), retireCompleted)
			} else {
				h.advance(again)
			}
		}
		took = time.Since(begun)
	})
	return took, most
}

// An order is completed within its deadline, even if another turn store is away for a part of the time.
func TestRetire_CompletedWithinDeadline(t *testing.T) {
	for _, test := range []struct {
		duration time.Duration
		away     absence
	}{
		{4 * time.Second, absence{}},
		{7 * time.Second, absence{}},
		{7 * time.Second, absence{2 * time.Second, false}},
		{7 * time.Second, absence{4 * time.Second, false}},
		{12 * time.Second, absence{6 * time.Second, false}},
		{7 * time.Second, absence{2 * time.Second, true}},
		{7 * time.Second, absence{3 * time.Second, true}},
		{12 * time.Second, absence{8 * time.Second, true}},
	} {
		took, most := retireWithDeadline(t, test.duration, test.away)
		t.Logf("in %v, another away for %v (before the order: %v): took %v, at most %d replicas at a time", test.duration, test.away.Duration, test.away.beforeOrder, took, most)
		assert.Check(t, took <= test.duration, "%+v: took %v", test, took)
	}
}

// If there is enough time, at most an eighth of the partitions moves at a time, as without a deadline.
func TestRetire_FewMovesWithTimeLeft(t *testing.T) {
	for _, duration := range []time.Duration{0, 2 * time.Minute} {
		took, most := retireWithDeadline(t, duration, absence{})
		t.Logf("in %v: took %v, at most %d replicas at a time", duration, took, most)
		assert.Assert(t, most <= partitionCount/concurrentMoveDivisor, "%d replicas at a time", most)
	}
}
