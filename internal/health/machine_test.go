package health

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/knowledge"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// replicatedLog is a machine with the index of its last command.
type replicatedLog struct {
	*Machine
	t     *testing.T
	index uint64
	epoch uint64
}

func newReplicatedLog(t *testing.T) *replicatedLog {
	l := &replicatedLog{t: t, epoch: 1}
	l.Machine = NewMachine(func() uint64 { return l.epoch })
	return l
}

func (l *replicatedLog) apply(c *pb.HealthCommand) string {
	l.t.Helper()
	raw, err := proto.Marshal(c)
	if err != nil {
		l.t.Fatal(err)
	}
	l.index++
	_, rejection, err := l.Apply(l.index, raw)
	if err != nil {
		l.t.Fatal(err)
	}
	return rejection
}

func setCommand(d uint32, kind Kind, epoch, base uint64) *pb.HealthCommand {
	p := &pb.SetHealth{Destination: d, Kind: uint32(kind), Epoch: epoch, BaseIndex: base, Author: "x"}
	if kind != KindSuspended {
		p.TtlUs = time.Second.Microseconds()
	}
	return &pb.HealthCommand{Command: &pb.HealthCommand_Set{Set: p}}
}

func clearCommand(d uint32, byOperator bool, epoch, base uint64) *pb.HealthCommand {
	return &pb.HealthCommand{Command: &pb.HealthCommand_Clear{Clear: &pb.ClearHealth{Destination: d, ByOperator: byOperator, Epoch: epoch, BaseIndex: base}}}
}

// Checks that set and clear commands based on an outdated status are rejected, that a former owner's commands are rejected, and that an
// operator's status exists beside the owner's and has no TTL.
func TestMachine_Commands(t *testing.T) {
	l := newReplicatedLog(t)
	for _, step := range []struct {
		name      string
		command   *pb.HealthCommand
		rejection string
		statuses  string
	}{
		{"clear without a status", clearCommand(7, false, 1, 0), "there is no such verdict", ""},
		{"ejected", setCommand(7, KindEjected, 1, 0), "", "7 out"},
		{"ejected again without the base index", setCommand(7, KindEjected, 1, 0), "that of entry 2 stands", "7 out"},
		{"clear with an outdated base index", clearCommand(7, false, 1, 1), "that of entry 2 stands", "7 out"},
		{"renewed", setCommand(7, KindEjected, 1, 2), "", "7 out"},
		{"of an earlier epoch", setCommand(7, KindWarmingUp, 0, 5), "under roster 0", "7 out"},
		{"suspended by an operator", setCommand(7, KindSuspended, 0, 0), "", "7 out, 7 suspended"},
		{"suspended again", setCommand(7, KindSuspended, 0, 0), "has suspended destination 7 already", "7 out, 7 suspended"},
		{"another destination", setCommand(3, KindEjected, 1, 0), "", "3 out, 7 out, 7 suspended"},
		{"warming up", setCommand(7, KindWarmingUp, 1, 5), "", "3 out, 7 cold, 7 suspended"},
		{"invalid kind", setCommand(8, KindNone, 1, 0), "is none", "3 out, 7 cold, 7 suspended"},
		{"cleared by its owner", clearCommand(7, false, 1, 10), "", "3 out, 7 suspended"},
		{"cleared by an operator", clearCommand(7, true, 0, 0), "", "3 out"},
	} {
		if got := l.apply(step.command); (step.rejection == "") != (got == "") || !strings.Contains(got, step.rejection) {
			t.Errorf("%s: rejection %q, want %q", step.name, got, step.rejection)
		}
		var statuses []string
		for _, v := range l.State().Statuses {
			statuses = append(statuses, strings.TrimSpace(string(rune('0'+v.Destination))+" "+Kind(v.Kind).String()))
		}
		if got := strings.Join(statuses, ", "); got != step.statuses {
			t.Errorf("%s: statuses %q, want %q", step.name, got, step.statuses)
		}
	}
	if v := StatusOf(l.State(), 3, false); v.StartIndex != 9 || v.UpdateIndex != 9 {
		t.Errorf("%v", v)
	}
	raw, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newReplicatedLog(t)
	if err := restored.Restore(raw); err != nil || !proto.Equal(restored.State(), l.State()) {
		t.Errorf("%v: %v", err, restored.State())
	}
}

// aggregatorTest is an aggregator with its log and a virtual clock.
type aggregatorTest struct {
	*replicatedLog
	aggregator *Aggregator
	now        time.Duration
	rule       Rule
	owns       bool
}

func newAggregatorTest(t *testing.T) *aggregatorTest {
	return &aggregatorTest{replicatedLog: newReplicatedLog(t), aggregator: NewAggregator(), now: time.Hour, owns: true, rule: Rule{Quorum: 2, ProbeInterval: time.Second, InitialRate: 1, FullRate: 10, SlowStart: 5 * time.Second, TTL: 6 * time.Second}}
}

// statusAfter advances the clock, evaluates every 100 ms, and returns the status of destination 7.
func (tr *aggregatorTest) statusAfter(after time.Duration) string {
	for end := tr.now + after; tr.now < end; {
		tr.now += 100 * time.Millisecond
		for _, c := range tr.aggregator.Evaluate(tr.now, EvaluationInput{Epoch: tr.epoch, Self: "x", Owns: func(uint32) bool { return tr.owns },
			Rule: func(uint32) (Rule, bool) { return tr.rule, tr.rule.Quorum > 0 }, State: tr.State()}) {
			tr.apply(c)
		}
	}
	return Kind(StatusOf(tr.State(), 7, false).GetKind()).String()
}

func (tr *aggregatorTest) observe(sender string, d uint32, s knowledge.State, age time.Duration) {
	tr.aggregator.Observe(sender, Observation{Destination: d, State: s, Age: age, Duration: time.Second}, tr.now)
}
