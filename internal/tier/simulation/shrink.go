package simulation

import (
	"slices"
)

// FailsFunc reports whether a script breaks a rule. As no play is quite like another, it may play the script several times.
type FailsFunc func(Script) bool

// Shrink returns a shorter script that still fails: faults are dropped, then made shorter.
func Shrink(s Script, fails FailsFunc) Script {
	for changed := true; changed; {
		changed = false
		for i := len(s.Faults) - 1; i >= 0; i-- {
			without := s
			without.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
			if fails(without) {
				s, changed = without, true
			}
		}
	}
	for i := range s.Faults {
		for s.Faults[i].DurationMS > minFaultDuration {
			shorter := s
			shorter.Faults = slices.Clone(s.Faults)
			shorter.Faults[i].DurationMS /= 2
			if !fails(shorter) {
				break
			}
			s = shorter
		}
	}
	return s
}

// minFaultDuration is the duration of a fault, in milliseconds, from which on no shorter one is tried.
const minFaultDuration = 200
