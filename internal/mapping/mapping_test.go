package mapping

import (
	"errors"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/cloudevents"
)

// event makes an event from name=value texts.
func event(attributes ...string) *cloudevents.Event {
	e := &cloudevents.Event{}
	for _, a := range append([]string{"specversion=1.0", "id=i1", "source=/members/7", "type=org.example.card.issued"}, attributes...) {
		name, v, _ := strings.Cut(a, "=")
		e.Set(name, v)
	}
	return e
}

func rules() *Rules {
	return &Rules{
		Deadline:     9 * time.Second,
		Destinations: map[string]uint32{"north": 7, "8": 12},
		List: []Rule{
			{Name: "tests", Type: "org.example.test.*", Refuse: "tests are not sent on"},
			{Name: "exact", Type: "org.example.card.voided", Class: "unsafe", Destination: "3"},
			{Name: "member", Type: "org.example.card.*", Source: "/members/*", Subject: "member/{who}/card/{rest...}", Class: "keyed", Tenant: "acme",
				Destination: "{who}", Key: "{source}#{rest}", Order: "{who}", Deadline: 5 * time.Second},
			{Name: "region", Extensions: map[string]string{"region": "eu-*", "tier": "gold"}, Class: "{ext.class}", Destination: "north", Key: "{{{id}}}"},
			{Subject: "any/*", Class: "safe", Destination: "{subject}"},
		},
	}
}

func TestRules_Find(t *testing.T) {
	for name, c := range map[string]struct {
		attributes []string
		want       Target
		rule       int
		refusal    string
	}{
		"exact":                    {[]string{"type=org.example.card.voided"}, Target{Class: "unsafe", Destination: 3, Deadline: 9 * time.Second}, 1, ""},
		"captured":                 {[]string{"subject=member/north/card/a/b"}, Target{"keyed", "acme", 7, "/members/7#a/b", "north", 5 * time.Second}, 2, ""},
		"captured number":          {[]string{"subject=member/9/card/x"}, Target{"keyed", "acme", 9, "/members/7#x", "9", 5 * time.Second}, 2, ""},
		"a name wins over numbers": {[]string{"subject=member/8/card/x"}, Target{"keyed", "acme", 12, "/members/7#x", "8", 5 * time.Second}, 2, ""},
		"no such destination":      {[]string{"subject=member/south/card/x"}, Target{}, 2, `rule member: destination "south"`},
		"destination too high":     {[]string{"subject=member/65536/card/x"}, Target{}, 2, `destination "65536"`},
		"part is empty":            {[]string{"subject=member//card/x"}, Target{}, -1, "no rule fits"},
		"nothing left to capture":  {[]string{"subject=member/9/card"}, Target{}, -1, "no rule fits"},
		"nothing behind the slash": {[]string{"subject=member/9/card/"}, Target{}, -1, "no rule fits"},
		"another source":           {[]string{"subject=member/9/card/x", "source=/other"}, Target{}, -1, "no rule fits"},
		"extensions":               {[]string{"region=eu-west", "tier=gold", "class=safe"}, Target{Class: "safe", Destination: 7, Key: "{i1}", Deadline: 9 * time.Second}, 3, ""},
		"one extension only":       {[]string{"region=eu-west", "class=safe"}, Target{}, -1, "no rule fits"},
		"a value is missing":       {[]string{"region=eu-west", "tier=gold"}, Target{}, 3, "nothing is called {ext.class} in this event"},
		"refused":                  {[]string{"type=org.example.test.x"}, Target{}, 0, "rule tests: tests are not sent on"},
		"prefix of the subject":    {[]string{"subject=any/5"}, Target{}, 4, `rule 5: destination "any/5"`},
		"nothing fits":             {nil, Target{}, -1, `no rule fits an event of type "org.example.card.issued", source "/members/7", subject ""`},
	} {
		got, rule, err := rules().Find(event(c.attributes...))
		var r *Refusal
		switch {
		case c.refusal == "" && (err != nil || got != c.want || rule != c.rule):
			t.Errorf("%s: %+v, rule %d, %v", name, got, rule, err)
		case c.refusal != "" && (!errors.As(err, &r) || !strings.Contains(r.Text, c.refusal) || r.Rule != c.rule || rule != c.rule):
			t.Errorf("%s: rule %d, %v, want %q", name, rule, err, c.refusal)
		}
	}
	r := rules()
	r.Fallback = &Rule{Class: "safe", Destination: "1"}
	if got, rule, err := r.Find(event()); err != nil || rule != len(r.List) || got.Destination != 1 || r.Name(rule) != "default" {
		t.Errorf("%+v %d %v", got, rule, err)
	}
}

// Explain gives the reason for each rule that does not match, and the result of the one that does.
func TestRules_Explain(t *testing.T) {
	lines := strings.Join(rules().Explain(event("subject=member/9/card/x")), "\n")
	for _, want := range []string{`rule tests: does not fit: type "org.example.card.issued" is not "org.example.test.*"`, "rule member: fits",
		"class keyed, tenant acme, destination 9, deadline 5s, key /members/7#x, order 9"} {
		if !strings.Contains(lines, want) {
			t.Errorf("%q is not in\n%s", want, lines)
		}
	}
	if strings.Contains(lines, "region") {
		t.Errorf("rules after the match are listed:\n%s", lines)
	}
	lines = strings.Join(rules().Explain(event("region=eu-1")), "\n")
	if !strings.Contains(lines, `extension tier "" is not "gold"`) || !strings.Contains(lines, "turned away: no rule fits") {
		t.Error(lines)
	}
}

