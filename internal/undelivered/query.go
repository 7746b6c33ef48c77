package undelivered

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
)

// Filter is which entries are asked for; what is empty or zero holds for all.
type Filter struct {
	Member      string
	Reason      Reason
	Class       string
	Destination *uint32
	Since       int64 // ended at or after; Unix nanoseconds
	Until       int64 // ended before
	After       Key   // entries behind this one, in the order of their ends
	Limit       int   // so many; 0: all
}

func (f *Filter) matches(e *Entry) bool {
	return (f.Member == "" || f.Member == e.Member) && (f.Reason == "" || f.Reason == e.Reason) && (f.Class == "" || f.Class == e.Class) &&
		(f.Destination == nil || *f.Destination == e.Destination)
}

// index is the bucket that an answer is looked for in, and what stands before the keys there: the narrowest there is.
func (f *Filter) index() (bucket, prefix []byte) {
	switch {
	case f.Member != "" && f.Reason != "":
		return bucketPairs, indexKey(f.Member, string(f.Reason))
	case f.Member != "":
		return bucketMembers, indexKey(f.Member)
	case f.Destination != nil:
		return bucketDestinations, indexKey(fmt.Sprint(*f.Destination))
	case f.Class != "":
		return bucketClasses, indexKey(f.Class)
	case f.Reason != "":
		return bucketReasons, indexKey(string(f.Reason))
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

// Resolve marks an entry as dealt with by hand: who, why and when stand in its record.
func (s *Store) Resolve(key Key, by, why string, now int64) error {
	if by == "" || why == "" {
		return errors.New("undelivered: settling needs who does so and why")
	}
	err := s.update(func(tx *bolt.Tx) error {
		var refused error
		_, ok, err := updateEntry(tx, key, func(e *Entry) bool {
			switch e.State {
			case Resending:
				refused = fmt.Errorf("entry %s is on its way", key)
			case Resolved:
				refused = fmt.Errorf("entry %s was settled by %s at %s", key, e.ResolvedBy, time.Unix(0, e.ResolvedAt).UTC().Format(time.RFC3339))
			}
			e.State, e.ResolvedBy, e.Resolution, e.ResolvedAt = Resolved, by, why, now
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
