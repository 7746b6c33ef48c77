package undelivered

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"

	"dockshift.example/dockshift/internal/boltfile"
)

// The store is one bbolt file. Buckets:
//
//	meta     version (8 bytes), bytes (8: of all entries' values)
//	entries  key → value, JSON. The key is the entry's name: 8 bytes of the time it ended, 8 of its message's id hashed
//	messages id of a message → key
//	members  member, 0, key → nothing; and by the same scheme reasons, classes, destinations, and, for the usual
//	         question, pairs: member, 0, reason, 0, key
//	keys     member, 0, idempotency key, 0, key → nothing
//	totals   member → entries and bytes (8 each)
//	dropped  member, 0, reason → how many were dropped (8)
//
// A transaction is all there or not at all after a kill, so the indexes never disagree with the entries.
var (
	bucketMeta         = []byte("meta")
	bucketEntries      = []byte("entries")
	bucketMessages     = []byte("messages")
	bucketMembers      = []byte("members")
	bucketReasons      = []byte("reasons")
	bucketClasses      = []byte("classes")
	bucketDestinations = []byte("destinations")
	bucketPairs        = []byte("pairs")
	bucketTotals       = []byte("totals")
	bucketDropped      = []byte("dropped")
	bucketKeys         = []byte("keys")

	keyVersion = []byte("version")
	keyBytes   = []byte("bytes")
	keyResent  = []byte("resent")
)

// version is that of the file's layout.
const version = 1

// State is what an entry waits for.
type State string

// The states.
const (
	Kept    State = "kept"
	Settled State = "settled" // by hand
	// Resending is one that was handed to the sender again, or is about to be. Until it has ended it is the journal's.
	Resending State = "resending"
)

// Entry is one message that was not delivered.
type Entry struct {
	Message     string          `json:"message"` // its id
	Member      string          `json:"member"`
	Class       string          `json:"class"`
	Effect      Effect          `json:"effect"`
	Ordered     bool            `json:"ordered,omitempty"`
	Destination uint32          `json:"destination"`
	Key         string          `json:"key,omitempty"`
	Order       string          `json:"order,omitempty"`
	Event       json.RawMessage `json:"event,omitempty"` // attributes, of one that came as an event
	Body        []byte          `json:"body,omitempty"`
	How         string          `json:"how"`
	Answered    bool            `json:"answered,omitempty"` // it ended in the answer to its hand-in
	Reason      Reason          `json:"reason"`
	Taken       int64           `json:"taken"` // Unix nanoseconds
	Ended       int64           `json:"ended"`
	Deadline    int64           `json:"deadline"`
	Attempts    []Attempt       `json:"attempts,omitempty"`

	State State  `json:"state"`
	Lives int    `json:"lives,omitempty"` // times that it went again
	Hand  bool   `json:"hand,omitempty"`  // an operator wants it to go again
	Began int64  `json:"began,omitempty"` // of one that went again: when it ended first; Unix nanoseconds
	By    string `json:"by,omitempty"`    // who settled it
	Why   string `json:"why,omitempty"`   // and why
	When  int64  `json:"when,omitempty"`  // Unix nanoseconds
}

// History is what is asked of an entry.
func (e *Entry) History() History {
	return History{How: e.How, Answered: e.Answered, Taken: e.Taken, Ended: e.Ended, Deadline: e.Deadline, Effect: e.Effect, Ordered: e.Ordered, Key: e.Key, Attempts: e.Attempts}
}

// Key names an entry in the store.
type Key [16]byte

// String is the name as people write it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey reads a name.
func ParseKey(text string) (Key, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Key{}) {
		return Key{}, fmt.Errorf("%q is no name of an entry: 32 hexadecimal digits", text)
	}
	return Key(raw), nil
}

// KeyOf is the name of a message's entry.
func KeyOf(message string, ended int64) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:], uint64(ended))
	sum := sha256.Sum256([]byte(message))
	copy(k[8:], sum[:8])
	return k
}

// Limits bound a store.
type Limits struct {
	Bytes int64         // of all entries; at least a megabyte
	Age   time.Duration // an entry is dropped so long after it ended
}

