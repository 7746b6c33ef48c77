package undelivered

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

// List calls do with entries in the order of their ends, until do returns false.
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
			if !f.matches(&e) {
				continue
			}
			if n++; !do(key, e) || f.Limit > 0 && n >= f.Limit {
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

// Get returns an entry; ok is whether it exists.
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
