package gateway

import (
	"context"
	"strconv"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/routing"
)

// currentCheckInterval is from one look at whether the list of endpoints is current to the next.
const currentCheckInterval = 10 * time.Millisecond

// handle answers one request.
func (gateway *Gateway) handle(x *ingress.Exchange) {
	gateway.activeRequests.Add(1)
	defer gateway.activeRequests.Add(-1)
	kind := kindNone
	defer func() { gateway.counters.countRequest(kind, outcomeOf(x.Status(), x.Signed(), x.Complete())) }()
	table := gateway.routing.Load()
	if table == nil {
		gateway.reject(x, 500*time.Millisecond)
		return
	}
	route := table.Match(x.Host, x.Path)
	if route == nil {
		x.Respond(404, nil, []byte("no route\n"))
		return
	}
	request := &clientRequest{gateway: gateway, x: x, route: route, attemptID: x.Header.Get("X-Attempt-Id"), body: x.Body, tokensPerEvent: 1}
	if request.attemptID == "" {
		x.Respond(400, nil, []byte("no X-Attempt-Id\n"))
		return
	}
	if route.Kind == routing.Streaming && !x.CanStream() {
		x.Respond(505, nil, nil)
		return
	}
	kind = request.kind()
	if !request.readDeadline() {
		x.Respond(400, nil, []byte("X-Deadline-Ms is no number of milliseconds\n"))
		return
	}
	request.readTokens()
	request.readAffinity()
	request.selectService(table)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request.ctx = ctx
	x.OnClientGone(clientWatchDelay, cancel)
	request.forward()
}

// forward answers a request by its kind: a turn is accounted for first, a stream is passed on as it comes, and any other answer
// when it is here whole.
func (request *clientRequest) forward() {
	switch {
	case request.route.Kind != routing.Streaming && !request.route.Persisted:
		request.forwardBuffered()
	case request.needsTurnStore():
		request.forwardTurn()
	default:
		request.forwardStream(accounting{})
	}
}

// reject says that the request has not run and never will, and when to come back.
func (gateway *Gateway) reject(x *ingress.Exchange, after time.Duration) {
	seconds := strconv.FormatFloat(max(after, time.Millisecond).Seconds(), 'f', 3, 64)
	x.Respond(503, []http1.Field{{Name: "Retry-After", Value: seconds}}, nil)
}

// selectEndpoint picks an endpoint for the next send, waiting a little for a place where all are taken.
func (request *clientRequest) selectEndpoint() loadbalancer.Selection {
	gateway := request.gateway
	// A request that waits is refused within its aim, so that its client's new try may still be in time.
	refuseAt := time.Now().Add(min(request.route.Aim/4, time.Until(request.deadline)/3))
	if !request.awaitCurrent(refuseAt) {
		return loadbalancer.Selection{Decision: loadbalancer.NoEndpoint}
	}
	for {
		gateway.mu.Lock()
		choice := gateway.loadbalancer.Pick(gateway.now(), request.selectionCriteria())
		gateway.queueHealthReports()
		if choice.Decision == loadbalancer.Send || choice.Decision == loadbalancer.DeadlineTooShort {
			gateway.mu.Unlock()
			return choice
		}
		gateway.waiters++
		freed := gateway.capacityFreed
		gateway.mu.Unlock()
		left := time.Until(refuseAt)
		if left <= 0 {
			return choice
		}
		timer := time.NewTimer(left)
		select {
		case <-freed:
		case <-timer.C:
		case <-request.ctx.Done(): // the next send tells that the client has left
			refuseAt = time.Time{}
		}
		timer.Stop()
	}
}

// selectionCriteria is what the load balancer needs to know for the next send.
func (request *clientRequest) selectionCriteria() loadbalancer.Request {
	route := request.route
	return loadbalancer.Request{Route: route.Name, Service: request.service,
		Retryable: request.retryable() && request.sent+1 < route.MaxAttempts, FirstAttempt: request.sent == 0, InitialTimeout: request.firstEventTimeout(),
		Remaining: time.Until(request.deadline), Priority: route.Priority, AffinityKey: request.affinity, StickyInstance: request.preferredInstance,
		PromptPrefixes: request.prefix, CacheTokens: request.promptTokens, AttemptedInstances: request.avoid}
}

// awaitCurrent waits until the list of endpoints is current, and tells whether it is. After a pause of this process the session
// needs a moment to hear what it has missed.
func (request *clientRequest) awaitCurrent(until time.Time) bool {
	for !request.gateway.session.Current() {
		left := time.Until(until)
		if left <= 0 {
			return false
		}
		again := time.NewTimer(min(left, currentCheckInterval))
		select {
		case <-again.C:
		case <-request.ctx.Done():
			again.Stop()
			return false
		}
	}
	return true
}

// callDone tells the load balancer how a call ended, and those that wait for a place that there may be one.
func (gateway *Gateway) callDone(call *loadbalancer.Call, outcome loadbalancer.Outcome) {
	gateway.mu.Lock()
	gateway.loadbalancer.Done(gateway.now(), call, outcome)
	gateway.queueHealthReports()
	gateway.notifyWaiters()
	gateway.mu.Unlock()
}
