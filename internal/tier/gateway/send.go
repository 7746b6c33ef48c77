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

const (
	maxAttempts      = 8                      // tries of one request that ended before a byte was written, and sends, at most
	clientWatchDelay = 300 * time.Millisecond // a client is watched for its end from then on
)

// newPool makes the connections to endpoints; they may take three tenths of the process's descriptors.
func newPool(s settings.Settings) *upstream.Pool {
	return upstream.NewPool(upstream.Config{MaxConnections: max(32, s.Descriptors*3/10)})
}

// upstreamRequest is the request as an endpoint gets it.
func (request *clientRequest) upstreamRequest(choice loadbalancer.Selection) *upstream.Request {
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
		Deadline: request.deadline, Priority: -1, Turn: request.route.Persisted, Permit: func() bool { return request.gateway.mayStillSend(choice) }}
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

// mayStillSend asks at the last moment whether the endpoint is still one that requests may go to: it is by a list that is current.
func (gateway *Gateway) mayStillSend(choice loadbalancer.Selection) bool {
	if !gateway.session.Current() {
		return false
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.routable[choice.Instance]
}

// send makes one send at the endpoint of choice. A result that is streaming is the caller's to finish.
func (request *clientRequest) send(choice loadbalancer.Selection) *upstream.Result {
	target := upstream.Target{Address: choice.Address, Instance: choice.Instance, MaxConnections: request.maxConnections()}
	request.sentAt = time.Now()
	r := request.gateway.pool.Call(request.ctx, target, request.upstreamRequest(choice), choice.Timeout)
	if r.Written {
		request.sent++
		request.avoid = append(request.avoid, choice.Instance)
	}
	if request.resumeAfter != "" && r.Written {
		request.gateway.counters.resumed.Add(1)
	}
	if r.Outcome != upstream.Streaming {
		request.gateway.counters.countAttempt(r)
		o := callOutcome(r, time.Since(request.sentAt))
		if o.Kind == loadbalancer.NotSent && !request.gateway.session.Current() { // it says nothing of the endpoint
			o.Kind = loadbalancer.Canceled
		}
		request.gateway.callDone(choice.Call, o)
	}
	return r
}

// maxConnections is how many connections the gateway may have to an endpoint of the request's service; 0: no bound.
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

// callOutcome is what the load balancer is given of a call that has ended; took is from its send to its first piece, or to its
// end.
func callOutcome(r *upstream.Result, took time.Duration) loadbalancer.Outcome {
	o := loadbalancer.Outcome{Latency: took}
	end := r.Outcome
	if r.Stream != nil {
		end = r.Stream.Outcome()
	}
	a := r.Response
	if a != nil && a.HasLoad {
		o.Load = &loadbalancer.Load{Running: a.Load.Running, Waiting: a.Load.Waiting, Slots: a.Load.Slots}
	}
	switch end {
	case upstream.Complete:
		o.Kind, o.Misdirected = answerOutcome(a)
	case upstream.TimedOut:
		o.Kind = loadbalancer.TimedOut
		if !r.Written {
			o.Kind = loadbalancer.Broken
		}
	case upstream.Canceled:
		o.Kind = loadbalancer.Canceled
	case upstream.NotSent, upstream.NoConnection:
		o.Kind = loadbalancer.NotSent
	default:
		o.Kind = loadbalancer.Broken
	}
	return o
}

// answerOutcome is the outcome of an answer that came whole. misdirected: the endpoint is not the instance asked for.
func answerOutcome(a *upstream.Response) (kind loadbalancer.OutcomeKind, misdirected bool) {
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return loadbalancer.Gone, true
	case a.NotExecuted:
		return loadbalancer.Rejected, false
	case a.Status/100 == 2 || a.Status/100 == 4 || a.Signature != "":
		return loadbalancer.Served, false
	}
	return loadbalancer.Failed, false
}

// firstEvent tells the load balancer that the first piece of a call's answer has come.
func (gateway *Gateway) firstEvent(call *loadbalancer.Call) {
	gateway.mu.Lock()
	gateway.loadbalancer.ResponseStarted(gateway.now(), call)
	gateway.mu.Unlock()
}

// mayRetry reports whether another send is allowed and has a chance.
func (request *clientRequest) mayRetry(r *upstream.Result, tries int) bool {
	return r.Disposition(false).MayRetry(request.retryable()) && request.sent < request.route.MaxAttempts && tries < maxAttempts &&
		time.Until(request.deadline) > 0
}

// respond answers the client when nothing is left to try.
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
		request.x.Respond(504, nil, nil)
	case upstream.BadGateway:
		request.x.Respond(502, nil, nil)
	default:
		request.x.Abort()
	}
}

// fields are those of an endpoint's answer as the client gets them.
func fields(a *upstream.Response) []http1.Field {
	head := make([]http1.Field, 0, len(a.Header)+1)
	for _, f := range a.Header {
		head = append(head, f)
	}
	return head
}

// rejectUnsent answers a request for which no endpoint is to be had.
func (request *clientRequest) rejectUnsent(choice loadbalancer.Selection) {
	after := choice.RetryAfter
	if after <= 0 {
		after = request.gateway.storeClient.maxBackoff
	}
	request.gateway.reject(request.x, after)
}

// forwardBuffered sends a request whose answer is passed on when it is here whole.
func (request *clientRequest) forwardBuffered() {
	var last *upstream.Result
	for tries := 1; ; tries++ {
		choice := request.selectEndpoint()
		if choice.Decision != loadbalancer.Send {
			if last != nil && request.sent > 0 { // it may have run
				request.respond(last)
			} else {
				request.rejectUnsent(choice)
			}
			return
		}
		r := request.send(choice)
		if r.Outcome == upstream.Streaming {
			request.streamLargeAnswer(r, choice)
			return
		}
		// What an earlier send may have done stands, whatever a later one says.
		if last == nil || r.Disposition(false).Execution != upstream.NotExecuted || last.Disposition(false).Execution == upstream.NotExecuted {
			last = r
		}
		if !request.mayRetry(r, tries) {
			request.respond(last)
			return
		}
	}
}
