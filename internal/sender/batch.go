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

// sending is one Send on its way.
type sending struct {
	m       *message
	attempt int
	ctx     context.Context // ends with its time-out, or as it is called off
	timeout time.Duration
	leave   *calls.Permit
}

// sendBatch is what goes to one endpoint in one call.
type sendBatch struct {
	to    *calls.Endpoint
	all   []sending
	bytes int
}

// batchHead is about what an event takes in a batch beside its data.
const batchHead = 512

// gather puts a Send with others to the same endpoint, as far as they fit in one call.
func (s *Sender) gather(e *calls.Endpoint, one sending, events, bytes int) {
	size := batchHead + len(one.m.Body)*4/3
	for i := range s.batches {
		b := &s.batches[i]
		if b.to == e && len(b.all) < events && b.bytes+size <= bytes {
			b.all, b.bytes = append(b.all, one), b.bytes+size
			return
		}
	}
	s.batches = append(s.batches, sendBatch{e, []sending{one}, size})
}

// sendBatches begins the calls that were gathered in this step.
func (s *Sender) sendBatches(ctx context.Context, written bool) {
	batches := s.batches
	s.batches = nil
	for _, b := range batches {
		s.sendBatch(ctx, b, written)
	}
}

// batchEnd is how the call of a batch ended.
type batchEnd struct {
	end  brain.AttemptResult
	gone bool
}

func (s *Sender) sendBatch(ctx context.Context, b sendBatch, written bool) {
	began := time.Now()
	recs := make([]calls.Ticket, len(b.all))
	timeout, longest := b.all[0].timeout, b.all[0].timeout
	for i, one := range b.all {
		recs[i] = calls.Ticket{Message: one.m.message(), Permit: one.leave}
		timeout, longest = min(timeout, one.timeout), max(longest, one.timeout)
	}
	// The call lasts as long as one of its messages waits for it.
	shared, cancel := context.WithTimeout(ctx, longest)
	done := make(chan struct{})
	var how batchEnd
	go func() {
		how.end = brain.AttemptResult{Endpoint: b.to.Number, Outcome: brain.NotSent}
		if written {
			how.end, how.gone = s.pool.Call(shared, b.to, recs, timeout)
		}
		close(done)
	}()
	left := make(chan struct{}, len(b.all))
	for _, one := range b.all {
		go func() {
			defer func() { left <- struct{}{} }()
			end := callEnd{message: one.m, attempt: one.attempt}
			select {
			case <-done:
				end.AttemptResult, end.gone = how.end, how.gone
			case <-one.ctx.Done():
				select { // both at once: what came back is known
				case <-done:
					end.AttemptResult, end.gone = how.end, how.gone
				default:
					end.AttemptResult = brain.AttemptResult{Endpoint: b.to.Number, Outcome: brain.Cancelled}
					if one.ctx.Err() == context.DeadlineExceeded {
						end.Outcome = brain.TimedOut
					}
				}
			}
			// A message whose leave is gone was not written with the others, and one whose time is over before
			// the connection is up will not be: neither's end is the call's.
			if one.leave.Gone() {
				end.AttemptResult = brain.AttemptResult{Endpoint: b.to.Number, Outcome: brain.NotSent}
			} else if one.ctx.Err() != nil && one.leave.TakeBack() {
				end.AttemptResult = brain.AttemptResult{Endpoint: b.to.Number, Outcome: brain.ConnectFailed}
			}
			end.Elapsed = time.Since(began)
			s.post(ctx, end)
		}()
	}
	go func() {
		defer cancel()
		for range b.all {
			<-left
		}
	}()
}