func TestRule_Check(t *testing.T) {
	for _, r := range rules().List {
		if err := r.Check(); err != nil {
			t.Errorf("%s: %v", r.Name, err)
		}
	}
	for want, r := range map[string]Rule{
		"class and destination, or refuse must":       {Class: "safe"},
		"excludes":                                    {Refuse: "no", Class: "safe"},
		"a * is allowed only at the end":              {Type: "a*b", Class: "safe", Destination: "1"},
		"source = \"*a\"":                             {Source: "*a", Class: "safe", Destination: "1"},
		"extensions.x":                                {Extensions: map[string]string{"x": "**"}, Class: "safe", Destination: "1"},
		"not an extension name":                       {Extensions: map[string]string{"X": "a"}, Class: "safe", Destination: "1"},
		"attribute, not an extension":                 {Extensions: map[string]string{"source": "a"}, Class: "safe", Destination: "1"},
		"captured twice":                              {Subject: "{a}/{a}", Class: "safe", Destination: "1"},
		"is allowed only at the end":                  {Subject: "{a...}/b", Class: "safe", Destination: "1"},
		"is not a valid capture":                      {Subject: "{A}", Class: "safe", Destination: "1"},
		"other than":                                  {Subject: "{id}", Class: "safe", Destination: "1"},
		"must be a whole part":                        {Subject: "x{a}", Class: "safe", Destination: "1"},
		"subject: \"a*\"":                             {Subject: "a*/b", Class: "safe", Destination: "1"},
		"nothing is called {b}":                       {Subject: "{a}", Class: "safe", Destination: "{b}"},
		"nothing is called {ext.}":                    {Class: "safe", Destination: "1", Key: "{ext.}"},
		"order = \"{\": a { is not":                   {Class: "safe", Destination: "1", Order: "{"},
		"tenant = \"}\": a } closes":                  {Class: "safe", Destination: "1", Tenant: "}"},
		"class = \"{x}\"":                             {Class: "{x}", Destination: "1"},
		"is not a valid capture: use {name} of lower": {Subject: "{a", Class: "safe", Destination: "1"},
	} {
		if err := r.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want an error with %q", r, err, want)
		}
	}
}

func TestRules_Reachable(t *testing.T) {
	r := rules()
	if i, j, ok := r.Reachable(); ok {
		t.Errorf("rule %d is hidden by %d", i, j)
	}
	r.List = append(r.List, Rule{Type: "org.example.test.new", Class: "safe", Destination: "1"})
	if i, j, ok := r.Reachable(); !ok || i != 5 || j != 0 {
		t.Errorf("%d %d %v", i, j, ok)
	}
	r.List = []Rule{{Extensions: map[string]string{"a": "x*"}}, {Extensions: map[string]string{"a": "xy", "b": "z"}}}
	if _, _, ok := r.Reachable(); !ok {
		t.Error("a rule that is covered by an earlier one counts as reachable")
	}
	r.List = []Rule{{Extensions: map[string]string{"a": "x"}}, {Type: "t"}}
	if _, _, ok := r.Reachable(); ok {
		t.Error("a rule with another condition counts as unreachable")
	}
}

// For any rule and event, Find returns and Explain agrees with it. A rule that Check accepted has no undefined name other than
// {ext.NAME} and {subject}, which an event may lack.
func FuzzFind(f *testing.F) {
	f.Add("org.example.*", "member/{who}/x", "{who}", "k{id}", "member/7/x")
	f.Add("*", "{a...}", "{a}", "{ext.q}", "a/b")
	f.Add("", "a*", "{subject}", "{{}}", "ab")
	f.Fuzz(func(t *testing.T, kind, subject, destination, key, got string) {
		r := Rules{List: []Rule{{Type: kind, Subject: subject, Class: "c", Destination: destination, Key: key}}}
		checked := r.List[0].Check() == nil
		e := event("subject=" + got)
		target, rule, err := r.Find(e)
		lines := r.Explain(e)
		if (err != nil) != strings.HasPrefix(lines[len(lines)-1], "turned away: ") {
			t.Errorf("Find returned %v, Explain %q", err, lines)
		}
		if err == nil && (rule != 0 || target.Class != "c") {
			t.Errorf("got %+v by rule %d", target, rule)
		}
		if checked && err != nil && strings.Contains(err.Error(), "nothing is called") && !strings.Contains(key+destination, "{ext.") && got != "" {
			t.Errorf("a rule that Check accepted fails: %v", err)
		}
	})
}

func BenchmarkFind(b *testing.B) {
	r, e := rules(), event("subject=member/9/card/x")
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := r.Find(e); err != nil {
			b.Fatal(err)
		}
	}
}
