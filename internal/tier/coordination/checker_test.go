package coordination

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// checker judges what callers have seen by the rules of the operators' page: ONE, ORDER, STALE, MIXED, REFUSED and LOST.
type checker struct {
	mu     sync.Mutex
	broken []string
	counts map[string]int

	ownedUntil map[string]time.Time // of the lock, by the owner's own count
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

// seenPut is what is known of a put.
type seenPut struct {
	rejected bool
	revision uint64 // 0: not seen yet
}

func newChecker() *checker {
	return &checker{counts: map[string]int{}, ownedUntil: map[string]time.Time{}, puts: map[putID]*seenPut{}, acked: map[string][]seenNumber{},
		byRevision: map[string]map[uint64]putID{}}
}

func (c *checker) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (c *checker) count(what string) { c.counts[what]++ }

// assertBusy fails the test if a world hardly did anything.
func (c *checker) assertBusy(t *testing.T) {
	t.Helper()
	for what, least := range map[string]int{"granted": 10, "held": 10, "renewed": 5, "number": 100, "put": 50, "conflict": 5, "read": 100, "watched": 30} {
		if c.counts[what] < least {
			t.Errorf("%s: %d of at least %d", what, c.counts[what], least)
		}
	}
}

// granted checks a grant whose call was sent at a time and whose owner counts until another.
func (c *checker) granted(owner string, fence uint64, sent, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.count("granted")
	for other, end := range c.ownedUntil {
		if other != owner && now.Before(end) && now.Before(until) {
			c.breaks("ONE: %s and %s hold the lock", owner, other)
		}
	}
	for _, seen := range c.fences {
		if seen.owner != owner && seen.at.Before(sent) && seen.fence >= fence || seen.owner != owner && seen.fence == fence {
			c.breaks("ONE: fence %d of %s after %d of %s", fence, owner, seen.fence, seen.owner)
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

// released notes that an owner counts itself owner no more.
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
			c.breaks("ORDER: number %d after %d", value, seen.value)
		}
	}
	c.numbers = append(c.numbers, seenNumber{value, time.Now()})
}

// shown checks that a value at a revision is that of one put to its key.
func (c *checker) shown(put Put) {
	id := putID{put.Name, put.Value}
	seen := c.puts[id]
	group := GroupOf(put.Name)
	if c.byRevision[group] == nil {
		c.byRevision[group] = map[uint64]putID{}
	}
	switch before, known := c.byRevision[group][put.Revision]; {
	case seen == nil:
		c.breaks("MIXED: %q was never put to %s", put.Value, put.Name)
	case seen.rejected:
		c.breaks("REFUSED: %q of %s was rejected", put.Value, put.Name)
	case seen.revision != 0 && seen.revision != put.Revision:
		c.breaks("MIXED: %q of %s at revisions %d and %d", put.Value, put.Name, seen.revision, put.Revision)
	case known && before != id:
		c.breaks("ORDER: revision %d of %q and of %q", put.Revision, before, id)
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
				c.breaks("ORDER: %s put at %d after %d", put.Name, result.Revision, seen.value)
			}
		}
		c.shown(Put{put.Name, put.Value, result.Revision})
		c.acked[put.Name] = append(c.acked[put.Name], seenNumber{result.Revision, time.Now()})
	case KeyConflict:
		c.count("conflict")
		c.puts[putID{put.Name, put.Value}].rejected = true
		if c.puts[putID{put.Name, put.Value}].revision != 0 {
			c.breaks("REFUSED: %q of %s was shown before it was rejected", put.Value, put.Name)
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
		c.shown(Put{name, found.Value, found.Revision})
	}
	for _, seen := range c.acked[name] {
		if seen.at.Before(sent) && seen.value > revision {
			c.breaks("STALE: %s read at %d after %d", name, revision, seen.value)
		}
	}
}

func (c *checker) watchEnded(after uint64, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count("watched")
	switch result := result.(type) {
	case HistoryGone, RevisionUnknown:
		c.breaks("LOST: a watch at %d is answered %T", after, result)
	case GroupPuts:
		for i, put := range result.Puts {
			if put.Revision != after+uint64(i)+1 {
				c.breaks("ORDER: a watch at %d tells revision %d as number %d", after, put.Revision, i)
			}
			c.shown(put)
		}
		if end := after + uint64(len(result.Puts)); after > 0 && result.Revision != end {
			c.breaks("ORDER: a watch at %d tells %d puts up to %d", after, len(result.Puts), result.Revision)
		}
	}
}

// lockCaller takes the lock again and again; it renews, releases, dies holding, or sleeps past its time.
func (w *world) lockCaller(ctx context.Context, owner, id string) {
	for ctx.Err() == nil {
		hold := w.between(300*time.Millisecond, 4*time.Second)
		sent := time.Now()
		result, err := w.call(ctx, AcquireLock{id, owner, hold}, 0)
		until := sent.Add(hold)
		grant, granted := result.(LockGranted)
		if err != nil || !granted || !time.Now().Before(until) {
			w.check.countOne("held")
			time.Sleep(w.between(20*time.Millisecond, 200*time.Millisecond))
			continue
		}
		w.check.granted(owner, grant.Fence, sent, until)
		for w.chance(0.7) && ctx.Err() == nil {
			time.Sleep(w.between(time.Millisecond, hold/2))
			sent = time.Now()
			result, err = w.call(ctx, RenewLock{id, owner, grant.Fence, hold}, 0)
			if err != nil || result != (LockRenewed{}) || !time.Now().Before(until) {
				break
			}
			until = sent.Add(hold)
			w.check.renewed(owner, until)
		}
		if w.chance(0.7) {
			w.check.released(owner)
			_, _ = w.call(ctx, ReleaseLock{id, owner, grant.Fence}, 1)
		}
		time.Sleep(w.between(time.Millisecond, 300*time.Millisecond))
	}
}

func (w *world) numberCaller(ctx context.Context, id string) {
	for ctx.Err() == nil {
		sent := time.Now()
		if result, err := w.call(ctx, NextNumber{id}, 0); err == nil {
			w.check.number(result.(Number).Value, sent)
		}
		time.Sleep(w.between(10*time.Millisecond, 200*time.Millisecond))
	}
}

// keyCaller puts, with and without a condition, and reads.
func (w *world) keyCaller(ctx context.Context, self int) {
	last := map[string]uint64{}
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("g.%d", w.between(0, 3))
		put := PutKey{Name: name, Value: fmt.Sprintf("%d/%d", self, n)}
		if w.chance(0.5) {
			condition := last[name]
			put.IfRevision = &condition
		}
		sent := time.Now()
		w.check.putSent(put)
		result, err := w.call(ctx, put, 3)
		if err == nil {
			w.check.putEnded(put, result, sent)
		}
		sent = time.Now()
		if result, err = w.call(ctx, ReadKey{name}, 0); err == nil {
			w.check.readEnded(name, result, sent)
			if found, ok := result.(KeyFound); ok {
				last[name] = found.Revision
			}
		}
		time.Sleep(w.between(10*time.Millisecond, 300*time.Millisecond))
	}
}

func (w *world) watcher(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		result, err := w.call(ctx, WatchGroup{"g.", after, 2 * time.Second}, 0)
		if err != nil {
			continue
		}
		w.check.watchEnded(after, result)
		if puts, ok := result.(GroupPuts); ok {
			after = puts.Revision
		}
		time.Sleep(w.between(time.Millisecond, 100*time.Millisecond))
	}
}
