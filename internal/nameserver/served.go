package nameserver

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

const (
	historyVersions = 1000
	historyRecords  = 100_000
	fileMost        = 256 << 20
	raceTries       = 3
)

// served is one zone as it is held. Changes come one at a time, under mu; who reads takes the version that is there.
type served struct {
	c    *ZoneConfig
	disk disk
	log  *slog.Logger
	most int                            // records
	told func(names []string, all bool) // of each change, after it lasts

	now atomic.Pointer[version]

	mu      sync.Mutex
	history zone.History
	store   *store // nil where the file is all there is
	base    *zone.Zone
	text    []byte // of the file, as it was last read or written
	wrote   bool   // text is ours: it has no $INCLUDE
	behind  bool   // the file is to be written: there are updates that it has not
	fault   string // of the file, as it was told last
	since   time.Time
}

// version is what is read without a lock.
type version struct {
	*zone.Zone // nil: the zone was never had
	expired    bool
}

func newServed(c *ZoneConfig, d disk, folder string, most int, log *slog.Logger, told func([]string, bool)) *served {
	z := &served{c: c, disk: d, log: log.With("zone", c.Name), most: most, told: told,
		history: zone.History{MaxVersions: historyVersions, MaxRecords: historyRecords}, since: time.Now()}
	z.now.Store(&version{})
	if !c.keeps() {
		return z
	}
	s, held, deltas, warn, err := openStore(d, folder, c.Name)
	z.store = s
	if warn != nil {
		z.log.Warn("what was not answered is left out", "err", warn)
	}
	if err != nil {
		z.log.Error("what an earlier process held can't be read; it is left as it is until the zone is had again", "err", err)
	}
	if held == nil {
		return z
	}
	for _, delta := range deltas {
		z.history.Add(delta)
	}
	z.now.Store(&version{Zone: held})
	if c.File != "" {
		if z.base, err = s.base(); err != nil || z.base == nil {
			z.log.Warn("what the file held last is not known: the file is taken for edited by hand", "err", err)
			z.base = held
		}
	}
	return z
}

// keeps reports whether a zone has a state of its own: updates, or a primary's versions.
func (c *ZoneConfig) keeps() bool { return c.Primary != "" || len(c.Updates) > 0 }

// publish makes a version the one that is served. The caller holds mu; the version lasts already, where it is to.
func (z *served) publish(next *zone.Zone, deltas []*zone.Delta, changed []string, all bool) {
	for _, d := range deltas {
		z.history.Add(d)
	}
	z.since = time.Now()
	z.now.Store(&version{Zone: next})
	z.told(changed, all)
}

// update applies a signed update (RFC 2136). When it returns without an error the change lasts.
func (z *served) update(m *dns.Msg, grant *zone.Grant) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	held := z.now.Load()
	if held.Zone == nil || z.c.Primary != "" {
		return &zone.Refusal{Rcode: dns.RcodeServerFailure, Why: "the zone is not held"}
	}
	after, changed, err := held.Update(m, grant.Allows)
	if err != nil || !changed {
		return err
	}
	if after.Records() > z.most {
		return &zone.Refusal{Rcode: dns.RcodeRefused, Why: fmt.Sprintf("the zone would have more than %d records", z.most)}
	}
	touched := names(m.Ns)
	delta := zone.DiffNames(held.Zone, after, touched)
	if err := z.change(delta, after, touched); err != nil {
		z.log.Error("an update can't be journalled and is refused", "err", err)
		return &zone.Refusal{Rcode: dns.RcodeServerFailure, Why: "the update can't be journalled"}
	}
	z.behind = z.c.File != ""
	return nil
}

// change makes a change last and then publishes it. The caller holds mu.
func (z *served) change(d *zone.Delta, next *zone.Zone, changed []string) error {
	if err := z.store.append(d, next); err != nil {
		return err
	}
	z.publish(next, []*zone.Delta{d}, changed, false)
	return nil
}

// edited is change for a hand edit that was put on what is held.
func (z *served) edited(held, next *zone.Zone) error {
	d := zone.Diff(held, next)
	if err := z.change(d, next, names(d.Removed, d.Added)); err != nil {
		return fmt.Errorf("the edit can't be journalled: %w", err)
	}
	return nil
}

