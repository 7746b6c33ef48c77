package consensus

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// deliverAll delivers all messages in flight between sites, oldest first, if pass allows it.
func (x *explorer) deliverAll(t *testing.T, w *systemState, pass func(i *item) bool) *systemState {
	t.Helper()
	for range 1000 {
		done := true
		for _, i := range w.net {
			if pass == nil || pass(i) {
				c, err := x.deliver(w, i, false, false)
				if err != nil {
					t.Fatal(err, x.path(c))
				}
				w, done = c, false
				break
			}
		}
		if done {
			return w
		}
	}
	t.Fatal("the messages do not end")
	return nil
}

// startAll starts all sites; for the seeds it is the first start of the system.
func (x *explorer) startAll() *systemState {
	w := &systemState{}
	for i := range x.addresses {
		w.replicas[i] = x.start(i, nil, i < len(x.seeds), never/2, 0)
	}
	return w
}

// stableState returns a state with a primary, a, and a backup, b; messages to c are still in flight.
func (x *explorer) stableState(t *testing.T) *systemState {
	t.Helper()
	w := x.startAll()
	w, err := x.event(w, 0, "take-over", takeover{})
	if err != nil {
		t.Fatal(err)
	}
	w = x.deliverAll(t, w, func(i *item) bool { return i.to != 2 })
	if w.replicas[0].leadership == 0 {
		t.Fatal("no primary", x.path(w))
	}
	return w
}

// scenario is the start of an exploration, the events that may still occur, and the maximum number of states.
type scenario struct {
	name  string
	begin func(t *testing.T, p mutant) (*explorer, *systemState)
	left  budget
	limit int
}

func fromStable(t *testing.T, p mutant) (*explorer, *systemState) {
	x := newExplorer(p, "a", "b", "c")
	return x, x.stableState(t)
}

func fromGenesis(_ *testing.T, p mutant) (*explorer, *systemState) {
	x := newExplorer(p, "a", "b", "c")
	return x, x.startAll()
}

// fromPartitioned is the genesis of three members, with a partition between b and c.
func fromPartitioned(t *testing.T, p mutant) (*explorer, *systemState) {
	x, w := fromGenesis(t, p)
	x.partitions[[2]int{1, 2}], x.partitions[[2]int{2, 1}] = true, true
	return x, w
}

// fromSwap is a primary, a, about to replace c by d, when a partition separates a and d from the others.
func fromSwap(t *testing.T, p mutant) (*explorer, *systemState) {
	x := newExplorer(p, "a", "b", "c", "d")
	w, err := x.event(x.startAll(), 0, "take-over", takeover{})
	if err != nil {
		t.Fatal(err)
	}
	w = x.deliverAll(t, w, nil)
	if w, err = x.event(w, 0, "swap of members", swap{"d", "c"}); err != nil {
		t.Fatal(err)
	}
	w = x.deliverAll(t, w, func(i *item) bool { return kind(i.request.m) == "promise" || i.stage == requested })
	for _, link := range [][2]int{{0, 1}, {0, 2}, {3, 1}, {3, 2}} {
		x.partitions[link], x.partitions[[2]int{link[1], link[0]}] = true, true
	}
	return x, w
}

// fromFirstSwap is a primary, a, with a backup, b, after d has replaced c and the change is complete; e could join, too.
func fromFirstSwap(t *testing.T, p mutant) (*explorer, *systemState) {
	x := newExplorer(p, "a", "b", "c", "d", "e")
	return x, x.completeSwap(t, swap{"d", "c"})
}

// fromReplacement is a primary, a, whose backup b was just replaced by d, as after the loss of b: the next loss comes right after the
// repair. Messages to b may still be in flight.
func fromReplacement(t *testing.T, p mutant) (*explorer, *systemState) {
	x := newExplorer(p, "a", "b", "c", "d")
	return x, x.completeSwap(t, swap{"d", "b"})
}

