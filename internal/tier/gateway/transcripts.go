package gateway

import (
	"context"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// transcript is the text of a turn that is to be stored.
type transcript struct {
	program, conversation, previous string
	retentionMs                     uint32
	instance                        string // instance that ran the turn, or its last attempt
	output                          []byte // the data of all events, each followed by a line feed
}

// add appends the data of an event.
func (transcript *transcript) add(data []byte) {
	transcript.output = append(append(transcript.output, data...), '\n')
}

// newTranscript returns a transcript for a turn, and the cached text of the turn that it continues, or else of the newest cached turn of
// its conversation, or nil. It sets begin.KnownTurn to the cached turn, so that the turn store sends only the turns after it.
func (request *clientRequest) newTranscript(begin *tierv1.BeginRequest) (*transcript, *cachedPrompt) {
	transcript := &transcript{program: begin.Program, conversation: begin.Program + "/" + request.exchange.Header.Get("Session"),
		previous: request.exchange.Header.Get("Previous"), retentionMs: begin.RetentionMs}
	begin.Previous = transcript.previous
	cached := request.gateway.transcripts.nearest(transcript.previous, transcript.conversation)
	if cached != nil {
		begin.KnownTurn = cached.attempt
	}
	return transcript, cached
}

// assemblePrompt sets the body to the cached text, the turns after it that the turn store has sent, and the new input. It also sets the
// preferred instance.
func (request *clientRequest) assemblePrompt(cached *cachedPrompt, begun beginResult) {
	if !begun.chainIsSuffix {
		cached = nil
	} else {
		request.preferredInstance = cached.instance
	}
	if n := len(begun.chain); n > 0 {
		request.preferredInstance = begun.chain[n-1].Instance
	}
	request.body = assemblePrompt(cached, begun.chain, request.exchange.Body)
}

// storeTurn stores a complete turn and caches its text for the next one. It reports whether the turn is known to be durable.
func (request *clientRequest) storeTurn(transcript *transcript, tokens uint64) bool {
	if !request.settleTurn(transcript, tokens) {
		return false
	}
	request.gateway.transcripts.add(&cachedPrompt{attempt: request.attemptID, conversation: transcript.conversation, instance: transcript.instance,
		text: append(request.body, transcript.output...)})
	return true
}

// settleTurn settles a complete turn with its text, and reports whether that is known to be durable. It retries until the deadline.
func (request *clientRequest) settleTurn(transcript *transcript, tokens uint64) bool {
	ctx, cancel := context.WithDeadline(context.Background(), request.deadline)
	defer cancel()
	turn := &tierv1.Turn{Attempt: request.attemptID, Previous: transcript.previous, Program: transcript.program, Input: request.exchange.Body,
		Output: transcript.output, RetentionMs: transcript.retentionMs, Instance: transcript.instance}
	return request.gateway.storeClient.settle(ctx, &tierv1.SettleRequest{Program: transcript.program, Attempt: request.attemptID, Stored: true,
		Tokens: tokens, Turn: turn})
}

// assemblePrompt concatenates a cached text, which may be nil, the turns that follow it, and the new input.
func assemblePrompt(cached *cachedPrompt, chain []*tierv1.Turn, input []byte) []byte {
	size := len(input)
	if cached != nil {
		size += len(cached.text)
	}
	for _, t := range chain {
		size += len(t.Input) + len(t.Output)
	}
	if size == len(input) {
		return input
	}
	all := make([]byte, 0, size)
	if cached != nil {
		all = append(all, cached.text...)
	}
	for _, t := range chain {
		all = append(append(all, t.Input...), t.Output...)
	}
	return append(all, input...)
}
