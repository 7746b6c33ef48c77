package gateway

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestProgress_NextStep checks each way in which an attempt can end at each stage of an answer.
func TestProgress_NextStep(t *testing.T) {
	type stage struct {
		name      string
		resumable bool
		taken     func(*progress)
	}
	nothing := func(*progress) {}
	numbered := func(p *progress) { p.accept("1", true); p.accept("2", true) }
	unnumbered := func(p *progress) { p.accept("1", true); p.accept("", true) }
	commented := func(p *progress) { p.accept("1", true); p.accept("", false) }
	for _, c := range []struct {
		stage   stage
		partial nextStep // expected if the attempt broke off, is retryable and attempts are left
	}{
		{stage{"resumable, nothing taken", true, nothing}, retry},
		{stage{"resumable, two events taken", true, numbered}, resume},
		{stage{"resumable, an event without an id taken", true, unnumbered}, giveUp},
		{stage{"resumable, a comment taken", true, commented}, resume},
		{stage{"not resumable, nothing taken", false, nothing}, retry},
		{stage{"not resumable, two events taken", false, numbered}, giveUp},
	} {
		for bits := range 16 {
			end := attemptEnd{complete: bits&1 > 0, clientGone: bits&2 > 0, retryable: bits&4 > 0, attemptsLeft: bits&8 > 0}
			p := newProgress(c.stage.resumable, "")
			p.beginAttempt()
			c.stage.taken(&p)
			want := giveUp
			switch {
			case end.complete && !end.clientGone:
				want = finished
			case !end.complete && !end.clientGone && end.retryable && end.attemptsLeft:
				want = c.partial
			}
			if end.complete && end.clientGone {
				want = giveUp
			}
			assert.Equal(t, p.next(end), want, "%s: %+v", c.stage.name, end)
		}
	}
}

// At the start of a resuming attempt no event may be missing. Within an attempt IDs must increase, which upstream.Stream checks.
func TestProgress_NoGapBetweenAttempts(t *testing.T) {
	for _, c := range []struct {
		before []string
		next   string
		passes bool
	}{
		{nil, "1", true},
		{nil, "7", true},
		{[]string{"1", "2"}, "3", true},
		{[]string{"1", "2"}, "4", false},
		{[]string{"1", "2"}, "", false},
		{[]string{"10", "20"}, "30", true}, // IDs are not consecutive, so a gap cannot be detected
		{[]string{"a", "b"}, "c", true},
		{[]string{"1", "2"}, "c", false},
	} {
		p := newProgress(true, "")
		p.beginAttempt()
		for _, id := range c.before {
			assert.Assert(t, p.accept(id, true))
		}
		p.beginAttempt()
		assert.Equal(t, p.accept(c.next, true), c.passes, "%v then %q", c.before, c.next)
	}
}

// A client that reconnects with the ID of its last event is served from the next event on.
func TestProgress_ClientThatReconnects(t *testing.T) {
	p := newProgress(true, "4")
	p.beginAttempt()
	assert.Assert(t, p.accept("5", true))
	assert.Equal(t, p.lastEventID, "5")
	p.beginAttempt()
	assert.Assert(t, !p.accept("7", true))
}

// simulateAttempts simulates attempts that are truncated, duplicated, reordered and emptied, and returns the IDs that were accepted.
// checkIDs enables the check of upstream.Stream that IDs increase.
func simulateAttempts(seed uint64, total int, p *progress, take func(id string) bool, checkIDs bool) (got []string) {
	random := rand.New(rand.NewPCG(seed, 0))
	for range 6 {
		p.beginAttempt()
		from := len(got) + 1
		switch random.IntN(6) {
		case 0: // begins too early, as if Last-Event-Id was ignored
			from = 1
		case 1: // skips events
			from += 1 + random.IntN(3)
		}
		for id := from; id <= min(total, from+random.IntN(6)); id++ {
			last, _ := strconv.Atoi(p.lastEventID)
			if checkIDs && id <= last { // the stream ends as malformed
				break
			}
			if !take(strconv.Itoa(id)) {
				break
			}
			got = append(got, strconv.Itoa(id))
		}
	}
	return got
}

// ascending reports whether IDs that begin with 1 are consecutive. The endpoint decides with which ID the first attempt begins.
func ascending(got []string) bool {
	for i, id := range got {
		if got[0] == "1" && id != strconv.Itoa(i+1) {
			return false
		}
	}
	return true
}

// FuzzProgress checks that the events accepted over several attempts have no gap and no duplicate.
func FuzzProgress(f *testing.F) {
	f.Add(uint64(1), uint8(5))
	f.Add(uint64(99), uint8(20))
	f.Fuzz(func(t *testing.T, seed uint64, events uint8) {
		p := newProgress(true, "")
		got := simulateAttempts(seed, 1+int(events)%24, &p, func(id string) bool { return p.accept(id, true) }, true)
		assert.Assert(t, ascending(got), "seed %d: %v", seed, got)
	})
}

// The simulation must find two injected faults within 200 seeds: a progress that does not check the start of a resuming attempt, and a
// stream whose IDs are not checked.
func TestSimulateAttempts_FindsInjectedFaults(t *testing.T) {
	for name, checkIDs := range map[string]bool{"a gap between attempts": true, "an event duplicated between attempts": false} {
		found := false
		for seed := uint64(0); seed < 200 && !found; seed++ {
			p := newProgress(true, "")
			blind := func(id string) bool { p.lastEventID = id; return true }
			found = !ascending(simulateAttempts(seed, 20, &p, blind, checkIDs))
		}
		assert.Assert(t, found, name)
	}
}
