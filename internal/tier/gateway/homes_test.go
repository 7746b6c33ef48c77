package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/ingress"
)

// The first known key counts, and the least recently used lines are forgotten.
func TestHomes(t *testing.T) {
	h := newHomes()
	assert.Equal(t, h.find("a"), "")
	h.note("i1", "a", "", "b")
	h.note("i2", "b")
	assert.Equal(t, h.find("none", "a", "b"), "i1")
	assert.Equal(t, h.find("b"), "i2")
	assert.Equal(t, h.find(""), "")
	for i := range maxHomes - 1 {
		h.note("i3", fmt.Sprint("line ", i))
		h.find("a")
	}
	assert.Equal(t, h.find("a"), "i1")
	assert.Equal(t, h.find("b"), "")
	assert.Equal(t, len(h.of), maxHomes)
}

// A line that branches off is found by the last part of the one it begins with; parts that many share lead nowhere.
func TestHomeOfALineThatBranchesOff(t *testing.T) {
	k := &Gateway{homes: newHomes()}
	of := func(session string, prefix ...string) *clientRequest {
		header := ingress.Header{{Name: "Session", Value: session}}
		return &clientRequest{gateway: k, x: &ingress.Exchange{Header: header}, prefix: prefix}
	}
	of("s1", "system", "p1").noteHome("i1")
	find := func(request *clientRequest) string { return k.homes.find(request.homeKeys()...) }
	assert.Equal(t, find(of("s1", "system", "p2")), "i1")
	assert.Equal(t, find(of("s2", "system", "p1", "q1")), "i1")
	assert.Equal(t, find(of("s3", "system", "r1")), "")
}
