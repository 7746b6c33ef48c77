package calls

import (
	"cmp"
	"slices"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/membership"
)

// List is the list as the loop knows it. Endpoints come and go all day: of one that is gone nothing is
// kept, and a number is never given again, so that one which comes back, or another at its address, starts
// with no connection and no past.
type List struct {
	ByID     map[string]*Endpoint
	ByNumber map[brain.EndpointID]*Endpoint
	last     brain.EndpointID
	lists    uint64                      // how many have come
	Cells    map[uint32]struct{}         // destinations that a list has ever named; no more than there are numbers
	Closed   func(uint32) bool           // what the fleet's policy closes, or holds up; nil where there is none
	Kind     func(uint32, string) string // as of which kind it has a destination; nil where there is none
}

// NewList makes an empty list.
func NewList() List {
	return List{ByID: map[string]*Endpoint{}, ByNumber: map[brain.EndpointID]*Endpoint{}, Cells: map[uint32]struct{}{}}
}

// News books news of the list and translates for the Brain what they change: a whole list that comes again
// costs it no more than that. An endpoint that is listed again as it was keeps its place among those of its
// destination.
func (l *List) News(t membership.Update, whole bool, names Names, p *Pool) brain.EndpointUpdate {
	var news brain.EndpointUpdate
	l.lists++
	for _, line := range t.Servers {
		if e, changed := l.line(line, names, p); changed {
			news.Endpoints = append(news.Endpoints, e)
		}
	}
	for _, line := range t.Servers {
		if line.State == "DELETED" {
			l.forget(l.ByID[line.ID], p)
		}
	}
	if !whole {
		return news
	}
	var gone []*Endpoint
	for _, e := range l.ByID {
		if e.listed != l.lists {
			gone = append(gone, e)
		}
	}
	slices.SortFunc(gone, func(x, y *Endpoint) int { return cmp.Compare(x.Number, y.Number) })
	for _, e := range gone {
		if e.Line.Ready {
			e.Line.Ready = false
			news.Endpoints = append(news.Endpoints, e.Line)
		}
		l.forget(e, p)
	}
	return news
}

// forget drops an endpoint that is gone. Calls that are out there end as they do, and their connections with
// them.
func (l *List) forget(e *Endpoint, p *Pool) {
	if e == nil {
		return
	}
	delete(l.ByID, e.ID)
	delete(l.ByNumber, e.Number)
	e.mu.Lock()
	e.addr = ""
	e.mu.Unlock()
	p.CloseIdle(e, 0)
}

// Retire books that an endpoint wants no more calls: as if the list had said so, until it does and takes that back.
func (l *List) Retire(e *Endpoint, p *Pool) (news brain.EndpointUpdate, changed bool) {
	if e == nil || e.gone || l.ByID[e.ID] != e {
		return news, false
	}
	e.gone = true
	changed = e.Line.Ready
	e.Line.Ready = false
	p.CloseIdle(e, 0)
	return brain.EndpointUpdate{Endpoints: []brain.Endpoint{e.Line}}, changed
}

// shut reports whether the fleet has nothing sent to a destination.
func (l *List) shut(destination uint32) bool { return l.Closed != nil && l.Closed(destination) }

// kindOf is the place of an endpoint's kind in the settings, as the list or else the fleet's policy has it.
func (l *List) kindOf(e *Endpoint, destination uint32, names Names) int {
	kind := e.kind
	if l.Kind != nil {
		kind = l.Kind(destination, kind)
	}
	return max(0, slices.Index(names.Kinds, kind))
}

// Closings translates for the Brain what the fleet has closed and opened since: to it an endpoint drains, or is back.
func (l *List) Closings(names Names) brain.EndpointUpdate {
	var changed []*Endpoint
	for _, e := range l.ByID {
		is, dest := e.Line, uint32(e.Line.Destination)
		is.Ready, is.Kind = e.serves && !e.gone && !l.shut(dest), l.kindOf(e, dest, names)
		if is != e.Line {
			e.Line = is
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(x, y *Endpoint) int { return cmp.Compare(x.Number, y.Number) })
	var news brain.EndpointUpdate
	for _, e := range changed {
		news.Endpoints = append(news.Endpoints, e.Line)
	}
	return news
}

// line books a line of the list and translates it for the Brain; changed is whether that has to hear of it.
func (l *List) line(t membership.Target, names Names, p *Pool) (line brain.Endpoint, changed bool) {
	e := l.ByID[t.ID]
	if e == nil {
		l.last++
		e = &Endpoint{Number: l.last, ID: t.ID, asking: make(chan struct{}, 1)}
		l.ByID[t.ID], l.ByNumber[e.Number] = e, e
		changed = true
	}
	e.listed = l.lists
	if t.Cell <= MaxDest {
		l.Cells[t.Cell] = struct{}{}
	}
	e.Zone = max(0, slices.Index(names.Zones, t.Zone))
	if t.State != "SERVING" {
		e.gone = false
	}
	e.serves, e.kind = t.State == "SERVING", t.Kind
	ready := e.serves && !e.gone && !l.shut(t.Cell)
	e.mu.Lock()
	e.form = p.forms.of(t.Cell, t.Kind)
	if t.Addr != "" {
		e.addr = t.Addr
	}
	e.mu.Unlock()
	if !ready {
		p.CloseIdle(e, 0)
	}
	line = brain.Endpoint{ID: e.Number, Destination: brain.DestinationID(t.Cell), Kind: l.kindOf(e, t.Cell, names),
		Zone: e.Zone, Ready: ready, Rating: t.Weight}
	changed = changed || line != e.Line
	e.Line = line
	return line, changed
}

// Names are those of the settings that endpoints are listed by.
type Names struct{ Zones, Kinds []string }

// MaxDest is the highest destination that a list may name.
const MaxDest = 1<<16 - 1
