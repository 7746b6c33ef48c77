package gateway

import (
	"context"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

const (
	maxUnreported = 256 // ejections that wait to be reported, at most; further ones are not
	maxReport     = 64  // instances of one report
)

// noteEjections has what the load balancer ejected by itself reported. It does not block. The caller holds mu.
func (gateway *Gateway) noteEjections() {
	for _, instance := range gateway.loadbalancer.TakeEjections() {
		select {
		case gateway.ejected <- instance:
		default:
		}
	}
}

// reportEjections reports ejections to the control plane until ctx ends, those that come together in one call.
func (gateway *Gateway) reportEjections(ctx context.Context) {
	for {
		var instances []string
		select {
		case instance := <-gateway.ejected:
			instances = append(instances, instance)
		case <-ctx.Done():
			return
		}
		for more := true; more && len(instances) < maxReport; {
			select {
			case instance := <-gateway.ejected:
				instances = append(instances, instance)
			default:
				more = false
			}
		}
		gateway.session.ReportEjections(ctx, instances)
	}
}

// takeEjections ejects endpoints that several gateways have ejected.
func (gateway *Gateway) takeEjections(ejections *tierv1.Ejections) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	newest := gateway.ejectionsTaken
	for _, ejection := range ejections.List {
		if ejection.Version > gateway.ejectionsTaken {
			gateway.loadbalancer.EjectReported(gateway.now(), ejection.Instance)
			newest = max(newest, ejection.Version)
		}
	}
	gateway.ejectionsTaken = newest
}
