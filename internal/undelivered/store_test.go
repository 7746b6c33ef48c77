package undelivered

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
)

func entry(n int, ended int64) Entry {
	member := []string{"evergreen", "sound", "ridge"}[n%3]
	e := Entry{Message: fmt.Sprint("m", n), Member: member, Class: []string{"card", "balance"}[n%2], Effect: Safe, Destination: uint32(n % 4),
		Body: []byte("body of " + fmt.Sprint(n)), Ending: GivenUp, AcceptedAt: ended - 8*second, EndedAt: ended, Deadline: ended,
		Attempts: []Attempt{{At: ended - second, Endpoint: "r0-e0", Outcome: outcomes[n%len(outcomes)]}}}
	e.Reason = ReasonOf(e.History())
	return e
}

func newStore(t *testing.T, limits Limits) (*Store, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), FileName)
	s, err := Open(path, limits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, path
}

func list(t *testing.T, s *Store, f Filter) []string {
	t.Helper()
	var all []string
	if err := s.List(f, func(_ Key, e Entry) bool { all = append(all, e.Message); return true }); err != nil {
		t.Fatal(err)
	}
	return all
}

// List returns the same entries as a plain loop, with filters alone and combined, at once and in pages.
func TestStore_List(t *testing.T) {
	s, _ := newStore(t, Limits{})
	var all []Entry
	for n := range 200 {
		all = append(all, entry(n, int64(n)*second))
	}
	if err := s.Record(all, 0); err != nil {
		t.Fatal(err)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	one := uint32(1)
	for _, member := range []string{"", "sound", "nobody"} {
		for _, reason := range append(Reasons(), "") {
			for _, class := range []string{"", "card"} {
				for _, dest := range []*uint32{nil, &one} {
					for _, span := range [][2]int64{{0, 0}, {50 * second, 0}, {0, 120 * second}, {50 * second, 51 * second}} {
						f := Filter{Member: member, Reason: reason, Class: class, Destination: dest, Since: span[0], Until: span[1]}
						var want []string
						for _, e := range all {
							if f.matches(&e) && e.EndedAt >= f.Since && (f.Until == 0 || e.EndedAt < f.Until) {
								want = append(want, e.Message)
							}
						}
						if got := list(t, s, f); !slices.Equal(got, want) {
							t.Fatalf("%+v: %v, want %v", f, got, want)
						}
						var paged []string
						f.Limit = 7
						for {
							n := 0
							err := s.List(f, func(k Key, e Entry) bool {
								paged, f.After = append(paged, e.Message), k
								n++
								return true
							})
							if err != nil {
								t.Fatal(err)
							}
							if n < 7 {
								break
							}
						}
						if !slices.Equal(paged, want) {
							t.Fatalf("in pages, %+v: %v, want %v", f, paged, want)
						}
					}
				}
			}
		}
	}
}

// Random operations: recording, recording again, dropping, resolving and restarting, with retention by age and bytes. After each the file
// is consistent, each message is stored at most once, and dropped ones are counted.
func TestStore_RandomOperations(t *testing.T) {
	for seed := range uint64(12) {
		r := rand.New(rand.NewPCG(seed, 10))
		limits := Limits{MaxBytes: 4000 + r.Int64N(8000), MaxAge: time.Duration(20+r.IntN(60)) * time.Second}
		s, path := newStore(t, limits)
		now, n, recorded := int64(1000)*second, 0, map[string]bool{}
		for range 60 {
			now += r.Int64N(3) * second
			switch r.IntN(5) {
			case 0, 1:
				var batch []Entry
				for range 1 + r.IntN(5) {
					batch = append(batch, entry(n, now+int64(n)))
					recorded[batch[len(batch)-1].Message] = true
					n++
				}
				if r.IntN(2) == 0 {
					batch = append(batch, batch[0]) // twice in a batch
				}
				if err := s.Record(batch, now); err != nil {
					t.Fatal(err)
				}
				if err := s.Record(batch, now); err != nil { // and again, as after a kill
					t.Fatal(err)
				}
			case 2:
				var keys []Key
				s.List(Filter{Limit: 3}, func(k Key, _ Entry) bool { keys = append(keys, k); return true })
				if _, err := s.Drop(keys); err != nil {
					t.Fatal(err)
				}
			case 3:
				var key Key
				var e Entry
				s.List(Filter{Limit: 1}, func(k Key, is Entry) bool { key, e = k, is; return false })
				if err := s.Resolve(key, "ann", "paid by hand", now); (err == nil) == (e.State != Stored) {
					t.Errorf("%+v: %v", e, err)
				}
			default: // a restart
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				var err error
				if s, err = Open(path, limits); err != nil {
					t.Fatal(err)
				}
			}
			if err := s.Check(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			totals, err := s.Count()
			if err != nil {
				t.Fatal(err)
			}
			stored, dropped := int64(0), int64(0)
			for _, c := range totals.Counts {
				stored, dropped = stored+c.Stored, dropped+c.Dropped
			}
			if totals.Bytes > limits.MaxBytes+500 && len(list(t, s, Filter{})) > 0 || int(stored) != len(list(t, s, Filter{})) || stored+dropped != int64(len(recorded)) {
				t.Fatalf("seed %d: %d stored, %d dropped of %d; %d bytes of %d", seed, stored, dropped, len(recorded), totals.Bytes, limits.MaxBytes)
			}
		}
		s.Close()
	}
}

// A member that floods the store loses its own entries, and no other member's.
func TestStore_FloodOfOneMember(t *testing.T) {
	s, _ := newStore(t, Limits{MaxBytes: 20_000})
	var few []Entry
	for n := range 6 {
		few = append(few, entry(n, int64(n)*second))
	}
	if err := s.Record(few, 0); err != nil {
		t.Fatal(err)
	}
	for n := range 300 {
		e := entry(1000+3*n, int64(100+n)*second) // all of one member
		if err := s.Record([]Entry{e}, 0); err != nil {
			t.Fatal(err)
		}
	}
	totals, err := s.Count()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range totals.Counts {
		if c.Dropped > 0 && c.Member != entry(1000, 0).Member {
			t.Errorf("%+v", c)
		}
	}
	for _, e := range few {
		if e.Member != entry(1000, 0).Member && !slices.Contains(list(t, s, Filter{Member: e.Member}), e.Message) {
			t.Errorf("%s of %s is gone", e.Message, e.Member)
		}
	}
	if totals.Bytes > 20_000 || len(list(t, s, Filter{Member: entry(1000, 0).Member})) < 20 {
		t.Errorf("%d bytes, %v", totals.Bytes, totals.Counts)
	}
}

// A transaction that is interrupted at any point leaves the store as it was before: each page that it wrote is left out or half written,
// with the meta page, which commits the transaction, not written or torn.
func TestStore_TransactionTruncatedAnywhere(t *testing.T) {
	s, path := newStore(t, Limits{})
	var first, second []Entry
	for n := range 40 {
		first = append(first, entry(n, int64(n)))
		second = append(second, entry(100+n, int64(100+n)))
	}
	if err := s.Record(first, 0); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := list(t, s, Filter{})
	if err := s.Record(second, 0); err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	size := os.Getpagesize()
	before = append(before, make([]byte, len(after)-len(before))...)
	var changed []int
	for p := 2; p*size < len(after); p++ { // the first two are the meta pages
		if !bytes.Equal(before[p*size:(p+1)*size], after[p*size:(p+1)*size]) {
			changed = append(changed, p)
		}
	}
	if len(changed) < 5 {
		t.Fatalf("%d pages changed", len(changed))
	}
	checkFile := func(name string, raw []byte, all bool) {
		t.Helper()
		at := filepath.Join(t.TempDir(), FileName)
		if err := os.WriteFile(at, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(at, Limits{})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		defer s.Close()
		if err := s.Check(); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got := list(t, s, Filter{}); all && len(got) != 80 || !all && !slices.Equal(got, want) {
			t.Fatalf("%s: %d entries", name, len(got))
		}
	}
	mixed := func(pages func(raw []byte)) []byte {
		raw := slices.Concat(before[:2*size], after[2*size:]) // all pages but the meta pages
		pages(raw)
		return raw
	}
	checkFile("all but the meta page", mixed(func([]byte) {}), false)
	for _, p := range changed {
		at := p * size
		checkFile(fmt.Sprint("page left out ", p), mixed(func(raw []byte) { copy(raw[at:at+size], before[at:]) }), false)
		checkFile(fmt.Sprint("page cut short ", p), mixed(func(raw []byte) { copy(raw[at+size/2:at+size], before[at+size/2:]) }), false)
	}
	for meta := range 2 {
		if bytes.Equal(before[meta*size:(meta+1)*size], after[meta*size:(meta+1)*size]) {
			continue
		}
		for cut := 16; cut < 80; cut++ { // the page's header stays; the fields after it are cut byte by byte
			raw := bytes.Clone(after)
			copy(raw[meta*size+cut:(meta+1)*size], before[meta*size+cut:])
			if bytes.Equal(raw, after) {
				break
			}
			checkFile(fmt.Sprint("meta page cut at ", cut), raw, false)
		}
	}
	checkFile("whole", after, true)
}

// Open returns an error that names the file if it is damaged, open elsewhere, of a newer version or not a store.
func TestOpen_UnusableFiles(t *testing.T) {
	s, path := newStore(t, Limits{})
	if err := s.Record([]Entry{entry(1, 1)}, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, Limits{}); err == nil || !strings.Contains(err.Error(), "held by another process") {
		t.Errorf("%v", err)
	}
	s.Close()
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	newer := filepath.Join(t.TempDir(), FileName)
	os.WriteFile(newer, good, 0o600)
	db, err := bolt.Open(newer, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyVersion, boltfile.Number(version+1)) })
	db.Close()
	if _, err := Open(newer, Limits{}); !errors.Is(err, ErrNewerVersion) || !strings.Contains(err.Error(), newer) {
		t.Errorf("%v", err)
	}
	for name, raw := range map[string][]byte{"noise": []byte(strings.Repeat("noise", 10_000)), "short": good[:100], "no pages": good[:2*os.Getpagesize()]} {
		bad := filepath.Join(t.TempDir(), FileName)
		os.WriteFile(bad, raw, 0o600)
		if s, err := Open(bad, Limits{}); err == nil {
			if s.Check() == nil {
				t.Errorf("%s is opened", name)
			}
			s.Close()
		} else if !strings.Contains(err.Error(), bad) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := OpenReadOnly(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v", err)
	}
	readOnly, err := OpenReadOnly(path)
	if err != nil {
		t.Fatal(err)
	}
	defer readOnly.Close()
	if got := list(t, readOnly, Filter{}); !slices.Equal(got, []string{"m1"}) {
		t.Errorf("%v", got)
	}
	if err := readOnly.Record([]Entry{entry(2, 2)}, 0); err == nil {
		t.Error("a read-only store is written")
	}
}

// A LazyStore opens its file once the cause of an earlier failure is removed.
func TestLazyStore_OpensWithFirstUse(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, FileName)
	if err := os.WriteFile(path, []byte(strings.Repeat("noise", 10_000)), 0o600); err != nil {
		t.Fatal(err)
	}
	lazy := NewLazyStore(dir, Limits{})
	if err := lazy.Record([]Entry{entry(1, 1)}, 0); err == nil {
		t.Fatal("an entry is recorded in a damaged file")
	}
	os.Remove(path)
	if err := errors.Join(lazy.Record([]Entry{entry(1, 1)}, 0), lazy.RecordDropped(map[[2]string]int64{{"sound", "refused"}: 3})); err != nil {
		t.Fatal(err)
	}
	s, err := lazy.Store()
	if err != nil {
		t.Fatal(err)
	}
	if totals, err := s.Count(); err != nil || len(totals.Counts) != 2 {
		t.Errorf("%+v %v", totals, err)
	}
	if err := lazy.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestStore_Resolve(t *testing.T) {
	s, _ := newStore(t, Limits{})
	e := entry(1, 5)
	if err := s.Record([]Entry{e}, 0); err != nil {
		t.Fatal(err)
	}
	key := KeyOf(e.Message, e.EndedAt)
	if back, err := ParseKey(key.String()); err != nil || back != key {
		t.Errorf("%v %v", back, err)
	}
	for _, bad := range [][2]string{{"", "why"}, {"ann", ""}} {
		if s.Resolve(key, bad[0], bad[1], 7) == nil {
			t.Errorf("resolved by %q for %q", bad[0], bad[1])
		}
	}
	if err := s.Resolve(key, "ann", "paid by hand", 7); err != nil {
		t.Fatal(err)
	}
	if got, ok, err := s.Get(key); err != nil || !ok || got.State != Resolved || got.ResolvedBy != "ann" || got.Resolution != "paid by hand" || got.ResolvedAt != 7 {
		t.Errorf("%+v %v %v", got, ok, err)
	}
	if err := s.Resolve(key, "bob", "again", 8); err == nil || !strings.Contains(err.Error(), "ann") {
		t.Errorf("%v", err)
	}
	if err := s.Resolve(Key{1}, "ann", "why", 7); err == nil {
		t.Error("an entry that does not exist is resolved")
	}
	if err := s.Check(); err != nil {
		t.Error(err)
	}
}

// BenchmarkStore_Record records batches of the recorder's size; the metrics are per entry.
func BenchmarkStore_Record(b *testing.B) {
	path := filepath.Join(b.TempDir(), FileName)
	s, err := Open(path, Limits{})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	n := 0
	for b.Loop() {
		var batch []Entry
		for range 256 {
			e := entry(n, int64(n))
			e.Body = make([]byte, 400)
			batch = append(batch, e)
			n++
		}
		if err := s.Record(batch, 0); err != nil {
			b.Fatal(err)
		}
	}
	info, err := os.Stat(path)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "us/entry")
	b.ReportMetric(float64(info.Size())/float64(n)-400, "bytes/entry-beyond-body")
}

// BenchmarkStore_FirstPage lists the first page of one member and reason in a store of a million entries.
func BenchmarkStore_FirstPage(b *testing.B) {
	if testing.Short() {
		b.Skip("fills a store of a million entries first")
	}
	s, err := Open(filepath.Join(b.TempDir(), FileName), Limits{})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	s.db.NoSync = true
	for from := 0; from < 1_000_000; from += 20_000 {
		var batch []Entry
		for n := from; n < from+20_000; n++ {
			batch = append(batch, entry(n, int64(n)))
		}
		if err := s.Record(batch, 0); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		n := 0
		if err := s.List(Filter{Member: "ridge", Reason: ReasonReset, Limit: 100}, func(Key, Entry) bool { n++; return true }); err != nil || n == 0 {
			b.Fatal(n, err)
		}
	}
}
