package sender

import (
	"cmp"
	"encoding/json"
	"slices"

	"saffronyard.example/saffronyard/internal/membership"
)

// listRecord is the endpoint list as last received from discovery, or changes to it. The journal stores it so that a restarted
// process sends nothing to the endpoints that had been reported as draining or deleted, and requests only newer changes. The list in
// the configuration may be as old as the deployment, and discovery may reject calls for seconds when many senders restart at once.
type listRecord struct {
	From    string   `json:"from"` // discovery's address: versions of different addresses are not comparable
	Version int64    `json:"version"`
	Full    bool     `json:"whole,omitempty"` // replaces the stored list
	Servers []Target `json:"servers,omitempty"`
}

const (
	maxStoredListBytes = 64 << 10 // the longest list that is stored, limited also to a sixteenth of the journal's budget
	listRecordOverhead = 256      // bytes of a list's record besides its lines
)

// storedList is the endpoint list in the journal.
type storedList struct {
	from     string
	version  int64
	lines    map[string]storedTarget // by endpoint id; nil: no list is stored
	size     int64                   // of all lines as they are written, in bytes
	maxBytes int64

	unwritten bool // the list is not in the journal's file yet
}

// storedTarget is a line of the list and its size in bytes.
type storedTarget struct {
	Target
	size int64
}

// apply applies a record to the list. A list that becomes longer than maxBytes is dropped completely: in a truncated list, endpoints
// that still exist would be missing.
func (l *storedList) apply(r *listRecord) {
	if r.Full || l.lines == nil {
		l.lines, l.size = map[string]storedTarget{}, 0
	}
	l.from, l.version = r.From, r.Version
	for _, t := range r.Servers {
		l.size -= l.lines[t.ID].size
		delete(l.lines, t.ID)
		if t.State != membership.Deleted {
			raw, _ := json.Marshal(t) // can't fail: text and numbers only, and a weight from a list is finite
			l.lines[t.ID] = storedTarget{t, int64(len(raw)) + 1}
			l.size += int64(len(raw)) + 1
		}
		if r.Full && l.size > l.maxBytes {
			break // further lines only make it longer
		}
	}
	if r.Version < 0 || l.size > l.maxBytes {
		l.version, l.lines, l.size = -1, nil, 0
	}
}

// init sets the list to one that was read at the start rather than received from discovery, so that changes to it can be stored.
// It writes nothing: until there are changes, the next process reads the same list at its start.
func (l *storedList) init(from string, known Targets) {
	if l.from != from || l.version != known.Version || len(l.lines) == 0 {
		l.apply(&listRecord{From: from, Version: known.Version, Full: true, Servers: known.Servers})
		l.unwritten = true
	}
}

// diff returns the record that applies an update from an address to the stored list; nil if the update changes nothing, or if it
// has only changes to a list that is not stored.
func (l *storedList) diff(from string, u membership.Update) *listRecord {
	r := &listRecord{From: from, Version: u.Version}
	if l.lines == nil || l.from != from || u.VersionsReset {
		if !u.Full {
			return nil // only changes, to a list that is not stored
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

// record returns the complete list, ordered by id; nil if no list is stored.
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

// startingPoint returns the list to start with at an address, and the version after which to request changes there, -1 to request the
// complete list. Of two lists from the same address the newer is used. A stored list from another address is not comparable: then the
// configuration's list is used, but endpoints that were draining remain so until the complete list has been received.
func (l *storedList) startingPoint(known Targets, from string) (Targets, int64) {
	known.Full = true
	version := known.Version
	if len(known.Servers) == 0 {
		version = -1
	}
	stored := l.record()
	switch {
	case stored == nil:
	case stored.From == from:
		if stored.Version > version {
			return Targets{Version: stored.Version, Full: true, Servers: stored.Servers}, stored.Version
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

// initList sets the list that the sender starts with, so that changes to it are stored. It does nothing if askFrom is -1, that is if
// the complete list is requested from discovery first because there is no list or it is from another address.
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
	case j.endpoints.lines == nil: // dropped
		r = &listRecord{From: from, Version: -1, Full: true}
	case j.endpoints.unwritten: // the file has no list that changes could apply to
		r = j.endpoints.record()
	}
	if r == nil { // the list is empty
		return
	}
	j.endpoints.unwritten = false
	if _, err := writeLine(&j.buf, &record{Op: opList, List: r}); err != nil {
		j.failed = true
	}
}
