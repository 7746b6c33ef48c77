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
	minClientPatience = 2 * time.Second
	aimsOfPatience    = 4
	gapsOfPatience    = 8
)

// clientPatience is the silence after which a client gives up a stream of the request's route.
func (request *clientRequest) clientPatience() time.Duration {
	route := request.route
	return max(minClientPatience, aimsOfPatience*route.Aim, gapsOfPatience*route.GapAim)
}

// firstTimeout is the time-out of a run before anything is known of its route: a further run, if there may be one, gets as long before
// the client gives up.
func (request *clientRequest) firstTimeout() time.Duration { return request.clientPatience() / 2 }

// askFirstTimeout is what the load balancer is given: only a silent stream is given up by its client before its deadline.
func (request *clientRequest) askFirstTimeout() time.Duration {
	if request.route.Kind != routing.Streaming {
		return 0
	}
	return request.firstTimeout()
}

// firstPauseTimeout is the same for a silence within a run.
func (request *clientRequest) firstPauseTimeout() time.Duration {
	if request.route.GapAim <= 0 {
		return request.firstTimeout()
	}
	return min(request.firstTimeout(), 2*request.route.GapAim)
}

// runTiming bounds the silences of one run, and measures them.
type runTiming struct {
	request      *clientRequest
	choice       loadbalancer.Selection
	pauseTimeout time.Duration // 0: a silence within the run does not end it
	first        time.Duration // from the send to the first piece; 0: none has come
	lastPiece    time.Time
	longest      time.Duration // silence between two pieces
}

// newRunTiming is for a run that was sent just now. resumable: another run may go on from what this one brings.
func newRunTiming(request *clientRequest, choice loadbalancer.Selection, resumable bool) *runTiming {
	timing := &runTiming{request: request, choice: choice}
	if resumable && request.sent < request.route.MaxAttempts {
		timing.pauseTimeout = request.gateway.pauseTimeout(request)
	}
	return timing
}

// firstBy is when the first piece must have come.
func (timing *runTiming) firstBy() time.Time {
	return earlier(timing.request.began.Add(timing.choice.Timeout), timing.request.until)
}

// nextBy is when the piece that follows the last one must have come.
func (timing *runTiming) nextBy() time.Time {
	if timing.pauseTimeout <= 0 {
		return timing.request.until
	}
	return earlier(timing.lastPiece.Add(timing.pauseTimeout), timing.request.until)
}

// piece notes that a piece has come, and reports whether it is the first one.
func (timing *runTiming) piece() bool {
	now := time.Now()
	isFirst := timing.lastPiece.IsZero()
	if isFirst {
		timing.first = now.Sub(timing.request.began)
	} else {
		timing.longest = max(timing.longest, now.Sub(timing.lastPiece))
	}
	timing.lastPiece = now
	return isFirst
}

// outcome is what the load balancer is given of the run, which has ended.
func (timing *runTiming) outcome(result *upstream.Result) loadbalancer.Outcome {
	ended := outcome(result, time.Since(timing.request.began))
	ended.Latency, ended.LongestGap = timing.first, timing.longest
	if ended.Kind == loadbalancer.TimedOut && timing.first > 0 && time.Now().Before(timing.request.until) {
		ended.Kind = loadbalancer.Stalled
	}
	return ended
}

// noteFailure notes the endpoint of a run that ended without the answer, for the next attempts of the request's program. That a client
// left counts where the endpoint had been silent for long.
func (request *clientRequest) noteFailure(result *upstream.Result, timing *runTiming) {
	request.failedAt = ""
	end := result.Outcome
	if result.Stream != nil {
		end = result.Stream.Outcome()
	}
	silentSince := timing.lastPiece
	if silentSince.IsZero() {
		silentSince = request.began
	}
	silent := time.Since(silentSince) > request.firstTimeout()
	switch {
	case !result.Written:
	case end == upstream.Broken, end == upstream.Malformed, end == upstream.TimedOut, end == upstream.Canceled && silent:
		request.failedAt = timing.choice.Instance
	}
}

// pauseTimeout is the silence within a run of the request after which another one goes on.
func (gateway *Gateway) pauseTimeout(request *clientRequest) time.Duration {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.loadbalancer.StallTimeout(request.route.Name, request.firstPauseTimeout())
}

// earlier is the earlier of two moments.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
