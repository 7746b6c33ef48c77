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

// leaderTest is a coordinator with its granter and its log.
type leaderTest struct {
	*Machine
	Coordinator
	granter *lease.Granter
	index   uint64
	now     time.Duration
}

var terms = lease.Terms{Duration: time.Second}

func newLeaderTest() *leaderTest {
	f := &leaderTest{Machine: NewMachine(), now: time.Hour}
	f.granter = lease.NewGranter(terms, f.now)
	return f
}

// advance advances the clock by span. Meanwhile the holders in upToDate request leases and act at the log's end; those in behind request
// leases and act at index 0.
func (f *leaderTest) advance(t *testing.T, span time.Duration, upToDate []lease.HolderID, behind ...lease.HolderID) {
	t.Helper()
	for end := f.now + span; f.now < end; {
		f.now += 100 * time.Millisecond
		for _, id := range upToDate {
			f.granter.RecordRequest(id, f.index)
			f.granter.Grant(id, f.index, f.now)
		}
		for _, id := range behind {
			if MayGrant(0, f.State()) {
				f.granter.Grant(id, 0, f.now)
			}
		}
		var candidates []Participant
		for _, h := range f.granter.ActiveLeases(f.now) {
			candidates = append(candidates, Participant{h.HolderID, "at " + h.Name})
		}
		if c := f.Step(f.now, f.State(), f.granter, candidates); c != nil {
			raw, err := proto.Marshal(c)
			if err != nil {
				t.Fatal(err)
			}
			f.index++
			if _, rejection, err := f.Apply(f.index, raw); err != nil || rejection != "" {
				t.Fatalf("%v: %s %v", c, rejection, err)
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

// Checks that memberships follow leases: each participant holds a lease, no membership is activated while a process may act that has not
// applied the proposal, and a restarted process replaces the former one of the same name.
func TestCoordinator_FollowsLeases(t *testing.T) {
	a, b, a2 := lease.HolderID{Name: "a", Incarnation: 1}, lease.HolderID{Name: "b", Incarnation: 1}, lease.HolderID{Name: "a", Incarnation: 2}
	f := newLeaderTest()
	f.advance(t, 900*time.Millisecond, []lease.HolderID{a, b})
	if f.describe() != "0: " {
		t.Errorf("while leases of an earlier leader may be active the membership is %s", f.describe())
	}
	f.advance(t, time.Second, []lease.HolderID{a, b})
	if f.describe() != "1: a1 b1" {
		t.Error(f.describe())
	}
	f.advance(t, 900*time.Millisecond, []lease.HolderID{b})
	if f.describe() != "1: a1 b1" {
		t.Errorf("before a's lease has expired the membership is %s", f.describe())
	}
	f.advance(t, 900*time.Millisecond, []lease.HolderID{b})
	if f.describe() != "2: b1" {
		t.Error(f.describe())
	}
	f.advance(t, 2*time.Second, []lease.HolderID{b, a2})
	if f.describe() != "3: a2 b1" {
		t.Error(f.describe())
	}
	// b does not apply the proposal that removes a. The proposed membership must not be activated before b's lease has expired, and b must be
	// granted no new lease.
	f.advance(t, 1100*time.Millisecond, nil, b)
	if f.State().NextEpoch == 0 || f.State().Epoch != 3 {
		t.Errorf("%v", f.State())
	}
	f.advance(t, 3*time.Second, nil, b)
	if f.State().Epoch < 4 {
		t.Errorf("a holder without replies delays the next membership: %v", f.State())
	}
}

// A key must change owners only if its owner leaves.
func TestOwnership_MovesOnlyWithOwner(t *testing.T) {
	var participants []*pb.Participant
	for i := range 20 {
		participants = append(participants, &pb.Participant{Name: fmt.Sprintf("n%d", i), Incarnation: uint64(i)})
	}
	all, without := NewOwnership(participants), NewOwnership(participants[1:])
	counts := map[string]int{}
	for i := range 2000 {
		key := fmt.Sprintf("destination %d", i)
		before, after := all.Owner(key), without.Owner(key)
		counts[before.Name]++
		if before.Name != "n0" && before != after || after.Name == "n0" {
			t.Fatalf("%s moves from %s to %s when n0 leaves", key, before.Name, after.Name)
		}
	}
	for _, p := range participants {
		if n := counts[p.Name]; n < 50 || n > 200 {
			t.Errorf("%s owns %d keys of 2000", p.Name, n)
		}
	}
	if NewOwnership(nil).Owner("x") != nil || (*Ownership)(nil).Owner("x") != nil || all.Includes(lease.HolderID{Name: "n3", Incarnation: 4}) || !all.Includes(lease.HolderID{Name: "n3", Incarnation: 3}) {
		t.Error("owner without participants, or wrong participants")
	}
}

// Commands that do not match the state must be rejected and change nothing.
func TestMachine_Rejections(t *testing.T) {
	m := NewMachine()
	propose := func(base uint64, names ...string) *pb.MembershipCommand {
		c := &pb.ProposeMembership{BaseEpoch: base}
		for _, n := range names {
			c.Participants = append(c.Participants, &pb.Participant{Name: n})
		}
		return &pb.MembershipCommand{Command: &pb.MembershipCommand_Propose{Propose: c}}
	}
	activate := func(epoch uint64) *pb.MembershipCommand {
		return &pb.MembershipCommand{Command: &pb.MembershipCommand_Activate{Activate: &pb.ActivateMembership{Epoch: epoch}}}
	}
	for i, c := range []struct {
		command   *pb.MembershipCommand
		rejection string
	}{{activate(1), "not about to begin"}, {propose(3, "a"), "roster 0 is in force"}, {propose(0, "a", "a"), "twice"}, {propose(0, "a"), ""}, {propose(0, "b"), "about to begin"},
		{activate(2), "not about to begin"}, {activate(1), ""}, {activate(1), "not about to begin"}, {propose(0, "b"), "roster 1 is in force"}} {
		raw, err := proto.Marshal(c.command)
		if err != nil {
			t.Fatal(err)
		}
		_, rejection, err := m.Apply(uint64(i+1), raw)
		if err != nil || (c.rejection == "") != (rejection == "") || !strings.Contains(rejection, c.rejection) {
			t.Errorf("%d: %q %v, want %q", i, rejection, err, c.rejection)
		}
	}
	raw, err := m.Snapshot()
	restored := NewMachine()
	if err == nil {
		err = restored.Restore(raw)
	}
	if err != nil || restored.State().Epoch != 1 || restored.State().StartIndex != 7 {
		t.Errorf("%v: %v", err, restored.State())
	}
}
