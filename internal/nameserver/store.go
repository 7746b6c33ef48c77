package nameserver

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/zone"
)

// store is the durable state of one zone, in three files of a folder:
//
//	NAME.zone     the snapshot: "SYZONE1\n", an epoch of 8 octets, the CRC-32C of both, and a difference from an empty zone
//	              (package zone)
//	NAME.journal  the changes since: "SYJOUR1\n", the same epoch, a CRC, and differences
//	NAME.base     of a zone that both a file and updates change: the zone in the file when it was last read or written, in
//	              the format of NAME.zone
//
// The snapshot and the base are replaced atomically. A journal of an earlier epoch than its snapshot is already contained in that snapshot:
// the process crashed between writing the two. A change that a crash truncated at the journal's end had not been acknowledged.
type store struct {
	disk            disk
	dir             string
	name            string // path of the files without the extension
	origin          string
	epoch           uint64
	journal         file
	size            int64 // of the journal, in bytes
	maxJournalBytes int64 // a larger journal is replaced by a new snapshot
	broken          error // why nothing may be appended to the journal, until a new snapshot is written
}

const (
	zoneMagic       = "SYZONE1\n"
	journalMagic    = "SYJOUR1\n"
	headerSize      = 20
	minJournalBytes = 1 << 20
)

var (
	// errDamaged reports a file of the store that is neither complete nor merely truncated.
	errDamaged = errors.New("the file is damaged")
	// errNoSnapshot and errSnapshotUnwritten are why nothing may be appended to the journal: it has no snapshot to continue.
	errNoSnapshot        = errors.New("there is no snapshot yet")
	errSnapshotUnwritten = errors.New("the snapshot is not written")
)

// fileName returns the name of a zone's files, without an extension: the origin with all unsafe characters escaped.
func fileName(origin string) string {
	if origin == "." {
		return "%2e"
	}
	var b strings.Builder
	for _, c := range []byte(strings.TrimSuffix(origin, ".")) {
		if c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.' {
			b.WriteByte(c)
		} else {
			fmt.Fprintf(&b, "%%%02x", c)
		}
	}
	return strings.ReplaceAll(b.String(), "..", ".%2e")
}

func newHeader(magic string, epoch uint64) []byte {
	h := binary.BigEndian.AppendUint64([]byte(magic), epoch)
	return binary.BigEndian.AppendUint32(h, crc32.Checksum(h, crc32.MakeTable(crc32.Castagnoli)))
}

// parseHeader returns the epoch of a header; false if the header is missing or damaged.
func parseHeader(magic string, raw []byte) (uint64, bool) {
	if len(raw) < headerSize {
		return 0, false
	}
	epoch := binary.BigEndian.Uint64(raw[len(magic):])
	return epoch, bytes.Equal(raw[:headerSize], newHeader(magic, epoch))
}

// openStore reads the state that an earlier process stored: the zone, nil if there is none, and the differences in the journal, for the
// history. A damaged file is an error without a zone, and stays unchanged until the zone is loaded again. warn reports a truncated journal.
func openStore(d disk, dir, origin string) (s *store, z *zone.Zone, deltas []*zone.Delta, warn, err error) {
	s = &store{disk: d, dir: dir, name: filepath.Join(dir, fileName(origin)), origin: origin, maxJournalBytes: minJournalBytes,
		broken: errNoSnapshot}
	z, s.epoch, err = s.read(s.name + ".zone")
	if err != nil || z == nil {
		return s, nil, nil, nil, err
	}
	raw, err := d.ReadFile(s.name + ".journal")
	if isNotExist(err) {
		return s, z, nil, nil, nil // the next change writes a new snapshot and journal
	}
	if err != nil {
		return s, nil, nil, nil, err
	}
	switch epoch, ok := parseHeader(journalMagic, raw); {
	case !ok || epoch > s.epoch:
		return s, nil, nil, nil, fmt.Errorf("%s: %w", s.name+".journal", errDamaged)
	case epoch < s.epoch:
		return s, z, nil, nil, nil // the next change writes a new snapshot and journal
	}
	at := headerSize
	for at < len(raw) {
		delta, n, err := zone.ReadDelta(raw[at:])
		if err != nil {
			warn = fmt.Errorf("%s: the last %d bytes are not a complete change and are ignored: %w", s.name+".journal", len(raw)-at, err)
			break
		}
		next, err := z.Apply(delta)
		if err != nil {
			return s, nil, nil, nil, fmt.Errorf("%s: at byte %d: %w: %w", s.name+".journal", at, errDamaged, err)
		}
		z, deltas = next, append(deltas, delta)
		at += n
	}
	if warn != nil { // nothing may be appended after a torn change
		return s, z, deltas, warn, nil
	}
	if s.journal, s.size, err = d.Append(s.name + ".journal"); err == nil {
		s.broken = nil
	}
	return s, z, deltas, warn, nil
}

