package health

import (
	"fmt"
)

// Kind is what a verdict says.
type Kind uint32

// The sorts.
const (
	KindNone      Kind = iota
	KindEjected        // calls fail, are refused or go unanswered
	KindWarmingUp      // it serves again since a short while
	KindSuspended      // a person said so
)

func (s Kind) String() string {
	if int(s) < len(kindNames) {
		return kindNames[s]
	}
	return fmt.Sprintf("sort %d", uint32(s))
}

var kindNames = [...]string{"none", "out", "cold", "suspended"}
