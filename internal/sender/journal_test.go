package sender

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
)

func openTestJournal(t *testing.T, dir string, budget int64) *journal {
	t.Helper()
	j, err := openJournal(dir, budget)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

func acceptTestMessage(t *testing.T, j *journal, id string) *storedMessage {
	t.Helper()
	m, err := j.insertAndFlush(record{ID: id, Class: "keyed", Key: "k" + id, Dest: 3, Deadline: 99, Body: []byte("body " + id)})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestJournal_Replay(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 1<<20)
	a, b, c, d := acceptTestMessage(t, j, "a"), acceptTestMessage(t, j, "b"), acceptTestMessage(t, j, "c"), acceptTestMessage(t, j, "d")
	j.update(a, record{Op: opSend, Sent: &attemptRecord{At: 10, Endpoint: "s"}})
	j.update(a, record{Op: opEnd, Attempt: 0, NeverRan: true})
	j.update(a, record{Op: opSend, Sent: &attemptRecord{At: 20, Endpoint: "s", Zone: 1}}) // no outcome: it may have run
	j.update(a, record{Op: opSend, Sent: &attemptRecord{At: 30, Endpoint: "s"}})
	j.update(a, record{Op: opEnd, Attempt: 2, NeverRan: true, Recalled: true}) // not counted as an attempt
	j.update(b, record{Op: opOver, Outcome: outcomeDelivered})
	j.update(c, record{Op: opOver, Outcome: outcomeHandedBack, RetryAfterMS: 500})
	j.update(d, record{Op: opOver, Outcome: outcomeGivenUp})
	j.update(d, record{Op: opNotified})
	if err := j.flush(); err != nil {
		t.Fatal(err)
	}
	check := func(j *journal) {
		t.Helper()
		if len(j.byID) != 2 || len(j.order) != 2 {
			t.Fatalf("the journal has %d messages", len(j.byID))
		}
		m := j.byID["a"]
		first, may := m.firstPossibleRun()
		if !may || first.At != 20 || first.Zone != 1 || len(m.Attempts) != 3 || m.attemptsMade() != 2 || string(m.Body) != "body a" || m.Key != "ka" || m.Dest != 3 || m.Deadline != 99 {
			t.Errorf("message a is %+v", m)
		}
		if m := j.byID["c"]; m.outcome != outcomeHandedBack || m.retryAfterMS != 500 {
			t.Errorf("message c is %+v", m)
		}
	}
	check(openTestJournal(t, dir, 1<<20)) // as after a kill: nothing was closed
	check(openTestJournal(t, dir, 1<<20)) // and from the compacted file
}

// The journal stores the module's usual rates beside the messages: only the newest ones, and at most maxRates.
func TestJournal_Rates(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 1<<20)
	var many []brain.UsualRate
	for d := range brain.DestinationID(1000) {
		many = append(many, brain.UsualRate{Destination: d, Rate: float64(d) / 7})
	}
	for _, rates := range [][]brain.UsualRate{{{Destination: 3, Rate: 1}, {Destination: 4, Rate: 2.25}}, many} {
		if err := j.saveRates(rates, outageSnapshot{}); err != nil {
			t.Fatal(err)
		}
	}
	acceptTestMessage(t, j, "a")
	for range 2 { // as after a kill, and from the compacted file
		j = openTestJournal(t, dir, 1<<20)
		if len(j.rates) != maxRates || j.rates[999] != 142.714 || j.rates[3] != 0 || len(j.byID) != 1 {
			t.Errorf("%d rates, %v, %d messages", len(j.rates), j.rates[999], len(j.byID))
		}
	}
	if j.size > ratesReserve+1000 {
		t.Errorf("rates and one message take %d bytes", j.size)
	}
}

