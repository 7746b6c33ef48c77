// Package coordinator is which processes of the fleet take part in what is shared out among them, one of them being in charge of each
// thing: a limit, say. It is free of I/O and of clocks.
//
// A roster has an epoch. The next one comes in two steps, each an entry of the log. With the first it is known: from there on whoever
// was in charge of something that moves does nothing more about it. Once nobody may act any more who does not know that (a fence on
// the leases, as of a change of the policy), the second one begins it. So at no moment are two in charge of one thing, whichever
// processes are cut off, paused or dead; and the new one knows that all the old one did was done before it began.
package coordinator

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// partsMost is how many take part at the most.
const partsMost = 2000

// Machine is the roster as the fleet agrees on it. The same commands in the same order make the same state everywhere.
type Machine struct{ state *pb.RosterState }

// NewMachine makes the state before the first command: nobody takes part.
func NewMachine() *Machine { return &Machine{&pb.RosterState{}} }

// State is what is agreed; it is read only, and holds until the next command.
func (m *Machine) State() *pb.RosterState { return m.state }

// Apply carries out a command at its index of the log. Each makes a new state, so that who has the old one may go on reading it.
func (m *Machine) Apply(index uint64, body []byte) (result []byte, refused string, err error) {
	c := &pb.Roster{}
	if err := proto.Unmarshal(body, c); err != nil {
		return nil, "", fmt.Errorf("a command on the roster can't be read: %w", err)
	}
	s := m.state
	switch w := c.GetWhat().(type) {
	case *pb.Roster_Come:
		switch {
		case s.Coming != 0:
			return nil, fmt.Sprintf("roster %d is about to begin", s.Coming), nil
		case w.Come.GetBase() != s.Epoch:
			return nil, fmt.Sprintf("it follows roster %d; roster %d is in force", w.Come.GetBase(), s.Epoch), nil
		case len(w.Come.GetParts()) > partsMost:
			return nil, fmt.Sprintf("%d take part; %d are the most", len(w.Come.GetParts()), partsMost), nil
		}
		seen := map[string]bool{}
		for _, p := range w.Come.GetParts() {
			if p.GetName() == "" || seen[p.GetName()] {
				return nil, fmt.Sprintf("%q takes part twice, or has no name", p.GetName()), nil
			}
			seen[p.GetName()] = true
		}
		m.state = &pb.RosterState{Epoch: s.Epoch, Since: s.Since, Parts: s.Parts, Coming: s.Epoch + 1, From: index, Next: w.Come.GetParts(), Drawn: s.Drawn}
		return nil, "", nil
	case *pb.Roster_Begin:
		if s.Coming == 0 || s.Coming != w.Begin.GetEpoch() {
			return nil, fmt.Sprintf("roster %d is not about to begin", w.Begin.GetEpoch()), nil
		}
		m.state = &pb.RosterState{Epoch: s.Coming, Since: index, Parts: s.Next, Drawn: s.Drawn}
		return nil, "", nil
	}
	if w, ok := c.GetWhat().(*pb.Roster_Draw); ok {
		units, refused := m.draw(w.Draw)
		return binary.AppendVarint(nil, units), refused, nil
	}
	return nil, "", fmt.Errorf("a command on the roster is of a sort that this program does not know")
}

// drawnMost is of how many quotas it is kept what was drawn.
const drawnMost = 20_000

// draw gives units of a day's quota, as far as there are any. A day that is over does not come back, whatever calendar asks.
func (m *Machine) draw(d *pb.Draw) (units int64, refused string) {
	s := m.state
	if d.GetEpoch() != s.Epoch {
		return 0, fmt.Sprintf("it was drawn under roster %d, and roster %d is in force", d.GetEpoch(), s.Epoch)
	}
	i, known := slices.BinarySearchFunc(s.Drawn, d.GetKey(), func(o *pb.Drawn, key string) int { return cmp.Compare(o.Key, key) })
	is := &pb.Drawn{Key: d.GetKey(), Period: d.GetPeriod()}
	if known {
		switch was := s.Drawn[i]; {
		case d.GetPeriod() < was.Period:
			return 0, fmt.Sprintf("day %d is over; it is day %d", d.GetPeriod(), was.Period)
		case d.GetPeriod() == was.Period:
			is.Units = was.Units
		}
	} else if len(s.Drawn) >= drawnMost {
		return 0, fmt.Sprintf("%d quotas are kept, which is the most", drawnMost)
	}
	units = min(d.GetUnits(), d.GetMost()-is.Units)
	if units <= 0 {
		return 0, fmt.Sprintf("all %d of day %d are drawn", d.GetMost(), d.GetPeriod())
	}
	is.Units += units
	drawn := slices.Clone(s.Drawn)
	if known {
		drawn[i] = is
	} else {
		drawn = slices.Insert(drawn, i, is)
	}
	m.state = &pb.RosterState{Epoch: s.Epoch, Since: s.Since, Parts: s.Parts, Coming: s.Coming, From: s.From, Next: s.Next, Drawn: drawn}
	return units, ""
}

