package undelivered

import (
	"bytes"
	"encoding/binary"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
)

// Expire drops entries older than Limits.MaxAge, up to a limit; more reports that there are more of them. now is Unix nanoseconds.
func (s *Store) Expire(now int64, limit int) (n int, more bool, err error) {
	if s.limits.MaxAge <= 0 {
		return 0, false, nil
	}
	err = s.update(func(tx *bolt.Tx) error {
		n, more = 0, false
		c := tx.Bucket(bucketEntries).Cursor()
		for k, _ := c.First(); k != nil && int64(binary.BigEndian.Uint64(k)) <= now-int64(s.limits.MaxAge); k, _ = c.First() {
			if n == limit {
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

// enforceLimits drops entries that are too old and, while there are too many bytes, the oldest of the member with the most bytes, so
// that a member that floods the store loses only its own entries.
func (s *Store) enforceLimits(tx *bolt.Tx, now int64) error {
	if s.limits.MaxAge > 0 && !s.expiredByResender {
		c := tx.Bucket(bucketEntries).Cursor()
		for k, _ := c.First(); k != nil && int64(binary.BigEndian.Uint64(k)) <= now-int64(s.limits.MaxAge); k, _ = c.First() {
			if err := drop(tx, k); err != nil {
				return err
			}
		}
	}
	for s.limits.MaxBytes > 0 && boltfile.Value(tx.Bucket(bucketMeta).Get(keyBytes)) > s.limits.MaxBytes {
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
		prefix := indexKey(string(member))
		k, _ := tx.Bucket(bucketMembers).Cursor().Seek(prefix)
		if !bytes.HasPrefix(k, prefix) {
			return corrupt("the totals include member %q, which has no entries", member)
		}
		if err := drop(tx, bytes.Clone(k[len(prefix):])); err != nil {
			return err
		}
	}
	return nil
}

// Drop removes entries and counts them as dropped; n is how many of them existed.
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

// drop removes an entry and counts it as dropped.
func drop(tx *bolt.Tx, key []byte) error {
	e, err := remove(tx, key)
	if err != nil {
		return err
	}
	return countDropped(tx, e.Member, e.Reason, 1)
}

// RecordDropped counts messages that could not be recorded, by member and reason.
func (s *Store) RecordDropped(counts map[[2]string]int64) error {
	if len(counts) == 0 {
		return nil
	}
	err := s.update(func(tx *bolt.Tx) error {
		for pair, n := range counts {
			if err := countDropped(tx, pair[0], Reason(pair[1]), n); err != nil {
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

func countDropped(tx *bolt.Tx, member string, reason Reason, n int64) error {
	b, name := tx.Bucket(bucketDropped), indexKey(member, string(reason))
	return b.Put(name, boltfile.Number(boltfile.Value(b.Get(name))+n))
}
