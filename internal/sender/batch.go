package sender

import (
	"context"
	"errors"
	"sync"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
)

// Where an endpoint's delivery form allows batches, one call carries several messages. The module still decides each message on its
// own; the messages that it sends to one endpoint in one step share a call. Each Send still makes at most one call and has its own
// time-out: when that expires, only this message's attempt ends, and the call goes on for the others.

// batchedSend is an attempt to send one message as part of a batch.
type batchedSend struct {
	m       *message
	attempt int
	ctx     context.Context // ends with the attempt's time-out or cancellation
	timeout time.Duration
	permit  *calls.Permit
}

// batch is the attempts that share one call to an endpoint.
type batch struct {
	to    *calls.Endpoint
	sends []batchedSend
	bytes int
}

// eventOverheadBytes is the approximate size of an event in a batch without its data.
const eventOverheadBytes = 512

// addToBatch adds an attempt to a batch for the same endpoint that has room for it, or begins a new batch. A batch holds up to events
// attempts and approximately up to bytes bytes.
func (s *Sender) addToBatch(e *calls.Endpoint, send batchedSend, events, bytes int) {
	size := eventOverheadBytes + len(send.m.Body)*4/3
	for i := range s.batches {
		b := &s.batches[i]
		if b.to == e && len(b.sends) < events && b.bytes+size <= bytes {
			b.sends, b.bytes = append(b.sends, send), b.bytes+size
			return
		}
	}
	s.batches = append(s.batches, batch{e, []batchedSend{send}, size})
}

// sendBatches begins the calls of the batches collected in this turn.
func (s *Sender) sendBatches(ctx context.Context, written bool) {
	batches := s.batches
	s.batches = nil
	for _, b := range batches {
		s.sendBatch(ctx, b, written)
	}
}

// batchCall is the call of a batch. done is closed once result is set.
type batchCall struct {
	endpoint brain.EndpointID
	done     chan struct{}
	result   brain.AttemptResult
	draining bool // the endpoint has asked for no further calls
}

// sendBatch begins the call of one batch. Each message's attempt ends separately, with the call or by its own time-out or
// cancellation, and is posted as a callResult. The call lasts as long as an attempt waits for it.
func (s *Sender) sendBatch(ctx context.Context, b batch, written bool) {
	began := time.Now()
	tickets := make([]calls.Ticket, len(b.sends))
	shortest, longest := b.sends[0].timeout, b.sends[0].timeout
	for i, send := range b.sends {
		tickets[i] = calls.Ticket{Message: send.m.callMessage(), Permit: send.permit}
		shortest, longest = min(shortest, send.timeout), max(longest, send.timeout)
	}
	shared, cancel := context.WithTimeout(ctx, longest)
	call := &batchCall{endpoint: b.to.Number, done: make(chan struct{})}
	go func() {
		call.result = brain.AttemptResult{Endpoint: b.to.Number, Outcome: brain.NotSent}
		if written {
			call.result, call.draining = s.pool.Call(shared, b.to, tickets, shortest)
		}
		close(call.done)
	}()
	var waiting sync.WaitGroup
	for _, send := range b.sends {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			result := call.await(send)
			result.Elapsed = time.Since(began)
			s.post(ctx, result)
		}()
	}
	go func() {
		waiting.Wait()
		cancel()
	}()
}

// await waits for the end of one attempt of the batch: the end of the call, or the attempt's own time-out or cancellation before that.
func (c *batchCall) await(send batchedSend) callResult {
	r := callResult{message: send.m, attempt: send.attempt}
	select {
	case <-c.done:
		r.AttemptResult, r.draining = c.result, c.draining
	case <-send.ctx.Done():
		select { // if the call has ended too, its result counts
		case <-c.done:
			r.AttemptResult, r.draining = c.result, c.draining
		default:
			r.AttemptResult = brain.AttemptResult{Endpoint: c.endpoint, Outcome: brain.Cancelled}
			if errors.Is(send.ctx.Err(), context.DeadlineExceeded) {
				r.Outcome = brain.TimedOut
			}
		}
	}
	// A message whose permit was revoked was not written with the others, and one whose time-out expires before the connection is up
	// will not be written. The result of the call applies to neither.
	if send.permit.Revoked() {
		r.AttemptResult = brain.AttemptResult{Endpoint: c.endpoint, Outcome: brain.NotSent}
	} else if send.ctx.Err() != nil && send.permit.Revoke() {
		r.AttemptResult = brain.AttemptResult{Endpoint: c.endpoint, Outcome: brain.ConnectFailed}
	}
	return r
}
