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

// lossAfterSessionExpiry: messages are lost, so that the session of a turn store lapses and its replicas are taken out; right after that
// the machine that holds the only synced replicas loses its disk.
var lossAfterSessionExpiry = Script{Version: ScriptVersion, Seed: 2327, Core: 3, Stores: 3, Gateways: 2, Losses: 1, Faults: []Fault{
	{AtMS: 6568, DurationMS: 1433, Kind: LoseMessages}, {AtMS: 7638, DurationMS: 128, Kind: Wipe, Machine: "store-1"}}}

// The retained replicas bring everything back.
func TestPlay_LossAfterSessionExpiry(t *testing.T) {
	for range 3 {
		result, err := Play(lossAfterSessionExpiry, Options{})
		assert.NilError(t, err)
		assert.Assert(t, result.Violation == nil, "%v", result.Violation)
	}
}

// lossAfterMove: a machine of the control plane is replaced as planned, messages are lost while another becomes a member in its place, and
// the next machine is lost as soon as it may be.
var lossAfterMove = Script{Version: ScriptVersion, Seed: 21461, Core: 3, Stores: 4, Gateways: 2, Losses: 1, Faults: []Fault{
	{AtMS: 5582, DurationMS: 2349, Kind: Move, Machine: "core-2"}, {AtMS: 9608, DurationMS: 2089, Kind: LoseMessages},
	{AtMS: 11932, DurationMS: 3825, Kind: Replace, Machine: "core-1"}}}

// The place is taken in time.
func TestPlay_LossAfterMove(t *testing.T) {
	for range 3 {
		result, err := Play(lossAfterMove, Options{})
		assert.NilError(t, err)
		assert.Assert(t, result.Violation == nil, "%v", result.Violation)
	}
}
