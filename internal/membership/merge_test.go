package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// list is a merged list as one who gets its changes has it.
type list map[string]Target

func (l list) take(t interface{ Fatalf(string, ...any) }, changes []Target) {
	for _, c := range changes {
		if c.State == Deleted {
			if _, ok := l[c.ID]; !ok {
				t.Fatalf("%s is deleted and was not there", c.ID)
			}
			delete(l, c.ID)
		} else {
			l[c.ID] = c
		}
	}
}

func at(id, addr string, dest uint32, state string) Target {
	return Target{ID: id, Addr: addr, Destination: dest, State: state, Weight: 1}
}

func part(lines ...Target) Update       { return Update{Servers: lines} }
func fullUpdate(lines ...Target) Update { return Update{Servers: lines, Full: true} }

func TestMerger_Apply(t *testing.T) {
	type news struct {
		from Source
		Update
	}
	const a, b = "127.0.0.1:1", "127.0.0.1:2"
	for name, c := range map[string]struct {
		precedence Precedence
		news       []news
		want       []Target // by address
	}{
		"discovery alone passes": {NamesFirst, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving))}}, []Target{at("s1", a, 7, Serving)}},
		"one address in both is one endpoint, under the first id": {Both, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving))}, {Names, part(at("n1", a, 7, Serving))}},
			[]Target{at("s1", a, 7, Serving)}},
		"and the other way round": {Both, []news{{Names, part(at("n1", a, 7, Serving))}, {Discovery, fullUpdate(at("s1", a, 7, Serving))}},
			[]Target{at("n1", a, 7, Serving)}},
		"it keeps its id when the one who named it drops it": {Both, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving))}, {Names, part(at("n1", a, 7, Serving))}, {Discovery, fullUpdate()}},
			[]Target{at("s1", a, 7, Serving)}},
		"two ids of one source at one address": {Both, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving), at("s2", a, 7, Serving))}},
			[]Target{at("s1", a, 7, Serving)}},
		"names win once they have spoken": {NamesFirst, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving))}, {Names, part(at("n1", b, 7, Serving))}},
			[]Target{at("n1", b, 7, Serving)}},
		"and still do when they have nothing left": {NamesFirst, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving))}, {Names, part(at("n1", b, 7, Serving))}, {Names, part(at("n1", b, 7, Deleted))}},
			nil},
		"not for a destination they never spoke of": {NamesFirst, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving), at("s2", b, 8, Serving))}, {Names, part(at("n1", a, 7, Serving))}},
			[]Target{at("s1", a, 7, Serving), at("s2", b, 8, Serving)}},
		"discovery wins where it should": {DiscoveryFirst, []news{{Names, part(at("n1", b, 7, Serving))}, {Discovery, fullUpdate(at("s1", a, 7, Serving))}},
			[]Target{at("s1", a, 7, Serving)}},
		"dropped by one and listed by the other serves": {Both, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving))}, {Names, part(at("n1", a, 7, Dropped))}},
			[]Target{at("s1", a, 7, Serving)}},
		"dropped by the last one drains": {Both, []news{{Names, part(at("n1", a, 7, Serving))}, {Names, part(at("n1", a, 7, Dropped))}},
			[]Target{at("n1", a, 7, Draining)}},
		"a drain is honoured beside a listing": {Both, []news{{Names, part(at("n1", a, 7, Serving))}, {Discovery, fullUpdate(at("s1", a, 7, Draining))}},
			[]Target{at("n1", a, 7, Draining)}},
		"and from a source that does not count": {NamesFirst, []news{{Names, part(at("n1", a, 7, Serving))}, {Discovery, fullUpdate(at("s1", a, 7, Draining))}},
			[]Target{at("n1", a, 7, Draining)}},
		"an endpoint that moves stays the one it is": {Both, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving))}, {Discovery, part(at("s1", b, 7, Serving))}},
			[]Target{at("s1", b, 7, Serving)}},
		"unless its old address is listed by another": {Both, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving))}, {Names, part(at("n1", a, 7, Serving))}, {Discovery, part(at("s1", b, 7, Serving))}},
			[]Target{at("s1", a, 7, Serving), at("at:7:"+b, b, 7, Serving)}},
		"a change without its address keeps it": {Both, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving))}, {Discovery, part(at("s1", "", 7, Draining))}},
			[]Target{at("s1", a, 7, Draining)}},
		"another destination": {Both, []news{{Discovery, fullUpdate(at("s1", a, 7, Serving))}, {Discovery, part(at("s1", a, 8, Serving))}},
			[]Target{at("s1", a, 8, Serving)}},
		"deletion of what is not there": {Both, []news{{Discovery, part(at("s1", a, 7, Deleted))}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			m, l := NewMerger(nil, c.precedence), list{}
			for _, n := range c.news {
				l.take(t, m.Apply(n.from, n.Update))
			}
			got := m.List()
			if !slices.Equal(got, c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			for _, g := range got {
				if l[g.ID] != g {
					t.Errorf("changes came to %+v, the list has %+v", l[g.ID], g)
				}
			}
			if len(l) != len(got) {
				t.Errorf("changes came to %d lines, the list has %d", len(l), len(got))
			}
		})
	}
}

