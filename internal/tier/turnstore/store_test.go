package turnstore

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func reserve(attempt string, most uint64) *tierv1.Fact {
	return &tierv1.Fact{Program: "p", Attempt: attempt, Of: &tierv1.Fact_Reserved{Reserved: &tierv1.Reservation{
		Limited: true, Budget: 100, Most: most}}}
}

func settled(attempt, previous string, tokens uint64, kept bool) *tierv1.Fact {
	s := &tierv1.Settlement{Tokens: tokens}
	if kept {
		s.Turn = turn("p", attempt, previous)
	}
	return &tierv1.Fact{Program: "p", Attempt: attempt, Of: &tierv1.Fact_Settled{Settled: s}}
}

func adopted(attempt, previous string) *tierv1.Fact {
	return &tierv1.Fact{Program: "q", Attempt: attempt, Of: &tierv1.Fact_Adopted{Adopted: turn("q", attempt, previous)}}
}

func TestUnionIsTheSameInAnyOrder(t *testing.T) {
	facts := []*tierv1.Fact{reserve("a", 20), settled("a", "", 7, true), settled("a", "", 9, false), reserve("b", 30),
		adopted("x", ""), adopted("y", "x"), settled("c", "y", 5, true), reserve("c", 20), adopted("a", ""), reserve("a", 20)}
	now := time.Now()
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s := newStore()
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
		assert.Equal(t, stands, whole)
		assert.Equal(t, len(chain), 3)
	}
}

func TestRetention(t *testing.T) {
	s, now := newStore(), time.Now()
	p := s.partition(0)
	s.add(settled("a", "", 1, true), now)
	s.add(reserve("b", 20), now)
	later := now.Add(50 * time.Second)
	s.add(settled("b", "a", 1, true), later)
	at := now.Add(100 * time.Second) // a is past its retention, and b's chain is not
	s.sweep(p, 30*time.Second, 120*time.Second, at)
	_, stands := p.chain("a", false, 0, at)
	assert.Equal(t, stands, absent)
	_, stands = p.chain("b", false, 0, at)
	assert.Equal(t, stands, whole)
	at = later.Add(91 * time.Second)
	s.sweep(p, 30*time.Second, 120*time.Second, at)
	assert.Assert(t, p.entries["b"].turn == nil)
	assert.Equal(t, p.programs["p"].charged, uint64(2)) // the budget is remembered for longer
	s.sweep(p, 30*time.Second, 120*time.Second, later.Add(200*time.Second))
	assert.Equal(t, len(p.entries), 0)
	assert.Equal(t, len(p.programs), 0)
	assert.Equal(t, s.memory, int64(0))
	assert.Equal(t, s.disk, int64(0))
}

func TestRoom(t *testing.T) {
	s, now := newStore(), time.Now()
	s.add(reserve("a", 60), now)
	p := s.partition(0)
	assert.Assert(t, p.room("p", 100, 40, 0))
	assert.Assert(t, !p.room("p", 100, 41, 0))
	assert.Assert(t, !p.room("p", 50, 1, 0))
	assert.Assert(t, !p.room("p", 100, ^uint64(0), 0))
	assert.Assert(t, p.room("p", 100, 100, 60))
	s.add(settled("a", "", 10, false), now)
	assert.Assert(t, p.room("p", 100, 90, 0))
}

// A program whose turns are not kept may come again for as long as its route keeps turns: its charges are held that long, also
// after a restart.
func TestChargesOutliveTheRetentionOfTheRoute(t *testing.T) {
	const retention = 10 * time.Minute
	reserved := &tierv1.Fact{Program: "p", Attempt: "a", Of: &tierv1.Fact_Reserved{
		Reserved: &tierv1.Reservation{Limited: true, Budget: 100, Most: 60, RetentionMs: uint32(retention.Milliseconds())}}}
	first, now := newStore(), time.Now()
	first.add(reserved, now)
	again := newStore()
	for _, fact := range first.partition(0).facts(first.partition(0).entries["a"]) {
		again.add(fact, now)
	}
	for _, s := range []*store{first, again} {
		p := s.partition(0)
		s.sweep(p, 30*time.Second, 120*time.Second, now.Add(retention+119*time.Second))
		assert.Assert(t, !p.room("p", 100, 41, 0))
		s.sweep(p, 30*time.Second, 120*time.Second, now.Add(retention+121*time.Second))
		assert.Assert(t, p.room("p", 100, 100, 0))
		assert.Equal(t, len(p.entries), 0)
	}
}
