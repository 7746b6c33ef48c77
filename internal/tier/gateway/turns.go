package gateway

import (
	"context"
	"net/http"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// accounting is how a streamed answer is charged and stored. With the zero value it is neither charged nor stored.
type accounting struct {
	reservation *reservation // nil: no budget is charged
	transcript  *transcript  // nil: its text is not stored
}

// forwardTurn serves a turn. It begins the turn at the turn store, which reserves its tokens in the program's budget and returns the turns
// that it continues, and then forwards it as a stream.
func (request *clientRequest) forwardTurn() {
	begin := &tierv1.BeginRequest{Program: request.program(), Attempt: request.attemptID, MaxTokens: request.maxTokens,
		RetentionMs: uint32(request.route.Retention.Milliseconds())}
	if err := request.readBudget(begin); err != nil {
		request.rejectBad(err)
		return
	}
	var transcript *transcript
	var cached *cachedPrompt
	if request.route.Persisted {
		transcript, cached = request.newTranscript(begin)
	}
	begun := request.beginWithTimeout(begin)
	if begun.verdict != tierv1.Verdict_OK {
		request.rejectTurn(begin.Program, begun)
		return
	}
	if request.route.Persisted {
		request.assemblePrompt(cached, begun)
	}
	request.avoid = begun.avoid
	request.forwardStream(accounting{reservation: &reservation{request: request, program: begin.Program}, transcript: transcript})
}

// beginWithTimeout begins a turn within half of the contact window, in which a partition usually fails over from a lost turn store, and
// within two fifths of the request's remaining time. Without a definite verdict by then the turn is rejected while its client has time
// for a retry.
func (request *clientRequest) beginWithTimeout(begin *tierv1.BeginRequest) beginResult {
	timeout := min(time.Until(request.deadline)*2/5, request.gateway.config.Settings.ContactWindow/2)
	ctx, cancel := context.WithTimeout(request.ctx, timeout)
	defer cancel()
	return request.begin(ctx, begin)
}

// rejectTurn answers a turn that was not begun.
func (request *clientRequest) rejectTurn(program string, begun beginResult) {
	gateway := request.gateway
	if begun.maybeReserved {
		request.releaseInBackground(program, 0)
	}
	switch begun.verdict {
	case tierv1.Verdict_SPENT:
		if begun.releasePending { // the budget may allow the turn once the pending releases are done
			gateway.reject(request.exchange, gateway.storeClient.maxBackoff)
			return
		}
		request.exchange.Respond(http.StatusPaymentRequired, nil, nil)
	case tierv1.Verdict_UNKNOWN:
		request.exchange.Respond(http.StatusNotFound, nil, []byte("no such turn\n"))
	default:
		gateway.reject(request.exchange, gateway.storeClient.maxBackoff)
	}
}

// begin begins a turn. If the budget is spent while this gateway releases reservations of the program, it waits for these releases and
// retries; if they do not end in time, the result has releasePending.
func (request *clientRequest) begin(ctx context.Context, req *tierv1.BeginRequest) beginResult {
	gateway := request.gateway
	maybeReserved := false
	for {
		pending := gateway.releasesOf(req.Program) // read before the call, as a release may end while the reply is in transit
		begun := gateway.storeClient.begin(ctx, req)
		maybeReserved = maybeReserved || begun.maybeReserved
		begun.maybeReserved = maybeReserved
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
