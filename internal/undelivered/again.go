package undelivered

import (
	"bytes"
	"encoding/json"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

// BeginResend marks entries as about to be handed to the sender again, before they are; those that are no longer there, or not
// just kept, are left out of what it gives back.
func (s *Store) BeginResend(keys []Key) (begun []Entry, err error) {
	err = s.update(func(tx *bolt.Tx) error {
		begun = nil
		for _, k := range keys {
			e, ok, err := s.setState(tx, k, Stored, Resending)
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

// RequestResend notes that an operator wants entries to go again, or does no longer; how many that changed.
func (s *Store) RequestResend(keys []Key, want bool) (n int, err error) {
	err = s.update(func(tx *bolt.Tx) error {
		n = 0
		for _, k := range keys {
			_, ok, err := updateEntry(tx, k, func(e *Entry) bool {
				differs := e.ResendRequested != want && e.State == Stored
				e.ResendRequested = want
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

// CancelResend marks entries as kept again that the sender has not taken.
func (s *Store) CancelResend(keys []Key) error {
	err := s.update(func(tx *bolt.Tx) error {
		for _, k := range keys {
			if _, _, err := s.setState(tx, k, Resending, Stored); err != nil {
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

// setState changes an entry's state; ok is whether it was there, in the state that it is to be in before.
func (s *Store) setState(tx *bolt.Tx, key Key, from, to State) (e Entry, ok bool, err error) {
	return updateEntry(tx, key, func(e *Entry) bool {
		was := e.State
		e.State = to
		return was == from
	})
}

// updateEntry changes what does not stand in an index; f says whether the entry is to be written. ok is whether it was.
func updateEntry(tx *bolt.Tx, key Key, f func(*Entry) bool) (e Entry, ok bool, err error) {
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
func (s *Store) Reconcile(inFlight map[string]bool) (n int, err error) {
	var back []Key
	err = s.List(Filter{}, func(k Key, e Entry) bool {
		if e.State == Resending && !inFlight[e.Message] {
			back = append(back, k)
		}
		return true
	})
	if err != nil {
		return 0, err
	}
	return len(back), s.CancelResend(back)
}

// ResolveResubmitted settles entries whose member's client has handed in another message under the same key: it is the client's again.
func (s *Store) ResolveResubmitted(keys [][2]string, now int64) error {
	var found []Key
	err := s.view(func(tx *bolt.Tx) error {
		b := tx.Bucket(bucketKeys)
		if b == nil {
			return nil
		}
		c := b.Cursor()
		for _, k := range keys {
			prefix := indexKey(k[0], k[1])
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
		if e, ok, err := s.Get(k); err != nil || !ok || e.State != Stored {
			if err != nil {
				return err
			}
			continue
		}
		if err := s.Resolve(k, "client", "its client has handed it in anew", now); err != nil {
			return err
		}
	}
	return nil
}
