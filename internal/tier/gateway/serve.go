package gateway

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dockshift.example/dockshift/internal/tier/ingress"
	"dockshift.example/dockshift/internal/tier/loadbalancer"
	"dockshift.example/dockshift/internal/tier/routing"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// currentPause is from one look at whether the list of endpoints is current to the next.
const currentPause = 10 * time.Millisecond

// clientRequest is one request on its way.
type clientRequest struct {
	gateway   *Gateway
	x         *ingress.Exchange
	route     *routing.Route
	service   string
	attempt   string
	until     time.Time // by then it is answered or aborted
	tokens    int64     // of its prompt
	maxTokens uint64    // that the turn may generate
	perEvent  uint64
	affinity  string
	prefix    []string
	body      []byte
	tried     []string
	home      string    // instance that ran what it goes on from
	sent      int       // endpoints that it was sent to
	began     time.Time // of the last send

	ctx context.Context // ends when the client has left, or with the handler
}

// handle answers one request.
func (gateway *Gateway) handle(x *ingress.Exchange) {
	c := gateway.routing.Load()
	if c == nil {
		gateway.refuse(x, 500*time.Millisecond)
		return
	}
	route := c.Match(x.Host, x.Path)
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
	left := route.Timeout
	if v := x.Header.Get("X-Deadline-Ms"); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) || !(ms >= 0) {
			x.Respond(400, nil, []byte("X-Deadline-Ms is no number of milliseconds\n"))
			return
		}
		if ms < float64(left)/float64(time.Millisecond) { // one beyond the route's time-out may be beyond all measure
			left = time.Duration(ms * float64(time.Millisecond))
		}
	}
	request.until = x.Arrived.Add(left)
	if v := x.Header.Get("X-Token-Usage"); v != "" {
		in, out, _ := strings.Cut(v, ",")
		request.tokens, _ = strconv.ParseInt(strings.TrimSpace(in), 10, 64)
		request.maxTokens, _ = strconv.ParseUint(strings.TrimSpace(out), 10, 64)
	}
	if v := x.Header.Get("X-Prompt-Prefix"); v != "" {
		for part := range strings.SplitSeq(v, ",") {
			id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
			request.prefix = append(request.prefix, id)
		}
		request.affinity = request.prefix[len(request.prefix)-1]
	}
	if v := x.Header.Get("Session"); v != "" && !route.Persisted {
		request.affinity = v
	}
	if route.Persisted { // it goes to where its line ran, and the first of a line wherever the load is least
		request.affinity, request.prefix = "", nil
	}
	sticky := cmp.Or(x.Header.Get("Session"), request.affinity)
	if sticky == "" || !route.Sticky {
		sticky = request.attempt
	}
	h := fnv.New64a()
	h.Write([]byte(sticky))
	request.service = route.Pick(h.Sum64())
	if s := c.Services[request.service]; s != nil && s.Engine != nil {
		request.perEvent = max(1, uint64(s.Engine.TokensPerEvent))
	}
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

// turn takes a turn through its turn store: what it goes on from and room in its budget before it is sent, its text after.
func (request *clientRequest) turn() {
	gateway, x := request.gateway, request.x
	program := x.Header.Get("Program")
	if program == "" {
		program = request.attempt
	}
	req := &tierv1.BeginRequest{Program: program, Attempt: request.attempt, Previous: x.Header.Get("Previous"), Most: request.maxTokens, RetentionMs: uint32(request.route.Retention.Milliseconds())}
	if v := x.Header.Get("Budget"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			x.Respond(400, nil, []byte("Budget is no number of tokens\n"))
			return
		}
		if request.maxTokens == 0 {
			x.Respond(400, nil, []byte("a Budget without the turn's most in X-Token-Usage\n"))
			return
		}
		req.Limited, req.Budget = true, n
	}
	line := x.Header.Get("Session")
	from := gateway.texts.nearest(req.Previous, program+"/"+line)
	if from != nil {
		req.Held = from.attempt
	}
	// A turn store that is lost is replaced well within half of the contact window. What is not sure by then is refused at once,
	// while its client has time for another try.
	ctx, cancel := context.WithTimeout(request.ctx, min(time.Until(request.until)*2/5, gateway.c.Settings.ContactWindow/2))
	verdict, chain, after, sure := request.begin(ctx, req)
	cancel()
	switch verdict {
	case tierv1.Verdict_OK:
	case tierv1.Verdict_SPENT:
		if !sure { // nothing is reserved, and there may be room as soon as what is being released here is settled
			gateway.refuse(x, gateway.stores.wait)
			return
		}
		x.Respond(402, nil, nil)
		return
	case tierv1.Verdict_UNKNOWN:
		x.Respond(404, nil, []byte("no such turn\n"))
		return
	default:
		request.releaseLater(program, 0) // it may have been taken
		gateway.refuse(x, gateway.stores.wait)
		return
	}
	if !after {
		from = nil
	} else {
		request.home = from.instance
	}
	if n := len(chain); n > 0 {
		request.home = chain[n-1].Instance
	}
	request.body = prompt(from, chain, x.Body)
	request.stream(&kept{program: program, line: program + "/" + line, previous: req.Previous, retention: req.RetentionMs})
}

