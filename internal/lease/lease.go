package lease

import (
	"math"
	"time"
)

// Terms are the parameters of all leases of a fleet.
type Terms struct {
	Duration time.Duration // at the holder
	MaxDrift float64       // maximum relative error of a clock's rate, in either direction: 0.01 is 1%
}

// DefaultDrift is forty times the maximum rate correction of NTP's kernel discipline (500 ppm), and twice the 1% at which the fleet is
// tested.
const DefaultDrift = 0.02

// GranterDuration returns how long a granter treats a lease as active. A holder's clock that is slow by the drift d counts Duration in
// Duration/(1-d) of true time, in which a granter's clock that is fast by d counts Duration*(1+d)/(1-d).
func (t Terms) GranterDuration() time.Duration {
	return time.Duration(math.Ceil(float64(t.Duration) * (1 + t.MaxDrift) / (1 - t.MaxDrift)))
}

// HolderID is one process of a sender.
type HolderID struct {
	Name        string
	Incarnation uint64 // drawn at random by each process
}
