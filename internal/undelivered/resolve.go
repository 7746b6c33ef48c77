package undelivered

import (
	"bytes"
	"errors"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

// Resolve records that an entry was resolved by hand: by whom, why, and when, in Unix nanoseconds. It returns ErrNoResolution, a
// *NotFoundError, or a *StateError for an entry that is resending or resolved.
func (s *Store) Resolve(key Key, by, why string, now int64) error {
	if by == "" || why == "" {
		return ErrNoResolution
	}
	err := s.update(func(tx *bolt.Tx) error {
		var stateErr error
		_, ok, err := updateEntry(tx, key, func(e *Entry) bool {
			switch e.State {
			case Resending, Resolved:
				stateErr = &StateError{Key: key, State: e.State, ResolvedBy: e.ResolvedBy, ResolvedAt: e.ResolvedAt}
			case Stored:
			}
			e.State, e.ResolvedBy, e.Resolution, e.ResolvedAt = Resolved, by, why, now
			return stateErr == nil
		})
		if err == nil && stateErr == nil && !ok {
			return &NotFoundError{Key: key}
		}
		return errors.Join(err, stateErr)
	})
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// ResolveResubmitted resolves entries whose client has submitted another message under the same key. keys are pairs of member and key;
// now is Unix nanoseconds.
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
