package brain

import (
	"math"
	"time"
)

// What is remembered of a destination that has been quiet is trusted less the older it is, by one rule: half as
// much with each halfLife. What is learnt moves from its old value to that of a destination of which nothing is
// known as trust goes; what was told (a wait, a drain) and an outage hold as they are, however old.
const (
	halfLife   = time.Hour
	leastTrust = 0.05 // with less, about four hours on, a limit counts as unknown
)

// trust is the share of an old value that still counts: 1 right away, 0.5 after halfLife.
func trust(age time.Duration) float64 {
	return math.Exp2(-max(0, age).Hours() / halfLife.Hours())
}

// blend moves from the value of one of which nothing is known to an old one, by trust.
func blend(unknown, old, trust float64) float64 { return unknown + (old-unknown)*trust }
