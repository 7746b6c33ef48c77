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
	maxFileBytes    = 256 << 20
	writeAttempts   = 3
)

// managedZone is one zone as it is held. Changes come one at a time, under mu; who reads takes the version that is there.
type managedZone struct {
	config     *ZoneConfig
	disk       disk
	log        *slog.Logger
	maxRecords int                            // records
	onChange   func(names []string, all bool) // of each change, after it lasts

	current atomic.Pointer[version]

	mu           sync.Mutex
	history      zone.History
	store        *store // nil where the file is all there is
	fileBase     *zone.Zone
	fileText     []byte // of the file, as it was last read or written
	wroteFile    bool   // text is ours: it has no $INCLUDE
	fileBehind   bool   // the file is to be written: there are updates that it has not
	lastFault    string // of the file, as it was told last
	currentSince time.Time
}

// version is what is read without a lock.
type version struct {
	*zone.Zone // nil: the zone was never had
	expired    bool
}

func newManagedZone(c *ZoneConfig, d disk, folder string, most int, log *slog.Logger, told func([]string, bool)) *managedZone {
	z := &managedZone{config: c, disk: d, log: log.With("zone", c.Name), maxRecords: most, onChange: told,
		history: zone.History{MaxVersions: historyVersions, MaxRecords: historyRecords}, currentSince: time.Now()}
	z.current.Store(&version{})
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
	z.current.Store(&version{Zone: held})
	if c.File != "" {
		if z.fileBase, err = s.readBase(); err != nil || z.fileBase == nil {
			z.log.Warn("what the file held last is not known: the file is taken for edited by hand", "err", err)
			z.fileBase = held
		}
	}
	return z
}

// keeps reports whether a zone has a state of its own: updates, or a primary's versions.
func (c *ZoneConfig) keeps() bool { return c.Primary != "" || len(c.Updates) > 0 }

// publish makes a version the one that is served. The caller holds mu; the version lasts already, where it is to.
func (z *managedZone) publish(next *zone.Zone, deltas []*zone.Delta, changed []string, all bool) {
	for _, d := range deltas {
		z.history.Add(d)
	}
	z.currentSince = time.Now()
	z.current.Store(&version{Zone: next})
	z.onChange(changed, all)
}

// update applies a signed update (RFC 2136). When it returns without an error the change lasts.
func (z *managedZone) update(m *dns.Msg, grant *zone.Grant) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	held := z.current.Load()
	if held.Zone == nil || z.config.Primary != "" {
		return &zone.Refusal{Rcode: dns.RcodeServerFailure, Reason: "the zone is not held"}
	}
	after, changed, err := held.Update(m, grant.Allows)
	if err != nil || !changed {
		return err
	}
	if after.Records() > z.maxRecords {
		return &zone.Refusal{Rcode: dns.RcodeRefused, Reason: fmt.Sprintf("the zone would have more than %d records", z.maxRecords)}
	}
	touched := recordNames(m.Ns)
	delta := zone.DiffNames(held.Zone, after, touched)
	if err := z.change(delta, after, touched); err != nil {
		z.log.Error("an update can't be journalled and is refused", "err", err)
		return &zone.Refusal{Rcode: dns.RcodeServerFailure, Reason: "the update can't be journalled"}
	}
	z.fileBehind = z.config.File != ""
	return nil
}

// change makes a change last and then publishes it. The caller holds mu.
func (z *managedZone) change(d *zone.Delta, next *zone.Zone, changed []string) error {
	if err := z.store.append(d, next); err != nil {
		return err
	}
	z.publish(next, []*zone.Delta{d}, changed, false)
	return nil
}

// applyEdit is change for a hand edit that was put on what is held.
func (z *managedZone) applyEdit(held, next *zone.Zone) error {
	d := zone.Diff(held, next)
	if err := z.change(d, next, recordNames(d.Removed, d.Added)); err != nil {
		return fmt.Errorf("the edit can't be journalled: %w", err)
	}
	return nil
}

// replace takes a primary's version: by differences, or whole.
func (z *managedZone) replace(next *zone.Zone, deltas []*zone.Delta) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	held := z.current.Load()
	if next.Records() > z.maxRecords {
		return fmt.Errorf("the zone has more than %d records", z.maxRecords)
	}
	if held.Zone == next {
		z.current.Store(&version{Zone: next})
		if held.expired {
			z.onChange(nil, true)
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
			changed, all = recordNames(d.Removed, d.Added), false
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
			changed = append(changed, recordNames(d.Removed, d.Added)...)
		}
	}
	z.publish(next, deltas, changed, all || held.expired)
	return nil
}

// expire makes the zone answer no more.
func (z *managedZone) expire() {
	z.mu.Lock()
	defer z.mu.Unlock()
	if held := z.current.Load(); held.Zone != nil && !held.expired {
		z.current.Store(&version{held.Zone, true})
		z.onChange(nil, true)
	}
}

// changesSince gives what changed since a serial, for a transfer of the zone as it is now.
func (z *managedZone) changesSince(serial uint32) (now *version, deltas []*zone.Delta, ok bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	deltas, ok = z.history.Since(serial)
	return z.current.Load(), deltas, ok
}

// ---- The followed file

var errBeingWritten = errors.New("it does not end with a line end: it is still being written")

// parseFile reads a text that stood in the zone's file.
func (z *managedZone) parseFile(text []byte) (*zone.Zone, error) {
	switch {
	case len(text) > maxFileBytes:
		return nil, fmt.Errorf("%s: longer than %d bytes", z.config.File, maxFileBytes)
	case len(bytes.TrimSpace(text)) == 0:
		return nil, fmt.Errorf("%s: it is empty", z.config.File)
	case text[len(text)-1] != '\n':
		return nil, fmt.Errorf("%s: %w", z.config.File, errBeingWritten)
	}
	root, err := os.OpenRoot(filepath.Dir(z.config.File))
	if err != nil {
		return nil, err
	}
	defer root.Close()
	var files fs.FS = root.FS()
	return zone.Parse(bytes.NewReader(text), z.config.Name, filepath.Base(z.config.File), files, z.maxRecords)
}

