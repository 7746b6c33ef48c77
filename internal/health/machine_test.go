package health

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/knowledge"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// log is the machine with its commands' places.
type log struct {
	*Machine
	t     *testing.T
	at    uint64
	epoch uint64
}

func newLog(t *testing.T) *log {
	l := &log{t: t, epoch: 1}
	l.Machine = NewMachine(func() uint64 { return l.epoch })
	return l
}

func (l *log) apply(c *pb.HealthCommand) string {
	l.t.Helper()
	raw, err := proto.Marshal(c)
	if err != nil {
		l.t.Fatal(err)
	}
	l.at++
	_, refused, err := l.Apply(l.at, raw)
	if err != nil {
		l.t.Fatal(err)
	}
	return refused
}

func pronounce(d uint32, sort Kind, epoch, base uint64) *pb.HealthCommand {
	p := &pb.SetHealth{Destination: d, Kind: uint32(sort), Epoch: epoch, BaseIndex: base, Author: "x"}
	if sort != KindSuspended {
		p.TtlUs = time.Second.Microseconds()
	}
	return &pb.HealthCommand{Command: &pb.HealthCommand_Set{Set: p}}
}

func lift(d uint32, person bool, epoch, base uint64) *pb.HealthCommand {
	return &pb.HealthCommand{Command: &pb.HealthCommand_Clear{Clear: &pb.ClearHealth{Destination: d, ByOperator: person, Epoch: epoch, BaseIndex: base}}}
}

// Setting and clearing a status do not cross; a former owner sets nothing any more; an operator's status stands beside, and does not expire.
func TestMachine_Commands(t *testing.T) {
	l := newLog(t)
	for _, step := range []struct {
		what    string
		word    *pb.HealthCommand
		refused string
		stand   string
	}{
		{"nothing is lifted", lift(7, false, 1, 0), "there is no such verdict", ""},
		{"out", pronounce(7, KindEjected, 1, 0), "", "7 out"},
		{"by one who did not know of it", pronounce(7, KindEjected, 1, 0), "that of entry 2 stands", "7 out"},
		{"a lifting of what it was not", lift(7, false, 1, 1), "that of entry 2 stands", "7 out"},
		{"said again", pronounce(7, KindEjected, 1, 2), "", "7 out"},
		{"of an old roster", pronounce(7, KindWarmingUp, 0, 5), "under roster 0", "7 out"},
		{"a person", pronounce(7, KindSuspended, 0, 0), "", "7 out, 7 suspended"},
		{"again", pronounce(7, KindSuspended, 0, 0), "has suspended destination 7 already", "7 out, 7 suspended"},
		{"another place", pronounce(3, KindEjected, 1, 0), "", "3 out, 7 out, 7 suspended"},
		{"cold", pronounce(7, KindWarmingUp, 1, 5), "", "3 out, 7 cold, 7 suspended"},
		{"no sort", pronounce(8, KindNone, 1, 0), "is none", "3 out, 7 cold, 7 suspended"},
		{"lifted by its authority", lift(7, false, 1, 10), "", "3 out, 7 suspended"},
		{"lifted by a person", lift(7, true, 0, 0), "", "3 out"},
	} {
		if got := l.apply(step.word); (step.refused == "") != (got == "") || !strings.Contains(got, step.refused) {
			t.Errorf("%s: refused %q, want %q", step.what, got, step.refused)
		}
		var is []string
		for _, v := range l.State().Statuses {
			is = append(is, strings.TrimSpace(string(rune('0'+v.Destination))+" "+Kind(v.Kind).String()))
		}
		if got := strings.Join(is, ", "); got != step.stand {
			t.Errorf("%s: %q stand, want %q", step.what, got, step.stand)
		}
	}
	if v := StatusOf(l.State(), 3, false); v.StartIndex != 9 || v.UpdateIndex != 9 {
		t.Errorf("%v", v)
	}
	raw, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again := newLog(t)
	if err := again.Restore(raw); err != nil || !proto.Equal(again.State(), l.State()) {
		t.Errorf("%v: %v", err, again.State())
	}
}

// aggregatorTest is an aggregator with its log, and a clock.
type aggregatorTest struct {
	*log
	aggregator *Aggregator
	now        time.Duration
	rule       Rule
	owns       bool
}

func newTrial(t *testing.T) *aggregatorTest {
	return &aggregatorTest{log: newLog(t), aggregator: NewAggregator(), now: time.Hour, owns: true, rule: Rule{Quorum: 2, ProbeInterval: time.Second, InitialRate: 1, FullRate: 10, SlowStart: 5 * time.Second, TTL: 6 * time.Second}}
}

// statusAfter lets a time go by with the aggregator evaluating, and returns the status of destination 7.
func (tr *aggregatorTest) statusAfter(after time.Duration) string {
	for end := tr.now + after; tr.now < end; {
		tr.now += 100 * time.Millisecond
		for _, w := range tr.aggregator.Evaluate(tr.now, EvaluationInput{Epoch: tr.epoch, Self: "x", Owns: func(uint32) bool { return tr.owns },
			Rule: func(uint32) (Rule, bool) { return tr.rule, tr.rule.Quorum > 0 }, State: tr.State()}) {
			tr.apply(w)
		}
	}
	return Kind(StatusOf(tr.State(), 7, false).GetKind()).String()
}

func (tr *aggregatorTest) says(who string, d uint32, s knowledge.State, age time.Duration) {
	tr.aggregator.Observe(who, Observation{Destination: d, State: s, Age: age, Duration: time.Second}, tr.now)
}
