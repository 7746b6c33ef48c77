package fleet

import (
	"cmp"
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/lease"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// The files under testdata/stored were written by the program of commit eea23b3, before its names changed, and the golden
// listings were made by that program too. They must not be replaced: what a fleet has stored must stay readable. The voter's file has
// a snapshot at entry 6000 and the entries after it; every kind of command occurs in one of the two.

func TestStoredVoterLog_ReadsAsWritten(t *testing.T) {
	equalGolden(t, "log.golden", storedLog(t, loadStored(t)))
}

func TestStoredVoterLog_ReplaysToSameState(t *testing.T) {
	equalGolden(t, "replayed.golden", replayedState(t, loadStored(t)))
}

// A voter that starts with the old file continues its log: it starts with the stored term and vote, and applies all committed entries.
func TestStoredVoterLog_VoterStarts(t *testing.T) {
	saved := loadStored(t)
	voter, start, err := replicatedlog.NewVoter(replicatedlog.VoterConfig{Name: "voter-a", Stored: saved, Terms: lease.Terms{Duration: time.Second}, Policy: fleetpolicy.NewMachine()})
	if err != nil {
		t.Fatal(err)
	}
	if start.Term != saved.HardState.GetTerm() || start.Vote != saved.HardState.GetVote() {
		t.Errorf("the voter starts with %+v; the file has %v", start, saved.HardState)
	}
	last := saved.Entries[len(saved.Entries)-1].GetIndex()
	applied := saved.Snapshot.GetMetadata().GetIndex()
	actions, _ := voter.Step(time.Second, nil)
	for _, a := range actions {
		if c, ok := a.(replicatedlog.Committed); ok && len(c.Entries) > 0 {
			applied = c.Entries[len(c.Entries)-1].Index
		}
	}
	if applied != saved.HardState.GetCommit() || applied > last {
		t.Errorf("the voter applied entries up to %d; the file's commit index is %d", applied, saved.HardState.GetCommit())
	}
}

func TestStoredStates_RestoreAndSnapshotAlike(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    uint32
		machine replicatedlog.Machine
	}{
		{"policy", 3, fleetpolicy.NewMachine()},
		{"membership and drawn quota", 5, coordinator.NewMachine()},
		{"health", 6, health.NewMachine(func() uint64 { return 1 })},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw := storedFile(t, fmt.Sprintf("state-%d.bin", c.kind))
			if err := c.machine.Restore(raw); err != nil {
				t.Fatal(err)
			}
			encoded, err := c.machine.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if string(encoded) != string(raw) {
				t.Error("the state is encoded differently from the old program's encoding")
			}
			state := emptyState(t, c.kind)
			unmarshal(t, encoded, state)
			equalGolden(t, fmt.Sprintf("state-%d.golden", c.kind), listing(fmt.Sprintf("state of kind %d", c.kind), state))
		})
	}
}

func TestStoredFolder_StagedChangeAndVouch(t *testing.T) {
	staged := &pb.Change{}
	unmarshal(t, storedFile(t, stagedName), staged)
	equalGolden(t, "staged.golden", listing("staged change", staged))
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, vouchedName), storedFile(t, vouchedName), 0o600); err != nil {
		t.Fatal(err)
	}
	if by, ok, err := takeVouch(folder); by != "ops@example" || !ok || err != nil {
		t.Errorf("vouched by %q (%v, %v)", by, ok, err)
	}
	if by, ok, err := takeVouch(folder); ok || err != nil {
		t.Errorf("vouched a second time, by %q (%v)", by, err)
	}
}

// Programs of two versions understand each other's messages by the paths of methods and the numbers and types of fields.
func TestWire_PathsNumbersAndTypes(t *testing.T) {
	equalGolden(t, "wire.golden", descriptorListing(pb.File_saffronyard_fleet_v1_fleet_proto))
}

