package loadbalancer

import "time"

// StartHealthChecks returns the ejected endpoints that are due to be probed, for an owner that checks their health by calls of its
// own, which is necessary if requests can't be retried. The owner must report the result of each by RecordHealthCheck.
func (balancer *Balancer) StartHealthChecks(now time.Duration) []Endpoint {
	var due []Endpoint
	for _, service := range balancer.services {
		service.ejectUnresponsive(now)
		for _, endpoint := range service.endpoints {
			if endpoint.ejected && !endpoint.misdirected && endpoint.probesInFlight == 0 && now >= endpoint.nextProbeAt {
				endpoint.healthCheckInFlight = true
				endpoint.probesInFlight++
				due = append(due, endpoint.Endpoint)
			}
		}
	}
	return due
}

// RecordHealthCheck records the result of a health check that StartHealthChecks has returned; any other is ignored.
func (balancer *Balancer) RecordHealthCheck(now time.Duration, instance string, healthy bool) {
	endpoint := balancer.endpoints[instance]
	if endpoint == nil || !endpoint.healthCheckInFlight {
		return
	}
	endpoint.healthCheckInFlight = false
	endpoint.probesInFlight--
	if !healthy {
		endpoint.ejectAndReport(now)
		return
	}
	endpoint.lastSeenAt = max(endpoint.lastSeenAt, now)
	endpoint.restore()
}
