package membership

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Spans are a follower's times.
type Spans struct {
	Keep     time.Duration // an address that comes back within it is the endpoint that it was
	Flaps    int           // one that went so often
	FlapSpan time.Duration // within this
	Settle   time.Duration // serves again only when it has stood so long; unless there is no other
}

// DefaultSpans suit members who move now and then.
func DefaultSpans() Spans {
	return Spans{Keep: 2 * time.Minute, Flaps: 3, FlapSpan: 30 * time.Second, Settle: 10 * time.Second}
}

// Follower turns what names come to into lines of a list. Removals act at once, whatever else: nothing new goes to an
// address that a source says is gone. It is for one goroutine; times are of one clock that does not go back.
type Follower struct {
	spans   Spans
	members []member
	dests   map[uint32]*followed
	due     time.Duration // nothing happens by itself before
}

type member struct {
	Member
	current    map[netip.AddrPort]rated
	last       Answer
	asked      bool
	emptySince time.Duration // an empty answer is not believed yet; never: none waits
}

type rated struct {
	priority uint16
	weight   float64
}

// followed is a destination's addresses.
type followed struct {
	members []int
	list    map[netip.AddrPort]*entry
}

type phase int

const (
	serving  phase = iota
	dropped        // drains, and is kept for a while
	settling       // is listed again, and flaps
)

type entry struct {
	line  Target
	phase phase
	until time.Duration   // dropped: forgotten then; settling: serves then
	went  []time.Duration // when it went, the last ones
}

const never = time.Duration(math.MaxInt64)

// NewFollower follows members, which are told of by their places here.
func NewFollower(members []Member, spans Spans) *Follower {
	f := &Follower{spans: spans, dests: map[uint32]*followed{}, due: never}
	for i, m := range members {
		f.members = append(f.members, member{Member: m, current: map[netip.AddrPort]rated{}, emptySince: never})
		d := f.dests[m.Destination]
		if d == nil {
			d = &followed{list: map[netip.AddrPort]*entry{}}
			f.dests[m.Destination] = d
		}
		d.members = append(d.members, i)
	}
	return f
}

// Heard is what a member's name came to.
type Heard struct {
	Member int
	Answer
}

// Step takes in answers, and that time has passed, and gives the lines that change. A line's State is Serving, Dropped or
// Deleted.
func (f *Follower) Step(now time.Duration, heard []Heard) []Target {
	touched := map[uint32]struct{}{}
	for _, h := range heard {
		f.hear(now, h)
		touched[f.members[h.Member].Destination] = struct{}{}
	}
	if now >= f.due { // rare: all are looked at
		f.due = never
		for n := range f.dests {
			touched[n] = struct{}{}
		}
	}
	order := make([]uint32, 0, len(touched))
	for n := range touched {
		order = append(order, n)
	}
	slices.Sort(order)
	var lines []Target
	for _, n := range order {
		lines = append(lines, f.settle(now, n)...)
	}
	return lines
}

