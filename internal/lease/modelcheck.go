package lease

import (
	"encoding/binary"
	"slices"
	"time"
)

// What is below serves those who explore what can become of a fleet: copies, and states written so that equal ones are equal.

// Clone is a holder with the same state, for those who explore what can become of it.
func (h *Holder) Clone() *Holder {
	c := *h
	c.outstanding, c.grants = slices.Clone(h.outstanding), slices.Clone(h.grants)
	return &c
}

// AppendState writes the state in short, as it matters from now on; of the questions only those to which an answer may come.
func (h *Holder) AppendState(b []byte, now time.Duration, open ...time.Duration) []byte {
	for _, at := range h.outstanding {
		if slices.Contains(open, at) && now-at < h.terms.Duration {
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

// Clone is a granter with the same state, for those who explore what can become of it.
func (g *Granter) Clone() *Granter {
	c := *g
	c.issued = make(map[HolderID][]issuedLease, len(g.issued))
	for w, fs := range g.issued {
		c.issued[w] = slices.Clone(fs)
	}
	return &c
}

// AppendState writes what is held by a sender in short, as it matters from now on; with no name, of how long the quiet is.
func (g *Granter) AppendState(b []byte, now time.Duration, name string) []byte {
	if name == "" {
		return binary.AppendVarint(b, int64(max(now, g.graceUntil)))
	}
	var lives []uint64
	for w := range g.issued {
		if w.Name == name {
			lives = append(lives, w.Incarnation)
		}
	}
	slices.Sort(lives)
	for _, life := range lives {
		for _, f := range g.issued[HolderID{name, life}] {
			if f.expiresAt > now {
				b = binary.AppendUvarint(b, life)
				b = binary.AppendUvarint(binary.AppendVarint(b, int64(f.expiresAt)), f.minIndex)
			}
		}
	}
	return append(b, ';')
}
