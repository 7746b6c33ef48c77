package simulation

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPlay_WithoutFaults(t *testing.T) {
	result, err := Play(Script{Version: ScriptVersion, Seed: 1, Core: 3, Stores: 3, Gateways: 2, Losses: 1}, Options{})
	assert.NilError(t, err)
	assert.Assert(t, result.Violation == nil, "%v", result.Violation)
	assert.Assert(t, result.Orders > 5 && result.Turns > 50, "%+v", result)
}

// lossAfterSessionExpiry loses messages, so that the session of a turn store expires and its replicas are taken out of the map. Right
// after that, the machine with the only synced replicas loses its disk.
var lossAfterSessionExpiry = Script{Version: ScriptVersion, Seed: 2327, Core: 3, Stores: 3, Gateways: 2, Losses: 1, Faults: []Fault{
	{AtMS: 6568, DurationMS: 1433, Kind: LoseMessages}, {AtMS: 7638, DurationMS: 128, Kind: Wipe, Machine: "store-1"}}}

// All data is recovered from the retained replicas.
func TestPlay_LossAfterSessionExpiry(t *testing.T) {
	for range 3 {
		result, err := Play(lossAfterSessionExpiry, Options{})
		assert.NilError(t, err)
		assert.Assert(t, result.Violation == nil, "%v", result.Violation)
	}
}

// lossAfterMove replaces a control-plane machine as planned, loses messages while another machine becomes a member in its place, and
// loses the next machine as soon as tolerated.
var lossAfterMove = Script{Version: ScriptVersion, Seed: 21461, Core: 3, Stores: 4, Gateways: 2, Losses: 1, Faults: []Fault{
	{AtMS: 5582, DurationMS: 2349, Kind: Move, Machine: "core-2"}, {AtMS: 9608, DurationMS: 2089, Kind: LoseMessages},
	{AtMS: 11932, DurationMS: 3825, Kind: Replace, Machine: "core-1"}}}

// The new machine becomes a member in time.
func TestPlay_LossAfterMove(t *testing.T) {
	for range 3 {
		result, err := Play(lossAfterMove, Options{})
		assert.NilError(t, err)
		assert.Assert(t, result.Violation == nil, "%v", result.Violation)
	}
}
