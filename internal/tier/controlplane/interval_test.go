package controlplane

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/settings"
)

// Where the platform takes few calls and gives short pages, its rate bounds how often the whole list is read. What a
// reading costs in calls must stay below that rate, and a draining endpoint is seen within the drain time wherever the
// rate lets the list be read twice in it.
func TestIntervalKeepsTheDrainTimeAtAScantRate(t *testing.T) {
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, rate := range []float64{4, 8, 14, 47} {
			for _, pages := range []int{1, 2, 5, 8, 20} {
				name := fmt.Sprint("drain ", drain, ", rate ", rate, ", pages ", pages)
				k := &ControlPlane{Config: Config{Settings: settings.Settings{DrainTimeout: drain, CloudRate: rate}}}
				d := k.pollInterval(pages, 0)
				assert.Assert(t, float64(pages) < rate*d.Seconds(), name)
				if 2*float64(pages) <= rate*drain.Seconds() {
					assert.Assert(t, d <= drain*3/4, "%s: %v", name, d)
				}
				assert.Assert(t, d >= drain/pollDivisor, name)
			}
		}
	}
}
