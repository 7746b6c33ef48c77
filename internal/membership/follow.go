package membership

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// FollowerConfig is the configuration of a Follower. An address flaps if it was removed MaxFlaps times within FlapWindow.
type FollowerConfig struct {
	Retention     time.Duration // an address that returns within this time is the same endpoint
	MaxFlaps      int           // 0: flapping is not detected
	FlapWindow    time.Duration
	Stabilization time.Duration // a flapping address serves again only after it was listed for this long, unless no other address serves
}

// DefaultFollowerConfig suits members that move occasionally.
func DefaultFollowerConfig() FollowerConfig {
	return FollowerConfig{Retention: 2 * time.Minute, MaxFlaps: 3, FlapWindow: 30 * time.Second, Stabilization: 10 * time.Second}
}

// Follower turns the answers for members' names into targets of an endpoint list. Removals always take effect at once: an address that a
// source has removed gets no new calls. A Follower is for one goroutine; all times must be of one monotonic clock.
type Follower struct {
	config       FollowerConfig
	members      []member
	destinations map[uint32]*destinationAddresses
	nextStep     time.Duration // until then, targets change only because of observations
}

// member is a followed name with its answers.
type member struct {
	Member
	current    map[netip.AddrPort]addressRating
	last       Answer
	answered   bool
	emptySince time.Duration // time of an empty answer that has not taken effect yet; never: there is none
}

// addressRating is the priority of an address in a name's records, and the weight derived from them.
type addressRating struct {
	priority uint16
	weight   float64
}

// destinationAddresses contains a destination's addresses and the indexes of its members.
type destinationAddresses struct {
	members []int
	entries map[netip.AddrPort]*entry
}

// phase is the state of an address.
type phase int

const (
	serving     phase = iota
	dropped           // drains and is retained
	stabilizing       // is listed again but flaps, and does not serve yet
)

// entry is an address of a destination.
type entry struct {
	target    Target
	phase     phase
	until     time.Duration   // dropped: end of the retention; stabilizing: when it serves
	removedAt []time.Duration // times of the last MaxFlaps removals
}

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// NewFollower returns a follower of members. Observations identify members by their index in members.
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

// Observation is an answer for a member's name.
type Observation struct {
	Member int
	Answer
}

// Step processes observations and the passing of time, and returns the targets that change. A target's State is Serving, Dropped or
// Deleted.
func (f *Follower) Step(now time.Duration, observations []Observation) []Target {
	changedDestinations := map[uint32]struct{}{}
	for _, o := range observations {
		f.observe(now, o)
		changedDestinations[f.members[o.Member].Destination] = struct{}{}
	}
	if now >= f.nextStep { // rare, so all destinations are checked
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
	var changes []Target
	for _, n := range order {
		changes = append(changes, f.reconcile(now, n)...)
	}
	return changes
}

// observe processes one observation. An answer without a result (SERVFAIL, time-out) keeps the current addresses (RFC 8767); an empty answer
// takes effect after EmptyAfter.
func (f *Follower) observe(now time.Duration, o Observation) {
	m := &f.members[o.Member]
	m.last, m.answered = o.Answer, true
	switch o.Result {
	case Found:
		m.emptySince = never
		next := rateAddresses(o.Addresses, m.Weight)
		if o.Partial { // addresses that could not be resolved may still exist
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
	default: // does not confirm that the addresses were removed (RFC 8767)
		m.emptySince = never
	}
}

// rateAddresses returns the addresses of the lowest priority value, each once, with the member's rating scaled by their weights relative to
// the mean weight, so that the mean rating of the addresses is the configured one. An address of weight 0 gets a small rating (RFC 2782).
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

// targetChanges are the targets that change in a step.
type targetChanges []Target

// set sets the entry's target to t, and records a change if t differs.
func (c *targetChanges) set(e *entry, t Target) {
	if e.target != t {
		e.target = t
		*c = append(*c, t)
	}
}

// setState changes the state of the entry's target.
func (c *targetChanges) setState(e *entry, state string) {
	t := e.target
	t.State = state
	c.set(e, t)
}

// reconcile recomputes a destination's targets and returns those that change.
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

// wantedTargets returns the targets to which a destination's names resolve, by address. An empty answer takes effect once its member's
// EmptyAfter has passed.
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
			if _, ok := wanted[a]; !ok { // an address at two names is one target, with the weight of the first name
				wanted[a] = Target{ID: fmt.Sprintf("dns:%d:%s", n, a), Addr: a.String(), Zone: m.Zone, Kind: m.Kind, Destination: n, State: Serving, Weight: r.weight}
			}
		}
	}
	return wanted
}

// removeUnwanted drops the addresses that are not wanted any more, and deletes those that have been dropped for the retention. It returns
// how many wanted addresses serve.
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
			if e.phase == serving { // a stabilizing address has not served again yet, so this is no further removal
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

// addWanted makes the wanted addresses serve. A flapping address serves only after the stabilization, unless no other address serves.
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
	for _, a := range unstable { // no other address serves
		e := d.entries[a]
		e.phase = serving
		changes.set(e, wanted[a])
	}
}

// isFlapping reports whether an address was removed MaxFlaps times within the last FlapWindow, so that it must stabilize before it serves.
func (f *Follower) isFlapping(now time.Duration, e *entry) bool {
	return f.config.MaxFlaps > 0 && len(e.removedAt) >= f.config.MaxFlaps && now-e.removedAt[len(e.removedAt)-f.config.MaxFlaps] <= f.config.FlapWindow
}

// Next returns the time by which Step must be called again.
func (f *Follower) Next() time.Duration { return f.nextStep }

// MemberState is the state of a member, as operators' commands print it.
type MemberState struct {
	Destination uint32   `json:"destination"`
	Name        string   `json:"name"`
	Answer      string   `json:"answer"` // result of the last answer
	Why         string   `json:"why,omitempty"`
	Retained    bool     `json:"held,omitempty"` // earlier addresses are used although the last answer has none
	Lines       []Target `json:"lines"`          // all targets of the destination
}

// MemberStates returns the states of all members, in their order.
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

// addresses returns the keys of a map, sorted by address and port.
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
