package brain

import (
	"math"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// What is learnt of a destination from other senders, or from this one's earlier process, and what it does. All of it
// gives way to what this process sees itself, and none of it lets more through than a sender that saw it would.

const (
	windowHalf  = 5 * time.Minute  // after which a window that was learnt counts half
	limitHalf   = 30 * time.Minute // and a limit
	healthHalf  = 15 * time.Second // and health: the outages here last 8 to 22 s
	healthTrust = 0.25             // with less an outage that was learnt of is over, as far as we know: 30 s
	limitTrust  = 0.5
	othersMost  = 3   // other senders that try one that is out in our place
	heardWindow = 0.5 // part of another sender's window that is ours at first: it goes on sending
)

func fades(age, half time.Duration) float64 {
	return math.Exp2(-max(0, age).Seconds() / half.Seconds())
}

// routeOf is the route that something was learnt of; nil if no list has named it, or it is quiet and remembered by us.
func (b *Brain) routeOf(e Observation) *route {
	if e.Endpoint != 0 {
		if at := b.endpoints[e.Endpoint]; at != nil && at.Destination == e.Destination {
			return at.route
		}
		return nil
	}
	if d := b.dests[e.Destination]; d != nil {
		return d.shared
	}
	return nil
}

// learnt takes in what was learnt of a route.
func (b *Brain) learnt(e Observation) {
	r := b.routeOf(e)
	if r == nil {
		return
	}
	if e.RetryAfter > 0 { // who asked for it asked for quiet, not for ours alone
		if e.Local {
			r.askedUntil = max(r.askedUntil, b.now+e.RetryAfter)
		}
		b.toWait(r, b.now+e.RetryAfter)
	}
	if r.Seen == 0 && e.Samples > 0 {
		r.Assume(e.Samples, e.MeanLatency.Seconds(), e.MedianLatency, e.MinLatency, e.Timeout, trust(e.LatencyAge))
	}
	if t := fades(e.LimitAge, limitHalf); r.limit == 0 && t >= limitTrust && positive(e.Limit) {
		b.learnLimit(r, e.Limit)
	}
	b.learnHealth(r, e)
	// A window of one, and one call more with each that is served, is right where nothing is known.
	if r.state == well && r.served == 0 && e.Window > 1 && e.Health != Unhealthy {
		part := fades(e.WindowAge, windowHalf)
		if !e.Local {
			part *= heardWindow
		}
		r.window.Size = max(r.window.Size, blend(1, min(e.Window, restart.Most(b.s.Slots)), part))
	}
}

// toWait closes a route for a wait that was told, and has calls that connect looked at again.
func (b *Brain) toWait(r *route, until time.Duration) {
	r.toldUntil = max(r.toldUntil, until)
	r.closedUntil = max(r.closedUntil, r.toldUntil)
	b.doubt(r)
}

// learnHealth: own successes since then win, and so does an outage of our own.
func (b *Brain) learnHealth(r *route, e Observation) {
	seenAt := b.now - e.HealthAge
	if e.Health == HealthUnknown || r.served > 0 && r.lastServed >= seenAt {
		return
	}
	switch e.Health {
	case Healthy, WarmingUp:
		r.others = 0
		if r.state == out && r.sentAt < seenAt { // it may have recovered: one call tells, and need not wait its turn
			r.tokens = max(r.tokens, 1)
		}
	case Unhealthy:
		r.others, r.othersAt = min(e.OtherProbers, othersMost), seenAt
		if r.state != well || fades(e.HealthAge, healthHalf) < healthTrust {
			return
		}
		b.goOut(r)
		r.before = max(r.before, e.Rate)
		r.outAt = min(r.outAt, b.now-max(e.HealthFor, e.OutageFor))
		if !e.Local { // all of a fleet that restarts know of it, and go on in turn
			r.tokens = 1 // the first message tries it: if it has recovered meanwhile, it is avoided for no longer than that
		}
	}
	if e.Health == WarmingUp && r.state == well && e.HealthFor < b.s.SlowStartDuration {
		r.before = max(b.usual(r.done), b.evenPart(r.limit), b.earlier(r), e.Rate)
		r.state, r.since, r.outAt, r.window.Size, r.tokens, r.filled = cold, b.now-e.HealthFor, b.now-max(e.HealthFor, e.OutageFor), 1, 1, b.now
		if e.Local {
			r.tokens = b.phase()
		}
	}
}

// alone is our part of the calls that try a route which is out, while others try it as well and tell what they see: it
// is found to be back as soon by all together, with a call of each in turn.
func (b *Brain) alone(r *route) float64 {
	return 1 / (1 + float64(r.others)*fades(b.now-r.othersAt, healthHalf))
}
