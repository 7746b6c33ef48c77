package knowledge

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/knowledge/v1"
)

// A snapshot's file: 8 bytes "SYKNOW" and a format of two bytes, 4 bytes of length and 4 of checksum (CRC-32C), both little-
// endian and of what follows, which is a protobuf message Snapshot. It is written beside the old one and renamed over it, so a
// kill at any point leaves one of the two whole. It is not synced: what a machine loses with its power is noticed by the
// checksum, and a sender that finds no snapshot starts as one without.
const (
	magic            = "SYKNOW"
	format           = 1
	headLen          = len(magic) + 2 + 4 + 4
	MinSnapshotBytes = 4 << 10 // of a snapshot's file that is of any use
	MaxSnapshotBytes = 64 << 20
)

// ErrNewer is that a snapshot was written by a version that this one does not know.
var ErrNewer = errors.New("the snapshot is of a newer version")

// ErrClockSetBack is that the wall clock is before the time at which a snapshot was written.
var ErrClockSetBack = errors.New("the clock was set back")

// ErrDamaged is that a snapshot can't be read.
var ErrDamaged = errors.New("the snapshot is damaged")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// urgency is the order in which facts are kept where not all find room: what spares failed calls first.
var urgency = [kindCount]int{RetryAfter: 0, Health: 1, RateLimit: 2, Latency: 3, Concurrency: 4}

// Marshal writes a snapshot of at most so many bytes, the facts that count most first. now is the facts' clock, wall the time
// of day. dropped is how many facts found no room; raw is nil if none can be written.
func Marshal(facts []Fact, now time.Duration, wall time.Time, maxBytes int) (raw []byte, dropped int) {
	facts = slices.Clone(facts)
	worse := func(f *Fact) int { // an outage before one that serves
		if f.Kind == Health && f.State == Healthy {
			return int(Concurrency)
		}
		return urgency[f.Kind]
	}
	slices.SortStableFunc(facts, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(worse(&a), worse(&b)), cmp.Compare(b.ObservedAt, a.ObservedAt))
	})
	s := &pb.Snapshot{Format: format, UnixUs: uint64(max(0, wall.UnixMicro()))}
	size := headLen + 32
	for i := range facts {
		m := Encode(&facts[i], now)
		n := proto.Size(m)
		if size += n + 1 + varintLen(n); size > maxBytes {
			dropped = len(facts) - i
			break
		}
		s.Facts = append(s.Facts, m)
	}
	body, err := proto.Marshal(s)
	if err != nil { // an id that is no UTF-8: the list's ids come from JSON, so there is none
		return nil, len(facts)
	}
	raw = append(append(make([]byte, 0, headLen+len(body)), magic...), format, 0)
	raw = binary.LittleEndian.AppendUint32(raw, uint32(len(body)))
	raw = binary.LittleEndian.AppendUint32(raw, crc32.Checksum(body, crcTable))
	return append(raw, body...), dropped
}

// varintLen is the bytes of a length in protobuf's encoding.
func varintLen(n int) int {
	size := 1
	for n >>= 7; n > 0; n >>= 7 {
		size++
	}
	return size
}

// Unmarshal reads a snapshot. Its facts are the reader's own, older by the time between the two wall clocks. skipped is how
// many facts are not known or not valid here. The error is ErrNewer, ErrDamaged, or ErrClockSetBack where that time runs
// backwards, as nothing can be said of their age then.
func Unmarshal(raw []byte, now time.Duration, wall time.Time) (facts []Fact, skipped int, err error) {
	if len(raw) < headLen || !bytes.HasPrefix(raw, []byte(magic)) {
		return nil, 0, ErrDamaged
	}
	head := raw[len(magic):]
	if v := binary.LittleEndian.Uint16(head); v > format {
		return nil, 0, fmt.Errorf("%w: format %d, known is %d", ErrNewer, v, format)
	}
	body := raw[headLen:]
	if binary.LittleEndian.Uint32(head[2:]) != uint32(len(body)) || binary.LittleEndian.Uint32(head[6:]) != crc32.Checksum(body, crcTable) {
		return nil, 0, ErrDamaged
	}
	var s pb.Snapshot
	if err := proto.Unmarshal(body, &s); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	later := time.Duration(wall.UnixMicro()-int64(s.GetUnixUs())) * time.Microsecond
	if later < 0 {
		return nil, 0, fmt.Errorf("the snapshot is from %v ahead: %w", -later, ErrClockSetBack)
	}
	for _, m := range s.GetFacts() {
		f, err := Decode(m, Source{}, now, later)
		if err != nil || !f.valid(now) {
			skipped++
			continue
		}
		facts = append(facts, f)
	}
	return facts, skipped, nil
}

// Save puts a snapshot in place of the one at path, by way of path + ".new".
func Save(path string, raw []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		os.Remove(next) // what did not fit is not to take the room of the journal
		return fmt.Errorf("knowledge: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("knowledge: %w", err)
	}
	return nil
}

// Load reads the snapshot at path; that there is none is no error. For its errors see Unmarshal.
func Load(path string, now time.Duration, wall time.Time) ([]Fact, int, error) {
	f, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("knowledge: %w", err)
	}
	if f.Size() > MaxSnapshotBytes {
		return nil, 0, fmt.Errorf("knowledge: %s: %w: %d bytes", path, ErrDamaged, f.Size())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, 0, fmt.Errorf("knowledge: %w", err)
	}
	facts, skipped, err := Unmarshal(raw, now, wall)
	if err != nil {
		return nil, 0, fmt.Errorf("knowledge: %s: %w", path, err)
	}
	return facts, skipped, nil
}
