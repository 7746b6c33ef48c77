package work

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// jain returns Jain's fairness index: 1 if all values are equal.
func jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(x)) * squares)
}

// Owners with different weights always have work, and slices use random amounts that differ from the estimates. For any two owners, the
// dominant shares received, divided by weight, differ by no more than a bound: the sum of each owner's largest slice divided by its
// weight, times twice the number of workers. A minimum slice size in the bound allows for slices that use nothing.
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
		recordStarts := func(acts []Action) {
			for _, a := range acts {
				if a, ok := a.(Start); ok {
					running = append(running, a.ID)
				}
			}
		}
		for _, o := range owners {
			for range workers + rapid.IntRange(0, 3).Draw(t, "jobs") { // more jobs than workers: each owner always has one that is ready or running
				id++
				owner[id] = o
				recordStarts(s.Step(0, monday, Submit{Job: Job{ID: id, Kind: "k", Owner: o, Priority: Normal, SliceCost: Cost{CPU: int64(rnd.IntN(50))}}}))
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
			recordStarts(s.Step(time.Duration(n)*time.Millisecond, monday, SliceEnded{ID: x, Used: used, More: true}))
		}
		for _, a := range owners {
			for _, b := range owners {
				lag := math.Abs(got[a]/weights[a] - got[b]/weights[b])
				// Each owner may have as many slices in flight as there are workers.
				bound := float64(2*workers) * (largest[a]/weights[a] + largest[b]/weights[b])
				if lag > bound {
					t.Fatalf("%s got %.3f and %s got %.3f, divided by weight: the lag is %.3f, the bound %.3f", a, got[a]/weights[a], b, got[b]/weights[b], lag, bound)
				}
			}
		}
	})
	// An owner's only job starts next even if another owner submitted very many jobs before it.
	r := newRig(t, singleWorker(Settings{}))
	for i := range 20_000 {
		r.submit(Job{ID: ID(i + 1), Kind: "k", Owner: "many", Priority: Normal})
	}
	for range 100 {
		r.end(SliceEnded{Used: Cost{CPU: 1}})
	}
	r.submit(Job{ID: 50_000, Kind: "k", Owner: "single", Priority: Normal})
	r.end(SliceEnded{})
	if r.running[0] != 50_000 {
		t.Errorf("job %d starts first, want 50000", r.running[0])
	}
	if got := jain([]float64{1, 1, 1, 1}); got != 1 {
		t.Error(got)
	}
}

// An owner whose only job is delayed has no claim to the budget that it does not use meanwhile.
func TestScheduler_IdleOwnerHasNoClaim(t *testing.T) {
	r := newRig(t, singleWorker(Settings{Rates: Rates{CPU: {PerSecond: 100, Burst: 1e9}}}))
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
		t.Errorf("the owner that was idle got %d of 20 slices, want about 10", got[1])
	}
}
