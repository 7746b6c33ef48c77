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
	binary.BigEndian.PutUint64(k[:], uint64(n)<<48) // few bits, so that many meet in the index
	binary.BigEndian.PutUint64(k[8:], uint64(n))
	return k
}

func end(n int, at time.Duration) Entry {
	return Entry{Key: keyOf(n), Digest: Digest{byte(n)}, Outcome: Outcome(n%3) + Delivered, At: at, RetryAfter: time.Duration(n%5) * time.Millisecond}
}

func TestKeyOf(t *testing.T) {
	first, second := KeyOf("/s", "1"), KeyOf("/s", "1")
	if KeyOf("a", "bc") == KeyOf("ab", "c") || KeyOf("a", "b") == KeyOf("b", "a") || first != second {
		t.Error("keys do not tell source and id apart")
	}
}

// A plain map and list, held against the table over generated days: ends, looks, floods, keys that come again, and
// times that pass.
func TestTable_AgainstModel(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 4))
		most, remember := 1+r.IntN(40), time.Duration(1+r.IntN(50))
		table := NewTable(most, remember)
		var all []Entry // the model: every end in order
		held, now := 0, time.Duration(1000)
		live := func() []Entry { // those that count and take room
			return slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return e.At+remember <= now })
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
				if ok != (len(l)+held < most) {
					t.Fatalf("seed %d: reserve %v with %d ends, %d held of %d", seed, ok, len(l), held, most)
				}
				if ok {
					held++
				} else if len(l) > 0 && after != l[0].At+remember-now {
					t.Fatalf("seed %d: room after %v, and the first lapses after %v", seed, after, l[0].At+remember-now)
				}
			case 2:
				if held > 0 {
					held--
					e := end(r.IntN(60), now)
					table.Expire(now)
					table.Record(e)
					all = append(all, e)
				}
			case 3:
				if held > 0 {
					held--
					table.Release()
				}
			default:
				k := keyOf(r.IntN(60))
				got, ok := table.Lookup(now, k)
				want, has := find(k)
				if ok != has || got != want {
					t.Fatalf("seed %d: %+v %v, want %+v %v", seed, got, ok, want, has)
				}
			}
			if table.Reserved() != held || table.Len() > most {
				t.Fatalf("seed %d: %d held, %d ends of %d", seed, table.Reserved(), table.Len(), most)
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
		torn := bytes.Clone(raw)
		torn[i] ^= 1
		if _, ok := ReadRecord(torn); ok {
			t.Errorf("a record with byte %d spoilt is read", i)
		}
		if _, ok := ReadRecord(raw[:i]); ok {
			t.Errorf("%d bytes of a record are read", i)
		}
	}
	if _, ok := ReadRecord(make([]byte, RecordSize)); ok {
		t.Error("a place that was never written is read")
	}
}

// memory is a disk that can fail after some bytes, and be cut off as a kill does.
type memory struct {
	data  []byte
	left  int // bytes until it fails; -1: never
	fails error
}

func (m *memory) WriteAt(b []byte, at int64) (int, error) {
	n := len(b)
	if m.left >= 0 && n > m.left {
		n = m.left
	}
	if need := int(at) + n; need > len(m.data) {
		m.data = append(m.data, make([]byte, need-len(m.data))...)
	}
	copy(m.data[at:], b[:n])
	if m.left >= 0 {
		m.left -= n
	}
	if n < len(b) {
		return n, m.fails
	}
	return n, nil
}

func (m *memory) Close() error { return nil }

// Killed after any byte, the file holds all ends that were written whole, and none that was not.
func TestFile_KilledAnywhere(t *testing.T) {
	const remember, ends, most = 100, 14, 5 // the ring goes round more than twice
	for cut := range ends*RecordSize + 1 {
		path := filepath.Join(t.TempDir(), "ends")
		table := NewTable(most, remember)
		f, err := Open(path, table, 1)
		if err != nil {
			t.Fatal(err)
		}
		disk := &memory{left: cut, fails: errors.New("killed")}
		f.WrapDisk(func(d Disk) Disk { d.Close(); return disk })
		var whole []Entry
		now := time.Duration(1)
		for n := range ends {
			now += 30 // at most four are remembered at a time
			if ok, _ := table.Reserve(now); !ok {
				t.Fatal("no room")
			}
			e := end(n, now)
			f.Add(table.Record(e), e)
			if f.Flush() != nil {
				break
			}
			whole = append(whole, e)
		}
		if err := os.WriteFile(path, disk.data, 0o600); err != nil {
			t.Fatal(err)
		}
		again := NewTable(most, remember)
		g, err := Open(path, again, now)
		if err != nil {
			t.Fatal(err)
		}
		g.Close()
		for n := range ends {
			got, ok := again.Lookup(now, keyOf(n))
			i := slices.IndexFunc(whole, func(e Entry) bool { return e.Key == keyOf(n) })
			want := i >= 0 && whole[i].At+remember > now
			if ok != want || ok && got != whole[i] {
				t.Fatalf("cut at %d: end %d is there: %v, want %v", cut, n, ok, want)
			}
		}
	}
}

