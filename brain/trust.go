package brain

import (
	"math"
	"time"
)

// trustHalfLife is the age at which what is remembered of a quiet destination is trusted by half. A value
// that was learned moves, as trust goes, from its old value to that of an unknown destination; what the
// destination told (a retry-after, a drain) and an outage hold as they are, however old.
const trustHalfLife = time.Hour

// trust is the share of an old value that still counts: 1 right away, 0.5 after trustHalfLife.
func trust(age time.Duration) float64 {
	return math.Exp2(-max(0, age).Hours() / trustHalfLife.Hours())
}

// blend moves from the value of an unknown destination to an old one, by trust.
func blend(unknown, old, trust float64) float64 { return unknown + (old-unknown)*trust }
