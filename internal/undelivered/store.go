package undelivered

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
)

// The store is one bbolt file. Buckets:
//
//	meta     version (8 bytes), bytes (8: of all entries' values)
//	entries  key → Entry, JSON. The key is the entry's name: 8 bytes of the time it ended, 8 of its message id's hash
//	messages id of a message → key
//	members  member, 0, key → empty; and by the same scheme reasons, classes, destinations, and, for the most
//	         frequent query, pairs: member, 0, reason, 0, key
//	keys     member, 0, idempotency key, 0, key → empty
//	totals   member → entries and bytes (8 each)
//	dropped  member, 0, reason → how many were dropped (8)
//
// Transactions are atomic, also if the process is killed, so the indexes never disagree with the entries.
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

// version is the version of the file's layout.
const version = 1

// Limits bound a store; 0 is no limit.
type Limits struct {
	MaxBytes int64         // of all entries' values
	MaxAge   time.Duration // of an entry, since it ended
}

// Store keeps entries in one bbolt file. It is safe for concurrent use.
type Store struct {
	db                *bolt.DB
	limits            Limits
	expiredByResender bool // Expire is called periodically, so Record does not look for old entries
}

// Open opens a store's file, or creates it. A file that is damaged, of a newer version (ErrNewerVersion), no store (ErrNotAStore), or open
// in another process is an error, and is left as it is.
func Open(path string, limits Limits) (*Store, error) { return open(path, limits, false) }

// OpenReadOnly opens an existing file for reading.
func OpenReadOnly(path string) (*Store, error) { return open(path, Limits{}, true) }

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
	if err := s.initialize(readOnly); err != nil {
		db.Close()
		return nil, fmt.Errorf("undelivered: %s: %w", path, err)
	}
	return s, nil
}

func (s *Store) initialize(readOnly bool) error {
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
		keys, err := tx.CreateBucket(bucketKeys) // the file was written before this index existed
		if err != nil {
			return err
		}
		return tx.Bucket(bucketEntries).ForEach(func(k, raw []byte) error {
			var e Entry
			if err := json.Unmarshal(raw, &e); err != nil || e.Key == "" {
				return err
			}
			return keys.Put(append(indexKey(e.Member, e.Key), k...), nil)
		})
	})
}

func checkVersion(tx *bolt.Tx) error {
	meta := tx.Bucket(bucketMeta)
	if meta == nil {
		return ErrNotAStore
	}
	switch v := boltfile.Value(meta.Get(keyVersion)); {
	case v > version:
		return fmt.Errorf("%w: file version %d, supported version %d", ErrNewerVersion, v, version)
	case v != version:
		return &VersionError{Version: v}
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

// update and view run a transaction; damage to the file is returned as an error.
func (s *Store) update(f func(*bolt.Tx) error) error {
	return boltfile.Guarded(func() error { return s.db.Update(f) })
}

func (s *Store) view(f func(*bolt.Tx) error) error {
	return boltfile.Guarded(func() error { return s.db.View(f) })
}

// Record writes entries in one transaction; an entry that is already stored stays as it is. Entries that then exceed the limits are dropped
// and counted. now is Unix nanoseconds.
func (s *Store) Record(entries []Entry, now int64) error {
	err := s.update(func(tx *bolt.Tx) error {
		for i := range entries {
			if err := s.put(tx, &entries[i]); err != nil {
				return err
			}
		}
		return s.enforceLimits(tx, now)
	})
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

func (s *Store) put(tx *bolt.Tx, e *Entry) error {
	if was := tx.Bucket(bucketMessages).Get([]byte(e.Message)); was != nil {
		return s.recordResendEnd(tx, bytes.Clone(was), e) // the end of a resend, or the entry recorded again after a kill
	}
	if e.Resends > 0 { // it was resent, and its entry is gone: dropped, or delivered
		return nil
	}
	if e.State == "" {
		e.State = Stored
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("message %s: %w", e.Message, err)
	}
	return insert(tx, e, raw)
}
