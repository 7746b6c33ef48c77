package membership

import (
	"cmp"
	"fmt"
	"slices"
)

// Source is a source of endpoint lists.
type Source int

// The sources.
const (
	Discovery Source = iota
	Names
	sources
)

// Precedence determines which sources are active for a destination.
type Precedence int

// The precedences.
const (
	NamesFirst     Precedence = iota // Names; Discovery for destinations that Names has never listed
	DiscoveryFirst                   // Discovery; Names for destinations that Discovery has never listed
	Both                             // both sources
)

// Precedences returns the names of the precedences in the settings, in the order of their numbers.
func Precedences() []string { return []string{"names", "discovery", "both"} }

// PrecedenceOf parses the name of a precedence. The error is a *PrecedenceError.
func PrecedenceOf(word string) (Precedence, error) {
	if i := slices.Index(Precedences(), word); i >= 0 {
		return Precedence(i), nil
	}
	return 0, &PrecedenceError{word}
}

// PrecedenceError reports a word that is not the name of a precedence.
type PrecedenceError struct{ Word string }

// Error returns a message with the word and the names of all precedences.
func (e *PrecedenceError) Error() string {
	return fmt.Sprintf("%q is no precedence; there are %q", e.Word, Precedences())
}

// String returns the precedence's name in the settings.
func (p Precedence) String() string {
	if p < 0 || int(p) >= len(Precedences()) {
		return fmt.Sprintf("precedence %d", int(p))
	}
	return Precedences()[p]
}

// Merger merges the endpoint lists of several sources into one. At one destination one address is one endpoint, whichever sources list it
// and however often. The endpoint keeps the id under which it was listed first, so that it has one concurrency window, one limit and
// one health state. A Merger is for one goroutine.
type Merger struct {
	precedence map[uint32]Precedence
	fallback   Precedence

	targets      [sources]map[string]Target // by the source's own id
	destinations map[uint32]*destination
	locations    map[string]location // by id in the merged list
}

// location is the location of an endpoint in the merged list.
type location struct {
	destination uint32
	address     string
}

// destination is the state of one destination.
type destination struct {
	hasListed [sources]bool                // whether the source has ever listed a target of the destination
	ids       [sources]map[string]struct{} // ids of the source's targets
	merged    map[string]Target            // the merged targets, by address
}

// NewMerger returns a merger without targets. precedence is by destination; fallback applies to all other destinations.
func NewMerger(precedence map[uint32]Precedence, fallback Precedence) *Merger {
	m := &Merger{precedence: precedence, fallback: fallback, destinations: map[uint32]*destination{}, locations: map[string]location{}}
	for s := range m.targets {
		m.targets[s] = map[string]Target{}
	}
	return m
}

// Apply processes an update from a source and returns the changes of the merged list, including deleted targets. A deleted target comes
// before another target that reuses its address or id.
func (m *Merger) Apply(from Source, u Update) []Target {
	touched := map[uint32]struct{}{}
	listed := map[string]struct{}{}
	for _, t := range u.Servers {
		listed[t.ID] = struct{}{}
		m.applyTarget(from, t, touched)
	}
	if u.Full {
		for id, t := range m.targets[from] {
			if _, ok := listed[id]; !ok {
				t.State = Deleted
				m.applyTarget(from, t, touched)
			}
		}
	}
	order := make([]uint32, 0, len(touched))
	for d := range touched {
		order = append(order, d)
	}
	slices.Sort(order)
	desired := make([]map[string]Target, len(order))
	var changes []Target
	for i, n := range order { // removals of all destinations first, so that another destination can reuse their ids
		desired[i] = m.desired(n)
		changes = append(changes, m.removals(m.destinations[n], desired[i])...)
	}
	removedCount := len(changes)
	for i, n := range order {
		changes = append(changes, m.additions(n, m.destinations[n], desired[i])...)
	}
	readded := map[string]struct{}{} // ids of endpoints that move to another destination
	for _, t := range changes[removedCount:] {
		readded[t.ID] = struct{}{}
	}
	return slices.DeleteFunc(changes, func(t Target) bool {
		_, ok := readded[t.ID]
		return ok && t.State == Deleted
	})
}

