package wal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// workload is one user of a write-ahead log. Its state is a list of facts, each written once. It rewrites the file once without
// the oldest fact, and records which facts were acknowledged.
type workload struct {
	facts    []string // in memory, as replayed and appended
	synced   []string // must be found after any power loss
	appended []string // all that may be found
	replayed []string // by Open; nil if it failed
}

// run appends, syncs and rewrites until a call fails.
func (r *workload) run(files FS, incarnation int) error {
	f, got, err := openErr(files)
	if err != nil {
		return err
	}
	defer f.Close()
	r.facts, r.replayed = got, append([]string{}, got...)
	r.synced = slices.Clone(got) // replayed records are durable
	for i := range 5 {
		batch := []string{fmt.Sprintf("%d.%d.a", incarnation, i), fmt.Sprintf("%d.%d.b", incarnation, i)}
		r.appended = append(r.appended, batch...)
		if err := f.Append(toBytes(batch)...); err != nil {
			return err
		}
		r.facts = append(r.facts, batch...)
		if i%2 == 1 {
			if err := f.Sync(); err != nil {
				return err
			}
			r.synced = slices.Clone(r.facts)
		}
		if i == 2 {
			r.facts = r.facts[1:]
			if len(r.synced) > 0 && r.synced[0] != r.facts[0] {
				r.synced = r.synced[1:] // the rewrite may remove it
			}
			if err := rewrite(f, r.facts...); err != nil {
				return err
			}
			r.synced = slices.Clone(r.facts)
		}
	}
	return nil
}

// check checks that a later incarnation finds all facts that were synced, and no others than those appended, in their order.
func (r *workload) check(t *testing.T, got []string, label string) {
	t.Helper()
	for _, fact := range r.synced {
		assert.Assert(t, slices.Contains(got, fact), "%s: %s was synced and is missing from %v", label, fact, got)
	}
	at := 0
	for _, fact := range got {
		i := slices.Index(r.appended[at:], fact)
		assert.Assert(t, i >= 0, "%s: %s is out of order or was never appended: %v of %v", label, fact, got, r.appended)
		at += i + 1
	}
}

// terminations are the ways in which an incarnation can end.
var terminations = map[string]func(m *Memory, rng *rand.Rand){
	"kill":      func(m *Memory, _ *rand.Rand) { m.Kill() },
	"all gone":  func(m *Memory, _ *rand.Rand) { m.Crash(nil) },
	"some gone": func(m *Memory, rng *rand.Rand) { m.Crash(rng) },
}

// A process dies at each operation, in each way, and so does the next one. Nothing synced may be lost.
func TestOpen_ProcessDeathAtEachOperation(t *testing.T) {
	for firstName, terminateFirst := range terminations {
		for secondName, terminateSecond := range terminations {
			seeds := 1
			if firstName == "some gone" || secondName == "some gone" {
				seeds = 2
			}
			t.Run(firstName+", then "+secondName, func(t *testing.T) {
				for first, died := 1, true; died; first++ {
					for second, diedAgain := 1, true; diedAgain; second++ {
						for seed := range seeds {
							rng := rand.New(rand.NewPCG(uint64(first), uint64(1000*second+seed)))
							died, diedAgain = runTwoIncarnations(t, first, second, func(m *Memory) { terminateFirst(m, rng) }, func(m *Memory) { terminateSecond(m, rng) })
						}
					}
				}
			})
		}
	}
}

// runTwoIncarnations runs two incarnations that die at the given operations, and checks the records found after each.
func runTwoIncarnations(t *testing.T, first, second int, terminateFirst, terminateSecond func(*Memory)) (died, diedAgain bool) {
	t.Helper()
	label := fmt.Sprintf("deaths at %d and %d", first, second)
	m, r := NewMemory(), &workload{}
	m.DieAt(first)
	died = isCausedBy(r.run(m, 1), ErrDead)
	terminateFirst(m)
	m.DieAt(second)
	next := &workload{synced: r.synced, appended: r.appended}
	diedAgain = isCausedBy(next.run(m, 2), ErrDead)
	if next.replayed != nil {
		r.check(t, next.replayed, label+", second incarnation")
	}
	terminateSecond(m)
	_, got, err := openErr(m)
	assert.NilError(t, err, label)
	next.check(t, got, label)
	return died, diedAgain
}

// After a failure of any one operation and a power loss, all synced records must be found.
func TestRewrite_FailureAtEachOperation(t *testing.T) {
	full := errors.New("disk is full")
	for n := 1; ; n++ {
		m, r := NewMemory(), &workload{}
		m.FailAt(n, full)
		err := r.run(m, 1)
		m.Crash(nil)
		_, got, openErr := openErr(m)
		assert.NilError(t, openErr)
		r.check(t, got, fmt.Sprint("failure at ", n))
		if err == nil {
			assert.Check(t, n > 20)
			return
		}
	}
}

