package membership

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// FollowerConfig is how long a follower keeps and holds back addresses. An address that went MaxFlaps times within FlapWindow
// flaps.
type FollowerConfig struct {
	Retention     time.Duration // an address that comes back within it is the endpoint that it was
	MaxFlaps      int           // 0: none flaps
	FlapWindow    time.Duration
	Stabilization time.Duration // an address that flaps serves again only when it has stood so long; unless there is no other
}

// DefaultFollowerConfig suits members that move now and then.
func DefaultFollowerConfig() FollowerConfig {
	return FollowerConfig{Retention: 2 * time.Minute, MaxFlaps: 3, FlapWindow: 30 * time.Second, Stabilization: 10 * time.Second}
}

// Follower turns what names come to into targets of an endpoint list. Removals act at once, whatever else: nothing new goes to
// an address that a source says is gone. It is for one goroutine; times are of one clock that does not go back.
type Follower struct {
	config       FollowerConfig
	members      []member
	destinations map[uint32]*destinationAddresses
	nextStep     time.Duration // nothing changes by the passing of time before
}

// member is a name that is followed and what it came to.
type member struct {
	Member
	current    map[netip.AddrPort]addressRating
	last       Answer
	answered   bool
	emptySince time.Duration // an empty answer is not believed yet; never: none waits
}

// addressRating is what a name's records say of an address.
type addressRating struct {
	priority uint16
	weight   float64
}

// destinationAddresses is a destination's members, by their index, and addresses.
type destinationAddresses struct {
	members []int
	entries map[netip.AddrPort]*entry
}

// phase is the state of an address.
type phase int

const (
	serving     phase = iota
	dropped           // drains, and is kept for a while
	stabilizing       // is listed again, and flaps
)

// entry is an address of a destination.
type entry struct {
	target    Target
	phase     phase
	until     time.Duration   // dropped: forgotten then; stabilizing: serves then
	removedAt []time.Duration // when it went, the last ones
}

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// NewFollower follows members; observations name them by their index here.
func NewFollower(members []Member, config FollowerConfig) *Follower {
	f := &Follower{config: config, destinations: map[uint32]*destinationAddresses{}, nextStep: never}
	for i, m := range members {
		f.members = append(f.members, member{Member: m, current: map[netip.AddrPort]addressRating{}, emptySince: never})
		d := f.destinations[m.Destination]
		if d == nil {
			d = &destinationAddresses{entries: map[netip.AddrPort]*entry{}}
			f.destinations[m.Destination] = d
		}
		d.members = append(d.members, i)
	}
	return f
}

// Observation is what a member's name came to.
type Observation struct {
	Member int
	Answer
}

// Step takes in observations, and that time has passed, and gives the targets that change. A target's State is Serving,
// Dropped or Deleted.
func (f *Follower) Step(now time.Duration, observations []Observation) []Target {
	changedDestinations := map[uint32]struct{}{}
	for _, h := range observations {
		f.observe(now, h)
		changedDestinations[f.members[h.Member].Destination] = struct{}{}
	}
	if now >= f.nextStep { // rare: all are looked at
		f.nextStep = never
		for n := range f.destinations {
			changedDestinations[n] = struct{}{}
		}
	}
	order := make([]uint32, 0, len(changedDestinations))
	for n := range changedDestinations {
		order = append(order, n)
	}
	slices.Sort(order)
	var lines []Target
	for _, n := range order {
		lines = append(lines, f.reconcile(now, n)...)
	}
	return lines
}

// observe takes in one observation. An answer that says nothing (SERVFAIL, time-out) keeps what was there (RFC 8767); an empty
// one waits to be believed.
func (f *Follower) observe(now time.Duration, h Observation) {
	m := &f.members[h.Member]
	m.last, m.answered = h.Answer, true
	switch h.Result {
	case Found:
		m.emptySince = never
		next := rateAddresses(h.Addresses, m.Weight)
		if h.Partial { // what could not be asked for may still be there
			for a, r := range m.current {
				if _, ok := next[a]; !ok {
					next[a] = r
				}
			}
		}
		m.current = next
	case NXDomain, NoData:
		if m.emptySince == never && len(m.current) > 0 {
			m.emptySince = now
		}
	default: // nobody says that they are gone (RFC 8767)
		m.emptySince = never
	}
}

// rateAddresses keeps the addresses of the lowest priority, each once, and makes ratings of their weights: relative to their
// mean, so that the rating of a destination as a whole is the setting's. One of weight 0 gets a little (RFC 2782).
func rateAddresses(addresses []Address, rating float64) map[netip.AddrPort]addressRating {
	lowestPriority, sum := uint16(math.MaxUint16), 0.0
	weights := map[netip.AddrPort]float64{}
	for _, a := range addresses {
		lowestPriority = min(lowestPriority, a.Priority)
	}
	for _, a := range addresses {
		if a.Priority == lowestPriority {
			weights[a.AddrPort] = max(weights[a.AddrPort], float64(a.Weight))
		}
	}
	for _, w := range weights {
		sum += w
	}
	out := make(map[netip.AddrPort]addressRating, len(weights))
	for a, w := range weights {
		share := 1.0
		if sum > 0 {
			share = max(w/sum*float64(len(weights)), 0.01)
		}
		out[a] = addressRating{lowestPriority, rating * share}
	}
	return out
}

// targetChanges is the targets that change in a step.
type targetChanges []Target

// set makes t the entry's target, and a change if it is another.
func (c *targetChanges) set(e *entry, t Target) {
	if e.target != t {
		e.target = t
		*c = append(*c, t)
	}
}

