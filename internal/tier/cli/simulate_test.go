package cli

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSimulate_ReportsAllInvalidFlags(t *testing.T) {
	err := simulateCmd{Seeds: 0, From: -1, Jobs: 0, Shrink: -1, Times: 0, Fault: []string{"flood", "kill"}, Ignore: []string{"none"}}.Run()
	for _, part := range []string{"--seeds is 0", "--from is -1", "--jobs is 0", "--shrink is -1", "--times is 0", `--fault: "flood"`, `--ignore: "none"`} {
		assert.ErrorContains(t, err, part)
	}
}
