// Package store keeps the background jobs that must outlast the process, with their checkpoints, in one bbolt file:
//
//	meta    version (8 bytes), next (8: the next job's ID), bytes (8: of all jobs)
//	jobs    ID (8 bytes) → Record, JSON
//	timers  name of a schedule → when it ran last (8 bytes, Unix nanoseconds)
//
// A slice's checkpoint and the jobs that it spawned are written in one transaction. Store is safe for concurrent use.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
	"saffronyard.example/saffronyard/internal/work"
)

// Record is a job as it is stored, in JSON. Times are Unix nanoseconds; 0 is none.
type Record struct {
	ID           work.ID       `json:"id"`
	Kind         string        `json:"kind"`
	Version      int           `json:"version"` // of the format of State
	Owner        string        `json:"owner"`
	Priority     work.Priority `json:"priority"`
	Earliest     int64         `json:"earliest,omitempty"`
	Deadline     int64         `json:"deadline,omitempty"`
	SliceCost    work.Cost     `json:"slice"`
	Remaining    int64         `json:"left,omitempty"` // nanoseconds
	Lock         string        `json:"lock,omitempty"`
	Resource     string        `json:"resource,omitempty"`
	Depth        int           `json:"depth,omitempty"`
	State        []byte        `json:"state,omitempty"` // checkpoint of the last slice
	SlicesDone   int           `json:"slices,omitempty"`
	Failures     int           `json:"fails,omitempty"`
	ParkedReason string        `json:"parked,omitempty"`
	Intended     bool          `json:"intended,omitempty"` // a slice that is not idempotent was about to start
}

var (
	bucketMeta   = []byte("meta")
	bucketJobs   = []byte("jobs")
	bucketTimers = []byte("timers")
	keyVersion   = []byte("version")
	keyNext      = []byte("next")
	keyBytes     = []byte("bytes")
)

// version is the version of the file's layout.
const version = 1

// Errors that callers distinguish.
var (
	// ErrNewerVersion reports a file that a later version of the program wrote.
	ErrNewerVersion = errors.New("the file was written by a newer version")
	// ErrFull reports jobs that would exceed the store's maximum size.
	ErrFull = errors.New("the job store is full")
	// ErrNotFound reports a job that is not in the store.
	ErrNotFound = errors.New("no such job")
)

// Store is an open file of jobs.
type Store struct {
	db       *bolt.DB
	maxBytes int64 // bytes of all records
}

// Open opens a file, or creates it. maxBytes bounds the bytes of all jobs; 0 is no bound.
func Open(path string, maxBytes int64) (s *Store, err error) {
	db, err := boltfile.Open(path, false)
	if err != nil {
		return nil, fmt.Errorf("work: %w", err)
	}
	s = &Store{db: db, maxBytes: maxBytes}
	err = s.update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{bucketMeta, bucketJobs, bucketTimers} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		switch v := boltfile.Value(meta.Get(keyVersion)); {
		case v == 0:
			return meta.Put(keyVersion, boltfile.Number(version))
		case v > version:
			return fmt.Errorf("%w: file version %d, supported version %d", ErrNewerVersion, v, version)
		}
		return nil
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return s, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func (s *Store) update(f func(*bolt.Tx) error) error {
	if err := boltfile.Guarded(func() error { return s.db.Update(f) }); err != nil {
		return fmt.Errorf("work: %w", err)
	}
	return nil
}

func (s *Store) view(f func(*bolt.Tx) error) error {
	if err := boltfile.Guarded(func() error { return s.db.View(f) }); err != nil {
		return fmt.Errorf("work: %w", err)
	}
	return nil
}

// put writes a record, in place of any earlier one of the job, and updates the byte count; with enforceLimit it fails with ErrFull beyond
// maxBytes.
func (s *Store) put(tx *bolt.Tx, r *Record, enforceLimit bool) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	jobs, meta, key := tx.Bucket(bucketJobs), tx.Bucket(bucketMeta), boltfile.Number(int64(r.ID))
	size := boltfile.Value(meta.Get(keyBytes)) + int64(len(raw)) - int64(len(jobs.Get(key)))
	if enforceLimit && s.maxBytes > 0 && size > s.maxBytes {
		return fmt.Errorf("%w: jobs take %d of %d bytes", ErrFull, boltfile.Value(meta.Get(keyBytes)), s.maxBytes)
	}
	if err := meta.Put(keyBytes, boltfile.Number(size)); err != nil {
		return err
	}
	return jobs.Put(key, raw)
}

func (s *Store) get(tx *bolt.Tx, id work.ID) (*Record, error) {
	raw := tx.Bucket(bucketJobs).Get(boltfile.Number(int64(id)))
	if raw == nil {
		return nil, fmt.Errorf("%w: %d", ErrNotFound, id)
	}
	r := &Record{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("job %d: %w", id, err)
	}
	return r, nil
}

