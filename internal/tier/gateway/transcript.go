package gateway

import (
	"context"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// transcript is the text of a turn that its turn store keeps: what it goes on from, and what its answer adds.
type transcript struct {
	program, conversation, previous string
	retentionMs                     uint32 // ms
	instance                        string // that ran it, or ran its last part
	output                          []byte // the data of each event, each followed by a line feed
}

// add takes the data of one event in.
func (transcript *transcript) add(data []byte) {
	transcript.output = append(append(transcript.output, data...), '\n')
}

// newTranscript asks for what a turn goes on from: it names the newest turn of the line whose text this gateway holds.
func (request *clientRequest) newTranscript(begin *tierv1.BeginRequest) (written *transcript, held *cachedPrompt) {
	written = &transcript{program: begin.Program, conversation: begin.Program + "/" + request.x.Header.Get("Session"),
		previous: request.x.Header.Get("Previous"), retentionMs: begin.RetentionMs}
	begin.Previous = written.previous
	if held = request.gateway.transcripts.nearest(written.previous, written.conversation); held != nil {
		begin.Held = held.attempt
	}
	return written, held
}

// assemblePrompt puts the prompt together from the text that is held here and what the turn store sent after it.
func (request *clientRequest) assemblePrompt(held *cachedPrompt, begun beginResult) {
	if !begun.chainIsSuffix {
		held = nil
	} else {
		request.preferredInstance = held.instance
	}
	if n := len(begun.chain); n > 0 {
		request.preferredInstance = begun.chain[n-1].Instance
	}
	request.body = assemblePrompt(held, begun.chain, request.x.Body)
}

// storeTurn makes a whole turn durable, and caches its text for the turn that follows. False: it is not known to be durable.
func (request *clientRequest) storeTurn(written *transcript, tokens uint64) bool {
	if !request.settleTurn(written, tokens) {
		return false
	}
	request.gateway.transcripts.add(&cachedPrompt{attempt: request.attemptID, conversation: written.conversation, instance: written.instance,
		prompt: append(request.body, written.output...)})
	return true
}

// settleTurn makes a whole turn durable.
func (request *clientRequest) settleTurn(written *transcript, tokens uint64) bool {
	ctx, cancel := context.WithDeadline(context.Background(), request.deadline)
	defer cancel()
	kept := &tierv1.Turn{Attempt: request.attemptID, Previous: written.previous, Program: written.program, Input: request.x.Body,
		Output: written.output, RetentionMs: written.retentionMs, Instance: written.instance}
	return request.gateway.storeClient.settle(ctx, &tierv1.SettleRequest{Program: written.program, Attempt: request.attemptID, Kept: true,
		Tokens: tokens, Turn: kept})
}
