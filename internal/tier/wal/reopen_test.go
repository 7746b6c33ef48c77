package wal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// survivor is a user of a file that goes on after each failure by Reopen. It records what a nil Sync acknowledged.
type survivor struct {
	files        *Memory
	file         *File
	facts        []string
	acknowledged []string
	asked        []string
	failures     int
}

// heal reopens the file; the disk fails only for as long as the test lets it.
func (s *survivor) heal(t *testing.T, label string) {
	t.Helper()
	s.failures++
	for attempt := range 3 {
		var got []string
		err := s.file.Reopen(func(r []byte) error { got = append(got, string(r)); return nil })
		if err == nil {
			s.facts = got
			r := &run{synced: s.acknowledged, asked: s.asked}
			r.check(t, got, label+", reopened")
			return
		}
		assert.Check(t, errorx.IsOfType(err, IO) || errorx.IsOfType(err, NoSpace), "%s: %v", label, err)
		assert.Check(t, s.file.Err() != nil, label)
		assert.Check(t, errorx.IsOfType(s.file.Append([]byte("no")), Broken), label)
		if attempt == 1 {
			s.files.Recover()
		}
	}
	t.Fatalf("%s: not usable after the disk recovered", label)
}

// write goes through appends, syncs and rewrites, reopening the file after each failure. It reports whether all went well.
func (s *survivor) write(t *testing.T, label string) (clean bool) {
	t.Helper()
	clean = true
	for i := range 6 {
		batch := []string{fmt.Sprintf("%d.a", i), fmt.Sprintf("%d.b", i)}
		s.asked = append(s.asked, batch...)
		err := s.file.Append(all(batch)...)
		if err == nil {
			s.facts = append(s.facts, batch...)
			err = s.file.Sync()
		}
		if err == nil {
			s.acknowledged = slices.Clone(s.facts)
		}
		if err == nil && i == 3 {
			kept := s.facts[1:]
			if err = rewrite(s.file, kept...); err == nil || s.file.Err() != nil {
				s.acknowledged = slices.Clone(kept) // the first may be gone from here on
			}
			if err == nil {
				s.facts = slices.Clone(kept)
			} else if s.file.Err() == nil {
				clean = false // the old file is in use as before
				continue
			}
		}
		if err != nil {
			clean = false
			s.heal(t, label)
		}
	}
	return clean
}

// Each operation fails, once or until the disk recovers, by either error. The file is reopened, nothing acknowledged is
// lost, also by a loss of power right after, and the file goes on.
func TestReopen_AfterFailureAtEachOperation(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		for _, sticks := range []bool{false, true} {
			for n := 1; ; n++ {
				label := fmt.Sprintf("%v, sticks %v, operation %d", cause, sticks, n)
				m := NewMemory()
				f, _ := open(t, m)
				if sticks {
					m.FailFrom(n, cause)
				} else {
					m.FailAt(n, cause)
				}
				s := &survivor{files: m, file: f}
				clean := s.write(t, label)
				m.Recover()
				assert.NilError(t, f.Sync(), label)
				assert.NilError(t, f.Append([]byte("last")), label)
				assert.NilError(t, f.Sync(), label)
				s.asked, s.acknowledged = append(s.asked, "last"), append(s.acknowledged, "last")
				for seed := range uint64(3) {
					m.Crash(rand.New(rand.NewPCG(uint64(n), seed)))
					_, got := open(t, m)
					(&run{synced: s.acknowledged, asked: s.asked}).check(t, got, label+", power lost")
				}
				if clean {
					assert.Check(t, n > 15, label)
					break
				}
			}
		}
	}
}

// The loss of power at each operation of a Reopen, after a sync that failed, loses nothing that was acknowledged.
func TestReopen_PowerLossAtEachOperation(t *testing.T) {
	for n := 1; ; n++ {
		for seed := range uint64(4) {
			m := NewMemory()
			f, _ := open(t, m)
			add(t, f, "one", "two")
			assert.NilError(t, f.Append([]byte("three")))
			m.FailAt(1, syscall.EIO)
			assert.Check(t, errorx.IsOfType(f.Sync(), Broken))
			m.DieAt(n)
			err := f.Reopen(nil)
			m.Crash(rand.New(rand.NewPCG(uint64(n), seed)))
			_, got := open(t, m)
			(&run{synced: []string{"one", "two"}, asked: []string{"one", "two", "three"}}).check(t, got, fmt.Sprint("death at ", n))
			if err == nil {
				assert.DeepEqual(t, got, []string{"one", "two", "three"})
				if seed == 3 {
					return
				}
			}
		}
	}
}

// What a failed sync left in the system's memory alone is on the disk once Reopen, or the next process's Open, has shown it.
func TestReopen_RewritesAfterFailedSync(t *testing.T) {
	for _, label := range []string{"reopen", "open"} {
		m := NewMemory()
		f, _ := open(t, m)
		add(t, f, "one")
		assert.NilError(t, f.Append([]byte("two")))
		m.FailAt(1, syscall.EIO)
		assert.Check(t, errorx.IsOfType(f.Sync(), Broken))
		if label == "reopen" {
			assert.NilError(t, f.Reopen(nil))
		} else {
			m.Kill()
			f, _ = open(t, m)
		}
		add(t, f, "three")
		m.Crash(nil)
		_, got := open(t, m)
		assert.DeepEqual(t, got, []string{"one", "two", "three"})
	}
}

// On a full disk Reopen reports that there is no space, and a rewrite to fewer records, which frees some, makes the file usable.
func TestRewrite_FreesSpace(t *testing.T) {
	m := NewMemory()
	f, _ := open(t, m)
	add(t, f, "one", "two")
	m.FailFrom(1, syscall.ENOSPC)
	assert.Check(t, errorx.IsOfType(f.Append([]byte("three")), Broken))
	var got []string
	err := f.Reopen(func(r []byte) error { got = append(got, string(r)); return nil })
	assert.Check(t, errorx.IsOfType(err, NoSpace), "%v", err)
	assert.DeepEqual(t, got, []string{"one", "two"})
	assert.Check(t, caused(rewrite(f, "two"), syscall.ENOSPC))
	assert.Check(t, errorx.IsOfType(f.Err(), Broken))
	m.Recover()
	assert.NilError(t, rewrite(f, "two"))
	add(t, f, "three")
	m.Crash(nil)
	_, got = open(t, m)
	assert.DeepEqual(t, got, []string{"two", "three"})
}

// While a sync hangs, others wait for theirs; none returns nil before its records are durable.
func TestSync_Stalled(t *testing.T) {
	m := NewMemory()
	f, _ := open(t, m)
	release := m.StallSync()
	assert.NilError(t, f.Append([]byte("one")))
	done := make(chan error, 2)
	for range 2 {
		go func() { done <- f.Sync() }()
	}
	assert.Equal(t, len(done), 0)
	release()
	assert.NilError(t, <-done)
	assert.NilError(t, <-done)
	m.Crash(nil)
	_, got := open(t, m)
	assert.DeepEqual(t, got, []string{"one"})
}