func (s *Store) remove(tx *bolt.Tx, id work.ID) error {
	jobs, meta, key := tx.Bucket(bucketJobs), tx.Bucket(bucketMeta), boltfile.Number(int64(id))
	raw := jobs.Get(key)
	if raw == nil {
		return fmt.Errorf("%w: %d", ErrNotFound, id)
	}
	if err := meta.Put(keyBytes, boltfile.Number(boltfile.Value(meta.Get(keyBytes))-int64(len(raw)))); err != nil {
		return err
	}
	return jobs.Delete(key)
}

// add sets the IDs of new records and writes the records.
func (s *Store) add(tx *bolt.Tx, records []Record) error {
	meta := tx.Bucket(bucketMeta)
	next := max(1, boltfile.Value(meta.Get(keyNext)))
	for i := range records {
		records[i].ID = work.ID(next)
		next++
		if err := s.put(tx, &records[i], true); err != nil {
			return err
		}
	}
	return meta.Put(keyNext, boltfile.Number(next))
}

// Add writes new jobs, all or none, and sets their IDs. If timer is not empty, the same transaction records when that timer ran.
func (s *Store) Add(records []Record, timer string, ran time.Time) error {
	return s.update(func(tx *bolt.Tx) error {
		if err := s.add(tx, records); err != nil {
			return err
		}
		if timer == "" {
			return nil
		}
		return tx.Bucket(bucketTimers).Put([]byte(timer), boltfile.Number(ran.UnixNano()))
	})
}

// LastRun returns when a timer ran last; the zero time if never.
func (s *Store) LastRun(timer string) (t time.Time, err error) {
	err = s.view(func(tx *bolt.Tx) error {
		if v := boltfile.Value(tx.Bucket(bucketTimers).Get([]byte(timer))); v != 0 {
			t = time.Unix(0, v)
		}
		return nil
	})
	return t, err
}

// Intend records that a slice is about to start.
func (s *Store) Intend(id work.ID) error {
	return s.change(id, func(r *Record) { r.Intended = true })
}

// ClearIntent records that the intended slice was not done.
func (s *Store) ClearIntent(id work.ID) error {
	return s.change(id, func(r *Record) { r.Intended = false })
}

// RecordFailure records the number of a job's consecutive failures, and why it is parked; empty: it is not.
func (s *Store) RecordFailure(id work.ID, failures int, parked string) error {
	return s.change(id, func(r *Record) { r.Failures, r.ParkedReason, r.Intended = failures, parked, false })
}

// Park records why a job is parked; empty: it is not. It does not change whether a slice is intended.
func (s *Store) Park(id work.ID, why string) error {
	return s.change(id, func(r *Record) { r.ParkedReason = why })
}

func (s *Store) change(id work.ID, f func(*Record)) error {
	return s.update(func(tx *bolt.Tx) error {
		r, err := s.get(tx, id)
		if err != nil {
			return err
		}
		f(r)
		return s.put(tx, r, false)
	})
}

// Checkpoint records that a slice is done: the state for the next one, its earliest start, and the jobs that it spawned.
func (s *Store) Checkpoint(id work.ID, state []byte, earliest int64, spawned []Record) error {
	return s.update(func(tx *bolt.Tx) error {
		r, err := s.get(tx, id)
		if err != nil {
			return err
		}
		r.State, r.Earliest, r.Intended, r.Failures, r.ParkedReason = state, earliest, false, 0, ""
		r.SlicesDone++
		if err := s.put(tx, r, false); err != nil {
			return err
		}
		return s.add(tx, spawned)
	})
}

// Complete removes a job, and adds the jobs that its last slice spawned.
func (s *Store) Complete(id work.ID, spawned []Record) error {
	return s.update(func(tx *bolt.Tx) error {
		if err := s.remove(tx, id); err != nil {
			return err
		}
		return s.add(tx, spawned)
	})
}

// Load calls f with all jobs, in the order of their IDs.
func (s *Store) Load(f func(Record) error) error {
	return s.view(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketJobs).ForEach(func(k, raw []byte) error {
			var r Record
			if err := json.Unmarshal(raw, &r); err != nil {
				return fmt.Errorf("job %d: %w", boltfile.Value(k), err)
			}
			return f(r)
		})
	})
}

// Bytes returns the bytes of all jobs.
func (s *Store) Bytes() (n int64, err error) {
	err = s.view(func(tx *bolt.Tx) error {
		n = boltfile.Value(tx.Bucket(bucketMeta).Get(keyBytes))
		return nil
	})
	return n, err
}
