package gateway

import (
	"context"
	"time"

	"dockshift.example/dockshift/internal/tier/ingress"
	"dockshift.example/dockshift/internal/tier/loadbalancer"
	"dockshift.example/dockshift/internal/tier/routing"
	"dockshift.example/dockshift/internal/tier/settings"
	"dockshift.example/dockshift/internal/tier/upstream"
)

const (
	sendsMost = 8                      // tries of one request that ended before a byte was written, and sends, at most
	watchFrom = 300 * time.Millisecond // a client is watched for its end from then on
)

func newPool(s settings.Settings) *upstream.Pool {
	return upstream.NewPool(upstream.Config{Connections: max(32, s.Descriptors*3/10)})
}

// request is w as an endpoint gets it.
func (w *work) request(choice loadbalancer.Choice) *upstream.Request {
	x := w.x
	ends := x.Header.AppendEndToEnd(make([]ingress.Field, 0, len(x.Header)+1))
	head := make([]upstream.Field, 0, len(ends))
	for _, f := range ends {
		head = append(head, upstream.Field(f))
	}
	q := &upstream.Request{Method: x.Method, Target: x.Target, Host: x.Host, Header: head, AttemptID: w.attempt, Deadline: w.until, Priority: -1,
		Turn: w.route.Persisted, Permit: func() bool { return w.k.stands(choice) }}
	if len(w.body) > 0 {
		q.Body = [][]byte{w.body}
	}
	if w.route.Kind == routing.Streaming {
		q.Priority = min(max(w.route.Priority, 0), 9)
		q.Stream = true
	}
	return q
}

// stands asks at the last moment whether the endpoint is still one that requests may go to.
func (k *Gateway) stands(choice loadbalancer.Choice) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.serving[choice.Instance]
}

// send makes one send at the endpoint of choice. A result that is streaming is the caller's to finish.
func (w *work) send(ctx context.Context, choice loadbalancer.Choice) *upstream.Result {
	most := 0
	if c := w.k.routing.Load(); c != nil {
		if s := c.Services[w.service]; s != nil {
			most = s.MaxConnections
		}
	}
	w.began = time.Now()
	r := w.k.pool.Call(ctx, upstream.Target{Address: choice.Address, Instance: choice.Instance, Connections: most}, w.request(choice), choice.Timeout)
	if r.Written {
		w.sent++
		w.tried = append(w.tried, choice.Instance)
	}
	if r.End != upstream.Streaming {
		w.k.done(choice.Call, outcome(r, time.Since(w.began)))
	}
	return r
}

// outcome is what the load balancer hears of a call that has ended.
func outcome(r *upstream.Result, took time.Duration) loadbalancer.Outcome {
	o := loadbalancer.Outcome{First: took}
	end := r.End
	if r.Stream != nil {
		end = r.Stream.End()
	}
	a := r.Answer
	if a != nil && a.Loaded {
		o.Load = &loadbalancer.Load{Running: a.Load.Running, Waiting: a.Load.Waiting, Slots: a.Load.Slots}
	}
	switch end {
	case upstream.Whole:
		switch {
		case a.Status == 421:
			o.Kind, o.Misdirected = loadbalancer.Gone, true
		case a.NotExecuted:
			o.Kind = loadbalancer.Refused
		case a.Status/100 == 2 || a.Status/100 == 4 || a.Signature != "":
			o.Kind = loadbalancer.Served
		default:
			o.Kind = loadbalancer.Failed
		}
	case upstream.TimedOut:
		o.Kind = loadbalancer.TimedOut
		if !r.Written {
			o.Kind = loadbalancer.Broken
		}
	case upstream.Abandoned:
		o.Kind = loadbalancer.Abandoned
	case upstream.NotSent:
		o.Kind = loadbalancer.NotSent
	case upstream.NoRoom:
		o.Kind = loadbalancer.NotSent
	default:
		o.Kind = loadbalancer.Broken
	}
	return o
}

func (k *Gateway) heard(call *loadbalancer.Call) {
	k.mu.Lock()
	k.loadbalancer.Heard(k.now(), call)
	k.mu.Unlock()
}

// again reports whether another send is allowed and has a chance.
func (w *work) again(r *upstream.Result, tries int) bool {
	return r.Verdict(false).Retry(w.route.Kind == routing.Idempotent) && w.sent < w.route.MaxAttempts && tries < sendsMost &&
		time.Until(w.until) > 0
}

