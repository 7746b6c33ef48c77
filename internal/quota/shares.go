package quota

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what one sender wants of a limit.
type Demand struct {
	Units int64 // that it could use within a rest
	Piece int64 // with less than this it can do nothing: the size of its next message, or one call
	// Since is from when it has waited with less than a piece, or 0 if it has one: who waits longest comes first.
	Since time.Duration
	Busy  bool // it has a piece, and its turn is not over
}

// Shares cuts a number of units by weighted max-min, all weights being one: nobody gets more than it wants, and nobody less than another
// unless it wants no more. Units are whole. Where there are not enough for a piece each, they go by turns: those whose turn
// lasts keep theirs, then those come that have waited longest.
func Shares(units int64, all []Demand) []int64 {
	shares := make([]int64, len(all))
	order := make([]int, 0, len(all))
	pieces := int64(0)
	for i, d := range all {
		if d.Units > 0 && d.Piece > 0 {
			order = append(order, i)
			pieces += d.Piece
		}
	}
	if pieces > units { // by turns
		slices.SortStableFunc(order, func(a, b int) int {
			x, y := all[a], all[b]
			if x.Busy != y.Busy {
				if x.Busy {
					return -1
				}
				return 1
			}
			if x.waits() != y.waits() {
				if x.waits() {
					return -1
				}
				return 1
			}
			return cmp.Compare(x.Since, y.Since)
		})
		for _, i := range order {
			if p := all[i].Piece; p <= units {
				shares[i], units = p, units-p
			}
		}
		return shares
	}
	// Filled up to one level like vessels that are joined: the highest whole one for which there is enough. Each has its piece.
	at := func(i int, level int64) int64 { return max(all[i].Piece, min(all[i].Units, level)) }
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

func (d Demand) waits() bool { return d.Since > 0 }
