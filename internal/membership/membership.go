// Package membership decides which endpoints there are, free of I/O and clocks: what names come to (Resolve), how the
// addresses of a destination come, drain and go (Follower), and which source of endpoints wins (Merge).
package membership

// Target is an endpoint as a source lists it; the fields are those of discovery's list.
type Target struct {
	ID          string  `json:"id"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"kind"`
	Destination uint32  `json:"cell"` // its destination
	State       string  `json:"state"`
	Weight      float64 `json:"weight"`
}

// States of a target.
const (
	Serving  = "SERVING"
	Draining = "DRAINING" // it finishes what it has and wants nothing new
	Deleted  = "DELETED"  // among changes only: it is gone
	// Dropped is what a source says of an address that it lists no more, as long as that may come back as the same
	// endpoint. It drains, unless another source lists it.
	Dropped = "DROPPED"
)

// Update is an update of a source: its whole list, or what has changed since its last one.
type Update struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`

	VersionsReset bool   `json:"-"` // versions are another machine's from here on, and say nothing beside earlier ones
	Origin        string `json:"-"` // address of the machine that told it, where the source has several; else empty
}
