package undelivered

import (
	"bytes"
	"encoding/json"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
)

// Check verifies the file: bbolt's own pages, every entry under its key and in each index, nothing else in an index, and the totals. An
// inconsistency is a *CorruptError.
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
			if want := KeyOf(e.Message, e.EndedAt); !bytes.Equal(k, want[:]) {
				return corrupt("entry %x has the wrong key: it is message %s, which ended at %d", k, e.Message, e.EndedAt)
			}
			if !bytes.Equal(tx.Bucket(bucketMessages).Get([]byte(e.Message)), k) {
				return corrupt("entry %x: message %s is not in the index of messages", k, e.Message)
			}
			n++
			size += int64(len(raw))
			t := members[e.Member]
			members[e.Member] = [2]int64{t[0] + 1, t[1] + int64(len(raw))}
			return forEachIndex(tx, &e, func(b *bolt.Bucket, prefix []byte) error {
				if b.Get(append(prefix, k...)) == nil {
					return corrupt("entry %x is not in the index %q", k, prefix)
				}
				return nil
			})
		})
		if err != nil {
			return err
		}
		for _, name := range [][]byte{bucketMessages, bucketMembers, bucketReasons, bucketClasses, bucketDestinations, bucketPairs} {
			if is := tx.Bucket(name).Stats().KeyN; is != n {
				return corrupt("index %s has %d of %d entries", name, is, n)
			}
		}
		if is := boltfile.Value(tx.Bucket(bucketMeta).Get(keyBytes)); is != size {
			return corrupt("the total is %d bytes, the entries have %d", is, size)
		}
		return tx.Bucket(bucketTotals).ForEach(func(k, v []byte) error {
			if want := members[string(k)]; boltfile.Value(v[:8]) != want[0] || boltfile.Value(v[8:]) != want[1] {
				return corrupt("the totals of member %q are %d entries and %d bytes, want %v", k, boltfile.Value(v[:8]), boltfile.Value(v[8:]), want)
			}
			return nil
		})
	})
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}