// Store keeps entries. It is safe for several goroutines.
type Store struct {
	db      *bolt.DB
	limits  Limits
	expires bool // Expire is called now and then: Keep need not look for what is too old
}

// ErrNewer is that a file was written by a later version.
var ErrNewer = errors.New("the file was written by a newer version")

// Open opens a store's file, or makes it. A damaged one, one of a newer version, or one that another process holds is
// an error, and is left as it is.
func Open(path string, limits Limits) (*Store, error) { return open(path, limits, false) }

// OpenCopy opens a file to look at it only.
func OpenCopy(path string) (*Store, error) { return open(path, Limits{}, true) }

func open(path string, limits Limits, readOnly bool) (s *Store, err error) {
	if readOnly {
		if _, err := os.Stat(path); err != nil {
			return nil, fmt.Errorf("undelivered: %w", err)
		}
	}
	db, err := boltfile.Open(path, readOnly)
	if err != nil {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	s = &Store{db: db, limits: limits}
	if err := s.begin(readOnly); err != nil {
		db.Close()
		return nil, fmt.Errorf("undelivered: %s: %w", path, err)
	}
	return s, nil
}

func (s *Store) begin(readOnly bool) error {
	if readOnly {
		return s.view(func(tx *bolt.Tx) error { return checkVersion(tx) })
	}
	return s.update(func(tx *bolt.Tx) error {
		if tx.Bucket(bucketMeta) == nil {
			for _, name := range [][]byte{bucketMeta, bucketEntries, bucketMessages, bucketMembers, bucketReasons, bucketClasses, bucketDestinations, bucketPairs, bucketTotals, bucketDropped, bucketKeys} {
				if _, err := tx.CreateBucketIfNotExists(name); err != nil {
					return err
				}
			}
			return tx.Bucket(bucketMeta).Put(keyVersion, boltfile.Number(version))
		}
		if err := checkVersion(tx); err != nil || tx.Bucket(bucketKeys) != nil {
			return err
		}
		keys, err := tx.CreateBucket(bucketKeys) // a file from before there was this index
		if err != nil {
			return err
		}
		return tx.Bucket(bucketEntries).ForEach(func(k, raw []byte) error {
			var e Entry
			if err := json.Unmarshal(raw, &e); err != nil || e.Key == "" {
				return err
			}
			return keys.Put(append(join(e.Member, e.Key), k...), nil)
		})
	})
}

func checkVersion(tx *bolt.Tx) error {
	meta := tx.Bucket(bucketMeta)
	if meta == nil {
		return errors.New("it is no store of undelivered messages")
	}
	switch v := boltfile.Value(meta.Get(keyVersion)); {
	case v > version:
		return fmt.Errorf("%w: %d, and this one knows %d", ErrNewer, v, version)
	case v != version:
		return fmt.Errorf("it says version %d", v)
	}
	return nil
}

// Close closes the file.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// update and view run a transaction; damage is an error.
func (s *Store) update(f func(*bolt.Tx) error) error {
	return boltfile.Guarded(func() error { return s.db.Update(f) })
}

func (s *Store) view(f func(*bolt.Tx) error) error {
	return boltfile.Guarded(func() error { return s.db.View(f) })
}

// join makes an index's key.
func join(parts ...string) []byte {
	var b []byte
	for _, p := range parts {
		b = append(append(b, p...), 0)
	}
	return b
}

// indexes calls f with each bucket that names an entry, and what stands before its key there.
func indexes(tx *bolt.Tx, e *Entry, f func(b *bolt.Bucket, prefix []byte) error) error {
	for _, i := range []struct {
		bucket []byte
		prefix []byte
	}{
		{bucketMembers, join(e.Member)}, {bucketReasons, join(string(e.Reason))}, {bucketClasses, join(e.Class)},
		{bucketDestinations, join(fmt.Sprint(e.Destination))}, {bucketPairs, join(e.Member, string(e.Reason))},
	} {
		if err := f(tx.Bucket(i.bucket), i.prefix); err != nil {
			return err
		}
	}
	if b := tx.Bucket(bucketKeys); b != nil && e.Key != "" {
		return f(b, join(e.Member, e.Key))
	}
	return nil
}

// Keep puts entries into the store, in one transaction; one that is there already stays as it is. What has to go for
// them, or is too old by now, is dropped and counted. now is Unix nanoseconds.
func (s *Store) Keep(entries []Entry, now int64) error {
	err := s.update(func(tx *bolt.Tx) error {
		for i := range entries {
			if err := s.put(tx, &entries[i]); err != nil {
				return err
			}
		}
		return s.retain(tx, now)
	})
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

func (s *Store) put(tx *bolt.Tx, e *Entry) error {
	if was := tx.Bucket(bucketMessages).Get([]byte(e.Message)); was != nil {
		return s.ended(tx, bytes.Clone(was), e) // or offered again after a kill
	}
	if e.Lives > 0 { // it went again, and was dropped or delivered meanwhile
		return nil
	}
	if e.State == "" {
		e.State = Kept
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("message %s: %w", e.Message, err)
	}
	return insert(tx, e, raw)
}

// ended books how a message ended that went again: delivered it is gone, else it is kept as it is now. An end that is known
// already changes nothing.
func (s *Store) ended(tx *bolt.Tx, key []byte, e *Entry) error {
	var was Entry
	if err := json.Unmarshal(tx.Bucket(bucketEntries).Get(key), &was); err != nil {
		return fmt.Errorf("entry %x: %w", key, err)
	}
	if was.State != Resending || e.Lives != was.Lives+1 {
		return nil
	}
	if _, err := remove(tx, key); err != nil {
		return err
	}
	if e.How == Delivered {
		b := tx.Bucket(bucketMeta)
		return b.Put(keyResent, boltfile.Number(boltfile.Value(b.Get(keyResent))+1))
	}
	e.Began = was.First()
	e.State = Kept
	raw, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("message %s: %w", e.Message, err)
	}
	return insert(tx, e, raw)
}

// insert puts an entry and its indexes in.
func insert(tx *bolt.Tx, e *Entry, raw []byte) error {
	key := KeyOf(e.Message, e.Ended)
	if err := tx.Bucket(bucketEntries).Put(key[:], raw); err != nil {
		return err
	}
	if err := tx.Bucket(bucketMessages).Put([]byte(e.Message), key[:]); err != nil {
		return err
	}
	if err := indexes(tx, e, func(b *bolt.Bucket, prefix []byte) error { return b.Put(append(prefix, key[:]...), nil) }); err != nil {
		return err
	}
	return count(tx, e.Member, 1, int64(len(raw)))
}

// Begin marks entries as about to be handed to the sender again, before they are; those that are no longer there, or not
// just kept, are left out of what it gives back.
func (s *Store) Begin(keys []Key) (begun []Entry, err error) {
	err = s.update(func(tx *bolt.Tx) error {
		begun = nil
		for _, k := range keys {
			e, ok, err := s.mark(tx, k, Kept, Resending)
			if err != nil {
				return err
			}
			if ok {
				begun = append(begun, e)
			}
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	return begun, nil
}

// Want notes that an operator wants entries to go again, or does no longer; how many that changed.
func (s *Store) Want(keys []Key, want bool) (n int, err error) {
	err = s.update(func(tx *bolt.Tx) error {
		n = 0
		for _, k := range keys {
			_, ok, err := change(tx, k, func(e *Entry) bool {
				differs := e.Hand != want && e.State == Kept
				e.Hand = want
				return differs
			})
			if err != nil {
				return err
			}
			if !ok {
				continue
			}
			n++
		}
		return nil
	})
	if err != nil {
		return 0, fmt.Errorf("undelivered: %w", err)
	}
	return n, nil
}

// Members are those of whom anything is kept.
func (s *Store) Members() (members []string, err error) {
	err = s.view(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketTotals).ForEach(func(k, _ []byte) error {
			members = append(members, string(k))
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	return members, nil
}

// Back marks entries as kept again that the sender has not taken.
func (s *Store) Back(keys []Key) error {
	err := s.update(func(tx *bolt.Tx) error {
		for _, k := range keys {
			if _, _, err := s.mark(tx, k, Resending, Kept); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// mark changes an entry's state; ok is whether it was there, in the state that it is to be in before.
func (s *Store) mark(tx *bolt.Tx, key Key, from, to State) (e Entry, ok bool, err error) {
	return change(tx, key, func(e *Entry) bool {
		was := e.State
		e.State = to
		return was == from
	})
}

// change changes what does not stand in an index; f says whether the entry is to be written. ok is whether it was.
func change(tx *bolt.Tx, key Key, f func(*Entry) bool) (e Entry, ok bool, err error) {
	raw := tx.Bucket(bucketEntries).Get(key[:])
	if raw == nil {
		return e, false, nil
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return e, false, fmt.Errorf("entry %s: %w", key, err)
	}
	if !f(&e) {
		return e, false, nil
	}
	is, err := json.Marshal(&e)
	if err != nil {
		return e, false, err
	}
	size := int64(len(is) - len(raw))
	if err := tx.Bucket(bucketEntries).Put(key[:], is); err != nil {
		return e, false, err
	}
	return e, true, count(tx, e.Member, 0, size)
}

// Reconcile marks those as kept again that were about to be handed to the sender as an earlier process ended, and that its
// journal does not hold. It is called before anything is handed over in this process.
func (s *Store) Reconcile(held map[string]bool) (n int, err error) {
	var back []Key
	err = s.List(Filter{}, func(k Key, e Entry) bool {
		if e.State == Resending && !held[e.Message] {
			back = append(back, k)
		}
		return true
	})
	if err != nil {
		return 0, err
	}
	return len(back), s.Back(back)
}

// Expire drops what is too old, so many at most; more says that there is more of it.
func (s *Store) Expire(now int64, most int) (n int, more bool, err error) {
	if s.limits.Age <= 0 {
		return 0, false, nil
	}
	err = s.update(func(tx *bolt.Tx) error {
		n, more = 0, false
		c := tx.Bucket(bucketEntries).Cursor()
		for k, _ := c.First(); k != nil && int64(binary.BigEndian.Uint64(k)) <= now-int64(s.limits.Age); k, _ = c.First() {
			if n == most {
				more = true
				return nil
			}
			if err := drop(tx, k); err != nil {
				return err
			}
			n++
		}
		return nil
	})
	if err != nil {
		return 0, false, fmt.Errorf("undelivered: %w", err)
	}
	return n, more, nil
}

// count adds to the totals.
func count(tx *bolt.Tx, member string, n, size int64) error {
	meta, totals := tx.Bucket(bucketMeta), tx.Bucket(bucketTotals)
	if err := meta.Put(keyBytes, boltfile.Number(boltfile.Value(meta.Get(keyBytes))+size)); err != nil {
		return err
	}
	was := totals.Get([]byte(member))
	entries, bytes := int64(0), int64(0)
	if len(was) == 16 {
		entries, bytes = boltfile.Value(was[:8]), boltfile.Value(was[8:])
	}
	if entries+n <= 0 {
		return totals.Delete([]byte(member))
	}
	return totals.Put([]byte(member), append(boltfile.Number(entries+n), boltfile.Number(bytes+size)...))
}

// remove takes an entry out.
func remove(tx *bolt.Tx, key []byte) (Entry, error) {
	var e Entry
	raw := tx.Bucket(bucketEntries).Get(key)
	if raw == nil {
		return e, fmt.Errorf("entry %x is not there", key)
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return e, fmt.Errorf("entry %x: %w", key, err)
	}
	size := int64(len(raw))
	key = bytes.Clone(key)
	if err := tx.Bucket(bucketEntries).Delete(key); err != nil {
		return e, err
	}
	if err := tx.Bucket(bucketMessages).Delete([]byte(e.Message)); err != nil {
		return e, err
	}
	if err := indexes(tx, &e, func(b *bolt.Bucket, prefix []byte) error { return b.Delete(append(prefix, key...)) }); err != nil {
		return e, err
	}
	return e, count(tx, e.Member, -1, -size)
}

// drop takes an entry out because it has to go, and counts that.
func drop(tx *bolt.Tx, key []byte) error {
	e, err := remove(tx, key)
	if err != nil {
		return err
	}
	return countDropped(tx, e.Member, e.Reason, 1)
}

func countDropped(tx *bolt.Tx, member string, reason Reason, n int64) error {
	b, name := tx.Bucket(bucketDropped), join(member, string(reason))
	return b.Put(name, boltfile.Number(boltfile.Value(b.Get(name))+n))
}

// Missed counts messages that could not even be offered.
func (s *Store) Missed(counts map[[2]string]int64) error {
	if len(counts) == 0 {
		return nil
	}
	err := s.update(func(tx *bolt.Tx) error {
		for who, n := range counts {
			if err := countDropped(tx, who[0], Reason(who[1]), n); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// retain drops what is too old, and, while there are too many bytes, the oldest of the member that is furthest over an
// even share of them: one member's flood costs that member.
func (s *Store) retain(tx *bolt.Tx, now int64) error {
	if s.limits.Age > 0 && !s.expires {
		c := tx.Bucket(bucketEntries).Cursor()
		for k, _ := c.First(); k != nil && int64(binary.BigEndian.Uint64(k)) <= now-int64(s.limits.Age); k, _ = c.First() {
			if err := drop(tx, k); err != nil {
				return err
			}
		}
	}
	for s.limits.Bytes > 0 && boltfile.Value(tx.Bucket(bucketMeta).Get(keyBytes)) > s.limits.Bytes {
		var member []byte
		most := int64(-1)
		err := tx.Bucket(bucketTotals).ForEach(func(k, v []byte) error {
			if n := boltfile.Value(v[8:]); n > most {
				member, most = bytes.Clone(k), n
			}
			return nil
		})
		if err != nil {
			return err
		}
		prefix := join(string(member))
		k, _ := tx.Bucket(bucketMembers).Cursor().Seek(prefix)
		if !bytes.HasPrefix(k, prefix) {
			return fmt.Errorf("the totals name member %q, of whom there is nothing", member)
		}
		if err := drop(tx, bytes.Clone(k[len(prefix):])); err != nil {
			return err
		}
	}
	return nil
}

// Filter is which entries are asked for; what is empty or zero holds for all.
type Filter struct {
	Member      string
	Reason      Reason
	Class       string
	Destination *uint32
	Since       int64 // ended at or after; Unix nanoseconds
	Until       int64 // ended before
	After       Key   // entries behind this one, in the order of their ends
	Most        int   // so many; 0: all
}

func (f *Filter) holds(e *Entry) bool {
	return (f.Member == "" || f.Member == e.Member) && (f.Reason == "" || f.Reason == e.Reason) && (f.Class == "" || f.Class == e.Class) &&
		(f.Destination == nil || *f.Destination == e.Destination)
}

// index is the bucket that an answer is looked for in, and what stands before the keys there: the narrowest there is.
func (f *Filter) index() (bucket, prefix []byte) {
	switch {
	case f.Member != "" && f.Reason != "":
		return bucketPairs, join(f.Member, string(f.Reason))
	case f.Member != "":
		return bucketMembers, join(f.Member)
	case f.Destination != nil:
		return bucketDestinations, join(fmt.Sprint(*f.Destination))
	case f.Class != "":
		return bucketClasses, join(f.Class)
	case f.Reason != "":
		return bucketReasons, join(string(f.Reason))
	}
	return bucketEntries, nil
}

// List calls do with entries in the order of their ends, until it returns false.
func (s *Store) List(f Filter, do func(Key, Entry) bool) error {
	err := s.view(func(tx *bolt.Tx) error {
		entries := tx.Bucket(bucketEntries)
		bucket, prefix := f.index()
		begin := make([]byte, 16)
		binary.BigEndian.PutUint64(begin, uint64(max(0, f.Since)))
		if f.After != (Key{}) && bytes.Compare(f.After[:], begin) >= 0 {
			copy(begin, f.After[:])
		}
		n := 0
		c := tx.Bucket(bucket).Cursor()
		for k, _ := c.Seek(append(bytes.Clone(prefix), begin...)); k != nil && bytes.HasPrefix(k, prefix); k, _ = c.Next() {
			key := Key(k[len(prefix):])
			if key == f.After {
				continue
			}
			if f.Until > 0 && int64(binary.BigEndian.Uint64(key[:])) >= f.Until {
				return nil
			}
			var e Entry
			if err := json.Unmarshal(entries.Get(key[:]), &e); err != nil {
				return fmt.Errorf("entry %s: %w", key, err)
			}
			if !f.holds(&e) {
				continue
			}
			if n++; !do(key, e) || f.Most > 0 && n >= f.Most {
				return nil
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// Get is one entry; false if it is not there.
func (s *Store) Get(key Key) (e Entry, ok bool, err error) {
	err = s.view(func(tx *bolt.Tx) error {
		raw := tx.Bucket(bucketEntries).Get(key[:])
		if ok = raw != nil; !ok {
			return nil
		}
		return json.Unmarshal(raw, &e)
	})
	if err != nil {
		return e, false, fmt.Errorf("undelivered: entry %s: %w", key, err)
	}
	return e, ok, nil
}

// Settle marks an entry as dealt with by hand: who, why and when stand in its record.
func (s *Store) Settle(key Key, by, why string, now int64) error {
	if by == "" || why == "" {
		return errors.New("undelivered: settling needs who does so and why")
	}
	err := s.update(func(tx *bolt.Tx) error {
		var refused error
		_, ok, err := change(tx, key, func(e *Entry) bool {
			switch e.State {
			case Resending:
				refused = fmt.Errorf("entry %s is on its way", key)
			case Settled:
				refused = fmt.Errorf("entry %s was settled by %s at %s", key, e.By, time.Unix(0, e.When).UTC().Format(time.RFC3339))
			}
			e.State, e.By, e.Why, e.When = Settled, by, why, now
			return refused == nil
		})
		if err == nil && refused == nil && !ok {
			return fmt.Errorf("entry %s is not there", key)
		}
		return errors.Join(err, refused)
	})
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// HandedIn settles entries whose member's client has handed in another message under the same key: it is the client's again.
func (s *Store) HandedIn(keys [][2]string, now int64) error {
	var found []Key
	err := s.view(func(tx *bolt.Tx) error {
		b := tx.Bucket(bucketKeys)
		if b == nil {
			return nil
		}
		c := b.Cursor()
		for _, k := range keys {
			prefix := join(k[0], k[1])
			for at, _ := c.Seek(prefix); bytes.HasPrefix(at, prefix) && len(at) == len(prefix)+16; at, _ = c.Next() {
				found = append(found, Key(at[len(prefix):]))
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	for _, k := range found {
		if e, ok, err := s.Get(k); err != nil || !ok || e.State != Kept {
			if err != nil {
				return err
			}
			continue
		}
		if err := s.Settle(k, "client", "its client has handed it in anew", now); err != nil {
			return err
		}
	}
	return nil
}

// Drop takes entries out for good, and counts them as dropped; how many there were.
func (s *Store) Drop(keys []Key) (n int, err error) {
	err = s.update(func(tx *bolt.Tx) error {
		for _, k := range keys {
			if tx.Bucket(bucketEntries).Get(k[:]) == nil {
				continue
			}
			if err := drop(tx, k[:]); err != nil {
				return err
			}
			n++
		}
		return nil
	})
	if err != nil {
		return 0, fmt.Errorf("undelivered: %w", err)
	}
	return n, nil
}

// Count is how many entries there are, and how many were dropped, by member and reason.
type Count struct {
	Member  string `json:"member"`
	Reason  Reason `json:"reason"`
	Kept    int64  `json:"kept"`
	Dropped int64  `json:"dropped"`
}

// Totals is what the store holds.
type Totals struct {
	Counts []Count `json:"counts"`
	Bytes  int64   `json:"bytes"`
	Resent int64   `json:"resent"` // delivered after they had been kept
}

// Count counts by member and reason.
func (s *Store) Count() (t Totals, err error) {
	err = s.view(func(tx *bolt.Tx) error {
		t.Bytes = boltfile.Value(tx.Bucket(bucketMeta).Get(keyBytes))
		t.Resent = boltfile.Value(tx.Bucket(bucketMeta).Get(keyResent))
		at := map[[2]string]int{}
		add := func(member, reason string) *Count {
			who := [2]string{member, reason}
			i, ok := at[who]
			if !ok {
				i = len(t.Counts)
				at[who] = i
				t.Counts = append(t.Counts, Count{Member: member, Reason: Reason(reason)})
			}
			return &t.Counts[i]
		}
		split := func(k []byte) (member, reason string, err error) {
			parts := bytes.SplitN(k, []byte{0}, 3)
			if len(parts) < 3 {
				return "", "", fmt.Errorf("the index holds %q", k)
			}
			return string(parts[0]), string(parts[1]), nil
		}
		err := tx.Bucket(bucketPairs).ForEach(func(k, _ []byte) error {
			member, reason, err := split(k)
			if err == nil {
				add(member, reason).Kept++
			}
			return err
		})
		if err != nil {
			return err
		}
		return tx.Bucket(bucketDropped).ForEach(func(k, v []byte) error {
			member, reason, err := split(k)
			if err == nil {
				add(member, reason).Dropped = boltfile.Value(v)
			}
			return err
		})
	})
	if err != nil {
		return Totals{}, fmt.Errorf("undelivered: %w", err)
	}
	return t, nil
}

// Check finds out whether the file holds together: bbolt's own pages, every entry under its name and in each index,
// nothing in an index that is no entry, and the totals as they are.
func (s *Store) Check() error {
	err := s.view(func(tx *bolt.Tx) error {
		for err := range tx.Check() {
			return err
		}
		n, size := 0, int64(0)
		members := map[string][2]int64{}
		err := tx.Bucket(bucketEntries).ForEach(func(k, raw []byte) error {
			var e Entry
			if err := json.Unmarshal(raw, &e); err != nil {
				return fmt.Errorf("entry %x: %w", k, err)
			}
			if want := KeyOf(e.Message, e.Ended); !bytes.Equal(k, want[:]) {
				return fmt.Errorf("entry %x is message %s, which ended at %d", k, e.Message, e.Ended)
			}
			if !bytes.Equal(tx.Bucket(bucketMessages).Get([]byte(e.Message)), k) {
				return fmt.Errorf("entry %x: message %s is not listed", k, e.Message)
			}
			n++
			size += int64(len(raw))
			t := members[e.Member]
			members[e.Member] = [2]int64{t[0] + 1, t[1] + int64(len(raw))}
			return indexes(tx, &e, func(b *bolt.Bucket, prefix []byte) error {
				if b.Get(append(prefix, k...)) == nil {
					return fmt.Errorf("entry %x is not in the index %q", k, prefix)
				}
				return nil
			})
		})
		if err != nil {
			return err
		}
		for _, name := range [][]byte{bucketMessages, bucketMembers, bucketReasons, bucketClasses, bucketDestinations, bucketPairs} {
			if is := tx.Bucket(name).Stats().KeyN; is != n {
				return fmt.Errorf("%s lists %d of %d entries", name, is, n)
			}
		}
		if is := boltfile.Value(tx.Bucket(bucketMeta).Get(keyBytes)); is != size {
			return fmt.Errorf("the totals say %d bytes, there are %d", is, size)
		}
		return tx.Bucket(bucketTotals).ForEach(func(k, v []byte) error {
			if want := members[string(k)]; boltfile.Value(v[:8]) != want[0] || boltfile.Value(v[8:]) != want[1] {
				return fmt.Errorf("the totals of member %q are %d and %d, there are %v", k, boltfile.Value(v[:8]), boltfile.Value(v[8:]), want)
			}
			return nil
		})
	})
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}
