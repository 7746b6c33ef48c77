package simulation

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// Numbers of seeds that the test plays.
const (
	seeds      = 500
	seedsShort = 4
)

func TestPlayInWorkers_Seeds(t *testing.T) {
	batch := Batch{Seeds: seeds, Jobs: runtime.GOMAXPROCS(0), Failed: func(f Failure) {
		t.Errorf("%v%v %s\n%s", f.Script, f.Violation, f.SimulatorError, f.Trace)
	}}
	if testing.Short() || raceDetector {
		batch.Seeds = seedsShort
	}
	self, err := os.Executable()
	assert.NilError(t, err)
	total, err := batch.PlayInWorkers(t.Context(), func(ctx context.Context, from, seeds uint64) *exec.Cmd {
		c := exec.CommandContext(ctx, self)
		c.Env = append(os.Environ(), fmt.Sprint(workerVariable, "=", from, " ", seeds))
		return c
	})
	assert.NilError(t, err)
	t.Logf("%+v, %.0f seeds a minute", total, float64(total.Played)/total.RealTime.Minutes())
	assert.Equal(t, total.Played, batch.Seeds)
	assert.Assert(t, total.Orders > 0 && total.Turns > 0, "%+v", total)
}
