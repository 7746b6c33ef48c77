package session

import "time"

const (
	// answerWaitQuarters is how many quarters of the estimated round trip an answer is waited for.
	answerWaitQuarters = 5
	// decayDivisor divides the estimate: so much of it is given up with each shorter observation.
	decayDivisor = 8
)

// roundTrip estimates how long a call to the primary takes beside the time for which it is held. Longer observations count
// at once, shorter ones gradually.
type roundTrip struct {
	estimate time.Duration
}

// observe takes the time of a call that was held to its end, without the time for which it was held.
func (r *roundTrip) observe(took time.Duration) {
	r.estimate = max(took, r.estimate-(r.estimate-max(took, 0))/decayDivisor)
}

// bound takes the time of a call that may have been held for a part of it: a round trip takes no longer.
func (r *roundTrip) bound(took time.Duration) { r.estimate = min(r.estimate, took) }

// restart takes the time of the first call to a primary, which may have included a new connection.
func (r *roundTrip) restart(took time.Duration) { r.estimate = took }

// decay lowers the estimate, as nobody has answered.
func (r *roundTrip) decay() { r.estimate -= r.estimate / decayDivisor }

// answerWait returns how long an answer is waited for after the time for which the call is held: minimum, or longer for a
// distant primary, up to maximum.
func (r *roundTrip) answerWait(minimum, maximum time.Duration) time.Duration {
	return min(max(r.estimate*answerWaitQuarters/4, minimum), maximum)
}

// findableWithin tells whether a search of so long would have found the primary at the estimated distance. With a new
// connection, which takes a round trip as well, it needs two.
func (r *roundTrip) findableWithin(limit time.Duration) bool { return limit >= 2*r.estimate }