func storedFile(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "stored", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// loadStored loads the stored log from a copy of the voter's file.
func loadStored(t *testing.T) *replicatedlog.StoredLog {
	t.Helper()
	packed, err := os.Open(filepath.Join("testdata", "stored", "log.db.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	unpacked, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, logName), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := openStore(folder, "fixture-cluster", "voter-a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.close() })
	saved, err := s.load()
	if err != nil {
		t.Fatal(err)
	}
	return saved
}

// equalGolden compares a listing with a golden file, and shows the first line that differs.
func equalGolden(t *testing.T, name, got string) {
	t.Helper()
	want := string(storedFile(t, name))
	if got == want {
		return
	}
	g, w := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(g), len(w)) {
		if i >= len(g) || i >= len(w) || g[i] != w[i] {
			t.Fatalf("%s: line %d differs (%d lines, want %d)\n got %q\nwant %q", name, i+1, len(g), len(w), append(g, "")[min(i, len(g))], append(w, "")[min(i, len(w))])
		}
	}
}

// dump writes a message's fields by number, one per line, so that the listing does not depend on the names of messages and fields.
func dump(b *strings.Builder, indent string, m protoreflect.Message) {
	fields := make([]protoreflect.FieldDescriptor, 0)
	m.Range(func(f protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		fields = append(fields, f)
		return true
	})
	slices.SortFunc(fields, func(x, y protoreflect.FieldDescriptor) int { return cmp.Compare(x.Number(), y.Number()) })
	writeField := func(f protoreflect.FieldDescriptor, v protoreflect.Value) {
		switch {
		case f.Message() != nil:
			fmt.Fprintf(b, "%s%d:\n", indent, f.Number())
			dump(b, indent+"  ", v.Message())
		case f.Kind() == protoreflect.BytesKind:
			fmt.Fprintf(b, "%s%d: %q\n", indent, f.Number(), v.Bytes())
		case f.Kind() == protoreflect.StringKind:
			fmt.Fprintf(b, "%s%d: %q\n", indent, f.Number(), v.String())
		default:
			fmt.Fprintf(b, "%s%d: %v\n", indent, f.Number(), v.Interface())
		}
	}
	for _, f := range fields {
		v := m.Get(f)
		if f.IsList() {
			for i := range v.List().Len() {
				writeField(f, v.List().Get(i))
			}
			continue
		}
		writeField(f, v)
	}
	if unknown := m.GetUnknown(); len(unknown) > 0 {
		fmt.Fprintf(b, "%sunknown: %q\n", indent, []byte(unknown))
	}
}

// listing is a dump of a message under a heading.
func listing(heading string, m proto.Message) string {
	var b strings.Builder
	fmt.Fprintf(&b, "== %s\n", heading)
	dump(&b, "", m.ProtoReflect())
	return b.String()
}

// descriptorListing lists services, field numbers and types of a file, without the names of messages and fields: a message is
// identified by its position in the file.
func descriptorListing(file protoreflect.FileDescriptor) string {
	var b strings.Builder
	position := map[protoreflect.FullName]int{}
	for i := range file.Messages().Len() {
		position[file.Messages().Get(i).FullName()] = i
	}
	for i := range file.Services().Len() {
		s := file.Services().Get(i)
		for j := range s.Methods().Len() {
			m := s.Methods().Get(j)
			fmt.Fprintf(&b, "/%s/%s: message %d (stream %v) -> message %d (stream %v)\n", s.FullName(), m.Name(), position[m.Input().FullName()], m.IsStreamingClient(),
				position[m.Output().FullName()], m.IsStreamingServer())
		}
	}
	for i := range file.Messages().Len() {
		m := file.Messages().Get(i)
		fmt.Fprintf(&b, "message %d:\n", i)
		fields := make([]protoreflect.FieldDescriptor, 0, m.Fields().Len())
		for j := range m.Fields().Len() {
			fields = append(fields, m.Fields().Get(j))
		}
		slices.SortFunc(fields, func(x, y protoreflect.FieldDescriptor) int { return cmp.Compare(x.Number(), y.Number()) })
		for _, f := range fields {
			fmt.Fprintf(&b, "  %d: %v %v", f.Number(), f.Cardinality(), f.Kind())
			if f.Message() != nil {
				fmt.Fprintf(&b, " (message %d)", position[f.Message().FullName()])
			}
			if o := f.ContainingOneof(); o != nil {
				fmt.Fprintf(&b, ", of union %d", o.Index())
			}
			if f.HasPresence() {
				b.WriteString(", with presence")
			}
			b.WriteString("\n")
		}
	}
	return b.String()
}

