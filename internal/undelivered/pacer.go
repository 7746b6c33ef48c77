package undelivered

import (
	"fmt"
	"time"
)

// Receiver is the state of a destination, as the sender sees it now.
type Receiver struct {
	Healthy    bool          // it accepts calls, and has not asked to wait
	HealthyFor time.Duration // how long it has been healthy
	Rate       float64       // calls a second that it usually accepts
	Waiting    int           // live messages for it that are pending and not in flight
	InFlight   int           // resent messages that have not ended
}

// Pacer paces resends to one receiver: a token bucket at a fraction of the receiver's rate, a window of messages in flight that grows
// with each delivery and halves with each failure (AIMD), and nothing while live messages wait. It is for one goroutine.
type Pacer struct {
	tokens    float64
	updatedAt time.Duration
	started   bool
	window    float64 // resent messages in flight
}

const (
	minRate   = 0.2 // messages a second, at least, for a receiver whose rate is low or not known
	maxBurst  = 2.0 // messages
	maxWindow = 8.0 // messages in flight
)

// Admit returns how many messages may be resent now under a rule; if none, why, and after how long to call Admit again. now is the
// time of a clock that does not go back; at is the time of day.
func (g *Pacer) Admit(now time.Duration, at time.Time, rule *Rule, r Receiver) (n int, why string, retryAfter time.Duration) {
	rate := max(rule.RateFraction*r.Rate, minRate)
	if !g.started {
		g.started, g.updatedAt, g.window = true, now, 1
	}
	g.tokens = min(g.tokens+rate*max(0, now-g.updatedAt).Seconds(), maxBurst)
	g.updatedAt = max(g.updatedAt, now)
	switch {
	case !rule.Open(at):
		return 0, "not at this time of day", time.Minute
	case !r.Healthy:
		g.tokens, g.window = 0, 1 // pacing starts again once the receiver is healthy
		return 0, "the receiver is not healthy", time.Second
	case r.HealthyFor < rule.HealthyFor:
		g.tokens, g.window = 0, 1
		return 0, fmt.Sprintf("the receiver has been healthy for %v, the rule requires %v", r.HealthyFor.Round(time.Second), rule.HealthyFor), min(rule.HealthyFor-r.HealthyFor, time.Second)
	case r.Waiting > 0:
		return 0, "live messages go first", 200 * time.Millisecond
	case float64(r.InFlight) >= g.window:
		return 0, "other resent messages are in flight", 100 * time.Millisecond
	case g.tokens < 1:
		return 0, "the fraction of the receiver's rate is used up", time.Duration((1 - g.tokens) / rate * float64(time.Second))
	}
	n = min(int(g.tokens), max(1, int(g.window)-r.InFlight))
	g.tokens -= float64(n)
	return n, "", 0
}

// RecordResult records how a resent message ended.
func (g *Pacer) RecordResult(delivered bool) {
	if delivered {
		g.window = min(g.window+1/max(g.window, 1), maxWindow)
	} else {
		g.window = max(1, g.window/2)
	}
}
