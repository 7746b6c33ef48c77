package simulation

import (
	"slices"
)

// FailsFunc reports whether a script breaks a rule. As plays of one script may differ, it may play the script several times.
type FailsFunc func(Script) bool

// Shrink returns a shorter script that still fails: faults are dropped, then made shorter.
func Shrink(script Script, fails FailsFunc) Script {
	for changed := true; changed; {
		changed = false
		for i := len(script.Faults) - 1; i >= 0; i-- {
			without := script
			without.Faults = slices.Delete(slices.Clone(script.Faults), i, i+1)
			if fails(without) {
				script, changed = without, true
			}
		}
	}
	for i := range script.Faults {
		for script.Faults[i].DurationMS > minFaultDurationMS {
			shorter := script
			shorter.Faults = slices.Clone(script.Faults)
			shorter.Faults[i].DurationMS /= 2
			if !fails(shorter) {
				break
			}
			script = shorter
		}
	}
	return script
}

// minFaultDurationMS is the duration in milliseconds at or below which a fault is not shortened further.
const minFaultDurationMS = 200
