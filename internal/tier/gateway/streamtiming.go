package gateway

import (
	"time"

	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// A client aborts a stream on which it receives nothing for two seconds, four latency targets or eight gap targets, whichever is longest
// (PROTOCOL, Requests).
const (
	minClientIdleTimeout      = 2 * time.Second
	idleTimeoutLatencyTargets = 4
	idleTimeoutGapTargets     = 8
)

// clientIdleTimeout returns the time without events after which a client aborts a stream of the request's route.
func (request *clientRequest) clientIdleTimeout() time.Duration {
	route := request.route
	return max(minClientIdleTimeout, idleTimeoutLatencyTargets*route.LatencyTarget, idleTimeoutGapTargets*route.EventGapTarget)
}

// defaultFirstEventTimeout is the time-out of the first event while the load balancer has no samples of the route. It is half of the
// client's idle time-out, which leaves another attempt as long before the client aborts.
func (request *clientRequest) defaultFirstEventTimeout() time.Duration {
	return request.clientIdleTimeout() / 2
}

// firstEventTimeout is the initial time-out for the load balancer; 0 for a request that is not streamed, as its client waits until the
// deadline.
func (request *clientRequest) firstEventTimeout() time.Duration {
	if request.route.Kind != routing.Streaming {
		return 0
	}
	return request.defaultFirstEventTimeout()
}

// defaultGapTimeout is the time-out between events while the load balancer has no samples of the route.
func (request *clientRequest) defaultGapTimeout() time.Duration {
	if request.route.EventGapTarget <= 0 {
		return request.defaultFirstEventTimeout()
	}
	return min(request.defaultFirstEventTimeout(), 2*request.route.EventGapTarget)
}

// attemptTiming bounds and measures the time to the first event of a streamed attempt and the gaps between events.
type attemptTiming struct {
	request     *clientRequest
	selection   loadbalancer.Selection
	gapTimeout  time.Duration // 0: the attempt is not aborted for a gap
	timeToFirst time.Duration // from the start of the attempt; 0: no event yet
	lastEventAt time.Time
	longestGap  time.Duration // between two events
}

// newAttemptTiming returns the timing of an attempt that has just been sent. A gap aborts it only if another attempt can resume it.
func newAttemptTiming(request *clientRequest, selection loadbalancer.Selection, resumable bool) *attemptTiming {
	timing := &attemptTiming{request: request, selection: selection}
	if resumable && request.sent < request.route.MaxAttempts {
		timing.gapTimeout = request.gateway.gapTimeout(request)
	}
	return timing
}

// firstEventDeadline returns when the first event is due.
func (timing *attemptTiming) firstEventDeadline() time.Time {
	return earlier(timing.request.sentAt.Add(timing.selection.Timeout), timing.request.deadline)
}

// nextEventDeadline returns when the next event is due.
func (timing *attemptTiming) nextEventDeadline() time.Time {
	if timing.gapTimeout <= 0 {
		return timing.request.deadline
	}
	return earlier(timing.lastEventAt.Add(timing.gapTimeout), timing.request.deadline)
}

// recordEvent records that an event has been received, and reports whether it is the first one.
func (timing *attemptTiming) recordEvent() bool {
	now := time.Now()
	isFirst := timing.lastEventAt.IsZero()
	if isFirst {
		timing.timeToFirst = now.Sub(timing.request.sentAt)
	} else {
		timing.longestGap = max(timing.longestGap, now.Sub(timing.lastEventAt))
	}
	timing.lastEventAt = now
	return isFirst
}

// outcome returns the outcome of the attempt, which has ended, for the load balancer.
func (timing *attemptTiming) outcome(result *upstream.Result) loadbalancer.Outcome {
	ended := callOutcome(result, time.Since(timing.request.sentAt))
	ended.Latency, ended.LongestGap = timing.timeToFirst, timing.longestGap
	if ended.Kind == loadbalancer.TimedOut && timing.timeToFirst > 0 && time.Now().Before(timing.request.deadline) {
		ended.Kind = loadbalancer.Stalled
	}
	return ended
}

// recordFailure records the instance of an attempt that has failed. The turn store gets it with the release, so that the next attempts of
// the program avoid the instance. An attempt that the client canceled counts only if the endpoint had sent nothing for longer than
// defaultFirstEventTimeout.
func (request *clientRequest) recordFailure(result *upstream.Result, timing *attemptTiming) {
	request.failedInstance = ""
	end := result.Outcome
	if result.Stream != nil {
		end = result.Stream.Outcome()
	}
	lastActivity := timing.lastEventAt
	if lastActivity.IsZero() {
		lastActivity = request.sentAt
	}
	unresponsive := time.Since(lastActivity) > request.defaultFirstEventTimeout()
	switch {
	case !result.Written:
	case end == upstream.Broken, end == upstream.Malformed, end == upstream.TimedOut, end == upstream.Canceled && unresponsive:
		request.failedInstance = timing.selection.Instance
	}
}

// gapTimeout returns the gap between events of a route after which another attempt resumes the stream.
func (gateway *Gateway) gapTimeout(request *clientRequest) time.Duration {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.loadbalancer.StallTimeout(request.route.Name, request.defaultGapTimeout())
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
