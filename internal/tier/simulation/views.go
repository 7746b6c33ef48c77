package simulation

import (
	"fmt"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// views checks what processes are shown: versions rise within a life, one version is one value everywhere, and one epoch of a
// partition has one primary and one set of copies.
type views struct {
	report reporter

	mu       sync.Mutex
	versions map[string]string      // kind and version to value
	last     map[*process][2]uint64 // versions of the configuration and the map
	revision map[*process]int64
	epochs   map[string]string // partition and epoch to copies
	shown    [2]uint64         // highest versions of the configuration and the map that anyone was shown
	newest   *tierv1.PartitionMap
}

func newViews(report reporter) *views {
	return &views{report: report, versions: map[string]string{}, last: map[*process][2]uint64{}, revision: map[*process]int64{},
		epochs: map[string]string{}}
}

// highest gives the highest versions of the configuration and the map that anyone was shown.
func (v *views) highest() [2]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.shown
}

// newestMap is the newest map of the partitions that anyone was shown.
func (v *views) newestMap() *tierv1.PartitionMap {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest
}

// same checks that a version was never another value. The lock is held.
func (v *views) same(kind string, version uint64, value string) {
	key := fmt.Sprint(kind, " ", version)
	if before, ok := v.versions[key]; ok && before != value {
		v.report(RuleOneValue, "%s stands for two values", key)
	}
	v.versions[key] = value
}

// rises checks that a version is above the one before in a process's life, and that the first one is none that is older than what
// anyone had been shown when that began. The lock is held.
func (v *views) rises(name string, p *process, kind int, version uint64) {
	last := v.last[p]
	if last[kind] == 0 && version < p.shownBefore[kind] {
		v.report(RuleStale, "%s was first shown version %d, and %d had been shown before it began", name, version, p.shownBefore[kind])
	}
	if version <= last[kind] {
		v.report(RuleFalls, "%s was shown version %d after %d", name, version, last[kind])
	}
	last[kind] = version
	v.last[p] = last
	v.shown[kind] = max(v.shown[kind], version)
}

// tookConfiguration takes what a gateway was shown.
func (v *views) tookConfiguration(name string, p *process, c *tierv1.Configuration, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rises(name, p, 0, c.Version)
	v.same("configuration", c.Version, string(c.Body))
	if _, any := v.revision[p]; !any && revision < p.floor {
		v.report(RuleStale, "%s was first shown revision %d, and %d was in force when it began", name, revision, p.floor)
	}
	if before := v.revision[p]; revision < before {
		v.report(RuleFalls, "%s was shown revision %d after %d", name, revision, before)
	}
	v.revision[p] = revision
}

// holds is the revision that a process holds.
func (v *views) holds(p *process) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision[p]
}

// tookMap takes a map of the partitions that a process was shown.
func (v *views) tookMap(name string, p *process, m *tierv1.PartitionMap) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rises(name, p, 1, m.Version)
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		v.report(RuleShown, "a map that can't be written: %v", err)
		return
	}
	v.same("map", m.Version, string(body))
	for i, part := range m.Partitions {
		copies := []string{part.Primary}
		for _, c := range part.Backups {
			copies = append(copies, c.Folder)
		}
		key := fmt.Sprint("partition ", i, ", epoch ", part.Epoch)
		value := strings.Join(copies, " ")
		if before, ok := v.epochs[key]; ok && before != value {
			v.report(RuleOneValue, "%s has the copies %s, and %s", key, before, value)
		}
		v.epochs[key] = value
	}
	if v.newest.GetVersion() < m.Version {
		v.newest = m
	}
}
