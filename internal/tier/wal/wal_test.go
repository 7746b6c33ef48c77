package wal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

func init() { log.DefaultLogger.SetLevel(log.ErrorLevel) } // the tests truncate hundreds of torn tails, each with a warning

const dir, name = "/data/core", "control"

// open opens the write-ahead log and returns its records.
func open(t testing.TB, files FS) (*File, []string) {
	t.Helper()
	f, got, err := openErr(files)
	assert.NilError(t, err)
	return f, got
}

func openErr(files FS) (f *File, got []string, err error) {
	f, err = Open(files, dir, name, func(r []byte) error {
		got = append(got, string(r))
		return nil
	})
	return f, got, err
}

// isCausedBy reports whether target is the cause of err.
func isCausedBy(err, target error) bool {
	for e := errorx.Cast(err); e != nil; e = errorx.Cast(err) {
		err = e.Cause()
	}
	return errors.Is(err, target)
}

func appendAndSync(t testing.TB, f *File, records ...string) {
	t.Helper()
	assert.NilError(t, f.Append(toBytes(records)...))
	assert.NilError(t, f.Sync())
}

func toBytes(records []string) [][]byte {
	out := make([][]byte, len(records))
	for i, r := range records {
		out[i] = []byte(r)
	}
	return out
}

func rewrite(f *File, records ...string) error {
	return f.Rewrite(func(add func([]byte) error) error {
		for _, r := range records {
			if err := add([]byte(r)); err != nil {
				return err
			}
		}
		return nil
	})
}

func TestOpen_ReplaysInOrder(t *testing.T) {
	systems := map[string]func(t *testing.T) (FS, string){
		"memory": func(*testing.T) (FS, string) { return NewMemory(), dir },
		"os":     func(t *testing.T) (FS, string) { return OS{}, filepath.Join(t.TempDir(), "a", "b") },
	}
	for label, system := range systems {
		t.Run(label, func(t *testing.T) {
			files, dir := system(t)
			var got []string
			collect := func(r []byte) error { got = append(got, string(r)); return nil }
			f, err := Open(files, dir, name, collect)
			assert.NilError(t, err)
			long := string(bytes.Repeat([]byte("x"), 3*rewriteChunkSize))
			appendAndSync(t, f, "one", "", long)
			appendAndSync(t, f, "four")
			assert.NilError(t, f.Close())
			assert.NilError(t, f.Close())
			assert.Check(t, errorx.IsOfType(f.Append([]byte("late")), Misuse))
			assert.Check(t, errorx.IsOfType(f.Sync(), Misuse))
			f, err = Open(files, dir, name, collect)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, []string{"one", "", long, "four"})
			size := f.Size()
			assert.NilError(t, rewrite(f, long, "four", "", long))
			appendAndSync(t, f, "five")
			assert.Check(t, f.Size() > size)
			assert.NilError(t, f.Close())
			got = nil
			f, err = Open(files, dir, name, collect)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, []string{long, "four", "", long, "five"})
			names, err := files.List(dir)
			assert.NilError(t, err)
			assert.DeepEqual(t, names, []string{name})
			assert.NilError(t, f.Close())
		})
	}
}

func TestFile_Size(t *testing.T) {
	folder := t.TempDir()
	f, err := Open(OS{}, folder, name, nil)
	assert.NilError(t, err)
	appendAndSync(t, f, "one", "two")
	info, err := os.Stat(filepath.Join(folder, name))
	assert.NilError(t, err)
	assert.Equal(t, info.Size(), f.Size())
	assert.NilError(t, f.Close())
}

// openWithRecords opens a file and writes records to it. ends are the offsets at which the header and each record end.
func openWithRecords(t *testing.T, m *Memory, records []string) (f *File, ends []int64) {
	t.Helper()
	f, _ = open(t, m)
	ends = []int64{f.Size()}
	for _, r := range records {
		appendAndSync(t, f, r)
		ends = append(ends, f.Size())
	}
	return f, ends
}

// A file that is truncated at any byte, or zero from there on, must replay exactly the complete records before, and accept
// appends after them.
func TestOpen_TruncatesDamagedTail(t *testing.T) {
	records := []string{"alpha", "", "gamma gamma", "delta"}
	m := NewMemory()
	f, ends := openWithRecords(t, m, records)
	m.Kill()
	intact := bytes.Clone(m.visible[f.path].visible)
	want := func(upTo int64) (n int) {
		for n < len(records) && ends[n+1] <= upTo {
			n++
		}
		return n
	}
	try := func(data []byte, want int) {
		t.Helper()
		m := NewMemory()
		f, _ := open(t, m)
		m.visible[f.path].visible, m.visible[f.path].durable = bytes.Clone(data), bytes.Clone(data)
		m.Kill()
		f, got := open(t, m)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(records[:want]))
		appendAndSync(t, f, "next")
		m.Crash(nil)
		_, got = open(t, m)
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(append(records[:want:want], "next")))
	}
	for n := range len(intact) + 1 {
		try(intact[:n], want(int64(n)))
		if n >= len(fileHeader) { // zeros in place of the rest
			try(append(bytes.Clone(intact[:n]), make([]byte, len(intact)-n)...), want(int64(n)))
		}
	}
}

