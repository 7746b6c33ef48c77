package turnstore

import (
	"time"

	"github.com/twitchtv/twirp"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// chainStatus describes whether a turn can be continued.
type chainStatus int

const (
	chainAbsent     chainStatus = iota // the partition has no such turn, or an expired one
	chainIncomplete                    // it has the turn, but not all turns before it
	chainComplete                      // it has the turn and all before it
)

// chain returns a turn and all turns before it, oldest first. A turn that is past its retention by more than slack counts as absent,
// unless includeExpired is set.
func (p *partition) chain(attempt string, includeExpired bool, slack time.Duration, now time.Time) ([]*entry, chainStatus) {
	e := p.entries[attempt]
	if e == nil || e.turn == nil || !includeExpired && now.Sub(e.storedAt) > retention(e.turn)+slack {
		return nil, chainAbsent
	}
	n := 1
	for at := e; at.turn.Previous != ""; n++ {
		at = p.entries[at.turn.Previous]
		if at == nil || at.turn == nil || n > len(p.entries) {
			return nil, chainIncomplete
		}
	}
	list := make([]*entry, n)
	for i := n - 1; i >= 0; i-- {
		list[i] = e
		e = p.entries[e.turn.Previous]
	}
	return list, chainComplete
}

// chainAfter returns the part of a chain that follows knownTurn, or all of it if that turn is not on it.
func chainAfter(chain []*entry, knownTurn string) []*entry {
	if knownTurn == "" {
		return chain
	}
	for i := len(chain) - 1; i >= 0; i-- {
		if chain[i].turn.Attempt == knownTurn {
			return chain[i+1:]
		}
	}
	return chain
}

// turns returns the turns of a chain.
func turns(chain []*entry) []*tierv1.Turn {
	list := make([]*tierv1.Turn, len(chain))
	for i, e := range chain {
		list[i] = e.turn
	}
	return list
}

// validateChain returns a twirp error unless adopt is empty or a chain that ends in previous.
func validateChain(adopt []*tierv1.Turn, previous string) error {
	if len(adopt) == 0 {
		return nil
	}
	before := ""
	for _, t := range adopt {
		if t.Attempt == "" || t.Previous != before {
			return twirp.InvalidArgumentError("adopt", "is no chain")
		}
		before = t.Attempt
	}
	if before != previous {
		return twirp.InvalidArgumentError("adopt", "doesn't end in previous")
	}
	return nil
}
