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
	c.asked, c.held = slices.Clone(h.asked), slices.Clone(h.held)
	return &c
}

// AppendState writes the state in short, as it matters from now on; of the questions only those to which an answer may come.
func (h *Holder) AppendState(b []byte, now time.Duration, open ...time.Duration) []byte {
	for _, at := range h.asked {
		if slices.Contains(open, at) && now-at < h.terms.Length {
			b = binary.AppendVarint(b, int64(at))
		}
	}
	b = append(b, '/')
	for _, g := range h.held {
		if g.until > now {
			b = binary.AppendUvarint(binary.AppendVarint(b, int64(g.until)), g.need)
		}
	}
	return append(b, ';')
}

// Clone is a granter with the same state, for those who explore what can become of it.
func (g *Granter) Clone() *Granter {
	c := *g
	c.by = make(map[Who][]floor, len(g.by))
	for w, fs := range g.by {
		c.by[w] = slices.Clone(fs)
	}
	return &c
}

// AppendState writes what is held by a sender in short, as it matters from now on; with no name, of how long the quiet is.
func (g *Granter) AppendState(b []byte, now time.Duration, name string) []byte {
	if name == "" {
		return binary.AppendVarint(b, int64(max(now, g.quiet)))
	}
	var lives []uint64
	for w := range g.by {
		if w.Name == name {
			lives = append(lives, w.Life)
		}
	}
	slices.Sort(lives)
	for _, life := range lives {
		for _, f := range g.by[Who{name, life}] {
			if f.until > now {
				b = binary.AppendUvarint(b, life)
				b = binary.AppendUvarint(binary.AppendVarint(b, int64(f.until)), f.index)
			}
		}
	}
	return append(b, ';')
}
