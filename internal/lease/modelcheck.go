package lease

import (
	"encoding/binary"
	"slices"
	"time"
)

// The methods in this file are for model checkers that explore every order of events: they copy a state, and encode it so that states with
// the same possible futures have equal encodings.

// Clone returns a copy of the holder.
func (h *Holder) Clone() *Holder {
	c := *h
	c.outstanding, c.grants = slices.Clone(h.outstanding), slices.Clone(h.grants)
	return &c
}

// AppendState appends the encoded state. Of the outstanding requests it includes only those in answerable, which may still get a reply.
func (h *Holder) AppendState(b []byte, now time.Duration, answerable ...time.Duration) []byte {
	for _, at := range h.outstanding {
		if slices.Contains(answerable, at) && now-at < h.terms.Duration {
			b = binary.AppendVarint(b, int64(at))
		}
	}
	b = append(b, '/')
	for _, g := range h.grants {
		if g.expiresAt > now {
			b = binary.AppendUvarint(binary.AppendVarint(b, int64(g.expiresAt)), g.requiredIndex)
		}
	}
	return append(b, ';')
}

// Clone returns a copy of the granter.
func (g *Granter) Clone() *Granter {
	c := *g
	c.issued = make(map[HolderID][]issuedLease, len(g.issued))
	for id, leases := range g.issued {
		c.issued[id] = slices.Clone(leases)
	}
	return &c
}

// AppendState appends the encoded leases of a sender; with an empty name, the end of the grace period.
func (g *Granter) AppendState(b []byte, now time.Duration, name string) []byte {
	if name == "" {
		return binary.AppendVarint(b, int64(max(now, g.graceUntil)))
	}
	var incarnations []uint64
	for id := range g.issued {
		if id.Name == name {
			incarnations = append(incarnations, id.Incarnation)
		}
	}
	slices.Sort(incarnations)
	for _, incarnation := range incarnations {
		for _, l := range g.issued[HolderID{name, incarnation}] {
			if l.expiresAt > now {
				b = binary.AppendUvarint(b, incarnation)
				b = binary.AppendUvarint(binary.AppendVarint(b, int64(l.expiresAt)), l.minIndex)
			}
		}
	}
	return append(b, ';')
}
