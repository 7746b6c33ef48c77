package store

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestStore_ReadsStoredFile opens a store that commit eea23b3 wrote and compares its content with the listing by that commit: jobs that
// wait, have failed, are parked, intended or checkpointed, and when a schedule ran last.
func TestStore_ReadsStoredFile(t *testing.T) {
	want := readFixture(t, "v1.golden.txt")
	path := filepath.Join(t.TempDir(), "work.db")
	if err := os.WriteFile(path, readFixture(t, "v1.db"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Open(path, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got := goldenListing(t, s); got != string(want) {
		t.Errorf("the store holds\n%s\nwant\n%s", got, want)
	}
}

func readFixture(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// goldenListing lists all that a store returns: jobs, when schedules ran, and the bytes.
func goldenListing(t *testing.T, s *Store) string {
	t.Helper()
	var b strings.Builder
	err := s.Load(func(r Record) error {
		raw, err := json.Marshal(r)
		fmt.Fprintf(&b, "%s\n", raw)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, timer := range []string{"nightly", "never"} {
		ran, err := s.LastRun(timer)
		if err != nil {
			t.Fatal(err)
		}
		if ran.IsZero() {
			fmt.Fprintf(&b, "timer %s has not run\n", timer)
			continue
		}
		fmt.Fprintf(&b, "timer %s ran at %d ns\n", timer, ran.UnixNano())
	}
	size, err := s.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&b, "bytes %d\n", size)
	return b.String()
}
