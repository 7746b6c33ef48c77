package loadbalancer

import "time"

const (
	minProbeBackoff        = 250 * time.Millisecond // from an ejection to the first probe; doubles with each failed one
	maxProbeBackoff        = 4 * time.Second
	maxSharedProbeBackoff  = time.Second // replaces maxProbeBackoff for an endpoint that other senders do not probe
	nonRetryableProbeDelay = time.Second // added before a request that can't be retried is used as a probe
)

// ejectUnresponsive ejects the endpoints that do not respond, as long as half of the service's endpoints are left. If most do not
// respond, they are overloaded or the sender's own network links are at fault, and ejecting more of them would make the outage worse.
func (service *service) ejectUnresponsive(now time.Duration) {
	for _, endpoint := range service.endpoints {
		if endpoint.unresponsive(now) && service.mayEject() {
			endpoint.ejectAndReport(now)
		}
	}
}

// mayEject reports whether one more endpoint may be ejected with half of them left.
func (service *service) mayEject() bool {
	ejected := 0
	for _, endpoint := range service.endpoints {
		if endpoint.ejected {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(service.endpoints)
}

// unresponsive reports whether the endpoint is not ejected but should be: since its oldest call without a response was sent, nothing
// was received from it for longer than that call's unresponsiveTimeout. One call is enough: each of many senders has few calls at any
// one endpoint, other endpoints are available, and the first event of a response restores the endpoint.
func (endpoint *endpoint) unresponsive(now time.Duration) bool {
	if endpoint.ejected || len(endpoint.awaitingResponse) == 0 {
		return false
	}
	oldest := endpoint.awaitingResponse[0]
	return now-max(oldest.sentAt, endpoint.lastSeenAt) > oldest.unresponsiveTimeout()
}

// ejectAndReport ejects the endpoint by this sender's own observations, and reports the ejection to the other senders.
func (endpoint *endpoint) ejectAndReport(now time.Duration) {
	endpoint.eject(now)
	endpoint.reports.Ejected = append(endpoint.reports.Ejected, endpoint.Instance)
}

// eject stops all requests to the endpoint except probes until it is restored. If it is ejected already, the probe backoff doubles.
func (endpoint *endpoint) eject(now time.Duration) {
	endpoint.ejected = true
	maxBackoff := maxProbeBackoff
	if endpoint.ejectionShared { // other senders wait for the result of the probe
		maxBackoff = maxSharedProbeBackoff
	}
	endpoint.probeBackoff = min(max(2*endpoint.probeBackoff, minProbeBackoff), maxBackoff)
	endpoint.nextProbeAt = now + endpoint.probeBackoff
}

// restore ends an ejection, if there is one, and resets the consecutive failures.
func (endpoint *endpoint) restore() {
	if endpoint.ejected && endpoint.ejectionShared {
		endpoint.ejectionShared = false
		endpoint.reports.Restored = append(endpoint.reports.Restored, endpoint.Instance)
	}
	endpoint.ejected, endpoint.consecutiveFailureWeight, endpoint.probeBackoff = false, 0, 0
}

// probeDue reports whether the endpoint is ejected and an attempt may now be sent there as a probe.
func (endpoint *endpoint) probeDue(now time.Duration, request *Request) bool {
	due := endpoint.nextProbeAt
	if !request.Retryable {
		due += nonRetryableProbeDelay
	}
	return endpoint.ejected && endpoint.probesInFlight == 0 && now >= due
}

// Reports are the changes to be shared with other senders.
type Reports struct {
	Ejected  []string // instances ejected by this sender's own observations, including ejected ones whose probe has failed
	Restored []string // instances that other senders had reported as ejected, and that have responded to this one
}

// TakeReports returns the reports since its last call.
func (balancer *Balancer) TakeReports() Reports {
	taken := balancer.reports
	balancer.reports = Reports{}
	return taken
}

// EjectReported ejects an endpoint that other senders have ejected, as long as half of the endpoints of its service are left. Unless
// isProber is set, this sender does not probe it for probeDelay, within which another report is expected.
func (balancer *Balancer) EjectReported(now time.Duration, instance string, isProber bool, probeDelay time.Duration) {
	endpoint := balancer.endpoints[instance]
	if endpoint == nil {
		return
	}
	service := balancer.services[endpoint.Service]
	if service == nil || !endpoint.ejected && !service.mayEject() {
		return
	}
	if !endpoint.ejected {
		endpoint.eject(now)
	}
	endpoint.ejectionShared = true
	if !isProber {
		endpoint.nextProbeAt = max(endpoint.nextProbeAt, now+probeDelay)
	}
}

// RestoreReported ends an ejection that other senders have reported, as the endpoint has responded to one of them.
func (balancer *Balancer) RestoreReported(instance string) {
	if endpoint := balancer.endpoints[instance]; endpoint != nil && endpoint.ejectionShared {
		endpoint.ejectionShared = false
		endpoint.restore()
	}
}
