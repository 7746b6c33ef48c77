package brain

import (
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

const (
	// slowLatencies is the multiple of the usual latency of a route above which its recent latency is slow.
	slowLatencies = 3
	// overdueLatencies is the multiple of the median latency after which a call in flight is overdue and may
	// be cancelled to free its slot.
	overdueLatencies = 8
	// maxOverdueDoublings bounds how often that time doubles after cancelled calls.
	maxOverdueDoublings = 4
)

// unresponsiveAfter returns how long a call is in flight before it counts as unresponsive. It is at most
// FirstTimeout, as calls that are answered after a hang lengthen the time-out of the oracle.
func (r *route) unresponsiveAfter() time.Duration { return min(r.Optimum(), restart.FirstTimeout) }

// overdueAfter returns how long c may be in flight before it is overdue: a multiple of the median latency of
// its route. For a route with few samples the median of all routes is used, if a call that was sent to the
// route later has been served already. The time doubles with each call cancelled there until one is served,
// so that a route that has become slow gets the time to answer.
func (b *Brain) overdueAfter(c *call) time.Duration {
	r := c.route
	b.allRoutes.Optimum()
	after := b.allRoutes.MedianLatency
	if r.Samples >= restart.MinSamples {
		after = r.MedianLatency
	} else if b.allRoutes.Samples < restart.MinSamples || r.lastServedSentAt <= c.sentAt {
		return r.unresponsiveAfter()
	}
	slow := time.Duration(slowLatencies * r.recentLatency * float64(time.Second))
	after = max(overdueLatencies*after, slow, minProbeInterval)
	return min(r.unresponsiveAfter(), after<<min(r.overdueCancelled, maxOverdueDoublings))
}

// cancelOverdue cancels overdue calls while messages wait for slots, the longest overdue first. Otherwise a
// call that may not be repeated would hold its slot until its deadline, and a few hung destinations, or
// single lost calls, would take all slots. The cost is that a call may be cancelled which would have been
// answered.
func (b *Brain) cancelOverdue(waitingDestinations int) {
	for b.settings.MayCancel && b.overdueCancelled < waitingDestinations {
		var victim *call
		longest := time.Duration(0)
		for _, r := range b.routesInFlight {
			for _, c := range r.inFlight {
				overdueBy := b.now - c.sentAt - b.overdueAfter(c)
				if overdueBy > longest && !c.overdueCancelled {
					victim, longest = c, overdueBy
				}
			}
		}
		if victim == nil {
			return
		}
		victim.overdueCancelled = true
		victim.route.overdueCancelled++
		b.overdueCancelled++
		for _, m := range victim.messages {
			if n := len(m.attempts) - 1; !m.attempts[n].ended {
				b.actions = append(b.actions, Cancel{m.ID, n})
			}
		}
	}
}

// sampleLatency gives the oracle a sample of the latency: only first attempts count (Karn's algorithm). A
// time-out before the deadline doubles the next time-out.
func (b *Brain) sampleLatency(m *message, a *attempt, result AttemptResult) {
	switch {
	case result.Outcome == Served && a.sampleWeight > 0:
		first := a.route.MinLatency == 0
		a.route.AddSample(result.Elapsed, a.sampleWeight, false)
		if first { // waiting messages may expire earlier now
			b.rescheduleExpiries(m.destination)
		}
		b.allRoutes.AddSample(result.Elapsed, a.sampleWeight, false)
		a.route.ResetTimeout()
	case result.Outcome == TimedOut && a.toDeadline && a.sampleWeight > 0:
		a.route.AddSample(0, a.sampleWeight, true)
	case result.Outcome == TimedOut && !a.toDeadline:
		a.route.RecordTimeout(a.sentAt, b.now)
	}
}
