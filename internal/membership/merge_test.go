package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// list is a merged list as built from its changes.
type list map[string]Target

func (l list) apply(t interface{ Fatalf(string, ...any) }, changes []Target) {
	for _, c := range changes {
		if c.State == Deleted {
			if _, ok := l[c.ID]; !ok {
				t.Fatalf("%s is deleted but was not listed", c.ID)
			}
			delete(l, c.ID)
		} else {
			l[c.ID] = c
		}
	}
}

func target(id, addr string, dest uint32, state string) Target {
	return Target{ID: id, Addr: addr, Destination: dest, State: state, Weight: 1}
}

func partialUpdate(targets ...Target) Update { return Update{Servers: targets} }
func fullUpdate(targets ...Target) Update    { return Update{Servers: targets, Full: true} }

func TestMerger_Apply(t *testing.T) {
	type sourceUpdate struct {
		from Source
		Update
	}
	const a, b = "127.0.0.1:1", "127.0.0.1:2"
	for name, c := range map[string]struct {
		precedence Precedence
		updates    []sourceUpdate
		want       []Target // by address
	}{
		"discovery alone passes": {NamesFirst, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving))}}, []Target{target("s1", a, 7, Serving)}},
		"one address in both is one endpoint, under the first id": {Both, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving))}, {Names, partialUpdate(target("n1", a, 7, Serving))}},
			[]Target{target("s1", a, 7, Serving)}},
		"and the other way round": {Both, []sourceUpdate{{Names, partialUpdate(target("n1", a, 7, Serving))}, {Discovery, fullUpdate(target("s1", a, 7, Serving))}},
			[]Target{target("n1", a, 7, Serving)}},
		"an endpoint keeps its id when the source of the id removes it": {Both, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving))}, {Names, partialUpdate(target("n1", a, 7, Serving))}, {Discovery, fullUpdate()}},
			[]Target{target("s1", a, 7, Serving)}},
		"two ids of one source at one address": {Both, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving), target("s2", a, 7, Serving))}},
			[]Target{target("s1", a, 7, Serving)}},
		"names win once they have listed a target": {NamesFirst, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving))}, {Names, partialUpdate(target("n1", b, 7, Serving))}},
			[]Target{target("n1", b, 7, Serving)}},
		"names win after their last target was removed": {NamesFirst, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving))}, {Names, partialUpdate(target("n1", b, 7, Serving))}, {Names, partialUpdate(target("n1", b, 7, Deleted))}},
			nil},
		"names do not win for a destination that they never listed": {NamesFirst, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving), target("s2", b, 8, Serving))}, {Names, partialUpdate(target("n1", a, 7, Serving))}},
			[]Target{target("s1", a, 7, Serving), target("s2", b, 8, Serving)}},
		"discovery wins with DiscoveryFirst": {DiscoveryFirst, []sourceUpdate{{Names, partialUpdate(target("n1", b, 7, Serving))}, {Discovery, fullUpdate(target("s1", a, 7, Serving))}},
			[]Target{target("s1", a, 7, Serving)}},
		"dropped by one and listed by the other serves": {Both, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving))}, {Names, partialUpdate(target("n1", a, 7, Dropped))}},
			[]Target{target("s1", a, 7, Serving)}},
		"dropped by the last one drains": {Both, []sourceUpdate{{Names, partialUpdate(target("n1", a, 7, Serving))}, {Names, partialUpdate(target("n1", a, 7, Dropped))}},
			[]Target{target("n1", a, 7, Draining)}},
		"draining in one source wins over serving in the other": {Both, []sourceUpdate{{Names, partialUpdate(target("n1", a, 7, Serving))}, {Discovery, fullUpdate(target("s1", a, 7, Draining))}},
			[]Target{target("n1", a, 7, Draining)}},
		"draining in an inactive source takes effect": {NamesFirst, []sourceUpdate{{Names, partialUpdate(target("n1", a, 7, Serving))}, {Discovery, fullUpdate(target("s1", a, 7, Draining))}},
			[]Target{target("n1", a, 7, Draining)}},
		"an endpoint that moves keeps its id": {Both, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving))}, {Discovery, partialUpdate(target("s1", b, 7, Serving))}},
			[]Target{target("s1", b, 7, Serving)}},
		"an endpoint that moves gets a new id if another source lists its former address": {Both, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving))}, {Names, partialUpdate(target("n1", a, 7, Serving))}, {Discovery, partialUpdate(target("s1", b, 7, Serving))}},
			[]Target{target("s1", a, 7, Serving), target("at:7:"+b, b, 7, Serving)}},
		"a change without an address keeps the address": {Both, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving))}, {Discovery, partialUpdate(target("s1", "", 7, Draining))}},
			[]Target{target("s1", a, 7, Draining)}},
		"another destination": {Both, []sourceUpdate{{Discovery, fullUpdate(target("s1", a, 7, Serving))}, {Discovery, partialUpdate(target("s1", a, 8, Serving))}},
			[]Target{target("s1", a, 8, Serving)}},
		"deletion of an unknown target": {Both, []sourceUpdate{{Discovery, partialUpdate(target("s1", a, 7, Deleted))}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			m, l := NewMerger(nil, c.precedence), list{}
			for _, n := range c.updates {
				l.apply(t, m.Apply(n.from, n.Update))
			}
			got := m.List()
			if !slices.Equal(got, c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			for _, g := range got {
				if l[g.ID] != g {
					t.Errorf("changes add up to %+v, the list has %+v", l[g.ID], g)
				}
			}
			if len(l) != len(got) {
				t.Errorf("changes add up to %d targets, the list has %d", len(l), len(got))
			}
		})
	}
}

