package quota

import (
	"cmp"
	"slices"
	"time"
)

// Demand is one client's demand for units of a limit.
type Demand struct {
	Units     int64 // units that it could use within a cool-down
	MinUseful int64 // units of its next message, or of one call; the client can't use fewer
	// WaitingSince is the time since which the client has held less than MinUseful; 0: it does not wait. The client that waits
	// longest comes first.
	WaitingSince time.Duration
	HasTurn      bool // it holds MinUseful and its turn has not ended
}

// FairShares divides units by max-min fairness: no client gets more units than it wants, and a client gets fewer units than another only if
// it wants no more. Shares are integers. If there are not enough units for every client's MinUseful, the units rotate: clients whose turn
// has not ended keep their units, then the clients that have waited longest get theirs.
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
	// Water-filling: find the highest integer level for which there are enough units, where each client gets at least its MinUseful.
	at := func(i int, level int64) int64 { return max(all[i].MinUseful, min(all[i].Units, level)) }
	low, high := int64(0), units+1 // invariant: there are enough units for level low, but not for level high unless no client wants that many
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
	for _, i := range order { // the remaining units are fewer than the clients that want one more
		if units > 0 && at(i, low+1) > shares[i] {
			shares[i]++
			units--
		}
	}
	return shares
}

func (d Demand) waiting() bool { return d.WaitingSince > 0 }
