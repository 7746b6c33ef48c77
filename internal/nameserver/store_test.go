package nameserver

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// memoryDisk is a disk in memory that simulates a crash or errors at given steps. After a crash, data that was not synced is lost
// completely or in part (see crash). A rename is durable once its folder is synced, and may be durable before.
type memoryDisk struct {
	mu           sync.Mutex
	files        map[string]*memoryFile
	durable      map[string]*memoryFile // the entries of the folder when it was last synced
	step         int
	crashAt      int // from this step on every operation fails; 0: never
	fails        func(step int, op string) bool
	tornFraction float64 // fraction of the data that a write writes if it is interrupted by the crash or fails
}

type memoryFile struct {
	d      *memoryDisk
	data   []byte
	synced int // bytes that are durable
	time   time.Time
}

var errCrashed = errors.New("the machine has crashed")

var errFull = errors.New("no space left on device")

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{files: map[string]*memoryFile{}, durable: map[string]*memoryFile{}}
}

func (d *memoryDisk) countStep(op string) error {
	d.step++
	if d.crashAt > 0 && d.step >= d.crashAt {
		return errCrashed
	}
	if d.fails != nil && d.fails(d.step, op) {
		return errFull
	}
	return nil
}

// crash returns the disk after a crash. renames is whether renames that were not synced are durable; keep is the fraction of unsynced
// data that is durable.
func (d *memoryDisk) crash(renames bool, keep float64) *memoryDisk {
	next := newMemoryDisk()
	from := d.durable
	if renames {
		from = d.files
	}
	for name, f := range from {
		n := f.synced + int(keep*float64(len(f.data)-f.synced))
		next.files[name] = &memoryFile{d: next, data: slices.Clone(f.data[:n]), synced: n, time: f.time}
		next.durable[name] = next.files[name]
	}
	return next
}

func (d *memoryDisk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(f.data), nil
}

func (d *memoryDisk) Create(name string) (file, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep("create"); err != nil {
		return nil, err
	}
	f := &memoryFile{d: d, time: time.Now()}
	d.files[name] = f
	return f, nil
}

func (d *memoryDisk) Append(name string) (file, int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		return nil, 0, fs.ErrNotExist
	}
	return f, int64(len(f.data)), nil
}

func (d *memoryDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep("rename"); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *memoryDisk) Exchange(a, b string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep("exchange"); err != nil {
		return err
	}
	d.files[a], d.files[b] = d.files[b], d.files[a]
	return nil
}

func (d *memoryDisk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep("syncdir"); err != nil {
		return err
	}
	d.durable = map[string]*memoryFile{}
	for n, f := range d.files {
		d.durable[n] = f
	}
	return nil
}

func (d *memoryDisk) ModTime(name string) (time.Time, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return f.time, nil
	}
	return time.Time{}, fs.ErrNotExist
}

func (d *memoryDisk) Touch(name string, t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		f.time = t
		return nil
	}
	return fs.ErrNotExist
}

func (f *memoryFile) Write(b []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.countStep("write"); err != nil {
		n := int(f.d.tornFraction * float64(len(b)))
		if f.d.step == f.d.crashAt || errors.Is(err, errFull) {
			f.data = append(f.data, b[:n]...)
		}
		return n, err
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *memoryFile) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.countStep("sync"); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memoryFile) Truncate(n int64) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.countStep("truncate"); err != nil {
		return err
	}
	f.data = f.data[:n]
	f.synced = min(f.synced, int(n))
	return nil
}

func (f *memoryFile) Close() error { return nil }

const zoneText = "@ 300 IN SOA ns h 10 60 10 300 60\n@ 300 IN NS ns\nns 300 IN A 127.0.0.1\nhooks 300 IN A 127.0.0.2\n"

