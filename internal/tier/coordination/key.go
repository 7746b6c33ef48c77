package coordination

import (
	"strings"
	"time"
)

// maxTrimmedPuts bounds the puts that one step removes from the history of a group.
const maxTrimmedPuts = 64

// group is the set of keys whose names are equal up to and including the first dot.
type group struct {
	name     string
	revision uint64 // of its newest put
	history  []storedPut
	repeats  map[putID]uint64 // the revisions of the puts in history
}

// storedPut is a put in the history of a group.
type storedPut struct {
	Put
	at time.Duration // when it was made, or loaded
}

// putID identifies a put: the values of a key are unique.
type putID struct{ name, value string }

// GroupOf returns the group of a key: its name up to and including the first dot, or the complete name if it has none.
func GroupOf(name string) string {
	if i := strings.IndexByte(name, '.'); i >= 0 {
		return name[:i+1]
	}
	return name
}

// group returns the group with a name, and creates it if needed.
func (m *Machine) group(name string) *group {
	g := m.groups[name]
	if g == nil {
		g = &group{name: name, repeats: map[putID]uint64{}}
		m.groups[name] = g
	}
	return g
}

// put sets a key, unless the put repeats the current one or one in the history, or requires another revision than the key has.
func (m *Machine) put(call PutKey) Result {
	before, exists := m.keys[call.Name]
	if exists && before.Value == call.Value {
		return KeyWritten{before.Revision}
	}
	g := m.group(GroupOf(call.Name))
	if revision, repeat := g.repeats[putID{call.Name, call.Value}]; repeat {
		return KeyWritten{revision}
	}
	if call.IfRevision != nil && *call.IfRevision != before.Revision {
		return KeyConflict{before.Revision}
	}
	put := Put{Name: call.Name, Value: call.Value, Revision: g.revision + 1}
	m.keys[call.Name] = put
	g.append(put, m.now)
	record := encodeKey(put)
	m.write(keyKey(put.Name), record)
	m.write(historyKey(g.name, put.Revision), record)
	return KeyWritten{put.Revision}
}

// append adds a put to the history as the newest.
func (g *group) append(put Put, at time.Duration) {
	g.revision = put.Revision
	g.history = append(g.history, storedPut{put, at})
	g.repeats[putID{put.Name, put.Value}] = put.Revision
}

// read returns the newest put of a key.
func (m *Machine) read(call ReadKey) Result {
	put, exists := m.keys[call.Name]
	if !exists {
		return KeyMissing{}
	}
	return KeyFound{put.Value, put.Revision}
}

// trimHistories removes puts that are older than the retention, at most maxTrimmedPuts of each group in one step.
func (m *Machine) trimHistories() {
	for _, g := range m.groups {
		trimmed := 0
		for trimmed < min(len(g.history), maxTrimmedPuts) && m.now-g.history[trimmed].at > m.retention {
			put := g.history[trimmed].Put
			delete(g.repeats, putID{put.Name, put.Value})
			m.write(historyKey(g.name, put.Revision), nil)
			trimmed++
		}
		g.history = g.history[trimmed:]
	}
}
