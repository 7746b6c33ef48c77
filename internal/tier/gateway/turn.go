package gateway

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// turn takes a turn through its turn store: what it goes on from and room in its budget before it is sent, its text after.
func (request *clientRequest) turn() {
	gateway, x := request.gateway, request.x
	program := x.Header.Get("Program")
	if program == "" {
		program = request.attempt
	}
	begin := &tierv1.BeginRequest{Program: program, Attempt: request.attempt, Previous: x.Header.Get("Previous"), Most: request.maxTokens,
		RetentionMs: uint32(request.route.Retention.Milliseconds())}
	if problem := request.readBudget(begin); problem != "" {
		x.Respond(400, nil, []byte(problem))
		return
	}
	line := program + "/" + x.Header.Get("Session")
	held := gateway.texts.nearest(begin.Previous, line)
	if held != nil {
		begin.Held = held.attempt
	}
	// A turn store that is lost is replaced well within half of the contact window. What is not sure by then is refused at once,
	// while its client has time for another try.
	ctx, cancel := context.WithTimeout(request.ctx, min(time.Until(request.until)*2/5, gateway.config.Settings.ContactWindow/2))
	verdict, chain, after, sure := request.begin(ctx, begin)
	cancel()
	if verdict != tierv1.Verdict_OK {
		request.refuseTurn(program, verdict, sure)
		return
	}
	if !after {
		held = nil
	} else {
		request.home = held.instance
	}
	if n := len(chain); n > 0 {
		request.home = chain[n-1].Instance
	}
	request.body = prompt(held, chain, x.Body)
	request.stream(&kept{program: program, line: line, previous: begin.Previous, retention: begin.RetentionMs})
}

// readBudget reads the Budget of the turn's program, in tokens; where it cannot stand, it gives the problem.
func (request *clientRequest) readBudget(begin *tierv1.BeginRequest) (problem string) {
	header := request.x.Header.Get("Budget")
	if header == "" {
		return ""
	}
	budget, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return "Budget is no number of tokens\n"
	}
	if request.maxTokens == 0 {
		return "a Budget without the turn's most in X-Token-Usage\n"
	}
	begin.Limited, begin.Budget = true, budget
	return ""
}

// refuseTurn answers a turn that the turn store did not begin; sure as given by begin.
func (request *clientRequest) refuseTurn(program string, verdict tierv1.Verdict, sure bool) {
	gateway := request.gateway
	switch verdict {
	case tierv1.Verdict_SPENT:
		if !sure { // nothing is reserved, and there may be room as soon as what is being released here is settled
			gateway.refuse(request.x, gateway.stores.wait)
			return
		}
		request.x.Respond(402, nil, nil)
	case tierv1.Verdict_UNKNOWN:
		request.x.Respond(404, nil, []byte("no such turn\n"))
	default:
		request.releaseLater(program, 0) // it may have been taken
		gateway.refuse(request.x, gateway.stores.wait)
	}
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
	timer := time.NewTimer(request.gateway.config.Settings.ContactWindow / 12)
	defer timer.Stop()
	select {
	case <-request.releaseLater(program, tokens):
	case <-timer.C:
	}
}

// releaseLater releases a reservation behind the request: done is closed when it is settled, or when twice the contact
// window has gone by.
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
		ctx, cancel := context.WithTimeout(context.Background(), gateway.config.Settings.ContactWindow*2)
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
