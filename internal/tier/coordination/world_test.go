package coordination

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/consensus"
)

// faults are what a world injects beyond what it always does (takeovers, unclear outcomes, slow calls); each breaks a rule.
type faults struct {
	staleConfirm bool // a deposed primary's round trip succeeds
	lostWrite    bool // a write is acknowledged and not stored, now and then
	freeOnLoad   bool // a machine that is loaded takes all locks for free
	fencesReset  bool // a machine that is loaded begins its fences anew
	noRepeats    bool // puts are not recognized when they are repeated
}

// world is several processes on one replicated state of which one at a time may write, and callers who check the rules.
type world struct {
	rng    *rand.Rand
	faults faults
	check  *checker

	mu       sync.Mutex // guards the state and rng
	epoch    uint64
	records  map[string][]byte
	runtimes []*Runtime
	believes []uint64 // the epoch in which each process takes itself for the primary; 0: it does not
}

// worldStore is the state as one process sees it.
type worldStore struct {
	world *world
	self  int
}

// between draws a duration.
func (w *world) between(least, most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < p
}

// pause lets time pass; it returns an error if ctx ends first.
func waitFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s worldStore) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	w := s.world
	if w.chance(0.02) { // it stays in a queue until its caller has gone, and is written or not
		<-ctx.Done()
		if w.chance(0.5) {
			_ = w.store(epoch, sets)
		}
		return 0, consensus.ErrOutcomeUnknown
	}
	time.Sleep(w.between(time.Millisecond, 12*time.Millisecond))
	if w.faults.lostWrite && w.chance(0.05) {
		return 1, nil
	}
	if err := w.store(epoch, sets); err != nil {
		return 0, err
	}
	if w.chance(0.02) {
		return 0, consensus.ErrOutcomeUnknown
	}
	time.Sleep(w.between(time.Millisecond, 12*time.Millisecond))
	return 1, nil
}

// store applies a write in one step, if its epoch is still the newest.
func (w *world) store(epoch uint64, sets map[string][]byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch != epoch {
		return consensus.ErrNotPrimary
	}
	for key, value := range sets {
		if len(value) == 0 {
			delete(w.records, key)
		} else {
			w.records[key] = value
		}
	}
	return nil
}

func (s worldStore) Confirm(ctx context.Context, epoch uint64) error {
	w := s.world
	if err := waitFor(ctx, w.between(time.Millisecond, 6*time.Millisecond)); err != nil {
		return consensus.ErrOutcomeUnknown
	}
	w.mu.Lock()
	current := w.epoch == epoch || w.faults.staleConfirm
	w.mu.Unlock()
	time.Sleep(w.between(time.Millisecond, 6*time.Millisecond))
	if !current {
		return consensus.ErrNotPrimary
	}
	return nil
}

func (s worldStore) Scan(prefix string) map[string][]byte {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	found := maps.Clone(s.world.records)
	maps.DeleteFunc(found, func(key string, _ []byte) bool { return !strings.HasPrefix(key, prefix) })
	return found
}

// takeOver makes a process the primary. Who was it learns of that later.
func (w *world) takeOver() {
	w.mu.Lock()
	next := w.rng.IntN(len(w.runtimes))
	w.epoch++
	w.believes[next] = w.epoch
	epoch := w.epoch
	w.mu.Unlock()
	time.Sleep(w.between(time.Millisecond, time.Second))
	w.mu.Lock()
	for i, believed := range w.believes {
		if believed < epoch {
			w.believes[i] = 0
		}
	}
	w.mu.Unlock()
}

// newWorld starts the processes; they end with ctx.
func newWorld(ctx context.Context, seed uint64, injected faults, running *sync.WaitGroup) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), faults: injected, epoch: 1, records: map[string][]byte{},
		runtimes: make([]*Runtime, 3), believes: []uint64{1, 0, 0}}
	w.check = newChecker()
	start := time.Now()
	for i := range w.runtimes {
		w.runtimes[i] = NewRuntime(RuntimeConfig{
			Config: Config{HistoryRetention: 20 * time.Second}, Store: worldStore{w, i},
			Primary: func() (uint64, bool) {
				w.mu.Lock()
				defer w.mu.Unlock()
				return w.believes[i], w.believes[i] != 0
			},
			Now: func() time.Duration { return time.Since(start) }, WriteTimeout: 450 * time.Millisecond,
			Log: &log.Logger{Level: log.PanicLevel},
		})
		w.runtimes[i].onLoad = w.spoil
		running.Go(func() { w.runtimes[i].Run(ctx) })
	}
	return w
}

// spoil injects the faults of a machine that was loaded.
func (w *world) spoil(m *Machine) {
	for _, l := range m.locks {
		if w.faults.freeOnLoad {
			l.expiresAt = m.now
		}
	}
	if w.faults.fencesReset {
		m.lastFence = 0
	}
	if w.faults.noRepeats {
		for _, g := range m.groups {
			clear(g.repeats)
		}
	}
}

// call asks processes, one after the other as callers do, until one answers. attempts is how often it is asked again after it did
// not get a clear answer: 0 where the caller has to know what it sent last.
func (w *world) call(ctx context.Context, call Call, attempts int) (Result, error) {
	for {
		at := w.between(0, time.Duration(len(w.runtimes)))
		limit := 800 * time.Millisecond
		if watch, held := call.(WatchGroup); held {
			limit += watch.Wait
		}
		one, cancel := context.WithTimeout(ctx, limit)
		result, err := w.runtimes[at].Do(one, call)
		cancel()
		unclear := errors.Is(err, ErrOutcomeUnknown)
		switch {
		case err == nil, ctx.Err() != nil, unclear && attempts == 0:
			return result, err
		case unclear:
			attempts--
		}
		time.Sleep(w.between(5*time.Millisecond, 60*time.Millisecond))
	}
}

// playWorld plays a minute of callers and takeovers, and returns the rules that were broken.
func playWorld(t *testing.T, seed uint64, injected faults) (broken []string, w *world) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		w = newWorld(ctx, seed, injected, &running)
		for i := range 4 {
			running.Go(func() { w.lockCaller(ctx, fmt.Sprintf("owner-%d", i), "l") })
		}
		for range 2 {
			running.Go(func() { w.numberCaller(ctx, "n") })
		}
		for i := range 3 {
			running.Go(func() { w.keyCaller(ctx, i) })
		}
		for range 2 {
			running.Go(func() { w.watcher(ctx) })
		}
		for began := time.Now(); time.Since(began) < time.Minute; {
			time.Sleep(w.between(200*time.Millisecond, 5*time.Second))
			w.takeOver()
		}
		cancel()
		running.Wait()
		broken = w.check.broken
	})
	return broken, w
}

func TestRuntime_KeepsRulesThroughTakeovers(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			broken, w := playWorld(t, seed, faults{})
			for _, rule := range broken {
				t.Error(rule)
			}
			w.check.assertBusy(t)
		})
	}
}

func TestChecker_FindsInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		name     string
		injected faults
		rule     string
	}{
		{"a deposed primary confirms", faults{staleConfirm: true}, "STALE"},
		{"a write is lost", faults{lostWrite: true}, "ORDER"},
		{"locks are free after a takeover", faults{freeOnLoad: true}, "ONE"},
		{"fences begin anew", faults{fencesReset: true}, "ONE"},
		{"repeats are not recognized", faults{noRepeats: true}, "MIXED"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(30) {
				broken, _ := playWorld(t, seed, c.injected)
				for _, rule := range broken {
					if strings.HasPrefix(rule, c.rule) {
						return
					}
				}
			}
			t.Errorf("no seed broke %s", c.rule)
		})
	}
}
