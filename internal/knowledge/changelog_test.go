package knowledge

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whoever follows, in whatever portions, comes to hold what is told; what only ages is not told again.
func TestChangeLog_Versions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tell, heard, version, now := NewChangeLog(), map[slot]Fact{}, uint64(0), at0
		var last []Fact
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "passes")) * time.Second
			v := NewView(100)
			for _, f := range rapid.SliceOfN(rapid.Custom(drawn), 0, 6).Draw(t, "facts") {
				f.ObservedAt, f.Since = f.ObservedAt+now-at0, f.Since+now-at0
				v.Add(f, now)
			}
			last = v.OwnFacts()
			tell.Update(last, now)
			for range rapid.IntRange(0, 3).Draw(t, "reads") {
				var facts []Fact
				facts, version = tell.After(version, rapid.IntRange(1, 4).Draw(t, "most"))
				for _, f := range facts {
					heard[slot{f.Subject, f.Kind}] = f
				}
			}
		}
		for version < tell.Version() {
			var facts []Fact
			facts, version = tell.After(version, 3)
			for _, f := range facts {
				heard[slot{f.Subject, f.Kind}] = f
			}
		}
		for _, f := range last {
			got, ok := heard[slot{f.Subject, f.Kind}]
			if f.Trust(now) < MinTrust {
				continue
			}
			if !ok || got.Value.State != f.Value.State || isSignificant(&got, &f) {
				t.Fatalf("%+v came as %+v", f, got)
			}
		}
		if tell.Update(last, now) {
			t.Fatal("the same again is news")
		}
	})
}

func TestChangeLog_AgeingIsNoChange(t *testing.T) {
	tell := NewChangeLog()
	f := fact(Latency, 0, "")
	if !tell.Update([]Fact{f}, at0) || tell.Update([]Fact{f}, at0+time.Hour) {
		t.Error("a fact that grows older is told again")
	}
	if f.ObservedAt += 20 * time.Minute; tell.Update([]Fact{f}, f.ObservedAt) {
		t.Error("a pace that is confirmed is told again at once")
	}
	if f.ObservedAt += 20 * time.Minute; !tell.Update([]Fact{f}, f.ObservedAt) {
		t.Error("a pace that others trust by half only is not told again")
	}
	heard := fact(Health, 0, "a")
	heard.ObservedAt, heard.Since = f.ObservedAt, f.ObservedAt
	if tell.Update([]Fact{f, heard}, f.ObservedAt) {
		t.Error("what was heard is told on")
	}
	if facts, _ := tell.After(0, 10); len(facts) != 1 || facts[0].ObservedAt != f.ObservedAt {
		t.Errorf("%+v", facts)
	}
}

// A sender whose own line is broken holds every receiver to be out: it does not talk others into that.
func TestReports_ReporterWithBrokenNetwork(t *testing.T) {
	r := NewReports(100)
	say := func(source string, dest uint32, state State, age time.Duration) {
		f := fact(Health, age, source)
		f.Destination, f.State = dest, state
		r.Add(f, at0)
	}
	verdict := func(dest uint32) string {
		f, ok := r.Verdict(Subject{Destination: dest}, at0)
		return fmt.Sprint(f.State, " ", ok)
	}
	for d := range uint32(10) {
		say("broken", d, Unhealthy, 0)
		if d > 0 {
			say("sound", d, Healthy, time.Second)
		}
	}
	say("sound", 0, Unhealthy, time.Second)
	if got := verdict(0); got != "out true" {
		t.Errorf("what two see is out: %s", got)
	}
	for d := uint32(1); d < 10; d++ {
		if got := verdict(d); got != "serves true" {
			t.Errorf("receiver %d: %s", d, got)
		}
	}
	say("broken", 20, Unhealthy, 0)
	if got := verdict(20); got != "unknown false" {
		t.Errorf("what the one with a broken line tells alone: %s", got)
	}
	say("sound", 21, Unhealthy, 0)
	if got := verdict(21); got != "out true" {
		t.Errorf("what a sound one tells alone: %s", got)
	}
	for d := uint32(50); d < 60; d++ { // one that sees most fail, and not all
		state := Unhealthy
		if d >= 56 {
			state = Healthy
		}
		say("shaky", d, state, 0)
	}
	if got := verdict(50); got != "unknown false" {
		t.Errorf("what one tells alone that sees most fail: %s", got)
	}
	// One that serves for two is not out for a third; and reports of a life that has ended count for nothing.
	say("a", 30, Unhealthy, 0)
	say("b", 30, Healthy, 0)
	say("c", 30, Healthy, time.Second)
	if got := verdict(30); got != "serves true" {
		t.Errorf("two against one: %s", got)
	}
	f := fact(Health, 0, "a")
	f.Destination, f.State, f.Source.Incarnation = 40, Healthy, 2
	r.Add(f, at0)
	if _, ok := r.bySource[Source{"a", 1}]; ok {
		t.Error("an earlier life's reports stand")
	}
	f.Source.Incarnation = 1
	if r.Add(f, at0); r.bySource[Source{"a", 1}] != nil {
		t.Error("an earlier life comes back")
	}
	r.Forget("sound")
	if got := verdict(21); got != "unknown false" {
		t.Errorf("of one that is forgotten: %s", got)
	}
}
