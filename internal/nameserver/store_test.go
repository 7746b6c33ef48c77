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

// memoryDisk is a disk that dies, or fails, at its n-th step. What was not synced may be lost in part or whole: cut says
// how much of it stays. A rename lasts once its folder is synced, and may last before.
type memoryDisk struct {
	mu      sync.Mutex
	files   map[string]*memoryFile
	lasting map[string]*memoryFile // by the folder as it was synced last
	step    int
	dies    int // at this step nothing happens any more; 0: never
	fails   func(step int, op string) bool
	torn    float64 // how much of a write that dies in it is written
}

type memoryFile struct {
	d      *memoryDisk
	data   []byte
	synced int // bytes that last
	time   time.Time
}

var errDead = errors.New("the machine is off")

var errFull = errors.New("no space left on device")

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{files: map[string]*memoryFile{}, lasting: map[string]*memoryFile{}}
}

func (d *memoryDisk) did(op string) error {
	d.step++
	if d.dies > 0 && d.step >= d.dies {
		return errDead
	}
	if d.fails != nil && d.fails(d.step, op) {
		return errFull
	}
	return nil
}

// crash is the disk that the next process finds. renames says whether those that were not synced lasted; keep is the part
// that stays of what was not synced.
func (d *memoryDisk) crash(renames bool, keep float64) *memoryDisk {
	next := newMemoryDisk()
	from := d.lasting
	if renames {
		from = d.files
	}
	for name, f := range from {
		n := f.synced + int(keep*float64(len(f.data)-f.synced))
		next.files[name] = &memoryFile{d: next, data: slices.Clone(f.data[:n]), synced: n, time: f.time}
		next.lasting[name] = next.files[name]
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
	if err := d.did("create"); err != nil {
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
	if err := d.did("rename"); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *memoryDisk) Exchange(a, b string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.did("exchange"); err != nil {
		return err
	}
	d.files[a], d.files[b] = d.files[b], d.files[a]
	return nil
}

func (d *memoryDisk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.did("syncdir"); err != nil {
		return err
	}
	d.lasting = map[string]*memoryFile{}
	for n, f := range d.files {
		d.lasting[n] = f
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
	if err := f.d.did("write"); err != nil {
		n := int(f.d.torn * float64(len(b)))
		if f.d.step == f.d.dies || errors.Is(err, errFull) {
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
	if err := f.d.did("sync"); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memoryFile) Truncate(n int64) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.did("truncate"); err != nil {
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

// moved is an update message, as read from the wire, that gives a name one address.
func moved(t testing.TB, origin, name, addr string) *dns.Msg {
	t.Helper()
	m := new(dns.Msg).SetUpdate(origin)
	rr, err := dns.NewRR(fmt.Sprintf("%s 60 IN A %s", name, addr))
	if err != nil {
		t.Fatal(err)
	}
	m.RemoveRRset([]dns.RR{rr})
	m.Insert([]dns.RR{rr})
	return wired(t, m)
}

func wired(t testing.TB, m *dns.Msg) *dns.Msg {
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

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func onDisk(d disk) *managedZone {
	c := &ZoneConfig{Name: "example.", Updates: []Update{{Key: "k.", Grant: everything()}}}
	return newManagedZone(c, zoneOptions{disk: d, folder: "state", maxRecords: 100_000, log: quiet(), onChange: func([]string, bool) {}})
}

func everything() zone.Grant { return zone.Grant{Names: []string{"example.", "*.example."}} }

// run makes a zone and updates it so often, with a journal that is folded now and then; it says which of the updates were
// answered, and which were told that they are refused.
func run(t *testing.T, z *managedZone, updates int) (answered int, refused []int) {
	t.Helper()
	g := everything()
	if z.current.Load().Zone == nil {
		first := parseZone(t, zoneText)
		if err := z.replace(first, nil); err != nil {
			return -1, nil
		}
	}
	for i := range updates {
		z.store.maxJournalBytes = 400 // so that it is folded every few updates
		if err := z.update(moved(t, "example.", "hooks.example.", fmt.Sprintf("127.0.1.%d", i+1)), &g); err != nil {
			refused = append(refused, i)
			continue
		}
		answered = i + 1
	}
	return answered, refused
}

// The machine dies at each step that the store takes, with each way in which what was not synced may be there, in part or
// not at all: the next process finds the last update that was answered, or one after it that was not, whole.
func TestStore_CrashAtEachStep(t *testing.T) {
	const updates = 12
	whole := newMemoryDisk()
	if answered, _ := run(t, onDisk(whole), updates); answered != updates {
		t.Fatalf("%d were answered without any trouble", answered)
	}
	folded := false
	for dies := 1; dies <= whole.step+1; dies++ {
		for _, torn := range []float64{0, 0.5, 0.99} {
			d := newMemoryDisk()
			d.dies, d.torn = dies, torn
			answered, _ := run(t, onDisk(d), updates)
			for _, renames := range []bool{false, true} {
				for _, keep := range []float64{0, 0.3, 0.9, 1} {
					at := fmt.Sprintf("dead at step %d, torn %v, renames %v, keep %v", dies, torn, renames, keep)
					next := d.crash(renames, keep)
					z := onDisk(next)
					held := z.current.Load()
					if held.Zone == nil {
						if answered > 0 {
							t.Fatalf("%s: the zone is gone", at)
						}
						continue
					}
					if held.Serial() > 12 && len(next.files["state/example.journal"].data) == headerSize {
						folded = true
					}
					last := int(held.Serial()) - 10
					if last < answered || last > answered+1 {
						t.Fatalf("%s: %d were answered, %d are there", at, answered, last)
					}
					if last > 0 {
						if a := held.Set("hooks.example.", dns.TypeA); len(a) != 1 || a[0].(*dns.A).A.String() != fmt.Sprintf("127.0.1.%d", last) {
							t.Fatalf("%s: serial %d with %v", at, held.Serial(), a)
						}
					}
					// It goes on, and what it answers then is there for the next one.
					if more, _ := run(t, z, 2); more != 2 {
						t.Fatalf("%s: it does not go on", at)
					}
					if z = onDisk(next.crash(false, 0)); z.current.Load().Set("hooks.example.", dns.TypeA)[0].(*dns.A).A.String() != "127.0.1.2" {
						t.Fatalf("%s: what was answered after is gone", at)
					}
				}
			}
		}
	}
	if !folded {
		t.Error("no journal was folded in this test")
	}
}

// The disk fails for a while at each step and from there on: updates are refused while it does, none that was answered is
// lost, and it goes on by itself when the disk is good again.
func TestStore_DiskFails(t *testing.T) {
	whole := newMemoryDisk()
	run(t, onDisk(whole), 8)
	for at := 1; at <= whole.step; at++ {
		for _, span := range []int{1, 3, 10} {
			d := newMemoryDisk()
			d.torn = 0.5
			d.fails = func(step int, _ string) bool { return step >= at && step < at+span }
			z := onDisk(d)
			answered, refused := run(t, z, 0)
			if answered == -1 { // not even the first version was kept
				if answered, _ = run(t, z, 0); answered == -1 {
					continue // it fails still
				}
			}
			for i := range 20 {
				g := everything()
				z.store.maxJournalBytes = 400
				if err := z.update(moved(t, "example.", "hooks.example.", fmt.Sprintf("127.0.1.%d", i+1)), &g); err != nil {
					refused = append(refused, i)
					continue
				}
				answered = i + 1
				if a := onDisk(d.crash(false, 0)).current.Load().Set("hooks.example.", dns.TypeA); len(a) != 1 || a[0].(*dns.A).A.String() != fmt.Sprintf("127.0.1.%d", answered) {
					t.Fatalf("failing at %d for %d: update %d was answered, and a crash then leaves %v", at, span, answered, a)
				}
			}
			if answered != 20 {
				t.Fatalf("failing at %d for %d: of 20 the last that was answered is %d", at, span, answered)
			}
			if at < whole.step-3 && at > 12 && len(refused) == 0 && span == 10 {
				t.Errorf("failing at %d for %d: nothing was refused", at, span)
			}
			next := onDisk(d.crash(false, 0)).current.Load()
			if next.Zone == nil || next.Set("hooks.example.", dns.TypeA)[0].(*dns.A).A.String() != "127.0.1.20" {
				t.Fatalf("failing at %d for %d: what was answered is lost", at, span)
			}
		}
	}
}

// Damage in what had lasted is found and said, not served.
func TestStore_Damage(t *testing.T) {
	for _, name := range []string{"state/example.zone", "state/example.journal"} {
		whole := newMemoryDisk()
		z := onDisk(whole)
		g := everything()
		if err := z.replace(parseZone(t, zoneText), nil); err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			if err := z.update(moved(t, "example.", "hooks.example.", fmt.Sprintf("127.0.1.%d", i+1)), &g); err != nil {
				t.Fatal(err)
			}
		}
		for i := range whole.files[name].data {
			d := whole.crash(true, 1)
			d.files[name].data[i] ^= 0x20
			s, got, _, warn, err := openStore(d, "state", "example.")
			switch {
			case name == "state/example.zone" && (err == nil || got != nil), name == "state/example.journal" && i < headerSize && (err == nil || got != nil):
				t.Fatalf("%s, byte %d: not noticed", name, i)
			case name == "state/example.journal" && i >= headerSize && (err != nil || warn == nil || s.broken == nil || got.Serial() > 12):
				t.Fatalf("%s, byte %d: not noticed, or written behind: %v, %v, %v", name, i, got, warn, err)
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
