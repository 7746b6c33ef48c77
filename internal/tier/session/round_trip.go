package session

import "time"

const (
	// answerWaitQuarters is how long an answer is awaited, in quarters of the estimated round trip.
	answerWaitQuarters = 5
	// decayDivisor divides the difference by which a shorter observation, or a search without an answer, lowers the estimate.
	decayDivisor = 8
)

// roundTrip estimates how long a call to the primary takes, excluding its poll time-out. Longer observations count at once,
// shorter ones gradually.
type roundTrip struct {
	estimate time.Duration
}

// observe records the duration of a call that waited for its full poll time-out, which took does not include.
func (r *roundTrip) observe(took time.Duration) {
	r.estimate = max(took, r.estimate-(r.estimate-max(took, 0))/decayDivisor)
}

// bound records the duration of a call that may have waited for a part of its poll time-out: a round trip takes no longer.
func (r *roundTrip) bound(took time.Duration) { r.estimate = min(r.estimate, took) }

// restart records the duration of the first call to a primary, which may have included a new connection.
func (r *roundTrip) restart(took time.Duration) { r.estimate = took }

// decay lowers the estimate after a search without an answer.
func (r *roundTrip) decay() { r.estimate -= r.estimate / decayDivisor }

// answerWait returns how long an answer is awaited after the poll time-out: minimum, or longer for a distant primary, up to
// maximum.
func (r *roundTrip) answerWait(minimum, maximum time.Duration) time.Duration {
	return min(max(r.estimate*answerWaitQuarters/4, minimum), maximum)
}

// findableWithin reports whether a search with the time-out limit would have found the primary at the estimated distance. With
// a new connection, which takes a round trip as well, a search needs two round trips.
func (r *roundTrip) findableWithin(limit time.Duration) bool { return limit >= 2*r.estimate }
