package calls

import (
	"context"
	"errors"
	"os"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/cloudevents"
)

// Calls are written and read here on connections of our own rather than through http.Transport: whether a call may have
// run depends on whether its last byte was written, which the Transport cannot tell for sure, and it repeats a request
// by itself when a reused connection breaks. Here one call is one write.

// Message is the part of a message that a call carries.
type Message struct {
	ID, Key, Class, Tenant string
	Body                   []byte
	Event                  *cloudevents.Event // of a message that came as an event: its attributes; its data is Body
}

// Call makes one attempt and returns how it ended; gone is true if the endpoint wants no more calls. It never makes a
// second attempt: an endpoint counts each call whose last byte has come. ctx ends it early, and its deadline is the
// time-out. Messages are written only by their permits, which are used when the connection is up: that may take seconds.
// If none is left then, or the connection came up too late, the call ends as NotSent and the connection is kept.
//
// Where the format carries several messages in one call, tickets are those of this call; the result is that of the
// messages whose permit was used.
func (p *Pool) Call(ctx context.Context, e *Endpoint, tickets []Ticket, timeout time.Duration) (result brain.AttemptResult, gone bool) {
	f := e.requestFormat()
	result = brain.AttemptResult{Endpoint: e.Number}
	c, failure := p.connect(ctx, e, f, tickets)
	// Nothing is written yet: however it fails up to the last byte, the call never ran.
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

// connect returns a connection to e on which a call may be written, and the outcome if the write then fails; nil and the
// outcome of the call if there is none.
func (p *Pool) connect(ctx context.Context, e *Endpoint, f *requestFormat, tickets []Ticket) (*conn, brain.Outcome) {
	until := latestUntil(tickets)
	var c *conn
	err := p.validate(ctx, e, f, until)
	if err == nil {
		c, err = p.acquire(ctx, e, until)
	}
	if err != nil {
		if isLocalShortage(err) || allRevoked(tickets) || !time.Now().Before(until) {
			return nil, brain.NotSent // for no fault of the endpoint's
		}
		return nil, brain.ConnectFailed
	}
	if ctx.Err() != nil { // it was cancelled, or its time is over, just as the connection came up
		p.release(e, c)
		if allRevoked(tickets) {
			return nil, brain.NotSent
		}
		return nil, brain.ConnectFailed
	}
	// The endpoint may have moved meanwhile, and its old address may be that of another destination now.
	if !e.isAt(c.addr) {
		c.Close()
		return nil, brain.NotSent
	}
	return c, brain.ConnectFailed
}

// outcomeOf is the outcome of a call that was written and whose answer could not be read.
func outcomeOf(ctx context.Context, err error) brain.Outcome {
	switch {
	case errors.Is(err, errMalformedAnswer):
		return brain.Errored
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return brain.TimedOut
	case ctx.Err() != nil:
		return brain.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded): // the clock of the connection was a little ahead
		return brain.TimedOut
	}
	return brain.ConnectionLost
}
