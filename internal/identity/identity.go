// Package identity records the outcomes of events, so that a duplicate submission of an event gets the answer of the first. Table reads
// no clock and does no I/O: times are passed in, and a File, a ring of records, stores the entries on disk.
//
// The table is bounded, and it never evicts an outcome before its retention ends: an entry is reserved when an event is accepted,
// and no event is accepted without one. So a flood of new ids is rejected, and does not displace the outcomes of other events.
package identity

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"
)

// Key identifies an event: a hash of its source and id.
type Key [16]byte

// KeyOf is the key of a source and an id (CloudEvents 1.0.2, "id": producers must ensure that source + id is unique for each
// distinct event).
func KeyOf(source, id string) Key {
	var buf [256]byte
	b := binary.BigEndian.AppendUint64(buf[:0], uint64(len(source))) // without the length, "a" + "bc" and "ab" + "c" would have the same key
	b = append(append(b, source...), id...)
	sum := sha256.Sum256(b)
	return Key(sum[:])
}

// Digest is a hash of an event's content.
type Digest [8]byte

// DigestOf returns the digest of a content.
func DigestOf(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(sum[:])
}

// Outcome is how an event ended.
type Outcome uint8

// The outcomes, by their numbers in the file. An event that was rejected in the answer to its submission was never accepted and
// has no entry.
const (
	Delivered  Outcome = iota + 1
	Failed             // delivery was given up
	HandedBack         // returned to the producer, which may submit it again after a time, as a new attempt
)

// Entry is how and when an event ended.
type Entry struct {
	Key        Key
	Digest     Digest
	Outcome    Outcome
	At         time.Duration // clock time
	RetryAfter time.Duration // of HandedBack: wait after At before it may be submitted again; whole milliseconds, at most 4.6 hours
}

// RecordSize is the size of a record in bytes.
const RecordSize = 40

const maxRetryMS = 1<<24 - 1 // milliseconds

// AppendRecord appends an entry's record: key, digest, time, outcome and retry, checksum (CRC-32, IEEE), all big-endian.
func AppendRecord(b []byte, e Entry) []byte {
	begin := len(b)
	b = append(append(b, e.Key[:]...), e.Digest[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(e.At))
	retry := min(max(0, e.RetryAfter.Milliseconds()), maxRetryMS)
	b = binary.BigEndian.AppendUint32(b, uint32(e.Outcome)<<24|uint32(retry))
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[begin:]))
}

// ReadRecord decodes a record. It returns false for a record that is torn, damaged or was never written.
func ReadRecord(b []byte) (Entry, bool) {
	if len(b) < RecordSize || binary.BigEndian.Uint32(b[36:]) != crc32.ChecksumIEEE(b[:36]) {
		return Entry{}, false
	}
	last := binary.BigEndian.Uint32(b[32:])
	e := Entry{Key: Key(b[:16]), Digest: Digest(b[16:24]), At: time.Duration(binary.BigEndian.Uint64(b[24:])),
		Outcome: Outcome(last >> 24), RetryAfter: time.Duration(last&maxRetryMS) * time.Millisecond}
	return e, e.Outcome >= Delivered && e.Outcome <= HandedBack && e.At >= 0
}

// slot is an entry in the table, of 36 bytes.
type slot struct {
	key             Key
	digest          Digest
	at              int64
	outcomeAndRetry uint32 // outcome and retry as in the record
}

// entry returns the slot's entry.
func (s *slot) entry() Entry {
	return Entry{Key: s.key, Digest: s.digest, Outcome: Outcome(s.outcomeAndRetry >> 24), At: time.Duration(s.at),
		RetryAfter: time.Duration(s.outcomeAndRetry&maxRetryMS) * time.Millisecond}
}

// Table holds the outcomes of events, at most maxEntries, each for the retention. Like the file, it is a ring in the order in which
// events ended, so the oldest entry expires first. It is not safe for concurrent use.
type Table struct {
	maxEntries int
	retention  time.Duration
	slots      []slot   // the ring; grows up to maxEntries as it fills
	slotIndex  []uint32 // open addressing: index in slots + 1, 0 for none; a power of two, at most half full
	oldest     int      // index in slots of the oldest entry
	used       int      // slots in use, from oldest on
	reserved   int      // entries reserved for accepted events that have not ended
}

// NewTable returns an empty table for at most maxEntries, each kept for the retention.
func NewTable(maxEntries int, retention time.Duration) *Table {
	return &Table{maxEntries: max(1, maxEntries), retention: retention, slotIndex: make([]uint32, 64)}
}

// Len returns the number of entries.
func (t *Table) Len() int { return t.used }

// Reserved returns the number of entries reserved for events that have not ended.
func (t *Table) Reserved() int { return t.reserved }