// finish gives the client the answer that is left when nothing is left to try.
func (w *work) finish(r *upstream.Result) {
	switch r.Verdict(false).Reply {
	case upstream.PassOn:
		w.x.Respond(r.Answer.Status, fields(r.Answer), r.Body)
	case upstream.Refuse:
		after := w.k.keeping.wait
		if r.Answer != nil && r.Answer.RetryAfter > 0 {
			after = r.Answer.RetryAfter
		}
		w.k.refuse(w.x, after)
	case upstream.GatewayTimeout:
		w.x.Respond(504, nil, nil)
	case upstream.BadGateway:
		w.x.Respond(502, nil, nil)
	default:
		w.x.Abort()
	}
}

func fields(a *upstream.Answer) []ingress.Field {
	head := make([]ingress.Field, 0, len(a.Header)+1)
	for _, f := range a.Header {
		head = append(head, ingress.Field(f))
	}
	return head
}

// unsent answers a request for which no endpoint is to be had.
func (w *work) unsent(choice loadbalancer.Choice) {
	after := choice.RetryAfter
	if after <= 0 {
		after = w.k.keeping.wait
	}
	w.k.refuse(w.x, after)
}

// whole sends a request whose answer is passed on when it is here whole.
func (w *work) whole() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.x.OnGone(watchFrom, cancel)
	var last *upstream.Result
	for tries := 1; ; tries++ {
		choice := w.choose()
		if choice.Verdict != loadbalancer.Send {
			if last != nil && w.sent > 0 { // it may have run
				w.finish(last)
			} else {
				w.unsent(choice)
			}
			return
		}
		r := w.send(ctx, choice)
		if r.End == upstream.Streaming {
			w.pass(r, choice, nil)
			return
		}
		// What an earlier send may have done stands, whatever a later one says.
		if last == nil || r.Verdict(false).Ran != upstream.No || last.Verdict(false).Ran == upstream.No {
			last = r
		}
		if !w.again(r, tries) {
			w.finish(last)
			return
		}
	}
}

// stream sends a request whose answer is passed on event by event; t is what is kept of it, if it is a turn.
func (w *work) stream(t *kept) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.x.OnGone(watchFrom, cancel)
	for tries := 1; ; tries++ {
		choice := w.choose()
		if choice.Verdict != loadbalancer.Send {
			if t != nil {
				w.drop(t.program, 0)
			}
			w.unsent(choice)
			return
		}
		r := w.send(ctx, choice)
		if r.End == upstream.Streaming {
			w.pass(r, choice, t)
			return
		}
		if w.again(r, tries) {
			continue
		}
		if t != nil {
			w.drop(t.program, 0)
		}
		w.finish(r)
		return
	}
}

// pass hands the pieces of an answer to the client as they come, and its end when the turn is kept.
func (w *work) pass(r *upstream.Result, choice loadbalancer.Choice, t *kept) {
	x, s := w.x, r.Stream
	defer s.Close()
	s.SetDeadline(w.until)
	var first time.Duration
	var out []byte
	events, handed, begun, lost := uint64(0), uint64(0), false, false
	for {
		p, err := s.Next()
		if err != nil {
			break
		}
		if first == 0 {
			first = time.Since(w.began)
			w.k.heard(choice.Call)
		}
		events++
		out = append(out, p.Raw...)
		if t != nil && p.HasData {
			t.output = append(append(t.output, p.Data...), '\n')
		}
		if s.AtHand() && !s.Last() {
			continue
		}
		if !begun {
			begun = true
			lost = x.Begin(r.Answer.Status, fields(r.Answer)) != nil
		}
		if !lost {
			handed = events // of those in a write that fails, the client may have any
			lost = x.Write(out) != nil
		}
		out = out[:0]
		if lost {
			break
		}
	}
	if len(out) > 0 && !lost && s.End() == upstream.Whole {
		if !begun {
			begun = true
			lost = x.Begin(r.Answer.Status, fields(r.Answer)) != nil
		}
		lost = lost || x.Write(out) != nil
	}
	s.Close()
	o := outcome(r, time.Since(w.began))
	o.First = first
	w.k.done(choice.Call, o)
	tokens := events * w.perEvent
	if s.End() != upstream.Whole || lost {
		if t != nil {
			if s.End() != upstream.Whole && !lost {
				tokens = handed * w.perEvent
			}
			w.drop(t.program, tokens)
		}
		if begun || lost {
			x.Abort()
			return
		}
		w.finish(r)
		return
	}
	if !begun { // a stream without events
		if x.Begin(r.Answer.Status, fields(r.Answer)) != nil {
			x.Abort()
			return
		}
	}
	if t != nil {
		t.instance = choice.Instance
	}
	if t != nil {
		if !w.keep(t, tokens) {
			x.Abort()
			return
		}
		w.k.held.keep(&text{attempt: w.attempt, line: t.line, instance: t.instance, prompt: append(w.body, t.output...)})
	}
	x.End()
}
