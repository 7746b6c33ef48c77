package coordinator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// leaderTest is a coordinator with the granter and the log that it goes by.
type leaderTest struct {
	*Machine
	Coordinator
	granter *lease.Granter
	index   uint64
	now     time.Duration
}

var terms = lease.Terms{Duration: time.Second}

func newFleet() *leaderTest {
	f := &leaderTest{Machine: NewMachine(), now: time.Hour}
	f.granter = lease.NewGranter(terms, f.now)
	return f
}

// advance lets a time go by in which some ask for leases, acting at the log's end or, behind, before what comes.
func (f *leaderTest) advance(t *testing.T, span time.Duration, here []lease.HolderID, behind ...lease.HolderID) {
	t.Helper()
	for end := f.now + span; f.now < end; {
		f.now += 100 * time.Millisecond
		for _, w := range here {
			f.granter.RecordRequest(w, f.index)
			f.granter.Grant(w, f.index, f.now)
		}
		for _, w := range behind {
			if MayGrant(0, f.State()) {
				f.granter.Grant(w, 0, f.now)
			}
		}
		var parts []Participant
		for _, h := range f.granter.ActiveLeases(f.now) {
			parts = append(parts, Participant{h.HolderID, "at " + h.Name})
		}
		if c := f.Step(f.now, f.State(), f.granter, parts); c != nil {
			raw, err := proto.Marshal(c)
			if err != nil {
				t.Fatal(err)
			}
			f.index++
			if _, refused, err := f.Apply(f.index, raw); err != nil || refused != "" {
				t.Fatalf("%v: %s %v", c, refused, err)
			}
		}
	}
}

func (f *leaderTest) describe() string {
	var names []string
	for _, p := range f.State().Participants {
		names = append(names, fmt.Sprintf("%s%d", p.Name, p.Incarnation))
	}
	return fmt.Sprintf("%d: %s", f.State().Epoch, strings.Join(names, " "))
}

// Rosters follow leases: nobody is in one that holds none, none begins while one may act who does not know of it, and one that starts
// again takes the place of its former process.
func TestCoordinator_FollowsLeases(t *testing.T) {
	a, b, a2 := lease.HolderID{Name: "a", Incarnation: 1}, lease.HolderID{Name: "b", Incarnation: 1}, lease.HolderID{Name: "a", Incarnation: 2}
	f := newFleet()
	f.advance(t, 900*time.Millisecond, []lease.HolderID{a, b})
	if f.describe() != "0: " {
		t.Errorf("while an earlier leader's leases may last there is %s", f.describe())
	}
	f.advance(t, time.Second, []lease.HolderID{a, b})
	if f.describe() != "1: a1 b1" {
		t.Error(f.describe())
	}
	f.advance(t, 900*time.Millisecond, []lease.HolderID{b})
	if f.describe() != "1: a1 b1" {
		t.Errorf("before a's lease has lapsed there is %s", f.describe())
	}
	f.advance(t, 900*time.Millisecond, []lease.HolderID{b})
	if f.describe() != "2: b1" {
		t.Error(f.describe())
	}
	f.advance(t, 2*time.Second, []lease.HolderID{b, a2})
	if f.describe() != "3: a2 b1" {
		t.Error(f.describe())
	}
	// b does not learn that a has gone: nothing is activated before its lease has expired, and it is granted none.
	f.advance(t, 1100*time.Millisecond, nil, b)
	if f.State().NextEpoch == 0 || f.State().Epoch != 3 {
		t.Errorf("%v", f.State())
	}
	f.advance(t, 3*time.Second, nil, b)
	if f.State().Epoch < 4 {
		t.Errorf("one that hears nothing holds up the next roster: %v", f.State())
	}
}

// A thing moves only with who was in charge of it.
func TestOwnership_MovesOnlyWithOwner(t *testing.T) {
	var parts []*pb.Participant
	for i := range 20 {
		parts = append(parts, &pb.Participant{Name: fmt.Sprintf("n%d", i), Incarnation: uint64(i)})
	}
	all, without := NewOwnership(parts), NewOwnership(parts[1:])
	counts := map[string]int{}
	for i := range 2000 {
		thing := fmt.Sprintf("destination %d", i)
		was, is := all.Owner(thing), without.Owner(thing)
		counts[was.Name]++
		if was.Name != "n0" && was != is || is.Name == "n0" {
			t.Fatalf("%s moves from %s to %s as n0 goes", thing, was.Name, is.Name)
		}
	}
	for _, p := range parts {
		if n := counts[p.Name]; n < 50 || n > 200 {
			t.Errorf("%s is in charge of %d of 2000", p.Name, n)
		}
	}
	if NewOwnership(nil).Owner("x") != nil || (*Ownership)(nil).Owner("x") != nil || all.Includes(lease.HolderID{Name: "n3", Incarnation: 4}) || !all.Includes(lease.HolderID{Name: "n3", Incarnation: 3}) {
		t.Error("who takes part")
	}
}

// What does not fit the state changes nothing.
func TestMachine_Rejections(t *testing.T) {
	m := NewMachine()
	come := func(base uint64, names ...string) *pb.MembershipCommand {
		c := &pb.ProposeMembership{BaseEpoch: base}
		for _, n := range names {
			c.Participants = append(c.Participants, &pb.Participant{Name: n})
		}
		return &pb.MembershipCommand{Command: &pb.MembershipCommand_Propose{Propose: c}}
	}
	begin := func(epoch uint64) *pb.MembershipCommand {
		return &pb.MembershipCommand{Command: &pb.MembershipCommand_Activate{Activate: &pb.ActivateMembership{Epoch: epoch}}}
	}
	for i, c := range []struct {
		r    *pb.MembershipCommand
		says string
	}{{begin(1), "not about to begin"}, {come(3, "a"), "roster 0 is in force"}, {come(0, "a", "a"), "twice"}, {come(0, "a"), ""}, {come(0, "b"), "about to begin"},
		{begin(2), "not about to begin"}, {begin(1), ""}, {begin(1), "not about to begin"}, {come(0, "b"), "roster 1 is in force"}} {
		raw, err := proto.Marshal(c.r)
		if err != nil {
			t.Fatal(err)
		}
		_, refused, err := m.Apply(uint64(i+1), raw)
		if err != nil || (c.says == "") != (refused == "") || !strings.Contains(refused, c.says) {
			t.Errorf("%d: %q %v, want %q", i, refused, err, c.says)
		}
	}
	raw, err := m.Snapshot()
	again := NewMachine()
	if err == nil {
		err = again.Restore(raw)
	}
	if err != nil || again.State().Epoch != 1 || again.State().StartIndex != 7 {
		t.Errorf("%v: %v", err, again.State())
	}
}