// Snapshot is the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
}

// Restore puts the state in place of what is held.
func (m *Machine) Restore(raw []byte) error {
	s := &pb.RosterState{}
	if err := proto.Unmarshal(raw, s); err != nil {
		return fmt.Errorf("the roster can't be read: %w", err)
	}
	m.state = s
	return nil
}

// Charge says who is in charge of what, among some who take part.
type Charge struct {
	parts map[string]*pb.Part
	by    *rendezvous.Rendezvous
}

// NewCharge makes it. A process that takes the place of another of its name has the same things.
func NewCharge(parts []*pb.Part) *Charge {
	c := &Charge{parts: map[string]*pb.Part{}}
	var names []string
	for _, p := range parts {
		c.parts[p.Name] = p
		names = append(names, p.Name)
	}
	slices.Sort(names)
	c.by = rendezvous.New(names, xxhash.Sum64String)
	return c
}

// Of is who is in charge of a thing; nil if nobody takes part.
func (c *Charge) Of(thing string) *pb.Part {
	if c == nil || len(c.parts) == 0 {
		return nil
	}
	return c.parts[c.by.Lookup(thing)]
}

// Has reports whether a process is among them.
func (c *Charge) Has(w lease.Who) bool {
	if c == nil {
		return false
	}
	p := c.parts[w.Name]
	return p != nil && p.Life == w.Life
}

// Part is one that wants to take part: it holds a lease.
type Part struct {
	lease.Who
	Address string
}

const (
	settles = time.Second // a roster stands so long before the next is proposed: one that restarts is two changes
	again   = time.Second // a step that the log does not show is given again: it may have been lost with a change of leader
)

// Coordinator says, at the voter that leads, which roster comes next, and when it begins. What it decides is a command like any
// other: it counts when the log has it, and only if the roster is then where the coordinator took it to be.
type Coordinator struct {
	epoch uint64 // as seen last
	since time.Duration
	sent  time.Duration
	what  uint64 // that was proposed: its epoch, twice, and one more for its begin
}

// Step gives the next command; nil while there is none. here are those that hold a lease and have an address, the one
// whose lease lapses last first.
func (c *Coordinator) Step(now time.Duration, s *pb.RosterState, g *lease.Granter, here []Part) *pb.Roster {
	if s.GetEpoch() != c.epoch || c.since == 0 {
		c.epoch, c.since = s.GetEpoch(), now
	}
	send := func(what uint64, r *pb.Roster) *pb.Roster {
		if c.what == what && now-c.sent < again {
			return nil
		}
		c.what, c.sent = what, now
		return r
	}
	if s.GetComing() != 0 {
		if len(g.Below(s.GetFrom(), now)) > 0 {
			return nil
		}
		return send(2*s.Coming+1, &pb.Roster{What: &pb.Roster_Begin{Begin: &pb.RosterStep{Epoch: s.Coming}}})
	}
	// While there may be leases of an earlier leader it is not known who is here.
	if g.Quiet(now) || s.GetEpoch() > 0 && now-c.since < settles {
		return nil
	}
	next := newest(here)
	if same(next, s.GetParts()) {
		return nil
	}
	return send(2*(s.GetEpoch()+1), &pb.Roster{What: &pb.Roster_Come{Come: &pb.Come{Base: s.GetEpoch(), Parts: next}}})
}

// Grants reports whether one who acts at an index is granted a lease while a roster is coming: once it knows of it. Otherwise one whose
// questions arrive while no answer reaches it would have its lease counted on and on.
func Grants(acts uint64, s *pb.RosterState) bool { return s.GetComing() == 0 || acts >= s.GetFrom() }

// newest are those that are here, one process of each name: of two the one whose lease lapses last, as it was renewed last, which
// comes first.
func newest(here []Part) []*pb.Part {
	seen := map[string]bool{}
	all := make([]*pb.Part, 0, len(here))
	for _, p := range here {
		if !seen[p.Name] {
			seen[p.Name] = true
			all = append(all, &pb.Part{Name: p.Name, Life: p.Life, Address: p.Address})
		}
	}
	slices.SortFunc(all, func(a, b *pb.Part) int { return cmp.Compare(a.Name, b.Name) })
	return all[:min(len(all), partsMost)]
}

func same(a, b []*pb.Part) bool {
	return slices.EqualFunc(a, b, func(x, y *pb.Part) bool { return x.Name == y.Name && x.Life == y.Life && x.Address == y.Address })
}
