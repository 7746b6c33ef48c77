package gateway

import (
	"context"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// transcript is the text of a turn that its turn store keeps: what it goes on from, and what its answer adds.
type transcript struct {
	program, line, previous string
	retention               uint32 // ms
	instance                string // that ran it, or ran its last part
	output                  []byte // the data of each event, each followed by a line feed
}

// add takes the data of one event in.
func (transcript *transcript) add(data []byte) {
	transcript.output = append(append(transcript.output, data...), '\n')
}

// continueFrom asks for what a turn goes on from: it names the newest turn of the line whose text this gateway holds.
func (request *clientRequest) continueFrom(begin *tierv1.BeginRequest) (written *transcript, held *text) {
	written = &transcript{program: begin.Program, line: begin.Program + "/" + request.x.Header.Get("Session"),
		previous: request.x.Header.Get("Previous"), retention: begin.RetentionMs}
	begin.Previous = written.previous
	if held = request.gateway.texts.nearest(written.previous, written.line); held != nil {
		begin.Held = held.attempt
	}
	return written, held
}

// assemble puts the prompt together from the text that is held here and what the turn store sent after it.
func (request *clientRequest) assemble(held *text, begun beginning) {
	if !begun.after {
		held = nil
	} else {
		request.home = held.instance
	}
	if n := len(begun.chain); n > 0 {
		request.home = begun.chain[n-1].Instance
	}
	request.body = prompt(held, begun.chain, request.x.Body)
}

// keepTurn makes a whole turn durable, and caches its text for the turn that follows. False: it is not known to be durable.
func (request *clientRequest) keepTurn(written *transcript, tokens uint64) bool {
	if !request.keep(written, tokens) {
		return false
	}
	request.gateway.texts.keep(&text{attempt: request.attempt, line: written.line, instance: written.instance,
		prompt: append(request.body, written.output...)})
	return true
}

// keep makes a whole turn durable.
func (request *clientRequest) keep(written *transcript, tokens uint64) bool {
	ctx, cancel := context.WithDeadline(context.Background(), request.until)
	defer cancel()
	kept := &tierv1.Turn{Attempt: request.attempt, Previous: written.previous, Program: written.program, Input: request.x.Body,
		Output: written.output, RetentionMs: written.retention, Instance: written.instance}
	return request.gateway.stores.settle(ctx, &tierv1.SettleRequest{Program: written.program, Attempt: request.attempt, Kept: true,
		Tokens: tokens, Turn: kept})
}
