package gateway

import (
	"time"

	"dockshift.example/dockshift/internal/tier/loadbalancer"
	"dockshift.example/dockshift/internal/tier/upstream"
)

// stream sends a request whose answer is passed on event by event; t is what is kept of it, if it is a turn.
func (request *clientRequest) stream(t *kept) {
	for tries := 1; ; tries++ {
		choice := request.choose()
		if choice.Verdict != loadbalancer.Send {
			if t != nil {
				request.release(t.program, 0)
			}
			request.unsent(choice)
			return
		}
		r := request.send(choice)
		if r.End == upstream.Streaming {
			request.pass(r, choice, t)
			return
		}
		if request.mayRetry(r, tries) {
			continue
		}
		if t != nil {
			request.release(t.program, 0)
		}
		request.finish(r)
		return
	}
}

// passage is an answer on its way from an endpoint to the client.
type passage struct {
	request *clientRequest
	result  *upstream.Result
	turn    *kept         // nil: the answer is not one of a turn
	buffer  []byte        // pieces that have come and are not written yet
	events  uint64        // that have come
	handed  uint64        // events in writes that were begun: the client may have any of them
	first   time.Duration // from the send to the first piece; 0: none has come
	begun   bool          // the head has been written
	lost    bool          // a write failed: the client has left
}

// pass hands the pieces of an answer to the client as they come, and its end when the turn is kept.
func (request *clientRequest) pass(result *upstream.Result, choice loadbalancer.Choice, turn *kept) {
	p := passage{request: request, result: result, turn: turn}
	stream := result.Stream
	defer stream.Close()
	stream.SetDeadline(request.until)
	p.copyPieces(choice.Call)
	stream.Close()
	ended := outcome(result, time.Since(request.began))
	ended.First = p.first
	request.gateway.done(choice.Call, ended)
	if stream.End() != upstream.Whole || p.lost {
		p.cutShort()
		return
	}
	p.complete(choice.Instance)
}

// copyPieces hands pieces on until the stream or the client has ended. What is at hand goes out in one write.
func (p *passage) copyPieces(call *loadbalancer.Call) {
	stream := p.result.Stream
	for {
		piece, err := stream.Next()
		if err != nil {
			break
		}
		if p.first == 0 {
			p.first = time.Since(p.request.began)
			p.request.gateway.firstPiece(call)
		}
		p.events++
		p.buffer = append(p.buffer, piece.Raw...)
		if p.turn != nil && piece.HasData {
			p.turn.output = append(append(p.turn.output, piece.Data...), '\n')
		}
		if stream.AtHand() && !stream.Last() {
			continue
		}
		p.flush()
		if p.lost {
			return
		}
	}
	if len(p.buffer) > 0 && stream.End() == upstream.Whole {
		p.flush()
	}
}

// flush writes what has come, behind the head where that has not been written.
func (p *passage) flush() {
	if !p.begun {
		p.begin()
	}
	if !p.lost {
		p.handed = p.events
		p.lost = p.request.x.Write(p.buffer) != nil
	}
	p.buffer = p.buffer[:0]
}

// begin writes the head.
func (p *passage) begin() {
	p.begun = true
	p.lost = p.request.x.Begin(p.result.Answer.Status, fields(p.result.Answer)) != nil
}

// cutShort ends an answer that did not come whole, or that the client did not take. A turn is not kept: what the client
// may have of it is charged.
func (p *passage) cutShort() {
	if p.turn != nil {
		charged := p.events
		if !p.lost {
			charged = p.handed
		}
		p.request.release(p.turn.program, charged*p.request.perEvent)
	}
	if p.begun || p.lost {
		p.request.x.Abort()
		return
	}
	p.request.finish(p.result)
}

// complete ends an answer that the client has whole but for its end, which is written when the turn is durable.
func (p *passage) complete(instance string) {
	request := p.request
	if !p.begun { // a stream without events
		p.begin()
	}
	if p.lost {
		request.x.Abort()
		return
	}
	tokens := p.events * request.perEvent
	if p.turn != nil && !request.keepTurn(p.turn, instance, tokens) {
		request.releaseLater(p.turn.program, tokens) // if it was kept all the same, that stands
		request.x.Abort()
		return
	}
	request.x.End()
}

// keepTurn makes a whole turn durable, and caches its text for the turn that follows. False: it is not known to be durable.
func (request *clientRequest) keepTurn(turn *kept, instance string, tokens uint64) bool {
	turn.instance = instance
	if !request.keep(turn, tokens) {
		return false
	}
	request.gateway.texts.keep(&text{attempt: request.attempt, line: turn.line, instance: instance, prompt: append(request.body, turn.output...)})
	return true
}
