package work

import (
	"math"
	"time"
)

// bucket is a token bucket that may be in debt: what a slice uses is known only after it ended.
type bucket struct {
	rate      Rate
	level     float64
	updatedAt time.Duration
}

// buckets has a bucket for each currency. A currency without a rate is not bounded.
type buckets [Currencies]bucket

func newBuckets(r Rates, now time.Duration) *buckets {
	b := &buckets{}
	for i := range b {
		b[i] = bucket{rate: r[i], level: r[i].Burst, updatedAt: now}
	}
	return b
}

func (b *bucket) bounded() bool { return b.rate.PerSecond > 0 || b.rate.Burst > 0 }

// fill adds the tokens earned since the last call, scaled, and returns those that exceed the burst.
func (b *bucket) fill(now time.Duration, scale float64) (overflow float64) {
	if !b.bounded() || now <= b.updatedAt {
		return 0
	}
	b.level += b.rate.PerSecond * scale * (now - b.updatedAt).Seconds()
	b.updatedAt = now
	if b.level > b.rate.Burst {
		overflow = b.level - b.rate.Burst
		b.level = b.rate.Burst
	}
	return overflow
}

// solvent reports whether a slice may start: no bounded bucket is empty or in debt.
func (b *buckets) solvent() bool {
	for i := range b {
		if b[i].bounded() && b[i].level <= 0 {
			return false
		}
	}
	return true
}

// timeToSolvent returns how long it takes until solvent is true, at rates scaled by scale; the largest Duration if that never happens.
func (b *buckets) timeToSolvent(scale float64) time.Duration {
	var longest time.Duration
	for i := range b {
		if t := &b[i]; t.bounded() && t.level <= 0 {
			rate := t.rate.PerSecond * scale
			if rate <= 0 {
				return time.Duration(math.MaxInt64)
			}
			wait := math.Min((1e-9-t.level)/rate, 1e9)
			longest = max(longest, time.Duration(wait*float64(time.Second))+time.Microsecond)
		}
	}
	return longest
}

func (b *buckets) take(c Cost) {
	for i := range b {
		if b[i].bounded() {
			b[i].level -= float64(c[i])
		}
	}
}

// dominantShare returns the largest fraction of a second's budget that a cost uses, over all currencies. Owners are charged by it.
func (r *Rates) dominantShare(c Cost) float64 {
	largest := 0.0
	for i := range r {
		if rate := r[i].PerSecond; rate > 0 {
			largest = max(largest, float64(c[i])/rate)
		}
	}
	return largest
}
