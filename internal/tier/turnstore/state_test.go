package turnstore

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func reservedFact(attempt string, maxTokens uint64) *tierv1.Fact {
	return &tierv1.Fact{Program: "p", Attempt: attempt, Of: &tierv1.Fact_Reserved{Reserved: &tierv1.Reservation{
		Limited: true, Budget: 100, MaxTokens: maxTokens}}}
}

func settledFact(attempt, previous string, tokens uint64, withTurn bool) *tierv1.Fact {
	s := &tierv1.Settlement{Tokens: tokens}
	if withTurn {
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
		chain, status := p.chain("c", false, 0, now)
		assert.Equal(t, status, chainComplete)
		assert.Equal(t, len(chain), 3)
	}
}
