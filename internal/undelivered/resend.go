package undelivered

import (
	"encoding/json"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
)

// BeginResend marks entries as resending, before they are handed to the sender, and returns them. Entries that are gone, or not in
// state stored, are left out.
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

// CancelResend returns entries that the sender did not accept to state stored.
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

// Reconcile returns to state stored the entries that an earlier process marked as resending and that are not in the sender's journal;
// inFlight has the ids of the messages in the journal. It is called once, before the first BeginResend of this process.
func (s *Store) Reconcile(inFlight map[string]bool) (n int, err error) {
	var interrupted []Key
	err = s.List(Filter{}, func(k Key, e Entry) bool {
		if e.State == Resending && !inFlight[e.Message] {
			interrupted = append(interrupted, k)
		}
		return true
	})
	if err != nil {
		return 0, err
	}
	return len(interrupted), s.CancelResend(interrupted)
}

// RequestResend records that an operator requests the resend of entries, or cancels that; n is how many entries that changed.
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

// setState changes an entry's state; ok is whether the entry existed in state from.
func (s *Store) setState(tx *bolt.Tx, key Key, from, to State) (e Entry, ok bool, err error) {
	return updateEntry(tx, key, func(e *Entry) bool {
		was := e.State
		e.State = to
		return was == from
	})
}

// recordResendEnd records how a resent message ended: a delivered one is removed, any other replaces its entry. An end that was recorded
// before is ignored.
func (s *Store) recordResendEnd(tx *bolt.Tx, key []byte, e *Entry) error {
	var was Entry
	if err := json.Unmarshal(tx.Bucket(bucketEntries).Get(key), &was); err != nil {
		return fmt.Errorf("entry %x: %w", key, err)
	}
	if was.State != Resending || e.Resends != was.Resends+1 {
		return nil
	}
	if _, err := remove(tx, key); err != nil {
		return err
	}
	if e.Ending == Delivered {
		b := tx.Bucket(bucketMeta)
		return b.Put(keyResent, boltfile.Number(boltfile.Value(b.Get(keyResent))+1))
	}
	e.FirstEndedAt = was.FirstEnd()
	e.State = Stored
	raw, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("message %s: %w", e.Message, err)
	}
	return insert(tx, e, raw)
}
