package gateway

import (
	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// lastEventIDHeader names the event after which a stream is to be resumed.
const lastEventIDHeader = "Last-Event-Id"

// streamRelay relays a streamed answer to the client. The answer comes from one attempt at an endpoint or, if the route is resumable,
// from several attempts, each of which resumes the previous one.
type streamRelay struct {
	request        *clientRequest
	accounting     accounting
	progress       progress
	skipThrough    string           // ID of the last event that the client has: events up to it are added to the transcript only
	lastResult     *upstream.Result // decisive result so far
	buffer         []byte           // events that have not been written yet
	bufferedEvents uint64           // number of events in it
	events         uint64           // number of events received for the client
	writtenEvents  uint64           // number of events in writes that were begun: the client may have received any of them
	headWritten    bool             // the head of the answer has been written
	clientGone     bool             // a write has failed
}

// forwardStream serves a request whose answer is relayed event by event.
func (request *clientRequest) forwardStream(accounting accounting) {
	after := request.exchange.Header.Get(lastEventIDHeader)
	relay := &streamRelay{request: request, accounting: accounting, progress: newProgress(request.route.Resumable, after)}
	if accounting.transcript != nil && after != "" {
		// The transcript of a stored turn must be complete: the endpoint generates the complete stream, and the client gets the events
		// after its Last-Event-Id.
		relay.skipThrough, relay.progress.lastEventID, request.dropLastEventID = after, "", true
	}
	if accounting.transcript == nil {
		request.preferredInstance = request.gateway.affinity.find(request.affinityKeys()...)
	}
	relay.run()
}

// streamLargeAnswer relays an answer that is too large to be buffered.
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

// attemptEnd summarizes how an attempt has ended. attempts is the number of attempts so far.
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

// copyAttempt relays the events of one attempt until the attempt has ended or the client is gone. Events that are received together are
// sent in one write.
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

// flushFrom writes the buffer, preceded by the given head of the answer if no head has been written.
func (relay *streamRelay) flushFrom(head *upstream.Response) {
	if !relay.headWritten {
		relay.begin(head)
	}
	relay.flush()
}

// flush writes the buffer, preceded by the head of the decisive answer if no head has been written.
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

// abort ends an answer that is incomplete, or whose client is gone. Its turn is not stored, and is charged for the events that the client
// may have received.
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

// complete ends an answer whose events have all been written. For a stored turn the end is written only when the turn is durable; for a
// turn that is only charged, when its reservation is released, or at the latest after maxReleaseWait.
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
		accounting.reservation.releaseInBackground(tokens) // if the turn was stored nevertheless, that settlement takes precedence
		request.exchange.Abort()
		return
	}
	request.exchange.End()
}