// replace takes a primary's version: by differences, or whole.
func (z *served) replace(next *zone.Zone, deltas []*zone.Delta) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	held := z.now.Load()
	if next.Records() > z.most {
		return fmt.Errorf("the zone has more than %d records", z.most)
	}
	if held.Zone == next {
		z.now.Store(&version{Zone: next})
		if held.expired {
			z.told(nil, true)
		}
		return nil
	}
	all := len(deltas) == 0
	var changed []string
	if all {
		if err := z.store.snapshot(next); err != nil {
			return err
		}
		if held.Zone != nil {
			d := zone.Diff(held.Zone, next)
			if zone.NewerSerial(d.To, d.From) {
				deltas = []*zone.Delta{d}
			}
			changed, all = names(d.Removed, d.Added), false
		}
	} else {
		at := held.Zone
		for _, d := range deltas {
			var err error
			if at, err = at.Apply(d); err != nil {
				return err
			}
			if err := z.store.append(d, at); err != nil {
				return err
			}
			changed = append(changed, names(d.Removed, d.Added)...)
		}
	}
	z.publish(next, deltas, changed, all || held.expired)
	return nil
}

// expire makes the zone answer no more.
func (z *served) expire() {
	z.mu.Lock()
	defer z.mu.Unlock()
	if held := z.now.Load(); held.Zone != nil && !held.expired {
		z.now.Store(&version{held.Zone, true})
		z.told(nil, true)
	}
}

// changes gives what changed since a serial, for a transfer of the zone as it is now.
func (z *served) changes(serial uint32) (now *version, deltas []*zone.Delta, ok bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	deltas, ok = z.history.Since(serial)
	return z.now.Load(), deltas, ok
}

// ---- The followed file

var errBeingWritten = errors.New("it does not end with a line end: it is still being written")

// parseFile reads a text that stood in the zone's file.
func (z *served) parseFile(text []byte) (*zone.Zone, error) {
	switch {
	case len(text) > fileMost:
		return nil, fmt.Errorf("%s: longer than %d bytes", z.c.File, fileMost)
	case len(bytes.TrimSpace(text)) == 0:
		return nil, fmt.Errorf("%s: it is empty", z.c.File)
	case text[len(text)-1] != '\n':
		return nil, fmt.Errorf("%s: %w", z.c.File, errBeingWritten)
	}
	root, err := os.OpenRoot(filepath.Dir(z.c.File))
	if err != nil {
		return nil, err
	}
	defer root.Close()
	var files fs.FS = root.FS()
	return zone.Parse(bytes.NewReader(text), z.c.Name, filepath.Base(z.c.File), files, z.most)
}

// load reads the file and takes what is new in it. What can't be taken changes nothing, and is told once.
func (z *served) load() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	err := z.loadLocked()
	switch {
	case err != nil && err.Error() != z.fault:
		z.fault = err.Error()
		if held := z.now.Load(); held.Zone != nil {
			z.log.Warn("the zone's file is not taken; what is held stays", "err", err, "serial", held.Serial())
		} else {
			z.log.Error("the zone's file can't be taken, and nothing is held", "err", err)
		}
	case err == nil && z.fault != "":
		z.fault = ""
		z.log.Info("the zone's file is sound again", "serial", z.now.Load().Serial())
	}
	return err
}

func (z *served) loadLocked() error {
	text, err := z.disk.ReadFile(z.c.File)
	if err != nil {
		return err
	}
	return z.take(text)
}

// take takes a text that stands in the file.
func (z *served) take(text []byte) error {
	if z.wrote && bytes.Equal(text, z.text) {
		return nil
	}
	read, err := z.parseFile(text)
	if err != nil {
		return err
	}
	held := z.now.Load()
	if held.Zone == nil || z.store == nil {
		return z.takePlain(held, read, text)
	}
	// A file that is updated, too: what was edited is put on what is held.
	next, changed, err := zone.Rebase(z.base, read, held.Zone)
	if err != nil {
		return fmt.Errorf("%s: it does not go together with the updates since: %w", z.c.File, err)
	}
	edited := zone.Diff(z.base, read)
	if changed {
		if err := z.edited(held.Zone, next); err != nil {
			return err
		}
		z.log.Info("the zone's file was edited by hand", "records", edited.Records(), "serial", next.Serial())
	}
	if edited.Records() > 0 {
		if err := z.store.keepBase(read); err != nil {
			return fmt.Errorf("what the file holds can't be noted: %w", err)
		}
		z.base = read
	}
	z.text, z.wrote = text, false
	z.behind = zone.Diff(read, z.now.Load().Zone).Records() > 0
	return nil
}