// fromFive are five members of which two may be lost, and a joiner.
func fromFive(t *testing.T, p mutant) (*explorer, *systemState) {
	x := newExplorer(p, "a", "b", "c", "d", "e", "f")
	x.seeds, x.losses = x.addresses[:5], 2
	w, err := x.event(x.startAll(), 0, "take-over", takeover{})
	if err != nil {
		t.Fatal(err)
	}
	return x, x.deliverAll(t, w, nil)
}

// completeSwap begins with a primary, a, and completes a change of members.
func (x *explorer) completeSwap(t *testing.T, q swap) *systemState {
	t.Helper()
	w, err := x.event(x.startAll(), 0, "take-over", takeover{})
	if err != nil {
		t.Fatal(err)
	}
	w = x.deliverAll(t, w, nil)
	if w, err = x.event(w, 0, "swap of members", q); err != nil {
		t.Fatal(err)
	}
	w = x.deliverAll(t, w, nil)
	if l := w.replicas[0]; l.leadership == 0 || len(l.swaps) == 0 {
		t.Fatal("the first change of members is not complete", x.path(w))
	}
	return w
}

var scenarios = []scenario{
	{"two candidates, two writes", fromStable, budget{takeovers: 2, writes: 2}, 300_000},
	{"a candidate, a write, a read", fromStable, budget{takeovers: 1, writes: 1, confirms: 1, ticks: 1}, 25_000},
	{"a candidate, a write, a lost disk", fromStable, budget{takeovers: 1, writes: 1, wipes: 1}, 120_000},
	{"a candidate, a write, a restart", fromStable, budget{takeovers: 1, writes: 1, restarts: 1}, 25_000},
	{"a candidate, a write, a time-out", fromStable, budget{takeovers: 1, writes: 1, timeouts: 1}, 40_000},
	{"genesis, two candidates, a write, a doubled message", fromGenesis, budget{takeovers: 2, writes: 1, duplicates: 1}, 25_000},
	{"genesis of a split three, two candidates, a write, a doubled message, a restart", fromPartitioned,
		budget{takeovers: 2, writes: 1, duplicates: 1, restarts: 1}, 30_000},
	{"a swap of members, a partition, a candidate, a write", fromSwap, budget{takeovers: 1, writes: 1}, 40_000},
	{"a second swap, a candidate, a write, a lost disk between or in the middle", fromFirstSwap,
		budget{swaps: 1, takeovers: 1, writes: 1, wipes: 1}, 40_000},
	{"a swap of a backup, completed; a lost disk, a candidate, a write", fromReplacement, budget{takeovers: 1, writes: 1, wipes: 1}, 40_000},
	{"five members, a swap, a candidate, a write, two lost disks", fromFive,
		budget{swaps: 1, takeovers: 1, writes: 1, wipes: 2}, 40_000},
}

// The exploration checks one state in livenessInterval for liveness, or fewer, so that at most maxLivenessChecks are checked in all.
const (
	livenessInterval  = 100
	maxLivenessChecks = 2000
)

// exploreFactor returns the factor by which the bounds are raised: 8 if CONTROL_SEEDS is set.
func exploreFactor() int {
	if seedCount(0) > 0 {
		return 8
	}
	return 1
}

func TestExplore(t *testing.T) {
	total := 0
	for _, s := range scenarios {
		began := time.Now()
		limit := s.limit * exploreFactor()
		if n, err := strconv.Atoi(os.Getenv("CONSENSUS_STATES")); err == nil {
			limit = n
		}
		if testing.Short() || raceDetector {
			limit = s.limit / 16
		}
		t.Run(s.name, func(t *testing.T) {
			x, w := s.begin(t, mutant{})
			w.left = s.left
			x.liveness = max(livenessInterval, limit/maxLivenessChecks)
			r := x.explore(w, limit)
			total += r.states
			t.Logf("%v, %d of them checked for liveness, in %v", r, x.livenessChecks, time.Since(began))
			if r.violation != nil {
				t.Fatalf("%v\n%s", r.violation, strings.Join(r.path, "\n"))
			}
		})
	}
	t.Logf("%d states", total)
}

