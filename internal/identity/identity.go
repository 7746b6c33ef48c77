// Package identity remembers how events ended, so that one which comes again gets the answer of its first submission. Table knows
// no clock and does no I/O: times are passed in, and entries go to a File, a ring of records on the disk.
//
// The table is bounded, and what it was promised to remember it does not forget before its time: room is reserved when an event is
// accepted, and without room nothing is accepted. So a flood of new ids costs those who send it their answers and nobody else
// theirs.
package identity

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"
)

// Key names an event: a hash of its source and id.
type Key [16]byte

// KeyOf is the key of a source and an id (CloudEvents 1.0.2, "id": producers must ensure that source + id is unique for each
// distinct event).
func KeyOf(source, id string) Key {
	var room [256]byte
	b := binary.BigEndian.AppendUint64(room[:0], uint64(len(source))) // or "a" + "bc" were "ab" + "c"
	b = append(append(b, source...), id...)
	sum := sha256.Sum256(b)
	return Key(sum[:])
}

// Digest stands for an event's content.
type Digest [8]byte

// DigestOf is the digest of a content.
func DigestOf(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(sum[:])
}

// Outcome is how an event ended.
type Outcome uint8

// The outcomes, by their numbers in the file. An event that was refused in the answer to its submission was never accepted and
// is not remembered.
const (
	Delivered  Outcome = iota + 1
	Failed             // given up
	HandedBack         // to be handed in again after a time, as a new try
)

// Entry is how and when an event ended.
type Entry struct {
	Key        Key
	Digest     Digest
	Outcome    Outcome
	At         time.Duration // clock time
	RetryAfter time.Duration // of HandedBack: so long after At it may come again; whole milliseconds, 4.6 hours at most
}

// RecordSize is the bytes of one record.
const RecordSize = 40

const maxRetryMS = 1<<24 - 1 // milliseconds

// AppendRecord adds an entry's record: key, digest, time, outcome and retry, checksum (CRC-32, IEEE), all big-endian.
func AppendRecord(b []byte, e Entry) []byte {
	begin := len(b)
	b = append(append(b, e.Key[:]...), e.Digest[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(e.At))
	retry := min(max(0, e.RetryAfter.Milliseconds()), maxRetryMS)
	b = binary.BigEndian.AppendUint32(b, uint32(e.Outcome)<<24|uint32(retry))
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[begin:]))
}

// ReadRecord reads a record; false for one that is torn, damaged or was never written.
func ReadRecord(b []byte) (Entry, bool) {
	if len(b) < RecordSize || binary.BigEndian.Uint32(b[36:]) != crc32.ChecksumIEEE(b[:36]) {
		return Entry{}, false
	}
	last := binary.BigEndian.Uint32(b[32:])
	e := Entry{Key: Key(b[:16]), Digest: Digest(b[16:24]), At: time.Duration(binary.BigEndian.Uint64(b[24:])),
		Outcome: Outcome(last >> 24), RetryAfter: time.Duration(last&maxRetryMS) * time.Millisecond}
	return e, e.Outcome >= Delivered && e.Outcome <= HandedBack && e.At >= 0
}

// slot is an entry in the table; 36 bytes.
type slot struct {
	key             Key
	digest          Digest
	at              int64
	outcomeAndRetry uint32 // outcome and retry as in the record
}

// entry is the slot's entry.
func (s *slot) entry() Entry {
	return Entry{Key: s.key, Digest: s.digest, Outcome: Outcome(s.outcomeAndRetry >> 24), At: time.Duration(s.at),
		RetryAfter: time.Duration(s.outcomeAndRetry&maxRetryMS) * time.Millisecond}
}

// Table holds how events ended, at most so many and each for a time. Slots are a ring in the order of ends, as the file is:
// the oldest expires first. It is not for concurrent use.
type Table struct {
	maxEntries int
	retention  time.Duration
	slots      []slot   // the ring; grows up to maxEntries as it fills
	slotIndex  []uint32 // open addressing: index in slots + 1, 0 for none; a power of two, at most half full
	oldest     int      // index in slots of the oldest
	used       int
	reserved   int // by events that are held
}

// NewTable makes an empty table for at most maxEntries, each remembered for the retention.
func NewTable(maxEntries int, retention time.Duration) *Table {
	return &Table{maxEntries: max(1, maxEntries), retention: retention, slotIndex: make([]uint32, 64)}
}

// Len is how many entries are remembered.
func (t *Table) Len() int { return t.used }

// Reserved is for how many events that are held room is reserved.
func (t *Table) Reserved() int { return t.reserved }

// homePosition is where a key goes in the index, if nothing is there.
func (t *Table) homePosition(k Key) uint32 {
	return uint32(binary.BigEndian.Uint64(k[:8])) & uint32(len(t.slotIndex)-1)
}

// find finds a key's position in the index; ok is whether it is there, else it is where it would go.
func (t *Table) find(k Key) (at uint32, ok bool) {
	for at = t.homePosition(k); ; at = (at + 1) & uint32(len(t.slotIndex)-1) {
		switch s := t.slotIndex[at]; {
		case s == 0:
			return at, false
		case t.slots[s-1].key == k:
			return at, true
		}
	}
}

