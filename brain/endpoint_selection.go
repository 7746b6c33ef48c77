package brain

// The cost of an endpoint in selectEndpoint.
const (
	minCostLatency      = 0.02 // s, so that an endpoint without a call is not free
	minCostSuccessRate  = 0.05 // bounds the cost of failures
	newConnCostFactor   = 2    // for an endpoint that may refuse a connection
	crossZoneCostFactor = 10   // for each unit of Settings.CrossZoneCost
	zoneFeeCostFactor   = 10   // for each unit of Settings.ZoneFees
)

// selectEndpoint returns the endpoint for m with the least expected work: calls in flight times recent
// latency, over the rate of success, with a surcharge for another zone. It is nil if m may go to none of
// them.
func (b *Brain) selectEndpoint(m *message, usable []*endpoint) *endpoint {
	var best *endpoint
	least := 0.0
	for _, e := range usable {
		keptInZone := m.class.Idempotency == IdempotentByKey && m.class.IdempotencyKeyZonal
		if m.mayHaveRun && keptInZone && e.Zone != m.firstRunZone {
			continue
		}
		cost := float64(e.callsInFlight+1) * max(e.recentLatency, 0.02) / max(0.05, 1-e.failureRate)
		if e.connLimit > 0 && b.needsNewConn(e) { // a connection may not be had there
			cost *= 2
		}
		if e.Zone != b.settings.Zone {
			cost *= 1 + 10*b.settings.CrossZoneCost
		}
		if e.Zone < len(b.settings.ZoneFees) && e.route != m.destination.sharedRoute {
			cost *= 1 + 10*b.settings.ZoneFees[e.Zone]
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}
