package undelivered

import (
	"fmt"
	"time"
)

// Receiver is the state of a destination, as the sender sees it now.
type Receiver struct {
	Healthy    bool          // it serves, and has asked for no wait
	HealthyFor time.Duration // for how long
	Rate       float64       // calls a second that it usually takes
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
	minRate   = 0.2 // messages a second, of a receiver whose pace is not known
	maxBurst  = 2.0 // messages
	maxWindow = 8.0 // at once, at most
)

// Admit returns how many messages may be resent now under a rule; if none, why, and when to ask again. now is a clock that does not go
// back, at the time of day.
func (g *Pacer) Admit(now time.Duration, at time.Time, rule *Rule, r Receiver) (n int, why string, lookAgainAfter time.Duration) {
	share := max(rule.RateFraction*r.Rate, minRate)
	if !g.started {
		g.started, g.updatedAt, g.window = true, now, 1
	}
	g.tokens = min(g.tokens+share*max(0, now-g.updatedAt).Seconds(), maxBurst)
	g.updatedAt = max(g.updatedAt, now)
	switch {
	case !rule.Open(at):
		return 0, "not at this time of day", time.Minute
	case !r.Healthy:
		g.tokens, g.window = 0, 1 // it begins anew when it is well
		return 0, "the receiver is not well", time.Second
	case r.HealthyFor < rule.HealthyFor:
		g.tokens, g.window = 0, 1
		return 0, fmt.Sprintf("the receiver has been well for %v, %v are wanted", r.HealthyFor.Round(time.Second), rule.HealthyFor), min(rule.HealthyFor-r.HealthyFor, time.Second)
	case r.Waiting > 0:
		return 0, "live messages go first", 200 * time.Millisecond
	case float64(r.InFlight) >= g.window:
		return 0, "others are on their way", 100 * time.Millisecond
	case g.tokens < 1:
		return 0, "its share of the receiver's pace is used", time.Duration((1 - g.tokens) / share * float64(time.Second))
	}
	n = min(int(g.tokens), max(1, int(g.window)-r.InFlight))
	g.tokens -= float64(n)
	return n, "", 0
}

// RecordResult takes in how a resent message ended.
func (g *Pacer) RecordResult(delivered bool) {
	if delivered {
		g.window = min(g.window+1/max(g.window, 1), maxWindow)
	} else {
		g.window = max(1, g.window/2)
	}
}
