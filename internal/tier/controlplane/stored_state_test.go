package controlplane

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// The files in storedStateDir were written by the program of revision eea23b3 and must never be regenerated: every later
// version must be able to read them. They contain a control state with five configurations accepted one after the other, four
// turn stores, one machine that was retired, one that is being retired while its replicas are being synced, and one that was
// lost.
//
//	keys.txt     a line each: key, sequence and value (hexadecimal) of the control state
//	listing.txt  the content of that state as text
//	core-N/      the data directory of one of the three core machines that stored it
const storedStateDir = "testdata/stored_state"

// compareGolden compares a text with a file of testdata.
func compareGolden(t *testing.T, got, file string) {
	t.Helper()
	want, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Equal(t, got, string(want), "%s", file)
}

// storedKeys reads keys.txt into a control state in memory.
func storedKeys(t *testing.T) *memoryStore {
	t.Helper()
	s := newMemoryStore()
	body, err := os.ReadFile(filepath.Join(storedStateDir, "keys.txt"))
	assert.NilError(t, err)
	for line := range strings.Lines(string(body)) {
		fields := strings.Fields(line)
		assert.Equal(t, len(fields), 3, "%q", line)
		sequence, err := strconv.ParseUint(fields[1], 10, 64)
		assert.NilError(t, err)
		value, err := hex.DecodeString(fields[2])
		assert.NilError(t, err)
		s.values[fields[0]], s.sequences[fields[0]] = value, sequence
		s.sequence = max(s.sequence, sequence)
	}
	return s
}

// listView lists the control state in a published state.
func listView(v *publishedState) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d\n", v.changes.current)
	fmt.Fprintf(&b, "configuration version %d, %d bytes\n%s\n", v.configuration.Version, len(v.configuration.Body), v.configuration.Body)
	for _, order := range v.changes.records {
		fmt.Fprintf(&b, "order revision %d base %d digest %x\n", order.revision, order.baseRevision, order.digest)
	}
	listPartitionMap(&b, v.partitionMap)
	return b.String()
}

func listPartitionMap(b *strings.Builder, m *tierv1.PartitionMap) {
	fmt.Fprintf(b, "partition map version %d\n", m.Version)
	for _, node := range m.StoreNodes {
		fmt.Fprintf(b, "turn store folder %q node %q address %q zone %q region %q\n", node.Folder, node.Node, node.Address, node.Zone, node.Region)
	}
	fmt.Fprintf(b, "retiring %q\nretired %q\n", m.Retiring, m.Retired)
	for i, p := range m.Partitions {
		fmt.Fprintf(b, "partition %d epoch %d primary %q recover from %q acknowledged until %d\n", i, p.Epoch, p.Primary, p.RecoverFrom, p.AcknowledgedUntil)
		for _, c := range p.Backups {
			fmt.Fprintf(b, "  backup folder %q synced %t since %d\n", c.Folder, c.Synced, c.Since)
		}
		for _, r := range p.Retained {
			fmt.Fprintf(b, "  retained folder %q since %d until %d\n", r.Folder, r.Since, r.Until)
		}
	}
}

// A new primary reads the stored keys, and decides on repeats of changes that were accepted before as the old primary did.
func TestStoredState_KeysAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storedKeys(t)
		plane := New(Config{Settings: testSettings(), Store: s})
		assert.NilError(t, plane.startEpoch(t.Context(), s.epoch))
		v, ok := plane.primary()
		assert.Assert(t, ok)
		compareGolden(t, listView(v), filepath.Join(storedStateDir, "listing.txt"))
		h := &harness{t: t, store: s, plane: plane, ctx: t.Context()}
		assertStatus(t, h.replaceBody(0, configuration(3, "s")), 200)
		assertStatus(t, h.replaceBody(5, configuration(9, "c")), 200)
		assertStatus(t, h.replaceBody(5, configuration(9, "other")), 412)
		assertStatus(t, h.replaceBody(20, configuration(20, "other")), 400)
		assert.Equal(t, h.call("GET", "Retire.Describe/v1", nil, nil).Body.String(), `{"lifecycle_state":"completed"}`)
		assert.Equal(t, h.call("GET", "Retire.Describe/v2", nil, nil).Body.String(), `{"lifecycle_state":"in_progress"}`)
		assertStatus(t, h.call("GET", "Retire.Describe/v3", nil, nil), 404)
		assertStatus(t, h.replaceBody(20, configuration(21, "next")), 200)
	})
}

// loadDisk returns a disk in memory with the files of a stored data directory.
func loadDisk(t *testing.T, from string) *wal.Memory {
	t.Helper()
	disk := wal.NewMemory()
	assert.NilError(t, disk.MkdirAll("/data"))
	entries, err := os.ReadDir(from)
	assert.NilError(t, err)
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(from, entry.Name()))
		assert.NilError(t, err)
		file, err := disk.Create("/data/" + entry.Name())
		assert.NilError(t, err)
		_, err = file.WriteAt(content, 0)
		assert.NilError(t, err)
		assert.NilError(t, file.Sync())
		assert.NilError(t, file.Close())
	}
	assert.NilError(t, disk.SyncDir("/data"))
	return disk
}

// listKeys lists the control state of a process in the format of keys.txt, without the epoch marker, which each new primary writes.
func listKeys(s Store) string {
	keys := []string{keyConfiguration, keyPartitionMap}
	for revision := range int64(100) {
		keys = append(keys, changeKey(revision))
	}
	var lines []string
	for _, key := range keys {
		if value, sequence := s.Get(key); value != nil {
			lines = append(lines, fmt.Sprintf("%s %d %x\n", key, sequence, value))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// Core machines load the control state from disks that a former version wrote.
func TestStoredState_DisksAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := &cluster{}
		c.addMachines(ctx, t, 1, 3)
		for _, m := range c.machines {
			m.disk = loadDisk(t, filepath.Join(storedStateDir, m.node))
		}
		for _, m := range c.machines {
			c.start(m, false)
		}
		var leader *coreMachine
		for range 1000 {
			if leader = c.leader(); leader != nil {
				break
			}
			<-time.After(10 * time.Millisecond)
		}
		assert.Assert(t, leader != nil)
		want, err := os.ReadFile(filepath.Join(storedStateDir, "keys.txt"))
		assert.NilError(t, err)
		var stable []byte
		for line := range bytes.Lines(want) {
			if !bytes.HasPrefix(line, []byte(keyEpochMarker+" ")) {
				stable = append(stable, line...)
			}
		}
		assert.Equal(t, listKeys(leader.store), string(stable))
		<-time.After(100 * time.Millisecond)
		v, ok := leader.plane.primary()
		assert.Assert(t, ok)
		compareGolden(t, listView(v), filepath.Join(storedStateDir, "listing.txt"))
		c.stopAll()
		cancel()
		synctest.Wait()
	})
}