// takePlain is take for a first version, and for a zone that only its file changes.
func (z *served) takePlain(held *version, read *zone.Zone, text []byte) error {
	next := read
	var deltas []*zone.Delta
	var changed []string
	if held.Zone != nil {
		var what zone.Changed
		switch next, what = zone.Next(held.Zone, read); what {
		case zone.Same:
			return nil
		case zone.Backwards:
			return fmt.Errorf("%s: its serial %d is not newer than %d", z.c.File, read.Serial(), held.Serial())
		case zone.Forgotten:
			z.log.Warn("the zone's file has other data under the same serial: it is taken as the next one", "serial", next.Serial())
		}
		d := zone.Diff(held.Zone, next)
		deltas, changed = []*zone.Delta{d}, names(d.Removed, d.Added)
	}
	if z.store != nil {
		if err := z.store.snapshot(next); err != nil {
			return fmt.Errorf("the zone can't be kept: %w", err)
		}
		if err := z.store.keepBase(read); err != nil {
			return fmt.Errorf("what the file holds can't be noted: %w", err)
		}
		z.base = read
	}
	z.text, z.wrote = text, false
	z.publish(next, deltas, changed, held.Zone == nil)
	z.log.Info("the zone's file is taken", "serial", next.Serial(), "records", next.Records())
	return nil
}

// write writes updates back into the file. What stood there is kept beside it; if that was edited by hand since it was
// read, the edit is taken first, also one that came in the very moment: the two files change places in one step, and
// what was there is looked at after.
func (z *served) write() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	for range raceTries {
		if !z.behind {
			return nil
		}
		if err := z.loadLocked(); err != nil && !missing(err) {
			return fmt.Errorf("the file is not written over what can't be read: %w", err)
		}
		held := z.now.Load()
		var text bytes.Buffer
		if err := held.Write(&text); err != nil {
			return err
		}
		before, dir := z.c.File+".before", filepath.Dir(z.c.File)
		f, err := z.disk.Create(before)
		if err != nil {
			return err
		}
		if _, err = f.Write(text.Bytes()); err == nil {
			err = f.Sync()
		}
		if err = errors.Join(err, f.Close()); err != nil {
			return err
		}
		if info, err := os.Stat(z.c.File); err == nil { // it stays readable for who could read it
			if err := os.Chmod(before, info.Mode().Perm()); err != nil {
				return err
			}
		}
		known := z.text
		err = z.disk.Exchange(before, z.c.File)
		if missing(err) { // the file was taken away: it is there again
			known, err = nil, z.disk.Rename(before, z.c.File)
		}
		if err != nil {
			return err
		}
		if err := z.disk.SyncDir(dir); err != nil {
			return err
		}
		if err := z.store.keepBase(held.Zone); err != nil {
			return err
		}
		base := z.base
		z.base, z.text, z.wrote, z.behind = held.Zone, bytes.Clone(text.Bytes()), true, false
		if known == nil {
			return nil
		}
		was, err := z.disk.ReadFile(before)
		if err != nil || bytes.Equal(was, known) {
			return err
		}
		z.log.Warn("the zone's file was edited in the moment that it was written: the edit is taken")
		read, err := z.parseFile(was)
		if err != nil {
			return fmt.Errorf("what was edited stands in %s: %w", before, err)
		}
		next, changed, err := zone.Rebase(base, read, held.Zone)
		if err != nil {
			return fmt.Errorf("what was edited stands in %s: %w", before, err)
		}
		if changed {
			if err := z.edited(held.Zone, next); err != nil {
				return err
			}
			z.behind = true
		}
	}
	return errors.New("the file is edited as often as it is written; it is written later")
}

func (z *served) isBehind() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.behind
}

func (z *served) close() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.store == nil {
		return nil
	}
	return z.store.close()
}
