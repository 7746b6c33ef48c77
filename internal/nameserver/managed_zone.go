package nameserver

import (
	"fmt"
	"log/slog"
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

// managedZone is one zone with its store and its file. Changes are serialized by mu; readers load the current version without a lock.
type managedZone struct {
	config     *ZoneConfig
	disk       disk
	log        *slog.Logger
	maxRecords int                            // of the zone
	onChange   func(names []string, all bool) // called after each change, once the change is durable

	current atomic.Pointer[version]

	mu           sync.Mutex
	history      zone.History
	store        *store // nil if the zone has no state except its file
	fileBase     *zone.Zone
	fileText     []byte // text of the file when it was last read or written
	wroteFile    bool   // fileText was written by this process, without $INCLUDE
	fileBehind   bool   // there are updates that are not written into the file yet
	lastFault    string // the error of the file that was logged last
	currentSince time.Time
}

// version is an immutable version of a zone that is read without a lock.
type version struct {
	*zone.Zone // nil: the zone was never loaded
	expired    bool
}

// zoneOptions are the options that all zones of a service have in common, and the callback of each zone.
type zoneOptions struct {
	disk       disk
	folder     string // folder of the stores
	maxRecords int
	log        *slog.Logger
	onChange   func(names []string, all bool) // called after each change, once the change is durable
}

// newManagedZone returns a zone with the state that an earlier process stored.
func newManagedZone(c *ZoneConfig, o zoneOptions) *managedZone {
	z := &managedZone{config: c, disk: o.disk, log: o.log.With("zone", c.Name), maxRecords: o.maxRecords, onChange: o.onChange,
		history: zone.History{MaxVersions: historyVersions, MaxRecords: historyRecords}, currentSince: time.Now()}
	z.current.Store(&version{})
	if c.isStored() {
		z.restore(o.folder)
	}
	return z
}

// restore opens the zone's store and loads the version and the history from it.
func (z *managedZone) restore(folder string) {
	s, stored, deltas, warn, err := openStore(z.disk, folder, z.config.Name)
	z.store = s
	if warn != nil {
		z.log.Warn("the journal's truncated end is ignored; no change in it was acknowledged", "err", warn)
	}
	if err != nil {
		z.log.Error("the stored zone can't be read; its files are left unchanged until the zone is loaded again", "err", err)
	}
	if stored == nil {
		return
	}
	for _, delta := range deltas {
		z.history.Add(delta)
	}
	z.current.Store(&version{Zone: stored})
	if z.config.File == "" {
		return
	}
	if z.fileBase, err = s.readBase(); err != nil || z.fileBase == nil {
		z.log.Warn("the stored base version of the zone's file is missing; the file counts as manually edited", "err", err)
		z.fileBase = stored
	}
}

// publish makes a version the current one. The caller holds mu. If the zone has a store, the version must be durable already.
func (z *managedZone) publish(next *zone.Zone, deltas []*zone.Delta, changed []string, all bool) {
	for _, d := range deltas {
		z.history.Add(d)
	}
	z.currentSince = time.Now()
	z.current.Store(&version{Zone: next})
	z.onChange(changed, all)
}

// update applies a signed update (RFC 2136). When it returns nil the change is durable. The error is a *zone.Refusal if the update is
// rejected.
func (z *managedZone) update(m *dns.Msg, grant *zone.Grant) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	current := z.current.Load()
	if current.Zone == nil || z.config.Primary != "" {
		return &zone.Refusal{Rcode: dns.RcodeServerFailure, Reason: "the zone is not loaded, or is a secondary zone"}
	}
	after, changed, err := current.Update(m, grant.Allows)
	if err != nil || !changed {
		return err
	}
	if after.Records() > z.maxRecords {
		return &zone.Refusal{Rcode: dns.RcodeRefused, Reason: fmt.Sprintf("the zone would have more than %d records", z.maxRecords)}
	}
	touched := recordNames(m.Ns)
	delta := zone.DiffNames(current.Zone, after, touched)
	if err := z.change(delta, after, touched); err != nil {
		z.log.Error("an update can't be journaled and is rejected", "err", err)
		return &zone.Refusal{Rcode: dns.RcodeServerFailure, Reason: "the update can't be journalled"}
	}
	z.fileBehind = z.config.File != ""
	return nil
}

// change makes a change durable and then publishes it. The caller holds mu.
func (z *managedZone) change(d *zone.Delta, next *zone.Zone, changed []string) error {
	if err := z.store.append(d, next); err != nil {
		return err
	}
	z.publish(next, []*zone.Delta{d}, changed, false)
	return nil
}

// replace adopts a version of the primary: it journals the differences or, without them, writes a snapshot.
func (z *managedZone) replace(next *zone.Zone, deltas []*zone.Delta) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	current := z.current.Load()
	if next.Records() > z.maxRecords {
		return &TooManyRecordsError{Max: z.maxRecords, Zone: true}
	}
	if current.Zone == next {
		z.current.Store(&version{Zone: next})
		if current.expired {
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
		if current.Zone != nil {
			d := zone.Diff(current.Zone, next)
			if zone.NewerSerial(d.To, d.From) {
				deltas = []*zone.Delta{d}
			}
			changed, all = recordNames(d.Removed, d.Added), false
		}
	} else {
		at := current.Zone
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
	z.publish(next, deltas, changed, all || current.expired)
	return nil
}

// expire makes the zone fail all queries (RFC 1034 4.3.5) until a transfer is complete or the primary confirms the version.
func (z *managedZone) expire() {
	z.mu.Lock()
	defer z.mu.Unlock()
	if current := z.current.Load(); current.Zone != nil && !current.expired {
		z.current.Store(&version{current.Zone, true})
		z.onChange(nil, true)
	}
}

// changesSince returns the current version and the differences to it since a serial; ok is false if the history does not reach back to it.
func (z *managedZone) changesSince(serial uint32) (now *version, deltas []*zone.Delta, ok bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	deltas, ok = z.history.Since(serial)
	return z.current.Load(), deltas, ok
}

func (z *managedZone) close() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.store == nil {
		return nil
	}
	return z.store.close()
}

// recordNames returns the distinct names of records, in the order of their first records.
func recordNames(rrs ...[]dns.RR) []string {
	var out []string
	seen := map[string]bool{}
	for _, list := range rrs {
		for _, rr := range list {
			if n := zone.Name(rr.Header().Name); !seen[n] {
				seen[n] = true
				out = append(out, n)
			}
		}
	}
	return out
}
