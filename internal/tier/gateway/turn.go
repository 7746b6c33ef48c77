package gateway

import (
	"context"
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
	begun := request.begin(ctx, begin)
	cancel()
	if begun.verdict != tierv1.Verdict_OK {
		request.refuseTurn(program, begun)
		return
	}
	if !begun.after {
		held = nil
	} else {
		request.home = held.instance
	}
	if n := len(begun.chain); n > 0 {
		request.home = begun.chain[n-1].Instance
	}
	request.body = prompt(held, begun.chain, x.Body)
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

// refuseTurn answers a turn that the turn store did not begin.
func (request *clientRequest) refuseTurn(program string, begun beginning) {
	gateway := request.gateway
	if begun.open {
		request.releaseLater(program, 0)
	}
	switch begun.verdict {
	case tierv1.Verdict_SPENT:
		if begun.unsure { // there may be room as soon as what is being released here is settled
			gateway.refuse(request.x, gateway.stores.wait)
			return
		}
		request.x.Respond(402, nil, nil)
	case tierv1.Verdict_UNKNOWN:
		request.x.Respond(404, nil, []byte("no such turn\n"))
	default:
		gateway.refuse(request.x, gateway.stores.wait)
	}
}

// begin asks the turn store for a turn. Where the budget is spent while reservations of the program are being released
// here, it waits for these and asks once more; the verdict is unsure where they were not settled in time.
func (request *clientRequest) begin(ctx context.Context, req *tierv1.BeginRequest) beginning {
	gateway := request.gateway
	open := false
	for {
		pending := gateway.pending(req.Program) // before the store is asked: one may be settled while its answer is on its way
		begun := gateway.stores.begin(ctx, req)
		open = open || begun.open
		begun.open = open
		if begun.verdict != tierv1.Verdict_SPENT {
			return begun
		}
		pending = append(pending, gateway.pending(req.Program)...)
		if len(pending) == 0 {
			return begun
		}
		if !released(ctx, pending) {
			begun.unsure = true
			return begun
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

// keep makes a whole turn durable.
func (request *clientRequest) keep(t *kept, tokens uint64) bool {
	ctx, cancel := context.WithDeadline(context.Background(), request.until)
	defer cancel()
	return request.gateway.stores.settle(ctx, &tierv1.SettleRequest{Program: t.program, Attempt: request.attempt, Kept: true, Tokens: tokens,
		Turn: &tierv1.Turn{Attempt: request.attempt, Previous: t.previous, Program: t.program, Input: request.x.Body, Output: t.output, RetentionMs: t.retention, Instance: t.instance}})
}
