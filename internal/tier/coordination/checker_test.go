package coordination

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// checker checks the results that callers observe by the rules of the operators' page: ONE, ORDER, STALE, MIXED, REFUSED and LOST.
type checker struct {
	mu         sync.Mutex
	violations []string
	counts     map[string]int

	ownedUntil map[string]time.Time // end of the hold of each owner, as measured by the owner
	fences     []seenFence
	numbers    []seenNumber
	puts       map[putID]*seenPut
	acked      map[string][]seenNumber // revisions of a key that were acknowledged, with the time
	byRevision map[string]map[uint64]putID
}

type seenFence struct {
	owner string
	fence uint64
	at    time.Time
}

type seenNumber struct {
	value uint64
	at    time.Time
}

// seenPut is the observed state of a put.
type seenPut struct {
	rejected bool
	revision uint64 // 0: not observed yet
}

func newChecker() *checker {
	return &checker{counts: map[string]int{}, ownedUntil: map[string]time.Time{}, puts: map[putID]*seenPut{}, acked: map[string][]seenNumber{},
		byRevision: map[string]map[uint64]putID{}}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) count(what string) { c.counts[what]++ }

// assertActivity fails the test if a simulation had too few results of a kind.
func (c *checker) assertActivity(t *testing.T) {
	t.Helper()
	for what, least := range map[string]int{"granted": 10, "held": 10, "renewed": 5, "number": 100, "put": 50, "conflict": 5, "read": 100, "watched": 30} {
		if c.counts[what] < least {
			t.Errorf("%s: %d results, want at least %d", what, c.counts[what], least)
		}
	}
}

// granted checks a grant. Its call was sent at the time sent, and the owner considers itself the holder until the time until.
func (c *checker) granted(owner string, fence uint64, sent, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.count("granted")
	for other, end := range c.ownedUntil {
		if other != owner && now.Before(end) && now.Before(until) {
			c.addViolation("ONE: %s and %s hold the lock", owner, other)
		}
	}
	for _, seen := range c.fences {
		if seen.owner != owner && seen.at.Before(sent) && seen.fence >= fence || seen.owner != owner && seen.fence == fence {
			c.addViolation("ONE: fence %d of %s after %d of %s", fence, owner, seen.fence, seen.owner)
		}
	}
	c.fences = append(c.fences, seenFence{owner, fence, now})
	c.ownedUntil[owner] = until
}

func (c *checker) renewed(owner string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count("renewed")
	c.ownedUntil[owner] = until
}

// released records that an owner no longer considers itself the holder.
func (c *checker) released(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ownedUntil, owner)
}

func (c *checker) countOne(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(what)
}

func (c *checker) number(value uint64, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count("number")
	for _, seen := range c.numbers {
		if seen.value == value || seen.at.Before(sent) && seen.value > value {
			c.addViolation("ORDER: number %d after %d", value, seen.value)
		}
	}
	c.numbers = append(c.numbers, seenNumber{value, time.Now()})
}

// checkPut checks an observed put: its value was put to the key and not rejected, and has one revision, which no other put of the
// group has.
func (c *checker) checkPut(put Put) {
	id := putID{put.Name, put.Value}
	seen := c.puts[id]
	group := GroupOf(put.Name)
	if c.byRevision[group] == nil {
		c.byRevision[group] = map[uint64]putID{}
	}
	switch before, known := c.byRevision[group][put.Revision]; {
	case seen == nil:
		c.addViolation("MIXED: %q was never put to %s", put.Value, put.Name)
	case seen.rejected:
		c.addViolation("REFUSED: %q of %s was rejected", put.Value, put.Name)
	case seen.revision != 0 && seen.revision != put.Revision:
		c.addViolation("MIXED: %q of %s at revisions %d and %d", put.Value, put.Name, seen.revision, put.Revision)
	case known && before != id:
		c.addViolation("ORDER: revision %d of %q and of %q", put.Revision, before, id)
	default:
		seen.revision = put.Revision
		c.byRevision[group][put.Revision] = id
	}
}

func (c *checker) putSent(put PutKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.puts[putID{put.Name, put.Value}] = &seenPut{}
}

func (c *checker) putEnded(put PutKey, result Result, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch result := result.(type) {
	case KeyWritten:
		c.count("put")
		for _, seen := range c.acked[put.Name] {
			if seen.at.Before(sent) && seen.value >= result.Revision {
				c.addViolation("ORDER: %s put at %d after %d", put.Name, result.Revision, seen.value)
			}
		}
		c.checkPut(Put{put.Name, put.Value, result.Revision})
		c.acked[put.Name] = append(c.acked[put.Name], seenNumber{result.Revision, time.Now()})
	case KeyConflict:
		c.count("conflict")
		c.puts[putID{put.Name, put.Value}].rejected = true
		if c.puts[putID{put.Name, put.Value}].revision != 0 {
			c.addViolation("REFUSED: %q of %s was observed before it was rejected", put.Value, put.Name)
		}
	}
}

