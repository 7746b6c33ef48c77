package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/boltfile"
	"saffronyard.example/saffronyard/internal/replicatedlog"
)

// The voter's file is log.db in the folder, with two buckets. "log" has the entries by index (eight octets, big-endian), each a
// raftpb.Entry. "meta" has "format"; "cluster" and "name" of the sender that the file belongs to; "hard", raft's term, vote and
// commit index; "conf", the voters; "snapshot", a raftpb.Snapshot; and "base", index and term (eight octets each) of the last entry
// that was compacted. A save is one synced transaction: after a crash the file has all of it, or nothing.
const (
	logName      = "log.db"
	stagedName   = "staged"
	vouchedName  = "vouched"
	storeFormat  = 1
	formatRecord = "format"
)

var (
	logBucket  = []byte("log")
	metaBucket = []byte("meta")
)

// store is a voter's file. Its methods are called by one goroutine.
type store struct {
	db   *bolt.DB
	path string
}

// openStore opens or creates a voter's file. The error wraps ErrNewerFormat, a *ForeignFileError or an error of the file.
func openStore(folder, cluster, name string) (*store, error) {
	path := filepath.Join(folder, logName)
	db, err := boltfile.Open(path, false)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	s := &store{db, path}
	err = s.update(func(tx *bolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if raw := meta.Get([]byte(formatRecord)); raw != nil {
			if f := boltfile.Value(raw); f > storeFormat {
				return fmt.Errorf("format %d, this program supports up to %d: %w", f, storeFormat, ErrNewerFormat)
			}
			for key, want := range map[string]string{"cluster": cluster, "name": name} {
				if got := string(meta.Get([]byte(key))); got != want {
					return &ForeignFileError{What: key, Got: got, Want: want}
				}
			}
			return nil
		}
		return errors.Join(meta.Put([]byte(formatRecord), boltfile.Number(storeFormat)), meta.Put([]byte("cluster"), []byte(cluster)), meta.Put([]byte("name"), []byte(name)))
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

func (s *store) update(f func(*bolt.Tx) error) error {
	if err := boltfile.Guarded(func() error { return s.db.Update(f) }); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// load reads the stored log.
func (s *store) load() (*replicatedlog.StoredLog, error) {
	saved := &replicatedlog.StoredLog{HardState: &raftpb.HardState{}}
	err := boltfile.Guarded(func() error {
		return s.db.View(func(tx *bolt.Tx) error {
			meta := tx.Bucket(metaBucket)
			if raw := meta.Get([]byte("hard")); raw != nil {
				if err := proto.Unmarshal(raw, saved.HardState); err != nil {
					return fmt.Errorf("term and vote: %w", err)
				}
			}
			if raw := meta.Get([]byte("conf")); raw != nil {
				saved.ConfState = &raftpb.ConfState{}
				if err := proto.Unmarshal(raw, saved.ConfState); err != nil {
					return fmt.Errorf("voters: %w", err)
				}
			}
			if raw := meta.Get([]byte("snapshot")); raw != nil {
				saved.Snapshot = &raftpb.Snapshot{}
				if err := proto.Unmarshal(raw, saved.Snapshot); err != nil {
					return fmt.Errorf("snapshot: %w", err)
				}
			}
			if raw := meta.Get([]byte("base")); len(raw) == 16 {
				saved.BaseIndex, saved.BaseTerm = binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[8:])
			}
			next := saved.BaseIndex + 1
			return tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
				e := &raftpb.Entry{}
				if err := proto.Unmarshal(v, e); err != nil || binary.BigEndian.Uint64(k) != next || e.GetIndex() != next {
					return &MissingEntryError{Index: next, Err: err}
				}
				next++
				saved.Entries = append(saved.Entries, e)
				return nil
			})
		})
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path, err)
	}
	return saved, nil
}

// save stores a Persist in one transaction; it is on the disk when this returns.
func (s *store) save(a replicatedlog.Persist) error {
	return s.update(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		put := func(key string, m proto.Message) error {
			raw, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			return meta.Put([]byte(key), raw)
		}
		if a.HardState != nil {
			if err := put("hard", a.HardState); err != nil {
				return err
			}
		}
		if a.ConfState != nil {
			if err := put("conf", a.ConfState); err != nil {
				return err
			}
		}
		if a.Snapshot != nil {
			if err := put("snapshot", a.Snapshot); err != nil {
				return err
			}
		}
		if a.CompactTo > 0 {
			if err := compactLog(meta, log, a); err != nil {
				return err
			}
		}
		if len(a.Entries) == 0 {
			return nil
		}
		// Stored entries from the first new index on are a former leader's: the new entries replace them.
		c, from := log.Cursor(), boltfile.Number(int64(a.Entries[0].GetIndex()))
		for k, _ := c.Seek(from); k != nil; k, _ = c.Seek(from) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		for _, e := range a.Entries {
			raw, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := log.Put(boltfile.Number(int64(e.GetIndex())), raw); err != nil {
				return err
			}
		}
		return nil
	})
}

func compactLog(meta, log *bolt.Bucket, a replicatedlog.Persist) error {
	term := a.Snapshot.GetMetadata().GetTerm()
	if raw := log.Get(boltfile.Number(int64(a.CompactTo))); raw != nil && !a.ReplaceLog {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(raw, e); err != nil {
			return err
		}
		term = e.GetTerm()
	}
	if err := meta.Put([]byte("base"), binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, a.CompactTo), term)); err != nil {
		return err
	}
	c := log.Cursor()
	for k, _ := c.First(); k != nil && (a.ReplaceLog || binary.BigEndian.Uint64(k) <= a.CompactTo); k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func (s *store) close() error { return s.db.Close() }
