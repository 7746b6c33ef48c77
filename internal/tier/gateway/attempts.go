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

// maxAttempts bounds all attempts of a request, including those that ended before anything was written to an endpoint. A route's
// MaxAttempts counts only attempts that were written.
const maxAttempts = 8

// minUpstreamConnections is the lower bound of the limit on connections to endpoints.
const minUpstreamConnections = 32

// newPool returns the pool of connections to endpoints, which may take three tenths of the process's file descriptors.
func newPool(settings settings.Settings) *upstream.Pool {
	return upstream.NewPool(upstream.Config{MaxConnections: max(minUpstreamConnections, settings.MaxFileDescriptors*3/10)})
}

// upstreamRequest returns the request as it is sent to an endpoint.
func (request *clientRequest) upstreamRequest(selection loadbalancer.Selection) *upstream.Request {
	exchange := request.exchange
	endToEnd := exchange.Header.AppendEndToEnd(make([]http1.Field, 0, len(exchange.Header)+1))
	header := make([]http1.Field, 0, len(endToEnd))
	for _, f := range endToEnd {
		if (request.dropLastEventID || request.resumeAfter != "") && strings.EqualFold(f.Name, lastEventIDHeader) {
			continue
		}
		header = append(header, f)
	}
	upstreamRequest := &upstream.Request{Method: exchange.Method, Target: exchange.Target, Host: exchange.Host, Header: header, AttemptID: request.attemptID,
		Deadline: request.deadline, Priority: -1, Turn: request.route.Persisted, Permit: func() bool { return request.gateway.mayStillSend(selection) }}
	if len(request.body) > 0 {
		upstreamRequest.Body = [][]byte{request.body}
	}
	if request.route.Kind == routing.Streaming {
		upstreamRequest.Priority = min(max(request.route.Priority, 0), 9)
		upstreamRequest.ForceStream = true
	}
	if request.resumeAfter != "" {
		upstreamRequest.Header = append(upstreamRequest.Header, http1.Field{Name: lastEventIDHeader, Value: request.resumeAfter})
		upstreamRequest.LastEventID = request.resumeAfter
	}
	return upstreamRequest
}

// mayStillSend reports whether the endpoint list is current and the selected instance is listed and not draining. It is called right
// before the request is written.
func (gateway *Gateway) mayStillSend(selection loadbalancer.Selection) bool {
	if !gateway.session.Current() {
		return false
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.routable[selection.Instance]
}

// send makes one attempt at the selected endpoint. If the outcome is Streaming, the caller must pass the result to copyAttempt, which
// reports its end.
func (request *clientRequest) send(selection loadbalancer.Selection) *upstream.Result {
	target := upstream.Target{Address: selection.Address, Instance: selection.Instance, MaxConnections: request.maxConnections()}
	request.sentAt = time.Now()
	result := request.gateway.pool.Call(request.ctx, target, request.upstreamRequest(selection), selection.Timeout)
	if result.Written {
		request.sent++
		request.avoid = append(request.avoid, selection.Instance)
	}
	if request.resumeAfter != "" && result.Written {
		request.gateway.counters.resumed.Add(1)
	}
	if result.Outcome != upstream.Streaming {
		request.gateway.counters.countAttempt(result)
		outcome := callOutcome(result, time.Since(request.sentAt))
		if outcome.Kind == loadbalancer.NotSent && !request.gateway.session.Current() { // not a failure of the endpoint
			outcome.Kind = loadbalancer.Canceled
		}
		request.gateway.callDone(selection.Call, outcome)
	}
	return result
}

// maxConnections returns the limit on connections to an endpoint of the request's service; 0: unlimited.
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

// attemptsLeft reports whether the request may be sent again after the given number of attempts, and its deadline has not passed.
func (request *clientRequest) attemptsLeft(attempts int) bool {
	return request.sent < request.route.MaxAttempts && attempts < maxAttempts && time.Until(request.deadline) > 0
}

// respond answers the client with the decisive result, when no attempts are left.
func (request *clientRequest) respond(result *upstream.Result) {
	switch result.Disposition(false).Reply {
	case upstream.ForwardResponse:
		request.exchange.Respond(result.Response.Status, fields(result.Response), result.Body)
	case upstream.ServiceUnavailable:
		after := request.gateway.storeClient.maxBackoff
		if result.Response != nil && result.Response.RetryAfter > 0 {
			after = result.Response.RetryAfter
		}
		request.gateway.reject(request.exchange, after)
	case upstream.GatewayTimeout:
		request.exchange.Respond(http.StatusGatewayTimeout, nil, nil)
	case upstream.BadGateway:
		request.exchange.Respond(http.StatusBadGateway, nil, nil)
	default:
		request.exchange.Abort()
	}
}

// fields returns the header fields of an endpoint's answer, as they are sent to the client.
func fields(response *upstream.Response) []http1.Field {
	return append(make([]http1.Field, 0, len(response.Header)+1), response.Header...)
}

// rejectUnsent rejects a request that was not executed because the load balancer has no endpoint for it.
func (request *clientRequest) rejectUnsent(selection loadbalancer.Selection) {
	after := selection.RetryAfter
	if after <= 0 {
		after = request.gateway.storeClient.maxBackoff
	}
	request.gateway.reject(request.exchange, after)
}

// forwardBuffered serves a request whose answer is sent to the client when it is complete, or streamed if it is too large to buffer.
func (request *clientRequest) forwardBuffered() {
	var last *upstream.Result
	for attempts := 1; ; attempts++ {
		selection := request.selectEndpoint()
		if selection.Decision != loadbalancer.Send {
			if last != nil && request.sent > 0 { // it may have been executed
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
