package simulation

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestViewChecker(t *testing.T) {
	var f recordedRules
	v := newViewChecker(f.report)
	one, two := &process{}, &process{}
	part := func(epoch uint64, primary string) *tierv1.PartitionMap {
		return &tierv1.PartitionMap{Version: 10 * epoch, Partitions: []*tierv1.Partition{{Epoch: epoch, Primary: primary}}}
	}
	v.recordPartitionMap("one", one, part(1, "a"))
	v.recordPartitionMap("one", one, part(2, "b"))
	v.recordPartitionMap("two", two, part(1, "a"))
	assert.Equal(t, len(f.rules), 0)
	v.recordPartitionMap("two", two, part(2, "c")) // another value of the version, and of the epoch
	v.recordPartitionMap("one", one, part(1, "a"))
	assert.DeepEqual(t, f.rules, []Rule{RuleOneValue, RuleOneValue, RuleMonotonic})
	v.recordConfiguration("one", one, &tierv1.Configuration{Version: 5, Body: []byte("x")}, 3)
	v.recordConfiguration("one", one, &tierv1.Configuration{Version: 6, Body: []byte("y")}, 2)
	assert.DeepEqual(t, f.rules[3:], []Rule{RuleMonotonic})
}

// The first version and revision that a new process receives must not be older than those in force when the process began.
func TestViewChecker_FirstView(t *testing.T) {
	var f recordedRules
	v := newViewChecker(f.report)
	show := func(p *process, version uint64, revision int64) {
		v.recordConfiguration("g", p, &tierv1.Configuration{Version: version, Body: []byte(fmt.Sprint(revision))}, revision)
	}
	show(&process{}, 7, 3)
	assert.Equal(t, v.highest(), [2]uint64{7, 0})
	show(&process{floor: 3, receivedBefore: v.highest()}, 7, 3)
	assert.Equal(t, len(f.rules), 0)
	show(&process{floor: 3, receivedBefore: v.highest()}, 6, 3)
	show(&process{floor: 4}, 8, 3)
	assert.DeepEqual(t, f.rules, []Rule{RuleStale, RuleStale})
	v.recordPartitionMap("s", &process{receivedBefore: [2]uint64{0, 5}}, &tierv1.PartitionMap{Version: 4})
	assert.DeepEqual(t, f.rules[2:], []Rule{RuleStale})
}
