package undelivered

import (
	"bytes"
	"encoding/json"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
)

// Count is how many entries there are, and how many were dropped, by member and reason.
type Count struct {
	Member  string `json:"member"`
	Reason  Reason `json:"reason"`
	Stored  int64  `json:"kept"`
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
				add(member, reason).Stored++
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
			if want := KeyOf(e.Message, e.EndedAt); !bytes.Equal(k, want[:]) {
				return fmt.Errorf("entry %x is message %s, which ended at %d", k, e.Message, e.EndedAt)
			}
			if !bytes.Equal(tx.Bucket(bucketMessages).Get([]byte(e.Message)), k) {
				return fmt.Errorf("entry %x: message %s is not listed", k, e.Message)
			}
			n++
			size += int64(len(raw))
			t := members[e.Member]
			members[e.Member] = [2]int64{t[0] + 1, t[1] + int64(len(raw))}
			return forEachIndex(tx, &e, func(b *bolt.Bucket, prefix []byte) error {
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
