package gateway

import (
	"time"

	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// A client gives a stream up after a silence (PROTOCOL, Requests) of two seconds, four times the objective or eight times the pause
// that still counts as in time, whichever is longest.
const (
	minClientIdleTimeout      = 2 * time.Second
	idleTimeoutLatencyTargets = 4
	idleTimeoutGapTargets     = 8
)

// clientIdleTimeout is the silence after which a client gives up a stream of the request's route.
func (request *clientRequest) clientIdleTimeout() time.Duration {
	route := request.route
	return max(minClientIdleTimeout, idleTimeoutLatencyTargets*route.Aim, idleTimeoutGapTargets*route.GapAim)
}

// defaultFirstEventTimeout is the time-out of a run before anything is known of its route: a further run, if there may be one, gets as long before
// the client gives up.
func (request *clientRequest) defaultFirstEventTimeout() time.Duration {
	return request.clientIdleTimeout() / 2
}

// firstEventTimeout is what the load balancer is given: only a silent stream is given up by its client before its deadline.
func (request *clientRequest) firstEventTimeout() time.Duration {
	if request.route.Kind != routing.Streaming {
		return 0
	}
	return request.defaultFirstEventTimeout()
}

// defaultGapTimeout is the same for a silence within a run.
func (request *clientRequest) defaultGapTimeout() time.Duration {
	if request.route.GapAim <= 0 {
		return request.defaultFirstEventTimeout()
	}
	return min(request.defaultFirstEventTimeout(), 2*request.route.GapAim)
}

// attemptTiming bounds the silences of one run, and measures them.
type attemptTiming struct {
	request     *clientRequest
	choice      loadbalancer.Selection
	gapTimeout  time.Duration // 0: a silence within the run does not end it
	timeToFirst time.Duration // from the send to the first piece; 0: none has come
	lastEventAt time.Time
	longestGap  time.Duration // silence between two pieces
}

// newAttemptTiming is for a run that was sent just now. resumable: another run may go on from what this one brings.
func newAttemptTiming(request *clientRequest, choice loadbalancer.Selection, resumable bool) *attemptTiming {
	timing := &attemptTiming{request: request, choice: choice}
	if resumable && request.sent < request.route.MaxAttempts {
		timing.gapTimeout = request.gateway.gapTimeout(request)
	}
	return timing
}

// firstEventDeadline is when the first piece must have come.
func (timing *attemptTiming) firstEventDeadline() time.Time {
	return earlier(timing.request.sentAt.Add(timing.choice.Timeout), timing.request.deadline)
}

// nextEventDeadline is when the piece that follows the last one must have come.
func (timing *attemptTiming) nextEventDeadline() time.Time {
	if timing.gapTimeout <= 0 {
		return timing.request.deadline
	}
	return earlier(timing.lastEventAt.Add(timing.gapTimeout), timing.request.deadline)
}

// recordEvent notes that a piece has come, and reports whether it is the first one.
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

// outcome is what the load balancer is given of the run, which has ended.
func (timing *attemptTiming) outcome(result *upstream.Result) loadbalancer.Outcome {
	ended := callOutcome(result, time.Since(timing.request.sentAt))
	ended.Latency, ended.LongestGap = timing.timeToFirst, timing.longestGap
	if ended.Kind == loadbalancer.TimedOut && timing.timeToFirst > 0 && time.Now().Before(timing.request.deadline) {
		ended.Kind = loadbalancer.Stalled
	}
	return ended
}

// recordFailure notes the endpoint of a run that ended without the answer, for the next attempts of the request's program. That a client
// left counts where the endpoint had been silent for long.
func (request *clientRequest) recordFailure(result *upstream.Result, timing *attemptTiming) {
	request.failedInstance = ""
	end := result.Outcome
	if result.Stream != nil {
		end = result.Stream.Outcome()
	}
	silentSince := timing.lastEventAt
	if silentSince.IsZero() {
		silentSince = request.sentAt
	}
	silent := time.Since(silentSince) > request.defaultFirstEventTimeout()
	switch {
	case !result.Written:
	case end == upstream.Broken, end == upstream.Malformed, end == upstream.TimedOut, end == upstream.Canceled && silent:
		request.failedInstance = timing.choice.Instance
	}
}

// gapTimeout is the silence within a run of the request after which another one goes on.
func (gateway *Gateway) gapTimeout(request *clientRequest) time.Duration {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.loadbalancer.StallTimeout(request.route.Name, request.defaultGapTimeout())
}

// earlier is the earlier of two moments.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
