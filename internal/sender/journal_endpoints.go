package sender

import (
	"cmp"
	"encoding/json"
	"slices"

	"saffronyard.example/saffronyard/internal/membership"
)

// listRecord is the endpoint list as discovery told it last, or what has changed in it. The journal keeps it: a process that
// restarts knows from its first moment which endpoints the earlier one was told to leave, and asks only for what came since.
// The configuration has a list as well, which may be as old as the deployment; and discovery may turn callers away for seconds
// when many restart at once.
type listRecord struct {
	From    string   `json:"from"` // discovery's address: versions are each address's own
	Version int64    `json:"version"`
	Full    bool     `json:"whole,omitempty"` // what was kept before does not count
	Servers []Target `json:"servers,omitempty"`
}

const (
	maxStoredListBytes = 64 << 10 // bytes of a list that is kept, and a sixteenth of the journal's room at most
	listRecordOverhead = 256      // of its record beside the lines
)

// storedList is the endpoint list that the journal holds.
type storedList struct {
	from     string
	version  int64
	lines    map[string]storedTarget // nil: none is kept
	size     int64                   // of all lines as they are written
	maxBytes int64

	unwritten bool // the journal's file does not have it yet
}

// storedTarget is a line of it and its size in bytes.
type storedTarget struct {
	Target
	size int64
}

// apply takes in a record of the list. A list that gets longer than maxBytes is given up as a whole: half a list would have
// endpoints gone that are not.
func (l *storedList) apply(r *listRecord) {
	if r.Full || l.lines == nil {
		l.lines, l.size = map[string]storedTarget{}, 0
	}
	l.from, l.version = r.From, r.Version
	for _, t := range r.Servers {
		l.size -= l.lines[t.ID].size
		delete(l.lines, t.ID)
		if t.State != membership.Deleted {
			raw, _ := json.Marshal(t) // text and numbers only: a weight from a list is finite
			l.lines[t.ID] = storedTarget{t, int64(len(raw)) + 1}
			l.size += int64(len(raw)) + 1
		}
		if r.Full && l.size > l.maxBytes {
			break // it only grows
		}
	}
	if r.Version < 0 || l.size > l.maxBytes {
		l.version, l.lines, l.size = -1, nil, 0
	}
}

// init takes a list that was not told by discovery but read at the start, so that changes to it can be kept. Nothing is
// written: until there are changes the next process reads it as well.
func (l *storedList) init(from string, known Targets) {
	if l.from != from || l.version != known.Version || len(l.lines) == 0 {
		l.apply(&listRecord{From: from, Version: known.Version, Full: true, Servers: known.Servers})
		l.unwritten = true
	}
}

// diff is the record that brings the stored list to where an update from an address does; nil if it is there already.
func (l *storedList) diff(from string, u membership.Update) *listRecord {
	r := &listRecord{From: from, Version: u.Version}
	if l.lines == nil || l.from != from || u.VersionsReset {
		if !u.Full {
			return nil // changes alone, to a list that is not known
		}
		r.Full, r.Servers = true, u.Servers
		return r
	}
	listed := map[string]struct{}{}
	for _, t := range u.Servers {
		listed[t.ID] = struct{}{}
		if old, ok := l.lines[t.ID]; !ok || old.Target != t {
			r.Servers = append(r.Servers, t)
		}
	}
	if u.Full {
		for id := range l.lines {
			if _, ok := listed[id]; !ok {
				r.Servers = append(r.Servers, Target{ID: id, State: membership.Deleted})
			}
		}
	}
	if len(r.Servers) == 0 && l.version == u.Version {
		return nil
	}
	return r
}

// record is the whole list, in the order of ids; nil if none is kept.
func (l *storedList) record() *listRecord {
	if len(l.lines) == 0 {
		return nil
	}
	r := &listRecord{From: l.from, Version: l.version, Full: true}
	for _, line := range l.lines {
		r.Servers = append(r.Servers, line.Target)
	}
	slices.SortFunc(r.Servers, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// startingPoint is the list to begin with at an address, and the version after which to ask there, -1 for the whole list. Of
// two lists from one address the newer counts. A stored list from another address is not comparable: then the configuration's
// counts, but endpoints that were draining stay so until the whole list has come.
func (l *storedList) startingPoint(known Targets, from string) (Targets, int64) {
	known.Full = true
	version := known.Version
	if len(known.Servers) == 0 {
		version = -1
	}
	kept := l.record()
	switch {
	case kept == nil:
	case kept.From == from:
		if kept.Version > version {
			return Targets{Version: kept.Version, Full: true, Servers: kept.Servers}, kept.Version
		}
	default:
		version = -1
		known.Servers = slices.Clone(known.Servers)
		for i, t := range known.Servers {
			if was, ok := l.lines[t.ID]; ok && was.State != membership.Serving {
				known.Servers[i].State = was.State
			}
		}
	}
	return known, version
}

// initList has the journal keep what changes in the list that the sender begins with. From another address, or without any
// list, discovery's whole list comes first.
func (j *journal) initList(from string, first Targets, askFrom int64) {
	if askFrom < 0 {
		return
	}
	j.reserved -= j.endpoints.size
	j.endpoints.init(from, first)
	j.reserved += j.endpoints.size
}

// saveList buffers an update of discovery's list; flush writes it.
func (j *journal) saveList(from string, u membership.Update) {
	r := j.endpoints.diff(from, u)
	if r == nil {
		return
	}
	j.reserved -= j.endpoints.size
	j.endpoints.apply(r)
	j.reserved += j.endpoints.size
	switch {
	case j.endpoints.lines == nil: // given up
		r = &listRecord{From: from, Version: -1, Full: true}
	case j.endpoints.unwritten: // changes alone would be changes to nothing
		r = j.endpoints.record()
	}
	if r == nil { // nothing is left of it
		return
	}
	j.endpoints.unwritten = false
	if _, err := writeLine(&j.buf, &record{Op: opList, List: r}); err != nil {
		j.failed = true
	}
}
