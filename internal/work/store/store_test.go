package store

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
)

// Open returns an error that names the file if the file is truncated at any point, and ErrNewerVersion if a newer version wrote it. It does
// not panic.
func TestOpen_DamagedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "work.db")
	s, err := Open(path, 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 50 {
		if err := s.Add([]Record{{Kind: "k", Owner: "o", State: make([]byte, 500)}}, "", time.Time{}); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for n := 1; n < len(whole); n += 1 + len(whole)/40 {
		if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(path, 0)
		if err == nil { // the part cut off was not in use: all jobs must be there
			jobs := 0
			if err := s.Load(func(Record) error { jobs++; return nil }); err != nil || jobs != 50 {
				t.Errorf("cut at %d of %d: opened, with %d jobs, %v", n, len(whole), jobs, err)
			}
			s.Close()
		} else if !strings.Contains(err.Error(), path) {
			t.Errorf("cut at %d of %d: %v", n, len(whole), err)
		} else {
			rejected++
		}
	}
	if rejected < 20 {
		t.Errorf("%d truncated files are rejected, want at least 20", rejected)
	}
	if err := os.WriteFile(path, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	db, err := boltfile.Open(path, false)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyVersion, boltfile.Number(version+1)) }); err != nil {
		t.Fatal(err)
	}
	db.Close()
	if _, err := Open(path, 0); !errors.Is(err, ErrNewerVersion) {
		t.Error(err)
	}
}
