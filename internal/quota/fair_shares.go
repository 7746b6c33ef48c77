package quota

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what one client wants of a limit.
type Demand struct {
	Units     int64 // that it could use within a cool-down
	MinUseful int64 // with fewer units it can do nothing: those of its next message, or of one call
	// WaitingSince is from when it has held less than MinUseful, or 0: the client that waits longest comes first.
	WaitingSince time.Duration
	HasTurn      bool // it holds MinUseful, and its turn is not over
}

// FairShares divides units by max-min fairness: no client gets more than it wants, and none gets less than another unless it wants no more. Units
// are whole. Where there are not enough for MinUseful each, the units rotate: clients whose turn lasts keep theirs, then those come that have
// waited longest.
func FairShares(units int64, all []Demand) []int64 {
	shares := make([]int64, len(all))
	order := make([]int, 0, len(all))
	needed := int64(0)
	for i, d := range all {
		if d.Units > 0 && d.MinUseful > 0 {
			order = append(order, i)
			needed += d.MinUseful
		}
	}
	if needed > units {
		slices.SortStableFunc(order, func(a, b int) int {
			x, y := all[a], all[b]
			if x.HasTurn != y.HasTurn {
				if x.HasTurn {
					return -1
				}
				return 1
			}
			if x.waiting() != y.waiting() {
				if x.waiting() {
					return -1
				}
				return 1
			}
			return cmp.Compare(x.WaitingSince, y.WaitingSince)
		})
		for _, i := range order {
			if p := all[i].MinUseful; p <= units {
				shares[i], units = p, units-p
			}
		}
		return shares
	}
	// Water-filling: the highest whole level for which there are enough units, each client having its MinUseful at least.
	at := func(i int, level int64) int64 { return max(all[i].MinUseful, min(all[i].Units, level)) }
	low, high := int64(0), units+1 // there are enough for low, and not for high unless nobody wants that much
	for low+1 < high {
		level, need := (low+high)/2, int64(0)
		for _, i := range order {
			need += at(i, level)
		}
		if need <= units {
			low = level
		} else {
			high = level
		}
	}
	for _, i := range order {
		shares[i] = at(i, low)
		units -= shares[i]
	}
	for _, i := range order { // fewer units are left than clients that want one more
		if units > 0 && at(i, low+1) > shares[i] {
			shares[i]++
			units--
		}
	}
	return shares
}

func (d Demand) waiting() bool { return d.WaitingSince > 0 }
