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

// managedZone is one zone with its store and its file. Changes are made one at a time, under mu; readers take the current version without
// a lock.
type managedZone struct {
	config     *ZoneConfig
	disk       disk
	log        *slog.Logger
	maxRecords int                            // records
	onChange   func(names []string, all bool) // called with each change, once it is durable

	current atomic.Pointer[version]

	mu           sync.Mutex
	history      zone.History
	store        *store // nil where the zone has no state but its file
	fileBase     *zone.Zone
	fileText     []byte // as the file was read or written last
	wroteFile    bool   // fileText was written by this process, without $INCLUDE
	fileBehind   bool   // updates are not written into the file yet
	lastFault    string // of the file, as it was logged last
	currentSince time.Time
}

// version is a version of a zone, as it is read without a lock.
type version struct {
	*zone.Zone // nil: the zone was never loaded
	expired    bool
}

// zoneOptions are what all zones of a service have in common, and where each tells of its changes.
type zoneOptions struct {
	disk       disk
	folder     string // of the stores
	maxRecords int
	log        *slog.Logger
	onChange   func(names []string, all bool) // of each change, once it is durable
}

// newManagedZone makes a zone with what an earlier process stored of it.
func newManagedZone(c *ZoneConfig, o zoneOptions) *managedZone {
	z := &managedZone{config: c, disk: o.disk, log: o.log.With("zone", c.Name), maxRecords: o.maxRecords, onChange: o.onChange,
		history: zone.History{MaxVersions: historyVersions, MaxRecords: historyRecords}, currentSince: time.Now()}
	z.current.Store(&version{})
	if c.isStored() {
		z.restore(o.folder)
	}
	return z
}

// restore opens the zone's store and takes up the version and the history in it.
func (z *managedZone) restore(folder string) {
	s, stored, deltas, warn, err := openStore(z.disk, folder, z.config.Name)
	z.store = s
	if warn != nil {
		z.log.Warn("the journal's truncated end, which was not answered, is left out", "err", warn)
	}
	if err != nil {
		z.log.Error("what an earlier process held can't be read; it is left as it is until the zone is had again", "err", err)
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
		z.log.Warn("the last known version of the zone's file is missing: the file counts as edited by hand", "err", err)
		z.fileBase = stored
	}
}

// publish makes a version the current one. The caller holds mu; the version is durable already, if the zone is stored.
func (z *managedZone) publish(next *zone.Zone, deltas []*zone.Delta, changed []string, all bool) {
	for _, d := range deltas {
		z.history.Add(d)
	}
	z.currentSince = time.Now()
	z.current.Store(&version{Zone: next})
	z.onChange(changed, all)
}

// update applies a signed update (RFC 2136). When it returns nil the change is durable. A *zone.Refusal tells why it is rejected.
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

// replace adopts a primary's version: by differences, or, without them, in full.
func (z *managedZone) replace(next *zone.Zone, deltas []*zone.Delta) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	held := z.current.Load()
	if next.Records() > z.maxRecords {
		return &TooManyRecordsError{Max: z.maxRecords, Zone: true}
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

// expire makes the zone fail all queries (RFC 1034 4.3.5) until a transfer is complete.
func (z *managedZone) expire() {
	z.mu.Lock()
	defer z.mu.Unlock()
	if held := z.current.Load(); held.Zone != nil && !held.expired {
		z.current.Store(&version{held.Zone, true})
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

// recordNames returns the names of records, each once, in their order.
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
