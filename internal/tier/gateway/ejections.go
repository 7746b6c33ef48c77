package gateway

import (
	"context"
	"slices"

	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// maxQueuedHealthReports bounds the reports that wait to be sent; further ones are dropped.
const maxQueuedHealthReports = 64

// queueHealthReports queues the load balancer's reports of endpoints that this gateway has ejected or restored. It does not block. The
// caller holds mu.
func (gateway *Gateway) queueHealthReports() {
	reports := gateway.loadbalancer.TakeReports()
	if len(reports.Ejected)+len(reports.Restored) == 0 {
		return
	}
	select {
	case gateway.healthReports <- reports:
	default:
	}
}

// reportHealth sends queued reports to the control plane until ctx ends. All reports that are queued are sent in one call.
func (gateway *Gateway) reportHealth(ctx context.Context) {
	for {
		var all loadbalancer.Reports
		select {
		case all = <-gateway.healthReports:
		case <-ctx.Done():
			return
		}
		for range len(gateway.healthReports) {
			more := <-gateway.healthReports
			all.Ejected = append(all.Ejected, more.Ejected...)
			all.Restored = append(all.Restored, more.Restored...)
		}
		gateway.session.ReportHealth(ctx, all.Ejected, all.Restored)
	}
}

// applyEjections applies the ejections and restorations that other gateways have reported. An ejected endpoint that other gateways probe
// gets no requests from this one until the next update, for at most a contact window.
func (gateway *Gateway) applyEjections(ejections *tierv1.Ejections) {
	settings := &gateway.config.Settings
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	newest := gateway.ejectionsVersion
	for _, ejection := range ejections.List {
		if ejection.Version <= gateway.ejectionsVersion {
			continue
		}
		newest = max(newest, ejection.Version)
		if ejection.Restored {
			gateway.loadbalancer.RestoreReported(ejection.Instance)
			continue
		}
		probes := slices.Contains(ejection.HealthCheckers, settings.Node)
		gateway.loadbalancer.EjectReported(gateway.now(), ejection.Instance, probes, settings.ContactWindow)
	}
	gateway.ejectionsVersion = newest
	gateway.notifyWaiters()
}
