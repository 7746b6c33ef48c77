package undelivered

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestStore_ReadsStoredFile opens a store that commit eea23b3 wrote and compares its content with the listing by that commit: entries that
// are stored, resolved, resending or ended again, and the counts of dropped and of delivered ones.
func TestStore_ReadsStoredFile(t *testing.T) {
	want := readFixture(t, "v1.golden.txt")
	path := filepath.Join(t.TempDir(), FileName)
	if err := os.WriteFile(path, readFixture(t, "v1.db"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, open := range []struct {
		name string
		open func() (*Store, error)
	}{
		{"read only", func() (*Store, error) { return OpenReadOnly(path) }},
		{"read and write", func() (*Store, error) { return Open(path, Limits{MaxBytes: 1 << 20}) }},
	} {
		t.Run(open.name, func(t *testing.T) {
			s, err := open.open()
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if err := s.Check(); err != nil {
				t.Error(err)
			}
			if got := goldenListing(t, s); got != string(want) {
				t.Errorf("the store holds\n%s\nwant\n%s", got, want)
			}
		})
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

// goldenListing lists all that a store returns: entries with their keys, members and totals.
func goldenListing(t *testing.T, s *Store) string {
	t.Helper()
	var b strings.Builder
	err := s.List(Filter{}, func(k Key, e Entry) bool {
		raw, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s %s\n", k, raw)
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	members, err := s.Members()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&b, "members %q\n", members)
	totals, err := s.Count()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := json.MarshalIndent(totals, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&b, "totals %s\n", raw)
	return b.String()
}
