package gateway

import (
	"net/http"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// maxAttempts bounds the attempts of a request, also those that ended before anything was written to an endpoint; a route's MaxAttempts
// counts only the others.
const maxAttempts = 8

// newPool returns the pool of connections to endpoints, which may take three tenths of the process's file descriptors.
func newPool(s settings.Settings) *upstream.Pool {
	return upstream.NewPool(upstream.Config{MaxConnections: max(32, s.MaxFileDescriptors*3/10)})
}

// upstreamRequest returns the request as it is sent to an endpoint.
func (request *clientRequest) upstreamRequest(selection loadbalancer.Selection) *upstream.Request {
	x := request.x
	ends := x.Header.AppendEndToEnd(make([]http1.Field, 0, len(x.Header)+1))
	head := make([]http1.Field, 0, len(ends))
	for _, f := range ends {
		if (request.dropLastEventID || request.resumeAfter != "") && strings.EqualFold(f.Name, lastEventIDHeader) {
			continue
		}
		head = append(head, f)
	}
	q := &upstream.Request{Method: x.Method, Target: x.Target, Host: x.Host, Header: head, AttemptID: request.attemptID,
		Deadline: request.deadline, Priority: -1, Turn: request.route.Persisted, Permit: func() bool { return request.gateway.mayStillSend(selection) }}
	if len(request.body) > 0 {
		q.Body = [][]byte{request.body}
	}
	if request.route.Kind == routing.Streaming {
		q.Priority = min(max(request.route.Priority, 0), 9)
		q.ForceStream = true
	}
	if request.resumeAfter != "" {
		q.Header = append(q.Header, http1.Field{Name: lastEventIDHeader, Value: request.resumeAfter})
		q.LastEventID = request.resumeAfter
	}
	return q
}

// mayStillSend reports, right before the request is written, whether the endpoints are current and the selected one is not draining.
func (gateway *Gateway) mayStillSend(selection loadbalancer.Selection) bool {
	if !gateway.session.Current() {
		return false
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.routable[selection.Instance]
}

// send makes one attempt at the selected endpoint. If the result is streaming, the caller has to complete it.
func (request *clientRequest) send(selection loadbalancer.Selection) *upstream.Result {
	target := upstream.Target{Address: selection.Address, Instance: selection.Instance, MaxConnections: request.maxConnections()}
	request.sentAt = time.Now()
	r := request.gateway.pool.Call(request.ctx, target, request.upstreamRequest(selection), selection.Timeout)
	if r.Written {
		request.sent++
		request.avoid = append(request.avoid, selection.Instance)
	}
	if request.resumeAfter != "" && r.Written {
		request.gateway.counters.resumed.Add(1)
	}
	if r.Outcome != upstream.Streaming {
		request.gateway.counters.countAttempt(r)
		o := callOutcome(r, time.Since(request.sentAt))
		if o.Kind == loadbalancer.NotSent && !request.gateway.session.Current() { // that is no fault of the endpoint
			o.Kind = loadbalancer.Canceled
		}
		request.gateway.callDone(selection.Call, o)
	}
	return r
}

// maxConnections returns the limit on connections to an endpoint of the request's service; 0: none.
func (request *clientRequest) maxConnections() int {
	table := request.gateway.routing.Load()
	if table == nil {
		return 0
	}
	service := table.Services[request.service]
	if service == nil {
		return 0
	}
	return service.MaxConnections
}

// attemptsLeft reports whether the request may be sent once more, after so many attempts, and has time for it.
func (request *clientRequest) attemptsLeft(attempts int) bool {
	return request.sent < request.route.MaxAttempts && attempts < maxAttempts && time.Until(request.deadline) > 0
}

// respond answers the client with the decisive result, when no attempts are left.
func (request *clientRequest) respond(r *upstream.Result) {
	switch r.Disposition(false).Reply {
	case upstream.ForwardResponse:
		request.x.Respond(r.Response.Status, fields(r.Response), r.Body)
	case upstream.ServiceUnavailable:
		after := request.gateway.storeClient.maxBackoff
		if r.Response != nil && r.Response.RetryAfter > 0 {
			after = r.Response.RetryAfter
		}
		request.gateway.reject(request.x, after)
	case upstream.GatewayTimeout:
		request.x.Respond(http.StatusGatewayTimeout, nil, nil)
	case upstream.BadGateway:
		request.x.Respond(http.StatusBadGateway, nil, nil)
	default:
		request.x.Abort()
	}
}

// fields returns the header fields of an endpoint's answer, as they are sent to the client.
func fields(a *upstream.Response) []http1.Field {
	head := make([]http1.Field, 0, len(a.Header)+1)
	for _, f := range a.Header {
		head = append(head, f)
	}
	return head
}

// rejectUnsent rejects a request that has not run, as the load balancer has no endpoint for it.
func (request *clientRequest) rejectUnsent(selection loadbalancer.Selection) {
	after := selection.RetryAfter
	if after <= 0 {
		after = request.gateway.storeClient.maxBackoff
	}
	request.gateway.reject(request.x, after)
}

// forwardBuffered serves a request whose answer is passed on when it is complete, or streamed if it is too large for that.
func (request *clientRequest) forwardBuffered() {
	var last *upstream.Result
	for attempts := 1; ; attempts++ {
		selection := request.selectEndpoint()
		if selection.Decision != loadbalancer.Send {
			if last != nil && request.sent > 0 { // it may have run
				request.respond(last)
			} else {
				request.rejectUnsent(selection)
			}
			return
		}
		result := request.send(selection)
		if result.Outcome == upstream.Streaming {
			request.streamLargeAnswer(result, selection)
			return
		}
		last = decisive(last, result)
		if !result.Disposition(false).MayRetry(request.retryable()) || !request.attemptsLeft(attempts) {
			request.respond(last)
			return
		}
	}
}
