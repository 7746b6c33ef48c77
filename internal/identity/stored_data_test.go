package identity

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The file under testdata/stored was written by version eea23b3, before identifiers were renamed: a ring that has wrapped, with a
// key that ended twice, a damaged record and a torn one. FILE.golden lists its contents, FILE.renewed is the file after Open has
// rewritten it.
const (
	storedFile       = "testdata/stored/events.ended"
	storedMaxEntries = 6
	storedRetention  = time.Hour
	storedNow        = 100 * time.Second
)

// writeStoredEntries writes entries to a new file and returns its bytes.
func writeStoredEntries(t *testing.T, path string) []byte {
	t.Helper()
	table := NewTable(storedMaxEntries, storedRetention)
	f, err := Open(path, table, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for n, e := range []Entry{
		{Key: KeyOf("/s", "0"), Outcome: Delivered},
		{Key: KeyOf("/s", "1"), Outcome: HandedBack, RetryAfter: 1500 * time.Millisecond},
		{Key: KeyOf("/s", "2"), Outcome: Failed},
		{Key: KeyOf("/s", "1"), Outcome: Delivered}, // ended a second time
		{Key: KeyOf("/t", "2"), Outcome: HandedBack, RetryAfter: 5 * time.Hour},
		{Key: KeyOf("/s", "5"), Outcome: Delivered},
		{Key: KeyOf("/s", "6"), Outcome: Failed}, // in the slot of the first
		{Key: KeyOf("/s", "7"), Outcome: Delivered},
	} {
		e.Digest, e.At = DigestOf([]byte{byte(n)}), time.Duration(10+n)*time.Second
		table.Reserve(e.At)
		f.Add(table.Record(e), e)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return readStored(t, path)
}

func listEntries(table *Table) string {
	var b strings.Builder
	table.ForEach(func(index int, e Entry) {
		fmt.Fprintf(&b, "%d key %x digest %x outcome %d at %d retry %d\n", index, e.Key, e.Digest, e.Outcome, e.At, e.RetryAfter)
	})
	fmt.Fprintf(&b, "%d ends, %d reserved\n", table.Len(), table.Reserved())
	return b.String()
}

func readStored(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.FromSlash(path))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestStoredData_EntriesOfEarlierProgram(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events.ended")
	if err := os.WriteFile(path, readStored(t, storedFile), 0o600); err != nil {
		t.Fatal(err)
	}
	table := NewTable(storedMaxEntries, storedRetention)
	f, err := Open(path, table, storedNow)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := listEntries(table), string(readStored(t, storedFile+".golden")); got != want {
		t.Errorf("the file holds\n%s\nwant\n%s", got, want)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if got := readStored(t, path); !bytes.Equal(got, readStored(t, storedFile+".renewed")) {
		t.Errorf("rewritten as %x", got)
	}
}

// The records are byte for byte those of the earlier version.
func TestStoredData_BytesAreUnchanged(t *testing.T) {
	got := writeStoredEntries(t, filepath.Join(t.TempDir(), "events.ended"))
	want := readStored(t, storedFile)
	if len(got) != storedMaxEntries*RecordSize || !bytes.Equal(got[:5*RecordSize], want[:5*RecordSize]) {
		t.Errorf("written as %x, want the beginning of %x", got, want)
	}
}
