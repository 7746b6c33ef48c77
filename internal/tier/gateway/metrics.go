package gateway

import (
	"net/http"

	"saffronyard.example/saffronyard/internal/tier/http1"
	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/metrics"
)

// probe answers at the readiness address: the platform's question, and metrics by their path. The frontend has no path of
// its own for these, as each may be a route's.
func (gateway *Gateway) probe(x *ingress.Exchange) {
	if x.Method == http.MethodGet && x.Path == metrics.Path {
		x.Respond(http.StatusOK, []http1.Field{{Name: "Content-Type", Value: metrics.ContentType}}, metrics.Text(gateway.Metrics()))
		return
	}
	gateway.readiness(x)
}

// Metrics gives the figures of this moment.
func (gateway *Gateway) Metrics() metrics.Gateway {
	figures := metrics.Gateway{Ready: gateway.ready(), Calls: gateway.activeRequests.Load(), Session: gateway.session.Remaining(),
		Totals: gateway.counters.totals()}
	if table := gateway.routing.Load(); table != nil {
		figures.Revision = table.Revision
	}
	return figures
}
