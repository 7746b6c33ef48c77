package work

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// jain is Jain's index of fairness: 1 if all have the same.
func jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(x)) * squares)
}

// Owners with a million jobs beside one, with slices that cost alike, otherwise, or not what they said: as long as two of
// them have work, what they got over their weights differs by no more than the sum of each one's largest slice over its
// weight, and a little for slices that cost nothing.
func TestScheduler_Fairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := []string{"a", "b", "c", "d"}
		weights := map[string]float64{}
		for _, o := range owners {
			weights[o] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		}
		workers := rapid.IntRange(1, 3).Draw(t, "workers")
		set := Settings{Rates: Rates{CPU: {PerSecond: 1000, Burst: 1e12}, Net: {PerSecond: 500, Burst: 1e12}}, Weights: weights, Limits: Limits{Running: workers}}
		s := New(set, func() float64 { return 0 })
		rnd := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		owner := map[ID]string{}
		var running []ID
		id := ID(0)
		book := func(acts []Action) {
			for _, a := range acts {
				if a, ok := a.(Start); ok {
					running = append(running, a.ID)
				}
			}
		}
		for _, o := range owners {
			for range workers + rapid.IntRange(0, 3).Draw(t, "jobs") { // always one that waits, or runs
				id++
				owner[id] = o
				book(s.Step(0, monday, Submit{Job: Job{ID: id, Kind: "k", Owner: o, Priority: Normal, SliceCost: Cost{CPU: int64(rnd.IntN(50))}}}))
			}
		}
		got, largest := map[string]float64{}, map[string]float64{}
		for n := range 600 {
			i := rnd.IntN(len(running))
			x := running[i]
			running = slices.Delete(running, i, i+1)
			used := Cost{CPU: int64(rnd.IntN(100)), Net: int64(rnd.IntN(20))}
			o := owner[x]
			share := set.Rates.dominantShare(used)
			got[o] += share
			largest[o] = max(largest[o], share, 0.05)
			book(s.Step(time.Duration(n)*time.Millisecond, monday, SliceEnded{ID: x, Used: used, More: true}))
		}
		for _, a := range owners {
			for _, b := range owners {
				lag := math.Abs(got[a]/weights[a] - got[b]/weights[b])
				// With several workers as many slices of each may be under way.
				bound := float64(2*workers) * (largest[a]/weights[a] + largest[b]/weights[b])
				if lag > bound {
					t.Fatalf("%s got %.3f and %s %.3f over their weights: a lag of %.3f, %.3f is the bound", a, got[a]/weights[a], b, got[b]/weights[b], lag, bound)
				}
			}
		}
	})
	// A member with very many jobs beside one with one, which comes later: it goes at once.
	r := newRig(t, one(Settings{}))
	for i := range 20_000 {
		r.submit(Job{ID: ID(i + 1), Kind: "k", Owner: "many", Priority: Normal})
	}
	for range 100 {
		r.end(SliceEnded{Used: Cost{CPU: 1}})
	}
	r.submit(Job{ID: 50_000, Kind: "k", Owner: "single", Priority: Normal})
	r.end(SliceEnded{})
	if r.running[0] != 50_000 {
		t.Errorf("job %d goes first", r.running[0])
	}
	if got := jain([]float64{1, 1, 1, 1}); got != 1 {
		t.Error(got)
	}
}

// An owner whose jobs wait for their time has no claim to what it did not use meanwhile.
func TestScheduler_IdleOwnerHasNoClaim(t *testing.T) {
	r := newRig(t, one(Settings{Rates: Rates{CPU: {PerSecond: 100, Burst: 1e9}}}))
	r.submit(Job{ID: 1, Kind: "k", Owner: "idle", Earliest: 100 * sec}, Job{ID: 2, Kind: "k", Owner: "busy"})
	for r.now < 100*sec {
		r.end(SliceEnded{Used: Cost{CPU: 100}, More: true})
		r.at(r.now + sec)
	}
	got := map[ID]int{}
	for range 20 {
		got[r.end(SliceEnded{Used: Cost{CPU: 100}, More: true})]++
	}
	if got[1] < 8 || got[1] > 12 {
		t.Errorf("of 20 slices the one that was idle has %d", got[1])
	}
}
