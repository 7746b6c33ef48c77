package sender

import (
	"testing"
	"time"
)

// A message's next life in the journal: its attempts of before are there for what is lawful, and do not count as made.
func TestNextLifeInTheJournal(t *testing.T) {
	dir := t.TempDir()
	j, err := openJournal(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	before := []try{{At: 1, Endpoint: "a", Never: true, Out: "refused"}, {At: 2, Endpoint: "a", Out: "timed out"}}
	m, err := j.put(record{ID: "m", Class: "keyed", Key: "k", Deadline: time.Hour, Life: 2, Before: len(before), Tries: before})
	if err != nil {
		t.Fatal(err)
	}
	j.note(m, record{Op: "send", Sent: &try{At: 9, Endpoint: "b"}})
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
		if got == nil || got.Life != 2 || got.Before != 2 || len(got.Tries) != 3 || got.made() != 1 {
			t.Fatalf("%+v", got)
		}
		if first, may := got.firstRun(); !may || first.At != 2 {
			t.Errorf("first run %+v %v", first, may)
		}
	}
	// Delivered, it stays until the recorder has heard so, with nobody else to be told.
	j.note(j.byID["m"], record{Op: "over", How: delivered, Keep: true, At: 10})
	if got := j.byID["m"]; got == nil || !got.keep || !got.told {
		t.Errorf("%+v", got)
	}
	j.note(j.byID["m"], record{Op: "kept"})
	if j.byID["m"] != nil {
		t.Error("it is not forgotten")
	}
}