func parseZone(t testing.TB, text string) *zone.Zone {
	t.Helper()
	z, err := zone.Parse(strings.NewReader(text), "example.", "test", nil, 100_000)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

// setAddrIn returns an update message for a zone, as unpacked from wire format, that sets the only address of a name.
func setAddrIn(t testing.TB, origin, name, addr string) *dns.Msg {
	t.Helper()
	m := new(dns.Msg).SetUpdate(origin)
	rr, err := dns.NewRR(fmt.Sprintf("%s 60 IN A %s", name, addr))
	if err != nil {
		t.Fatal(err)
	}
	m.RemoveRRset([]dns.RR{rr})
	m.Insert([]dns.RR{rr})
	return repack(t, m)
}

func repack(t testing.TB, m *dns.Msg) *dns.Msg {
	t.Helper()
	raw, err := m.Pack()
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Unpack(raw); err != nil {
		t.Fatal(err)
	}
	return m
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func newZoneOn(d disk) *managedZone {
	c := &ZoneConfig{Name: "example.", Updates: []Update{{Key: "k.", Grant: grantAll()}}}
	return newManagedZone(c, zoneOptions{disk: d, folder: "state", maxRecords: 100_000, log: discardLogger(), onChange: func([]string, bool) {}})
}

func grantAll() zone.Grant { return zone.Grant{Names: []string{"example.", "*.example."}} }

// applyUpdates loads a zone unless there is one and applies updates to it, with a journal that is replaced by a snapshot every few
// updates. answered is the number of the last accepted update, or -1 if the zone can't be loaded; refused are the indexes of the rejected
// updates.
func applyUpdates(t *testing.T, z *managedZone, updates int) (answered int, refused []int) {
	t.Helper()
	g := grantAll()
	if z.current.Load().Zone == nil {
		first := parseZone(t, zoneText)
		if err := z.replace(first, nil); err != nil {
			return -1, nil
		}
	}
	for i := range updates {
		z.store.maxJournalBytes = 400 // a new snapshot every few updates
		if err := z.update(setAddrIn(t, "example.", "hooks.example.", fmt.Sprintf("127.0.1.%d", i+1)), &g); err != nil {
			refused = append(refused, i)
			continue
		}
		answered = i + 1
	}
	return answered, refused
}

// The machine crashes at each step of the store, and data that was not synced is durable completely, in part or not at all. The next
// process must find the last acknowledged update, or the complete update after it, which was not acknowledged.
func TestStore_CrashAtEachStep(t *testing.T) {
	const updates = 12
	intact := newMemoryDisk()
	if answered, _ := applyUpdates(t, newZoneOn(intact), updates); answered != updates {
		t.Fatalf("%d updates were accepted without faults", answered)
	}
	folded := false
	for crashAt := 1; crashAt <= intact.step+1; crashAt++ {
		for _, torn := range []float64{0, 0.5, 0.99} {
			d := newMemoryDisk()
			d.crashAt, d.tornFraction = crashAt, torn
			answered, _ := applyUpdates(t, newZoneOn(d), updates)
			for _, renames := range []bool{false, true} {
				for _, keep := range []float64{0, 0.3, 0.9, 1} {
					at := fmt.Sprintf("crash at step %d, torn %v, renames %v, keep %v", crashAt, torn, renames, keep)
					next := d.crash(renames, keep)
					z := newZoneOn(next)
					current := z.current.Load()
					if current.Zone == nil {
						if answered > 0 {
							t.Fatalf("%s: the zone is lost", at)
						}
						continue
					}
					if current.Serial() > 12 && len(next.files["state/example.journal"].data) == headerSize {
						folded = true
					}
					last := int(current.Serial()) - 10
					if last < answered || last > answered+1 {
						t.Fatalf("%s: %d updates were acknowledged, %d are in the zone", at, answered, last)
					}
					if last > 0 {
						if a := current.Set("hooks.example.", dns.TypeA); len(a) != 1 || a[0].(*dns.A).A.String() != fmt.Sprintf("127.0.1.%d", last) {
							t.Fatalf("%s: serial %d with %v", at, current.Serial(), a)
						}
					}
					// Updates after the crash are accepted, and survive another crash.
					if more, _ := applyUpdates(t, z, 2); more != 2 {
						t.Fatalf("%s: updates after the crash are rejected", at)
					}
					if z = newZoneOn(next.crash(false, 0)); z.current.Load().Set("hooks.example.", dns.TypeA)[0].(*dns.A).A.String() != "127.0.1.2" {
						t.Fatalf("%s: the updates after the crash are lost", at)
					}
				}
			}
		}
	}
	if !folded {
		t.Error("no journal was replaced by a snapshot in this test")
	}
}

// The disk fails for some steps, from each step on. Updates are rejected meanwhile, no acknowledged update is lost, and updates are
// accepted again once the disk works.
func TestStore_DiskFails(t *testing.T) {
	intact := newMemoryDisk()
	applyUpdates(t, newZoneOn(intact), 8)
	for at := 1; at <= intact.step; at++ {
		for _, span := range []int{1, 3, 10} {
			d := newMemoryDisk()
			d.tornFraction = 0.5
			d.fails = func(step int, _ string) bool { return step >= at && step < at+span }
			z := newZoneOn(d)
			answered, refused := applyUpdates(t, z, 0)
			if answered == -1 { // the first version could not be stored
				if answered, _ = applyUpdates(t, z, 0); answered == -1 {
					continue // the disk still fails
				}
			}
			for i := range 20 {
				g := grantAll()
				z.store.maxJournalBytes = 400
				if err := z.update(setAddrIn(t, "example.", "hooks.example.", fmt.Sprintf("127.0.1.%d", i+1)), &g); err != nil {
					refused = append(refused, i)
					continue
				}
				answered = i + 1
				if a := newZoneOn(d.crash(false, 0)).current.Load().Set("hooks.example.", dns.TypeA); len(a) != 1 || a[0].(*dns.A).A.String() != fmt.Sprintf("127.0.1.%d", answered) {
					t.Fatalf("failing at %d for %d: update %d was acknowledged, and after a crash the address is %v", at, span, answered, a)
				}
			}
			if answered != 20 {
				t.Fatalf("failing at %d for %d: the last accepted update is %d, not 20", at, span, answered)
			}
			if at < intact.step-3 && at > 12 && len(refused) == 0 && span == 10 {
				t.Errorf("failing at %d for %d: no update was rejected", at, span)
			}
			next := newZoneOn(d.crash(false, 0)).current.Load()
			if next.Zone == nil || next.Set("hooks.example.", dns.TypeA)[0].(*dns.A).A.String() != "127.0.1.20" {
				t.Fatalf("failing at %d for %d: an acknowledged update is lost", at, span)
			}
		}
	}
}

// Damage of durable files is detected: a damaged snapshot or journal header is an error, a damaged change in the journal a warning, and
// nothing is appended after it.
func TestStore_Damage(t *testing.T) {
	for _, name := range []string{"state/example.zone", "state/example.journal"} {
		intact := newMemoryDisk()
		z := newZoneOn(intact)
		g := grantAll()
		if err := z.replace(parseZone(t, zoneText), nil); err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			if err := z.update(setAddrIn(t, "example.", "hooks.example.", fmt.Sprintf("127.0.1.%d", i+1)), &g); err != nil {
				t.Fatal(err)
			}
		}
		for i := range intact.files[name].data {
			d := intact.crash(true, 1)
			d.files[name].data[i] ^= 0x20
			s, got, _, warn, err := openStore(d, "state", "example.")
			switch {
			case name == "state/example.zone" && (err == nil || got != nil), name == "state/example.journal" && i < headerSize && (err == nil || got != nil):
				t.Fatalf("%s, byte %d: the damage is not detected", name, i)
			case name == "state/example.journal" && i >= headerSize && (err != nil || warn == nil || s.broken == nil || got.Serial() > 12):
				t.Fatalf("%s, byte %d: the damage is not detected, or the journal is still writable: %v, %v, %v", name, i, got, warn, err)
			}
		}
	}
}

func TestFileName(t *testing.T) {
	seen := map[string]string{}
	for _, origin := range []string{".", "example.", "a.example.", "../../etc.", `a\.b.example.`, "a/b.", "root.", "%2f.", `\000.`, "x..y."} {
		name := fileName(origin)
		if strings.ContainsAny(name, "/\\\x00") || strings.Contains(name, "..") || name == "" {
			t.Errorf("%q gives %q", origin, name)
		}
		if other, ok := seen[name]; ok {
			t.Errorf("%q and %q give %q", origin, other, name)
		}
		seen[name] = origin
	}
}
