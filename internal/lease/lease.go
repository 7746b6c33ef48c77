// Package lease is how a sender may act without asking each time, and how a change waits for those who may. It is free of I/O
// and of clocks: each side is given the time of its own machine, and only spans are compared, never two machines' clocks.
//
// A holder counts a lease from before it asked; the granter counts it from when it granted, and longer, by how much two clocks
// may drift apart meanwhile. So a lease ends at its holder first. With each question a holder says from which index of the
// agreed state on it acts. A fence at an index is passed when nobody may act below it any more: each lease that has not
// lapsed belongs to one who acts at that index or a later one, and a lease that is granted later counts only once its holder
// has come as far as the granter was then.
package lease

import (
	"math"
	"time"
)

// Terms are the figures of all leases of a fleet.
type Terms struct {
	Duration time.Duration // at the holder
	MaxDrift float64       // a clock runs at most so much faster or slower than true time: 0.01 for 1%
}

// DefaultDrift is what clocks are allowed: a hundred times what NTP's kernel discipline steers by at most (500 ppm), twice the 1%
// that the fleet is tested at.
const DefaultDrift = 0.02

// GranterDuration is how long a granter counts a lease. A holder's clock that is slow by the drift runs Length in Length/(1-d) of true
// time, in which a granter's clock that is fast by it shows Length*(1+d)/(1-d).
func (t Terms) GranterDuration() time.Duration {
	return time.Duration(math.Ceil(float64(t.Duration) * (1 + t.MaxDrift) / (1 - t.MaxDrift)))
}

// HolderID is a holder: one process of a sender.
type HolderID struct {
	Name        string
	Incarnation uint64
}
