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

// faults are the faults that a simulation injects in addition to takeovers, unknown outcomes and slow calls. Each must violate a
// rule.
type faults struct {
	staleConfirm bool // a deposed primary's round trip succeeds
	lostWrite    bool // some writes are acknowledged but not stored
	freeOnLoad   bool // a loaded machine counts all locks as free
	fencesReset  bool // a loaded machine restarts its fences
	noRepeats    bool // repeated puts are not recognized
}

// simulation is a number of processes on one replicated state, of which one at a time may write, with callers whose results are
// checked.
type simulation struct {
	rng    *rand.Rand
	faults faults
	check  *checker

	mu            sync.Mutex // guards the state and rng
	epoch         uint64
	records       map[string][]byte
	runtimes      []*Runtime
	assumedEpochs []uint64 // the epoch in which each process assumes that it is the primary; 0: it does not
}

// simulationStore is the replicated state as accessed by one process.
type simulationStore struct {
	simulation *simulation
	self       int
}

// randomBetween returns a random duration between least and most.
func (sim *simulation) randomBetween(least, most time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return least + time.Duration(sim.rng.Int64N(int64(most-least)))
}

func (sim *simulation) randomBool(p float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.Float64() < p
}

// sleep waits for d, or returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s simulationStore) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sim := s.simulation
	if sim.randomBool(0.02) { // the write stays in a queue until its caller has given up, and may still be applied then
		<-ctx.Done()
		if sim.randomBool(0.5) {
			_ = sim.store(epoch, sets)
		}
		return 0, consensus.ErrOutcomeUnknown
	}
	time.Sleep(sim.randomBetween(time.Millisecond, 12*time.Millisecond))
	if sim.faults.lostWrite && sim.randomBool(0.05) {
		return 1, nil
	}
	if err := sim.store(epoch, sets); err != nil {
		return 0, err
	}
	if sim.randomBool(0.02) {
		return 0, consensus.ErrOutcomeUnknown
	}
	time.Sleep(sim.randomBetween(time.Millisecond, 12*time.Millisecond))
	return 1, nil
}

// store applies a write atomically, if its epoch is still the newest.
func (sim *simulation) store(epoch uint64, sets map[string][]byte) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.epoch != epoch {
		return consensus.ErrNotPrimary
	}
	for key, value := range sets {
		if len(value) == 0 {
			delete(sim.records, key)
		} else {
			sim.records[key] = value
		}
	}
	return nil
}

func (s simulationStore) Confirm(ctx context.Context, epoch uint64) error {
	sim := s.simulation
	if err := sleep(ctx, sim.randomBetween(time.Millisecond, 6*time.Millisecond)); err != nil {
		return consensus.ErrOutcomeUnknown
	}
	sim.mu.Lock()
	current := sim.epoch == epoch || sim.faults.staleConfirm
	sim.mu.Unlock()
	time.Sleep(sim.randomBetween(time.Millisecond, 6*time.Millisecond))
	if !current {
		return consensus.ErrNotPrimary
	}
	return nil
}

func (s simulationStore) Scan(prefix string) map[string][]byte {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	found := maps.Clone(s.simulation.records)
	maps.DeleteFunc(found, func(key string, _ []byte) bool { return !strings.HasPrefix(key, prefix) })
	return found
}

// takeOver makes a process the primary. The previous primary detects that only after a delay.
func (sim *simulation) takeOver() {
	sim.mu.Lock()
	next := sim.rng.IntN(len(sim.runtimes))
	sim.epoch++
	sim.assumedEpochs[next] = sim.epoch
	epoch := sim.epoch
	sim.mu.Unlock()
	time.Sleep(sim.randomBetween(time.Millisecond, time.Second))
	sim.mu.Lock()
	for i, assumed := range sim.assumedEpochs {
		if assumed < epoch {
			sim.assumedEpochs[i] = 0
		}
	}
	sim.mu.Unlock()
}