// read reads a zone and its epoch from a file; a nil zone and no error if there is no such file.
func (s *store) read(name string) (*zone.Zone, uint64, error) {
	raw, err := s.disk.ReadFile(name)
	if isNotExist(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	epoch, ok := parseHeader(zoneMagic, raw)
	if !ok {
		return nil, 0, fmt.Errorf("%s: %w", name, errDamaged)
	}
	d, n, err := zone.ReadDelta(raw[headerSize:])
	if err != nil || headerSize+n != len(raw) {
		return nil, 0, fmt.Errorf("%s: %w: %w", name, errDamaged, errors.Join(err))
	}
	z, err := zone.New(s.origin, d.Added)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w: %w", name, errDamaged, err)
	}
	return z, epoch, nil
}

func encodeSnapshot(z *zone.Zone, epoch uint64) ([]byte, error) {
	return (&zone.Delta{To: z.Serial(), Added: z.List()}).Append(newHeader(zoneMagic, epoch))
}

// snapshot writes a snapshot of the zone and starts a new journal, both of the next epoch.
func (s *store) snapshot(z *zone.Zone) error {
	s.broken = errSnapshotUnwritten
	if s.journal != nil {
		s.journal.Close() // the new snapshot contains its changes; if the snapshot fails, the file stays unchanged
		s.journal = nil
	}
	raw, err := encodeSnapshot(z, s.epoch+1)
	if err != nil {
		return err
	}
	if err := writeAtomically(s.disk, s.dir, s.name+".zone", raw); err != nil {
		return err
	}
	s.epoch++
	if err := writeAtomically(s.disk, s.dir, s.name+".journal", newHeader(journalMagic, s.epoch)); err != nil {
		return err
	}
	if s.journal, s.size, err = s.disk.Append(s.name + ".journal"); err != nil {
		return err
	}
	s.broken, s.maxJournalBytes = nil, max(minJournalBytes, int64(len(raw)))
	return nil
}

// append makes a change durable; after is the zone after the change. The change must not be published or acknowledged before append has
// returned nil.
func (s *store) append(d *zone.Delta, after *zone.Zone) error {
	if s.broken != nil || s.size > s.maxJournalBytes {
		return s.snapshot(after)
	}
	raw, err := d.Append(nil)
	if err != nil {
		return err
	}
	_, err = s.journal.Write(raw)
	if err == nil {
		err = s.journal.Sync()
	}
	if err != nil {
		// It is unknown whether the change is on the disk. The journal is truncated to remove it; whether that succeeds or not, nothing
		// more is appended to this journal: the next change writes a snapshot, with another epoch.
		s.broken = err
		return errors.Join(err, s.journal.Truncate(s.size), s.journal.Sync())
	}
	s.size += int64(len(raw))
	return nil
}

// confirm records the time at which the primary confirmed the version, as the modification time of the snapshot.
func (s *store) confirm(now time.Time) error { return s.disk.Touch(s.name+".zone", now) }

// age returns the time since the version was last changed or confirmed.
func (s *store) age(now time.Time) time.Duration {
	var last time.Time
	for _, ending := range []string{".zone", ".journal"} {
		if t, err := s.disk.ModTime(s.name + ending); err == nil && t.After(last) {
			last = t
		}
	}
	return max(0, now.Sub(last))
}

// writeBase stores the zone in the zone's file as it was last read or written.
func (s *store) writeBase(z *zone.Zone) error {
	raw, err := encodeSnapshot(z, 0)
	if err != nil {
		return err
	}
	return writeAtomically(s.disk, s.dir, s.name+".base", raw)
}

func (s *store) readBase() (*zone.Zone, error) {
	z, _, err := s.read(s.name + ".base")
	return z, err
}

func (s *store) close() error {
	if s.journal == nil {
		return nil
	}
	return s.journal.Close()
}
