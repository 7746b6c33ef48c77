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

// work is one request on its way.
type work struct {
	k        *Gateway
	x        *ingress.Exchange
	route    *routing.Route
	service  string
	attempt  string
	until    time.Time // by then it is answered, or given up
	tokens   int64     // of its prompt
	most     uint64    // tokens out
	perEvent uint64
	affinity string
	prefix   []string
	body     []byte
	tried    []string
	home     string    // instance that ran what it goes on from
	sent     int       // endpoints that it was sent to
	began    time.Time // of the last send
}

// handle answers one request.
func (k *Gateway) handle(x *ingress.Exchange) {
	c := k.routing.Load()
	if c == nil {
		k.refuse(x, 500*time.Millisecond)
		return
	}
	route := c.Match(x.Host, x.Path)
	if route == nil {
		x.Respond(404, nil, []byte("no route\n"))
		return
	}
	w := &work{k: k, x: x, route: route, attempt: x.Header.Get("X-Attempt-Id"), body: x.Body, perEvent: 1}
	if w.attempt == "" {
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
	w.until = x.Arrived.Add(left)
	if v := x.Header.Get("X-Token-Usage"); v != "" {
		in, out, _ := strings.Cut(v, ",")
		w.tokens, _ = strconv.ParseInt(strings.TrimSpace(in), 10, 64)
		w.most, _ = strconv.ParseUint(strings.TrimSpace(out), 10, 64)
	}
	if v := x.Header.Get("X-Prompt-Prefix"); v != "" {
		for part := range strings.SplitSeq(v, ",") {
			id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
			w.prefix = append(w.prefix, id)
		}
		w.affinity = w.prefix[len(w.prefix)-1]
	}
	if v := x.Header.Get("Session"); v != "" && !route.Persisted {
		w.affinity = v
	}
	if route.Persisted { // it goes to where its line ran, and the first of a line wherever the load is least
		w.affinity, w.prefix = "", nil
	}
	sticky := cmp.Or(x.Header.Get("Session"), w.affinity)
	if sticky == "" || !route.Sticky {
		sticky = w.attempt
	}
	h := fnv.New64a()
	h.Write([]byte(sticky))
	w.service = route.Pick(h.Sum64())
	if s := c.Services[w.service]; s != nil && s.Engine != nil {
		w.perEvent = max(1, uint64(s.Engine.TokensPerEvent))
	}
	switch {
	case route.Persisted:
		w.turn()
	case route.Kind == routing.Streaming:
		w.stream(nil)
	default:
		w.whole()
	}
}

// refuse says that the request has not run and never will, and when to come back.
func (k *Gateway) refuse(x *ingress.Exchange, after time.Duration) {
	seconds := strconv.FormatFloat(max(after, time.Millisecond).Seconds(), 'f', 3, 64)
	x.Respond(503, []ingress.Field{{Name: "Retry-After", Value: seconds}}, nil)
}

// turn takes a turn through its turn store: what it goes on from and room in its budget before it is sent, its text after.
func (w *work) turn() {
	k, x := w.k, w.x
	program := x.Header.Get("Program")
	if program == "" {
		program = w.attempt
	}
	req := &tierv1.BeginRequest{Program: program, Attempt: w.attempt, Previous: x.Header.Get("Previous"), Most: w.most, RetentionMs: uint32(w.route.Retention.Milliseconds())}
	if v := x.Header.Get("Budget"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			x.Respond(400, nil, []byte("Budget is no number of tokens\n"))
			return
		}
		if w.most == 0 {
			x.Respond(400, nil, []byte("a Budget without the turn's most in X-Token-Usage\n"))
			return
		}
		req.Limited, req.Budget = true, n
	}
	line := x.Header.Get("Session")
	from := k.held.nearest(req.Previous, program+"/"+line)
	if from != nil {
		req.Held = from.attempt
	}
	// A turn store that is lost is replaced well within half of the contact window. What is not sure by then is given up at once,
	// while its client has time for another try.
	ctx, cancel := context.WithTimeout(context.Background(), min(time.Until(w.until)*2/5, k.c.Settings.ContactWindow/2))
	pending := k.pending(program) // before it is asked: one may be settled while the answer is on its way
	verdict, chain, after := k.keeping.begin(ctx, req)
	if verdict == tierv1.Verdict_SPENT && dropped(ctx, append(pending, k.pending(program)...)) {
		verdict, chain, after = k.keeping.begin(ctx, req)
	}
	cancel()
	switch verdict {
	case tierv1.Verdict_OK:
	case tierv1.Verdict_SPENT:
		x.Respond(402, nil, nil)
		return
	case tierv1.Verdict_UNKNOWN:
		x.Respond(404, nil, []byte("no such turn\n"))
		return
	default:
		w.dropLater(program, 0) // it may have been taken
		k.refuse(x, k.keeping.wait)
		return
	}
	if !after {
		from = nil
	} else {
		w.home = from.instance
	}
	if n := len(chain); n > 0 {
		w.home = chain[n-1].Instance
	}
	w.body = prompt(from, chain, x.Body)
	w.stream(&kept{program: program, line: program + "/" + line, previous: req.Previous, retention: req.RetentionMs})
}

