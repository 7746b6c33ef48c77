package simulation

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMaxMembersLost(t *testing.T) {
	domains := map[string]string{"a": "zone-1", "b": "zone-1", "c": "zone-2"}
	assert.Equal(t, maxMembersLost(domains, 1), 2)
	assert.Equal(t, maxMembersLost(domains, 5), 3)
	assert.Equal(t, maxMembersLost(nil, 1), 0)
}
