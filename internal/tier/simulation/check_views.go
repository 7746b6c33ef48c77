package simulation

import (
	"fmt"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// viewChecker checks what processes receive: versions increase within an incarnation, one version has the same value everywhere, and one
// epoch of a partition has one primary and one set of replicas.
type viewChecker struct {
	report reporter

	mu                 sync.Mutex
	versions           map[string]string      // kind and version to value
	last               map[*process][2]uint64 // versions of the configuration and the map
	revision           map[*process]int64
	epochs             map[string]string // partition and epoch to replicas
	highestReceived    [2]uint64         // highest versions of the configuration and the map that any process received
	newestPartitionMap *tierv1.PartitionMap
}

// newViewChecker returns a checker that has seen no view.
func newViewChecker(report reporter) *viewChecker {
	return &viewChecker{report: report, versions: map[string]string{}, last: map[*process][2]uint64{}, revision: map[*process]int64{},
		epochs: map[string]string{}}
}

// highest returns the highest versions of the configuration and the map that any process received.
func (v *viewChecker) highest() [2]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.highestReceived
}

// newestMap returns the newest partition map that any process received.
func (v *viewChecker) newestMap() *tierv1.PartitionMap {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newestPartitionMap
}

// checkOneValue checks that a version never had another value. The caller holds mu.
func (v *viewChecker) checkOneValue(kind string, version uint64, value string) {
	key := fmt.Sprint(kind, " ", version)
	if before, ok := v.versions[key]; ok && before != value {
		v.report(RuleOneValue, "%s stands for two values", key)
	}
	v.versions[key] = value
}

// checkMonotonic checks that a version is higher than the previous one of a process, and that the first version of a process is not lower
// than any version that any process had received before this process began. The caller holds mu.
func (v *viewChecker) checkMonotonic(name string, p *process, kind int, version uint64) {
	last := v.last[p]
	if last[kind] == 0 && version < p.receivedBefore[kind] {
		v.report(RuleStale, "%s was first shown version %d, and %d had been shown before it began", name, version, p.receivedBefore[kind])
	}
	if version <= last[kind] {
		v.report(RuleMonotonic, "%s was shown version %d after %d", name, version, last[kind])
	}
	last[kind] = version
	v.last[p] = last
	v.highestReceived[kind] = max(v.highestReceived[kind], version)
}

// recordConfiguration records a configuration that a gateway received.
func (v *viewChecker) recordConfiguration(name string, p *process, c *tierv1.Configuration, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checkMonotonic(name, p, 0, c.Version)
	v.checkOneValue("configuration", c.Version, string(c.Body))
	if _, any := v.revision[p]; !any && revision < p.floor {
		v.report(RuleStale, "%s was first shown revision %d, and %d was in force when it began", name, revision, p.floor)
	}
	if before := v.revision[p]; revision < before {
		v.report(RuleMonotonic, "%s was shown revision %d after %d", name, revision, before)
	}
	v.revision[p] = revision
}

// currentRevision returns the revision that a process holds.
func (v *viewChecker) currentRevision(p *process) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision[p]
}

// recordPartitionMap records a partition map that a process received.
func (v *viewChecker) recordPartitionMap(name string, p *process, m *tierv1.PartitionMap) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checkMonotonic(name, p, 1, m.Version)
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		v.report(RuleKnownConfiguration, "a map that can't be written: %v", err)
		return
	}
	v.checkOneValue("map", m.Version, string(body))
	for i, part := range m.Partitions {
		replicas := []string{part.Primary}
		for _, c := range part.Backups {
			replicas = append(replicas, c.Folder)
		}
		key := fmt.Sprint("partition ", i, ", epoch ", part.Epoch)
		value := strings.Join(replicas, " ")
		if before, ok := v.epochs[key]; ok && before != value {
			v.report(RuleOneValue, "%s has the copies %s, and %s", key, before, value)
		}
		v.epochs[key] = value
	}
	if v.newestPartitionMap.GetVersion() < m.Version {
		v.newestPartitionMap = m
	}
}