// homePosition returns the position at which the search for a key in the index begins.
func (t *Table) homePosition(k Key) uint32 {
	return uint32(binary.BigEndian.Uint64(k[:8])) & uint32(len(t.slotIndex)-1)
}

// find returns a key's position in the index. If the key is absent, ok is false and at is the position to insert it.
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

// unindex deletes a position from the index and moves later ones into the gap where needed (Knuth, volume 3, 6.4, algorithm R).
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

// grow doubles the size of the index.
func (t *Table) grow() {
	t.slotIndex = make([]uint32, 2*len(t.slotIndex))
	for i := range t.used {
		index := (t.oldest + i) % t.maxEntries
		at, ok := t.find(t.slots[index].key)
		if !ok && t.isLive(index) {
			t.slotIndex[at] = uint32(index + 1)
		}
	}
}

// isLive reports whether a slot is current. A slot is superseded before its retention ends if its event was submitted and ended again.
func (t *Table) isLive(index int) bool { return t.slots[index].outcomeAndRetry != 0 }

// Expire drops the entries older than the retention.
func (t *Table) Expire(now time.Duration) {
	for t.used > 0 && time.Duration(t.slots[t.oldest].at)+t.retention <= now {
		t.dropOldest()
	}
}

// dropOldest drops the oldest slot.
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

// Lookup returns the entry of an event, if there is one.
func (t *Table) Lookup(now time.Duration, k Key) (Entry, bool) {
	t.Expire(now)
	at, ok := t.find(k)
	if !ok {
		return Entry{}, false
	}
	s := t.slots[t.slotIndex[at]-1]
	return s.entry(), true
}

// Reserve reserves an entry for an event that is about to be accepted. If the table is full, after is the shortest time until an
// entry may become free, 0 if it is unknown.
func (t *Table) Reserve(now time.Duration) (ok bool, after time.Duration) {
	t.Expire(now)
	if t.used+t.reserved < t.maxEntries {
		t.reserved++
		return true, 0
	}
	if t.used == 0 {
		return false, 0 // all entries are reserved by events that have not ended, at unknown times
	}
	return false, time.Duration(t.slots[t.oldest].at) + t.retention - now
}

// Release releases the reservation of an event that was not accepted after all.
func (t *Table) Release() { t.reserved = max(0, t.reserved-1) }

// Record adds the entry of an event with a reservation, and returns the index of its record in the file. Entries must be added in
// the order of their times; an earlier time is replaced by that of the last entry.
func (t *Table) Record(e Entry) (index int) {
	t.Release()
	return t.put(e)
}

// put adds an entry after the newest and returns its index.
func (t *Table) put(e Entry) int {
	if t.used == t.maxEntries { // only if more events were accepted than there are entries: the file had a higher bound
		t.dropOldest()
	}
	if t.used > 0 {
		e.At = max(e.At, time.Duration(t.slots[(t.oldest+t.used-1)%t.maxEntries].at))
	}
	if old, ok := t.find(e.Key); ok { // the event was handed back and submitted again: this entry supersedes the first
		t.slots[t.slotIndex[old]-1].outcomeAndRetry = 0
		t.unindex(old)
	}
	index := (t.oldest + t.used) % t.maxEntries
	s := slot{e.Key, e.Digest, int64(e.At), uint32(e.Outcome)<<24 | uint32(min(max(0, e.RetryAfter.Milliseconds()), maxRetryMS))}
	if index == len(t.slots) {
		t.slots = append(t.slots, s)
	} else {
		t.slots[index] = s
	}
	t.used++
	if 2*t.used >= len(t.slotIndex) {
		t.grow()
	}
	at, _ := t.find(e.Key)
	t.slotIndex[at] = uint32(index + 1)
	return index
}

// Load fills an empty table from a file's records. It skips records that have expired or can't be read. Of a file with more than
// maxEntries entries it loads the newest. The entries get new indices, so the file must be rewritten.
func (t *Table) Load(now time.Duration, raw []byte) {
	var all []Entry
	for ; len(raw) >= RecordSize; raw = raw[RecordSize:] {
		e, ok := ReadRecord(raw)
		if !ok || e.At+t.retention <= now {
			continue
		}
		e.At = min(e.At, now) // the clock was ahead; without this the entry would be kept for longer than the retention
		all = append(all, e)
	}
	// The ring may start anywhere in the file. Only entries of equal time at the file's end and beginning can be out of order.
	slices.SortStableFunc(all, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	for _, e := range all[max(0, len(all)-t.maxEntries):] {
		t.put(e)
	}
}

// ForEach calls f with each entry and its index, the oldest first.
func (t *Table) ForEach(f func(index int, e Entry)) {
	for i := range t.used {
		index := (t.oldest + i) % t.maxEntries
		s := t.slots[index]
		if t.isLive(index) {
			f(index, s.entry())
		}
	}
}
