package quota

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// The methods in this file serve the model checker: copies of a state, and encodings that are equal for states that can't be told apart from now on.

// Clone is an allowance with the same state.
func (a *Allowance) Clone() *Allowance {
	c := *a
	c.usageLog = slices.Clone(a.usageLog)
	return &c
}

// AppendState appends the encoded state.
func (a *Allowance) AppendState(b []byte, now time.Duration) []byte {
	a.expireUsage(now)
	granted, until := a.grantedAt(now), max(now, a.expiresAt)
	if granted == 0 {
		until = now
	}
	for _, v := range []int64{granted, int64(until - now), a.peakGranted, a.reserve, int64(max(0, a.reserveFrom-now)), a.inFlight, a.spent} {
		b = binary.AppendVarint(b, v)
	}
	for _, u := range a.usageLog {
		b = binary.AppendVarint(binary.AppendVarint(b, int64(u.bucketEnd+a.coolDown-now)), u.units)
	}
	return append(b, ';')
}

// Clone is a grant table with the same state.
func (t *GrantTable) Clone() *GrantTable {
	c := *t
	c.clients = make(map[lease.HolderID]*clientState, len(t.clients))
	for w, a := range t.clients {
		d := *a
		d.grants = slices.Clone(a.grants)
		c.clients[w] = &d
	}
	c.shares = maps.Clone(t.shares)
	return &c
}

// AppendState appends the encoded state.
func (t *GrantTable) AppendState(to []byte, now time.Duration) []byte {
	to = binary.AppendVarint(to, int64(max(0, t.graceUntil-now)))
	whos := make([]lease.HolderID, 0, len(t.clients))
	for w := range t.clients {
		whos = append(whos, w)
	}
	slices.SortFunc(whos, func(x, y lease.HolderID) int {
		if x.Name != y.Name {
			return int(x.Name[0]) - int(y.Name[0])
		}
		return int(x.Incarnation) - int(y.Incarnation)
	})
	for _, w := range whos {
		a := t.clients[w]
		a.outstanding(now)
		to = binary.AppendUvarint(append(to, w.Name...), w.Incarnation)
		since := func(at time.Duration) int64 { // before that it is all one
			if at == 0 {
				return -1
			}
			return int64(min(now-at, t.terms.ServerDuration()))
		}
		for _, v := range []int64{int64(a.sequence), a.coolingAt(now), int64(max(0, a.coolUntil-now)), a.wanted, a.minUseful, since(a.requestedAt), since(a.waitingSince), since(a.turnStart)} {
			to = binary.AppendVarint(to, v)
		}
		for _, l := range a.grants {
			to = binary.AppendVarint(binary.AppendVarint(to, int64(l.expiresAt-now)), l.units)
		}
	}
	return append(to, ';')
}
