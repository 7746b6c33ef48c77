package turnstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// takeover is a primary whose turn t1 has cost 10 tokens, and t2 may cost 80 more; then its disk is lost, and b takes over.
func takeover(t *testing.T) (*cluster, *checker) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	assert.Equal(t, k.begin("a", askMaxTokens("t2", 80)), ok)
	c.crash("a", true)
	c.assign("b", "?c")
	c.publish("b", "c")
	return c, k
}

// While a gateway releases t2, and found no turn store for it, the budget is not spent: there is room once it is through.
func TestBudget_BusyWhileTakeoverDelaysRelease(t *testing.T) {
	_, k := takeover(t)
	assert.Equal(t, k.begin("b", askMaxTokens("t3", 20)), busy)
	assert.Equal(t, k.release("b", "t2"), ok)
	assert.Equal(t, k.begin("b", askMaxTokens("t3", 20)), ok)
	assert.Equal(t, k.begin("b", askMaxTokens("t4", 71)), spent) // t3 was begun here, and t1 is settled
}

// A release that reached the primary alone before it was lost comes again to the next one.
func TestBudget_TakeoverDuringRelease(t *testing.T) {
	c, k := newPair(t)
	assert.Equal(t, k.begin("a", askMaxTokens("t1", 100)), ok)
	c.mu.Lock()
	c.nodes["b"].partitioned = true
	c.mu.Unlock()
	assert.Equal(t, k.release("a", "t1"), busy)
	c.crash("a", true)
	c.mu.Lock()
	c.nodes["b"].partitioned = false
	c.mu.Unlock()
	c.assign("b", "?c")
	c.publish("b", "c")
	assert.Equal(t, k.begin("b", askMaxTokens("t2", 100)), busy)
	assert.Equal(t, k.release("b", "t1"), ok)
	assert.Equal(t, k.begin("b", askMaxTokens("t2", 100)), ok)
}

// A reservation whose release has not come within the time for it counts as one of a turn that is under way.
func TestBudget_SpentAfterReleaseGracePeriod(t *testing.T) {
	c, k := takeover(t)
	c.advance(DefaultReleaseGracePeriod - time.Nanosecond)
	assert.Equal(t, k.begin("b", askMaxTokens("t3", 20)), busy)
	c.advance(time.Nanosecond)
	assert.Equal(t, k.begin("b", askMaxTokens("t3", 20)), spent)
	assert.Equal(t, k.begin("b", askMaxTokens("t4", 10)), ok)
}

// What is settled leaves no room: that is answered at once, right after a takeover too.
func TestBudget_SettledTokensAreSpentRightAfterTakeover(t *testing.T) {
	c, k := newPair(t)
	assert.Equal(t, k.begin("a", ask("t1", "")), ok)
	assert.Equal(t, k.settle("a", "p", "t1", "", 20), ok)
	assert.Equal(t, k.begin("a", askMaxTokens("t2", 1)), ok)
	c.crash("a", true)
	c.assign("b", "?c")
	c.publish("b", "c")
	assert.Equal(t, k.begin("b", askMaxTokens("t3", 81)), spent)
	assert.Equal(t, k.begin("b", askMaxTokens("t4", 80)), busy)
	assert.Equal(t, k.begin("b", askMaxTokens("t5", 79)), ok)
}

// A turn that was begun at this primary is under way until its release comes, however young it is.
func TestBudget_SpentWhileReservationOfThisTermIsOpen(t *testing.T) {
	_, k := newPair(t)
	assert.Equal(t, k.begin("a", askMaxTokens("t1", 100)), ok)
	assert.Equal(t, k.begin("a", askMaxTokens("t2", 1)), spent)
}

// A primary that continues with another backup has taken every release: its answer needs no wait. Where it may have missed
// an epoch, another may have been the primary.
func TestBudget_NoGracePeriodForContinuedTerm(t *testing.T) {
	c, k := newPair(t)
	assert.Equal(t, k.begin("a", askMaxTokens("t1", 100)), ok)
	c.assign("a", "?c")
	c.publish()
	assert.Equal(t, k.begin("a", askMaxTokens("t2", 1)), spent)
	c.assign("a", "?b")
	c.assign("a", "?c")
	c.publish()
	assert.Equal(t, k.begin("a", askMaxTokens("t2", 1)), busy)
	c.advance(DefaultReleaseGracePeriod)
	assert.Equal(t, k.begin("a", askMaxTokens("t2", 1)), spent)
}

