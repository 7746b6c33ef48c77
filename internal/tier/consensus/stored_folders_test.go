package consensus

import (
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const storedFolders = "testdata/stored"

// TestStoredFolders_ReadAsWritten opens folders that revision eea23b3 wrote (testdata/stored: of a primary, a backup, a witness, a backup
// that was lost, a rewritten file, a torn tail, an accepted view that was not chosen) and compares their complete content with the listing
// that eea23b3 made of it.
func TestStoredFolders_ReadAsWritten(t *testing.T) {
	listings, err := filepath.Glob(filepath.Join(storedFolders, "*.golden"))
	assert.NilError(t, err)
	assert.Equal(t, len(listings), 7)
	for _, listing := range listings {
		name := strings.TrimSuffix(filepath.Base(listing), ".golden")
		t.Run(name, func(t *testing.T) {
			want, err := os.ReadFile(listing)
			assert.NilError(t, err)
			folder := openStoredFolder(t, name)
			state, records := readStored(t, folder)
			assert.Equal(t, listStored(state, records), string(want))

			node, err := Open(Config{Self: &tierv1.Member{Address: "a.example:7400"}, Dir: folder, FS: wal.OS{}, ContactWindow: 3 * time.Second,
				Dial: func(string) tierv1.Election { return nil }})
			assert.NilError(t, err)
			assert.NilError(t, node.DiskError())
			assert.Equal(t, node.Self().Folder, state.Folder)
			assert.NilError(t, node.file.Close())
		})
	}
}

// TestStoredFolders_RewriteAsWritten compares the records of a rewrite with those that revision eea23b3 made of the same state.
func TestStoredFolders_RewriteAsWritten(t *testing.T) {
	state, _ := readStored(t, openStoredFolder(t, "primary"))
	_, want := readStored(t, openStoredFolder(t, "rewritten"))
	assert.Equal(t, len(want), 6) // the last was appended after the rewrite
	assert.DeepEqual(t, state.records(), want[:5])
}

// openStoredFolder copies a stored folder to a temporary one and returns its path.
func openStoredFolder(t *testing.T, name string) string {
	t.Helper()
	stored, err := os.ReadFile(filepath.Join(storedFolders, name, fileName))
	assert.NilError(t, err)
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, fileName), stored, 0o600))
	return folder
}

// readStored replays the file of a folder and returns the state and the records as they were stored.
func readStored(t *testing.T, folder string) (*durableState, [][]byte) {
	t.Helper()
	state := new(durableState)
	var records [][]byte
	file, err := wal.Open(wal.OS{}, folder, fileName, func(record []byte) error {
		records = append(records, record)
		return state.replay(record)
	})
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	return state, records
}

// listStored lists a state and the records that it was read from.
func listStored(state *durableState, records [][]byte) string {
	var listing strings.Builder
	kinds := make([]string, len(records))
	for i, record := range records {
		kinds[i] = fmt.Sprintf("%c%d:%08x", record[0], len(record), crc32.ChecksumIEEE(record))
	}
	fmt.Fprintf(&listing, "records: %s\n", strings.Join(kinds, " "))
	fmt.Fprintf(&listing, "folder: %s genesis=%v seeds=%v\n", state.Folder, state.Genesis, state.Seeds)
	fmt.Fprintf(&listing, "promised: %d to %q\n", state.preparedEpoch, state.preparedFor)
	fmt.Fprintf(&listing, "accepted: %s\n", listStoredView(state.accepted))
	fmt.Fprintf(&listing, "chosen: %s\n", listStoredView(state.chosen))
	fmt.Fprintf(&listing, "state: sequence=%d epoch=%d size=%d\n", state.sequence, state.stateEpoch, state.size)
	for _, key := range slices.Sorted(maps.Keys(state.entries)) {
		entry := state.entries[key]
		fmt.Fprintf(&listing, "entry: %q sequence=%d bytes=%d crc=%08x %.40q\n", entry.Key, entry.Sequence, len(entry.Value), crc32.ChecksumIEEE(entry.Value), entry.Value)
	}
	return listing.String()
}

func listStoredView(view *tierv1.View) string {
	if view == nil {
		return "none"
	}
	return fmt.Sprintf("epoch=%d primary=%s backups=%v members=%s former=%s", view.Epoch, view.Primary, view.Backups,
		listStoredMembers(view.Members), listStoredMembers(view.Former))
}

func listStoredMembers(members []*tierv1.Member) string {
	list := make([]string, len(members))
	for i, member := range members {
		list[i] = fmt.Sprintf("%s@%s/%s/%s/%s", member.Folder, member.Address, member.Node, member.Zone, member.Region)
	}
	return "[" + strings.Join(list, " ") + "]"
}