// applyTarget applies one target of a source and adds the destinations that it changes to touched.
func (m *Merger) applyTarget(from Source, t Target, touched map[uint32]struct{}) {
	if old, ok := m.targets[from][t.ID]; ok {
		if t.Addr == "" { // changes from discovery may omit it
			t.Addr = old.Addr
		}
		if old.Destination != t.Destination && t.State != Deleted {
			delete(m.destination(old.Destination).ids[from], t.ID)
			touched[old.Destination] = struct{}{}
		}
		if t.State == Deleted {
			t.Destination = old.Destination
		}
	}
	d := m.destination(t.Destination)
	touched[t.Destination] = struct{}{}
	if t.State == Deleted {
		delete(m.targets[from], t.ID)
		delete(d.ids[from], t.ID)
		return
	}
	d.hasListed[from] = true
	d.ids[from][t.ID] = struct{}{}
	m.targets[from][t.ID] = t
}

// destination returns the state of a destination, which it creates if necessary.
func (m *Merger) destination(n uint32) *destination {
	d := m.destinations[n]
	if d == nil {
		d = &destination{merged: map[string]Target{}}
		for s := range d.ids {
			d.ids[s] = map[string]struct{}{}
		}
		m.destinations[n] = d
	}
	return d
}

// activeSources returns which sources are active for a destination now.
func (m *Merger) activeSources(n uint32, d *destination) [sources]bool {
	p, ok := m.precedence[n]
	if !ok {
		p = m.fallback
	}
	switch {
	case p == Both:
		return [sources]bool{Discovery: true, Names: true}
	case p == NamesFirst && d.hasListed[Names], p == DiscoveryFirst && !d.hasListed[Discovery]:
		return [sources]bool{Names: true}
	}
	return [sources]bool{Discovery: true}
}

// desired returns the targets that a destination should have after merging, by address.
func (m *Merger) desired(n uint32) map[string]Target {
	d := m.destinations[n]
	active := m.activeSources(n, d)
	desired := map[string]Target{}
	for s := range sources {
		for _, id := range sorted(d.ids[s]) {
			t := m.targets[s][id]
			current, ok := desired[t.Addr]
			switch {
			case !active[s]:
			case !ok:
				desired[t.Addr] = t
			case current.State == Dropped && t.State != Dropped:
				desired[t.Addr] = t
			case current.State == Serving && t.State == Draining:
				current.State = Draining
				desired[t.Addr] = current
			}
		}
	}
	// An inactive source adds no targets, but a target that it lists as draining drains.
	for s := range sources {
		if !active[s] {
			for id := range d.ids[s] {
				if t := m.targets[s][id]; t.State == Draining {
					if current, ok := desired[t.Addr]; ok {
						current.State = Draining
						desired[t.Addr] = current
					}
				}
			}
		}
	}
	return desired
}

// removals removes the merged targets that are not desired any more. A target whose id is desired at a new address of the same destination
// has moved: it remains the same endpoint.
func (m *Merger) removals(d *destination, desired map[string]Target) []Target {
	var changes []Target
	for _, addr := range sorted(desired) {
		t := desired[addr]
		if _, ok := d.merged[addr]; ok {
			continue
		}
		if was, ok := m.locations[t.ID]; ok && was.destination == t.Destination {
			if _, still := desired[was.address]; !still {
				d.merged[addr] = d.merged[was.address]
				delete(d.merged, was.address)
				m.locations[t.ID] = location{t.Destination, addr}
			}
		}
	}
	for _, addr := range sorted(d.merged) {
		if _, ok := desired[addr]; !ok {
			t := d.merged[addr]
			t.State = Deleted
			changes = append(changes, t)
			delete(d.merged, addr)
			delete(m.locations, t.ID)
		}
	}
	return changes
}

// additions adds and changes the merged targets of a destination so that they match desired.
func (m *Merger) additions(n uint32, d *destination, desired map[string]Target) []Target {
	var changes []Target
	for _, addr := range sorted(desired) {
		t := desired[addr]
		old, ok := d.merged[addr]
		if ok {
			t.ID = old.ID
		} else if _, taken := m.locations[t.ID]; taken { // at another address, which another source lists
			t.ID = fmt.Sprintf("at:%d:%s", n, addr)
		}
		if t.State == Dropped {
			t.State = Draining
		}
		if !ok || old != t {
			changes = append(changes, t)
			d.merged[addr], m.locations[t.ID] = t, location{n, addr}
		}
	}
	return changes
}

// List returns the merged targets, sorted by destination and address.
func (m *Merger) List() []Target {
	var all []Target
	for _, d := range m.destinations {
		for _, t := range d.merged {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Addr, b.Addr))
	})
	return all
}

// sorted returns the sorted keys of a map.
func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