// A disk that fails for a while: what ends meanwhile is remembered, and written once it works.
func TestFile_FailingDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ends")
	table := NewTable(10, 1000)
	f, err := Open(path, table, 1)
	if err != nil {
		t.Fatal(err)
	}
	disk := &memory{left: RecordSize / 2, fails: errors.New("full")}
	f.WrapDisk(func(d Disk) Disk { d.Close(); return disk })
	for n := range 3 {
		table.Reserve(5)
		f.Add(table.Record(end(n, 5)), end(n, 5))
		if f.Flush() == nil || f.Err() == nil {
			t.Fatal("a failed write passes for one")
		}
	}
	disk.left = -1
	if err := f.Flush(); err != nil || f.Err() != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, disk.data, 0o600); err != nil {
		t.Fatal(err)
	}
	again := NewTable(10, 1000)
	if _, err := Open(path, again, 6); err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		if _, ok := again.Lookup(6, keyOf(n)); !ok {
			t.Errorf("end %d is lost", n)
		}
	}
}

// A folder that can't be written to at the start: the old file stays as it is, and what it held counts.
func TestFile_UnwritableFolder(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "ends")
	if err := os.WriteFile(path, AppendRecord(nil, end(1, 5)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(path+".new", 0o700); err != nil { // the new file can't be made
		t.Fatal(err)
	}
	table := NewTable(10, 1000)
	f, err := Open(path, table, 6)
	if err != nil || f.Err() == nil {
		t.Fatalf("%v, failed %v", err, f.Err())
	}
	if _, ok := table.Lookup(6, keyOf(1)); !ok {
		t.Error("what the file held is forgotten")
	}
	table.Reserve(7)
	f.Add(table.Record(end(2, 7)), end(2, 7))
	if f.Flush() == nil {
		t.Error("nothing is written, and no error")
	}
	os.Remove(path + ".new")
	f.lastRewrite = time.Time{}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	again := NewTable(10, 1000)
	if _, err := Open(path, again, 8); err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 2; n++ {
		if _, ok := again.Lookup(8, keyOf(n)); !ok {
			t.Errorf("end %d is lost", n)
		}
	}
}

// Smaller bounds, a clock that was ahead, lapsed ends: a file from other times is taken as far as it goes.
func TestTable_Load(t *testing.T) {
	var raw []byte
	for n := range 10 {
		raw = AppendRecord(raw, end(n, time.Duration(n*10)))
	}
	raw = append(raw, 1, 2, 3) // torn
	table := NewTable(4, 50)
	table.Load(85, raw) // 0 to 3 have lapsed, 9 is in the future; 6 to 9 have room
	for n := range 10 {
		got, ok := table.Lookup(85, keyOf(n))
		if ok != (n >= 6) || ok && got.At != min(end(n, time.Duration(n*10)).At, 85) {
			t.Errorf("%d: %+v %v", n, got, ok)
		}
	}
	if _, ok := table.Lookup(135, keyOf(9)); ok {
		t.Error("an end of a clock that was ahead is remembered for longer")
	}
}

// The file never grows beyond its bound, whatever comes.
func TestTable_Flood(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ends")
	const most = 1000
	table := NewTable(most, time.Minute)
	f, err := Open(path, table, 1)
	if err != nil {
		t.Fatal(err)
	}
	refused, now := 0, time.Duration(1)
	for n := range 20 * most {
		now += 3 * time.Millisecond // in a minute 20,000
		if ok, after := table.Reserve(now); !ok {
			if refused++; after <= 0 || after > time.Minute {
				t.Fatalf("room after %v", after)
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
	if err != nil || info.Size() > most*RecordSize {
		t.Errorf("%v %v", info, err)
	}
	if refused != 19*most {
		t.Errorf("%d refused", refused)
	}
	if _, ok := table.Lookup(now, KeyOf("/flood", "0")); !ok {
		t.Error("the flood drove out what was promised to be remembered")
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(AppendRecord(AppendRecord(nil, end(1, 5)), end(2, 6)), uint16(3), int64(10))
	f.Fuzz(func(t *testing.T, raw []byte, most uint16, now int64) {
		table := NewTable(int(most), 50)
		table.Load(time.Duration(now), raw)
		if table.Len() > max(1, int(most)) {
			t.Errorf("%d ends", table.Len())
		}
		table.ForEach(func(_ int, e Entry) {
			if got, ok := table.Lookup(time.Duration(now), e.Key); ok && got != e {
				t.Errorf("%+v and %+v", got, e)
			}
		})
	})
}

// Memory at its bound: a million ends.
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
