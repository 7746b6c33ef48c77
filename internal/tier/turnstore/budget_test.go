package turnstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// takeover returns a cluster whose primary has settled t1 with 10 tokens and reserved 80 for t2, and has lost its disk; b takes over.
func takeover(t *testing.T) (*cluster, *checker) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	assert.Equal(t, k.begin("a", beginRequestMaxTokens("t2", 80)), ok)
	c.crash("a", true)
	c.assign("b", "?c")
	c.publish("b", "c")
	return c, k
}

// While the release of t2 may be in flight after a takeover, the budget does not count as spent. After the release, t3 is granted.
func TestBudget_BusyWhileTakeoverDelaysRelease(t *testing.T) {
	_, k := takeover(t)
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t3", 20)), busy)
	assert.Equal(t, k.release("b", "t2"), ok)
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t3", 20)), ok)
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t4", 71)), spent) // t3 was begun here, and t1 is settled
}

// A release that reached only the primary before its loss is retried at the next primary.
func TestBudget_TakeoverDuringRelease(t *testing.T) {
	c, k := newPair(t)
	assert.Equal(t, k.begin("a", beginRequestMaxTokens("t1", 100)), ok)
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
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t2", 100)), busy)
	assert.Equal(t, k.release("b", "t1"), ok)
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t2", 100)), ok)
}

// A reservation that is not released within the grace period counts as one of a turn in progress.
func TestBudget_SpentAfterReleaseGracePeriod(t *testing.T) {
	c, k := takeover(t)
	c.advance(DefaultReleaseGracePeriod - time.Nanosecond)
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t3", 20)), busy)
	c.advance(time.Nanosecond)
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t3", 20)), spent)
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t4", 10)), ok)
}

// Settled tokens cannot be released, so a budget spent by them is answered with SPENT at once, even right after a takeover.
func TestBudget_SettledTokensAreSpentRightAfterTakeover(t *testing.T) {
	c, k := newPair(t)
	assert.Equal(t, k.begin("a", beginRequest("t1", "")), ok)
	assert.Equal(t, k.settle("a", "p", "t1", "", 20), ok)
	assert.Equal(t, k.begin("a", beginRequestMaxTokens("t2", 1)), ok)
	c.crash("a", true)
	c.assign("b", "?c")
	c.publish("b", "c")
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t3", 81)), spent)
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t4", 80)), busy)
	assert.Equal(t, k.begin("b", beginRequestMaxTokens("t5", 79)), ok)
}

// A reservation made at this primary counts as one of a turn in progress until it is released, without a grace period.
func TestBudget_SpentWhileReservationOfThisTermIsOpen(t *testing.T) {
	_, k := newPair(t)
	assert.Equal(t, k.begin("a", beginRequestMaxTokens("t1", 100)), ok)
	assert.Equal(t, k.begin("a", beginRequestMaxTokens("t2", 1)), spent)
}

// A primary that continues with another backup has received every release, so there is no grace period. After a gap in its epochs
// there is one, as another turn store may have been the primary.
func TestBudget_NoGracePeriodForContinuedTerm(t *testing.T) {
	c, k := newPair(t)
	assert.Equal(t, k.begin("a", beginRequestMaxTokens("t1", 100)), ok)
	c.assign("a", "?c")
	c.publish()
	assert.Equal(t, k.begin("a", beginRequestMaxTokens("t2", 1)), spent)
	c.assign("a", "?b")
	c.assign("a", "?c")
	c.publish()
	assert.Equal(t, k.begin("a", beginRequestMaxTokens("t2", 1)), busy)
	c.advance(DefaultReleaseGracePeriod)
	assert.Equal(t, k.begin("a", beginRequestMaxTokens("t2", 1)), spent)
}

// A recovering primary accepts no release before the control plane has confirmed the recovery. The grace period begins then, and does
// not begin again.
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
		settled, before, here uint64 // charges: settled, reserved before this primary's terms, reserved in them
		own                   uint64 // reserved by the attempt itself before this primary's terms
		maxTokens             uint64
		after                 time.Duration
		want                  tierv1.Verdict
	}{
		"room for it":                  {30, 30, 30, 0, 10, 0, ok},
		"the earlier may be released":  {30, 30, 30, 0, 40, 0, busy},
		"not all by these":             {30, 30, 30, 0, 41, 0, spent},
		"settled alone":                {100, 0, 0, 0, 1, 0, spent},
		"settled, with one to release": {90, 5, 0, 0, 11, 0, spent},
		"begun here alone":             {0, 0, 100, 0, 1, 0, spent},
		"overdrawn":                    {101, 50, 0, 0, 1, 0, spent},
		"more than the budget":         {0, 50, 0, 0, 101, 0, spent},
		"its own":                      {50, 0, 0, 50, 50, 0, ok},
		"its own is not released":      {60, 0, 0, 50, 50, 0, spent},
		"its own, and the earlier":     {0, 60, 0, 50, 50, 0, busy},
		"just within the time":         {0, 100, 0, 0, 1, releaseTime - 1, busy},
		"the time is over":             {0, 100, 0, 0, 1, releaseTime, spent},
		"the time is over, with room":  {0, 99, 0, 0, 1, releaseTime, ok},
		"the largest number of tokens": {0, 100, 0, 0, ^uint64(0), 0, spent},
	} {
		t.Run(name, func(t *testing.T) {
			s := newState()
			p := s.partition(0)
			p.term = &term{id: 8, firstID: 7, primarySince: began}
			reserved := func(attempt string, maxTokens, term uint64) {
				if maxTokens > 0 {
					s.add(reservedFact(attempt, maxTokens), began)
					p.entries[attempt].term = term
				}
			}
			reserved("before", test.before, 6)
			reserved("here", test.here, 7)
			reserved("own", test.own, 0)
			s.add(settledFact("settled", "", test.settled, false), began)
			s.add(&tierv1.Fact{Program: "other", Attempt: "another's", Of: reservedFact("", 100).Of}, began)
			r := beginRequestMaxTokens("own", test.maxTokens)
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