// Records that Open has replayed are durable, even if the process before never synced them.
func TestOpen_MakesReplayedDurable(t *testing.T) {
	m := NewMemory()
	f, _ := open(t, m)
	assert.NilError(t, f.Append([]byte("unsynced")))
	m.Kill()
	_, got := open(t, m)
	assert.DeepEqual(t, got, []string{"unsynced"})
	m.Crash(nil)
	_, got = open(t, m)
	assert.DeepEqual(t, got, []string{"unsynced"})
}

func TestOpen_TruncatedTailStaysTruncated(t *testing.T) {
	for seed := range uint64(200) {
		m := NewMemory()
		f, _ := open(t, m)
		assert.NilError(t, f.Append([]byte("first one")))
		assert.NilError(t, f.Append([]byte("other one")))
		m.Kill()
		m.visible[f.path].visible[len(fileHeader)+recordHeaderSize] ^= 1 // the first record is torn, the second intact
		f, got := open(t, m)
		assert.Equal(t, len(got), 0)
		assert.NilError(t, f.Append([]byte("third one"))) // as long as the first
		m.Crash(rand.New(rand.NewPCG(seed, 1)))
		_, got = open(t, m)
		assert.Check(t, len(got) == 0 || fmt.Sprint(got) == "[third one]", "%v", got)
	}
}

func TestMemory_Wipe(t *testing.T) {
	m := NewMemory()
	f, _ := open(t, m)
	appendAndSync(t, f, "one")
	m.Wipe()
	assert.Check(t, isCausedBy(f.Append([]byte("two")), ErrDead))
	_, got := open(t, m)
	assert.Equal(t, len(got), 0)
}

// Records that are appended and synced concurrently must all be durable.
func TestSync_GroupCommit(t *testing.T) {
	m := NewMemory()
	f, _ := open(t, m)
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			for j := range 20 {
				assert.Check(t, f.Append(fmt.Appendf(nil, "%d.%d", i, j)))
				assert.Check(t, f.Sync())
			}
		})
	}
	wait.Wait()
	m.Crash(nil)
	_, got := open(t, m)
	assert.Equal(t, len(got), 160)
}

// Memory must lose unsynced changes at a power loss, as the other tests rely on that.
func TestMemory_CrashLosesUnsynced(t *testing.T) {
	m := NewMemory()
	f, _ := open(t, m)
	appendAndSync(t, f, "kept")
	assert.NilError(t, f.Append([]byte("lost")))
	m.Crash(nil)
	_, got := open(t, m)
	assert.DeepEqual(t, got, []string{"kept"})

	h, err := m.Create(dir + "/new")
	assert.NilError(t, err)
	_, err = h.WriteAt([]byte("x"), 0)
	assert.NilError(t, err)
	m.Crash(nil)
	_, err = m.Open(dir + "/new")
	assert.ErrorContains(t, err, "not exist")

	h, err = m.Create(dir + "/new")
	assert.NilError(t, err)
	assert.NilError(t, h.Sync()) // syncs the content only: the name needs a sync of the folder
	m.Crash(nil)
	names, err := m.List(dir)
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{name})

	_, err = m.Create(dir + "/new")
	assert.NilError(t, err)
	assert.NilError(t, m.SyncDir(dir))
	assert.NilError(t, m.Rename(dir+"/new", dir+"/newer"))
	m.Crash(nil)
	names, err = m.List(dir)
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{name, "new"})
	assert.NilError(t, m.Rename(dir+"/new", dir+"/newer"))
	assert.NilError(t, m.SyncDir(dir))
	assert.NilError(t, m.Remove(dir+"/"+name))
	m.Crash(nil)
	names, err = m.List(dir)
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{name, "newer"})
}

// Each creation, rename and removal without a sync of the folder is kept or lost at a power loss independently of the others.
func TestMemory_CrashLosesNamesIndependently(t *testing.T) {
	const seeds = 100
	found := make(map[string]bool)
	for seed := range uint64(seeds) {
		m := NewMemory()
		assert.NilError(t, m.MkdirAll(dir))
		for _, file := range []string{"removed", "renamed"} {
			_, err := m.Create(dir + "/" + file)
			assert.NilError(t, err)
		}
		assert.NilError(t, m.SyncDir(dir))
		_, err := m.Create(dir + "/made")
		assert.NilError(t, err)
		assert.NilError(t, m.Rename(dir+"/renamed", dir+"/as"))
		assert.NilError(t, m.Remove(dir+"/removed"))
		m.Crash(rand.New(rand.NewPCG(seed, 0)))
		names, err := m.List(dir)
		assert.NilError(t, err)
		assert.Assert(t, slices.Contains(names, "renamed") != slices.Contains(names, "as"), names)
		found[fmt.Sprint(names)] = true
	}
	assert.Equal(t, len(found), 8) // all combinations of the three changes
}
