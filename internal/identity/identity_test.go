package identity

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"
)

func keyOf(n int) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:], uint64(n)<<48) // few distinct bits, so that many keys collide in the index
	binary.BigEndian.PutUint64(k[8:], uint64(n))
	return k
}

func entryOf(n int, at time.Duration) Entry {
	return Entry{Key: keyOf(n), Digest: Digest{byte(n)}, Outcome: Outcome(n%3) + Delivered, At: at, RetryAfter: time.Duration(n%5) * time.Millisecond}
}

func TestKeyOf(t *testing.T) {
	first, second := KeyOf("/s", "1"), KeyOf("/s", "1")
	if KeyOf("a", "bc") == KeyOf("ab", "c") || KeyOf("a", "b") == KeyOf("b", "a") || first != second {
		t.Error("keys do not distinguish source and id")
	}
}

// Compares the table with a model, a list of all entries, over random operations: reservations, entries, lookups, floods,
// repeated keys and time steps.
func TestTable_AgainstModel(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 4))
		maxEntries, retention := 1+r.IntN(40), time.Duration(1+r.IntN(50))
		table := NewTable(maxEntries, retention)
		var all []Entry // the model: every entry in order
		reserved, now := 0, time.Duration(1000)
		live := func() []Entry { // the entries within the retention
			return slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return e.At+retention <= now })
		}
		find := func(k Key) (Entry, bool) {
			l := live()
			for i := len(l) - 1; i >= 0; i-- {
				if l[i].Key == k {
					return l[i], true
				}
			}
			return Entry{}, false
		}
		for range 400 {
			switch r.IntN(5) {
			case 0:
				now += time.Duration(r.IntN(10))
			case 1:
				ok, after := table.Reserve(now)
				l := live()
				if ok != (len(l)+reserved < maxEntries) {
					t.Fatalf("seed %d: Reserve returned %v with %d entries and %d reserved of %d", seed, ok, len(l), reserved, maxEntries)
				}
				if ok {
					reserved++
				} else if len(l) > 0 && after != l[0].At+retention-now {
					t.Fatalf("seed %d: Reserve returned %v, but the first entry expires after %v", seed, after, l[0].At+retention-now)
				}
			case 2:
				if reserved > 0 {
					reserved--
					e := entryOf(r.IntN(60), now)
					table.Expire(now)
					table.Record(e)
					all = append(all, e)
				}
			case 3:
				if reserved > 0 {
					reserved--
					table.Release()
				}
			default:
				k := keyOf(r.IntN(60))
				got, ok := table.Lookup(now, k)
				want, has := find(k)
				if ok != has || got != want {
					t.Fatalf("seed %d: Lookup returned %+v %v, want %+v %v", seed, got, ok, want, has)
				}
			}
			if table.Reserved() != reserved || table.Len() > maxEntries {
				t.Fatalf("seed %d: %d reserved, %d entries, at most %d", seed, table.Reserved(), table.Len(), maxEntries)
			}
		}
	}
}

func TestRecord_RoundTrip(t *testing.T) {
	e := Entry{KeyOf("/s", "1"), DigestOf([]byte("x")), HandedBack, 1764500000 * time.Second, 1500 * time.Millisecond}
	raw := AppendRecord(nil, e)
	if got, ok := ReadRecord(raw); len(raw) != RecordSize || !ok || got != e {
		t.Fatalf("%d bytes, %+v %v", len(raw), got, ok)
	}
	for i := range raw {
		damaged := bytes.Clone(raw)
		damaged[i] ^= 1
		if _, ok := ReadRecord(damaged); ok {
			t.Errorf("a record with byte %d damaged is read", i)
		}
		if _, ok := ReadRecord(raw[:i]); ok {
			t.Errorf("%d bytes of a record are read", i)
		}
	}
	if _, ok := ReadRecord(make([]byte, RecordSize)); ok {
		t.Error("a slot that was never written is read")
	}
}

