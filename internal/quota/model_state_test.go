package quota

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// The methods in this file are for the model checker: they copy a state, and encode it so that states with the same possible futures have
// equal encodings.

// Clone returns a copy of the allowance.
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

// Clone returns a copy of the grant table.
func (t *GrantTable) Clone() *GrantTable {
	c := *t
	c.clients = make(map[lease.HolderID]*clientState, len(t.clients))
	for id, former := range t.clients {
		clone := *former
		clone.grants = slices.Clone(former.grants)
		c.clients[id] = &clone
	}
	c.shares = maps.Clone(t.shares)
	return &c
}

// AppendState appends the encoded state.
func (t *GrantTable) AppendState(b []byte, now time.Duration) []byte {
	b = binary.AppendVarint(b, int64(max(0, t.graceUntil-now)))
	ids := make([]lease.HolderID, 0, len(t.clients))
	for id := range t.clients {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y lease.HolderID) int {
		if x.Name != y.Name {
			return int(x.Name[0]) - int(y.Name[0])
		}
		return int(x.Incarnation) - int(y.Incarnation)
	})
	for _, id := range ids {
		c := t.clients[id]
		c.outstanding(now)
		b = binary.AppendUvarint(append(b, id.Name...), id.Incarnation)
		since := func(at time.Duration) int64 { // ages beyond ServerDuration make no difference
			if at == 0 {
				return -1
			}
			return int64(min(now-at, t.terms.ServerDuration()))
		}
		for _, v := range []int64{int64(c.sequence), c.coolingAt(now), int64(max(0, c.coolUntil-now)), c.wanted, c.minUseful, since(c.requestedAt), since(c.waitingSince), since(c.turnStart)} {
			b = binary.AppendVarint(b, v)
		}
		for _, g := range c.grants {
			b = binary.AppendVarint(binary.AppendVarint(b, int64(g.expiresAt-now)), g.units)
		}
	}
	return append(b, ';')
}
