package gateway

import (
	"time"

	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/routing"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// applyConfiguration applies a configuration of the control plane.
func (gateway *Gateway) applyConfiguration(configuration *tierv1.Configuration) {
	table, err := routing.Parse(configuration.Body)
	if err != nil { // unexpected, as the control plane has validated it
		gateway.log.Error().Str("event", "catalog_unreadable").Err(err).Msg("failed to parse the configuration")
		return
	}
	gateway.routing.Store(table)
	gateway.log.Info().Str("event", "configuration").Int64("revision", table.Revision).Uint64("version", configuration.Version).Msg("applied a configuration")
	gateway.updateBalancer()
}

// applyEndpoints applies the endpoints that the control plane sends.
func (gateway *Gateway) applyEndpoints(endpoints *tierv1.Endpoints) {
	gateway.mu.Lock()
	gateway.endpoints = endpoints
	gateway.mu.Unlock()
	gateway.updateBalancer()
	gateway.hasEndpoints.Store(true)
}

// updateBalancer passes the endpoints to the load balancer, with the properties of their services from the configuration.
func (gateway *Gateway) updateBalancer() {
	table := gateway.routing.Load()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.endpoints == nil {
		return
	}
	list := make([]loadbalancer.Endpoint, 0, len(gateway.endpoints.List))
	gateway.routable = make(map[string]bool, len(gateway.endpoints.List))
	for _, e := range gateway.endpoints.List {
		list = append(list, loadbalancer.Endpoint{Instance: e.Instance, Service: e.Service, Address: e.Address, Zone: e.Zone,
			Capacity: int(e.Capacity), Draining: e.Draining, SlowStartRemaining: time.Duration(e.SlowStartRemainingMs) * time.Millisecond,
			CacheTokens: cacheTokens(table, e.Service)})
		if !e.Draining {
			gateway.routable[e.Instance] = true
		}
	}
	gateway.loadbalancer.SetEndpoints(gateway.now(), list)
	gateway.notifyWaiters()
}

// cacheTokens returns the size of the prefix cache of a service's engines, in tokens; 0 if it is unknown.
func cacheTokens(table *routing.Table, name string) int64 {
	if table == nil {
		return 0
	}
	service := table.Services[name]
	if service == nil || service.Engine == nil {
		return 0
	}
	return service.Engine.CacheTokens
}

// limits returns the limits on what clients send, by the current configuration; before the first one, defaults.
func (gateway *Gateway) limits() ingress.Limits {
	table := gateway.routing.Load()
	if table == nil {
		return ingress.Limits{MaxHeader: 16 << 10, MaxBody: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	}
	return ingress.Limits{MaxHeader: table.Limits.MaxHeader, MaxBody: table.Limits.MaxBody,
		HeaderTimeout: table.Limits.HeaderTimeout, IdleTimeout: table.Limits.IdleTimeout}
}
