package nameserver

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestStore_ReadsStoredFiles opens a copy of zone stores that commit eea23b3 wrote and compares their contents with what that commit read
// back: a snapshot with three updates in its journal, a journal whose last update is torn, and a journal of an earlier epoch than its
// snapshot.
func TestStore_ReadsStoredFiles(t *testing.T) {
	want, err := os.ReadFile(filepath.Join("testdata", "v1.golden.txt"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "v1"))); err != nil {
		t.Fatal(err)
	}
	if got := goldenListing(t, dir); got != string(want) {
		t.Errorf("the stores contain\n%s\nwant\n%s", got, want)
	}
}

// goldenListing returns a text with the contents of the stores in a folder: zones with their serials and records, the differences in
// their journals, whether a journal was truncated, and the base versions.
func goldenListing(t *testing.T, dir string) string {
	t.Helper()
	var b strings.Builder
	for _, origin := range []string{"folded.example.", "torn.example.", "whole.example."} {
		s, z, deltas, warn, err := openStore(osDisk{}, dir, origin)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "zone %s serial %d epoch %d left out: %v\n", origin, z.Serial(), s.epoch, warn != nil)
		for _, rr := range z.List() {
			fmt.Fprintf(&b, "  %s\n", rr)
		}
		for _, d := range deltas {
			fmt.Fprintf(&b, " change %d to %d\n", d.From, d.To)
			for _, rr := range d.Removed {
				fmt.Fprintf(&b, "  - %s\n", rr)
			}
			for _, rr := range d.Added {
				fmt.Fprintf(&b, "  + %s\n", rr)
			}
		}
		base, err := s.readBase()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, " base serial %d, %d records\n", base.Serial(), len(base.List()))
		if err := s.close(); err != nil {
			t.Fatal(err)
		}
	}
	return b.String()
}