// begin asks the turn store for a turn. Where the budget is spent while reservations of the program are being released
// here, it waits for these and asks once more; sure is false where they were not settled in time.
func (request *clientRequest) begin(ctx context.Context, req *tierv1.BeginRequest) (verdict tierv1.Verdict, chain []*tierv1.Turn, after, sure bool) {
	gateway := request.gateway
	for {
		pending := gateway.pending(req.Program) // before the store is asked: one may be settled while its answer is on its way
		verdict, chain, after = gateway.stores.begin(ctx, req)
		if verdict != tierv1.Verdict_SPENT {
			return verdict, chain, after, true
		}
		pending = append(pending, gateway.pending(req.Program)...)
		if len(pending) == 0 {
			return verdict, nil, false, true
		}
		if !released(ctx, pending) {
			return verdict, nil, false, false
		}
	}
}

// kept is what becomes of a turn's answer.
type kept struct {
	program, line, previous string
	retention               uint32
	instance                string // that ran it
	output                  []byte
}

// release ends a reservation before its client hears of it, so that its next try finds the room in its budget: tokens were
// handed out of a turn that is not kept. It waits a little for the turn store, and goes on behind the request.
func (request *clientRequest) release(program string, tokens uint64) {
	t := time.NewTimer(request.gateway.c.Settings.ContactWindow / 12)
	defer t.Stop()
	select {
	case <-request.releaseLater(program, tokens):
	case <-t.C:
	}
}

func (request *clientRequest) releaseLater(program string, tokens uint64) (done <-chan struct{}) {
	gateway, over := request.gateway, make(chan struct{})
	gateway.settling.Add(1)
	gateway.mu.Lock()
	if gateway.releasing[program] == nil {
		gateway.releasing[program] = map[chan struct{}]bool{}
	}
	gateway.releasing[program][over] = true
	gateway.mu.Unlock()
	go func() {
		defer gateway.settling.Done()
		defer func() {
			gateway.mu.Lock()
			if delete(gateway.releasing[program], over); len(gateway.releasing[program]) == 0 {
				delete(gateway.releasing, program)
			}
			gateway.mu.Unlock()
			close(over)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), gateway.c.Settings.ContactWindow*2)
		defer cancel()
		gateway.stores.settle(ctx, &tierv1.SettleRequest{Program: program, Attempt: request.attempt, Tokens: tokens})
	}()
	return over
}

// pending are the reservations of a program that are being released here; each is closed when it is settled.
func (gateway *Gateway) pending(program string) []chan struct{} {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return slices.Collect(maps.Keys(gateway.releasing[program]))
}

// released waits until all are settled, and reports whether there was one and it is: the room that they held is free then.
func released(ctx context.Context, pending []chan struct{}) bool {
	for _, over := range pending {
		select {
		case <-over:
		case <-ctx.Done():
			return false
		}
	}
	return len(pending) > 0
}

// keep makes a whole turn durable.
func (request *clientRequest) keep(t *kept, tokens uint64) bool {
	ctx, cancel := context.WithDeadline(context.Background(), request.until)
	defer cancel()
	return request.gateway.stores.settle(ctx, &tierv1.SettleRequest{Program: t.program, Attempt: request.attempt, Kept: true, Tokens: tokens,
		Turn: &tierv1.Turn{Attempt: request.attempt, Previous: t.previous, Program: t.program, Input: request.x.Body, Output: t.output, RetentionMs: t.retention, Instance: t.instance}})
}

// choose picks an endpoint for the next send, waiting a little for a place where all are taken.
func (request *clientRequest) choose() loadbalancer.Choice {
	gateway := request.gateway
	// A request that waits is refused within its aim, so that its client's new try may still be in time.
	refuseAt := time.Now().Add(min(request.route.Aim/4, time.Until(request.until)/3))
	if !request.awaitCurrent(refuseAt) {
		return loadbalancer.Choice{Verdict: loadbalancer.NoEndpoint}
	}
	for {
		gateway.mu.Lock()
		choice := gateway.loadbalancer.Pick(gateway.now(), loadbalancer.Ask{Route: request.route.Name, Service: request.service, Repeatable: request.route.Kind == routing.Idempotent && request.sent+1 < request.route.MaxAttempts,
			First: request.sent == 0, Left: time.Until(request.until), Priority: request.route.Priority, Affinity: request.affinity, Home: request.home, Prefix: request.prefix,
			Tokens: request.tokens, Tried: request.tried})
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
		t := time.NewTimer(left)
		select {
		case <-freed:
		case <-t.C:
		case <-request.ctx.Done(): // the next send tells that the client has left
			refuseAt = time.Time{}
		}
		t.Stop()
	}
}

// awaitCurrent waits until the list of endpoints is current, and tells whether it is. After a pause of this process the session
// needs a moment to hear what it has missed.
func (request *clientRequest) awaitCurrent(until time.Time) bool {
	for !request.gateway.session.Current() {
		left := time.Until(until)
		if left <= 0 {
			return false
		}
		again := time.NewTimer(min(left, currentPause))
		select {
		case <-again.C:
		case <-request.ctx.Done():
			again.Stop()
			return false
		}
	}
	return true
}

func (gateway *Gateway) done(call *loadbalancer.Call, o loadbalancer.Outcome) {
	gateway.mu.Lock()
	gateway.loadbalancer.Done(gateway.now(), call, o)
	gateway.wake()
	gateway.mu.Unlock()
}
