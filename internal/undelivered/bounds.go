package undelivered

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
)

// Expire drops what is too old, so many at most; more says that there is more of it.
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
	if err := forEachIndex(tx, &e, func(b *bolt.Bucket, prefix []byte) error { return b.Delete(append(prefix, key...)) }); err != nil {
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
	b, name := tx.Bucket(bucketDropped), indexKey(member, string(reason))
	return b.Put(name, boltfile.Number(boltfile.Value(b.Get(name))+n))
}

// RecordDropped counts messages that could not even be offered.
func (s *Store) RecordDropped(counts map[[2]string]int64) error {
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

// enforceLimits drops what is too old, and, while there are too many bytes, the oldest of the member that is furthest over an
// even share of them: one member's flood costs that member.
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
			return fmt.Errorf("the totals name member %q, of whom there is nothing", member)
		}
		if err := drop(tx, bytes.Clone(k[len(prefix):])); err != nil {
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
