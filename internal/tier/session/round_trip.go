package session

import "time"

const (
	// roomQuarters is for how many quarters of an estimated round trip an answer is waited for after the hold.
	roomQuarters = 5
	// forgetPart is the part of an estimate that is forgotten with each shorter observation.
	forgetPart = 8
)

// roundTrip estimates how long a call to the primary takes beside the time for which it is held. Longer observations count
// at once, shorter ones by and by.
type roundTrip struct {
	estimate time.Duration
}

// observe takes the time of a call that was held to its end, without that.
func (r *roundTrip) observe(took time.Duration) {
	r.estimate = max(took, r.estimate-(r.estimate-max(took, 0))/forgetPart)
}

// bound takes the time of a call that may have been held: a round trip takes no longer.
func (r *roundTrip) bound(took time.Duration) { r.estimate = min(r.estimate, took) }

// restart takes the time of the first call to a primary, which may have needed a new connection as well.
func (r *roundTrip) restart(took time.Duration) { r.estimate = took }

// forget takes that nobody has answered.
func (r *roundTrip) forget() { r.estimate -= r.estimate / forgetPart }

// answerWait is how long an answer is waited for after the hold: least, or longer for a distant primary, up to most.
func (r *roundTrip) answerWait(least, most time.Duration) time.Duration {
	return min(max(r.estimate*roomQuarters/4, least), most)
}

// mayBeFound tells whether a search of a time would have found the primary at the estimated distance. With a new connection,
// which takes a round trip as well, it needs two.
func (r *roundTrip) mayBeFound(limit time.Duration) bool { return limit >= 2*r.estimate }
