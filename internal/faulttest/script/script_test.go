package script

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// Errors in a script name the file and line.
func TestErrorsNameTheLine(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":              {"[day]\nseconds = 3\nsecond = 4\n", `x.toml:3: unknown key "day.second"`},
		"unknown table":            {"[day]\n[[troubles]]\n", `x.toml:2: unknown key "troubles"`},
		"invalid TOML":             {"[day]\nseconds = = 3\n", "x.toml:2: "},
		"string for a number":      {"[day]\nseconds = \"long\"\n", "x.toml:2: "},
		"invalid duration":         {"[day]\n\npause = \"soon\"\n", `x.toml:3: "soon" is no time`},
		"negative duration":        {"[day]\npause = \"-1s\"\n", `x.toml:2: "-1s" is negative`},
		"duration without a unit":  {"[[trouble]]\nwhat = \"hang\"\nat = \"3\"\n", "x.toml:3: "},
		"unknown fault":            {"[[trouble]]\nwhat = \"flood\"\n", `x.toml:2: unknown trouble "flood"; want one of vanish, shut`},
		"no receivers":             {"[day]\n[[trouble]]\nwhat = \"hang\"\nfor = \"1s\"\n", "x.toml:2: who needs exactly one of"},
		"two selectors":            {"[[trouble]]\nwhat = \"hang\"\nfor = \"1s\"\nwho = {name = \"r0\", random = 1}\n", "x.toml:1: who needs exactly one of name, kind, member, traffic, random; it has 2"},
		"fault without a length":   {"[day]\n\n[[trouble]]\nwhat = \"hang\"\nwho = {random = 1}\n", `x.toml:3: hang needs the key "for"`},
		"second fault is invalid":  {"[[trouble]]\nwhat = \"hang\"\nfor = \"1s\"\nwho = {random = 1}\n[[trouble]]\nwhat = \"fail\"\nshare = 2.0\nfor = \"1s\"\nwho = {random = 1}\n", "x.toml:5: fail: share = 2"},
		"only with a hang":         {"[[trouble]]\nwhat = \"hang\"\nfor = \"1s\"\nonly = 1\nwho = {random = 1}\n", "x.toml:1: only is allowed only with drain"},
		"too long a day":           {"[day]\nseconds = 1e9\n", "x.toml:1: day: seconds"},
		"nan":                      {"[day]\nrate = nan\n", "x.toml:1: day: rate"},
		"senders' shares":          {"[day]\nsenders = 3\nsender_shares = [1.0, 2.0]\n", "x.toml:1: day: sender_shares has 2 shares for 3 senders"},
		"endpoints":                {"[day]\nendpoints = [3, 1]\n", "x.toml:1: day: endpoints"},
		"class without a name":     {"[day]\n[[class]]\neffect = \"safe\"\n", "x.toml:2: a class needs a name"},
		"class twice":              {"[[class]]\nname = \"a\"\n[[class]]\nname = \"a\"\n", "x.toml:3: duplicate name"},
		"no such effect":           {"[[class]]\nname = \"a\"\neffect = \"once\"\n", "x.toml:1: class \"a\": unknown effect"},
		"aim after the deadline":   {"[[class]]\nname = \"a\"\naim = \"9s\"\n", "x.toml:1: class \"a\": aim 9s, deadline 8s"},
		"no such limit":            {"[[kind]]\nname = \"a\"\nlimit = \"some\"\n", "x.toml:1: kind \"a\": unknown limit"},
		"headroom reversed":        {"[[kind]]\nname = \"a\"\nheadroom = [2.0, 1.0]\n", "x.toml:1: kind \"a\": headroom"},
		"unknown list action":      {"[[list]]\ndo = \"burn\"\n", "x.toml:1: unknown do = \"burn\"; want"},
		"down without a length":    {"[[list]]\ndo = \"down\"\n", `x.toml:1: down needs the key "for"`},
		"pause without a length":   {"[[sender]]\ndo = \"pause\"\nwhich = \"n0\"\n", `x.toml:1: the key "for" is required for pause`},
		"a kill that lasts":        {"[[sender]]\ndo = \"kill\"\nwhich = \"n0\"\nfor = \"1s\"\n", `x.toml:1: the key "for" is required for pause and not allowed otherwise`},
		"no such fault of a link":  {"[[link]]\ndo = \"burn\"\nfrom = \"n0\"\nto = \"n1\"\n", "x.toml:1: unknown do = \"burn\"; want cut"},
		"a cut without a length":   {"\n[[link]]\ndo = \"cut\"\nfrom = \"n0\"\nto = \"n1\"\n", `x.toml:2: cut needs the key "for"`},
		"a cut without from":       {"[[link]]\ndo = \"cut\"\nfor = \"1s\"\nto = \"n1\"\n", "x.toml:1: cut needs from and to"},
		"a link to itself":         {"[[link]]\ndo = \"cut\"\nfor = \"1s\"\nfrom = \"n1\"\nto = \"n1\"\n", "x.toml:1: from and to are both"},
		"a share of a cut":         {"[[link]]\ndo = \"cut\"\nshare = 0.5\nfor = \"1s\"\nfrom = \"n0\"\nto = \"n1\"\n", "x.toml:1: share is allowed only with lose, repeat and reorder"},
		"share above 1":            {"[[link]]\ndo = \"lose\"\nshare = 1.5\nfor = \"1s\"\nfrom = \"n0\"\nto = \"n1\"\n", "x.toml:1: share = 1.5 is not in [0, 1]"},
		"slow by nothing":          {"[[link]]\ndo = \"slow\"\nfor = \"1s\"\nfrom = \"n0\"\nto = \"n1\"\n", "x.toml:1: slow needs delay or jitter"},
		"a reset that lasts":       {"[[link]]\ndo = \"reset\"\nfor = \"1s\"\nfrom = \"n0\"\nto = \"n1\"\n", "x.toml:1: reset has no duration"},
		"sender without a name":    {"[[sender]]\ndo = \"kill\"\n", "x.toml:1: kill needs which"},
		"surge of two owners":      {"[[surge]]\nfor = \"1s\"\nmember = \"a\"\nsender = \"n0\"\n", "x.toml:1: a surge takes"},
		"a name that breaks lines": {"[[member]]\nname = \"a\\nb\"\nshare = 1.0\n", "x.toml:1: member name"},
	} {
		_, err := Parse("x.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

// Make fails, with the file and line, if an entry names a receiver, kind, sender or member that the day does not have.
func TestPlanErrorsNameTheLine(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no such receiver":   {"[day]\n[[trouble]]\nwhat = \"hang\"\nfor = \"1s\"\nwho = {name = \"r99\"}\n", "x.toml:2: who matches no receiver"},
		"no such kind":       {"[day]\n[[list]]\ndo = \"replace\"\nwho = {kind = \"bank\"}\n", "x.toml:2: who matches no receiver"},
		"too many":           {"[day]\nreceivers = 2\n[[trouble]]\nwhat = \"hang\"\nfor = \"1s\"\nwho = {random = 3}\n", "x.toml:3: random = 3 of 2"},
		"no such sender":     {"[day]\n[[sender]]\ndo = \"kill\"\nwhich = \"n7\"\n", "x.toml:2: there is no sender \"n7\"; the senders are n0 to n1"},
		"no such member":     {"[day]\n[[surge]]\nfor = \"1s\"\nmember = \"nobody\"\n", "x.toml:2: there is no member"},
		"link to unknown":    {"[day]\n[[link]]\ndo = \"cut\"\nfor = \"1s\"\nfrom = \"n0\"\nto = \"n9\"\n", "x.toml:2: there is no sender \"n9\""},
		"link of one sender": {"[day]\nsenders = 1\n[[link]]\ndo = \"cut\"\nfor = \"1s\"\nfrom = \"all\"\nto = \"all\"\n", "x.toml:3: there is no link between"},
		"surge of unknown":   {"[day]\n[[surge]]\nfor = \"1s\"\nsender = \"x\"\n", "x.toml:2: there is no sender"},
		"faults, no day":     {"[[trouble]]\nwhat = \"hang\"\nfor = \"1s\"\nwho = {random = 1}\n", "x.toml: no [day]"},
	} {
		s, err := Parse("x.toml", []byte(c.text))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if _, err := s.Make(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

func shipped(t testing.TB) []string {
	t.Helper()
	var all []string
	for _, pattern := range []string{"*.toml", "over/*.toml"} {
		found, err := filepath.Glob(filepath.Join("../../../rehearsals", pattern))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, found...)
	}
	return all
}

// The shipped scripts are valid, each has a description, and every overlay can be combined with every day.
func TestShippedScripts(t *testing.T) {
	var days, over []*Script
	for _, path := range shipped(t) {
		s, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if s.About == "" {
			t.Errorf("%s has no description (about)", path)
		}
		if s.Day == nil {
			over = append(over, s)
		} else {
			days = append(days, s)
		}
	}
	if len(days) < 12 || len(over) == 0 {
		t.Errorf("%d days and %d overlays, want at least 12 days and one overlay", len(days), len(over))
	}
	for _, d := range days {
		if _, err := d.Make(); err != nil {
			t.Error(err)
		}
		for _, o := range over {
			both, err := d.Over(o)
			if err != nil {
				t.Error(err)
				continue
			}
			alone, _ := d.Make()
			p, err := both.Make()
			if err != nil {
				t.Errorf("%s over %s: %v", o.Name(), d.Name(), err)
			} else if len(p.Acts) <= len(alone.Acts) && len(p.Arrivals) <= len(alone.Arrivals) {
				t.Errorf("%s over %s adds nothing", o.Name(), d.Name())
			}
		}
	}
}

// The same seed gives the same plan, another seed gives other arrivals, and an additional fault does not change the arrivals.
func TestOneSeedOnePlan(t *testing.T) {
	for _, path := range shipped(t) {
		plan := func(seed uint64, text string) *Plan {
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			s, err := Parse(path, append(raw, text...))
			if err != nil {
				t.Fatal(err)
			}
			if s.Day == nil {
				return nil
			}
			if seed != 0 {
				s.Day.Seed = seed
			}
			p, err := s.Make()
			if err != nil {
				t.Fatal(err)
			}
			return p
		}
		a, b := plan(0, ""), plan(0, "")
		if a == nil {
			continue
		}
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two plans of one seed differ", path)
		}
		if reflect.DeepEqual(a.Arrivals, plan(99, "").Arrivals) {
			t.Errorf("%s: two seeds give the same arrivals", path)
		}
		more := plan(0, "\n[[trouble]]\nwhat = \"slow\"\nat = \"1s\"\nfor = \"1s\"\nwho = {random = 1}\n")
		if !reflect.DeepEqual(a.Arrivals, more.Arrivals) || !reflect.DeepEqual(a.Receivers, more.Receivers) {
			t.Errorf("%s: an additional fault changes the arrivals or the receivers", path)
		}
	}
}

// Arrivals follow the configured rate and sender shares, and a surge multiplies those of its member only.
func TestArrivals(t *testing.T) {
	s, err := Parse("x.toml", []byte("[day]\nseconds = 400\nrate = 100\nsenders = 2\nsender_shares = [3.0, 1.0]\n"+
		"[[surge]]\nat = \"100s\"\nfor = \"100s\"\nfactor = 3\nmember = \"evergreen\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	p, err := s.Make()
	if err != nil {
		t.Fatal(err)
	}
	count := func(f func(Arrival) bool) (n float64) {
		for _, a := range p.Arrivals {
			if f(a) {
				n++
			}
		}
		return n
	}
	near := func(what string, got, want float64) {
		t.Helper()
		if got < want*0.93 || got > want*1.07 {
			t.Errorf("%s: %v, want about %v", what, got, want)
		}
	}
	member := func(a Arrival) bool { return p.Receivers[a.Dest].Member == "evergreen" }
	in := func(a Arrival, from, to time.Duration) bool { return a.At >= from*time.Second && a.At < to*time.Second }
	near("before the surge", count(func(a Arrival) bool { return in(a, 0, 100) }), 10_000)
	near("the other members during the surge", count(func(a Arrival) bool { return in(a, 100, 200) && !member(a) }),
		count(func(a Arrival) bool { return in(a, 200, 300) && !member(a) }))
	near("the member during the surge", count(func(a Arrival) bool { return in(a, 100, 200) && member(a) }),
		3*count(func(a Arrival) bool { return in(a, 300, 400) && member(a) }))
	near("the first sender's share", count(func(a Arrival) bool { return a.Sender == 0 }), 0.75*float64(len(p.Arrivals)))
	for i := 1; i < len(p.Arrivals); i++ {
		if p.Arrivals[i].At < p.Arrivals[i-1].At {
			t.Fatal("arrivals are not sorted by time")
		}
	}
}

// Clumps make up the configured share: about that share of the messages arrives within 50 ms of another one for the same receiver.
func TestClumps(t *testing.T) {
	s, err := Parse("x.toml", []byte("[day]\nseconds = 2000\nrate = 10\nreceivers = 20\nclumps = 0.3\nclump_span = \"3s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	p, err := s.Make()
	if err != nil {
		t.Fatal(err)
	}
	last, run, clumped := map[int]time.Duration{}, map[int]int{}, 0
	for _, a := range p.Arrivals {
		if at, ok := last[a.Dest]; ok && a.At-at < 50*time.Millisecond {
			if run[a.Dest]++; run[a.Dest] == 1 {
				clumped++
			}
			clumped++
		} else {
			run[a.Dest] = 0
		}
		last[a.Dest] = a.At
	}
	if share := float64(clumped) / float64(len(p.Arrivals)); share < 0.25 || share > 0.4 {
		t.Errorf("%v of the messages come in clumps, want about 0.3, plus a few by chance", share)
	}
}

// A receiver that sleeps gets no messages, a burst arrives completely within its period, and neither changes the number of
// messages for other receivers.
func TestSleepsAndBursts(t *testing.T) {
	const day = "[day]\nseconds = 60\nrate = 50\nreceivers = 6\n"
	plan := func(more string) *Plan {
		s, err := Parse("x.toml", []byte(day+more))
		if err != nil {
			t.Fatal(err)
		}
		p, err := s.Make()
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	was := plan("")
	is := plan("[[sleep]]\nat = \"10s\"\nfor = \"20s\"\nwho = {name = \"r1\"}\n[[burst]]\nat = \"30s\"\nwithin = \"2s\"\nmessages = 200\nwho = {name = \"r1\"}\n")
	count := func(p *Plan, dest int, from, to time.Duration) (n int) {
		for _, a := range p.Arrivals {
			if a.Dest == dest && a.At >= from && a.At < to {
				n++
			}
		}
		return n
	}
	if n := count(is, 1, 10*time.Second, 30*time.Second); n != 0 {
		t.Errorf("%d messages for a receiver that sleeps", n)
	}
	if n := count(is, 1, 30*time.Second, 32*time.Second) - count(was, 1, 30*time.Second, 32*time.Second); n != 200 {
		t.Errorf("%d messages in a burst, want 200", n)
	}
	if is.Wakes[0] != (Wake{30 * time.Second, 1, 200}) {
		t.Errorf("%+v", is.Wakes)
	}
	for _, dest := range []int{0, 2, 3, 4, 5} {
		if a, b := count(was, dest, 0, time.Hour), count(is, dest, 0, time.Hour); a != b {
			t.Errorf("receiver %d: %d messages, %d without the sleep and the burst", dest, b, a)
		}
	}
	for text, want := range map[string]string{
		"[[sleep]]\nwho = {name = \"r1\"}\n": `x.toml:5: a sleep needs the key "for"`, "[[burst]]\nwho = {name = \"r1\"}\n": "x.toml:5: messages = 0",
		"[[burst]]\nmessages = 3\n": "x.toml:5: who needs exactly one of"} {
		if _, err := Parse("x.toml", []byte(day+text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Receivers selected by a share of the traffic get at most that share together.
func TestWhoByTraffic(t *testing.T) {
	for seed := range 50 {
		s, err := Parse("x.toml", []byte(fmt.Sprintf("[day]\nseed = %d\n[[trouble]]\nwhat = \"hang\"\nfor = \"1s\"\nwho = {traffic = 0.3}\n", seed+1)))
		if err != nil {
			t.Fatal(err)
		}
		p, err := s.Make()
		if err != nil {
			t.Fatal(err)
		}
		sum := 0.0
		for _, d := range p.Acts[0].Dests {
			sum += p.Receivers[d].Weight
		}
		if sum > 0.3 || sum < 0.15 {
			t.Errorf("seed %d: the selected receivers get %v of the traffic, want 0.15 to 0.3", seed+1, sum)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, path := range shipped(f) {
		raw, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(raw))
	}
	f.Add("[day]\nrate = nan\nseconds = 1e300\n[[trouble]]\nwho = {random = -1}\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("x.toml", []byte(text))
		if err != nil {
			if !strings.HasPrefix(err.Error(), "x.toml:") {
				t.Errorf("an error without file and line: %v", err)
			}
			return
		}
		if s.Day == nil || s.Day.Seconds*s.Day.Rate > 1e4 || s.Day.Receivers > 100 {
			return // valid, but too large to draw here
		}
		for _, g := range s.Surges {
			if g.Factor > 3 {
				return
			}
		}
		p, err := s.Make()
		if err != nil {
			return
		}
		for _, a := range p.Arrivals {
			if a.Dest < 0 || a.Dest >= len(p.Receivers) || a.Class >= len(p.Classes) || a.At < 0 {
				t.Fatalf("an arrival with an invalid receiver, class or time: %+v", a)
			}
		}
	})
}

// The plan has an act for the start and the end of each fault of links and processes, and prints the senders or links that it affects.
func TestFaultsOfLinksAndProcesses(t *testing.T) {
	s, err := Parse("x.toml", []byte(`
[day]
senders = 3
[[link]]
do = "cut"
at = "1s"
for = "2s"
from = "n0"
to = "all"
[[link]]
do = "freeze"
after = 7
at = "4s"
for = "1s"
from = "n1"
to = "n2"
both = true
[[link]]
do = "reset"
at = "6s"
from = "n2"
to = "n0"
[[sender]]
do = "pause"
which = "n1"
at = "7s"
for = "1s"
[[sender]]
do = "old"
which = "n2"
at = "9s"
`))
	if err != nil {
		t.Fatal(err)
	}
	p, err := s.Make()
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, a := range p.Acts {
		got = append(got, a.At.String()+" "+a.String()+" "+strings.Join(a.Who(), " "))
	}
	want := []string{"1s cut n0>n1 n0>n2", "3s heal n0>n1 n0>n2", "4s freeze after 7 B n1>n2 n2>n1", "5s heal n1>n2 n2>n1", "6s reset n2>n0",
		"7s pause n1", "8s resume n1", "9s old n2"}
	if !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
}
