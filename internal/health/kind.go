package health

import "fmt"

// Kind is the kind of a destination's health status.
type Kind uint32

// The kinds. Their numbers are stored.
const (
	KindNone      Kind = iota // the destination is healthy
	KindEjected               // calls fail, are refused or time out
	KindWarmingUp             // the destination has recently started to serve again
	KindSuspended             // an operator suspended the destination
)

var kindNames = [...]string{"none", "out", "cold", "suspended"}

// String returns the kind as operators' commands print it.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("sort %d", uint32(k))
}
