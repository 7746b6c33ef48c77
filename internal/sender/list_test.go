package sender

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"dockshift.example/dockshift/brain"
)

func TestReadTargets(t *testing.T) {
	got, err := readTargets(strings.NewReader(`{"version":43,"more":{"a":[1,2]},"full":true,"servers":[
		{"id":"s-1","addr":"10.1.0.18:8080","zone":"a","kind":"m2","cell":3,"state":"DRAINING","weight":1.5,"started_ms":0},{"id":"s-2"}]}`))
	want := Targets{Version: 43, Full: true, Servers: []Target{{ID: "s-1", Addr: "10.1.0.18:8080", Zone: "a", Kind: "m2", Cell: 3, State: "DRAINING", Weight: 1.5}, {ID: "s-2"}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v: %+v", err, got)
	}
	for text, says := range map[string]string{
		"": "EOF", "[]": "wanted", `{"version":"x"}`: "version", `{"servers":{}}`: "no list", `{"servers":[{"id":"a"},{"cell":-1}]}`: "line 2",
		`{"servers":[{"id":"a"}`: "EOF", `{"version":3`: "EOF", `{"servers":[{"id":"a"}]`: "EOF",
	} {
		if _, err := readTargets(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if got, err := readTargets(strings.NewReader(`{"servers":null,"version":7}`)); err != nil || got.Version != 7 {
		t.Errorf("%+v %v", got, err)
	}
}

// Whatever encoding/json reads whole is read the same line by line.
func FuzzReadTargets(f *testing.F) {
	f.Add(`{"version":43,"full":true,"servers":[{"id":"s-1","cell":3,"state":"SERVING","weight":1.0}]}`)
	f.Add(`{"servers":[{}],"x":[{"a":null}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		got, err := readTargets(strings.NewReader(text))
		if err != nil {
			return
		}
		for i, line := range got.Servers {
			if raw, err := json.Marshal(line); err != nil {
				t.Fatalf("line %d: %s %v", i, raw, err)
			}
		}
	})
}

func list(n int, edit func([]Target)) Targets {
	t := Targets{Version: 1, Full: true}
	for i := range n {
		t.Servers = append(t.Servers, Target{ID: fmt.Sprint("s-", i), Addr: fmt.Sprint("127.0.0.1:", 1000+i), Cell: uint32(i / 2), State: "SERVING", Weight: 1})
	}
	if edit != nil {
		edit(t.Servers)
	}
	return t
}

// A list that comes again tells the module what changed, and nothing where nothing did.
func TestListByDifference(t *testing.T) {
	l, c := newEndpoints(), &Config{}
	p := newPool(&Config{Limits: Limits{Sockets: 256}})
	first := l.news(list(10, nil), true, c, p)
	if len(first.Endpoints) != 10 {
		t.Fatalf("%+v", first)
	}
	if again := l.news(list(10, nil), true, c, p); len(again.Endpoints) != 0 || again.Whole {
		t.Errorf("the same list again: %+v", again)
	}
	changed := l.news(list(10, func(s []Target) { s[3].State = "DRAINING"; s[4].Cell = 9; s[5].Addr = "127.0.0.1:9" }), true, c, p)
	if len(changed.Endpoints) != 2 || changed.Endpoints[0].ID != 4 || changed.Endpoints[0].Ready || changed.Endpoints[1].Destination != 9 {
		t.Errorf("one drains and one has moved: %+v", changed)
	}
	if l.byID["s-5"].addr != "127.0.0.1:9" {
		t.Error("a new address is not known")
	}
	gone := l.news(list(8, func(s []Target) { s[3].State = "DRAINING"; s[4].Cell = 9; s[5].Addr = "127.0.0.1:9" }), true, c, p)
	ids := []brain.EndpointID{}
	for _, e := range gone.Endpoints {
		if e.Ready {
			t.Errorf("%+v", e)
		}
		ids = append(ids, e.ID)
	}
	if !reflect.DeepEqual(ids, []brain.EndpointID{9, 10}) || len(l.byID) != 8 || len(l.byNumber) != 8 {
		t.Errorf("two are gone: %v, %d and %d known", ids, len(l.byID), len(l.byNumber))
	}
	back := l.news(Targets{Servers: list(10, nil).Servers[8:]}, false, c, p)
	if len(back.Endpoints) != 2 || back.Endpoints[0].ID != 11 {
		t.Errorf("they come back as new ones: %+v", back)
	}
}

// A line named twice counts as it stands last, and a deleted one is forgotten.
func TestListNamesTwice(t *testing.T) {
	l, c := newEndpoints(), &Config{}
	p := newPool(&Config{Limits: Limits{Sockets: 256}})
	n := l.news(Targets{Servers: []Target{{ID: "a", State: "SERVING", Addr: "x:1"}, {ID: "a", State: "DRAINING", Addr: "x:1"}, {ID: "b", State: "SERVING", Addr: "x:2"},
		{ID: "b", State: "DELETED"}}}, false, c, p)
	if last := n.Endpoints[len(n.Endpoints)-1]; last.Ready || len(l.byID) != 1 || l.byID["a"].line.Ready {
		t.Errorf("%+v, %d known", n, len(l.byID))
	}
}

func BenchmarkWholeListAgain(b *testing.B) {
	l, c := newEndpoints(), &Config{}
	p := newPool(&Config{Limits: Limits{Sockets: 256}})
	t := list(20_000, nil)
	l.news(t, true, c, p)
	b.ReportAllocs()
	for b.Loop() {
		l.news(t, true, c, p)
	}
}

func BenchmarkReadTargets(b *testing.B) {
	raw, err := json.Marshal(list(20_000, nil))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := readTargets(strings.NewReader(string(raw))); err != nil {
			b.Fatal(err)
		}
	}
}
