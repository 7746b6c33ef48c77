package membership

import (
	"cmp"
	"fmt"
	"slices"
)

// Source is one of the sources that feed an endpoint list.
type Source int

// The sources.
const (
	Discovery Source = iota
	Names
	sources
)

// Precedence says which sources count for a destination.
type Precedence int

// The precedences.
const (
	NamesFirst     Precedence = iota // names; discovery for destinations of which they have never said anything
	DiscoveryFirst                   // the other way round
	Both                             // all that either lists
)

// Precedences are the words for the precedences, as settings have them, in the order of their numbers.
func Precedences() []string { return []string{"names", "discovery", "both"} }

// PrecedenceOf reads a word; the error is a *PrecedenceError.
func PrecedenceOf(word string) (Precedence, error) {
	if i := slices.Index(Precedences(), word); i >= 0 {
		return Precedence(i), nil
	}
	return 0, &PrecedenceError{word}
}

// PrecedenceError is a word that names no precedence.
type PrecedenceError struct{ Word string }

// Error gives the word, and those that there are.
func (e *PrecedenceError) Error() string {
	return fmt.Sprintf("%q is no precedence; there are %q", e.Word, Precedences())
}

// String is the precedence's word.
func (p Precedence) String() string {
	if p < 0 || int(p) >= len(Precedences()) {
		return fmt.Sprintf("precedence %d", int(p))
	}
	return Precedences()[p]
}

// Merger makes one endpoint list of those of several sources. At one destination one address is one endpoint, whoever lists it
// and how often, under the id it had first: with one window, limit and health. It is for one goroutine.
type Merger struct {
	precedence map[uint32]Precedence
	fallback   Precedence

	targets      [sources]map[string]Target // by the source's own id
	destinations map[uint32]*destination
	locations    map[string]location // where each id of the merged list is
}

// location is where an endpoint of the merged list is.
type location struct {
	destination uint32
	address     string
}

// destination is what is merged for one destination.
type destination struct {
	hasListed [sources]bool                // it has named the destination
	ids       [sources]map[string]struct{} // its lines
	merged    map[string]Target            // the merged lines, by address
}

// NewMerger makes a merger without targets. precedence is by destination, fallback for all others.
func NewMerger(precedence map[uint32]Precedence, fallback Precedence) *Merger {
	m := &Merger{precedence: precedence, fallback: fallback, destinations: map[uint32]*destination{}, locations: map[string]location{}}
	for s := range m.targets {
		m.targets[s] = map[string]Target{}
	}
	return m
}

// Apply takes in an update of a source and gives what changes in the merged list, as changes: deleted targets among them, each
// before another target takes its address or id over.
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
	for i, n := range order { // first what goes everywhere, so that ids are free that another destination takes
		desired[i] = m.desired(n)
		changes = append(changes, m.removals(m.destinations[n], desired[i])...)
	}
	removedCount := len(changes)
	for i, n := range order {
		changes = append(changes, m.additions(n, m.destinations[n], desired[i])...)
	}
	readded := map[string]struct{}{} // the same endpoint, at another destination
	for _, t := range changes[removedCount:] {
		readded[t.ID] = struct{}{}
	}
	return slices.DeleteFunc(changes, func(t Target) bool {
		_, ok := readded[t.ID]
		return ok && t.State == Deleted
	})
}

// applyTarget takes in one target of a source and marks the destinations that it touches.
func (m *Merger) applyTarget(from Source, t Target, touched map[uint32]struct{}) {
	if old, ok := m.targets[from][t.ID]; ok {
		if t.Addr == "" { // discovery's changes may leave it out
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

// destination is the state of a destination, made if there is none.
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

// activeSources says which sources count for a destination now.
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

// desired is what the merged targets of a destination are to be, by address.
func (m *Merger) desired(n uint32) map[string]Target {
	d := m.destinations[n]
	counts := m.activeSources(n, d)
	desired := map[string]Target{}
	for s := range sources {
		for _, id := range sorted(d.ids[s]) {
			t := m.targets[s][id]
			have, ok := desired[t.Addr]
			switch {
			case !counts[s]:
			case !ok:
				desired[t.Addr] = t
			case have.State == Dropped && t.State != Dropped:
				desired[t.Addr] = t
			case have.State == Serving && t.State == Draining:
				have.State = Draining
				desired[t.Addr] = have
			}
		}
	}
	// A source that does not count lists nothing, but a drain is honoured whoever tells of it.
	for s := range sources {
		if !counts[s] {
			for id := range d.ids[s] {
				if t := m.targets[s][id]; t.State == Draining {
					if have, ok := desired[t.Addr]; ok {
						have.State = Draining
						desired[t.Addr] = have
					}
				}
			}
		}
	}
	return desired
}

// removals takes away what is not desired any more. A target whose id is desired at an address that is new has moved: it stays
// the endpoint that it is.
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

// additions makes the merged targets of a destination what is desired.
func (m *Merger) additions(n uint32, d *destination, desired map[string]Target) []Target {
	var changes []Target
	for _, addr := range sorted(desired) {
		t := desired[addr]
		old, ok := d.merged[addr]
		if ok {
			t.ID = old.ID
		} else if _, taken := m.locations[t.ID]; taken { // by another address, which another source lists
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

// List is the merged targets, by destination and address.
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

// sorted is the keys of a map in order.
func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
