package brain

import (
	"math"
	"time"
)

// trustHalfLife is the age at which the trust in remembered values of an idle destination has halved. As
// trust falls, a learned value moves from its old value to that of an unknown destination. An outage, and
// what the destination asked for (a retry-after, a drain), stay in force at any age.
const trustHalfLife = time.Hour

// trust returns the weight of a value of that age: 1 at age 0, 0.5 at trustHalfLife.
func trust(age time.Duration) float64 {
	return math.Exp2(-max(0, age).Hours() / trustHalfLife.Hours())
}

// blend interpolates between the value of an unknown destination and an old value, by the trust in the old
// one.
func blend(unknown, old, trust float64) float64 { return unknown + (old-unknown)*trust }
