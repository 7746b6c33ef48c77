package quota

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what one sender wants of a limit.
type Demand struct {
	Units     int64 // that it could use within a rest
	MinUseful int64 // with less than this it can do nothing: the size of its next message, or one call
	// WaitingSince is from when it has waited with less than a piece, or 0 if it has one: who waits longest comes first.
	WaitingSince time.Duration
	HasTurn      bool // it has a piece, and its turn is not over
}

// FairShares cuts a number of units by weighted max-min, all weights being one: nobody gets more than it wants, and nobody less than another
// unless it wants no more. Units are whole. Where there are not enough for a piece each, they go by turns: those whose turn
// lasts keep theirs, then those come that have waited longest.
func FairShares(units int64, all []Demand) []int64 {
	shares := make([]int64, len(all))
	order := make([]int, 0, len(all))
	pieces := int64(0)
	for i, d := range all {
		if d.Units > 0 && d.MinUseful > 0 {
			order = append(order, i)
			pieces += d.MinUseful
		}
	}
	if pieces > units { // by turns
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
	// Filled up to one level like vessels that are joined: the highest whole one for which there is enough. Each has its piece.
	at := func(i int, level int64) int64 { return max(all[i].MinUseful, min(all[i].Units, level)) }
	low, high := int64(0), units+1 // enough for low; what is beyond all wants makes no difference
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
	for _, i := range order { // fewer are left than there are that want one more
		if units > 0 && at(i, low+1) > shares[i] {
			shares[i]++
			units--
		}
	}
	return shares
}

func (d Demand) waiting() bool { return d.WaitingSince > 0 }
