package gateway

import (
	"context"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// turn is what a streamed answer is charged to and kept as. The zero value is an answer that is neither.
type turn struct {
	account    *account    // nil: it is charged to no budget
	transcript *transcript // nil: its text is not kept
}

// turn takes a request through its turn store before it is sent: for room in its program's budget and, where its text is
// kept, for the text that it goes on from.
func (request *clientRequest) turn() {
	begin := &tierv1.BeginRequest{Program: request.programOf(), Attempt: request.attempt, Most: request.maxTokens,
		RetentionMs: uint32(request.route.Retention.Milliseconds())}
	if problem := request.readBudget(begin); problem != "" {
		request.x.Respond(400, nil, []byte(problem))
		return
	}
	var written *transcript
	var held *text
	if request.route.Persisted {
		written, held = request.continueFrom(begin)
	}
	begun := request.beginInTime(begin)
	if begun.verdict != tierv1.Verdict_OK {
		request.refuseTurn(begin.Program, begun)
		return
	}
	if request.route.Persisted {
		request.assemble(held, begun)
	}
	request.tried = begun.avoid
	request.stream(turn{account: &account{request: request, program: begin.Program}, transcript: written})
}

// beginInTime asks the turn store for a turn. A turn store that is lost is replaced well within half of the contact window. What
// is not sure by then is refused at once, while its client has time for another try.
func (request *clientRequest) beginInTime(begin *tierv1.BeginRequest) beginning {
	limit := min(time.Until(request.until)*2/5, request.gateway.config.Settings.ContactWindow/2)
	ctx, cancel := context.WithTimeout(request.ctx, limit)
	defer cancel()
	return request.begin(ctx, begin)
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