// newSimulation starts the processes; they end with ctx.
func newSimulation(ctx context.Context, seed uint64, injected faults, running *sync.WaitGroup) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), faults: injected, epoch: 1, records: map[string][]byte{},
		runtimes: make([]*Runtime, 3), assumedEpochs: []uint64{1, 0, 0}}
	sim.check = newChecker()
	start := time.Now()
	for i := range sim.runtimes {
		sim.runtimes[i] = NewRuntime(RuntimeConfig{
			Config: Config{HistoryRetention: 20 * time.Second}, Store: simulationStore{sim, i},
			Primary: func() (uint64, bool) {
				sim.mu.Lock()
				defer sim.mu.Unlock()
				return sim.assumedEpochs[i], sim.assumedEpochs[i] != 0
			},
			Now: func() time.Duration { return time.Since(start) }, WriteTimeout: 450 * time.Millisecond,
			Log: &log.Logger{Level: log.PanicLevel},
		})
		sim.runtimes[i].onLoad = sim.injectLoadFaults
		running.Go(func() { sim.runtimes[i].Run(ctx) })
	}
	return sim
}

// injectLoadFaults injects the faults of a loaded machine.
func (sim *simulation) injectLoadFaults(m *Machine) {
	for _, l := range m.locks {
		if sim.faults.freeOnLoad {
			l.expiresAt = m.now
		}
	}
	if sim.faults.fencesReset {
		m.lastFence = 0
	}
	if sim.faults.noRepeats {
		for _, g := range m.groups {
			clear(g.repeats)
		}
	}
}

// call calls random processes, one after the other, until one answers. attempts is how often the call is repeated after an unknown
// outcome: 0 if the caller needs the unknown outcome as a result.
func (sim *simulation) call(ctx context.Context, call Call, attempts int) (Result, error) {
	for {
		at := sim.randomBetween(0, time.Duration(len(sim.runtimes)))
		limit := 800 * time.Millisecond
		if watch, isWatch := call.(WatchGroup); isWatch {
			limit += watch.Wait
		}
		attemptCtx, cancel := context.WithTimeout(ctx, limit)
		result, err := sim.runtimes[at].Do(attemptCtx, call)
		cancel()
		unclear := errors.Is(err, ErrOutcomeUnknown)
		switch {
		case err == nil, ctx.Err() != nil, unclear && attempts == 0:
			return result, err
		case unclear:
			attempts--
		}
		time.Sleep(sim.randomBetween(5*time.Millisecond, 60*time.Millisecond))
	}
}

// runSimulation simulates a minute of calls and takeovers, and returns the violated rules.
func runSimulation(t *testing.T, seed uint64, injected faults) (violations []string, sim *simulation) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		sim = newSimulation(ctx, seed, injected, &running)
		for i := range 4 {
			running.Go(func() { sim.lockCaller(ctx, fmt.Sprintf("owner-%d", i), "l") })
		}
		for range 2 {
			running.Go(func() { sim.numberCaller(ctx, "n") })
		}
		for i := range 3 {
			running.Go(func() { sim.keyCaller(ctx, i) })
		}
		for range 2 {
			running.Go(func() { sim.watcher(ctx) })
		}
		for began := time.Now(); time.Since(began) < time.Minute; {
			time.Sleep(sim.randomBetween(200*time.Millisecond, 5*time.Second))
			sim.takeOver()
		}
		cancel()
		running.Wait()
		violations = sim.check.violations
	})
	return violations, sim
}

func TestRuntime_KeepsRulesThroughTakeovers(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			violations, sim := runSimulation(t, seed, faults{})
			for _, rule := range violations {
				t.Error(rule)
			}
			sim.check.assertActivity(t)
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
				violations, _ := runSimulation(t, seed, c.injected)
				for _, rule := range violations {
					if strings.HasPrefix(rule, c.rule) {
						return
					}
				}
			}
			t.Errorf("no seed violated rule %s", c.rule)
		})
	}
}
