package coordination

import (
	"slices"
	"time"
)

// maxWatchBytes bounds the total size of names and values in one response to a watch. A response has at least one put; the watch
// continues from its revision.
const maxWatchBytes = 256 << 10

// watch is a pending call that waits for a put of its group above its revision.
type watch struct {
	WatchGroup
	deadline time.Duration
}

// watch adds a pending watch; answerWatches answers it in the same step if possible.
func (m *Machine) watch(token uint64, call WatchGroup) {
	m.watches[token] = &watch{WatchGroup: call, deadline: m.now + call.Wait}
}

// answerWatches answers the watches that have a result, among them those whose deadline has passed.
func (m *Machine) answerWatches() {
	var due []uint64
	for token, w := range m.watches {
		if result := m.watchResult(w); result != nil {
			due = append(due, token)
		}
	}
	slices.Sort(due) // the iteration order of maps is random, and a step must be deterministic
	for _, token := range due {
		w := m.watches[token]
		delete(m.watches, token)
		m.respond(token, m.watchResult(w))
	}
}

// watchResult returns the result of a watch at this time; nil: it stays pending.
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

// historyStart returns the lowest revision from which a watch can continue.
func (g *group) historyStart() uint64 {
	if len(g.history) == 0 {
		return g.revision
	}
	return g.history[0].Revision - 1
}

// putsAfter returns the puts above a revision that is not before historyStart, as many as fit into one response.
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
