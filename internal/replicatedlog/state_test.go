package replicatedlog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

func newTestState() *State {
	return NewState(map[uint32]Machine{KindPolicy: fleetpolicy.NewMachine()})
}

func raw(t *testing.T, m proto.Message) []byte {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// apply applies a command as the next entry.
func apply(t *testing.T, s *State, kind uint32, session, sequence uint64, body proto.Message) (Outcome, error) {
	t.Helper()
	return s.Apply(s.Index()+1, 1, raw(t, &pb.Command{Kind: kind, Session: session, Sequence: sequence, Body: raw(t, body)}))
}

func propose(base uint64) *pb.PolicyCommand {
	return &pb.PolicyCommand{Command: &pb.PolicyCommand_Propose{Propose: &pb.ProposePolicy{BaseVersion: base, Document: []byte("# none\n"), Author: "a", StageTimeoutUs: 1e6}}}
}

// A command that is submitted again after a lost reply is applied once and gets the recorded outcome, also if that is a rejection. An
// older command of the session changes nothing.
func TestState_SessionsDeduplicateCommands(t *testing.T) {
	s := newTestState()
	first, err := apply(t, s, KindPolicy, 7, 1, propose(0))
	if err != nil || first.Rejection != "" {
		t.Fatal(first, err)
	}
	again, _ := apply(t, s, KindPolicy, 7, 1, propose(0))
	if again.Rejection != "" || again.Index != first.Index {
		t.Errorf("the repeated command: %+v", again)
	}
	refused, _ := apply(t, s, KindPolicy, 7, 2, propose(0))
	same, _ := apply(t, s, KindPolicy, 7, 2, propose(0))
	if refused.Rejection == "" || same.Rejection != refused.Rejection || same.Index != refused.Index {
		t.Errorf("rejected: %+v, repeated: %+v", refused, same)
	}
	if old, _ := apply(t, s, KindPolicy, 7, 1, propose(0)); !strings.Contains(old.Rejection, "command 1 of a session that has come to 2") {
		t.Errorf("an older command: %+v", old)
	}
	for i := range uint64(maxSessions) {
		if _, err := apply(t, s, KindJoin, 100+i, 1, &pb.Join{Name: "n", MaxCommandKind: MaxCommandKind}); err != nil {
			t.Fatal(err)
		}
	}
	if _, known := s.Outcome(7, 2); known || len(s.sessions) != maxSessions {
		t.Errorf("%d sessions are kept", len(s.sessions))
	}
}

// A program stops at a command of an unsupported kind and never skips it. A new kind is not proposed while a member's program does not
// support it.
func TestState_CommandKindsOfMixedVersions(t *testing.T) {
	s := newTestState()
	for name, maxKind := range map[string]uint32{"new": MaxCommandKind, "old": KindPolicy - 1} {
		if _, err := apply(t, s, KindJoin, 0, 0, &pb.Join{Name: name, MaxCommandKind: maxKind}); err != nil {
			t.Fatal(err)
		}
	}
	if why := s.CheckKind(KindPolicy); !strings.Contains(why, "old runs a program that does not know commands of kind 3") {
		t.Errorf("%q", why)
	}
	if done, _ := apply(t, s, KindLeave, 0, 0, &pb.Leave{Name: "old", Author: "a"}); done.Rejection != "" || s.CheckKind(KindPolicy) != "" {
		t.Errorf("after the old member was removed: %+v %q", done, s.CheckKind(KindPolicy))
	}
	if done, _ := apply(t, s, KindJoin, 0, 0, &pb.Join{Name: "old", MaxCommandKind: MaxCommandKind}); !strings.Contains(done.Rejection, "gone for good") {
		t.Errorf("a removed member joins again: %+v", done)
	}
	if done, _ := apply(t, s, KindLeave, 0, 0, &pb.Leave{Name: "nobody"}); !strings.Contains(done.Rejection, "no member") {
		t.Errorf("%+v", done)
	}
	at := s.Index()
	if _, err := apply(t, s, MaxCommandKind+1, 0, 0, &pb.Join{}); !errors.Is(err, ErrUnknownCommand) || s.Index() != at {
		t.Errorf("a command of an unsupported kind: %v, at index %d", err, s.Index())
	}
	if _, err := s.Apply(at+2, 1, nil); err == nil {
		t.Error("an entry is skipped")
	}
	if _, err := s.Apply(at+1, 1, []byte{0xff}); err == nil {
		t.Error("an entry that can't be decoded is applied")
	}
}

// A snapshot holds the complete state: entries applied after a restore have the same effect.
func TestState_SnapshotIsComplete(t *testing.T) {
	a := newTestState()
	step := func(s *State, i int) string {
		var done Outcome
		var err error
		switch i % 5 {
		case 0:
			done, err = apply(t, s, KindJoin, uint64(i), 1, &pb.Join{Name: fmt.Sprint("n", i), MaxCommandKind: MaxCommandKind})
		case 1:
			done, err = apply(t, s, KindPolicy, uint64(i%7+1), uint64(i), propose(uint64(i/10)))
		case 2:
			done, err = apply(t, s, KindPolicy, 0, 0, &pb.PolicyCommand{Command: &pb.PolicyCommand_Freeze{Freeze: &pb.ChangeStep{ChangeId: s.Index()}}})
		case 3:
			done, err = apply(t, s, KindPolicy, 0, 0, &pb.PolicyCommand{Command: &pb.PolicyCommand_Commit{Commit: &pb.ChangeStep{ChangeId: s.Index() - 1}}})
		case 4:
			done, err = apply(t, s, KindVoters, uint64(i), 1, &pb.VoterChange{Add: []*pb.Voter{{Id: VoterID(fmt.Sprint("v", i)), Name: fmt.Sprint("v", i), Address: "127.0.0.1:1"}}, Remove: []string{fmt.Sprint("v", i-5)}})
		}
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprint(done)
	}
	for i := range 40 {
		snap, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		b := newTestState()
		if err := b.Restore(snap); err != nil || SnapshotIndex(snap) != a.Index() {
			t.Fatal(err)
		}
		if x, y := step(a, i), step(b, i); x != y {
			t.Fatalf("step %d: %s, after a restore %s", i, x, y)
		}
		x, _ := a.Snapshot()
		y, _ := b.Snapshot()
		if !bytes.Equal(x, y) {
			t.Fatalf("step %d: the states differ", i)
		}
	}
	if err := newTestState().Restore(raw(t, &pb.Snapshot{Format: snapshotFormat + 1})); err == nil || !strings.Contains(err.Error(), "format 2") {
		t.Errorf("a newer format: %v", err)
	}
	if err := newTestState().Restore(raw(t, &pb.Snapshot{Format: snapshotFormat, Machines: []*pb.MachineState{{Kind: 99}}})); !errors.Is(err, ErrUnknownCommand) {
		t.Errorf("a kind that is not supported: %v", err)
	}
}
