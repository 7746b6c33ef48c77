package eventlog

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
)

// Read returns the events that were written, and events from before the start of the day have negative times.
func TestLog_EncodesAndDecodes(t *testing.T) {
	var b bytes.Buffer
	var seen []Kind
	l := New(&b, func(e Event) { seen = append(seen, e.Kind) })
	l.Add(Event{Kind: World, Figures: &Figures{Name: "x", Classes: map[string]Class{"c": {Effect: "safe"}}}})
	l.Restart()
	l.Add(Event{Kind: HandIn, ID: "a", Dest: 3, Order: "k"})
	l.At(5e9, Event{Kind: Done, Status: 200, Call: 7})
	if err := l.Flush(); err != nil {
		t.Fatal(err)
	}
	got, torn, err := Read(&b, "log")
	if err != nil || torn || !reflect.DeepEqual(got, l.Events()) {
		t.Errorf("%v %v: %+v, want %+v", err, torn, got, l.Events())
	}
	if got[0].T > 0 || got[2].T != 5e6 || !reflect.DeepEqual(seen, []Kind{World, HandIn, Done}) {
		t.Errorf("%+v, seen %v", got, seen)
	}
}

func TestReadDamagedLogs(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		events int
		torn   bool
		err    string
	}{
		"empty":            {"", 0, false, ""},
		"torn last line":   {"{\"kind\":\"end\"}\n{\"kind\":\"ha", 1, true, ""},
		"no final newline": {"{\"kind\":\"end\"}", 1, false, ""},
		"noise in between": {"{\"kind\":\"end\"}\nnoise\n{\"kind\":\"end\"}\n", 1, false, "log:2: "},
		"no kind":          {"{\"t\":3}\n", 0, false, "log:1: an event without a kind"},
		"blank lines":      {"\n{\"kind\":\"end\"}\n\n", 1, false, ""},
	} {
		got, torn, err := Read(strings.NewReader(c.text), "log")
		if len(got) != c.events || torn != c.torn || (err != nil) != (c.err != "") || (err != nil && !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%s: %d events, torn %v, %v", name, len(got), torn, err)
		}
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("no space") }

// Flush returns the error of a failed write, and Events still returns all events.
func TestWriteFails(t *testing.T) {
	l := New(failingWriter{}, nil)
	l.Restart()
	for range 10_000 {
		l.Add(Event{Kind: HandIn, ID: "a", Msg: "m"})
	}
	if err := l.Flush(); err == nil || len(l.Events()) != 10_000 {
		t.Errorf("Flush: %v, %d events; want an error and 10000 events", err, len(l.Events()))
	}
}

func FuzzRead(f *testing.F) {
	f.Add("{\"kind\":\"end\"}\n{\"kind\":\"ha")
	f.Add("noise")
	f.Fuzz(func(t *testing.T, text string) {
		events, _, err := Read(strings.NewReader(text), "log")
		if err != nil && !strings.HasPrefix(err.Error(), "log:") {
			t.Errorf("an error without file and line: %v", err)
		}
		for _, e := range events {
			if e.Kind == "" {
				t.Error("an event without a kind")
			}
		}
	})
}
