package brain

// Parameters of the cost of an endpoint.
const (
	minCostLatency      = 0.02 // s, so that an endpoint without a call has a cost
	minCostSuccessRate  = 0.05 // bounds the cost of failures
	newConnCostFactor   = 2    // for an endpoint that may refuse a connection
	crossZoneCostFactor = 10   // for each unit of Settings.CrossZoneCost
	zoneFeeCostFactor   = 10   // for each unit of Settings.ZoneFees
)

// selectEndpoint returns the endpoint for m with the least expected work: calls in flight times recent
// latency, over the rate of success, with a surcharge for another zone. It returns nil if m may be sent to
// none of them.
func (b *Brain) selectEndpoint(m *message, usable []*endpoint) *endpoint {
	var best *endpoint
	bestCost := 0.0
	for _, e := range usable {
		keyIsZonal := m.class.Idempotency == IdempotentByKey && m.class.IdempotencyKeyZonal
		if m.mayHaveRun && keyIsZonal && e.Zone != m.firstRunZone {
			continue
		}
		latency, successRate := max(e.recentLatency, minCostLatency), max(minCostSuccessRate, 1-e.failureRate)
		cost := float64(e.callsInFlight+1) * latency / successRate
		if e.connLimit > 0 && b.needsNewConn(e) { // it may refuse a new connection
			cost *= newConnCostFactor
		}
		if e.Zone != b.settings.Zone {
			cost *= 1 + crossZoneCostFactor*b.settings.CrossZoneCost
		}
		if e.Zone < len(b.settings.ZoneFees) && e.route != m.destination.sharedRoute {
			cost *= 1 + zoneFeeCostFactor*b.settings.ZoneFees[e.Zone]
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}
