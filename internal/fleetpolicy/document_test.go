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

// Each error has the document's name, and the line or the rule that is violated.
func TestParse_Errors(t *testing.T) {
	for text, want := range map[string]string{
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
		if _, err := Parse("p.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60q: %v, want %q", text, err, want)
		}
	}
}

func to(destination uint32, tenant string) Call {
	return Call{Destination: destination, Tenant: tenant}
}

// Checks the units that a call uses of each limit, and the limits' descriptions.
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
			t.Errorf("%+v uses %q, want %q", c.call, got, c.want)
		}
	}
	var descriptions []string
	for _, l := range p.Limits() {
		descriptions = append(descriptions, l.Key+": "+DescribeLimit(l))
	}
	if want := []string{"class big, bytes: 1000 bytes in 1s, 10 of them kept by each of the first 5 senders", "destination 7: 30 calls in 1s, or as the receiver tells",
		"destination 7, tenant a: 5 calls in 10s, and 2 more by each that is cut off", "destination 7, tenant b: 5 calls in 10s, and 2 more by each that is cut off",
		"destination 8: 30 calls in 1s, or as the receiver tells", "destination 9: 1 calls in 2s", "endpoint s-1, at once: 3 calls at once, of 5s at most"}; !slices.Equal(descriptions, want) {
		t.Errorf("%q", descriptions)
	}
	if l, ok := p.RateLimit(8); !ok || l.Key != "destination 8" {
		t.Error("destination 8 has no rate limit")
	}
	if _, ok := p.RateLimit(1); ok {
		t.Error("destination 1 has a rate limit")
	}
	if err := p.CheckSettings(Settings{Tenants: []string{"a", "b"}, Classes: []string{"small"}}); err == nil || !strings.Contains(err.Error(), `class "big" is not`) {
		t.Error(err)
	}
}

// Checks which calls a policy allows, and which calls a switch between two policies affects.
func TestPolicy_CallsAndSwitches(t *testing.T) {
	oldPolicy := parse(t, "cut_off = \"go-on\"\ngo_on_for = \"1m\"\n[[route]]\ndestinations = [1, 2, 3, 7]\nstate = \"closed\"\n[[tenant]]\nname = \"acme\"\nstate = \"suspended\"\n[[class]]\nname = \"keyed\"\ndeadline_most = \"5s\"\n")
	newPolicy := parse(t, "[[route]]\ndestinations = [2]\nstate = \"closed\"\n[[route]]\ndestinations = [7]\nstate = \"moved\"\nto = 9\n[[route]]\ndestinations = [5]\nstate = \"apart\"\nkind = \"single\"\n[[limit]]\ndestinations = [4]\ncalls = 2.5\n[[tenant]]\nname = \"other\"\nstate = \"suspended\"\n")
	for _, c := range []struct {
		call                                  Call
		allowedBefore, allowedAfter, affected bool
	}{
		{to(1, "a"), false, true, true}, {to(2, "a"), false, false, false}, {to(7, "a"), false, false, true}, {to(9, "a"), true, true, false},
		{to(5, "a"), true, true, true}, {to(4, "a"), true, true, false},
		{to(9, "acme"), false, true, true}, {to(9, "other"), true, false, true},
	} {
		before, _ := oldPolicy.Allows(c.call)
		after, _ := newPolicy.Allows(c.call)
		if affected := AffectedBySwitch(oldPolicy, newPolicy).HasCall(c.call); before != c.allowedBefore || after != c.allowedAfter || affected != c.affected {
			t.Errorf("%+v: before %v, after %v, affected %v", c.call, before, after, affected)
		}
	}
	if newPolicy.MovedTo(7) != 9 || newPolicy.MovedTo(2) != 2 || oldPolicy.PartitionGrace() != time.Minute || newPolicy.PartitionGrace() != 0 || oldPolicy.MaxDeadline("keyed") != 5*time.Second || newPolicy.MaxDeadline("keyed") != 0 ||
		newPolicy.Kind(5, "x") != "single" || newPolicy.Kind(4, "x") != "x" || newPolicy.MovedTo(5) != 5 {
		t.Error("destinations, kinds, deadlines or grace periods of a policy are wrong")
	}
	want := []string{"a sender that is cut off: goes on for 1m0s -> begins no call", "destination 1, 3: closed -> open", `destination 5: open -> as of kind "single"`, "destination 7: closed -> moved to 9",
		`tenant "acme": suspended -> served`, `tenant "other": served -> suspended`, "destination 4: not limited -> 2 calls in 1s", `class "keyed", deadline at most: 5s -> its own (messages that are handed in from then on)`}
	if got := Diff(oldPolicy, newPolicy); !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
	if got := Diff(newPolicy, newPolicy); got != nil {
		t.Errorf("difference from itself: %q", got)
	}
	total, by := AffectedBySwitch(oldPolicy, newPolicy).CountMessages(map[Call]int{to(1, "a"): 2, to(3, "a"): 5, to(9, "a"): 9, to(9, "acme"): 1})
	if total != 8 || !slices.Equal(by, []MessageCount{{3, 5}, {1, 2}, {9, 1}}) {
		t.Errorf("the switch affects %d messages, by destination %v", total, by)
	}
	if err := oldPolicy.CheckSettings(Settings{Classes: []string{"keyed"}, Tenants: []string{"acme"}}); err != nil {
		t.Error(err)
	}
	if err := newPolicy.CheckSettings(Settings{Tenants: []string{"other"}, Kinds: []string{"x"}}); err == nil || !strings.Contains(err.Error(), `kind "single" is not`) {
		t.Errorf("%v", err)
	}
	if err := oldPolicy.CheckSettings(Settings{Classes: []string{"safe"}, Tenants: []string{"acme"}}); err == nil || !strings.Contains(err.Error(), `class "keyed" is not in this sender's settings, which have "safe"`) {
		t.Errorf("%v", err)
	}
}

