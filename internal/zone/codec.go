package zone

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/miekg/dns"
)

// The encoding of a difference in the journal:
//
//	length of the payload, 4 octets; its CRC-32C, 4; the payload:
//	serial before, 4; serial after, 4; number of removed records, 4; number of added records, 4;
//	each record: its length, 4, and the record in wire format, uncompressed
//
// All numbers are big endian.
const (
	deltaHeaderSize = 8
	maxDeltaBytes   = 1 << 30
)

// ErrTruncated reports bytes that are not a complete difference: the write was interrupted, or the bytes are damaged.
var ErrTruncated = errors.New("incomplete or damaged difference")

func castagnoli() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) }

// Append appends the encoded difference to b.
func (d *Delta) Append(b []byte) ([]byte, error) {
	head := len(b)
	b = append(b, make([]byte, deltaHeaderSize)...)
	for _, n := range []uint32{d.From, d.To, uint32(len(d.Removed)), uint32(len(d.Added))} {
		b = binary.BigEndian.AppendUint32(b, n)
	}
	for _, side := range [][]dns.RR{d.Removed, d.Added} {
		for _, rr := range side {
			wire, err := packRR(rr)
			if err != nil {
				return b[:head], err
			}
			b = append(binary.BigEndian.AppendUint32(b, uint32(len(wire))), wire...)
		}
	}
	payload := b[head+deltaHeaderSize:]
	if len(payload) > maxDeltaBytes {
		return b[:head], dataError("a difference of %d bytes is too long", len(payload))
	}
	binary.BigEndian.PutUint32(b[head:], uint32(len(payload)))
	binary.BigEndian.PutUint32(b[head+4:], crc32.Checksum(payload, castagnoli()))
	return b, nil
}

// ReadDelta decodes the difference at the start of b and returns its length in bytes; ErrTruncated if it is incomplete or damaged.
func ReadDelta(b []byte) (*Delta, int, error) {
	if len(b) < deltaHeaderSize {
		return nil, 0, ErrTruncated
	}
	n := int(binary.BigEndian.Uint32(b))
	if n < 16 || n > maxDeltaBytes || n > len(b)-deltaHeaderSize {
		return nil, 0, ErrTruncated
	}
	payload := b[deltaHeaderSize : deltaHeaderSize+n]
	if crc32.Checksum(payload, castagnoli()) != binary.BigEndian.Uint32(b[4:]) {
		return nil, 0, ErrTruncated
	}
	d := &Delta{From: binary.BigEndian.Uint32(payload), To: binary.BigEndian.Uint32(payload[4:])}
	counts := [2]uint32{binary.BigEndian.Uint32(payload[8:]), binary.BigEndian.Uint32(payload[12:])}
	rest := payload[16:]
	for i, side := range []*[]dns.RR{&d.Removed, &d.Added} {
		for range counts[i] {
			if len(rest) < 4 {
				return nil, 0, fmt.Errorf("%w: records are missing", ErrTruncated)
			}
			n := int(binary.BigEndian.Uint32(rest))
			if rest = rest[4:]; n > len(rest) {
				return nil, 0, fmt.Errorf("%w: a record is truncated", ErrTruncated)
			}
			rr, at, err := dns.UnpackRR(rest[:n], 0)
			if err != nil || at != n {
				return nil, 0, fmt.Errorf("%w: a record can't be read: %s", ErrTruncated, fmt.Sprint(err))
			}
			*side = append(*side, rr)
			rest = rest[n:]
		}
	}
	if len(rest) > 0 {
		return nil, 0, fmt.Errorf("%w: trailing bytes after its records", ErrTruncated)
	}
	return d, deltaHeaderSize + n, nil
}
