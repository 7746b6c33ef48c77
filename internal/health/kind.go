package health

import "fmt"

// Kind is what a status says of a destination.
type Kind uint32

// The kinds. Their numbers are stored.
const (
	KindNone      Kind = iota // it is healthy
	KindEjected               // calls fail, are refused or go unanswered
	KindWarmingUp             // it serves again since a short while
	KindSuspended             // an operator suspended it
)

var kindNames = [...]string{"none", "out", "cold", "suspended"}

// String is the kind as operators read it.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("sort %d", uint32(k))
}
