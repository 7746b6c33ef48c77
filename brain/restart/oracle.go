// Package restart has the decisions on one destination or route that all senders share: after what time-out a call is
// aborted and retried (Oracle), and how many calls may be in flight at once (Window). It is pure: times are of one
// steady clock and are passed in. docs/design.md says which parts are the paper's and which are additions.
package restart

import (
	"cmp"
	"math"
	"time"
)

const (
	buckets    = 1000             // H: buckets of the latency histogram (paper, table I)
	maxTimeout = 60 * time.Second // the histogram's span (paper, table I)
	cost       = 0.0              // c, s: cost of a restart (paper, table I)
	ageing     = 1.005            // the weight of all samples is divided by it with each new one: about 200 count
	tie        = 1.1              // bounds within this factor of the minimum of Ê are equally good: the longest is taken
	answered   = 0.99             // share of the answered calls that a time-out must leave, with
	spare      = 2                // so many times their time, as the next may be slower than any sample

	FirstTimeout  = 4 * time.Second // before any sample (paper, table I)
	FewSamples    = 20              // with fewer a time-out is FirstTimeout or more
	ExploreIn     = 20              // one first attempt in so many runs until its deadline
	ExploreWeight = 20              // weight of the sample of such a run, as it represents so many
)

// bucket has the weighted samples of one bucket of the histogram and the sum of their times, in seconds.
type bucket struct{ count, sum float64 }

// Oracle estimates the best time-out of one destination or route (section III.D of the paper). Its zero value has no sample.
type Oracle struct {
	Seen     int           // samples taken
	Best     time.Duration // argmin of Ê as last computed, 0 before
	Median   time.Duration // of the samples
	Mean     float64       // of all samples, in seconds
	Quickest time.Duration // the shortest time of a served call

	bucket    []bucket // up to the last one that is not empty
	past      float64  // weight of the calls that took maxTimeout or more
	dirty     bool
	doubled   time.Duration // the time-out after a doubling, 0 if there was none
	doubledAt time.Duration
}

// Sample adds the time of a first attempt, or of one that was never answered where late is true.
func (o *Oracle) Sample(d time.Duration, weight float64, late bool) {
	for k := range o.bucket {
		o.bucket[k].count /= ageing
		o.bucket[k].sum /= ageing
	}
	o.past /= ageing
	if late || d >= maxTimeout {
		o.past += weight
	} else {
		k := int(d * buckets / maxTimeout)
		for len(o.bucket) <= k {
			o.bucket = append(o.bucket, bucket{})
		}
		o.Seen++
		o.bucket[k].count += weight
		o.bucket[k].sum += weight * d.Seconds()
		if o.Quickest == 0 || d < o.Quickest {
			o.Quickest = d
		}
	}
	o.dirty = true
}

// expected is Ê of a restart at the bound tau, in seconds, for the weight and the mean of the samples up to it.
func expected(upTo, all, mean, tau float64) float64 {
	f := upTo / all
	return mean/f + (1-f)/f*(tau+cost)
}

// Optimum is the argmin of Ê. Where the curve is flat its minimum is accidental and may be too short, so of the bounds that
// are equally good the longest is taken: it restarts less. Nor does it abort calls that would be answered: a retry takes as
// long, and the first attempt may still run.
func (o *Oracle) Optimum() time.Duration {
	if !o.dirty {
		return cmp.Or(o.Best, FirstTimeout)
	}
	o.dirty = false
	all := o.past
	for _, k := range o.bucket {
		all += k.count
	}
	least, longest := math.Inf(1), FirstTimeout
	came, floor := all-o.past, time.Duration(0)
	for pass := range 2 { // first the minimum of Ê, then the longest bound that is equally good
		n, t := 0.0, 0.0
		for k, at := range o.bucket {
			if at.count == 0 {
				continue
			}
			n += at.count
			t += at.sum
			bound := maxTimeout * time.Duration(k+1) / buckets
			e := expected(n, all, t/n, bound.Seconds())
			if pass == 0 {
				least = min(least, e)
			} else {
				if e <= least*tie {
					longest = bound
				}
				if n-at.count < came/2 {
					o.Median = bound
				}
				if n-at.count < answered*came {
					floor = bound * spare
				}
			}
		}
		if n > 0 {
			o.Mean = t / n
		}
	}
	if o.Seen < FewSamples {
		floor = max(floor, FirstTimeout)
	}
	o.Best = min(max(longest, floor), maxTimeout)
	return o.Best
}

// Timeout is the current time-out: the optimum, or the doubled one after an expiry.
func (o *Oracle) Timeout() time.Duration {
	if o.doubled > 0 {
		return o.doubled
	}
	return o.Optimum()
}

// Doubled reports whether a call has expired since the last fresh sample.
func (o *Oracle) Doubled() bool { return o.doubled > 0 }

// Expired doubles the time-out, once for all calls that were in flight at the last doubling.
func (o *Oracle) Expired(sent, now time.Duration) {
	if o.doubled == 0 || sent >= o.doubledAt {
		o.doubled, o.doubledAt = min(2*o.Timeout(), maxTimeout), now
	}
}

// Fresh ends the doubling: a first attempt was served.
func (o *Oracle) Fresh() { o.doubled = 0 }

// Assume restores remembered latencies (mean in seconds), weighted by trust (0 to 1). Of the histogram a few calls remain, at
// the median: enough until there are new samples, and few enough for those to dominate soon. The less trust there is, the
// closer the time-out is to that of an unknown destination.
func (o *Oracle) Assume(calls int, mean float64, median, quickest, bound time.Duration, trust float64) {
	o.Seen = int(min(float64(calls), FewSamples-1) * trust)
	o.Quickest = time.Duration(float64(quickest) * trust)
	o.Mean, o.Median = mean, median
	if k := int(o.Median * buckets / maxTimeout); o.Seen > 0 && k >= 0 && k < buckets {
		o.bucket = make([]bucket, k+1)
		o.bucket[k] = bucket{float64(o.Seen), float64(o.Seen) * mean}
	}
	unknown := float64(FirstTimeout)
	o.Best = time.Duration(unknown + (float64(bound)-unknown)*trust)
}
