package quota

import (
	"cmp"
	"math"
	"time"
)

// Kind is what a unit of a limit stands for.
type Kind uint8

// The kinds.
const (
	Calls      Kind = iota // a call begun in any span
	Bytes                  // a byte of a message begun in any span
	Concurrent             // a call in flight
	Daily                  // a call in a period; a unit that was used is gone for the period
)

var kindNames = [...]string{"calls", "bytes", "at once", "a day"}

// String is the kind as operators read it.
func (k Kind) String() string { return kindNames[k] }

// Limit is one limit of the fleet.
type Limit struct {
	Key            string // what is limited, as operators read it; unique
	Kind           Kind
	Units          int64
	Span           time.Duration // of Calls and Bytes
	MaxCallTime    time.Duration // of Concurrent: no call lasts longer
	TransitJitter  time.Duration // calls written within a span arrive within the span and this
	PartitionExtra int64         // units that each sender that is partitioned off may use beyond what it holds, in a span
	Reserve        int64         // units that each of the first ReserveCount members always has; they are not granted to others
	ReserveCount   int64
	Adaptive       bool // a lower limit that the receiver reports counts instead
	// SlowStartUnits is how many units the limit grows to, linearly within SlowStartTime from when its owner first sees it; 0: it does
	// not grow.
	SlowStartUnits int64
	SlowStartTime  time.Duration
}

// Grantable is how many units can be granted: all but the reserves.
func (l Limit) Grantable() int64 { return max(0, l.Units-l.Reserve*l.ReserveCount) }

// maxGrantable is how many units may ever be granted.
func (l Limit) maxGrantable() int64 { return max(l.Grantable(), l.SlowStartUnits) }

// driftBound is how long a clock that is fast by the drift has to count so that a duration has passed on one that is slow by it.
func driftBound(d time.Duration, drift float64) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + drift) / (1 - drift)))
}

// CoolDown is how long a used unit cools down, by the clock of the sender that used it.
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

// ReclaimDelay is how long after the end of a grant its units may still be in use or cooling down, by the owner's clock: they may have been
// used at the last moment.
func (l Limit) ReclaimDelay(drift float64) time.Duration {
	if l.Kind == Concurrent {
		return driftBound(l.MaxCallTime+l.TransitJitter, drift)
	}
	return l.CoolDown(drift)
}

// WorstCase is how many units a receiver sees used in a span at the most while so many senders are partitioned off from the owner.
func (l Limit) WorstCase(cutOff int) int64 { return l.Units + l.PartitionExtra*int64(cutOff) }

// Terms are common to all grants of a fleet.
type Terms struct {
	Duration time.Duration // of a grant at the client
	MaxDrift float64       // of a clock from true time, in either direction
}

// ServerDuration is how long an owner counts a grant, before its units' reclaim delay.
func (t Terms) ServerDuration() time.Duration { return driftBound(t.Duration, t.MaxDrift) }

// GracePeriod is how long a new owner only confirms what clients hold: until all that was granted of the limit before is over.
func (t Terms) GracePeriod(l Limit) time.Duration {
	return t.ServerDuration() + l.ReclaimDelay(t.MaxDrift)
}

// compareKeys orders limits by key.
func compareKeys(a, b Limit) int { return cmp.Compare(a.Key, b.Key) }
