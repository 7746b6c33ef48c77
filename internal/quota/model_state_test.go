package quota

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// What is below serves those who explore what can become of a limit: copies, and states written so that equal ones are equal.

// Clone is a purse with the same state.
func (a *Allowance) Clone() *Allowance {
	c := *a
	c.usageLog = slices.Clone(a.usageLog)
	return &c
}

// AppendState writes the state in short, as it matters from now on.
func (a *Allowance) AppendState(b []byte, now time.Duration) []byte {
	a.expireUsage(now)
	lent, until := a.grantedAt(now), max(now, a.expiresAt)
	if lent == 0 {
		until = now
	}
	for _, v := range []int64{lent, int64(until - now), a.peakGranted, a.reserve, int64(max(0, a.reserveFrom-now)), a.inFlight, a.spent} {
		b = binary.AppendVarint(b, v)
	}
	for _, u := range a.usageLog {
		b = binary.AppendVarint(binary.AppendVarint(b, int64(u.bucketEnd+a.coolDown-now)), u.units)
	}
	return append(b, ';')
}

// Clone is a book with the same state.
func (b *GrantTable) Clone() *GrantTable {
	c := *b
	c.clients = make(map[lease.HolderID]*clientState, len(b.clients))
	for w, a := range b.clients {
		d := *a
		d.grants = slices.Clone(a.grants)
		c.clients[w] = &d
	}
	c.shares = maps.Clone(b.shares)
	return &c
}

// AppendState writes the state in short, as it matters from now on.
func (b *GrantTable) AppendState(to []byte, now time.Duration) []byte {
	to = binary.AppendVarint(to, int64(max(0, b.graceUntil-now)))
	whos := make([]lease.HolderID, 0, len(b.clients))
	for w := range b.clients {
		whos = append(whos, w)
	}
	slices.SortFunc(whos, func(x, y lease.HolderID) int {
		if x.Name != y.Name {
			return int(x.Name[0]) - int(y.Name[0])
		}
		return int(x.Incarnation) - int(y.Incarnation)
	})
	for _, w := range whos {
		a := b.clients[w]
		a.outstanding(now)
		to = binary.AppendUvarint(append(to, w.Name...), w.Incarnation)
		since := func(at time.Duration) int64 { // before that it is all one
			if at == 0 {
				return -1
			}
			return int64(min(now-at, b.terms.ServerDuration()))
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
