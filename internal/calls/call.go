package calls

import (
	"context"
	"errors"
	"os"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/cloudevents"
)

// Calls use their own connections instead of http.Transport. Whether a call may have run depends on whether its last byte was
// written, which the Transport does not report reliably, and the Transport repeats a request by itself when a reused
// connection breaks. Here one call is one write.

// Message is the part of a message that is sent in a call.
type Message struct {
	ID, Key, Class, Tenant string
	Body                   []byte
	Event                  *cloudevents.Event // attributes of a message that was submitted as an event, whose data is Body
}

// Call makes one attempt and returns its result; gone is true if the endpoint wants no more calls. It never makes a
// second attempt: an endpoint counts each call whose last byte it has received. ctx cancels the call, and its deadline is the
// time-out. A message is written only if its permit can be used once the connection is established, which may take seconds.
// If no permit is left then, or all have expired, the call ends as NotSent and the connection is kept.
//
// If the format carries several messages in one call, tickets are those of this call; the result applies to the messages whose
// permits were used.
func (p *Pool) Call(ctx context.Context, e *Endpoint, tickets []Ticket, timeout time.Duration) (result brain.AttemptResult, gone bool) {
	f := e.requestFormat()
	result = brain.AttemptResult{Endpoint: e.Number}
	c, failure := p.connect(ctx, e, f, tickets)
	// Nothing is written yet. If the call fails before its last byte is written, it has not run.
	result.Outcome = failure
	if c == nil {
		return result, false
	}
	messages, written := usePermits(tickets, time.Now())
	if len(messages) == 0 {
		p.release(e, c)
		result.Outcome = brain.NotSent
		return result, false
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_, err := c.Write(f.appendRequest(make([]byte, 0, 512+len(messages[0].Body)), messages, c.addr, timeout))
	written()
	if err != nil {
		c.Close()
		return result, false
	}
	reusable, gone, err := p.readAnswer(ctx, c, f, &result)
	e.addAllowedRate(f, &result)
	if err == nil && reusable && stop() {
		p.release(e, c)
		return result, gone
	}
	c.Close()
	if err != nil {
		result.Outcome = outcomeOf(ctx, err)
	}
	return result, gone
}

// connect returns a connection to e on which a call may be written, with the outcome of the call if the write fails. Without a
// usable connection it returns nil and the outcome of the call.
func (p *Pool) connect(ctx context.Context, e *Endpoint, f *requestFormat, tickets []Ticket) (*conn, brain.Outcome) {
	until := latestUntil(tickets)
	var c *conn
	err := p.validate(ctx, e, f, until)
	if err == nil {
		c, err = p.acquire(ctx, e, until)
	}
	if err != nil {
		if isLocalShortage(err) || allRevoked(tickets) || !time.Now().Before(until) {
			return nil, brain.NotSent // the endpoint is not at fault
		}
		return nil, brain.ConnectFailed
	}
	if ctx.Err() != nil { // cancelled or timed out just when the connection was established
		p.release(e, c)
		if allRevoked(tickets) {
			return nil, brain.NotSent
		}
		return nil, brain.ConnectFailed
	}
	// The endpoint's address may have changed meanwhile, and its old address may belong to another destination now.
	if !e.isAt(c.addr) {
		c.Close()
		return nil, brain.NotSent
	}
	return c, brain.ConnectFailed
}

// outcomeOf returns the outcome of a call that was written and whose answer could not be read.
func outcomeOf(ctx context.Context, err error) brain.Outcome {
	switch {
	case errors.Is(err, errMalformedAnswer):
		return brain.Errored
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return brain.TimedOut
	case ctx.Err() != nil:
		return brain.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded): // the connection's deadline fired slightly before that of ctx
		return brain.TimedOut
	}
	return brain.ConnectionLost
}