// loadFile reads the file and takes what is new in it. What can't be taken changes nothing, and is told once.
func (z *managedZone) loadFile() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	err := z.loadFileLocked()
	switch {
	case err != nil && err.Error() != z.lastFault:
		z.lastFault = err.Error()
		if held := z.current.Load(); held.Zone != nil {
			z.log.Warn("the zone's file is not taken; what is held stays", "err", err, "serial", held.Serial())
		} else {
			z.log.Error("the zone's file can't be taken, and nothing is held", "err", err)
		}
	case err == nil && z.lastFault != "":
		z.lastFault = ""
		z.log.Info("the zone's file is sound again", "serial", z.current.Load().Serial())
	}
	return err
}

func (z *managedZone) loadFileLocked() error {
	text, err := z.disk.ReadFile(z.config.File)
	if err != nil {
		return err
	}
	return z.acceptFile(text)
}

// acceptFile takes a text that stands in the file.
func (z *managedZone) acceptFile(text []byte) error {
	if z.wroteFile && bytes.Equal(text, z.fileText) {
		return nil
	}
	read, err := z.parseFile(text)
	if err != nil {
		return err
	}
	held := z.current.Load()
	if held.Zone == nil || z.store == nil {
		return z.acceptWholeFile(held, read, text)
	}
	// A file that is updated, too: what was edited is put on what is held.
	next, changed, err := zone.Rebase(z.fileBase, read, held.Zone)
	if err != nil {
		return fmt.Errorf("%s: it does not go together with the updates since: %w", z.config.File, err)
	}
	edited := zone.Diff(z.fileBase, read)
	if changed {
		if err := z.applyEdit(held.Zone, next); err != nil {
			return err
		}
		z.log.Info("the zone's file was edited by hand", "records", edited.Records(), "serial", next.Serial())
	}
	if edited.Records() > 0 {
		if err := z.store.writeBase(read); err != nil {
			return fmt.Errorf("what the file holds can't be noted: %w", err)
		}
		z.fileBase = read
	}
	z.fileText, z.wroteFile = text, false
	z.fileBehind = zone.Diff(read, z.current.Load().Zone).Records() > 0
	return nil
}

// acceptWholeFile is take for a first version, and for a zone that only its file changes.
func (z *managedZone) acceptWholeFile(held *version, read *zone.Zone, text []byte) error {
	next := read
	var deltas []*zone.Delta
	var changed []string
	if held.Zone != nil {
		var what zone.FileChange
		switch next, what = zone.NextVersion(held.Zone, read); what {
		case zone.Same:
			return nil
		case zone.Backwards:
			return fmt.Errorf("%s: its serial %d is not newer than %d", z.config.File, read.Serial(), held.Serial())
		case zone.SerialReused:
			z.log.Warn("the zone's file has other data under the same serial: it is taken as the next one", "serial", next.Serial())
		}
		d := zone.Diff(held.Zone, next)
		deltas, changed = []*zone.Delta{d}, recordNames(d.Removed, d.Added)
	}
	if z.store != nil {
		if err := z.store.snapshot(next); err != nil {
			return fmt.Errorf("the zone can't be kept: %w", err)
		}
		if err := z.store.writeBase(read); err != nil {
			return fmt.Errorf("what the file holds can't be noted: %w", err)
		}
		z.fileBase = read
	}
	z.fileText, z.wroteFile = text, false
	z.publish(next, deltas, changed, held.Zone == nil)
	z.log.Info("the zone's file is taken", "serial", next.Serial(), "records", next.Records())
	return nil
}

// writeFile writes updates back into the file. What stood there is kept beside it; if that was edited by hand since it was
// read, the edit is taken first, also one that came in the very moment: the two files change places in one step, and
// what was there is looked at after.
func (z *managedZone) writeFile() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	for range writeAttempts {
		if !z.fileBehind {
			return nil
		}
		if err := z.loadFileLocked(); err != nil && !isNotExist(err) {
			return fmt.Errorf("the file is not written over what can't be read: %w", err)
		}
		held := z.current.Load()
		var text bytes.Buffer
		if err := held.Write(&text); err != nil {
			return err
		}
		before, dir := z.config.File+".before", filepath.Dir(z.config.File)
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
		if info, err := os.Stat(z.config.File); err == nil { // it stays readable for who could read it
			if err := os.Chmod(before, info.Mode().Perm()); err != nil {
				return err
			}
		}
		known := z.fileText
		err = z.disk.Exchange(before, z.config.File)
		if isNotExist(err) { // the file was taken away: it is there again
			known, err = nil, z.disk.Rename(before, z.config.File)
		}
		if err != nil {
			return err
		}
		if err := z.disk.SyncDir(dir); err != nil {
			return err
		}
		if err := z.store.writeBase(held.Zone); err != nil {
			return err
		}
		base := z.fileBase
		z.fileBase, z.fileText, z.wroteFile, z.fileBehind = held.Zone, bytes.Clone(text.Bytes()), true, false
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
			if err := z.applyEdit(held.Zone, next); err != nil {
				return err
			}
			z.fileBehind = true
		}
	}
	return errors.New("the file is edited as often as it is written; it is written later")
}

func (z *managedZone) isFileBehind() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.fileBehind
}

func (z *managedZone) close() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.store == nil {
		return nil
	}
	return z.store.close()
}
