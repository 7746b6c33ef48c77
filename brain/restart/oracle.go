package restart

import (
	"cmp"
	"math"
	"time"
)

// Parameters of the paper (table I).
const (
	bucketCount = 1000             // H: buckets of the latency histogram
	maxTimeout  = 60 * time.Second // the span of the histogram
	restartCost = 0.0              // c: cost of a restart, in seconds

	// FirstTimeout is the time-out before any sample.
	FirstTimeout = 4 * time.Second
)

// Parameters of the additions to the paper.
const (
	// sampleDecay divides the weight of all samples with each new one: about 200 samples count.
	sampleDecay = 1.005
	// nearOptimal is the factor of the minimum of Ê within which bounds are equally good.
	nearOptimal = 1.1
	// answeredQuantile is the share of the answered calls that must be answered within the time-out.
	answeredQuantile = 0.99
	// answeredFactor times the latency of these calls is the minimum of the time-out, as the next call may be slower than
	// any sample.
	answeredFactor = 2

	// MinSamples is the number of samples below which a time-out is FirstTimeout or more.
	MinSamples = 20
	// ExploreEvery is the number of first attempts of which one, selected at random, runs until its deadline.
	ExploreEvery = 20
	// ExploreWeight is the weight of the sample of such an attempt, as it represents ExploreEvery attempts.
	ExploreWeight = 20
)

// bucket has the weighted samples of one bucket of the histogram and the sum of their times, in seconds.
type bucket struct{ count, sum float64 }

// Oracle estimates the best time-out of one destination or route (section III.D of the paper). Its zero value has no
// sample. It is not for concurrent use.
type Oracle struct {
	Samples       int           // samples taken
	CachedOptimum time.Duration // argmin of Ê as last computed, 0 before
	MedianLatency time.Duration // of the samples, as of the last Optimum
	MeanSeconds   float64       // of all samples, as of the last Optimum, in seconds
	MinLatency    time.Duration // the shortest latency of a served call

	buckets        []bucket      // up to the last one that is not empty
	overflow       float64       // weight of the calls that took maxTimeout or more
	dirty          bool          // there are samples since the last Optimum
	doubledTimeout time.Duration // the time-out after a doubling, 0 if there was none
	doubledAt      time.Duration
}

// AddSample adds the latency of a first attempt. If late is set, the attempt was never answered.
func (o *Oracle) AddSample(d time.Duration, weight float64, late bool) {
	for k := range o.buckets {
		o.buckets[k].count /= sampleDecay
		o.buckets[k].sum /= sampleDecay
	}
	o.overflow /= sampleDecay
	if late || d >= maxTimeout {
		o.overflow += weight
	} else {
		k := int(d * bucketCount / maxTimeout)
		for len(o.buckets) <= k {
			o.buckets = append(o.buckets, bucket{})
		}
		o.Samples++
		o.buckets[k].count += weight
		o.buckets[k].sum += weight * d.Seconds()
		if o.MinLatency == 0 || d < o.MinLatency {
			o.MinLatency = d
		}
	}
	o.dirty = true
}

// expectedTime is Ê of a restart at the bound tau, in seconds, for the weight and the mean of the samples up to it.
func expectedTime(upTo, all, mean, tau float64) float64 {
	f := upTo / all
	return mean/f + (1-f)/f*(tau+restartCost)
}

// Optimum returns the argmin of Ê. Where the curve is flat, the position of its minimum is accidental and may be too
// short, so the longest of the equally good bounds is taken, which restarts least. The time-out also leaves time for
// calls that would be answered: a retry takes as long, and the first attempt may still be running.
func (o *Oracle) Optimum() time.Duration {
	if !o.dirty {
		return cmp.Or(o.CachedOptimum, FirstTimeout)
	}
	o.dirty = false
	all := o.overflow
	for _, b := range o.buckets {
		all += b.count
	}
	answered := all - o.overflow

	least := math.Inf(1)
	o.eachBound(all, func(_ time.Duration, expected, _ float64) { least = min(least, expected) })

	longest, floor := FirstTimeout, time.Duration(0)
	o.eachBound(all, func(bound time.Duration, expected, below float64) {
		if expected <= least*nearOptimal {
			longest = bound
		}
		if below < answered/2 {
			o.MedianLatency = bound
		}
		if below < answeredQuantile*answered {
			floor = bound * answeredFactor
		}
	})
	if o.Samples < MinSamples {
		floor = max(floor, FirstTimeout)
	}
	o.CachedOptimum = min(max(longest, floor), maxTimeout)
	return o.CachedOptimum
}

// eachBound calls visit with the upper bound of each bucket that has samples, in ascending order, with Ê of a restart there
// in seconds and the weight of the samples in the buckets below. all is the weight of all samples. It updates the mean.
func (o *Oracle) eachBound(all float64, visit func(bound time.Duration, expected, below float64)) {
	count, sum := 0.0, 0.0
	for k, b := range o.buckets {
		if b.count == 0 {
			continue
		}
		count += b.count
		sum += b.sum
		bound := maxTimeout * time.Duration(k+1) / bucketCount
		visit(bound, expectedTime(count, all, sum/count, bound.Seconds()), count-b.count)
	}
	if count > 0 {
		o.MeanSeconds = sum / count
	}
}

// Timeout returns the current time-out: the optimum, or the doubled one after an expiry.
func (o *Oracle) Timeout() time.Duration {
	if o.doubledTimeout > 0 {
		return o.doubledTimeout
	}
	return o.Optimum()
}

// Doubled reports whether a call has expired since the last fresh sample.
func (o *Oracle) Doubled() bool { return o.doubledTimeout > 0 }

// RecordTimeout doubles the time-out, once for all calls that were in flight at the last doubling.
func (o *Oracle) RecordTimeout(sent, now time.Duration) {
	if o.doubledTimeout == 0 || sent >= o.doubledAt {
		o.doubledTimeout, o.doubledAt = min(2*o.Timeout(), maxTimeout), now
	}
}

// ResetTimeout ends the doubling after a first attempt was served.
func (o *Oracle) ResetTimeout() { o.doubledTimeout = 0 }

// Remembered is the stored summary of the latencies of a destination or route.
type Remembered struct {
	Samples       int     // calls that the latencies are based on
	MeanSeconds   float64 // mean latency, in seconds
	MedianLatency time.Duration
	MinLatency    time.Duration
	Timeout       time.Duration // optimum of the restart time-out
}

// Restore restores remembered latencies, weighted by trust (0 to 1). The histogram is restored as a few samples at the
// median: enough until there are new samples, and few enough for those to dominate soon. The less trust there is, the
// closer the time-out is to that of an unknown destination.
func (o *Oracle) Restore(r Remembered, trust float64) {
	o.Samples = int(min(float64(r.Samples), MinSamples-1) * trust)
	o.MinLatency = time.Duration(float64(r.MinLatency) * trust)
	o.MeanSeconds, o.MedianLatency = r.MeanSeconds, r.MedianLatency
	if k := int(o.MedianLatency * bucketCount / maxTimeout); o.Samples > 0 && k >= 0 && k < bucketCount {
		o.buckets = make([]bucket, k+1)
		o.buckets[k] = bucket{float64(o.Samples), float64(o.Samples) * r.MeanSeconds}
	}
	unknown := float64(FirstTimeout)
	o.CachedOptimum = time.Duration(unknown + (float64(r.Timeout)-unknown)*trust)
}