// Checks generated updates against a model. The changes must add up to the list, with no duplicate id and no duplicate address at a
// destination. The list must contain exactly the addresses that an active source lists; an address drains if any source lists it as
// draining, or if no active source lists it as serving.
func TestMerger_AgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Precedence(rapid.IntRange(0, 2).Draw(t, "precedence"))
		m, l := NewMerger(nil, p), list{}
		listed := [sources]map[string]Target{{}, {}}
		hasListed := [sources]map[uint32]bool{{}, {}}
		for range rapid.IntRange(1, 25).Draw(t, "updates") {
			from := Source(rapid.IntRange(0, int(sources)-1).Draw(t, "from"))
			u := Update{Full: rapid.Bool().Draw(t, "full")}
			states := []string{Serving, Draining, Deleted}
			if from == Names {
				states[1] = Dropped
			}
			named := map[string]bool{}
			for range rapid.IntRange(0, 3).Draw(t, "targets") {
				id := fmt.Sprintf("%d-%d", from, rapid.IntRange(0, 3).Draw(t, "id"))
				if named[id] {
					continue
				}
				named[id] = true
				u.Servers = append(u.Servers, target(id, fmt.Sprint("h:", rapid.IntRange(0, 2).Draw(t, "addr")),
					uint32(rapid.IntRange(0, 1).Draw(t, "dest")), rapid.SampledFrom(states).Draw(t, "state")))
			}
			if u.Full {
				listed[from] = map[string]Target{}
			}
			for _, s := range u.Servers {
				if s.State == Deleted {
					delete(listed[from], s.ID)
				} else {
					listed[from][s.ID], hasListed[from][s.Destination] = s, true
				}
			}
			l.apply(t, m.Apply(from, u))
			// The model derives the state of each address directly from the rules.
			want := map[location]string{}
			for dest := range uint32(2) {
				active := [sources]bool{true, true}
				switch p {
				case NamesFirst:
					active = [sources]bool{!hasListed[Names][dest], hasListed[Names][dest]}
				case DiscoveryFirst:
					active = [sources]bool{hasListed[Discovery][dest], !hasListed[Discovery][dest]}
				case Both:
				}
				for addr := range 3 {
					at := location{dest, fmt.Sprint("h:", addr)}
					serves, drains, drops := false, false, false
					for s := range sources {
						for _, target := range listed[s] {
							if target.Destination == dest && target.Addr == at.address {
								drains = drains || target.State == Draining
								serves = serves || active[s] && target.State == Serving
								drops = drops || active[s] && target.State != Serving
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
			for _, target := range l {
				at := location{target.Destination, target.Addr}
				if _, twice := got[at]; twice {
					t.Fatalf("%v is listed as two endpoints", at)
				}
				got[at] = target.State
			}
			for at, state := range want {
				if got[at] != state {
					t.Fatalf("%v is %q, want %q; sources list %v", at, got[at], state, listed)
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
		t.Error("dns is accepted as a precedence")
	}
}
