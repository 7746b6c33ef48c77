package lease

import (
	"math"
	"time"
)

// Terms are common to all leases of a fleet.
type Terms struct {
	Duration time.Duration // at the holder
	MaxDrift float64       // of a clock from true time, in either direction: 0.01 is 1%
}

// DefaultDrift is forty times what NTP's kernel discipline steers by at most (500 ppm), and twice the 1%
// that the fleet is tested at.
const DefaultDrift = 0.02

// GranterDuration is how long a granter counts a lease. A holder's clock that is slow by the drift d runs Duration in Duration/(1-d)
// of true time, in which a granter's clock that is fast by it shows Duration*(1+d)/(1-d).
func (t Terms) GranterDuration() time.Duration {
	return time.Duration(math.Ceil(float64(t.Duration) * (1 + t.MaxDrift) / (1 - t.MaxDrift)))
}

// HolderID is one process of a sender.
type HolderID struct {
	Name        string
	Incarnation uint64 // drawn at random by each process
}
