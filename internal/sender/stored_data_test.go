package sender

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/cloudevents"
	"saffronyard.example/saffronyard/internal/identity"
	"saffronyard.example/saffronyard/internal/membership"
)

// The files under testdata/stored were written by the program as it was before its names were changed (eea23b3). What an
// operator's disk holds has to mean the same to every later version, and every later version writes the same bytes.
const (
	storedKilled    = "testdata/stored/killed.journal"    // every record, a spoilt line, and a torn last one
	storedCompacted = "testdata/stored/compacted.journal" // the same once an open has compacted it; what each holds stands in FILE.golden
	storedBudget    = 1 << 20
)

// writeStoredJournal brings messages into each state that a journal can hold, beside the rates, outages and the endpoint list.
func writeStoredJournal(t *testing.T, dir string) *journal {
	t.Helper()
	j, err := openJournal(dir, storedBudget)
	if err != nil {
		t.Fatal(err)
	}
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	put := func(r record) *stored {
		t.Helper()
		m, err := j.put(r)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	endpoints := func(version int64, full bool, lines ...Target) membership.Update {
		return membership.Update{Version: version, Full: full, Servers: lines}
	}
	line := func(id, state string) Target {
		return Target{ID: id, Addr: "127.0.0.1:80", Zone: "a", Kind: "plain", Cell: 3, State: state, Weight: 1.5}
	}
	j.keepList("127.0.0.1:9", endpoints(4, true, line("s-0", membership.Serving), line("s-1", membership.Serving), line("s-2", membership.Serving)))
	j.keepList("127.0.0.1:9", endpoints(5, false, line("s-1", membership.Draining), line("s-2", membership.Deleted), line("s-ü", membership.Serving)))

	put(record{ID: "waits", Class: "safe", Tenant: "acme", Dest: 1, Deadline: second(90), Effect: "safe", Body: []byte{0, 255, '\n'}})
	out := put(record{ID: "out", Key: "key-1", Class: "keyed", Tenant: "acme", Dest: 2, Deadline: second(91), Effect: "keyed", Window: second(7), InZone: true, Body: []byte("body")})
	j.note(out, record{Op: "send", Sent: &try{At: second(10), Endpoint: "s-0", Zone: 1, In: "b"}})
	j.note(out, record{Op: "end", Try: 0, Never: true, Out: "refused"})
	j.note(out, record{Op: "send", Sent: &try{At: second(11), Endpoint: "s-1"}})
	j.note(out, record{Op: "end", Try: 1, Never: true, Recalled: true, Out: "not sent"})
	j.note(out, record{Op: "send", Sent: &try{At: second(12), Endpoint: "s-ü"}})
	j.note(out, record{Op: "end", Try: 2, Out: "timed out"})
	j.note(out, record{Op: "send", Sent: &try{At: second(13), Endpoint: "s-1"}})
	put(record{ID: "ordered-1", Order: "queue \"q\"", Class: "ordered", Tenant: "acme", Dest: 3, Deadline: second(92), Effect: "unsafe"})
	put(record{ID: "ordered-2", Order: "queue \"q\"", Class: "ordered", Tenant: "acme", Dest: 3, Deadline: second(93), Effect: "unsafe"})
	event, err := cloudevents.ReadStructured([]byte(`{"specversion":"1.0","id":"1","source":"/s","type":"safe","subject":"0","traceparent":"00-x y","datacontenttype":"text/plain","data":"hello"}`))
	if err != nil {
		t.Fatal(err)
	}
	data := event.Data
	event.Data = nil
	put(record{ID: "event", Class: "safe", Tenant: "acme", Dest: 4, Deadline: second(94), Effect: "safe", Body: data, Event: event,
		Ident: &ident{identity.KeyOf("/s", "1"), identity.DigestOf([]byte("content"))}})
	put(record{ID: "went again", Key: "key-2", Class: "keyed", Tenant: "acme", Deadline: second(95), Effect: "keyed", Window: second(7), Life: 2, Before: 1,
		Tries: []try{{At: second(1), Endpoint: "s-9", Out: "timed out"}}, Body: []byte("kept body")})
	for n, over := range []record{
		{How: delivered}, {How: answered}, {How: givenUp}, {How: handedBack, RetryMS: 1500}, {How: givenUp, Keep: true, At: second(20)},
		{How: handedBack, RetryMS: 20, Keep: true, At: second(21)}, {How: answered, Keep: true, At: second(22)}, {How: givenUp, Told: true, Keep: true, At: second(23)},
		{How: delivered, Keep: true, At: second(24)},
	} {
		m := put(record{ID: fmt.Sprintf("over-%d-%s", n, over.How), Class: "unsafe", Tenant: "acme", Dest: 5, Deadline: second(60 + n), Effect: "unsafe", Body: []byte("b")})
		over.Op = "over"
		j.note(m, over)
	}
	told := put(record{ID: "told", Class: "unsafe", Deadline: second(80)})
	j.note(told, record{Op: "over", How: givenUp, Keep: true, At: second(25)})
	j.note(told, record{Op: "told"})
	kept := put(record{ID: "kept", Class: "unsafe", Deadline: second(81)})
	j.note(kept, record{Op: "over", How: givenUp, Keep: true, At: second(26)})
	j.note(kept, record{Op: "kept"})
	forgotten := put(record{ID: "forgotten", Class: "unsafe", Deadline: second(82)})
	j.note(forgotten, record{Op: "over", How: givenUp})
	j.note(forgotten, record{Op: "told"})
	if err := j.keepRates([]brain.UsualRate{{Destination: 1, Rate: 2.25}, {Destination: 2, Rate: 1.0 / 3}}, outages{at: second(30), all: []outage{
		{Dest: 1, Began: second(22), Rate: 4}, {Dest: 2, Endpoint: "s-1", Began: second(23), Back: second(29), Rate: 0.5}}}); err != nil {
		t.Fatal(err)
	}
	if err := j.flush(); err != nil {
		t.Fatal(err)
	}
	return j
}

// listJournal is all that a journal holds, a line each.
func listJournal(t *testing.T, j *journal) string {
	t.Helper()
	var b strings.Builder
	text := func(v any) []byte {
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	fmt.Fprintf(&b, "live %d\nrates %s\noutages as of %d: %s\n", j.live, text(j.rates), j.outs.at, text(j.outs.all))
	fmt.Fprintf(&b, "list %s\n", text(j.list.record()))
	for _, m := range j.held() {
		first, may := m.firstRun()
		fmt.Fprintf(&b, "message %s\n  end %q retry %d keep %v told %v at %d cost %d, made %d, first run %s %v, order %d\n",
			text(m.record), m.how, m.retry, m.keep, m.told, m.at, m.cost, m.made(), text(first), may, m.orderKey())
	}
	return b.String()
}

func readTestdata(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.FromSlash(path))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A journal of the earlier program is read as that one read it, as it was left by a kill and as compacted.
func TestStoredData_JournalOfEarlierProgram(t *testing.T) {
	for _, tt := range []struct {
		name, file string
		unreadable int
	}{{"killed", storedKilled, 1}, {"compacted", storedCompacted, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, journalName), readTestdata(t, tt.file), 0o600); err != nil {
				t.Fatal(err)
			}
			j := openTest(t, dir, storedBudget)
			if j.spoilt != tt.unreadable {
				t.Errorf("%d lines are said to be unreadable, want %d", j.spoilt, tt.unreadable)
			}
			if got, want := listJournal(t, j), string(readTestdata(t, tt.file+".golden")); got != want {
				t.Errorf("it holds\n%s\nwant\n%s", got, want)
			}
			if err := j.close(); err != nil {
				t.Fatal(err)
			}
			if got := readTestdata(t, j.path); !bytes.Equal(got, readTestdata(t, storedCompacted)) {
				t.Errorf("it is compacted to\n%s", got)
			}
		})
	}
}

// What is written is byte for byte what the earlier program wrote, so that it reads it after a rollback.
func TestStoredData_JournalBytesAreUnchanged(t *testing.T) {
	j := writeStoredJournal(t, t.TempDir())
	if err := j.close(); err != nil {
		t.Fatal(err)
	}
	if got, want := readTestdata(t, j.path), readTestdata(t, storedKilled); !bytes.HasPrefix(want, got) || len(got) == 0 {
		t.Errorf("written is\n%s\nwant the begin of\n%s", got, want)
	}
}