func (f *Follower) hear(now time.Duration, h Heard) {
	m := &f.members[h.Member]
	m.last, m.asked = h.Answer, true
	switch h.Result {
	case Found:
		m.emptySince = never
		next := weigh(h.Addresses, m.Weight)
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

// weigh keeps the addresses of the lowest priority, each once, and makes ratings of their weights: relative to their mean,
// so that the rating of a destination as a whole is the setting's. One of weight 0 gets a little (RFC 2782).
func weigh(list []Address, rating float64) map[netip.AddrPort]rated {
	least, sum := uint16(math.MaxUint16), 0.0
	weights := map[netip.AddrPort]float64{}
	for _, a := range list {
		least = min(least, a.Priority)
	}
	for _, a := range list {
		if a.Priority == least {
			weights[a.AddrPort] = max(weights[a.AddrPort], float64(a.Weight))
		}
	}
	for _, w := range weights {
		sum += w
	}
	out := make(map[netip.AddrPort]rated, len(weights))
	for a, w := range weights {
		share := 1.0
		if sum > 0 {
			share = max(w/sum*float64(len(weights)), 0.01)
		}
		out[a] = rated{least, rating * share}
	}
	return out
}

// settle works a destination's lines out anew.
func (f *Follower) settle(now time.Duration, n uint32) []Target {
	d := f.dests[n]
	want := map[netip.AddrPort]Target{}
	for _, i := range d.members {
		m := &f.members[i]
		if m.emptySince != never {
			if now-m.emptySince >= m.EmptyAfter {
				m.current, m.emptySince = map[netip.AddrPort]rated{}, never
			} else {
				f.due = min(f.due, m.emptySince+m.EmptyAfter)
			}
		}
		for a, r := range m.current {
			if _, ok := want[a]; !ok { // at two names it is one, by the first of them
				want[a] = Target{ID: fmt.Sprintf("dns:%d:%s", n, a), Addr: a.String(), Zone: m.Zone, Kind: m.Kind, Cell: n, State: Serving, Weight: r.weight}
			}
		}
	}
	var lines []Target
	say := func(e *entry, t Target) {
		if e.line != t {
			e.line = t
			lines = append(lines, t)
		}
	}
	others := 0 // that serve
	for _, a := range addresses(d.list) {
		e := d.list[a]
		_, wanted := want[a]
		switch {
		case wanted:
			if e.phase == serving {
				others++
			}
		case e.phase != dropped:
			if e.phase == serving { // one that settles has not come yet, so it does not go
				e.went = append(e.went, now)
				if len(e.went) > f.spans.Flaps {
					e.went = e.went[1:]
				}
			}
			e.phase, e.until = dropped, now+f.spans.Keep
			t := e.line
			t.State = Dropped
			say(e, t)
		case now >= e.until:
			t := e.line
			t.State = Deleted
			say(e, t)
			delete(d.list, a)
		}
	}
	var waits []netip.AddrPort // that settle
	for _, a := range addresses(want) {
		e, ok := d.list[a]
		if !ok {
			e = &entry{phase: serving}
			d.list[a] = e
			others++
		} else if e.phase == dropped {
			if f.flaps(now, e) {
				e.phase, e.until = settling, now+f.spans.Settle
			} else {
				e.phase = serving
				others++
			}
		}
		if e.phase == settling && now >= e.until {
			e.phase = serving
			others++
		}
		if e.phase == settling {
			waits = append(waits, a)
			continue
		}
		say(e, want[a])
	}
	for _, a := range waits {
		if e := d.list[a]; others == 0 { // there is no other
			e.phase = serving
			say(e, want[a])
		}
	}
	for _, e := range d.list {
		if e.phase != serving {
			f.due = min(f.due, e.until)
		}
	}
	return lines
}

func (f *Follower) flaps(now time.Duration, e *entry) bool {
	return f.spans.Flaps > 0 && len(e.went) >= f.spans.Flaps && now-e.went[len(e.went)-f.spans.Flaps] <= f.spans.FlapSpan
}

// Next is when Step wants to be called at the latest.
func (f *Follower) Next() time.Duration { return f.due }

// State is what is known of a member, for operators.
type State struct {
	Destination uint32   `json:"destination"`
	Name        string   `json:"name"`
	Answer      string   `json:"answer"` // what the name came to last
	Why         string   `json:"why,omitempty"`
	Held        bool     `json:"held,omitempty"` // addresses are kept although the answer has none
	Lines       []Target `json:"lines"`          // of the destination
}

// States is what is known of all members.
func (f *Follower) States() []State {
	var all []State
	for i := range f.members {
		m := &f.members[i]
		s := State{Destination: m.Destination, Name: m.Name, Answer: "not asked yet", Why: m.last.Why, Lines: []Target{}}
		if m.asked {
			s.Answer = m.last.Result.String()
			s.Held = m.last.Result != Found && len(m.current) > 0
		}
		d := f.dests[m.Destination]
		for _, a := range addresses(d.list) {
			s.Lines = append(s.Lines, d.list[a].line)
		}
		all = append(all, s)
	}
	return all
}

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
