package sender

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

func TestDecodeTargets(t *testing.T) {
	got, err := decodeTargets(strings.NewReader(`{"version":43,"more":{"a":[1,2]},"full":true,"servers":[
		{"id":"s-1","addr":"10.1.0.18:8080","zone":"a","kind":"m2","cell":3,"state":"DRAINING","weight":1.5,"started_ms":0},{"id":"s-2"}]}`))
	want := Targets{Version: 43, Full: true, Servers: []Target{{ID: "s-1", Addr: "10.1.0.18:8080", Zone: "a", Kind: "m2", Destination: 3, State: "DRAINING", Weight: 1.5}, {ID: "s-2"}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v: %+v", err, got)
	}
	for text, wantErr := range map[string]string{
		"": "EOF", "[]": "got [, want {", `{"version":"x"}`: "version", `{"servers":{}}`: "not a list", `{"servers":[{"id":"a"},{"cell":-1}]}`: "line 2",
		`{"servers":[{"id":"a"}`: "EOF", `{"version":3`: "EOF", `{"servers":[{"id":"a"}]`: "EOF",
	} {
		if _, err := decodeTargets(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if got, err := decodeTargets(strings.NewReader(`{"servers":null,"version":7}`)); err != nil || got.Version != 7 {
		t.Errorf("%+v %v", got, err)
	}
}

// What decodeTargets accepts can be encoded as JSON again.
func FuzzDecodeTargets(f *testing.F) {
	f.Add(`{"version":43,"full":true,"servers":[{"id":"s-1","cell":3,"state":"SERVING","weight":1.0}]}`)
	f.Add(`{"servers":[{}],"x":[{"a":null}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		got, err := decodeTargets(strings.NewReader(text))
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

func manyTargets(n int, edit func([]Target)) Targets {
	t := Targets{Version: 1, Full: true}
	for i := range n {
		t.Servers = append(t.Servers, Target{ID: fmt.Sprint("s-", i), Addr: fmt.Sprint("127.0.0.1:", 1000+i), Destination: uint32(i / 2), State: "SERVING", Weight: 1})
	}
	if edit != nil {
		edit(t.Servers)
	}
	return t
}

func BenchmarkDecodeTargets(b *testing.B) {
	raw, err := json.Marshal(manyTargets(20_000, nil))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeTargets(strings.NewReader(string(raw))); err != nil {
			b.Fatal(err)
		}
	}
}