func (c *checker) readEnded(name string, result Result, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count("read")
	revision := uint64(0)
	if found, ok := result.(KeyFound); ok {
		revision = found.Revision
		c.checkPut(Put{name, found.Value, found.Revision})
	}
	for _, seen := range c.acked[name] {
		if seen.at.Before(sent) && seen.value > revision {
			c.addViolation("STALE: %s read at %d after %d", name, revision, seen.value)
		}
	}
}

func (c *checker) watchEnded(after uint64, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count("watched")
	switch result := result.(type) {
	case HistoryGone, RevisionUnknown:
		c.addViolation("LOST: a watch at %d got %T", after, result)
	case GroupPuts:
		for i, put := range result.Puts {
			if put.Revision != after+uint64(i)+1 {
				c.addViolation("ORDER: a watch at %d got revision %d at index %d", after, put.Revision, i)
			}
			c.checkPut(put)
		}
		if end := after + uint64(len(result.Puts)); after > 0 && result.Revision != end {
			c.addViolation("ORDER: a watch at %d got %d puts up to revision %d", after, len(result.Puts), result.Revision)
		}
	}
}

// lockCaller acquires the lock repeatedly. It renews and releases the lock, abandons it without a release, or renews it too late.
func (sim *simulation) lockCaller(ctx context.Context, owner, id string) {
	for ctx.Err() == nil {
		hold := sim.randomBetween(300*time.Millisecond, 4*time.Second)
		sent := time.Now()
		result, err := sim.call(ctx, AcquireLock{id, owner, hold}, 0)
		until := sent.Add(hold)
		grant, granted := result.(LockGranted)
		if err != nil || !granted || !time.Now().Before(until) {
			sim.check.countOne("held")
			time.Sleep(sim.randomBetween(20*time.Millisecond, 200*time.Millisecond))
			continue
		}
		sim.check.granted(owner, grant.Fence, sent, until)
		for sim.randomBool(0.7) && ctx.Err() == nil {
			time.Sleep(sim.randomBetween(time.Millisecond, hold/2))
			sent = time.Now()
			result, err = sim.call(ctx, RenewLock{id, owner, grant.Fence, hold}, 0)
			if err != nil || result != (LockRenewed{}) || !time.Now().Before(until) {
				break
			}
			until = sent.Add(hold)
			sim.check.renewed(owner, until)
		}
		if sim.randomBool(0.7) {
			sim.check.released(owner)
			_, _ = sim.call(ctx, ReleaseLock{id, owner, grant.Fence}, 1)
		}
		time.Sleep(sim.randomBetween(time.Millisecond, 300*time.Millisecond))
	}
}

func (sim *simulation) numberCaller(ctx context.Context, id string) {
	for ctx.Err() == nil {
		sent := time.Now()
		if result, err := sim.call(ctx, NextNumber{id}, 0); err == nil {
			sim.check.number(result.(Number).Value, sent)
		}
		time.Sleep(sim.randomBetween(10*time.Millisecond, 200*time.Millisecond))
	}
}

// keyCaller puts keys, with and without a condition, and reads them.
func (sim *simulation) keyCaller(ctx context.Context, self int) {
	last := map[string]uint64{}
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("g.%d", sim.randomBetween(0, 3))
		put := PutKey{Name: name, Value: fmt.Sprintf("%d/%d", self, n)}
		if sim.randomBool(0.5) {
			condition := last[name]
			put.IfRevision = &condition
		}
		sent := time.Now()
		sim.check.putSent(put)
		result, err := sim.call(ctx, put, 3)
		if err == nil {
			sim.check.putEnded(put, result, sent)
		}
		sent = time.Now()
		if result, err = sim.call(ctx, ReadKey{name}, 0); err == nil {
			sim.check.readEnded(name, result, sent)
			if found, ok := result.(KeyFound); ok {
				last[name] = found.Revision
			}
		}
		time.Sleep(sim.randomBetween(10*time.Millisecond, 300*time.Millisecond))
	}
}

func (sim *simulation) watcher(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		result, err := sim.call(ctx, WatchGroup{"g.", after, 2 * time.Second}, 0)
		if err != nil {
			continue
		}
		sim.check.watchEnded(after, result)
		if puts, ok := result.(GroupPuts); ok {
			after = puts.Revision
		}
		time.Sleep(sim.randomBetween(time.Millisecond, 100*time.Millisecond))
	}
}
