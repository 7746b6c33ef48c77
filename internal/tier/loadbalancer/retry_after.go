package loadbalancer

import (
	"math"
	"time"
)

const (
	retryAfterCallFraction     = 0.25 // fraction of the duration of a call after which there may be capacity
	minRetryAfter              = 20 * time.Millisecond
	maxRetryAfter              = 2 * time.Second
	retryAfterRemainingDivisor = 3           // a client waits for at most its remaining time divided by this
	rateDecayTime              = time.Second // time constant of a rateMeter
)

// retryAfter is the time after which there may be capacity: a fraction of the duration of a call, which Little's law gives from the
// calls in flight and the rate of served calls. It has jitter, so that requests rejected together are not retried together. It is
// limited to the latency target, so that the retry may be in time, and to a fraction of the remaining time.
func (balancer *Balancer) retryAfter(now time.Duration, service *service, request *Request) time.Duration {
	calls, backoff := 0, maxRetryAfter
	for _, endpoint := range service.endpoints {
		calls += endpoint.inFlight
		backoff = min(backoff, max(0, endpoint.backoffUntil-now))
	}
	callSeconds := float64(calls) / max(service.servedRate.decayed(now)/rateDecayTime.Seconds(), 1)
	wait := time.Duration(callSeconds * retryAfterCallFraction * float64(time.Second))
	if len(service.endpoints) > 0 {
		wait = max(wait, backoff)
	}
	wait = wait/2 + time.Duration(balancer.draw(uint64(wait)+1))
	limit := min(maxRetryAfter, request.Remaining/retryAfterRemainingDivisor)
	if request.LatencyTarget > 0 {
		limit = min(limit, request.LatencyTarget)
	}
	return max(min(wait, limit), minRetryAfter)
}

// rateMeter counts events, each with a weight that decays over rateDecayTime.
type rateMeter struct {
	count     float64
	countedAt time.Duration
}

// decayed is the count as of now.
func (meter *rateMeter) decayed(now time.Duration) float64 {
	return meter.count * math.Exp(-(now-meter.countedAt).Seconds()/rateDecayTime.Seconds())
}

// add counts one event.
func (meter *rateMeter) add(now time.Duration) {
	meter.count, meter.countedAt = meter.decayed(now)+1, now
}
