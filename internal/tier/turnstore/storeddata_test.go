package turnstore

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// storedFolders are folders below testdata/stored that were written by the program as of commit eea23b3, before its types were
// renamed. "compacted" is the folder of a primary that compacted its log, continued to write and lost power within a record.
// "appended" is the folder of its backup, which never compacted its log. A later version must read the same contents from the
// folders, so they must not be generated again.
var storedFolders = []string{"compacted", "appended"}

func TestStoredData_OpensFolderOfEarlierVersion(t *testing.T) {
	for _, folder := range storedFolders {
		t.Run(folder, func(t *testing.T) {
			dir := copyOfFolder(t, filepath.Join("testdata", "stored", folder))
			store := openFolder(t, dir)
			golden.Assert(t, listing(t, store), filepath.Join("stored", folder+".golden"))
			assert.NilError(t, store.Close())
			// What was read is durable: the torn tail is truncated, and nothing else changes.
			again := openFolder(t, dir)
			golden.Assert(t, listing(t, again), filepath.Join("stored", folder+".golden"))
			assert.NilError(t, again.Compact(t.Context(), true))
			assert.NilError(t, again.Close())
			compacted := openFolder(t, dir)
			golden.Assert(t, facts(t, compacted), filepath.Join("stored", folder+".facts.golden"))
			assert.NilError(t, compacted.Close())
		})
	}
}

func openFolder(t *testing.T, dir string) *TurnStore {
	t.Helper()
	store, err := Open(Config{Node: "a", Dir: dir, Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		Dial: func(string) tierv1.TurnStore { return nil }})
	assert.NilError(t, err)
	return store
}

// copyOfFolder copies a folder's files, as opening a folder writes to it.
func copyOfFolder(t *testing.T, from string) string {
	t.Helper()
	dir := t.TempDir()
	entries, err := os.ReadDir(from)
	assert.NilError(t, err)
	for _, e := range entries {
		content, err := os.ReadFile(filepath.Join(from, e.Name()))
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, e.Name()), content, 0o600))
	}
	return dir
}

// listing returns all that a turn store has read: its identity, the estimated sizes, and the facts of its partitions.
func listing(t *testing.T, store *TurnStore) string {
	t.Helper()
	assert.Assert(t, !store.WasEmpty())
	header := fmt.Sprintf("folder %s memory %d disk %d longest retention %s\n", store.Folder(), store.state.memory, store.state.disk, store.state.longestRetention)
	return header + facts(t, store)
}

// facts lists the facts of all partitions, encoded as for another replica or a write-ahead log, and the charges of their programs.
func facts(t *testing.T, store *TurnStore) string {
	t.Helper()
	var out strings.Builder
	for _, id := range sortedKeys(store.state.partitions) {
		p := store.state.partitions[id]
		fmt.Fprintf(&out, "partition %d\n", id)
		for _, name := range sortedKeys(p.programs) {
			fmt.Fprintf(&out, "  program %q charged %d entries %d\n", name, p.programs[name].charged, p.programs[name].entries)
		}
		for _, attempt := range sortedKeys(p.entries) {
			e := p.entries[attempt]
			fmt.Fprintf(&out, "  attempt %q keys %s\n", attempt, strings.Join(e.keys(nil), " "))
			for _, f := range p.facts(e) {
				encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(f)
				assert.NilError(t, err)
				fmt.Fprintf(&out, "    %q\n", encoded)
			}
		}
	}
	return out.String()
}

func sortedKeys[K ~uint32 | ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