// kept is what becomes of a turn's answer.
type kept struct {
	program, line, previous string
	retention               uint32
	instance                string // that ran it
	output                  []byte
}

// drop ends a reservation before its client hears of it, so that its next try finds the room in its budget: tokens were
// handed out of a turn that is not kept. It waits a little for the turn store, and goes on behind the request.
func (w *work) drop(program string, tokens uint64) {
	t := time.NewTimer(w.k.c.Settings.ContactWindow / 12)
	defer t.Stop()
	select {
	case <-w.dropLater(program, tokens):
	case <-t.C:
	}
}

func (w *work) dropLater(program string, tokens uint64) (done <-chan struct{}) {
	k, over := w.k, make(chan struct{})
	k.settling.Add(1)
	k.mu.Lock()
	if k.dropping[program] == nil {
		k.dropping[program] = map[chan struct{}]bool{}
	}
	k.dropping[program][over] = true
	k.mu.Unlock()
	go func() {
		defer k.settling.Done()
		defer func() {
			k.mu.Lock()
			if delete(k.dropping[program], over); len(k.dropping[program]) == 0 {
				delete(k.dropping, program)
			}
			k.mu.Unlock()
			close(over)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), k.c.Settings.ContactWindow*2)
		defer cancel()
		k.keeping.settle(ctx, &tierv1.SettleRequest{Program: program, Attempt: w.attempt, Tokens: tokens})
	}()
	return over
}

// pending are the reservations of a program that are being given up here; each is closed when it is settled.
func (k *Gateway) pending(program string) []chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Keys(k.dropping[program]))
}

// dropped waits until all are settled, and reports whether there was one and it is: the room that they held is free then.
func dropped(ctx context.Context, pending []chan struct{}) bool {
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
func (w *work) keep(t *kept, tokens uint64) bool {
	ctx, cancel := context.WithDeadline(context.Background(), w.until)
	defer cancel()
	return w.k.keeping.settle(ctx, &tierv1.SettleRequest{Program: t.program, Attempt: w.attempt, Kept: true, Tokens: tokens,
		Turn: &tierv1.Turn{Attempt: w.attempt, Previous: t.previous, Program: t.program, Input: w.x.Body, Output: t.output, RetentionMs: t.retention, Instance: t.instance}})
}

// choose picks an endpoint for the next send, waiting a little for a place where all are taken.
func (w *work) choose() loadbalancer.Choice {
	k := w.k
	// A request that waits is refused within its aim, so that its client's new try may still be in time.
	give := time.Now().Add(min(w.route.Aim/4, time.Until(w.until)/3))
	for {
		k.mu.Lock()
		choice := k.loadbalancer.Pick(k.now(), loadbalancer.Ask{Route: w.route.Name, Service: w.service, Repeatable: w.route.Kind == routing.Idempotent && w.sent+1 < w.route.MaxAttempts,
			First: w.sent == 0, Left: time.Until(w.until), Priority: w.route.Priority, Affinity: w.affinity, Home: w.home, Prefix: w.prefix,
			Tokens: w.tokens, Tried: w.tried})
		if choice.Verdict == loadbalancer.Send || choice.Verdict == loadbalancer.Hopeless {
			k.mu.Unlock()
			return choice
		}
		k.waiting++
		freed := k.freed
		k.mu.Unlock()
		left := time.Until(give)
		if left <= 0 {
			return choice
		}
		t := time.NewTimer(left)
		select {
		case <-freed:
		case <-t.C:
		}
		t.Stop()
	}
}

func (k *Gateway) done(call *loadbalancer.Call, o loadbalancer.Outcome) {
	k.mu.Lock()
	k.loadbalancer.Done(k.now(), call, o)
	k.wake()
	k.mu.Unlock()
}
