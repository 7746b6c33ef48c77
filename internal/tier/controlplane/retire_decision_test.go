package controlplane

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRetireRequest_Decide(t *testing.T) {
	for _, c := range []struct {
		name    string
		request retireRequest
		want    retireDecision
	}{
		{"enough remain", retireRequest{knownNode: true, remainingStores: 2, remainingMapped: 2, losses: 1}, retireAccept},
		{"just too few", retireRequest{knownNode: true, remainingStores: 1, remainingMapped: 1, losses: 1}, retireTooFewRemain},
		{"others are down", retireRequest{knownNode: true, remainingStores: 1, remainingMapped: 2, losses: 1}, retireTryLater},
		{"unknown", retireRequest{remainingStores: 5, remainingMapped: 5, losses: 1}, retireUnknownNode},
		{"unknown yet", retireRequest{remainingStores: 5, losses: 1, takeoverGrace: true}, retireTryLater},
		{"too few yet", retireRequest{knownNode: true, remainingStores: 1, losses: 1, takeoverGrace: true}, retireTryLater},
		{"again", retireRequest{alreadyOrdered: true, knownNode: true, remainingStores: 2, remainingMapped: 2, losses: 1}, retireAlreadyOrdered},
		{"again, when too few are left", retireRequest{alreadyOrdered: true, knownNode: true, losses: 1}, retireAlreadyOrdered},
		{"again, when it is gone", retireRequest{alreadyOrdered: true, remainingStores: 2, remainingMapped: 2, losses: 1}, retireAlreadyOrdered},
		{"again, after a takeover", retireRequest{alreadyOrdered: true, losses: 1, takeoverGrace: true}, retireAlreadyOrdered},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.request.decide(), c.want) })
	}
}
