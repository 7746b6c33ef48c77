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

// reopeningWorkload is a user of a file that calls Reopen after each failure. It records which facts a nil Sync acknowledged.
type reopeningWorkload struct {
	files        *Memory
	file         *File
	facts        []string
	acknowledged []string
	appended     []string
	failures     int
}

// reopen retries Reopen until it succeeds. The disk recovers after the second attempt at the latest.
func (s *reopeningWorkload) reopen(t *testing.T, label string) {
	t.Helper()
	s.failures++
	for attempt := range 3 {
		var got []string
		err := s.file.Reopen(func(r []byte) error { got = append(got, string(r)); return nil })
		if err == nil {
			s.facts = got
			r := &workload{synced: s.acknowledged, appended: s.appended}
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

// write appends, syncs and rewrites, and reopens the file after each failure. It reports whether no call failed.
func (s *reopeningWorkload) write(t *testing.T, label string) (clean bool) {
	t.Helper()
	clean = true
	for i := range 6 {
		batch := []string{fmt.Sprintf("%d.a", i), fmt.Sprintf("%d.b", i)}
		s.appended = append(s.appended, batch...)
		err := s.file.Append(toBytes(batch)...)
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
				s.acknowledged = slices.Clone(kept) // the rewrite may have removed the first
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
			s.reopen(t, label)
		}
	}
	return clean
}

// Each operation fails with either error, once or until the disk recovers. After Reopen the file must be usable, and nothing
// acknowledged may be lost, even by a power loss right after.
func TestReopen_AfterFailureAtEachOperation(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		for _, persistent := range []bool{false, true} {
			for n := 1; ; n++ {
				label := fmt.Sprintf("%v, persistent %v, operation %d", cause, persistent, n)
				m := NewMemory()
				f, _ := open(t, m)
				if persistent {
					m.FailFrom(n, cause)
				} else {
					m.FailAt(n, cause)
				}
				s := &reopeningWorkload{files: m, file: f}
				clean := s.write(t, label)
				m.Recover()
				assert.NilError(t, f.Sync(), label)
				assert.NilError(t, f.Append([]byte("last")), label)
				assert.NilError(t, f.Sync(), label)
				s.appended, s.acknowledged = append(s.appended, "last"), append(s.acknowledged, "last")
				for seed := range uint64(3) {
					m.Crash(rand.New(rand.NewPCG(uint64(n), seed)))
					_, got := open(t, m)
					(&workload{synced: s.acknowledged, appended: s.appended}).check(t, got, label+", power lost")
				}
				if clean {
					assert.Check(t, n > 15, label)
					break
				}
			}
		}
	}
}

// A power loss at any operation of Reopen after a failed sync must lose nothing that was acknowledged.
func TestReopen_PowerLossAtEachOperation(t *testing.T) {
	for n := 1; ; n++ {
		for seed := range uint64(4) {
			m := NewMemory()
			f, _ := open(t, m)
			appendAndSync(t, f, "one", "two")
			assert.NilError(t, f.Append([]byte("three")))
			m.FailAt(1, syscall.EIO)
			assert.Check(t, errorx.IsOfType(f.Sync(), Broken))
			m.DieAt(n)
			err := f.Reopen(nil)
			m.Crash(rand.New(rand.NewPCG(uint64(n), seed)))
			_, got := open(t, m)
			(&workload{synced: []string{"one", "two"}, appended: []string{"one", "two", "three"}}).check(t, got, fmt.Sprint("death at ", n))
			if err == nil {
				assert.DeepEqual(t, got, []string{"one", "two", "three"})
				if seed == 3 {
					return
				}
			}
		}
	}
}

// A failed sync may leave records in the page cache only. Once Reopen, or Open in the next process, has replayed them, they
// must be durable.
func TestReopen_RewritesAfterFailedSync(t *testing.T) {
	for _, label := range []string{"reopen", "open"} {
		m := NewMemory()
		f, _ := open(t, m)
		appendAndSync(t, f, "one")
		assert.NilError(t, f.Append([]byte("two")))
		m.FailAt(1, syscall.EIO)
		assert.Check(t, errorx.IsOfType(f.Sync(), Broken))
		if label == "reopen" {
			assert.NilError(t, f.Reopen(nil))
		} else {
			m.Kill()
			f, _ = open(t, m)
		}
		appendAndSync(t, f, "three")
		m.Crash(nil)
		_, got := open(t, m)
		assert.DeepEqual(t, got, []string{"one", "two", "three"})
	}
}

// On a full disk Reopen returns NoSpace. A Rewrite to fewer records makes the file usable as soon as it finds enough space.
func TestRewrite_FreesSpace(t *testing.T) {
	m := NewMemory()
	f, _ := open(t, m)
	appendAndSync(t, f, "one", "two")
	m.FailFrom(1, syscall.ENOSPC)
	assert.Check(t, errorx.IsOfType(f.Append([]byte("three")), Broken))
	var got []string
	err := f.Reopen(func(r []byte) error { got = append(got, string(r)); return nil })
	assert.Check(t, errorx.IsOfType(err, NoSpace), "%v", err)
	assert.DeepEqual(t, got, []string{"one", "two"})
	assert.Check(t, isCausedBy(rewrite(f, "two"), syscall.ENOSPC))
	assert.Check(t, errorx.IsOfType(f.Err(), Broken))
	m.Recover()
	assert.NilError(t, rewrite(f, "two"))
	appendAndSync(t, f, "three")
	m.Crash(nil)
	_, got = open(t, m)
	assert.DeepEqual(t, got, []string{"two", "three"})
}

// While a sync hangs, concurrent calls of Sync wait. None may return nil before its records are durable.
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
