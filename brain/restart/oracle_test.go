package restart

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

func TestOptimum_AgainstDirectComputation(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	for trial := range 20 {
		var o Oracle
		var times, weights []float64
		late, w := 0.0, 1.0
		for range 60 + rnd.Intn(200) {
			w *= sampleDecay
			if rnd.Intn(12) == 0 {
				o.AddSample(0, ExploreWeight, true)
				late += w * ExploreWeight
				continue
			}
			d := time.Duration(math.Exp(rnd.NormFloat64()-1) * float64(time.Second))
			o.AddSample(d, 1, false)
			times, weights = append(times, d.Seconds()), append(weights, w)
		}
		// Ê at each bound from the plain list of samples.
		all := late
		for _, x := range weights {
			all += x
		}
		ehat := func(k int) (e, inside, below float64) {
			bound, prev := float64(k+1)*0.06, float64(k)*0.06
			n, sum := 0.0, 0.0
			for i, x := range times {
				if x < bound {
					n += weights[i]
					sum += weights[i] * x
				}
				if x < prev {
					below += weights[i]
				}
			}
			if n == 0 {
				return math.Inf(1), 0, 0
			}
			f := n / all
			return sum/n/f + (1-f)/f*bound, n, below
		}
		least := math.Inf(1)
		for k := range bucketCount {
			e, _, _ := ehat(k)
			least = min(least, e)
		}
		longest, floor := 0.0, 0.0
		for k := range bucketCount {
			e, n, below := ehat(k)
			if n > below { // a bucket with samples
				if e <= least*nearOptimal {
					longest = float64(k+1) * 0.06
				}
				if below < answeredQuantile*(all-late) {
					floor = float64(k+1) * 0.06 * answeredFactor
				}
			}
		}
		want := math.Min(math.Max(longest, floor), 60)
		if got := o.Optimum().Seconds(); math.Abs(got-want) > 1e-6 {
			t.Fatalf("trial %d: τ = %v s, computed directly %v s", trial, got, want)
		}
	}
}

func TestTimeout_FirstAndDoubling(t *testing.T) {
	var o Oracle
	if o.Timeout() != FirstTimeout {
		t.Fatalf("before any sample τ = %v", o.Timeout())
	}
	o.RecordTimeout(time.Second, 5*time.Second)
	o.RecordTimeout(time.Second, 5*time.Second) // was in flight at the doubling
	if o.Timeout() != 2*FirstTimeout {
		t.Fatalf("τ after an expiry = %v", o.Timeout())
	}
	for range 10 {
		o.RecordTimeout(time.Hour, time.Hour)
	}
	if o.Timeout() != maxTimeout {
		t.Fatalf("τ exceeds the span of the histogram: %v", o.Timeout())
	}
}