// A primary that recovers takes no release before the control plane knows that it has: the time for releases begins then, once.
func TestBudget_GracePeriodStartsWhenRecoveryIsConfirmed(t *testing.T) {
	now := time.Now()
	v := &TurnStore{folder: "a", cfg: Config{Now: func() time.Time { return now }}}
	began := now
	p := &partition{role: role{epoch: 5, primary: "a", term: &term{epoch: 5, unconfirmed: true, primarySince: began}}}
	now = now.Add(time.Minute)
	v.assign(p, &tierv1.Partition{Epoch: 5, Primary: "a", RecoverFrom: []string{"b"}})
	assert.Assert(t, p.term.unconfirmed && p.term.primarySince.Equal(began))
	confirmed := now.Add(time.Minute)
	now = confirmed
	v.assign(p, &tierv1.Partition{Epoch: 5, Primary: "a"})
	assert.Assert(t, !p.term.unconfirmed && p.term.primarySince.Equal(confirmed))
	now = now.Add(time.Minute)
	v.assign(p, &tierv1.Partition{Epoch: 5, Primary: "a"})
	assert.Assert(t, p.term.primarySince.Equal(confirmed))
}

func TestPartition_BudgetVerdict(t *testing.T) {
	const releaseTime = time.Second
	began := time.Now()
	for name, test := range map[string]struct {
		settled, before, here uint64 // charged: settled, reserved before this primary's time, reserved in it
		own                   uint64 // charged to the attempt itself, before this primary's time
		most                  uint64
		after                 time.Duration
		want                  tierv1.Verdict
	}{
		"room for it":                    {30, 30, 30, 0, 10, 0, ok},
		"the earlier may be released":    {30, 30, 30, 0, 40, 0, busy},
		"not all by these":               {30, 30, 30, 0, 41, 0, spent},
		"settled alone":                  {100, 0, 0, 0, 1, 0, spent},
		"settled, with one to release":   {90, 5, 0, 0, 11, 0, spent},
		"begun here alone":               {0, 0, 100, 0, 1, 0, spent},
		"overdrawn":                      {101, 50, 0, 0, 1, 0, spent},
		"more than the budget":           {0, 50, 0, 0, 101, 0, spent},
		"its own":                        {50, 0, 0, 50, 50, 0, ok},
		"its own is not released":        {60, 0, 0, 50, 50, 0, spent},
		"its own, and the earlier":       {0, 60, 0, 50, 50, 0, busy},
		"just within the time":           {0, 100, 0, 0, 1, releaseTime - 1, busy},
		"the time is over":               {0, 100, 0, 0, 1, releaseTime, spent},
		"the time is over, with room":    {0, 99, 0, 0, 1, releaseTime, ok},
		"a number beyond all that is so": {0, 100, 0, 0, ^uint64(0), 0, spent},
	} {
		t.Run(name, func(t *testing.T) {
			s := newState()
			p := s.partition(0)
			p.term = &term{id: 8, firstID: 7, primarySince: began}
			reserved := func(attempt string, most, term uint64) {
				if most > 0 {
					s.add(reservedFact(attempt, most), began)
					p.entries[attempt].term = term
				}
			}
			reserved("before", test.before, 6)
			reserved("here", test.here, 7)
			reserved("own", test.own, 0)
			s.add(settledFact("settled", "", test.settled, false), began)
			s.add(&tierv1.Fact{Program: "other", Attempt: "another's", Of: reservedFact("", 100).Of}, began)
			r := askMaxTokens("own", test.most)
			assert.Equal(t, p.budgetVerdict(r, test.own, releaseTime, began.Add(test.after)), test.want)
		})
	}
}

func TestPartition_BudgetAllows(t *testing.T) {
	s, now := newState(), time.Now()
	s.add(reservedFact("a", 60), now)
	p := s.partition(0)
	assert.Assert(t, p.budgetAllows("p", 100, 40, 0))
	assert.Assert(t, !p.budgetAllows("p", 100, 41, 0))
	assert.Assert(t, !p.budgetAllows("p", 50, 1, 0))
	assert.Assert(t, !p.budgetAllows("p", 100, ^uint64(0), 0))
	assert.Assert(t, p.budgetAllows("p", 100, 100, 60))
	s.add(settledFact("a", "", 10, false), now)
	assert.Assert(t, p.budgetAllows("p", 100, 90, 0))
}