// memoryDisk is a disk in memory. It can fail after some bytes, and leave a torn write as a kill does.
type memoryDisk struct {
	data      []byte
	bytesLeft int // bytes until it fails; -1: never fails
	err       error
}

func (m *memoryDisk) WriteAt(b []byte, at int64) (int, error) {
	n := len(b)
	if m.bytesLeft >= 0 && n > m.bytesLeft {
		n = m.bytesLeft
	}
	if need := int(at) + n; need > len(m.data) {
		m.data = append(m.data, make([]byte, need-len(m.data))...)
	}
	copy(m.data[at:], b[:n])
	if m.bytesLeft >= 0 {
		m.bytesLeft -= n
	}
	if n < len(b) {
		return n, m.err
	}
	return n, nil
}

func (m *memoryDisk) Close() error { return nil }

// After a kill at any byte, the file holds all entries that were written completely, and no others.
func TestFile_KilledAnywhere(t *testing.T) {
	const retention, entries, maxEntries = 100, 14, 5 // the ring wraps more than twice
	for cut := range entries*RecordSize + 1 {
		path := filepath.Join(t.TempDir(), "ends")
		table := NewTable(maxEntries, retention)
		f, err := Open(path, table, 1)
		if err != nil {
			t.Fatal(err)
		}
		disk := &memoryDisk{bytesLeft: cut, err: errors.New("killed")}
		f.WrapDisk(func(d Disk) Disk { d.Close(); return disk })
		var written []Entry
		now := time.Duration(1)
		for n := range entries {
			now += 30 // at most four are within the retention at a time
			if ok, _ := table.Reserve(now); !ok {
				t.Fatal("Reserve failed")
			}
			e := entryOf(n, now)
			f.Add(table.Record(e), e)
			if f.Flush() != nil {
				break
			}
			written = append(written, e)
		}
		if err := os.WriteFile(path, disk.data, 0o600); err != nil {
			t.Fatal(err)
		}
		reopened := NewTable(maxEntries, retention)
		g, err := Open(path, reopened, now)
		if err != nil {
			t.Fatal(err)
		}
		g.Close()
		for n := range entries {
			got, ok := reopened.Lookup(now, keyOf(n))
			i := slices.IndexFunc(written, func(e Entry) bool { return e.Key == keyOf(n) })
			want := i >= 0 && written[i].At+retention > now
			if ok != want || ok && got != written[i] {
				t.Fatalf("cut at %d: entry %d found: %v, want %v", cut, n, ok, want)
			}
		}
	}
}

// A disk fails for a while. Entries added meanwhile are kept, and written once it works again.
func TestFile_FailingDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ends")
	table := NewTable(10, 1000)
	f, err := Open(path, table, 1)
	if err != nil {
		t.Fatal(err)
	}
	disk := &memoryDisk{bytesLeft: RecordSize / 2, err: errors.New("full")}
	f.WrapDisk(func(d Disk) Disk { d.Close(); return disk })
	for n := range 3 {
		table.Reserve(5)
		f.Add(table.Record(entryOf(n, 5)), entryOf(n, 5))
		if f.Flush() == nil || f.Err() == nil {
			t.Fatal("a failed write is not reported")
		}
	}
	disk.bytesLeft = -1
	if err := f.Flush(); err != nil || f.Err() != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, disk.data, 0o600); err != nil {
		t.Fatal(err)
	}
	reopened := NewTable(10, 1000)
	if _, err := Open(path, reopened, 6); err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		if _, ok := reopened.Lookup(6, keyOf(n)); !ok {
			t.Errorf("entry %d is lost", n)
		}
	}
}

