package sender

import (
	"cmp"
	"encoding/json"
	"slices"

	"saffronyard.example/saffronyard/internal/membership"
)

// heardList is discovery's list as it was told last. The journal keeps it: a process that restarts knows from its first
// moment what the earlier one was told to leave, and asks for no more than what came since. The configuration has a list
// as well, which may be as old as the deployment; and discovery may turn callers away for seconds when many restart at once.
type heardList struct {
	From    string   `json:"from"` // discovery's address: versions are each address's own
	Version int64    `json:"version"`
	Whole   bool     `json:"whole,omitempty"` // what was kept before does not count
	Servers []Target `json:"servers,omitempty"`
}

const (
	listMost = 64 << 10 // bytes of a list that is kept, and a sixteenth of the journal's room at most
	listHead = 256      // of its record beside the lines
)

// keptList is the list that the journal holds.
type keptList struct {
	from    string
	version int64
	lines   map[string]keptLine // nil: none is kept
	size    int64               // of all lines as they are written
	most    int64

	unwritten bool // the journal's file does not have it yet
}

type keptLine struct {
	Target
	size int64
}

// apply takes in a record of the journal's, or one that is about to be. A list that gets too long is given up as a whole:
// half a list would have endpoints gone that are not.
func (l *keptList) apply(r *heardList) {
	if r.Whole || l.lines == nil {
		l.lines, l.size = map[string]keptLine{}, 0
	}
	l.from, l.version = r.From, r.Version
	for _, t := range r.Servers {
		l.size -= l.lines[t.ID].size
		delete(l.lines, t.ID)
		if t.State != membership.Deleted {
			raw, _ := json.Marshal(t) // text and numbers only: a weight from a list is finite
			l.lines[t.ID] = keptLine{t, int64(len(raw)) + 1}
			l.size += int64(len(raw)) + 1
		}
		if r.Whole && l.size > l.most {
			break // it only grows
		}
	}
	if r.Version < 0 || l.size > l.most {
		l.version, l.lines, l.size = -1, nil, 0
	}
}

// begin takes a list that was not told but read at the start, so that changes to it can be kept. Nothing is written: until
// there are some the next process reads it as well.
func (l *keptList) begin(from string, known Targets) {
	if l.from != from || l.version != known.Version || len(l.lines) == 0 {
		l.apply(&heardList{From: from, Version: known.Version, Whole: true, Servers: known.Servers})
		l.unwritten = true
	}
}

// change is the record that brings the kept list to where news from an address does, nil if it is there already.
func (l *keptList) change(from string, u membership.Update) *heardList {
	r := &heardList{From: from, Version: u.Version}
	if l.lines == nil || l.from != from || u.Anew {
		if !u.Full {
			return nil // changes alone, to a list that is not known
		}
		r.Whole, r.Servers = true, u.Servers
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
func (l *keptList) record() *heardList {
	if len(l.lines) == 0 {
		return nil
	}
	r := &heardList{From: l.from, Version: l.version, Whole: true}
	for _, line := range l.lines {
		r.Servers = append(r.Servers, line.Target)
	}
	slices.SortFunc(r.Servers, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// atStart is the list to begin with at an address, and the version after which to ask there; -1 is for the whole list. Of
// two from one address the newer counts. A kept list from another address is not comparable: the configuration's counts
// then, but what was told to leave stays left until the whole list has come.
func (l *keptList) atStart(known Targets, from string) (Targets, int64) {
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

// beginList has the journal keep what changes in the list that the sender begins with. From another address, or without
// any, it is the whole list that comes first.
func (j *journal) beginList(from string, first Targets, askFrom int64) {
	if askFrom < 0 {
		return
	}
	j.live -= j.list.size
	j.list.begin(from, first)
	j.live += j.list.size
}

// keepList notes news of discovery's list; flush writes it.
func (j *journal) keepList(from string, u membership.Update) {
	r := j.list.change(from, u)
	if r == nil {
		return
	}
	j.live -= j.list.size
	j.list.apply(r)
	j.live += j.list.size
	switch {
	case j.list.lines == nil: // given up
		r = &heardList{From: from, Version: -1, Whole: true}
	case j.list.unwritten: // changes alone would be changes to nothing
		r = j.list.record()
	}
	if r == nil { // nothing is left of it
		return
	}
	j.list.unwritten = false
	if _, err := encode(&j.buf, &record{Op: "list", List: r}); err != nil {
		j.failed = true
	}
}
