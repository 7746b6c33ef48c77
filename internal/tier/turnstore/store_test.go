package turnstore

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func reservedFact(attempt string, most uint64) *tierv1.Fact {
	return &tierv1.Fact{Program: "p", Attempt: attempt, Of: &tierv1.Fact_Reserved{Reserved: &tierv1.Reservation{
		Limited: true, Budget: 100, Most: most}}}
}

func settledFact(attempt, previous string, tokens uint64, kept bool) *tierv1.Fact {
	s := &tierv1.Settlement{Tokens: tokens}
	if kept {
		s.Turn = turn("p", attempt, previous)
	}
	return &tierv1.Fact{Program: "p", Attempt: attempt, Of: &tierv1.Fact_Settled{Settled: s}}
}

func adoptedFact(attempt, previous string) *tierv1.Fact {
	return &tierv1.Fact{Program: "q", Attempt: attempt, Of: &tierv1.Fact_Adopted{Adopted: turn("q", attempt, previous)}}
}

func TestState_AddCommutes(t *testing.T) {
	facts := []*tierv1.Fact{reservedFact("a", 20), settledFact("a", "", 7, true), settledFact("a", "", 9, false), reservedFact("b", 30),
		adoptedFact("x", ""), adoptedFact("y", "x"), settledFact("c", "y", 5, true), reservedFact("c", 20), adoptedFact("a", ""), reservedFact("a", 20)}
	now := time.Now()
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s := newState()
		for _, i := range rng.Perm(len(facts)) {
			s.add(facts[i], now)
			if rng.IntN(2) == 0 {
				s.add(facts[rng.IntN(i+1)], now)
			}
		}
		for _, f := range facts {
			assert.Assert(t, !s.add(f, now))
		}
		p := s.partition(0)
		assert.Equal(t, p.programs["p"].charged, uint64(9+30+5))
		chain, stands := p.chain("c", false, 0, now)
		assert.Equal(t, stands, chainComplete)
		assert.Equal(t, len(chain), 3)
	}
}

func TestState_RemoveExpired(t *testing.T) {
	s, now := newState(), time.Now()
	p := s.partition(0)
	s.add(settledFact("a", "", 1, true), now)
	s.add(reservedFact("b", 20), now)
	later := now.Add(50 * time.Second)
	s.add(settledFact("b", "a", 1, true), later)
	at := now.Add(100 * time.Second) // a is past its retention, and b's chain is not
	s.removeExpired(p, 30*time.Second, 120*time.Second, at)
	_, stands := p.chain("a", false, 0, at)
	assert.Equal(t, stands, chainAbsent)
	_, stands = p.chain("b", false, 0, at)
	assert.Equal(t, stands, chainComplete)
	at = later.Add(91 * time.Second)
	s.removeExpired(p, 30*time.Second, 120*time.Second, at)
	assert.Assert(t, p.entries["b"].turn == nil)
	assert.Equal(t, p.programs["p"].charged, uint64(2)) // the budget is remembered for longer
	s.removeExpired(p, 30*time.Second, 120*time.Second, later.Add(200*time.Second))
	assert.Equal(t, len(p.entries), 0)
	assert.Equal(t, len(p.programs), 0)
	assert.Equal(t, s.memory, int64(0))
	assert.Equal(t, s.disk, int64(0))
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

// A program whose turns are not kept may come again for as long as its route keeps turns: its charges are held that long, also
// after a restart.
func TestState_ChargesOutliveRetention(t *testing.T) {
	const retention = 10 * time.Minute
	reserved := &tierv1.Fact{Program: "p", Attempt: "a", Of: &tierv1.Fact_Reserved{
		Reserved: &tierv1.Reservation{Limited: true, Budget: 100, Most: 60, RetentionMs: uint32(retention.Milliseconds())}}}
	first, now := newState(), time.Now()
	first.add(reserved, now)
	again := newState()
	for _, fact := range first.partition(0).facts(first.partition(0).entries["a"]) {
		again.add(fact, now)
	}
	for _, s := range []*state{first, again} {
		p := s.partition(0)
		s.removeExpired(p, 30*time.Second, 120*time.Second, now.Add(retention+119*time.Second))
		assert.Assert(t, !p.budgetAllows("p", 100, 41, 0))
		s.removeExpired(p, 30*time.Second, 120*time.Second, now.Add(retention+121*time.Second))
		assert.Assert(t, p.budgetAllows("p", 100, 100, 0))
		assert.Equal(t, len(p.entries), 0)
	}
}
