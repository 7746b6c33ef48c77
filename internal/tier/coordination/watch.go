package coordination

import (
	"slices"
	"time"
)

// maxWatchBytes bounds the names and values of one response to a watch. A response has one put at least; the watch goes on from its
// revision.
const maxWatchBytes = 256 << 10

// watch is a call that is held until its group has a put above its revision.
type watch struct {
	WatchGroup
	deadline time.Duration
}

// watch holds a call; answerWatches answers it at once where it can be.
func (m *Machine) watch(token uint64, call WatchGroup) {
	m.watches[token] = &watch{WatchGroup: call, deadline: m.now + call.Wait}
}

// answerWatches answers the watches for which there is something to tell, and those whose time is over.
func (m *Machine) answerWatches() {
	var due []uint64
	for token, w := range m.watches {
		if result := m.watchResult(w); result != nil {
			due = append(due, token)
		}
	}
	slices.Sort(due) // maps have no order, and a step must be a function of what it is given
	for _, token := range due {
		w := m.watches[token]
		delete(m.watches, token)
		m.respond(token, m.watchResult(w))
	}
}

// watchResult is the result of a watch at this moment; nil: it is held on.
func (m *Machine) watchResult(w *watch) Result {
	g := m.groups[w.Group]
	if g == nil {
		g = &group{}
	}
	switch {
	case w.After == 0:
		return GroupPuts{Revision: g.revision}
	case w.After > g.revision:
		return RevisionUnknown{}
	case w.After < g.historyStart():
		return HistoryGone{}
	case w.After < g.revision:
		return g.putsAfter(w.After)
	case m.now >= w.deadline:
		return GroupPuts{Revision: g.revision}
	}
	return nil
}

// historyStart is the least revision that a watch may go on from.
func (g *group) historyStart() uint64 {
	if len(g.history) == 0 {
		return g.revision
	}
	return g.history[0].Revision - 1
}

// putsAfter are the puts above a revision that is in the history, as many as one response takes.
func (g *group) putsAfter(revision uint64) GroupPuts {
	result := GroupPuts{Revision: revision}
	size := 0
	for _, put := range g.history[revision-g.historyStart():] {
		size += len(put.Name) + len(put.Value)
		if len(result.Puts) > 0 && size > maxWatchBytes {
			break
		}
		result.Puts = append(result.Puts, put.Put)
		result.Revision = put.Revision
	}
	return result
}
