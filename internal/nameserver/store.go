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
//	NAME.zone     the zone as it was: "SYZONE1\n", an epoch of 8 octets, the CRC-32C of both, and a difference from nothing
//	              (package zone)
//	NAME.journal  what has changed since: "SYJOUR1\n", the same epoch, a CRC, and differences
//	NAME.base     of a zone whose file is followed and updated: the zone that the file held when it was last read or
//	              written, in the form of NAME.zone
//
// The first and the last are replaced as a whole. A journal of an earlier epoch than its snapshot is part of that snapshot already: the
// crash came between the two. What a crash truncated at the journal's end had not been answered.
type store struct {
	disk            disk
	dir             string
	name            string // without its ending
	origin          string
	epoch           uint64
	journal         file
	size            int64 // of the journal
	maxJournalBytes int64 // a larger journal is folded into a new snapshot
	broken          error // the journal may not be added to: a new snapshot makes it good
}

const (
	zoneMagic       = "SYZONE1\n"
	journalMagic    = "SYJOUR1\n"
	headerSize      = 20
	minJournalBytes = 1 << 20
)

var (
	// errDamaged is a file of the store that is neither complete nor merely truncated.
	errDamaged = errors.New("the file is damaged")
	// errNoSnapshot and errSnapshotUnwritten are why nothing may be added to the journal: it has no snapshot to continue.
	errNoSnapshot        = errors.New("there is no snapshot yet")
	errSnapshotUnwritten = errors.New("the snapshot is not written")
)

// fileName makes a name for files of a zone's name.
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

// parseHeader reads a head; false if it is none, or damaged.
func parseHeader(magic string, raw []byte) (uint64, bool) {
	if len(raw) < headerSize {
		return 0, false
	}
	epoch := binary.BigEndian.Uint64(raw[len(magic):])
	return epoch, bytes.Equal(raw[:headerSize], newHeader(magic, epoch))
}

// openStore reads what an earlier process left: the zone, nil if there is none, and the differences in the journal, for the history. A
// damaged file is an error without a zone, and stays as it is until the zone is loaded anew; warn is what was truncated.
func openStore(d disk, dir, origin string) (s *store, z *zone.Zone, deltas []*zone.Delta, warn, err error) {
	s = &store{disk: d, dir: dir, name: filepath.Join(dir, fileName(origin)), origin: origin, maxJournalBytes: minJournalBytes,
		broken: errNoSnapshot}
	z, s.epoch, err = s.read(s.name + ".zone")
	if err != nil || z == nil {
		return s, nil, nil, nil, err
	}
	raw, err := d.ReadFile(s.name + ".journal")
	if isNotExist(err) {
		return s, z, nil, nil, nil // the next change writes both anew
	}
	if err != nil {
		return s, nil, nil, nil, err
	}
	switch epoch, ok := parseHeader(journalMagic, raw); {
	case !ok || epoch > s.epoch:
		return s, nil, nil, nil, fmt.Errorf("%s: %w", s.name+".journal", errDamaged)
	case epoch < s.epoch:
		return s, z, nil, nil, nil // the next change writes both anew
	}
	at := headerSize
	for at < len(raw) {
		delta, n, err := zone.ReadDelta(raw[at:])
		if err != nil {
			warn = fmt.Errorf("%s: %d bytes at its end are no whole change and are left out: %w", s.name+".journal", len(raw)-at, err)
			break
		}
		next, err := z.Apply(delta)
		if err != nil {
			return s, nil, nil, nil, fmt.Errorf("%s: at byte %d: %w: %w", s.name+".journal", at, errDamaged, err)
		}
		z, deltas = next, append(deltas, delta)
		at += n
	}
	if warn != nil { // nothing is written behind what is torn
		return s, z, deltas, warn, nil
	}
	if s.journal, s.size, err = d.Append(s.name + ".journal"); err == nil {
		s.broken = nil
	}
	return s, z, deltas, warn, nil
}

// read reads a zone from a file; nil and no error if there is no such file.
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

// snapshot writes the whole zone and starts a new journal of the next epoch.
func (s *store) snapshot(z *zone.Zone) error {
	s.broken = errSnapshotUnwritten
	if s.journal != nil {
		s.journal.Close() // what it held is in the snapshot, or stays as it is
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

// append makes a change durable; after is the zone with it. Only when it returns nil may anyone be told of the change.
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
		// Whether it is on the disk is not known. It is cut off; whether that succeeds or not, nothing more is added to
		// this journal: the next change writes a snapshot, with another epoch.
		s.broken = err
		return errors.Join(err, s.journal.Truncate(s.size), s.journal.Sync())
	}
	s.size += int64(len(raw))
	return nil
}

// confirm records when the primary last confirmed the version; age returns how long ago that was.
func (s *store) confirm(now time.Time) error { return s.disk.Touch(s.name+".zone", now) }

func (s *store) age(now time.Time) time.Duration {
	var last time.Time
	for _, ending := range []string{".zone", ".journal"} {
		if t, err := s.disk.ModTime(s.name + ending); err == nil && t.After(last) {
			last = t
		}
	}
	return max(0, now.Sub(last))
}

// writeBase and base are the zone that a followed file held when it was last read or written.
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
