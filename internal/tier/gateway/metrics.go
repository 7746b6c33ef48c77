package gateway

import (
	"saffronyard.example/saffronyard/internal/tier/metrics"
)

// Metrics returns the current metrics.
func (gateway *Gateway) Metrics() metrics.Gateway {
	current := metrics.Gateway{Ready: gateway.ready(), InFlight: gateway.activeRequests.Load(), SessionRemaining: gateway.session.Remaining(),
		Totals: gateway.counters.totals()}
	if table := gateway.routing.Load(); table != nil {
		current.Revision = table.Revision
	}
	return current
}