func TestOpen_DamagedByte(t *testing.T) {
	records := []string{"alpha", "beta", "gamma"}
	m := NewMemory()
	f, ends := openWithRecords(t, m, records)
	for at := range m.visible[f.path].visible {
		for bit := range 8 {
			m.Kill()
			data := m.visible[f.path].visible
			data[at] ^= 1 << bit
			_, got, err := openErr(m)
			if at < len(fileHeader) {
				assert.Check(t, errorx.IsOfType(err, Foreign), "byte %d", at)
				assert.Equal(t, len(m.visible[f.path].visible), int(ends[3]), "a file with a foreign header was modified")
				data[at] ^= 1 << bit
				continue
			}
			assert.NilError(t, err)
			want := 0
			for want < len(records) && ends[want+1] <= int64(at) {
				want++
			}
			assert.Equal(t, fmt.Sprint(got), fmt.Sprint(records[:want]))
			m.Wipe()
			f, _ := open(t, m)
			appendAndSync(t, f, records...)
		}
	}
}

func TestOpen_ReplayErrorKeepsFile(t *testing.T) {
	m := NewMemory()
	f, _ := open(t, m)
	appendAndSync(t, f, "one", "two")
	m.Kill()
	stop := errors.New("stop")
	_, err := Open(m, dir, name, func([]byte) error { return stop })
	assert.ErrorIs(t, err, stop)
	_, got := open(t, m)
	assert.DeepEqual(t, got, []string{"one", "two"})
}

func TestAppend_RejectsOversizedRecord(t *testing.T) {
	m := NewMemory()
	f, _ := open(t, m)
	size := f.Size()
	long := make([]byte, MaxRecord+1)
	rejected := f.Append([]byte("first"), long)
	assert.Check(t, errorx.IsOfType(rejected, Misuse) && errorx.IsOfType(rejected, TooLarge))
	assert.NilError(t, f.Err())
	assert.Equal(t, f.Size(), size)
	err := f.Rewrite(func(add func([]byte) error) error { _ = add(long); return nil })
	assert.Check(t, errorx.IsOfType(err, Misuse) && errorx.IsOfType(err, TooLarge))
	appendAndSync(t, f, "after")
	m.Crash(nil)
	_, got := open(t, m)
	assert.DeepEqual(t, got, []string{"after"})
}

func TestFile_BrokenAfterFailedWriteOrSync(t *testing.T) {
	full := errors.New("disk is full")
	for label, breakFile := range map[string]func(m *Memory, f *File) error{
		"write": func(m *Memory, f *File) error { m.FailAt(1, full); return f.Append([]byte("lost")) },
		"sync": func(m *Memory, f *File) error {
			if err := f.Append([]byte("lost")); err != nil {
				return err
			}
			m.FailAt(1, full)
			return f.Sync()
		},
		"rename":      func(m *Memory, f *File) error { m.FailAt(4, full); return rewrite(f, "one") },
		"sync folder": func(m *Memory, f *File) error { m.FailAt(5, full); return rewrite(f, "one") },
	} {
		t.Run(label, func(t *testing.T) {
			m := NewMemory()
			f, _ := open(t, m)
			appendAndSync(t, f, "one")
			err := breakFile(m, f)
			assert.Check(t, isCausedBy(err, full), "%v", err)
			for range 2 {
				assert.Check(t, errorx.IsOfType(f.Append([]byte("no")), Broken))
				assert.Check(t, errorx.IsOfType(f.Sync(), Broken))
			}
			assert.NilError(t, rewrite(f, "one", "two"))
			appendAndSync(t, f, "three")
			m.Crash(nil)
			_, got := open(t, m)
			assert.DeepEqual(t, got, []string{"one", "two", "three"})
		})
	}
}

// A Rewrite that fails before the rename leaves the old file in use.
func TestRewrite_FailureKeepsOldFile(t *testing.T) {
	full := errors.New("disk is full")
	for n := 1; n <= 3; n++ { // create, write, sync
		m := NewMemory()
		f, _ := open(t, m)
		appendAndSync(t, f, "one")
		m.FailAt(n, full)
		assert.Check(t, isCausedBy(rewrite(f, "new"), full))
		assert.ErrorIs(t, f.Rewrite(func(func([]byte) error) error { return full }), full)
		appendAndSync(t, f, "two")
		m.Crash(nil)
		_, got := open(t, m)
		assert.DeepEqual(t, got, []string{"one", "two"})
		names, err := m.List(dir)
		assert.NilError(t, err)
		assert.DeepEqual(t, names, []string{name})
	}
}