// storedCommand lists a command of a log entry, with its body decoded by its kind.
func storedCommand(t *testing.T, raw []byte) string {
	t.Helper()
	if len(raw) == 0 {
		return "empty"
	}
	c := &pb.Command{}
	unmarshal(t, raw, c)
	bodies := map[uint32]proto.Message{1: &pb.Join{}, 2: &pb.Leave{}, 3: &pb.PolicyCommand{}, 4: &pb.VoterChange{}, 5: &pb.MembershipCommand{}, 6: &pb.HealthCommand{}}
	body := bodies[c.Kind]
	if body == nil {
		t.Fatalf("a command of kind %d", c.Kind)
	}
	unmarshal(t, c.Body, body)
	c.Body = nil
	return oneLine(c) + " | " + oneLine(body)
}

// storedSnapshot lists a snapshot of the complete replicated state, with the state of each kind of command decoded.
func storedSnapshot(t *testing.T, raw []byte) string {
	t.Helper()
	s := &pb.Snapshot{}
	unmarshal(t, raw, s)
	var b strings.Builder
	machines := s.Machines
	s.Machines = nil
	b.WriteString(listing("snapshot", s))
	for _, m := range machines {
		state := emptyState(t, m.Kind)
		unmarshal(t, m.State, state)
		b.WriteString(listing(fmt.Sprintf("state of kind %d", m.Kind), state))
	}
	return b.String()
}

func emptyState(t *testing.T, kind uint32) proto.Message {
	t.Helper()
	switch kind {
	case 3:
		return &pb.PolicyState{}
	case 5:
		return &pb.MembershipState{}
	case 6:
		return &pb.HealthState{}
	}
	t.Fatalf("a state of kind %d", kind)
	return nil
}

// storedLog lists the complete content of a voter's file.
func storedLog(t *testing.T, saved *replicatedlog.StoredLog) string {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "base %d of term %d\n", saved.BaseIndex, saved.BaseTerm)
	b.WriteString(listing("hard state", saved.HardState))
	b.WriteString(listing("configuration", saved.ConfState))
	b.WriteString(listing("snapshot's metadata", saved.Snapshot.GetMetadata()))
	b.WriteString(storedSnapshot(t, saved.Snapshot.GetData()))
	b.WriteString("== entries\n")
	for _, e := range saved.Entries {
		raw := e.Data
		change := ""
		if e.GetType() == raftpb.EntryConfChangeV2 {
			cc := &raftpb.ConfChangeV2{}
			unmarshal(t, raw, cc)
			raw, cc.Context = cc.Context, nil
			change = oneLine(cc) + " | "
		}
		fmt.Fprintf(&b, "%d of term %d, type %d: %s%s\n", e.GetIndex(), e.GetTerm(), e.GetType(), change, storedCommand(t, raw))
	}
	return b.String()
}

// replayedState lists the replicated state of a replica that has applied the complete log of a voter's file.
func replayedState(t *testing.T, saved *replicatedlog.StoredLog) string {
	t.Helper()
	log := &pb.LogChunk{Snapshot: saved.Snapshot.GetData()}
	for _, e := range saved.Entries {
		raw := e.Data
		if e.GetType() == raftpb.EntryConfChangeV2 {
			cc := &raftpb.ConfChangeV2{}
			unmarshal(t, raw, cc)
			raw = cc.Context
		}
		log.Entries = append(log.Entries, &pb.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Command: raw})
	}
	c := replicatedlog.NewReplica("reader", 1, fleetpolicy.Settings{}, lease.Terms{Duration: time.Second})
	c.Step(time.Second, []replicatedlog.ReplicaEvent{replicatedlog.LogReceived{Chunk: log}})
	if last := saved.Entries[len(saved.Entries)-1].GetIndex(); c.State().Index() != last {
		t.Fatalf("the replica has applied entries up to %d; the log ends at %d", c.State().Index(), last)
	}
	raw, err := c.State().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return storedSnapshot(t, raw)
}

func unmarshal(t *testing.T, raw []byte, m proto.Message) {
	t.Helper()
	if err := proto.Unmarshal(raw, m); err != nil {
		t.Fatal(err)
	}
}

func oneLine(m proto.Message) string {
	var b strings.Builder
	dump(&b, "", m.ProtoReflect())
	return strings.Join(strings.Fields(strings.TrimSpace(b.String())), " ")
}
