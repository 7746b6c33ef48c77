package gateway

import (
	"time"

	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// lastEventIDHeader names the event after which a stream is to go on.
const lastEventIDHeader = "Last-Event-Id"

// streamRelay is a streamed answer on its way to the client. It comes from one run of the request at an endpoint or, where the route
// allows it, from several that follow each other.
type streamRelay struct {
	request        *clientRequest
	accounting     accounting
	progress       progress
	skipThrough    string // events up to this id go into the transcript only: the client has them
	lastResult     *upstream.Result
	buffer         []byte // pieces that have come and are not written yet
	bufferedEvents uint64 // events among them
	events         uint64 // that have come for the client
	writtenEvents  uint64 // events in writes that were begun: the client may have any of them
	headWritten    bool   // the head has been written
	clientGone     bool   // a write failed: the client has left
}

// forwardStream sends a request whose answer is passed on event by event.
func (request *clientRequest) forwardStream(turn accounting) {
	after := request.x.Header.Get(lastEventIDHeader)
	relay := &streamRelay{request: request, accounting: turn, progress: newProgress(request.route.Resumable, after)}
	if turn.transcript != nil && after != "" {
		// The text of a kept turn is that of the run that ends whole: it runs from its beginning, and the client gets the rest.
		relay.skipThrough, relay.progress.lastEventID, request.dropLastEventID = after, "", true
	}
	if turn.transcript == nil {
		request.preferredInstance = request.gateway.affinity.find(request.affinityKeys()...)
	}
	relay.run()
}

// streamLargeAnswer hands on an answer that is too long to be held whole.
func (request *clientRequest) streamLargeAnswer(result *upstream.Result, choice loadbalancer.Selection) {
	relay := &streamRelay{request: request, progress: newProgress(false, ""), lastResult: result}
	relay.copyAttempt(result, choice, newAttemptTiming(request, choice, false))
	if result.Stream.Outcome() != upstream.Complete || relay.clientGone {
		relay.abort()
		return
	}
	relay.complete(choice.Instance)
}

// run makes runs until the answer is whole or nothing is left to try.
func (relay *streamRelay) run() {
	request := relay.request
	for tries := 1; ; tries++ {
		choice := request.selectEndpoint()
		if choice.Decision != loadbalancer.Send {
			relay.noEndpoint(choice)
			return
		}
		relay.progress.beginAttempt()
		result := request.send(choice)
		relay.recordResult(result)
		timing := newAttemptTiming(request, choice, relay.progress.canResume())
		if result.Outcome == upstream.Streaming {
			relay.copyAttempt(result, choice, timing)
		}
		request.recordFailure(result, timing)
		switch relay.progress.next(relay.attemptEnd(result, tries)) {
		case finished:
			relay.complete(choice.Instance)
			return
		case giveUp:
			relay.abort()
			return
		case resume:
			relay.flush()
			request.resumeAfter = relay.progress.lastEventID
		case retry:
		}
	}
}

// recordResult keeps the result that the client is told of if nothing else comes: what an earlier run may have done stands, whatever
// a later one says.
func (relay *streamRelay) recordResult(result *upstream.Result) {
	if relay.lastResult == nil || result.Disposition(false).Execution != upstream.NotExecuted || relay.lastResult.Disposition(false).Execution == upstream.NotExecuted {
		relay.lastResult = result
	}
}

// attemptEnd sums up how a run ended.
func (relay *streamRelay) attemptEnd(result *upstream.Result, tries int) attemptEnd {
	request := relay.request
	verdict := result.Disposition(false)
	whole := result.Stream != nil && result.Stream.Outcome() == upstream.Complete
	return attemptEnd{
		complete:     whole,
		clientGone:   relay.clientGone || !whole && (request.ctx.Err() != nil || verdict.Reply == upstream.NoReply),
		retryable:    verdict.MayRetry(request.retryable()),
		attemptsLeft: request.sent < request.route.MaxAttempts && tries < maxAttempts && time.Until(request.deadline) > 0,
	}
}

// copyAttempt hands the pieces of one run to the client until the run or the client has ended. What is at hand goes out in one write.
func (relay *streamRelay) copyAttempt(result *upstream.Result, choice loadbalancer.Selection, timing *attemptTiming) {
	request, stream := relay.request, result.Stream
	defer stream.Close()
	stream.SetDeadline(timing.firstEventDeadline())
	for {
		piece, err := stream.Next()
		if err != nil {
			break
		}
		if !relay.progress.accept(piece.ID, piece.HasData) {
			break // the run does not go on where the last one ended
		}
		if timing.recordEvent() {
			request.gateway.firstEvent(choice.Call)
		}
		relay.add(piece)
		if stream.Ready() && !stream.BodyReceived() {
			continue
		}
		relay.flushFrom(result.Response)
		if relay.clientGone {
			break
		}
		stream.SetDeadline(timing.nextEventDeadline())
	}
	if relay.bufferedEvents > 0 && stream.Outcome() == upstream.Complete {
		relay.flushFrom(result.Response)
	}
	stream.Close()
	request.gateway.counters.countAttempt(result)
	if timing.timeToFirst > 0 {
		request.gateway.counters.countTimeToFirst(timing.timeToFirst)
	}
	request.gateway.callDone(choice.Call, timing.outcome(result))
}

// add takes in a piece that follows on what has been taken.
func (relay *streamRelay) add(piece upstream.Event) {
	if relay.accounting.transcript != nil && piece.HasData {
		relay.accounting.transcript.add(piece.Data)
	}
	if relay.skipThrough != "" && piece.ID != "" && !upstream.IDIncreases(relay.skipThrough, piece.ID) {
		return
	}
	relay.events++
	relay.bufferedEvents++
	relay.buffer = append(relay.buffer, piece.Raw...)
}

// flushFrom writes what has come, behind the head of the answer where no head has been written.
func (relay *streamRelay) flushFrom(head *upstream.Response) {
	if !relay.headWritten {
		relay.begin(head)
	}
	relay.flush()
}

// flush writes what has come.
func (relay *streamRelay) flush() {
	if !relay.headWritten && len(relay.buffer) > 0 {
		relay.begin(relay.lastResult.Response)
	}
	if !relay.clientGone && len(relay.buffer) > 0 {
		relay.writtenEvents = relay.events
		relay.clientGone = relay.request.x.Write(relay.buffer) != nil
	}
	relay.buffer, relay.bufferedEvents = relay.buffer[:0], 0
}

// begin writes the head.
func (relay *streamRelay) begin(head *upstream.Response) {
	relay.headWritten = true
	relay.clientGone = relay.request.x.Begin(head.Status, fields(head)) != nil
}

// noEndpoint answers where no endpoint is to be had for the next run.
func (relay *streamRelay) noEndpoint(choice loadbalancer.Selection) {
	if relay.lastResult == nil || relay.lastResult.Disposition(false).Execution == upstream.NotExecuted {
		relay.accounting.reservation.release(0)
		relay.request.rejectUnsent(choice)
		return
	}
	relay.abort()
}

// abort ends an answer that did not come whole, or that the client did not take. A turn is not kept: what the client
// may have of it is charged.
func (relay *streamRelay) abort() {
	charged := relay.events
	if !relay.clientGone {
		charged = relay.writtenEvents
	}
	relay.accounting.reservation.release(charged * relay.request.tokensPerEvent)
	if relay.headWritten || relay.clientGone {
		relay.request.x.Abort()
		return
	}
	relay.request.respond(relay.lastResult)
}

// complete ends an answer that the client has whole but for its end. That of a kept turn is written when the turn is durable;
// of another one that is charged, when the room it leaves in the budget is free, or a little later than it should be.
func (relay *streamRelay) complete(instance string) {
	request, turn := relay.request, relay.accounting
	if !relay.headWritten { // a stream without events
		relay.begin(relay.lastResult.Response)
	}
	if relay.clientGone {
		turn.reservation.release(relay.events * request.tokensPerEvent)
		request.x.Abort()
		return
	}
	tokens := relay.events * request.tokensPerEvent
	if turn.transcript == nil {
		request.recordAffinity(instance)
		turn.reservation.release(tokens)
		request.x.End()
		return
	}
	turn.transcript.instance = instance
	if !request.storeTurn(turn.transcript, tokens) {
		turn.reservation.releaseInBackground(tokens) // if it was kept all the same, that stands
		request.x.Abort()
		return
	}
	request.x.End()
}
