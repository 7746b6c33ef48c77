package controlplane

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestWithRetireOrder_Bounded(t *testing.T) {
	m := &tierv1.PartitionMap{StoreNodes: []*tierv1.StoreNode{{Node: "n0", Folder: "f0"}}}
	const orders = maxRetireRecords + 40
	for i := range orders {
		m = withRetireOrder(m, fmt.Sprint("n", i))
		if i != 1 { // n1 is never emptied
			m.Retired = append(m.Retired, fmt.Sprint("n", i))
		}
	}
	assert.Equal(t, len(m.Retiring), maxRetireRecords)
	assert.DeepEqual(t, m.Retiring[:2], []string{"n0", "n1"}) // n0 is still in the map, n1 is not emptied yet
	assert.Equal(t, m.Retiring[maxRetireRecords-1], fmt.Sprint("n", orders-1))
	assert.Equal(t, len(m.Retired), maxRetireRecords-1)
}
