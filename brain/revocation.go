package brain

import "slices"

// scheduleRecheck schedules a recheck of the calls in flight at r in this step.
func (b *Brain) scheduleRecheck(r *route) {
	if !r.recheck && len(r.inFlight) > 0 {
		r.recheck = true
		b.routesToRecheck = append(b.routesToRecheck, r)
	}
}

// revokeStale rechecks the calls in flight of routes where something has changed since they were sent. A
// connection may take seconds to be established, and when the call could be written, the reasons for sending
// it may no longer hold.
func (b *Brain) revokeStale() {
	for _, r := range b.routesToRecheck {
		r.recheck = false
		for _, c := range r.inFlight {
			reason, stale := b.staleReason(c)
			if !stale || c.revoked {
				continue
			}
			c.revoked = true
			for _, m := range c.messages {
				if n := len(m.attempts) - 1; !m.attempts[n].ended {
					b.actions = append(b.actions, Revoke{m.ID, n, reason})
				}
			}
		}
	}
	b.routesToRecheck = b.routesToRecheck[:0]
}

// staleReason reports whether c would not be sent now, and why.
func (b *Brain) staleReason(c *call) (reason RevokeReason, stale bool) {
	switch r := c.route; {
	case !c.endpoint.listed:
		return EndpointRemoved, true
	case b.now < r.retryAfterUntil:
		return RetryAfterReceived, true
	case r.state == outage && (c.sentAt < r.stateSince || c.sentAt < r.lastProbeAt):
		return RouteOutage, true
	}
	return MessagesEnded, !slices.ContainsFunc(c.messages, func(m *message) bool { return !m.ended })
}
