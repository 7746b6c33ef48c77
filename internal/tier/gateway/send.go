package gateway

import (
	"net/http"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

const (
	maxTries  = 8                      // tries of one request that ended before a byte was written, and sends, at most
	watchFrom = 300 * time.Millisecond // a client is watched for its end from then on
)

// newPool makes the connections to endpoints; they may take three tenths of the process's descriptors.
func newPool(s settings.Settings) *upstream.Pool {
	return upstream.NewPool(upstream.Config{MaxConnections: max(32, s.Descriptors*3/10)})
}

// upstreamRequest is the request as an endpoint gets it.
func (request *clientRequest) upstreamRequest(choice loadbalancer.Selection) *upstream.Request {
	x := request.x
	ends := x.Header.AppendEndToEnd(make([]ingress.Field, 0, len(x.Header)+1))
	head := make([]upstream.Field, 0, len(ends))
	for _, f := range ends {
		if (request.dropAfter || request.resumeAfter != "") && strings.EqualFold(f.Name, lastEventID) {
			continue
		}
		head = append(head, upstream.Field(f))
	}
	q := &upstream.Request{Method: x.Method, Target: x.Target, Host: x.Host, Header: head, AttemptID: request.attempt,
		Deadline: request.until, Priority: -1, Turn: request.route.Persisted, Permit: func() bool { return request.gateway.stands(choice) }}
	if len(request.body) > 0 {
		q.Body = [][]byte{request.body}
	}
	if request.route.Kind == routing.Streaming {
		q.Priority = min(max(request.route.Priority, 0), 9)
		q.ForceStream = true
	}
	if request.resumeAfter != "" {
		q.Header = append(q.Header, upstream.Field{Name: lastEventID, Value: request.resumeAfter})
		q.LastEventID = request.resumeAfter
	}
	return q
}

// stands asks at the last moment whether the endpoint is still one that requests may go to: it is by a list that is current.
func (gateway *Gateway) stands(choice loadbalancer.Selection) bool {
	if !gateway.session.Current() {
		return false
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.serving[choice.Instance]
}

// send makes one send at the endpoint of choice. A result that is streaming is the caller's to finish.
func (request *clientRequest) send(choice loadbalancer.Selection) *upstream.Result {
	target := upstream.Target{Address: choice.Address, Instance: choice.Instance, MaxConnections: request.maxConnections()}
	request.began = time.Now()
	r := request.gateway.pool.Call(request.ctx, target, request.upstreamRequest(choice), choice.Timeout)
	if r.Written {
		request.sent++
		request.tried = append(request.tried, choice.Instance)
	}
	if request.resumeAfter != "" && r.Written {
		request.gateway.counters.resumed.Add(1)
	}
	if r.Outcome != upstream.Streaming {
		request.gateway.counters.countRun(r)
		o := outcome(r, time.Since(request.began))
		if o.Kind == loadbalancer.NotSent && !request.gateway.session.Current() { // it says nothing of the endpoint
			o.Kind = loadbalancer.Canceled
		}
		request.gateway.done(choice.Call, o)
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

// outcome is what the load balancer is given of a call that has ended; took is from its send to its first piece, or to its
// end.
func outcome(r *upstream.Result, took time.Duration) loadbalancer.Outcome {
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
		o.Kind, o.Misdirected = wholeOutcome(a)
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

// wholeOutcome is the outcome of an answer that came whole. misdirected: the endpoint is not the instance asked for.
func wholeOutcome(a *upstream.Response) (kind loadbalancer.OutcomeKind, misdirected bool) {
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

// firstPiece tells the load balancer that the first piece of a call's answer has come.
func (gateway *Gateway) firstPiece(call *loadbalancer.Call) {
	gateway.mu.Lock()
	gateway.loadbalancer.ResponseStarted(gateway.now(), call)
	gateway.mu.Unlock()
}

// mayRetry reports whether another send is allowed and has a chance.
func (request *clientRequest) mayRetry(r *upstream.Result, tries int) bool {
	return r.Disposition(false).MayRetry(request.repeatable()) && request.sent < request.route.MaxAttempts && tries < maxTries &&
		time.Until(request.until) > 0
}

// finish answers the client when nothing is left to try.
func (request *clientRequest) finish(r *upstream.Result) {
	switch r.Disposition(false).Reply {
	case upstream.ForwardResponse:
		request.x.Respond(r.Response.Status, fields(r.Response), r.Body)
	case upstream.ServiceUnavailable:
		after := request.gateway.stores.wait
		if r.Response != nil && r.Response.RetryAfter > 0 {
			after = r.Response.RetryAfter
		}
		request.gateway.refuse(request.x, after)
	case upstream.GatewayTimeout:
		request.x.Respond(504, nil, nil)
	case upstream.BadGateway:
		request.x.Respond(502, nil, nil)
	default:
		request.x.Abort()
	}
}

// fields are those of an endpoint's answer as the client gets them.
func fields(a *upstream.Response) []ingress.Field {
	head := make([]ingress.Field, 0, len(a.Header)+1)
	for _, f := range a.Header {
		head = append(head, ingress.Field(f))
	}
	return head
}

// unsent answers a request for which no endpoint is to be had.
func (request *clientRequest) unsent(choice loadbalancer.Selection) {
	after := choice.RetryAfter
	if after <= 0 {
		after = request.gateway.stores.wait
	}
	request.gateway.refuse(request.x, after)
}

// whole sends a request whose answer is passed on when it is here whole.
func (request *clientRequest) whole() {
	var last *upstream.Result
	for tries := 1; ; tries++ {
		choice := request.choose()
		if choice.Decision != loadbalancer.Send {
			if last != nil && request.sent > 0 { // it may have run
				request.finish(last)
			} else {
				request.unsent(choice)
			}
			return
		}
		r := request.send(choice)
		if r.Outcome == upstream.Streaming {
			request.pass(r, choice)
			return
		}
		// What an earlier send may have done stands, whatever a later one says.
		if last == nil || r.Disposition(false).Execution != upstream.NotExecuted || last.Disposition(false).Execution == upstream.NotExecuted {
			last = r
		}
		if !request.mayRetry(r, tries) {
			request.finish(last)
			return
		}
	}
}
