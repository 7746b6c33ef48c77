package gateway

import (
	"context"
	"strconv"
	"time"

	"dockshift.example/dockshift/internal/tier/ingress"
	"dockshift.example/dockshift/internal/tier/loadbalancer"
	"dockshift.example/dockshift/internal/tier/routing"
)

// handle answers one request.
func (gateway *Gateway) handle(x *ingress.Exchange) {
	gateway.calls.Add(1)
	defer gateway.calls.Add(-1)
	table := gateway.routing.Load()
	if table == nil {
		gateway.refuse(x, 500*time.Millisecond)
		return
	}
	route := table.Match(x.Host, x.Path)
	if route == nil {
		x.Respond(404, nil, []byte("no route\n"))
		return
	}
	request := &clientRequest{gateway: gateway, x: x, route: route, attempt: x.Header.Get("X-Attempt-Id"), body: x.Body, perEvent: 1}
	if request.attempt == "" {
		x.Respond(400, nil, []byte("no X-Attempt-Id\n"))
		return
	}
	if route.Kind == routing.Streaming && !x.CanStream() {
		x.Respond(505, nil, nil)
		return
	}
	if !request.readDeadline() {
		x.Respond(400, nil, []byte("X-Deadline-Ms is no number of milliseconds\n"))
		return
	}
	request.readTokens()
	request.readAffinity()
	request.chooseService(table)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request.ctx = ctx
	x.OnGone(watchFrom, cancel)
	switch {
	case route.Persisted:
		request.turn()
	case route.Kind == routing.Streaming:
		request.stream(nil)
	default:
		request.whole()
	}
}

// refuse says that the request has not run and never will, and when to come back.
func (gateway *Gateway) refuse(x *ingress.Exchange, after time.Duration) {
	seconds := strconv.FormatFloat(max(after, time.Millisecond).Seconds(), 'f', 3, 64)
	x.Respond(503, []ingress.Field{{Name: "Retry-After", Value: seconds}}, nil)
}

// choose picks an endpoint for the next send, waiting a little for a place where all are taken.
func (request *clientRequest) choose() loadbalancer.Choice {
	gateway := request.gateway
	// A request that waits is refused within its aim, so that its client's new try may still be in time.
	refuseAt := time.Now().Add(min(request.route.Aim/4, time.Until(request.until)/3))
	for {
		gateway.mu.Lock()
		choice := gateway.loadbalancer.Pick(gateway.now(), request.ask())
		if choice.Verdict == loadbalancer.Send || choice.Verdict == loadbalancer.Hopeless {
			gateway.mu.Unlock()
			return choice
		}
		gateway.waiting++
		freed := gateway.freed
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

// ask is what the load balancer needs to know for the next send.
func (request *clientRequest) ask() loadbalancer.Ask {
	route := request.route
	return loadbalancer.Ask{Route: route.Name, Service: request.service,
		Repeatable: route.Kind == routing.Idempotent && request.sent+1 < route.MaxAttempts, First: request.sent == 0,
		Left: time.Until(request.until), Priority: route.Priority, Affinity: request.affinity, Home: request.home,
		Prefix: request.prefix, Tokens: request.tokens, Tried: request.tried}
}

// done tells the load balancer how a call ended, and those that wait for a place that there may be one.
func (gateway *Gateway) done(call *loadbalancer.Call, outcome loadbalancer.Outcome) {
	gateway.mu.Lock()
	gateway.loadbalancer.Done(gateway.now(), call, outcome)
	gateway.wake()
	gateway.mu.Unlock()
}
