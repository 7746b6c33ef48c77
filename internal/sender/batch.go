package sender

import (
	"context"
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

// batchResult is how the call of a batch ended.
type batchResult struct {
	end      brain.AttemptResult
	draining bool
}

// sendBatch begins the call of one batch. Each message's attempt ends by itself, with the call, its own time-out or its
// cancellation, and is posted as a callResult; the call lasts as long as one of them waits for it.
func (s *Sender) sendBatch(ctx context.Context, b batch, written bool) {
	began := time.Now()
	recs := make([]calls.Ticket, len(b.sends))
	timeout, longest := b.sends[0].timeout, b.sends[0].timeout
	for i, one := range b.sends {
		recs[i] = calls.Ticket{Message: one.m.callMessage(), Permit: one.permit}
		timeout, longest = min(timeout, one.timeout), max(longest, one.timeout)
	}
	// The call lasts as long as one of its messages waits for it.
	shared, cancel := context.WithTimeout(ctx, longest)
	done := make(chan struct{})
	var how batchResult
	go func() {
		how.end = brain.AttemptResult{Endpoint: b.to.Number, Outcome: brain.NotSent}
		if written {
			how.end, how.draining = s.pool.Call(shared, b.to, recs, timeout)
		}
		close(done)
	}()
	left := make(chan struct{}, len(b.sends))
	for _, one := range b.sends {
		go func() {
			defer func() { left <- struct{}{} }()
			end := callResult{message: one.m, attempt: one.attempt}
			select {
			case <-done:
				end.AttemptResult, end.draining = how.end, how.draining
			case <-one.ctx.Done():
				select { // both at once: what came back is known
				case <-done:
					end.AttemptResult, end.draining = how.end, how.draining
				default:
					end.AttemptResult = brain.AttemptResult{Endpoint: b.to.Number, Outcome: brain.Cancelled}
					if one.ctx.Err() == context.DeadlineExceeded {
						end.Outcome = brain.TimedOut
					}
				}
			}
			// A message whose leave is gone was not written with the others, and one whose time is over before
			// the connection is up will not be: neither's end is the call's.
			if one.permit.Revoked() {
				end.AttemptResult = brain.AttemptResult{Endpoint: b.to.Number, Outcome: brain.NotSent}
			} else if one.ctx.Err() != nil && one.permit.Revoke() {
				end.AttemptResult = brain.AttemptResult{Endpoint: b.to.Number, Outcome: brain.ConnectFailed}
			}
			end.Elapsed = time.Since(began)
			s.post(ctx, end)
		}()
	}
	go func() {
		defer cancel()
		for range b.sends {
			<-left
		}
	}()
}
