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
	h := newAffinityTable()
	assert.Equal(t, h.find("a"), "")
	h.record("i1", "a", "", "b")
	h.record("i2", "b")
	assert.Equal(t, h.find("none", "a", "b"), "i1")
	assert.Equal(t, h.find("b"), "i2")
	assert.Equal(t, h.find(""), "")
	for i := range maxAffinityEntries - 1 {
		h.record("i3", fmt.Sprint("key ", i))
		h.find("a")
	}
	assert.Equal(t, h.find("a"), "i1")
	assert.Equal(t, h.find("b"), "")
	assert.Equal(t, len(h.entries), maxAffinityEntries)
}

// A conversation that branches off another one is found by the last part of the other's prompt. Parts that many conversations share
// have no entry.
func TestAffinityTable_BranchOfConversation(t *testing.T) {
	k := &Gateway{affinity: newAffinityTable()}
	of := func(session string, prefix ...string) *clientRequest {
		header := http1.Header{{Name: "Session", Value: session}}
		return &clientRequest{gateway: k, exchange: &ingress.Exchange{Header: header}, prefix: prefix}
	}
	of("s1", "system", "p1").recordAffinity("i1")
	find := func(request *clientRequest) string { return k.affinity.find(request.affinityKeys()...) }
	assert.Equal(t, find(of("s1", "system", "p2")), "i1")
	assert.Equal(t, find(of("s2", "system", "p1", "q1")), "i1")
	assert.Equal(t, find(of("s3", "system", "r1")), "")
}
