package brain

import (
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

const (
	// slowLatencies is how many times its usual latency the recent one of a slow route is.
	slowLatencies = 3
	// overdueLatencies is how many times the median latency a call is in flight before its slot is taken
	// back.
	overdueLatencies = 8
	// maxOverdueDoublings bounds how far calls cancelled in vain lengthen that.
	maxOverdueDoublings = 4
)

// unresponsiveAfter is how long a call is in flight before it counts as unresponsive. Calls that came back
// from a hang lengthen the time-out; this is judged as if they had not.
func (r *route) unresponsiveAfter() time.Duration { return min(r.Optimum(), restart.FirstTimeout) }

// overdueAfter is how long c may be in flight before its slot can be taken back: some times the usual
// latency, which for a route with few samples is that of all routes, if a call that was sent later was served
// there already. It doubles with each call cancelled there until one is served: a route that turns slow then
// gets the time to show it.
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

// cancelOverdue cancels overdue calls while messages wait for slots, the longest overdue first. A call that
// may not be repeated would hold its slot to the deadline otherwise, and a few hung destinations, or calls
// lost here and there, would take all slots. The cost is a call that would have been answered.
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

// sampleLatency gives the oracle its sample: only first attempts that were served (Karn's algorithm); a
// time-out doubles the next one.
func (b *Brain) sampleLatency(m *message, a *attempt, result AttemptResult) {
	switch {
	case result.Outcome == Served && a.sampleWeight > 0:
		first := a.route.MinLatency == 0
		a.route.AddSample(result.Elapsed, a.sampleWeight, false)
		if first { // those that wait have less time from now on
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
