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

// Layout of a snapshot file: "SYKNOW" and a format of two bytes, 8 in all, then the length (4 bytes) and the CRC-32C checksum (4 bytes)
// of the rest of the file, both little-endian. The rest is a protobuf message Snapshot. The file is written to a temporary name and
// renamed over the old one, so a kill at any point leaves one of the two complete. It is not synced: the checksum detects data
// lost with a power failure, and a sender without a usable snapshot starts without one.
const (
	magic            = "SYKNOW"
	format           = 1
	headLen          = len(magic) + 2 + 4 + 4
	MinSnapshotBytes = 4 << 10 // smallest useful limit on the size of a snapshot file
	MaxSnapshotBytes = 64 << 20
)

// ErrNewer means that a snapshot was written by a newer version with a format unknown to this one.
var ErrNewer = errors.New("snapshot was written by a newer version")

// ErrClockSetBack means that the wall clock is before the time at which a snapshot was written.
var ErrClockSetBack = errors.New("the clock was set back")

// ErrDamaged means that a snapshot can't be decoded.
var ErrDamaged = errors.New("snapshot is damaged")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// urgency is the order in which facts are written if not all fit: those that avoid failed calls first.
var urgency = [kindCount]int{RetryAfter: 0, Health: 1, RateLimit: 2, Latency: 3, Concurrency: 4}

// Marshal encodes a snapshot of at most maxBytes, the most urgent facts first. now is on the clock of the facts, wall the wall
// clock. dropped is the number of facts that did not fit; raw is nil if the snapshot can't be encoded.
func Marshal(facts []Fact, now time.Duration, wall time.Time, maxBytes int) (raw []byte, dropped int) {
	facts = slices.Clone(facts)
	rank := func(f *Fact) int { // an outage is more urgent than a healthy receiver
		if f.Kind == Health && f.State == Healthy {
			return int(Concurrency)
		}
		return urgency[f.Kind]
	}
	slices.SortStableFunc(facts, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), cmp.Compare(b.ObservedAt, a.ObservedAt))
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
	if err != nil { // an id is not UTF-8; this can't happen, as ids come from the JSON of the endpoint list
		return nil, len(facts)
	}
	raw = append(append(make([]byte, 0, headLen+len(body)), magic...), format, 0)
	raw = binary.LittleEndian.AppendUint32(raw, uint32(len(body)))
	raw = binary.LittleEndian.AppendUint32(raw, crc32.Checksum(body, crcTable))
	return append(raw, body...), dropped
}

// varintLen returns the size of a length in protobuf's encoding, in bytes.
func varintLen(n int) int {
	size := 1
	for n >>= 7; n > 0; n >>= 7 {
		size++
	}
	return size
}

// Unmarshal decodes a snapshot. Its facts become the reader's own, aged by the wall-clock time since the snapshot was written.
// skipped is the number of facts that are unknown to this version or not valid. The error is ErrNewer, ErrDamaged, or
// ErrClockSetBack if that time is negative, as the age of the facts is unknown then.
func Unmarshal(raw []byte, now time.Duration, wall time.Time) (facts []Fact, skipped int, err error) {
	if len(raw) < headLen || !bytes.HasPrefix(raw, []byte(magic)) {
		return nil, 0, ErrDamaged
	}
	head := raw[len(magic):]
	if v := binary.LittleEndian.Uint16(head); v > format {
		return nil, 0, fmt.Errorf("%w: format %d, highest known format is %d", ErrNewer, v, format)
	}
	body := raw[headLen:]
	if binary.LittleEndian.Uint32(head[2:]) != uint32(len(body)) || binary.LittleEndian.Uint32(head[6:]) != crc32.Checksum(body, crcTable) {
		return nil, 0, ErrDamaged
	}
	var s pb.Snapshot
	if err := proto.Unmarshal(body, &s); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	elapsed := time.Duration(wall.UnixMicro()-int64(s.GetUnixUs())) * time.Microsecond
	if elapsed < 0 {
		return nil, 0, fmt.Errorf("snapshot was written %v in the future: %w", -elapsed, ErrClockSetBack)
	}
	for _, m := range s.GetFacts() {
		f, err := Decode(m, Source{}, now, elapsed)
		if err != nil || !f.valid(now) {
			skipped++
			continue
		}
		facts = append(facts, f)
	}
	return facts, skipped, nil
}

// Save replaces the snapshot at path, by writing path + ".new" and renaming it.
func Save(path string, raw []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		os.Remove(next) // a partial file must not take space that the journal needs
		return fmt.Errorf("knowledge: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("knowledge: %w", err)
	}
	return nil
}

// Load reads the snapshot at path. A missing file is no error and gives no facts. For other errors see Unmarshal.
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