// A kill may tear the last record at any byte: no earlier record is lost. A corrupt line does not affect other lines.
func TestJournal_TornWrites(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 1<<20)
	acceptTestMessage(t, j, "a")
	sizeBefore := j.size
	acceptTestMessage(t, j, "b")
	raw, err := os.ReadFile(j.path)
	if err != nil {
		t.Fatal(err)
	}
	for n := sizeBefore; n < int64(len(raw)); n++ {
		if err := os.WriteFile(j.path, raw[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		torn := openTestJournal(t, dir, 1<<20)
		if len(torn.byID) != 1 || torn.byID["a"] == nil {
			t.Fatalf("cut at %d: the journal has %d messages", n, len(torn.byID))
		}
		acceptTestMessage(t, torn, "c")
		if again := openTestJournal(t, dir, 1<<20); len(again.byID) != 2 {
			t.Fatalf("cut at %d: a message that was written afterwards is lost", n)
		}
	}
	damaged := bytes.Replace(raw, []byte(`"id":"a"`), []byte(`"id":"x"`), 1)
	if err := os.WriteFile(j.path, damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	if j := openTestJournal(t, dir, 1<<20); len(j.byID) != 1 || j.byID["b"] == nil {
		t.Errorf("with a corrupt line the journal has %d messages", len(j.byID))
	}
}

// The old and the new file together never exceed the budget. A message without room is rejected, and one that ends frees its room.
func TestJournal_StaysWithinBudget(t *testing.T) {
	const budget = 64 << 10
	dir := t.TempDir()
	j := openTestJournal(t, dir, budget)
	var pending []*storedMessage
	rejected := 0
	for i := range 3000 {
		m, err := j.insertAndFlush(record{ID: fmt.Sprint(i), Body: bytes.Repeat([]byte("x"), i%700)})
		if errors.Is(err, errJournalFull) {
			rejected++
		} else if err != nil {
			t.Fatal(err)
		} else {
			pending = append(pending, m)
			for n := range 6 {
				j.update(m, record{Op: opSend, Sent: &attemptRecord{At: 1 << 60, Endpoint: "s-5be2a07c"}})
				j.update(m, record{Op: opEnd, Attempt: n, NeverRan: true})
			}
			if err := j.flush(); err != nil {
				t.Fatal(err)
			}
		}
		if j.size+j.reserved > budget {
			t.Fatalf("after message %d: the file has %d bytes and a compaction up to %d", i, j.size, j.reserved)
		}
		if i%3 == 0 && len(pending) > 0 {
			j.update(pending[0], record{Op: opOver, Outcome: outcomeDelivered})
			pending = pending[1:]
		}
	}
	if rejected == 0 || len(pending) == 0 || rejected == 3000 {
		t.Errorf("%d rejected, %d pending", rejected, len(pending))
	}
	if err := j.close(); err != nil {
		t.Fatal(err)
	}
	if again := openTestJournal(t, dir, budget); len(again.byID) != len(pending) {
		t.Errorf("%d of %d messages were recovered", len(again.byID), len(pending))
	}
	if _, err := os.Stat(filepath.Join(dir, journalFileName+".new")); !os.IsNotExist(err) {
		t.Errorf("the new file of a compaction still exists: %v", err)
	}
}

// On a full disk messages are rejected and nothing that was written before is lost; once there is space again, the complete state is
// written.
func TestJournal_FullDisk(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 1<<20)
	a := acceptTestMessage(t, j, "a")
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip(err)
	}
	j.file.Close()
	j.file = full
	// No new file can be created either: a directory has its name.
	if err := os.MkdirAll(filepath.Join(j.path+".new", "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	j.update(a, record{Op: opSend, Sent: &attemptRecord{At: 5}})
	if err := j.flush(); err == nil {
		t.Fatal("a record was written to a full disk")
	}
	for range 2 {
		if _, err := j.insertAndFlush(record{ID: "b"}); err == nil {
			t.Fatal("a message was accepted on a full disk")
		}
	}
	if err := os.RemoveAll(j.path + ".new"); err != nil {
		t.Fatal(err)
	}
	j.lastCompaction = j.lastCompaction.Add(-compactionRetryInterval)
	acceptTestMessage(t, j, "c")
	again := openTestJournal(t, dir, 1<<20)
	if m := again.byID["a"]; len(again.byID) != 2 || m == nil || len(m.Attempts) != 1 {
		t.Errorf("recovered %d messages, message a is %+v", len(again.byID), m)
	}
}

// failingDisk is a file on a disk with a capacity in bytes; the write that exceeds it fails after a part has been written.
type failingDisk struct {
	*os.File
	capacity int
}

func (f *failingDisk) Write(p []byte) (int, error) {
	n := min(len(p), f.capacity)
	f.capacity -= n
	f.File.Write(p[:n])
	if n < len(p) {
		return n, errors.New("no space")
	}
	return n, nil
}

// A write that fails at any byte leaves no record: the messages in it are rejected, and must not reappear in the next process.
func TestJournal_FailedWriteIsTakenBack(t *testing.T) {
	for room := 0; ; room += 7 {
		dir := t.TempDir()
		j := openTestJournal(t, dir, 1<<20)
		acceptTestMessage(t, j, "a")
		j.file = &failingDisk{j.file.(*os.File), room}
		b, err := j.insert(record{ID: "b", Body: []byte("body")})
		if err != nil {
			t.Fatal(err)
		}
		j.update(b, record{Op: opSend, Sent: &attemptRecord{At: 5, Endpoint: "s"}})
		c, err := j.insert(record{ID: "c", Body: []byte("body")})
		if err != nil {
			t.Fatal(err)
		}
		err = j.flush()
		if err == nil {
			if room == 0 {
				t.Fatal("no write failed")
			}
			return // there was room for all of it
		}
		j.unindex(b)
		j.unindex(c)
		if again := openTestJournal(t, dir, 1<<20); len(again.byID) != 1 || again.byID["a"] == nil {
			t.Fatalf("with room for %d bytes %d messages were recovered", room, len(again.byID))
		}
	}
}

// Lines that are encoded without encoding/json decode to the same record, for any names, numbers and bodies.
func TestJournal_LinesRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	text := func() string {
		b := make([]byte, rng.IntN(12))
		for i := range b {
			if b[i] = byte(0x20 + rng.IntN(0x5f)); rng.IntN(20) == 0 {
				b[i] = byte(rng.IntN(0x80))
			}
		}
		return string(b)
	}
	for range 3000 {
		want := record{Op: text(), ID: text(), Key: text(), OrderKey: text(), Class: text(), Tenant: text(), Dest: rng.Uint32N(3), Deadline: time.Duration(rng.Int64()),
			Attempt: rng.IntN(3), NeverRan: rng.IntN(2) == 0, Recalled: rng.IntN(2) == 0, Outcome: text(), RetryAfterMS: rng.Int64N(3) * rng.Int64N(5000)}
		if n := rng.IntN(40); n > 0 {
			want.Body = make([]byte, n)
			for i := range want.Body {
				want.Body[i] = byte(rng.Uint32())
			}
		}
		for range rng.IntN(3) {
			want.Attempts = append(want.Attempts, attemptRecord{At: time.Duration(rng.Int64()), Endpoint: text(), Zone: rng.IntN(2), NeverRan: rng.IntN(2) == 0, Recalled: rng.IntN(2) == 0})
		}
		if rng.IntN(2) == 0 {
			want.Sent = &attemptRecord{At: time.Duration(rng.Int64()), Endpoint: text()}
		}
		if rng.IntN(9) == 0 {
			want.Rates = map[uint32]float64{1: 2.5}
		}
		line, err := appendLine([]byte("before"), &want)
		if err != nil {
			t.Fatal(err)
		}
		var got record
		if !decodeLine(line[len("before"):], &got) || !reflect.DeepEqual(got, want) {
			t.Fatalf("%q is read as %+v, want %+v", line, got, want)
		}
	}
}

func BenchmarkAppendLine(b *testing.B) {
	r := record{Op: opAccept, ID: "9b1f03aa5c7e2d41", Key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Class: "card-event", Tenant: "evergreen-mkt", Dest: 7, Deadline: 1 << 60, Body: make([]byte, 400)}
	var line []byte
	for range b.N {
		line, _ = appendLine(line[:0], &r)
	}
}

// Ended messages are released before the next compaction, which may be far off on a large disk; the order of the others is preserved.
func TestJournal_ReleasesEndedMessages(t *testing.T) {
	j := openTestJournal(t, t.TempDir(), 1<<30)
	first := acceptTestMessage(t, j, "first")
	for i := range 20_000 {
		j.update(acceptTestMessage(t, j, fmt.Sprint(i)), record{Op: opOver, Outcome: outcomeDelivered})
		if len(j.order) > 2000 {
			t.Fatalf("after %d messages %d are in memory", i, len(j.order))
		}
	}
	last := acceptTestMessage(t, j, "last")
	if pending := j.pending(); len(pending) != 2 || pending[0] != first || pending[1] != last {
		t.Errorf("%d messages are pending, or not in order", len(pending))
	}
}
