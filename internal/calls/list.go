package calls

import (
	"cmp"
	"slices"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/membership"
)

// EndpointList is the list as the loop knows it. Endpoints come and go all day: of one that is gone nothing is
// kept, and a number is never given again, so that one which comes back, or another at its address, starts
// with no connection and no past.
type EndpointList struct {
	ByID         map[string]*Endpoint
	ByNumber     map[brain.EndpointID]*Endpoint
	lastNumber   brain.EndpointID
	generation   uint64                      // how many have come
	Destinations map[uint32]struct{}         // destinations that a list has ever named; no more than there are numbers
	IsClosed     func(uint32) bool           // what the fleet's policy closes, or holds up; nil where there is none
	KindOf       func(uint32, string) string // as of which kind it has a destination; nil where there is none
}

// NewEndpointList makes an empty list.
func NewEndpointList() EndpointList {
	return EndpointList{ByID: map[string]*Endpoint{}, ByNumber: map[brain.EndpointID]*Endpoint{}, Destinations: map[uint32]struct{}{}}
}

// Apply books news of the list and translates for the Brain what they change: a whole list that comes again
// costs it no more than that. An endpoint that is listed again as it was keeps its place among those of its
// destination.
func (l *EndpointList) Apply(t membership.Update, whole bool, names Names, p *Pool) brain.EndpointUpdate {
	var news brain.EndpointUpdate
	l.generation++
	for _, line := range t.Servers {
		if e, changed := l.update(line, names, p); changed {
			news.Endpoints = append(news.Endpoints, e)
		}
	}
	for _, line := range t.Servers {
		if line.State == "DELETED" {
			l.remove(l.ByID[line.ID], p)
		}
	}
	if !whole {
		return news
	}
	var gone []*Endpoint
	for _, e := range l.ByID {
		if e.lastListed != l.generation {
			gone = append(gone, e)
		}
	}
	slices.SortFunc(gone, func(x, y *Endpoint) int { return cmp.Compare(x.Number, y.Number) })
	for _, e := range gone {
		if e.Entry.Ready {
			e.Entry.Ready = false
			news.Endpoints = append(news.Endpoints, e.Entry)
		}
		l.remove(e, p)
	}
	return news
}

// remove drops an endpoint that is gone. Calls that are out there end as they do, and their connections with
// them.
func (l *EndpointList) remove(e *Endpoint, p *Pool) {
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
func (l *EndpointList) Retire(e *Endpoint, p *Pool) (news brain.EndpointUpdate, changed bool) {
	if e == nil || e.retired || l.ByID[e.ID] != e {
		return news, false
	}
	e.retired = true
	changed = e.Entry.Ready
	e.Entry.Ready = false
	p.CloseIdle(e, 0)
	return brain.EndpointUpdate{Endpoints: []brain.Endpoint{e.Entry}}, changed
}

// isClosed reports whether the fleet has nothing sent to a destination.
func (l *EndpointList) isClosed(destination uint32) bool {
	return l.IsClosed != nil && l.IsClosed(destination)
}

// kindIndex is the place of an endpoint's kind in the settings, as the list or else the fleet's policy has it.
func (l *EndpointList) kindIndex(e *Endpoint, destination uint32, names Names) int {
	kind := e.kind
	if l.KindOf != nil {
		kind = l.KindOf(destination, kind)
	}
	return max(0, slices.Index(names.Kinds, kind))
}

// ApplyPolicy translates for the Brain what the fleet has closed and opened since: to it an endpoint drains, or is back.
func (l *EndpointList) ApplyPolicy(names Names) brain.EndpointUpdate {
	var changed []*Endpoint
	for _, e := range l.ByID {
		is, dest := e.Entry, uint32(e.Entry.Destination)
		is.Ready, is.Kind = e.listedServing && !e.retired && !l.isClosed(dest), l.kindIndex(e, dest, names)
		if is != e.Entry {
			e.Entry = is
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(x, y *Endpoint) int { return cmp.Compare(x.Number, y.Number) })
	var news brain.EndpointUpdate
	for _, e := range changed {
		news.Endpoints = append(news.Endpoints, e.Entry)
	}
	return news
}

// update books a line of the list and translates it for the Brain; changed is whether that has to hear of it.
func (l *EndpointList) update(t membership.Target, names Names, p *Pool) (line brain.Endpoint, changed bool) {
	e := l.ByID[t.ID]
	if e == nil {
		l.lastNumber++
		e = &Endpoint{Number: l.lastNumber, ID: t.ID, validating: make(chan struct{}, 1)}
		l.ByID[t.ID], l.ByNumber[e.Number] = e, e
		changed = true
	}
	e.lastListed = l.generation
	if t.Cell <= MaxDestination {
		l.Destinations[t.Cell] = struct{}{}
	}
	e.Zone = max(0, slices.Index(names.Zones, t.Zone))
	if t.State != "SERVING" {
		e.retired = false
	}
	e.listedServing, e.kind = t.State == "SERVING", t.Kind
	ready := e.listedServing && !e.retired && !l.isClosed(t.Cell)
	e.mu.Lock()
	e.format = p.formats.find(t.Cell, t.Kind)
	if t.Addr != "" {
		e.addr = t.Addr
	}
	e.mu.Unlock()
	if !ready {
		p.CloseIdle(e, 0)
	}
	line = brain.Endpoint{ID: e.Number, Destination: brain.DestinationID(t.Cell), Kind: l.kindIndex(e, t.Cell, names),
		Zone: e.Zone, Ready: ready, Rating: t.Weight}
	changed = changed || line != e.Entry
	e.Entry = line
	return line, changed
}

// Names are those of the settings that endpoints are listed by.
type Names struct{ Zones, Kinds []string }

// MaxDestination is the highest destination that a list may name.
const MaxDestination = 1<<16 - 1
