package knowledge

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A peer that reads the log in portions of any size ends up with the published facts. A fact that only ages is not published again.
func TestChangeLog_Versions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, received, version, now := NewChangeLog(), map[slot]Fact{}, uint64(0), at0
		var last []Fact
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second
			v := NewView(100)
			for _, f := range rapid.SliceOfN(rapid.Custom(drawFact), 0, 6).Draw(t, "facts") {
				f.ObservedAt, f.Since = f.ObservedAt+now-at0, f.Since+now-at0
				v.Add(f, now)
			}
			last = v.OwnFacts()
			log.Update(last, now)
			for range rapid.IntRange(0, 3).Draw(t, "reads") {
				var facts []Fact
				facts, version = log.After(version, rapid.IntRange(1, 4).Draw(t, "most"))
				for _, f := range facts {
					received[slot{f.Subject, f.Kind}] = f
				}
			}
		}
		for version < log.Version() {
			var facts []Fact
			facts, version = log.After(version, 3)
			for _, f := range facts {
				received[slot{f.Subject, f.Kind}] = f
			}
		}
		for _, f := range last {
			got, ok := received[slot{f.Subject, f.Kind}]
			if f.Trust(now) < MinTrust {
				continue
			}
			if !ok || got.Value.State != f.Value.State || isSignificant(&got, &f) {
				t.Fatalf("fact %+v was received as %+v", f, got)
			}
		}
		if log.Update(last, now) {
			t.Fatal("an update without changes is reported as a change")
		}
	})
}

func TestChangeLog_AgeingIsNoChange(t *testing.T) {
	log := NewChangeLog()
	f := fact(Latency, 0, "")
	if !log.Update([]Fact{f}, at0) || log.Update([]Fact{f}, at0+time.Hour) {
		t.Error("a fact that only ages is published again")
	}
	if f.ObservedAt += 20 * time.Minute; log.Update([]Fact{f}, f.ObservedAt) {
		t.Error("a latency that is confirmed early is published again")
	}
	if f.ObservedAt += 20 * time.Minute; !log.Update([]Fact{f}, f.ObservedAt) {
		t.Error("a latency whose trust has fallen is not published again when confirmed")
	}
	peerFact := fact(Health, 0, "a")
	peerFact.ObservedAt, peerFact.Since = f.ObservedAt, f.ObservedAt
	if log.Update([]Fact{f, peerFact}, f.ObservedAt) {
		t.Error("a fact of a peer is published")
	}
	if facts, _ := log.After(0, 10); len(facts) != 1 || facts[0].ObservedAt != f.ObservedAt {
		t.Errorf("%+v", facts)
	}
}

// A sender whose own network is broken reports every receiver as out. Its reports must not outweigh those of other senders.
func TestReports_ReporterWithBrokenNetwork(t *testing.T) {
	r := NewReports(100)
	addReport := func(source string, dest uint32, state State, age time.Duration) {
		f := fact(Health, age, source)
		f.Destination, f.State = dest, state
		r.Add(f, at0)
	}
	verdict := func(dest uint32) string {
		f, ok := r.Verdict(Subject{Destination: dest}, at0)
		return fmt.Sprint(f.State, " ", ok)
	}
	for d := range uint32(10) {
		addReport("broken", d, Unhealthy, 0)
		if d > 0 {
			addReport("sound", d, Healthy, time.Second)
		}
	}
	addReport("sound", 0, Unhealthy, time.Second)
	if got := verdict(0); got != "out true" {
		t.Errorf("receiver 0, out by two reports: %s", got)
	}
	for d := uint32(1); d < 10; d++ {
		if got := verdict(d); got != "serves true" {
			t.Errorf("receiver %d, out by the broken sender only: %s", d, got)
		}
	}
	addReport("broken", 20, Unhealthy, 0)
	if got := verdict(20); got != "unknown false" {
		t.Errorf("reported by the broken sender alone: %s", got)
	}
	addReport("sound", 21, Unhealthy, 0)
	if got := verdict(21); got != "out true" {
		t.Errorf("reported by the sound sender alone: %s", got)
	}
	for d := uint32(50); d < 60; d++ { // a sender that reports most receivers as out, but not all
		state := Unhealthy
		if d >= 56 {
			state = Healthy
		}
		addReport("shaky", d, state, 0)
	}
	if got := verdict(50); got != "unknown false" {
		t.Errorf("reported alone by a sender that reports most receivers as out: %s", got)
	}
	// A receiver that serves two senders is not out because of a third; reports of an earlier incarnation are dropped.
	addReport("a", 30, Unhealthy, 0)
	addReport("b", 30, Healthy, 0)
	addReport("c", 30, Healthy, time.Second)
	if got := verdict(30); got != "serves true" {
		t.Errorf("two healthy reports against one outage: %s", got)
	}
	f := fact(Health, 0, "a")
	f.Destination, f.State, f.Source.Incarnation = 40, Healthy, 2
	r.Add(f, at0)
	if _, ok := r.bySource[Source{"a", 1}]; ok {
		t.Error("reports of an earlier incarnation are kept")
	}
	f.Source.Incarnation = 1
	if r.Add(f, at0); r.bySource[Source{"a", 1}] != nil {
		t.Error("a report of an earlier incarnation is accepted")
	}
	r.Forget("sound")
	if got := verdict(21); got != "unknown false" {
		t.Errorf("after the sender was forgotten: %s", got)
	}
}
