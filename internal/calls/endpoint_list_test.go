package calls

import (
	"fmt"
	"reflect"
	"testing"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/membership"
)

func completeList(n int, edit func([]membership.Target)) membership.Update {
	t := membership.Update{Version: 1, Full: true}
	for i := range n {
		t.Servers = append(t.Servers, membership.Target{ID: fmt.Sprint("s-", i), Addr: fmt.Sprint("127.0.0.1:", 1000+i), Destination: uint32(i / 2), State: "SERVING", Weight: 1})
	}
	if edit != nil {
		edit(t.Servers)
	}
	return t
}

// A list that is applied again reports only the entries that changed.
func TestEndpointList_ReportsOnlyChanges(t *testing.T) {
	l, c := NewEndpointList(), Names{}
	p := NewPool(Config{MaxIdle: 10})
	first := l.Apply(completeList(10, nil), true, c, p)
	if len(first.Endpoints) != 10 {
		t.Fatalf("%+v", first)
	}
	if again := l.Apply(completeList(10, nil), true, c, p); len(again.Endpoints) != 0 || again.Complete {
		t.Errorf("the same list again: %+v", again)
	}
	changed := l.Apply(completeList(10, func(s []membership.Target) { s[3].State = "DRAINING"; s[4].Destination = 9; s[5].Addr = "127.0.0.1:9" }), true, c, p)
	if len(changed.Endpoints) != 2 || changed.Endpoints[0].ID != 4 || changed.Endpoints[0].Ready || changed.Endpoints[1].Destination != 9 {
		t.Errorf("one is draining and one has another destination: %+v", changed)
	}
	if l.ByID["s-5"].addr != "127.0.0.1:9" {
		t.Error("the new address is not applied")
	}
	gone := l.Apply(completeList(8, func(s []membership.Target) { s[3].State = "DRAINING"; s[4].Destination = 9; s[5].Addr = "127.0.0.1:9" }), true, c, p)
	ids := []brain.EndpointID{}
	for _, e := range gone.Endpoints {
		if e.Ready {
			t.Errorf("%+v", e)
		}
		ids = append(ids, e.ID)
	}
	if !reflect.DeepEqual(ids, []brain.EndpointID{9, 10}) || len(l.ByID) != 8 || len(l.ByNumber) != 8 {
		t.Errorf("two are removed: %v, %d and %d left", ids, len(l.ByID), len(l.ByNumber))
	}
	relisted := l.Apply(membership.Update{Servers: completeList(10, nil).Servers[8:]}, false, c, p)
	if len(relisted.Endpoints) != 2 || relisted.Endpoints[0].ID != 11 {
		t.Errorf("the removed ones are listed again, want new numbers: %+v", relisted)
	}
}

// Of two entries with one id the last one applies, and a deleted endpoint is removed.
func TestEndpointList_DuplicateAndDeletedEntries(t *testing.T) {
	l, c := NewEndpointList(), Names{}
	p := NewPool(Config{MaxIdle: 10})
	n := l.Apply(membership.Update{Servers: []membership.Target{{ID: "a", State: "SERVING", Addr: "x:1"}, {ID: "a", State: "DRAINING", Addr: "x:1"}, {ID: "b", State: "SERVING", Addr: "x:2"},
		{ID: "b", State: "DELETED"}}}, false, c, p)
	if last := n.Endpoints[len(n.Endpoints)-1]; last.Ready || len(l.ByID) != 1 || l.ByID["a"].Entry.Ready {
		t.Errorf("%+v, %d endpoints", n, len(l.ByID))
	}
}

func BenchmarkApply_UnchangedCompleteList(b *testing.B) {
	l, c := NewEndpointList(), Names{}
	p := NewPool(Config{MaxIdle: 10})
	t := completeList(20_000, nil)
	l.Apply(t, true, c, p)
	b.ReportAllocs()
	for b.Loop() {
		l.Apply(t, true, c, p)
	}
}
