package gateway

import (
	"net/http"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/metrics"
)

// ready reports whether the gateway should get requests: it has received a configuration, endpoints and a partition map since its start,
// and is neither draining nor isolated.
func (gateway *Gateway) ready() bool {
	return !gateway.draining.Load() && !gateway.isolated() && gateway.routing.Load() != nil && gateway.hasEndpoints.Load() && gateway.storeClient.ready()
}

// isolated reports whether neither the control plane nor any turn store has answered for the contact window. No turn can be
// served then, and the platform should send clients to other gateways. If only one of the two does not answer, the gateway is not
// isolated: turns are served without the control plane, and a turn store that is unresponsive is replaced.
func (gateway *Gateway) isolated() bool {
	active, sinceReply := gateway.session.Active()
	if active {
		return false
	}
	return isolatedAfter(gateway.config.Settings.ContactWindow, sinceReply, gateway.storeClient.reachability.unansweredFor())
}

// isolatedAfter reports whether a gateway without an active session is isolated, by the times for which the control plane and all turn
// stores have not answered.
func isolatedAfter(window, withoutControlPlane, withoutTurnStores time.Duration) bool {
	return min(withoutControlPlane, withoutTurnStores) > window
}

// readiness answers the readiness check of the platform: 200 while the gateway is ready, else 503.
func (gateway *Gateway) readiness(exchange *ingress.Exchange) {
	ready := gateway.ready()
	if gateway.lastReady.Swap(ready) != ready {
		gateway.log.Info().Str("event", "readiness").Bool("ready", ready).Msg("readiness changed")
	}
	if ready {
		exchange.Respond(http.StatusOK, nil, nil)
		return
	}
	exchange.Respond(http.StatusServiceUnavailable, nil, nil)
}

// probe serves the readiness address: metrics at their path, and the readiness check at any other. The frontend serves neither, as any
// path there may belong to a route.
func (gateway *Gateway) probe(exchange *ingress.Exchange) {
	if exchange.Method == http.MethodGet && exchange.Path == metrics.Path {
		exchange.Respond(http.StatusOK, []http1.Field{{Name: "Content-Type", Value: metrics.ContentType}}, metrics.Text(gateway.Metrics()))
		return
	}
	gateway.readiness(exchange)
}
