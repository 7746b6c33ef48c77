package gateway

import (
	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// lastEventIDHeader names the event after which a stream is to be resumed.
const lastEventIDHeader = "Last-Event-Id"

// streamRelay passes a streamed answer to the client. It comes from one attempt at an endpoint or, if the route allows it, from several
// of which each resumes the one before.
type streamRelay struct {
	request        *clientRequest
	accounting     accounting
	progress       progress
	skipThrough    string           // events up to this ID go into the transcript only: the client has them
	lastResult     *upstream.Result // the decisive one so far
	buffer         []byte           // events that are not written yet
	bufferedEvents uint64           // number of events in it
	events         uint64           // number of events received for the client
	writtenEvents  uint64           // number of events in writes that were begun: the client may have any of them
	headWritten    bool             // the head of the answer has been written
	clientGone     bool             // a write has failed
}

// forwardStream serves a request whose answer is passed on event by event.
func (request *clientRequest) forwardStream(accounting accounting) {
	after := request.exchange.Header.Get(lastEventIDHeader)
	relay := &streamRelay{request: request, accounting: accounting, progress: newProgress(request.route.Resumable, after)}
	if accounting.transcript != nil && after != "" {
		// The text of a stored turn must be complete: the endpoint runs it from its beginning, and the client gets the rest.
		relay.skipThrough, relay.progress.lastEventID, request.dropLastEventID = after, "", true
	}
	if accounting.transcript == nil {
		request.preferredInstance = request.gateway.affinity.find(request.affinityKeys()...)
	}
	relay.run()
}

// streamLargeAnswer passes on an answer that is too large to be buffered.
func (request *clientRequest) streamLargeAnswer(result *upstream.Result, selection loadbalancer.Selection) {
	relay := &streamRelay{request: request, progress: newProgress(false, ""), lastResult: result}
	relay.copyAttempt(result, selection, newAttemptTiming(request, selection, false))
	if result.Stream.Outcome() != upstream.Complete || relay.clientGone {
		relay.abort()
		return
	}
	relay.complete(selection.Instance)
}

// run makes attempts until the answer is complete or no attempts are left.
func (relay *streamRelay) run() {
	request := relay.request
	for attempts := 1; ; attempts++ {
		selection := request.selectEndpoint()
		if selection.Decision != loadbalancer.Send {
			relay.noEndpoint(selection)
			return
		}
		relay.progress.beginAttempt()
		result := request.send(selection)
		relay.lastResult = decisive(relay.lastResult, result)
		timing := newAttemptTiming(request, selection, relay.progress.canResume())
		if result.Outcome == upstream.Streaming {
			relay.copyAttempt(result, selection, timing)
		}
		request.recordFailure(result, timing)
		switch relay.progress.next(relay.attemptEnd(result, attempts)) {
		case finished:
			relay.complete(selection.Instance)
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

// attemptEnd summarizes how an attempt has ended, after so many.
func (relay *streamRelay) attemptEnd(result *upstream.Result, attempts int) attemptEnd {
	request := relay.request
	disposition := result.Disposition(false)
	complete := result.Stream != nil && result.Stream.Outcome() == upstream.Complete
	return attemptEnd{
		complete:     complete,
		clientGone:   relay.clientGone || !complete && (request.ctx.Err() != nil || disposition.Reply == upstream.NoReply),
		retryable:    disposition.MayRetry(request.retryable()),
		attemptsLeft: request.attemptsLeft(attempts),
	}
}

// copyAttempt passes the events of one attempt to the client until either has ended. Events that are received together go out in one write.
func (relay *streamRelay) copyAttempt(result *upstream.Result, selection loadbalancer.Selection, timing *attemptTiming) {
	request, stream := relay.request, result.Stream
	defer stream.Close()
	stream.SetDeadline(timing.firstEventDeadline())
	for {
		event, err := stream.Next()
		if err != nil {
			break
		}
		if !relay.progress.accept(event.ID, event.HasData) {
			break // the attempt does not resume where the last one ended
		}
		if timing.recordEvent() {
			request.gateway.firstEvent(selection.Call)
		}
		relay.add(event)
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
	request.gateway.callDone(selection.Call, timing.outcome(result))
}

// add adds an event to the transcript and to the buffer.
func (relay *streamRelay) add(event upstream.Event) {
	if relay.accounting.transcript != nil && event.HasData {
		relay.accounting.transcript.add(event.Data)
	}
	if relay.skipThrough != "" && event.ID != "" && !upstream.IDIncreases(relay.skipThrough, event.ID) {
		return
	}
	relay.events++
	relay.bufferedEvents++
	relay.buffer = append(relay.buffer, event.Raw...)
}

// flushFrom writes the buffer, after the given head of the answer if none has been written.
func (relay *streamRelay) flushFrom(head *upstream.Response) {
	if !relay.headWritten {
		relay.begin(head)
	}
	relay.flush()
}

// flush writes the buffer, after the head of the decisive answer if none has been written.
func (relay *streamRelay) flush() {
	if !relay.headWritten && len(relay.buffer) > 0 {
		relay.begin(relay.lastResult.Response)
	}
	if !relay.clientGone && len(relay.buffer) > 0 {
		relay.writtenEvents = relay.events
		relay.clientGone = relay.request.exchange.Write(relay.buffer) != nil
	}
	relay.buffer, relay.bufferedEvents = relay.buffer[:0], 0
}

// begin writes the head of the answer.
func (relay *streamRelay) begin(head *upstream.Response) {
	relay.headWritten = true
	relay.clientGone = relay.request.exchange.Begin(head.Status, fields(head)) != nil
}

// noEndpoint ends the answer if there is no endpoint for the next attempt.
func (relay *streamRelay) noEndpoint(selection loadbalancer.Selection) {
	if relay.lastResult == nil || !mayHaveRun(relay.lastResult) {
		relay.accounting.reservation.release(0)
		relay.request.rejectUnsent(selection)
		return
	}
	relay.abort()
}

// abort ends an answer that is incomplete, or whose client is gone. Its turn is not stored: what the client may have of it is charged.
func (relay *streamRelay) abort() {
	charged := relay.events
	if !relay.clientGone {
		charged = relay.writtenEvents
	}
	relay.accounting.reservation.release(charged * relay.request.tokensPerEvent)
	if relay.headWritten || relay.clientGone {
		relay.request.exchange.Abort()
		return
	}
	relay.request.respond(relay.lastResult)
}

// complete ends an answer of which the client has everything but the end. The end is written when the turn is durable, if it is stored; if it
// is only charged, when its reservation is released, or a little later.
func (relay *streamRelay) complete(instance string) {
	request, accounting := relay.request, relay.accounting
	if !relay.headWritten { // a stream without events
		relay.begin(relay.lastResult.Response)
	}
	if relay.clientGone {
		accounting.reservation.release(relay.events * request.tokensPerEvent)
		request.exchange.Abort()
		return
	}
	tokens := relay.events * request.tokensPerEvent
	if accounting.transcript == nil {
		request.recordAffinity(instance)
		accounting.reservation.release(tokens)
		request.exchange.End()
		return
	}
	accounting.transcript.instance = instance
	if !request.storeTurn(accounting.transcript, tokens) {
		accounting.reservation.releaseInBackground(tokens) // if it was stored all the same, that settlement wins
		request.exchange.Abort()
		return
	}
	request.exchange.End()
}