// setState makes the entry's target one of another state.
func (c *targetChanges) setState(e *entry, state string) {
	t := e.target
	t.State = state
	c.set(e, t)
}

// reconcile works a destination's targets out anew and gives those that change.
func (f *Follower) reconcile(now time.Duration, n uint32) []Target {
	d := f.destinations[n]
	wanted := f.wantedTargets(now, n)
	var changes targetChanges
	stillServing := f.removeUnwanted(now, d, wanted, &changes)
	f.addWanted(now, d, wanted, stillServing, &changes)
	for _, e := range d.entries {
		if e.phase != serving {
			f.nextStep = min(f.nextStep, e.until)
		}
	}
	return changes
}

// wantedTargets is what a destination's names come to, by address. An empty answer counts once it has stood for its member's
// EmptyAfter.
func (f *Follower) wantedTargets(now time.Duration, n uint32) map[netip.AddrPort]Target {
	wanted := map[netip.AddrPort]Target{}
	for _, i := range f.destinations[n].members {
		m := &f.members[i]
		if m.emptySince != never {
			if now-m.emptySince >= m.EmptyAfter {
				m.current, m.emptySince = map[netip.AddrPort]addressRating{}, never
			} else {
				f.nextStep = min(f.nextStep, m.emptySince+m.EmptyAfter)
			}
		}
		for a, r := range m.current {
			if _, ok := wanted[a]; !ok { // at two names it is one, by the first of them
				wanted[a] = Target{ID: fmt.Sprintf("dns:%d:%s", n, a), Addr: a.String(), Zone: m.Zone, Kind: m.Kind, Destination: n, State: Serving, Weight: r.weight}
			}
		}
	}
	return wanted
}

// removeUnwanted drops the addresses that are not wanted any more, and deletes those that have been dropped for the retention. It
// gives how many that are wanted serve.
func (f *Follower) removeUnwanted(now time.Duration, d *destinationAddresses, wanted map[netip.AddrPort]Target, changes *targetChanges) (stillServing int) {
	for _, a := range addresses(d.entries) {
		e := d.entries[a]
		_, isWanted := wanted[a]
		switch {
		case isWanted:
			if e.phase == serving {
				stillServing++
			}
		case e.phase != dropped:
			if e.phase == serving { // one that stabilizes has not come yet, so it does not go
				e.removedAt = append(e.removedAt, now)
				if len(e.removedAt) > f.config.MaxFlaps {
					e.removedAt = e.removedAt[1:]
				}
			}
			e.phase, e.until = dropped, now+f.config.Retention
			changes.setState(e, Dropped)
		case now >= e.until:
			changes.setState(e, Deleted)
			delete(d.entries, a)
		}
	}
	return stillServing
}

// addWanted has the wanted addresses serve; one that flaps only once it has stood for the stabilization, unless none serves.
func (f *Follower) addWanted(now time.Duration, d *destinationAddresses, wanted map[netip.AddrPort]Target, nowServing int, changes *targetChanges) {
	var unstable []netip.AddrPort
	for _, a := range addresses(wanted) {
		e, ok := d.entries[a]
		if !ok {
			e = &entry{phase: serving}
			d.entries[a] = e
			nowServing++
		} else if e.phase == dropped {
			if f.isFlapping(now, e) {
				e.phase, e.until = stabilizing, now+f.config.Stabilization
			} else {
				e.phase = serving
				nowServing++
			}
		}
		if e.phase == stabilizing && now >= e.until {
			e.phase = serving
			nowServing++
		}
		if e.phase == stabilizing {
			unstable = append(unstable, a)
			continue
		}
		changes.set(e, wanted[a])
	}
	if nowServing > 0 {
		return
	}
	for _, a := range unstable { // there is no other
		e := d.entries[a]
		e.phase = serving
		changes.set(e, wanted[a])
	}
}

// isFlapping reports whether an address has gone so often in so short a time that it is to stand for a while before it serves.
func (f *Follower) isFlapping(now time.Duration, e *entry) bool {
	return f.config.MaxFlaps > 0 && len(e.removedAt) >= f.config.MaxFlaps && now-e.removedAt[len(e.removedAt)-f.config.MaxFlaps] <= f.config.FlapWindow
}

// Next is when Step is to be called at the latest.
func (f *Follower) Next() time.Duration { return f.nextStep }

// MemberState is what is known of a member, as operators are shown it.
type MemberState struct {
	Destination uint32   `json:"destination"`
	Name        string   `json:"name"`
	Answer      string   `json:"answer"` // what the name came to last
	Why         string   `json:"why,omitempty"`
	Retained    bool     `json:"held,omitempty"` // addresses are kept although the answer has none
	Lines       []Target `json:"lines"`          // of the destination
}

// MemberStates is what is known of all members, in their order.
func (f *Follower) MemberStates() []MemberState {
	var all []MemberState
	for i := range f.members {
		m := &f.members[i]
		s := MemberState{Destination: m.Destination, Name: m.Name, Answer: "not asked yet", Why: m.last.Why, Lines: []Target{}}
		if m.answered {
			s.Answer = m.last.Result.String()
			s.Retained = m.last.Result != Found && len(m.current) > 0
		}
		d := f.destinations[m.Destination]
		for _, a := range addresses(d.entries) {
			s.Lines = append(s.Lines, d.entries[a].target)
		}
		all = append(all, s)
	}
	return all
}

// addresses is the keys of a map in the order of addresses and ports.
func addresses[V any](m map[netip.AddrPort]V) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(m))
	for a := range m {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int {
		return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Port(), b.Port()))
	})
	return list
}
