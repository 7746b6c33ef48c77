package sender

import (
	"errors"
	"testing"
	"time"

	st "saffronyard.example/saffronyard/internal/sendertest"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// The next incarnation of a message in the journal has the earlier attempts, which decide whether it may be repeated, but does not
// count them as made.
func TestJournal_NextIncarnation(t *testing.T) {
	dir := t.TempDir()
	j, err := openJournal(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	before := []attemptRecord{{At: 1, Endpoint: "a", NeverRan: true, Outcome: "refused"}, {At: 2, Endpoint: "a", Outcome: "timed out"}}
	m, err := j.insert(record{ID: "m", Class: "keyed", Key: "k", Deadline: time.Hour, Incarnation: 2, EarlierAttempts: len(before), Attempts: before})
	if err != nil {
		t.Fatal(err)
	}
	j.update(m, record{Op: opSend, Sent: &attemptRecord{At: 9, Endpoint: "b"}})
	for range 2 { // as written, and as compacted
		if err := j.flush(); err != nil {
			t.Fatal(err)
		}
		if err := j.close(); err != nil {
			t.Fatal(err)
		}
		if j, err = openJournal(dir, 1<<20); err != nil {
			t.Fatal(err)
		}
		got := j.byID["m"]
		if got == nil || got.Incarnation != 2 || got.EarlierAttempts != 2 || len(got.Attempts) != 3 || got.attemptsMade() != 1 {
			t.Fatalf("%+v", got)
		}
		if first, may := got.firstPossibleRun(); !may || first.At != 2 {
			t.Errorf("first run %+v %v", first, may)
		}
	}
	// A delivered message stays until the recorder has its end; no notice is pending.
	j.update(j.byID["m"], record{Op: opOver, Outcome: outcomeDelivered, AwaitsRecorder: true, At: 10})
	if got := j.byID["m"]; got == nil || !got.awaitsRecorder || !got.notified {
		t.Errorf("%+v", got)
	}
	j.update(j.byID["m"], record{Op: opRecorded})
	if j.byID["m"] != nil {
		t.Error("the message is still in the journal")
	}
}

// A query of background work before the journal's messages are resumed must not be taken for discovery's first answer, or an endpoint
// that has drained would get calls. A resend at that time must be rejected, or the message would be resumed from the journal as well.
func TestBackground_QueriesBeforeResume(t *testing.T) {
	old, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, old.Addr)
	p.Change(st.Target("s-0", old.Addr, 0, "DRAINING"))
	p.Change(st.Target("s-1", other.Addr, 0, "SERVING"))
	resent := make(chan error, 1)
	runWith(t, p, func(c *Config) {
		c.Background = true
		leaveMessage(t, c, old, func(*journal) {})
	}, func(s *Sender) {
		go func() {
			resent <- s.Background().Resend(t.Context(), undelivered.Entry{Message: "x", Member: "acme", Class: "unsafe", Ending: undelivered.GivenUp, Effect: undelivered.Unsafe}, 10*time.Second)
		}()
		for deadline := time.Now().Add(st.Wait); len(s.events) == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("no query was posted")
			}
		}
	})
	if err := st.Receive(t, resent); !errors.Is(err, ErrBusy) {
		t.Errorf("a resend before the journal's messages are resumed: %v", err)
	}
	if c := other.Next(t); c.ID != "m" {
		t.Errorf("the new endpoint got %s", c.ID)
	}
	if len(old.Calls) != 0 {
		t.Errorf("the drained endpoint got %s", (<-old.Calls).ID)
	}
}
