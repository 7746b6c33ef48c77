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

// The files under testdata/stored were written by the program as of commit eea23b3, before many identifiers were renamed. Stored data
// must mean the same to every later version, and every later version must write the same bytes.
const (
	storedKilled    = "testdata/stored/killed.journal"    // every kind of record, a corrupt line, and a torn last line
	storedCompacted = "testdata/stored/compacted.journal" // the same after openJournal has compacted it; FILE.golden lists the content of each
	storedBudget    = 1 << 20
)

// writeStoredJournal writes a journal with messages in each state that is stored, and with rates, outages and the endpoint list.
func writeStoredJournal(t *testing.T, dir string) *journal {
	t.Helper()
	j, err := openJournal(dir, storedBudget)
	if err != nil {
		t.Fatal(err)
	}
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	put := func(r record) *storedMessage {
		t.Helper()
		m, err := j.insert(r)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	endpoints := func(version int64, full bool, lines ...Target) membership.Update {
		return membership.Update{Version: version, Full: full, Servers: lines}
	}
	line := func(id, state string) Target {
		return Target{ID: id, Addr: "127.0.0.1:80", Zone: "a", Kind: "plain", Destination: 3, State: state, Weight: 1.5}
	}
	j.saveList("127.0.0.1:9", endpoints(4, true, line("s-0", membership.Serving), line("s-1", membership.Serving), line("s-2", membership.Serving)))
	j.saveList("127.0.0.1:9", endpoints(5, false, line("s-1", membership.Draining), line("s-2", membership.Deleted), line("s-ü", membership.Serving)))

	put(record{ID: "waits", Class: "safe", Tenant: "acme", Dest: 1, Deadline: second(90), Effect: "safe", Body: []byte{0, 255, '\n'}})
	out := put(record{ID: "out", Key: "key-1", Class: "keyed", Tenant: "acme", Dest: 2, Deadline: second(91), Effect: "keyed", KeyWindow: second(7), KeyInZone: true, Body: []byte("body")})
	j.update(out, record{Op: opSend, Sent: &attemptRecord{At: second(10), Endpoint: "s-0", Zone: 1, ZoneName: "b"}})
	j.update(out, record{Op: opEnd, Attempt: 0, NeverRan: true, AttemptOutcome: "refused"})
	j.update(out, record{Op: opSend, Sent: &attemptRecord{At: second(11), Endpoint: "s-1"}})
	j.update(out, record{Op: opEnd, Attempt: 1, NeverRan: true, Recalled: true, AttemptOutcome: "not sent"})
	j.update(out, record{Op: opSend, Sent: &attemptRecord{At: second(12), Endpoint: "s-ü"}})
	j.update(out, record{Op: opEnd, Attempt: 2, AttemptOutcome: "timed out"})
	j.update(out, record{Op: opSend, Sent: &attemptRecord{At: second(13), Endpoint: "s-1"}})
	put(record{ID: "ordered-1", OrderKey: "queue \"q\"", Class: "ordered", Tenant: "acme", Dest: 3, Deadline: second(92), Effect: "unsafe"})
	put(record{ID: "ordered-2", OrderKey: "queue \"q\"", Class: "ordered", Tenant: "acme", Dest: 3, Deadline: second(93), Effect: "unsafe"})
	event, err := cloudevents.ReadStructured([]byte(`{"specversion":"1.0","id":"1","source":"/s","type":"safe","subject":"0","traceparent":"00-x y","datacontenttype":"text/plain","data":"hello"}`))
	if err != nil {
		t.Fatal(err)
	}
	data := event.Data
	event.Data = nil
	put(record{ID: "event", Class: "safe", Tenant: "acme", Dest: 4, Deadline: second(94), Effect: "safe", Body: data, Event: event,
		Identity: &eventIdentity{identity.KeyOf("/s", "1"), identity.DigestOf([]byte("content"))}})
	put(record{ID: "went again", Key: "key-2", Class: "keyed", Tenant: "acme", Deadline: second(95), Effect: "keyed", KeyWindow: second(7), Incarnation: 2, EarlierAttempts: 1,
		Attempts: []attemptRecord{{At: second(1), Endpoint: "s-9", Outcome: "timed out"}}, Body: []byte("kept body")})
	for n, over := range []record{
		{Outcome: outcomeDelivered}, {Outcome: outcomeAnswered}, {Outcome: outcomeGivenUp}, {Outcome: outcomeHandedBack, RetryAfterMS: 1500}, {Outcome: outcomeGivenUp, AwaitsRecorder: true, At: second(20)},
		{Outcome: outcomeHandedBack, RetryAfterMS: 20, AwaitsRecorder: true, At: second(21)}, {Outcome: outcomeAnswered, AwaitsRecorder: true, At: second(22)}, {Outcome: outcomeGivenUp, Notified: true, AwaitsRecorder: true, At: second(23)},
		{Outcome: outcomeDelivered, AwaitsRecorder: true, At: second(24)},
	} {
		m := put(record{ID: fmt.Sprintf("over-%d-%s", n, over.Outcome), Class: "unsafe", Tenant: "acme", Dest: 5, Deadline: second(60 + n), Effect: "unsafe", Body: []byte("b")})
		over.Op = opOver
		j.update(m, over)
	}
	notified := put(record{ID: "told", Class: "unsafe", Deadline: second(80)})
	j.update(notified, record{Op: opOver, Outcome: outcomeGivenUp, AwaitsRecorder: true, At: second(25)})
	j.update(notified, record{Op: opNotified})
	recorded := put(record{ID: "kept", Class: "unsafe", Deadline: second(81)})
	j.update(recorded, record{Op: opOver, Outcome: outcomeGivenUp, AwaitsRecorder: true, At: second(26)})
	j.update(recorded, record{Op: opRecorded})
	forgotten := put(record{ID: "forgotten", Class: "unsafe", Deadline: second(82)})
	j.update(forgotten, record{Op: opOver, Outcome: outcomeGivenUp})
	j.update(forgotten, record{Op: opNotified})
	if err := j.saveRates([]brain.UsualRate{{Destination: 1, Rate: 2.25}, {Destination: 2, Rate: 1.0 / 3}}, outageSnapshot{at: second(30), list: []outage{
		{Dest: 1, Began: second(22), Rate: 4}, {Dest: 2, Endpoint: "s-1", Began: second(23), RecoveringSince: second(29), Rate: 0.5}}}); err != nil {
		t.Fatal(err)
	}
	if err := j.flush(); err != nil {
		t.Fatal(err)
	}
	return j
}

// listJournal returns the content of a journal as text.
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
	fmt.Fprintf(&b, "live %d\nrates %s\noutages as of %d: %s\n", j.reserved, text(j.rates), j.outages.at, text(j.outages.list))
	fmt.Fprintf(&b, "list %s\n", text(j.endpoints.record()))
	for _, m := range j.pending() {
		first, may := m.firstPossibleRun()
		fmt.Fprintf(&b, "message %s\n  end %q retry %d keep %v told %v at %d cost %d, made %d, first run %s %v, order %d\n",
			text(m.record), m.outcome, m.retryAfterMS, m.awaitsRecorder, m.notified, m.endedAt, m.cost, m.attemptsMade(), text(first), may, m.orderKeyHash())
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

// A journal of the earlier program is read with the same meaning, both as left by a kill and as compacted.
func TestStoredData_JournalOfEarlierProgram(t *testing.T) {
	for _, tt := range []struct {
		name, file string
		unreadable int
	}{{"killed", storedKilled, 1}, {"compacted", storedCompacted, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, journalFileName), readTestdata(t, tt.file), 0o600); err != nil {
				t.Fatal(err)
			}
			j := openTestJournal(t, dir, storedBudget)
			if j.corruptLines != tt.unreadable {
				t.Errorf("%d lines are reported as unreadable, want %d", j.corruptLines, tt.unreadable)
			}
			if got, want := listJournal(t, j), string(readTestdata(t, tt.file+".golden")); got != want {
				t.Errorf("the journal contains\n%s\nwant\n%s", got, want)
			}
			if err := j.close(); err != nil {
				t.Fatal(err)
			}
			if got := readTestdata(t, j.path); !bytes.Equal(got, readTestdata(t, storedCompacted)) {
				t.Errorf("the journal is compacted to\n%s", got)
			}
		})
	}
}

// The journal is byte for byte what the earlier program wrote, so that the earlier program can read it after a rollback.
func TestStoredData_JournalBytesAreUnchanged(t *testing.T) {
	j := writeStoredJournal(t, t.TempDir())
	if err := j.close(); err != nil {
		t.Fatal(err)
	}
	if got, want := readTestdata(t, j.path), readTestdata(t, storedKilled); !bytes.HasPrefix(want, got) || len(got) == 0 {
		t.Errorf("the journal is\n%s\nwant a prefix of\n%s", got, want)
	}
}
