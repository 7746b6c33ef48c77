// Package membership computes the list of endpoints from its sources. It does no I/O and reads no clock. Resolve resolves names to
// addresses, Follower tracks how the addresses of a destination are added, drained and removed, and Merger merges the lists of several
// sources.
package membership

// Target is an endpoint in the list of a source; the fields are those of discovery's list.
type Target struct {
	ID          string  `json:"id"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"kind"`
	Destination uint32  `json:"cell"`
	State       string  `json:"state"`
	Weight      float64 `json:"weight"`
}

// States of a target.
const (
	Serving  = "SERVING"
	Draining = "DRAINING" // it completes its calls in flight and gets no new calls
	Deleted  = "DELETED"  // in changes only: the target was removed
	// Dropped is the state of an address that a source no longer lists but that may still return as the same endpoint. It drains, unless
	// another source lists it.
	Dropped = "DROPPED"
)

// Update is an update from a source: its complete list, or the changes since its last update.
type Update struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`

	VersionsReset bool   `json:"-"` // from this update on, versions are another machine's and can't be compared with earlier ones
	Origin        string `json:"-"` // address of the machine that sent the update if the source has several machines; else empty
}