// A document of 5,000 destinations is parsed and compared. A call is checked against it by a look-up that does not allocate.
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
	_, rejection, err := m.Apply(index, raw)
	if err != nil {
		t.Fatal(err)
	}
	return rejection
}

// The states of a change, one command at a time: a valid command takes effect, an invalid one changes nothing and returns the reason.
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
		do        *pb.PolicyCommand
		rejection string
		version   uint64
		frozen    bool // calls to destination 7 are suspended
		open      bool // calls to destination 7 are allowed
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
		if rejection := step(t, m, index, c.do); (rejection == "") != (c.rejection == "") || !strings.Contains(rejection, c.rejection) {
			t.Fatalf("step %d: %q, want %q", index, rejection, c.rejection)
		}
		restored := NewMachine()
		snap, err := m.Snapshot()
		if err == nil {
			err = restored.Restore(snap)
		}
		if err != nil {
			t.Fatal(err)
		}
		for name, m := range map[string]*Machine{"the state": m, "the restored state": restored} {
			v := m.View(index, Settings{})
			may, _ := v.Allows(Call{Destination: 7})
			if v.Version != c.version || v.Suspended.HasDestination(7) != c.frozen || may != c.open {
				t.Errorf("step %d: %s: version %d, frozen %v, open %v", index, name, v.Version, v.Suspended.HasDestination(7), may)
			}
			if other, _ := v.Allows(Call{Destination: 8}); !other {
				t.Errorf("step %d: %s: a call that no change affects is suspended", index, name)
			}
		}
	}
	if history := m.State().History; len(history) != 3 || history[1].AbortReason != "no" || string(history[0].Document) != closed7 {
		t.Errorf("%v", history)
	}
	if _, _, err := m.Apply(19, []byte{0xff}); err == nil {
		t.Error("a command that can't be decoded is applied")
	}
	if _, _, err := m.Apply(19, nil); err == nil {
		t.Error("a command without a type is applied")
	}
}

// The history of changes is bounded, in number and in bytes; the document in force is kept.
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
			if rejection := step(t, m, index+uint64(i), p); rejection != "" {
				t.Fatal(rejection)
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
		t.Errorf("%d changes are kept", n)
	}
}