// unindex takes a position out of the index and moves up what stood behind it (Knuth, volume 3, 6.4, algorithm R).
func (t *Table) unindex(at uint32) {
	mask := uint32(len(t.slotIndex) - 1)
	for next := (at + 1) & mask; t.slotIndex[next] != 0; next = (next + 1) & mask {
		home := t.homePosition(t.slots[t.slotIndex[next]-1].key)
		if (next-home)&mask >= (next-at)&mask {
			t.slotIndex[at] = t.slotIndex[next]
			at = next
		}
	}
	t.slotIndex[at] = 0
}

// grow doubles the index.
func (t *Table) grow() {
	t.slotIndex = make([]uint32, 2*len(t.slotIndex))
	for i := range t.used {
		place := (t.oldest + i) % t.maxEntries
		at, ok := t.find(t.slots[place].key)
		if !ok && t.isLive(place) {
			t.slotIndex[at] = uint32(place + 1)
		}
	}
}

// isLive reports whether a slot still counts: one of which the key came again has lapsed before its time.
func (t *Table) isLive(place int) bool { return t.slots[place].outcomeAndRetry != 0 }

// Expire forgets what is older than the retention.
func (t *Table) Expire(now time.Duration) {
	for t.used > 0 && time.Duration(t.slots[t.oldest].at)+t.retention <= now {
		t.dropOldest()
	}
}

// dropOldest forgets the oldest slot.
func (t *Table) dropOldest() {
	if t.isLive(t.oldest) {
		if at, ok := t.find(t.slots[t.oldest].key); ok && t.slotIndex[at] == uint32(t.oldest+1) {
			t.unindex(at)
		}
	}
	t.slots[t.oldest] = slot{}
	t.oldest = (t.oldest + 1) % t.maxEntries
	t.used--
}

// Lookup finds how an event ended, if that is remembered.
func (t *Table) Lookup(now time.Duration, k Key) (Entry, bool) {
	t.Expire(now)
	at, ok := t.find(k)
	if !ok {
		return Entry{}, false
	}
	s := t.slots[t.slotIndex[at]-1]
	return s.entry(), true
}

// Reserve keeps room for the end of an event that is about to be accepted. Without room it says after how long there will be
// some at the earliest, 0 if nobody knows.
func (t *Table) Reserve(now time.Duration) (ok bool, after time.Duration) {
	t.Expire(now)
	if t.used+t.reserved < t.maxEntries {
		t.reserved++
		return true, 0
	}
	if t.used == 0 {
		return false, 0 // all of it is held: nobody knows
	}
	return false, time.Duration(t.slots[t.oldest].at) + t.retention - now
}

// Release gives back room that was reserved, of an event that was not accepted after all.
func (t *Table) Release() { t.reserved = max(0, t.reserved-1) }

// Record takes in the end of an event for which room was reserved, and says at which place of the file its record stands. Ends
// come in the order of their times; one that comes earlier counts as of the last.
func (t *Table) Record(e Entry) (place int) {
	t.Release()
	return t.put(e)
}

// put adds an entry behind the newest and gives its place.
func (t *Table) put(e Entry) int {
	if t.used == t.maxEntries { // only if more was held than there was room: a file made for more
		t.dropOldest()
	}
	if t.used > 0 {
		e.At = max(e.At, time.Duration(t.slots[(t.oldest+t.used-1)%t.maxEntries].at))
	}
	if old, ok := t.find(e.Key); ok { // it was handed back and came again: the first end counts no more
		t.slots[t.slotIndex[old]-1].outcomeAndRetry = 0
		t.unindex(old)
	}
	place := (t.oldest + t.used) % t.maxEntries
	s := slot{e.Key, e.Digest, int64(e.At), uint32(e.Outcome)<<24 | uint32(min(max(0, e.RetryAfter.Milliseconds()), maxRetryMS))}
	if place == len(t.slots) {
		t.slots = append(t.slots, s)
	} else {
		t.slots[place] = s
	}
	t.used++
	if 2*t.used >= len(t.slotIndex) {
		t.grow()
	}
	at, _ := t.find(e.Key)
	t.slotIndex[at] = uint32(place + 1)
	return place
}

// Load fills an empty table from a file's records; what has expired by now, or can't be read, is left out. Of a file with more
// entries than there is room for, the newest are taken. Places are given anew, so that the file is to be written anew.
func (t *Table) Load(now time.Duration, raw []byte) {
	var all []Entry
	for ; len(raw) >= RecordSize; raw = raw[RecordSize:] {
		e, ok := ReadRecord(raw)
		if !ok || e.At+t.retention <= now {
			continue
		}
		e.At = min(e.At, now) // a clock that was ahead: it is not remembered for longer than it should
		all = append(all, e)
	}
	// The ring begins anywhere in the file. Of equal times the file's order may be off at its seam, and there only.
	slices.SortStableFunc(all, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	for _, e := range all[max(0, len(all)-t.maxEntries):] {
		t.put(e)
	}
}

// ForEach calls f with all that is remembered, the oldest first, and the place of each.
func (t *Table) ForEach(f func(place int, e Entry)) {
	for i := range t.used {
		place := (t.oldest + i) % t.maxEntries
		s := t.slots[place]
		if t.isLive(place) {
			f(place, s.entry())
		}
	}
}
