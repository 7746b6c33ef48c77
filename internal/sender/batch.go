package sender

import (
	"context"
	"errors"
	"sync"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
)

// Several messages travel in one call where an endpoint's form says so. The module decides each of them by itself, as
// ever: what it sends to one endpoint in one step goes together. Each Send is still one call at the most, with its own
// time-out; a message of which that is over ends by itself, while the call goes on for the others.

// batchedSend is one attempt of a message on its way to a batch.
type batchedSend struct {
	m       *message
	attempt int
	ctx     context.Context // ends with its time-out, or as it is called off
	timeout time.Duration
	permit  *calls.Permit
}

// batch is what goes to one endpoint in one call.
type batch struct {
	to    *calls.Endpoint
	sends []batchedSend
	bytes int
}

// eventOverheadBytes is about what an event takes in a batch beside its data.
const eventOverheadBytes = 512

// addToBatch puts an attempt with others to the same endpoint, as far as they fit into one call: so many events, and about so
// many bytes.
func (s *Sender) addToBatch(e *calls.Endpoint, one batchedSend, events, bytes int) {
	size := eventOverheadBytes + len(one.m.Body)*4/3
	for i := range s.batches {
		b := &s.batches[i]
		if b.to == e && len(b.sends) < events && b.bytes+size <= bytes {
			b.sends, b.bytes = append(b.sends, one), b.bytes+size
			return
		}
	}
	s.batches = append(s.batches, batch{e, []batchedSend{one}, size})
}

// sendBatches begins the calls that were gathered in this turn.
func (s *Sender) sendBatches(ctx context.Context, written bool) {
	batches := s.batches
	s.batches = nil
	for _, b := range batches {
		s.sendBatch(ctx, b, written)
	}
}

// batchCall is the call of a batch. done is closed once result stands.
type batchCall struct {
	endpoint brain.EndpointID
	done     chan struct{}
	result   brain.AttemptResult
	draining bool // the endpoint wants no more calls
}

// sendBatch begins the call of one batch. Each message's attempt ends by itself, with the call, its own time-out or its
// cancellation, and is posted as a callResult; the call lasts as long as one of them waits for it.
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

// await waits for the end of one attempt of the batch: that of the call, or its own time-out or cancellation before it.
func (c *batchCall) await(send batchedSend) callResult {
	r := callResult{message: send.m, attempt: send.attempt}
	select {
	case <-c.done:
		r.AttemptResult, r.draining = c.result, c.draining
	case <-send.ctx.Done():
		select { // both at once: what came back is known
		case <-c.done:
			r.AttemptResult, r.draining = c.result, c.draining
		default:
			r.AttemptResult = brain.AttemptResult{Endpoint: c.endpoint, Outcome: brain.Cancelled}
			if errors.Is(send.ctx.Err(), context.DeadlineExceeded) {
				r.Outcome = brain.TimedOut
			}
		}
	}
	// A message whose permit is gone was not written with the others, and one whose time is over before the connection is up
	// will not be: neither's end is the call's.
	if send.permit.Revoked() {
		r.AttemptResult = brain.AttemptResult{Endpoint: c.endpoint, Outcome: brain.NotSent}
	} else if send.ctx.Err() != nil && send.permit.Revoke() {
		r.AttemptResult = brain.AttemptResult{Endpoint: c.endpoint, Outcome: brain.ConnectFailed}
	}
	return r
}
