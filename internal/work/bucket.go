package work

import (
	"math"
	"time"
)

// bucket is a token bucket that may be in debt: what is used is known only afterwards.
type bucket struct {
	rate      Rate
	level     float64
	updatedAt time.Duration
}

// buckets are those of all currencies. A currency without a rate is not bounded.
type buckets [Currencies]bucket

func newBuckets(r Rates, now time.Duration) *buckets {
	b := &buckets{}
	for i := range b {
		b[i] = bucket{rate: r[i], level: r[i].Burst, updatedAt: now}
	}
	return b
}

func (b *bucket) bounded() bool { return b.rate.PerSecond > 0 || b.rate.Burst > 0 }

// fill adds what has come since, scaled, and gives what was over the burst.
func (b *bucket) fill(now time.Duration, scale float64) (spilt float64) {
	if !b.bounded() || now <= b.updatedAt {
		return 0
	}
	b.level += b.rate.PerSecond * scale * (now - b.updatedAt).Seconds()
	b.updatedAt = now
	if b.level > b.rate.Burst {
		spilt = b.level - b.rate.Burst
		b.level = b.rate.Burst
	}
	return spilt
}

// solvent reports whether a slice may start: nothing is in debt.
func (b *buckets) solvent() bool {
	for i := range b {
		if b[i].bounded() && b[i].level <= 0 {
			return false
		}
	}
	return true
}

// timeToSolvent is how long it takes until nothing is in debt.
func (b *buckets) timeToSolvent(scale float64) time.Duration {
	var most time.Duration
	for i := range b {
		if t := &b[i]; t.bounded() && t.level <= 0 {
			rate := t.rate.PerSecond * scale
			if rate <= 0 {
				return time.Duration(math.MaxInt64)
			}
			wait := math.Min((1e-9-t.level)/rate, 1e9)
			most = max(most, time.Duration(wait*float64(time.Second))+time.Microsecond)
		}
	}
	return most
}

func (b *buckets) take(c Cost) {
	for i := range b {
		if b[i].bounded() {
			b[i].level -= float64(c[i])
		}
	}
}

// dominantShare is the largest part of a second's budget that a cost is, over all currencies: what an owner is charged.
func (r *Rates) dominantShare(c Cost) float64 {
	most := 0.0
	for i := range r {
		if rate := r[i].PerSecond; rate > 0 {
			most = max(most, float64(c[i])/rate)
		}
	}
	return most
}