// Over generated news: changes come to the list; no address twice at a destination, no id twice; each line is listed by a
// source that counts, and drains if one says so or none lists it; what all sources that count list is there.
func TestMerger_AgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Precedence(rapid.IntRange(0, 2).Draw(t, "precedence"))
		m, l := NewMerger(nil, p), list{}
		told := [sources]map[string]Target{{}, {}}
		spoke := [sources]map[uint32]bool{{}, {}}
		for range rapid.IntRange(1, 25).Draw(t, "news") {
			from := Source(rapid.IntRange(0, int(sources)-1).Draw(t, "from"))
			u := Update{Full: rapid.Bool().Draw(t, "full")}
			states := []string{Serving, Draining, Deleted}
			if from == Names {
				states[1] = Dropped
			}
			named := map[string]bool{}
			for range rapid.IntRange(0, 3).Draw(t, "lines") {
				id := fmt.Sprintf("%d-%d", from, rapid.IntRange(0, 3).Draw(t, "id"))
				if named[id] {
					continue
				}
				named[id] = true
				u.Servers = append(u.Servers, at(id, fmt.Sprint("h:", rapid.IntRange(0, 2).Draw(t, "addr")),
					uint32(rapid.IntRange(0, 1).Draw(t, "dest")), rapid.SampledFrom(states).Draw(t, "state")))
			}
			if u.Full {
				told[from] = map[string]Target{}
			}
			for _, s := range u.Servers {
				if s.State == Deleted {
					delete(told[from], s.ID)
				} else {
					told[from][s.ID], spoke[from][s.Destination] = s, true
				}
			}
			l.take(t, m.Apply(from, u))
			// The model: what is said of each address, straight from the rules.
			want := map[location]string{}
			for dest := range uint32(2) {
				counts := [sources]bool{true, true}
				switch p {
				case NamesFirst:
					counts = [sources]bool{!spoke[Names][dest], spoke[Names][dest]}
				case DiscoveryFirst:
					counts = [sources]bool{spoke[Discovery][dest], !spoke[Discovery][dest]}
				case Both:
				}
				for addr := range 3 {
					at := location{dest, fmt.Sprint("h:", addr)}
					serves, drains, drops := false, false, false
					for s := range sources {
						for _, line := range told[s] {
							if line.Destination == dest && line.Addr == at.address {
								drains = drains || line.State == Draining
								serves = serves || counts[s] && line.State == Serving
								drops = drops || counts[s] && line.State != Serving
							}
						}
					}
					if serves && !drains {
						want[at] = Serving
					} else if serves || drops {
						want[at] = Draining
					}
				}
			}
			got := map[location]string{}
			for _, line := range l {
				at := location{line.Destination, line.Addr}
				if _, twice := got[at]; twice {
					t.Fatalf("%v is two endpoints", at)
				}
				got[at] = line.State
			}
			for at, state := range want {
				if got[at] != state {
					t.Fatalf("%v is %q, want %q; told %v", at, got[at], state, told)
				}
			}
			if len(got) != len(want) {
				t.Fatalf("the list has %v, want %v", got, want)
			}
		}
	})
}

func TestPrecedenceOf(t *testing.T) {
	for _, w := range Precedences() {
		if p, err := PrecedenceOf(w); err != nil || p.String() != w {
			t.Error(w, p, err)
		}
	}
	if _, err := PrecedenceOf("dns"); err == nil {
		t.Error("dns is no precedence")
	}
}