// The exploration finds each of these mutants.
func TestExplore_FindsMutants(t *testing.T) {
	for _, c := range []struct {
		mutant mutant
		begin  func(t *testing.T, p mutant) (*explorer, *systemState)
		left   budget
	}{
		{forgetsPreparedAtOnce, fromPartitioned, budget{takeovers: 2, writes: 1}},
		{acknowledgesEarly, fromStable, budget{takeovers: 1, writes: 1}},
		{skipsBackup, fromStable, budget{takeovers: 1, writes: 1, timeouts: 1}},
		{countsEmptyFolder, fromStable, budget{takeovers: 1, writes: 1, wipes: 1}},
		{dropsFormer, fromSwap, budget{takeovers: 1, writes: 1}},
		{confirmsWithoutRoundTrip, fromStable, budget{takeovers: 1, writes: 1, confirms: 1}},
	} {
		t.Run(c.mutant.name, func(t *testing.T) {
			x, w := c.begin(t, c.mutant)
			w.left = c.left
			r := x.explore(w, 150_000)
			if r.violation == nil {
				t.Fatalf("not found in %v", r)
			}
			t.Logf("%v; found: %v\n%s", r, r.violation, strings.Join(r.path, "\n"))
		})
	}
}

// The smallest schedule that finds a replica that forgets its prepared epoch at a restart. Replica a prepares for the candidate with the
// higher epoch, restarts, and prepares for the other candidate, which gets a write acknowledged. Then the prepare of the first candidate
// is delivered to a again, so that its view is chosen without the write.
func TestExplore_FindsForgottenPrepare(t *testing.T) {
	run := func(p mutant) error {
		x, w := fromGenesis(t, p)
		w.left = budget{takeovers: 2, writes: 1, duplicates: 1, restarts: 1}
		low, high := 1, 2
		if nextEpoch(0, "b0") > nextEpoch(0, "c0") {
			low, high = 2, 1
		}
		var err error
		do := func(c *systemState, e error) {
			if err == nil {
				w, err = c, e
			}
		}
		find := func(from, to int, what string, s stage) *item {
			for _, i := range w.net {
				if i.from == from && i.to == to && i.stage == s && kind(i.request.m) == what {
					return i
				}
			}
			return nil
		}
		deliver := func(from, to int, what string, s stage, duplicate bool) {
			if i := find(from, to, what, s); i != nil && err == nil {
				do(x.deliver(w, i, false, duplicate))
			}
		}
		both := func(from, to int, what string) {
			deliver(from, to, what, requested, false)
			deliver(from, to, what, answered, false)
		}
		do(x.event(w, low, "take-over", takeover{}))
		do(x.event(w, high, "take-over", takeover{}))
		deliver(high, 0, "promise", requested, true)
		deliver(high, 0, "promise", answered, false)
		do(x.restart(w, 0))
		for _, what := range []string{"promise", "write", "accept"} {
			both(low, 0, what)
		}
		if w.replicas[low].leadership != 0 {
			do(x.put(w, low))
			both(low, 0, "write")
			if err == nil && w.acknowledged[1] == 0 {
				t.Fatal("not acknowledged", x.path(w))
			}
		}
		deliver(high, 0, "promise", orphaned, false)
		for _, what := range []string{"write", "accept"} {
			both(high, 0, what)
		}
		if err != nil {
			t.Log(strings.Join(x.path(w), "\n"))
		}
		return err
	}
	if err := run(mutant{}); err != nil {
		t.Fatal(err)
	}
	if err := run(forgetsPreparedAtRestart); err == nil {
		t.Fatal("not found")
	}
}
