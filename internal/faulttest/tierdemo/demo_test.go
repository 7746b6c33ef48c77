package tierdemo

import (
	"context"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRun_CalmKeepsRules(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var notes, shown atomic.Int32
	report, err := Run(t.Context(), Options{Calm: 2 * time.Second, Rate: 5, Log: t.Output(), OnEvent: func(time.Duration, string) { notes.Add(1) },
		Progress: func(time.Duration, string, Counts) { shown.Add(1) }})
	assert.NilError(t, err)
	var b strings.Builder
	report.Print(&b)
	assert.Equal(t, report.Broken(), 0, b.String())
	assert.Assert(t, report.Counts.Completed > 0, b.String())
	for _, v := range report.Verdicts {
		assert.Assert(t, v.Checked > 0, "rule was never checked: %s", v.Rule)
	}
	assert.Assert(t, notes.Load() > 0 && shown.Load() > 0)
	left, err := os.ReadDir(os.Getenv("TMPDIR"))
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0)
}

// An interrupt at the start of the traffic ends the demo, and no files remain.
func TestRun_Interrupted(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	ctx, cancel := context.WithCancel(t.Context())
	report, err := Run(ctx, Options{Calm: time.Hour, Rate: 5, Log: t.Output(), OnEvent: func(time.Duration, string) { cancel() }})
	assert.NilError(t, err)
	assert.Assert(t, report.Interrupted)
	assert.Equal(t, report.Broken(), 0)
	left, err := os.ReadDir(os.Getenv("TMPDIR"))
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0)
}

func TestRun_InvalidOptions(t *testing.T) {
	for _, o := range []Options{{}, {Calm: time.Second}, {Rate: 1}, {Rate: 1, Calm: -1, Faults: 5}} {
		_, err := Run(t.Context(), o)
		assert.ErrorContains(t, err, "needs a rate and a time")
	}
}
