package quota

import (
	"cmp"
	"math"
	"time"
)

// Kind is what a unit of a limit counts.
type Kind uint8

// The kinds.
const (
	Calls      Kind = iota // calls started within any span
	Bytes                  // bytes of messages started within any span
	Concurrent             // calls in flight
	Daily                  // calls within a period; a used unit is not available again in that period
)

var kindNames = [...]string{"calls", "bytes", "at once", "a day"}

// String returns the kind as operators' commands print it.
func (k Kind) String() string { return kindNames[k] }

// Limit is one fleet-wide limit.
type Limit struct {
	Key            string // name of what is limited, as shown to operators; unique
	Kind           Kind
	Units          int64
	Span           time.Duration // for Calls and Bytes
	MaxCallTime    time.Duration // for Concurrent: maximum duration of a call
	TransitJitter  time.Duration // calls written within a span arrive within Span+TransitJitter
	PartitionExtra int64         // units per span that a sender which is partitioned from the owner may use without a grant
	Reserve        int64         // units that each of the first ReserveCount members always has; they are not granted to others
	ReserveCount   int64
	Adaptive       bool // a lower limit that the receiver reports applies instead
	// SlowStartUnits is the number of units that the limit grows to, linearly within SlowStartTime from when its owner first sees it;
	// 0 means that it does not grow.
	SlowStartUnits int64
	SlowStartTime  time.Duration
}

// Grantable returns the number of units that can be granted: all except the reserves.
func (l Limit) Grantable() int64 { return max(0, l.Units-l.Reserve*l.ReserveCount) }

// maxGrantable returns the maximum number of units that may be granted at any time.
func (l Limit) maxGrantable() int64 { return max(l.Grantable(), l.SlowStartUnits) }

// driftBound returns the time that a clock which is fast by drift must count so that d has passed on a clock which is slow by drift.
func driftBound(d time.Duration, drift float64) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + drift) / (1 - drift)))
}

// CoolDown returns the cool-down of a used unit, by the clock of the sender that used it.
func (l Limit) CoolDown(drift float64) time.Duration {
	switch l.Kind {
	case Concurrent:
		return driftBound(l.TransitJitter, drift)
	case Daily:
		return 0
	default:
		return driftBound(l.Span+l.TransitJitter, drift)
	}
}

// ReclaimDelay returns how long after the end of a grant its units may still be in use or cooling down, by the owner's clock, as they may
// have been used at the last moment.
func (l Limit) ReclaimDelay(drift float64) time.Duration {
	if l.Kind == Concurrent {
		return driftBound(l.MaxCallTime+l.TransitJitter, drift)
	}
	return l.CoolDown(drift)
}

// WorstCase returns the maximum number of units used within a span, as seen by the receiver, while the given number of senders are
// partitioned from the owner.
func (l Limit) WorstCase(partitioned int) int64 { return l.Units + l.PartitionExtra*int64(partitioned) }

// Terms are the parameters of all grants of a fleet.
type Terms struct {
	Duration time.Duration // of a grant at the client
	MaxDrift float64       // maximum relative error of a clock's rate, in either direction
}

// ServerDuration returns how long an owner treats a grant as active, before the reclaim delay of its units.
func (t Terms) ServerDuration() time.Duration { return driftBound(t.Duration, t.MaxDrift) }

// GracePeriod returns how long a new owner only confirms the units that clients hold: until all earlier grants of the limit have
// expired and their units have cooled down.
func (t Terms) GracePeriod(l Limit) time.Duration {
	return t.ServerDuration() + l.ReclaimDelay(t.MaxDrift)
}

// compareKeys orders limits by key.
func compareKeys(a, b Limit) int { return cmp.Compare(a.Key, b.Key) }
