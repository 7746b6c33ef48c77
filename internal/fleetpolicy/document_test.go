package fleetpolicy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

func parse(t *testing.T, text string) *Policy {
	t.Helper()
	p, err := Parse("p.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

const closed7 = "[[route]]\ndestinations = [7]\nstate = \"closed\"\n"

// What is wrong with a document is said with its name, and the line or the rule.
func TestParse_Errors(t *testing.T) {
	for text, says := range map[string]string{
		"x = 1":                 `p.toml:1: unknown key "x"`,
		"cut_off = \"perhaps\"": `cut_off = "perhaps"; there are "hold" and "go-on"`,
		"cut_off = \"go-on\"":   "go_on_for = 0s: it goes with",
		"go_on_for = \"1m\"":    "go_on_for = 1m0s: it goes with",
		"cut_off = \"go-on\"\ngo_on_for = \"25h\"":                                                         "is 24h0m0s at most",
		"[[route]]\nstate = \"closed\"":                                                                    "route 1 names no destinations",
		"[[route]]\ndestinations = [1]":                                                                    `route 1: state = ""`,
		"[[route]]\ndestinations = [1]\nstate = \"moved\"":                                                 "to goes with state",
		closed7 + "to = 8":                                                                                 "to goes with state",
		closed7 + closed7:                                                                                  "route 2: destination 7 is named twice",
		closed7 + "[[route]]\ndestinations = [6]\nstate = \"moved\"\nto = 7":                               "destination 7, to which it moves, has a route of its own",
		"[[route]]\ndestinations = [1]\nstate = \"apart\"":                                                 "kind goes with state",
		closed7 + "kind = \"x\"":                                                                           "kind goes with state",
		"[[limit]]\ndestinations = [1]":                                                                    "limit 1: one of calls, bytes, at_once and a_day is needed",
		"[[limit]]\ndestinations = [1, 1]\ncalls = 2.5":                                                    "limit 1: destination 1 is limited twice",
		"[[limit]]\ndestinations = [1]\ncalls = 2\nbytes = 5":                                              "one of calls, bytes, at_once and a_day is needed, and no more",
		"[[limit]]\ncalls = 2":                                                                             "it is of destinations or endpoints, of tenants",
		"[[limit]]\ncalls = 2\ndestinations = [1]\ntenants = [\"a\"]\nclasses = [\"b\"]":                   "or of pairs of two of these",
		"[[limit]]\ncalls = 2\ndestinations = [1]\nendpoints = [\"a\"]":                                    "or of pairs of two of these",
		"[[limit]]\ncalls = -1\ndestinations = [1]":                                                        "calls = -1",
		"[[limit]]\ncalls = 0.000001\ndestinations = [1]":                                                  "one in 24h0m0s at least",
		"[[limit]]\nat_once = 3\ndestinations = [1]":                                                       "lasts = 0s goes with at_once, is needed there",
		"[[limit]]\nat_once = 3\nlasts = \"5s\"\nspan = \"1s\"\ndestinations = [1]":                        "at_once and a_day have no span",
		"[[limit]]\ncalls = 3\ntransit = \"1m\"\ndestinations = [1]":                                       "transit = 1m0s",
		"[[limit]]\ncalls = 3\nover = -1\ndestinations = [1]":                                              "over = -1",
		"[[limit]]\ncalls = 3\nfloor = 1\ndestinations = [1]":                                              "floor = 1 for floor_for = 0 senders: both or none",
		"[[limit]]\ncalls = 3\nfloor = 1\nfloor_for = 4\ndestinations = [1]":                               "together no more than the limit of 3",
		"[[limit]]\nbytes = 3\nlearn = true\ndestinations = [1]":                                           "learn goes with calls",
		"[[limit]]\na_day = 3\nover = 1\ndestinations = [1]":                                               "a_day has neither over nor floor",
		"[[limit]]\ncalls = 3\ntenants = [\"\"]":                                                           "a name is empty",
		"[[tenant]]\nname = \"a\"":                                                                         `tenant "a": state = ""`,
		"[[tenant]]\nstate = \"suspended\"":                                                                "tenant 1: name",
		"[[tenant]]\nname = \"a\"\nstate = \"suspended\"\n[[tenant]]\nname = \"a\"\nstate = \"suspended\"": `tenant "a" is named twice`,
		"[[class]]\nname = \"a\"":                                                                          `class "a": deadline_most = 0s`,
		"[[class]]\nname = \"a\"\ndeadline_most = \"soon\"":                                                "p.toml:3:",
		strings.Repeat("#", maxDocumentBytes+1):                                                            "are the most",
	} {
		if _, err := Parse("p.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%.60q: %v, want %q", text, err, says)
		}
	}
}

func to(destination uint32, tenant string) Call {
	return Call{Destination: destination, Tenant: tenant}
}

// What a call takes of which limits, and what limits are.
func TestPolicy_Limits(t *testing.T) {
	p := parse(t, `
[[limit]]
destinations = [7, 8]
calls = 30.0
learn = true
[[limit]]
destinations = [7]
tenants = ["a", "b"]
calls = 5
span = "10s"
over = 2
[[limit]]
endpoints = ["s-1"]
at_once = 3
lasts = "5s"
[[limit]]
classes = ["big"]
bytes = 1000
floor = 10
floor_for = 5
[[limit]]
destinations = [9]
calls = 0.5
`)
	uses := func(c Call) (all []string) {
		for _, u := range p.Usages(c) {
			all = append(all, fmt.Sprintf("%s: %d", u.Key, u.Units))
		}
		return all
	}
	for _, c := range []struct {
		call Call
		want []string
	}{
		{Call{Destination: 7, Tenant: "c"}, []string{"destination 7: 1"}},
		{Call{Destination: 7, Tenant: "b", Endpoint: "s-1", Class: "big", Bytes: 70}, []string{"destination 7: 1", "endpoint s-1, at once: 1", "destination 7, tenant b: 1", "class big, bytes: 70"}},
		{Call{Destination: 1, Tenant: "a", Class: "small"}, nil},
		{Call{Destination: 1, Class: "big"}, []string{"class big, bytes: 1"}},
	} {
		if got := uses(c.call); !slices.Equal(got, c.want) {
			t.Errorf("%+v takes %q, not %q", c.call, got, c.want)
		}
	}
	var words []string
	for _, l := range p.Limits() {
		words = append(words, l.Key+": "+DescribeLimit(l))
	}
	if want := []string{"class big, bytes: 1000 bytes in 1s, 10 of them kept by each of the first 5 senders", "destination 7: 30 calls in 1s, or as the receiver tells",
		"destination 7, tenant a: 5 calls in 10s, and 2 more by each that is cut off", "destination 7, tenant b: 5 calls in 10s, and 2 more by each that is cut off",
		"destination 8: 30 calls in 1s, or as the receiver tells", "destination 9: 1 calls in 2s", "endpoint s-1, at once: 3 calls at once, of 5s at most"}; !slices.Equal(words, want) {
		t.Errorf("%q", words)
	}
	if l, ok := p.RateLimit(8); !ok || l.Key != "destination 8" {
		t.Error("destination 8 is not paced")
	}
	if _, ok := p.RateLimit(1); ok {
		t.Error("destination 1 is paced")
	}
	if err := p.CheckSettings(Settings{Tenants: []string{"a", "b"}, Classes: []string{"small"}}); err == nil || !strings.Contains(err.Error(), `class "big" is not`) {
		t.Error(err)
	}
}

// What a policy says of calls, and which of them a switch touches.
func TestPolicy_CallsAndSwitches(t *testing.T) {
	was := parse(t, "cut_off = \"go-on\"\ngo_on_for = \"1m\"\n[[route]]\ndestinations = [1, 2, 3, 7]\nstate = \"closed\"\n[[tenant]]\nname = \"acme\"\nstate = \"suspended\"\n[[class]]\nname = \"keyed\"\ndeadline_most = \"5s\"\n")
	is := parse(t, "[[route]]\ndestinations = [2]\nstate = \"closed\"\n[[route]]\ndestinations = [7]\nstate = \"moved\"\nto = 9\n[[route]]\ndestinations = [5]\nstate = \"apart\"\nkind = \"single\"\n[[limit]]\ndestinations = [4]\ncalls = 2.5\n[[tenant]]\nname = \"other\"\nstate = \"suspended\"\n")
	for _, c := range []struct {
		call             Call
		was, is, touched bool
	}{
		{to(1, "a"), false, true, true}, {to(2, "a"), false, false, false}, {to(7, "a"), false, false, true}, {to(9, "a"), true, true, false},
		{to(5, "a"), true, true, true}, {to(4, "a"), true, true, false},
		{to(9, "acme"), false, true, true}, {to(9, "other"), true, false, true},
	} {
		before, _ := was.Allows(c.call)
		after, _ := is.Allows(c.call)
		if touched := AffectedBySwitch(was, is).HasCall(c.call); before != c.was || after != c.is || touched != c.touched {
			t.Errorf("%+v: before %v, after %v, touched %v", c.call, before, after, touched)
		}
	}
	if is.MovedTo(7) != 9 || is.MovedTo(2) != 2 || was.PartitionGrace() != time.Minute || is.PartitionGrace() != 0 || was.MaxDeadline("keyed") != 5*time.Second || is.MaxDeadline("keyed") != 0 ||
		is.Kind(5, "x") != "single" || is.Kind(4, "x") != "x" || is.MovedTo(5) != 5 {
		t.Error("what a policy says beside calls")
	}
	want := []string{"a sender that is cut off: goes on for 1m0s -> begins no call", "destination 1, 3: closed -> open", `destination 5: open -> as of kind "single"`, "destination 7: closed -> moved to 9",
		`tenant "acme": suspended -> served`, `tenant "other": served -> suspended`, "destination 4: not limited -> 2 calls in 1s", `class "keyed", deadline at most: 5s -> its own (messages that are handed in from then on)`}
	if got := Diff(was, is); !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
	if got := Diff(is, is); got != nil {
		t.Errorf("from itself: %q", got)
	}
	total, by := AffectedBySwitch(was, is).CountMessages(map[Call]int{to(1, "a"): 2, to(3, "a"): 5, to(9, "a"): 9, to(9, "acme"): 1})
	if total != 8 || !slices.Equal(by, []MessageCount{{3, 5}, {1, 2}, {9, 1}}) {
		t.Errorf("%d, %v", total, by)
	}
	if err := was.CheckSettings(Settings{Classes: []string{"keyed"}, Tenants: []string{"acme"}}); err != nil {
		t.Error(err)
	}
	if err := is.CheckSettings(Settings{Tenants: []string{"other"}, Kinds: []string{"x"}}); err == nil || !strings.Contains(err.Error(), `kind "single" is not`) {
		t.Errorf("%v", err)
	}
	if err := was.CheckSettings(Settings{Classes: []string{"safe"}, Tenants: []string{"acme"}}); err == nil || !strings.Contains(err.Error(), `class "keyed" is not in this sender's settings, which have "safe"`) {
		t.Errorf("%v", err)
	}
}

// A document of 5,000 destinations is read, compared and asked without going through it.
func TestParse_LargeDocument(t *testing.T) {
	var b strings.Builder
	b.WriteString("[[route]]\nstate = \"closed\"\ndestinations = [")
	for d := range 5000 {
		if d > 0 {
			b.WriteString(", ")
		}
		b.WriteString(strconv.Itoa(10_000 + d))
	}
	b.WriteString("]\n")
	p := parse(t, b.String())
	if len(p.routes) != 5000 || len(Diff(Empty(), p)) != 1 {
		t.Errorf("%d routes, %d lines", len(p.routes), len(Diff(Empty(), p)))
	}
	if allocs := testing.AllocsPerRun(100, func() { p.Allows(Call{Destination: 3}) }); allocs > 0 {
		t.Errorf("a call costs %v allocations", allocs)
	}
}

func step(t *testing.T, m *Machine, index uint64, p *pb.PolicyCommand) string {
	t.Helper()
	raw, err := proto.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	_, refused, err := m.Apply(index, raw)
	if err != nil {
		t.Fatal(err)
	}
	return refused
}

// The rules of the change, a step each: what fits is done, what does not changes nothing and says why.
func TestMachine_Changes(t *testing.T) {
	propose := func(base uint64, doc string, wait int64) *pb.PolicyCommand {
		return &pb.PolicyCommand{Command: &pb.PolicyCommand_Propose{Propose: &pb.ProposePolicy{BaseVersion: base, Document: []byte(doc), Author: "ann", StageTimeoutUs: wait}}}
	}
	freeze := func(c uint64) *pb.PolicyCommand {
		return &pb.PolicyCommand{Command: &pb.PolicyCommand_Freeze{Freeze: &pb.ChangeStep{ChangeId: c}}}
	}
	commit := func(c uint64) *pb.PolicyCommand {
		return &pb.PolicyCommand{Command: &pb.PolicyCommand_Commit{Commit: &pb.ChangeStep{ChangeId: c}}}
	}
	abort := func(c uint64) *pb.PolicyCommand {
		return &pb.PolicyCommand{Command: &pb.PolicyCommand_Abort{Abort: &pb.ChangeStep{ChangeId: c, Reason: "no"}}}
	}
	m := NewMachine()
	for i, c := range []struct {
		do      *pb.PolicyCommand
		says    string
		version uint64
		frozen  bool // destination 7 is held up
		open    bool // and calls for it are begun
	}{
		{freeze(1), "change 1 is over", 0, false, true},
		{propose(1, "", 1e6), "made from version 1; version 0 is in force", 0, false, true},
		{propose(0, "x = 1", 1e6), "unknown key", 0, false, true},
		{propose(0, closed7, 0), "it waits 0s", 0, false, true},
		{propose(0, closed7, 1e6), "", 0, false, true}, // change 5
		{propose(0, "", 1e6), "change 5, proposed by ann, is under way", 0, false, true},
		{commit(5), "change 5 is not frozen", 0, false, true},
		{freeze(4), "change 4 is over; change 5 is under way", 0, false, true},
		{freeze(5), "", 0, true, false},
		{freeze(5), "frozen already", 0, true, false},
		{commit(5), "", 1, false, false},
		{abort(5), "change 5 is over", 1, false, false},
		{propose(1, "# open", 1e6), "", 1, false, false}, // change 13
		{freeze(13), "", 1, true, false},
		{abort(13), "", 1, false, false},
		{propose(1, "# open", 1e6), "", 1, false, false}, // change 16
		{freeze(16), "", 1, true, false},
		{commit(16), "", 2, false, true},
	} {
		index := uint64(i + 1)
		if refused := step(t, m, index, c.do); (refused == "") != (c.says == "") || !strings.Contains(refused, c.says) {
			t.Fatalf("step %d: %q, want %q", index, refused, c.says)
		}
		again := NewMachine()
		snap, err := m.Snapshot()
		if err == nil {
			err = again.Restore(snap)
		}
		if err != nil {
			t.Fatal(err)
		}
		for name, m := range map[string]*Machine{"it": m, "its snapshot": again} {
			v := m.View(index, Settings{})
			may, _ := v.Allows(Call{Destination: 7})
			if v.Version != c.version || v.Suspended.HasDestination(7) != c.frozen || may != c.open {
				t.Errorf("step %d: %s: version %d, frozen %v, open %v", index, name, v.Version, v.Suspended.HasDestination(7), may)
			}
			if other, _ := v.Allows(Call{Destination: 8}); !other {
				t.Errorf("step %d: %s: a call that no change touches is held up", index, name)
			}
		}
	}
	if past := m.State().History; len(past) != 3 || past[1].AbortReason != "no" || string(past[0].Document) != closed7 {
		t.Errorf("%v", past)
	}
	if _, _, err := m.Apply(19, []byte{0xff}); err == nil {
		t.Error("a command that can't be read is taken")
	}
	if _, _, err := m.Apply(19, nil); err == nil {
		t.Error("a command of no sort is taken")
	}
}

// What is remembered of changes is bounded, by number and by bytes; the version in force stays.
func TestMachine_HistoryIsBounded(t *testing.T) {
	m, index := NewMachine(), uint64(0)
	doc := "# " + strings.Repeat("x", maxDocumentBytes-100) + "\n"
	for v := range uint64(maxHistory + 20) {
		text := doc
		if v > 10 {
			text = "# small\n"
		}
		index += 3
		for i, p := range []*pb.PolicyCommand{{Command: &pb.PolicyCommand_Propose{Propose: &pb.ProposePolicy{BaseVersion: v, Document: []byte(text), StageTimeoutUs: 1}}},
			{Command: &pb.PolicyCommand_Freeze{Freeze: &pb.ChangeStep{ChangeId: index}}}, {Command: &pb.PolicyCommand_Commit{Commit: &pb.ChangeStep{ChangeId: index}}}} {
			if refused := step(t, m, index+uint64(i), p); refused != "" {
				t.Fatal(refused)
			}
		}
		size := 0
		for _, p := range m.State().History {
			size += len(p.Document)
		}
		if last := m.State().History[len(m.State().History)-1]; size > maxHistoryBytes || len(last.Document) == 0 {
			t.Fatalf("version %d: %d bytes are kept", v+1, size)
		}
	}
	if n := len(m.State().History); n != maxHistory {
		t.Errorf("%d changes are remembered", n)
	}
}
