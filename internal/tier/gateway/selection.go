package gateway

import (
	"time"

	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
)

// currentCheckInterval is the interval at which awaitCurrent checks the session.
const currentCheckInterval = 10 * time.Millisecond

// selectEndpoint gets the endpoint of the next attempt from the load balancer. If there is none with capacity, it waits for one for a
// quarter of the latency target, but at most a third of the remaining time, so that a rejected client may still be served in time by a
// retry.
func (request *clientRequest) selectEndpoint() loadbalancer.Selection {
	gateway := request.gateway
	rejectAt := time.Now().Add(min(request.route.LatencyTarget/4, time.Until(request.deadline)/3))
	if !request.awaitCurrent(rejectAt) {
		return loadbalancer.Selection{Decision: loadbalancer.NoEndpoint}
	}
	for {
		gateway.mu.Lock()
		selection := gateway.loadbalancer.Pick(gateway.now(), request.selectionCriteria())
		gateway.queueHealthReports()
		if selection.Decision == loadbalancer.Send || selection.Decision == loadbalancer.DeadlineTooShort {
			gateway.mu.Unlock()
			return selection
		}
		gateway.waiters++
		freed := gateway.capacityFreed
		gateway.mu.Unlock()
		left := time.Until(rejectAt)
		if left <= 0 {
			return selection
		}
		timer := time.NewTimer(left)
		select {
		case <-freed:
		case <-timer.C:
		case <-request.ctx.Done(): // picks once more; an attempt would be canceled at once
			rejectAt = time.Time{}
		}
		timer.Stop()
	}
}

// selectionCriteria returns the load balancer's input for the next attempt.
func (request *clientRequest) selectionCriteria() loadbalancer.Request {
	route := request.route
	return loadbalancer.Request{Route: route.Name, Service: request.service,
		Retryable: request.retryable() && request.sent+1 < route.MaxAttempts, FirstAttempt: request.sent == 0, InitialTimeout: request.firstEventTimeout(),
		Remaining: time.Until(request.deadline), Priority: route.Priority, AffinityKey: request.affinity, StickyInstance: request.preferredInstance,
		PromptPrefixes: request.prefix, CacheTokens: request.promptTokens, AttemptedInstances: request.avoid}
}

// awaitCurrent waits until the endpoint list is current, and reports whether it was before the given time. After this process was
// suspended, the session needs a moment to receive the updates that it has missed.
func (request *clientRequest) awaitCurrent(until time.Time) bool {
	for !request.gateway.session.Current() {
		left := time.Until(until)
		if left <= 0 {
			return false
		}
		timer := time.NewTimer(min(left, currentCheckInterval))
		select {
		case <-timer.C:
		case <-request.ctx.Done():
			timer.Stop()
			return false
		}
	}
	return true
}

// notifyWaiters wakes all requests that wait for capacity, so that they select an endpoint again. The caller holds mu.
func (gateway *Gateway) notifyWaiters() {
	if gateway.waiters > 0 {
		close(gateway.capacityFreed)
		gateway.capacityFreed = make(chan struct{})
		gateway.waiters = 0
	}
}
