package gateway

import (
	"time"

	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// lastEventID names the event after which a stream is to go on.
const lastEventID = "Last-Event-Id"

// relay is a streamed answer on its way to the client. It comes from one run of the request at an endpoint or, where the route
// allows it, from several that follow each other.
type relay struct {
	request  *clientRequest
	turn     turn
	progress progress
	skipTo   string // events up to this id go into the transcript only: the client has them
	last     *upstream.Result
	buffer   []byte // pieces that have come and are not written yet
	unsent   uint64 // events among them
	events   uint64 // that have come for the client
	handed   uint64 // events in writes that were begun: the client may have any of them
	begun    bool   // the head has been written
	lost     bool   // a write failed: the client has left
}

// stream sends a request whose answer is passed on event by event.
func (request *clientRequest) stream(turn turn) {
	after := request.x.Header.Get(lastEventID)
	relay := &relay{request: request, turn: turn, progress: newProgress(request.route.Resumable, after)}
	if turn.transcript != nil && after != "" {
		// The text of a kept turn is that of the run that ends whole: it runs from its beginning, and the client gets the rest.
		relay.skipTo, relay.progress.last, request.dropAfter = after, "", true
	}
	if turn.transcript == nil {
		request.home = request.gateway.homes.find(request.homeKeys()...)
	}
	relay.run()
}

// pass hands on an answer that is too long to be held whole.
func (request *clientRequest) pass(result *upstream.Result, choice loadbalancer.Selection) {
	relay := &relay{request: request, progress: newProgress(false, ""), last: result}
	relay.copyRun(result, choice, newRunTiming(request, choice, false))
	if result.Stream.Outcome() != upstream.Complete || relay.lost {
		relay.cutShort()
		return
	}
	relay.complete(choice.Instance)
}

// run makes runs until the answer is whole or nothing is left to try.
func (relay *relay) run() {
	request := relay.request
	for tries := 1; ; tries++ {
		choice := request.choose()
		if choice.Decision != loadbalancer.Send {
			relay.noEndpoint(choice)
			return
		}
		relay.progress.begin()
		result := request.send(choice)
		relay.note(result)
		timing := newRunTiming(request, choice, relay.progress.mayResume())
		if result.Outcome == upstream.Streaming {
			relay.copyRun(result, choice, timing)
		}
		request.noteFailure(result, timing)
		switch relay.progress.next(relay.runEnd(result, tries)) {
		case finished:
			relay.complete(choice.Instance)
			return
		case giveUp:
			relay.cutShort()
			return
		case resume:
			relay.flush()
			request.resumeAfter = relay.progress.last
		case sendAgain:
		}
	}
}

// note keeps the result that the client is told of if nothing else comes: what an earlier run may have done stands, whatever
// a later one says.
func (relay *relay) note(result *upstream.Result) {
	if relay.last == nil || result.Disposition(false).Execution != upstream.NotExecuted || relay.last.Disposition(false).Execution == upstream.NotExecuted {
		relay.last = result
	}
}

// runEnd sums up how a run ended.
func (relay *relay) runEnd(result *upstream.Result, tries int) runEnd {
	request := relay.request
	verdict := result.Disposition(false)
	whole := result.Stream != nil && result.Stream.Outcome() == upstream.Complete
	return runEnd{
		whole:     whole,
		gone:      relay.lost || !whole && (request.ctx.Err() != nil || verdict.Reply == upstream.NoReply),
		retryable: verdict.MayRetry(request.repeatable()),
		room:      request.sent < request.route.MaxAttempts && tries < maxTries && time.Until(request.until) > 0,
	}
}

// copyRun hands the pieces of one run to the client until the run or the client has ended. What is at hand goes out in one write.
func (relay *relay) copyRun(result *upstream.Result, choice loadbalancer.Selection, timing *runTiming) {
	request, stream := relay.request, result.Stream
	defer stream.Close()
	stream.SetDeadline(timing.firstBy())
	for {
		piece, err := stream.Next()
		if err != nil {
			break
		}
		if !relay.progress.take(piece.ID, piece.HasData) {
			break // the run does not go on where the last one ended
		}
		if timing.piece() {
			request.gateway.firstPiece(choice.Call)
		}
		relay.add(piece)
		if stream.Ready() && !stream.BodyReceived() {
			continue
		}
		relay.flushFrom(result.Response)
		if relay.lost {
			break
		}
		stream.SetDeadline(timing.nextBy())
	}
	if relay.unsent > 0 && stream.Outcome() == upstream.Complete {
		relay.flushFrom(result.Response)
	}
	stream.Close()
	request.gateway.counters.countRun(result)
	if timing.first > 0 {
		request.gateway.counters.countFirst(timing.first)
	}
	request.gateway.done(choice.Call, timing.outcome(result))
}

// add takes in a piece that follows on what has been taken.
func (relay *relay) add(piece upstream.Event) {
	if relay.turn.transcript != nil && piece.HasData {
		relay.turn.transcript.add(piece.Data)
	}
	if relay.skipTo != "" && piece.ID != "" && !upstream.IDIncreases(relay.skipTo, piece.ID) {
		return
	}
	relay.events++
	relay.unsent++
	relay.buffer = append(relay.buffer, piece.Raw...)
}

// flushFrom writes what has come, behind the head of the answer where no head has been written.
func (relay *relay) flushFrom(head *upstream.Response) {
	if !relay.begun {
		relay.begin(head)
	}
	relay.flush()
}

// flush writes what has come.
func (relay *relay) flush() {
	if !relay.begun && len(relay.buffer) > 0 {
		relay.begin(relay.last.Response)
	}
	if !relay.lost && len(relay.buffer) > 0 {
		relay.handed = relay.events
		relay.lost = relay.request.x.Write(relay.buffer) != nil
	}
	relay.buffer, relay.unsent = relay.buffer[:0], 0
}

// begin writes the head.
func (relay *relay) begin(head *upstream.Response) {
	relay.begun = true
	relay.lost = relay.request.x.Begin(head.Status, fields(head)) != nil
}

// noEndpoint answers where no endpoint is to be had for the next run.
func (relay *relay) noEndpoint(choice loadbalancer.Selection) {
	if relay.last == nil || relay.last.Disposition(false).Execution == upstream.NotExecuted {
		relay.turn.account.release(0)
		relay.request.unsent(choice)
		return
	}
	relay.cutShort()
}

// cutShort ends an answer that did not come whole, or that the client did not take. A turn is not kept: what the client
// may have of it is charged.
func (relay *relay) cutShort() {
	charged := relay.events
	if !relay.lost {
		charged = relay.handed
	}
	relay.turn.account.release(charged * relay.request.perEvent)
	if relay.begun || relay.lost {
		relay.request.x.Abort()
		return
	}
	relay.request.finish(relay.last)
}

// complete ends an answer that the client has whole but for its end. That of a kept turn is written when the turn is durable;
// of another one that is charged, when the room it leaves in the budget is free, or a little later than it should be.
func (relay *relay) complete(instance string) {
	request, turn := relay.request, relay.turn
	if !relay.begun { // a stream without events
		relay.begin(relay.last.Response)
	}
	if relay.lost {
		turn.account.release(relay.events * request.perEvent)
		request.x.Abort()
		return
	}
	tokens := relay.events * request.perEvent
	if turn.transcript == nil {
		request.noteHome(instance)
		turn.account.release(tokens)
		request.x.End()
		return
	}
	turn.transcript.instance = instance
	if !request.keepTurn(turn.transcript, tokens) {
		turn.account.releaseLater(tokens) // if it was kept all the same, that stands
		request.x.Abort()
		return
	}
	request.x.End()
}
