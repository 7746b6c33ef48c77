package wal

import (
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestStoredFiles_ReadAsWritten opens files that revision eea23b3 wrote (testdata/stored: appended, rewritten, empty, torn and
// damaged ones) and compares all records with the listing that this revision made of them.
func TestStoredFiles_ReadAsWritten(t *testing.T) {
	paths, err := filepath.Glob("testdata/stored/*.wal")
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 5)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".wal"), func(t *testing.T) {
			stored, err := os.ReadFile(path)
			assert.NilError(t, err)
			want, err := os.ReadFile(strings.TrimSuffix(path, ".wal") + ".golden")
			assert.NilError(t, err)
			folder := t.TempDir()
			assert.NilError(t, os.WriteFile(filepath.Join(folder, "log"), stored, 0o600))
			assert.Equal(t, listRecords(t, folder), string(want))
			assert.Equal(t, listRecords(t, folder), string(want), "opened again after the first open truncated its tail")
		})
	}
}

// listRecords opens the log in folder and lists its records and its size.
func listRecords(t *testing.T, folder string) string {
	t.Helper()
	var listing strings.Builder
	file, err := Open(OS{}, folder, "log", func(record []byte) error {
		fmt.Fprintf(&listing, "record: bytes=%d crc=%08x %.40q\n", len(record), crc32.ChecksumIEEE(record), record)
		return nil
	})
	assert.NilError(t, err)
	fmt.Fprintf(&listing, "size: %d\n", file.Size())
	assert.NilError(t, file.Close())
	return listing.String()
}
