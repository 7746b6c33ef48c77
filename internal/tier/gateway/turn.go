package gateway

import (
	"context"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// accounting is what a streamed answer is charged to and kept as. The zero value is an answer that is neither.
type accounting struct {
	reservation *reservation // nil: it is charged to no budget
	transcript  *transcript  // nil: its text is not kept
}

// forwardTurn takes a request through its turn store before it is sent: for room in its program's budget and, where its text is
// kept, for the text that it goes on from.
func (request *clientRequest) forwardTurn() {
	begin := &tierv1.BeginRequest{Program: request.program(), Attempt: request.attemptID, Most: request.maxTokens,
		RetentionMs: uint32(request.route.Retention.Milliseconds())}
	if problem := request.readBudget(begin); problem != "" {
		request.x.Respond(400, nil, []byte(problem))
		return
	}
	var written *transcript
	var held *cachedPrompt
	if request.route.Persisted {
		written, held = request.newTranscript(begin)
	}
	begun := request.beginWithTimeout(begin)
	if begun.verdict != tierv1.Verdict_OK {
		request.rejectTurn(begin.Program, begun)
		return
	}
	if request.route.Persisted {
		request.assemblePrompt(held, begun)
	}
	request.avoid = begun.avoid
	request.forwardStream(accounting{reservation: &reservation{request: request, program: begin.Program}, transcript: written})
}

// beginWithTimeout asks the turn store for a turn. A turn store that is lost is replaced well within half of the contact window. What
// is not sure by then is refused at once, while its client has time for another try.
func (request *clientRequest) beginWithTimeout(begin *tierv1.BeginRequest) beginResult {
	limit := min(time.Until(request.deadline)*2/5, request.gateway.config.Settings.ContactWindow/2)
	ctx, cancel := context.WithTimeout(request.ctx, limit)
	defer cancel()
	return request.begin(ctx, begin)
}

// rejectTurn answers a turn that the turn store did not begin.
func (request *clientRequest) rejectTurn(program string, begun beginResult) {
	gateway := request.gateway
	if begun.maybeReserved {
		request.releaseInBackground(program, 0)
	}
	switch begun.verdict {
	case tierv1.Verdict_SPENT:
		if begun.releasePending { // there may be room as soon as what is being released here is settled
			gateway.reject(request.x, gateway.storeClient.maxBackoff)
			return
		}
		request.x.Respond(402, nil, nil)
	case tierv1.Verdict_UNKNOWN:
		request.x.Respond(404, nil, []byte("no such turn\n"))
	default:
		gateway.reject(request.x, gateway.storeClient.maxBackoff)
	}
}

// begin asks the turn store for a turn. Where the budget is spent while reservations of the program are being released
// here, it waits for these and asks once more; the verdict is unsure where they were not settled in time.
func (request *clientRequest) begin(ctx context.Context, req *tierv1.BeginRequest) beginResult {
	gateway := request.gateway
	open := false
	for {
		pending := gateway.releasesOf(req.Program) // before the store is asked: one may be settled while its answer is on its way
		begun := gateway.storeClient.begin(ctx, req)
		open = open || begun.maybeReserved
		begun.maybeReserved = open
		if begun.verdict != tierv1.Verdict_SPENT {
			return begun
		}
		pending = append(pending, gateway.releasesOf(req.Program)...)
		if len(pending) == 0 {
			return begun
		}
		if !awaitReleases(ctx, pending) {
			begun.releasePending = true
			return begun
		}
	}
}