// The folder is not writable when the file is opened: the old file stays unchanged, and its entries are loaded.
func TestFile_UnwritableFolder(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "ends")
	if err := os.WriteFile(path, AppendRecord(nil, entryOf(1, 5)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(path+".new", 0o700); err != nil { // the new file can't be created
		t.Fatal(err)
	}
	table := NewTable(10, 1000)
	f, err := Open(path, table, 6)
	if err != nil || f.Err() == nil {
		t.Fatalf("Open returned %v, Err %v", err, f.Err())
	}
	if _, ok := table.Lookup(6, keyOf(1)); !ok {
		t.Error("the entry of the file is not loaded")
	}
	table.Reserve(7)
	f.Add(table.Record(entryOf(2, 7)), entryOf(2, 7))
	if f.Flush() == nil {
		t.Error("Flush returned no error, but nothing can be written")
	}
	os.Remove(path + ".new")
	f.lastRewrite = time.Time{}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	reopened := NewTable(10, 1000)
	if _, err := Open(path, reopened, 8); err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 2; n++ {
		if _, ok := reopened.Lookup(8, keyOf(n)); !ok {
			t.Errorf("entry %d is lost", n)
		}
	}
}

// A file with more entries than the bound, expired ones and times ahead of the clock is loaded as far as possible.
func TestTable_Load(t *testing.T) {
	var raw []byte
	for n := range 10 {
		raw = AppendRecord(raw, entryOf(n, time.Duration(n*10)))
	}
	raw = append(raw, 1, 2, 3) // torn
	table := NewTable(4, 50)
	table.Load(85, raw) // 0 to 3 have expired, 9 is in the future; 6 to 9 fit
	for n := range 10 {
		got, ok := table.Lookup(85, keyOf(n))
		if ok != (n >= 6) || ok && got.At != min(entryOf(n, time.Duration(n*10)).At, 85) {
			t.Errorf("entry %d: %+v %v", n, got, ok)
		}
	}
	if _, ok := table.Lookup(135, keyOf(9)); ok {
		t.Error("an entry whose time was ahead of the clock is kept for longer than the retention")
	}
}

// The file never grows beyond its bound in a flood of new events.
func TestTable_Flood(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ends")
	const maxEntries = 1000
	table := NewTable(maxEntries, time.Minute)
	f, err := Open(path, table, 1)
	if err != nil {
		t.Fatal(err)
	}
	rejected, now := 0, time.Duration(1)
	for n := range 20 * maxEntries {
		now += 3 * time.Millisecond // 20,000 a minute
		if ok, after := table.Reserve(now); !ok {
			if rejected++; after <= 0 || after > time.Minute {
				t.Fatalf("Reserve returned a wait of %v", after)
			}
			continue
		}
		e := Entry{Key: KeyOf("/flood", fmt.Sprint(n)), Outcome: Delivered, At: now}
		f.Add(table.Record(e), e)
		if err := f.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(path)
	if err != nil || info.Size() > maxEntries*RecordSize {
		t.Errorf("%v %v", info, err)
	}
	if rejected != 19*maxEntries {
		t.Errorf("%d events rejected", rejected)
	}
	if _, ok := table.Lookup(now, KeyOf("/flood", "0")); !ok {
		t.Error("the flood evicted an entry within its retention")
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(AppendRecord(AppendRecord(nil, entryOf(1, 5)), entryOf(2, 6)), uint16(3), int64(10))
	f.Fuzz(func(t *testing.T, raw []byte, maxEntries uint16, now int64) {
		table := NewTable(int(maxEntries), 50)
		table.Load(time.Duration(now), raw)
		if table.Len() > max(1, int(maxEntries)) {
			t.Errorf("%d entries", table.Len())
		}
		table.ForEach(func(_ int, e Entry) {
			if got, ok := table.Lookup(time.Duration(now), e.Key); ok && got != e {
				t.Errorf("Lookup returned %+v, ForEach %+v", got, e)
			}
		})
	})
}

// Reports the memory of a full table of a million entries.
func BenchmarkMillion(b *testing.B) {
	const million = 1_000_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable(million, time.Hour)
		for n := range million {
			table.Reserve(time.Duration(n))
			table.Record(Entry{Key: KeyOf("/s", fmt.Sprint(n)), Outcome: Delivered, At: time.Duration(n)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(table)
	}
}
