package calls

import (
	"cmp"
	"slices"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/membership"
)

// stateServing and stateDeleted are states of a target in the endpoint list; any other one is draining.
const (
	stateServing = "SERVING"
	stateDeleted = "DELETED"
)

// MaxDestination is the highest destination in a list.
const MaxDestination = 1<<16 - 1

// Names are the names of zones and kinds in the settings. Zones and kinds of endpoints are translated to their indices there.
type Names struct{ Zones, Kinds []string }

// EndpointList is the endpoint list, owned by the sender's loop. Endpoints are added and removed all day: nothing is kept of a
// removed endpoint, and its number is never reused, so that an endpoint which is listed again, or another one at its
// address, starts with no connection and no history.
type EndpointList struct {
	ByID     map[string]*Endpoint
	ByNumber map[brain.EndpointID]*Endpoint
	// Destinations are all destinations that were ever listed, up to MaxDestination.
	Destinations map[uint32]struct{}
	// IsClosed reports whether the fleet's policy has closed or suspended a destination; nil without a policy.
	IsClosed func(destination uint32) bool
	// KindOf returns the kind of a destination under the fleet's policy, given the listed kind; nil without a policy.
	KindOf func(destination uint32, listed string) string

	lastNumber brain.EndpointID
	generation uint64 // number of updates applied
}

// NewEndpointList returns an empty list.
func NewEndpointList() EndpointList {
	return EndpointList{
		ByID:         map[string]*Endpoint{},
		ByNumber:     map[brain.EndpointID]*Endpoint{},
		Destinations: map[uint32]struct{}{},
	}
}

// Apply applies a change of the list, or the complete list, and returns only the changes that the Brain needs: a complete list
// without changes gives none. An endpoint that is listed again unchanged keeps its position among those of its destination.
func (l *EndpointList) Apply(update membership.Update, complete bool, names Names, p *Pool) brain.EndpointUpdate {
	var changes brain.EndpointUpdate
	l.generation++
	for _, target := range update.Servers {
		if e, changed := l.update(target, names, p); changed {
			changes.Endpoints = append(changes.Endpoints, e)
		}
	}
	for _, target := range update.Servers {
		if target.State == stateDeleted {
			l.remove(l.ByID[target.ID], p)
		}
	}
	if !complete {
		return changes
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
			changes.Endpoints = append(changes.Endpoints, e.Entry)
		}
		l.remove(e, p)
	}
	return changes
}

// remove removes an endpoint and closes its idle connections. Calls in flight continue, and their connections are closed afterwards.
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

// Retire marks an endpoint that wants no more calls as not ready, until the list reports it as not serving. changed reports
// whether the Brain needs the update.
func (l *EndpointList) Retire(e *Endpoint, p *Pool) (update brain.EndpointUpdate, changed bool) {
	if e == nil || e.retired || l.ByID[e.ID] != e {
		return update, false
	}
	e.retired = true
	changed = e.Entry.Ready
	e.Entry.Ready = false
	p.CloseIdle(e, 0)
	return brain.EndpointUpdate{Endpoints: []brain.Endpoint{e.Entry}}, changed
}

// isClosed reports whether the fleet's policy forbids sending to a destination.
func (l *EndpointList) isClosed(destination uint32) bool {
	return l.IsClosed != nil && l.IsClosed(destination)
}

// kindIndex returns the index in the settings of an endpoint's kind, by the fleet's policy or else the list; 0 for an unknown kind.
func (l *EndpointList) kindIndex(e *Endpoint, destination uint32, names Names) int {
	kind := e.kind
	if l.KindOf != nil {
		kind = l.KindOf(destination, kind)
	}
	return max(0, slices.Index(names.Kinds, kind))
}

// ApplyPolicy applies changes of the fleet's policy and returns the changes that the Brain needs. An endpoint of a closed
// destination is not ready.
func (l *EndpointList) ApplyPolicy(names Names) brain.EndpointUpdate {
	var changed []*Endpoint
	for _, e := range l.ByID {
		entry, destination := e.Entry, uint32(e.Entry.Destination)
		entry.Ready, entry.Kind = e.listedServing && !e.retired && !l.isClosed(destination), l.kindIndex(e, destination, names)
		if entry != e.Entry {
			e.Entry = entry
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(x, y *Endpoint) int { return cmp.Compare(x.Number, y.Number) })
	var changes brain.EndpointUpdate
	for _, e := range changed {
		changes.Endpoints = append(changes.Endpoints, e.Entry)
	}
	return changes
}

// update applies an entry of the list. changed reports whether the Brain needs it.
func (l *EndpointList) update(target membership.Target, names Names, p *Pool) (entry brain.Endpoint, changed bool) {
	e := l.ByID[target.ID]
	if e == nil {
		l.lastNumber++
		e = &Endpoint{Number: l.lastNumber, ID: target.ID, validating: make(chan struct{}, 1)}
		l.ByID[target.ID], l.ByNumber[e.Number] = e, e
		changed = true
	}
	e.lastListed = l.generation
	if target.Destination <= MaxDestination {
		l.Destinations[target.Destination] = struct{}{}
	}
	e.Zone = max(0, slices.Index(names.Zones, target.Zone))
	if target.State != stateServing {
		e.retired = false
	}
	e.listedServing, e.kind = target.State == stateServing, target.Kind
	ready := e.listedServing && !e.retired && !l.isClosed(target.Destination)
	e.mu.Lock()
	e.format = p.formats.find(target.Destination, target.Kind)
	if target.Addr != "" {
		e.addr = target.Addr
	}
	e.mu.Unlock()
	if !ready {
		p.CloseIdle(e, 0)
	}
	entry = brain.Endpoint{ID: e.Number, Destination: brain.DestinationID(target.Destination), Kind: l.kindIndex(e, target.Destination, names),
		Zone: e.Zone, Ready: ready, Rating: target.Weight}
	changed = changed || entry != e.Entry
	e.Entry = entry
	return entry, changed
}
