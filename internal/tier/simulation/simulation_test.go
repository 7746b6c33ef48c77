package simulation

import (
	"context"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// How many seeds the test plays.
const (
	seeds      = 500
	seedsShort = 8
)

func TestSeeds(t *testing.T) {
	batch := Batch{Seeds: seeds, Jobs: runtime.GOMAXPROCS(0), Failed: func(f Failure) {
		t.Errorf("%v%v %v", f.Script, f.Broken, f.Err)
	}}
	if testing.Short() || raceDetector {
		batch.Seeds = seedsShort
	}
	total := batch.Play(context.Background())
	t.Logf("%+v", total)
	assert.Assert(t, total.Orders > 0 && total.Turns > 0, "%+v", total)
}

func TestCalm(t *testing.T) {
	result, err := Play(Script{Version: ScriptVersion, Seed: 1, Core: 3, Stores: 3, Gateways: 2, Losses: 1}, Options{})
	assert.NilError(t, err)
	assert.Assert(t, result.Broken == nil, "%v", result.Broken)
	assert.Assert(t, result.Orders > 5 && result.Turns > 50, "%+v", result)
}
