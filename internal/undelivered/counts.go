package undelivered

import (
	"bytes"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
)

// Count is how many entries of a member and reason are stored, and how many were dropped.
type Count struct {
	Member  string `json:"member"`
	Reason  Reason `json:"reason"`
	Stored  int64  `json:"kept"`
	Dropped int64  `json:"dropped"`
}

// Totals are the counts and the size of a store.
type Totals struct {
	Counts []Count `json:"counts"`
	Bytes  int64   `json:"bytes"`
	Resent int64   `json:"resent"` // resent messages that were delivered
}

// Count returns the counts by member and reason.
func (s *Store) Count() (t Totals, err error) {
	err = s.view(func(tx *bolt.Tx) error {
		t.Bytes = boltfile.Value(tx.Bucket(bucketMeta).Get(keyBytes))
		t.Resent = boltfile.Value(tx.Bucket(bucketMeta).Get(keyResent))
		at := map[[2]string]int{}
		add := func(member, reason string) *Count {
			pair := [2]string{member, reason}
			i, ok := at[pair]
			if !ok {
				i = len(t.Counts)
				at[pair] = i
				t.Counts = append(t.Counts, Count{Member: member, Reason: Reason(reason)})
			}
			return &t.Counts[i]
		}
		split := func(k []byte) (member, reason string, err error) {
			parts := bytes.SplitN(k, []byte{0}, 3)
			if len(parts) < 3 {
				return "", "", corrupt("invalid key %q in an index", k)
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

// Members returns the members that have entries.
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
