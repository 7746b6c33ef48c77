package gateway

import (
	"context"
	"slices"

	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// maxQueuedHealthReports is how many changes of endpoints' health wait to be reported, at most; further ones are not.
const maxQueuedHealthReports = 64

// queueHealthReports has reported what the load balancer has found of endpoints by itself. It does not block. The caller holds mu.
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

// reportHealth reports to the control plane until ctx ends, in one call what has come together.
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

// applyEjections takes what other gateways have found. Until the next news an endpoint that others probe gets nothing from here, for a
// contact window at most.
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
