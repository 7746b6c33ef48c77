package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/http1"
	"saffronyard.example/saffronyard/internal/tier/ingress"
)

// The first known key is used, and the least recently used entries are evicted.
func TestAffinityTable(t *testing.T) {
	table := newAffinityTable()
	assert.Equal(t, table.find("a"), "")
	table.record("i1", "a", "", "b")
	table.record("i2", "b")
	assert.Equal(t, table.find("none", "a", "b"), "i1")
	assert.Equal(t, table.find("b"), "i2")
	assert.Equal(t, table.find(""), "")
	for i := range maxAffinityEntries - 1 {
		table.record("i3", fmt.Sprint("key ", i))
		table.find("a")
	}
	assert.Equal(t, table.find("a"), "i1")
	assert.Equal(t, table.find("b"), "")
	assert.Equal(t, len(table.entries), maxAffinityEntries)
}

// A conversation that branches off another one is found by the last part of the other's prompt. Parts that many conversations share
// have no entry.
func TestAffinityTable_BranchOfConversation(t *testing.T) {
	gateway := &Gateway{affinity: newAffinityTable()}
	of := func(session string, prefix ...string) *clientRequest {
		header := http1.Header{{Name: "Session", Value: session}}
		return &clientRequest{gateway: gateway, exchange: &ingress.Exchange{Header: header}, prefix: prefix}
	}
	of("s1", "system", "p1").recordAffinity("i1")
	find := func(request *clientRequest) string { return gateway.affinity.find(request.affinityKeys()...) }
	assert.Equal(t, find(of("s1", "system", "p2")), "i1")
	assert.Equal(t, find(of("s2", "system", "p1", "q1")), "i1")
	assert.Equal(t, find(of("s3", "system", "r1")), "")
}
