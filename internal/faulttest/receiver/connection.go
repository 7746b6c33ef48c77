package receiver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/fault"
)

// conn is a connection from a sender.
type conn struct {
	*net.TCPConn
	r         *bufio.Reader
	e         *Endpoint
	overLimit bool
	lastEnd   time.Duration // when its last answer was written; 0 before the first
}

func (c *conn) reset() {
	c.SetLinger(0)
	c.Close()
}

func (c *conn) serve() {
	e, s := c.e, c.e.s
	defer func() {
		s.mu.Lock()
		delete(e.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	for {
		// Wait for the first byte of a request or the end of the connection, as request does while it serves a call.
		begun := make(chan error, 1)
		go func() {
			_, err := c.r.Peek(1)
			begun <- err
		}()
		c.SetReadDeadline(time.Now().Add(s.spec.IdleClose))
		if err := <-begun; err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && s.unresponsive() {
				continue // an unreachable machine closes no connection
			}
			return
		}
		for again := true; again; {
			var ok bool
			if again, ok = c.request(); !ok {
				return
			}
		}
	}
}

// request serves the request whose first byte has arrived. another reports that the next request has begun.
func (c *conn) request() (another, ok bool) {
	s := c.e.s
	first := s.log.Now()
	if c.closesNow(first) {
		c.reset()
		return false, false
	}
	in, ok := c.read(first)
	if !ok {
		return false, false
	}
	waiting, ok := c.arrive(in)
	if !ok {
		return false, false
	}
	c.SetReadDeadline(time.Time{})
	next := make(chan error, 1)
	go func() {
		_, err := c.r.Peek(1)
		next <- err
	}()
	outcome, pipelined, ok, nextErr := c.await(waiting, next)
	if !ok {
		s.logDone(waiting.done, func(d *eventlog.Event) { d.Detail = eventlog.DetailClosedBySender })
		return false, false
	}
	if outcome.Dropped {
		s.logDone(waiting.done, func(d *eventlog.Event) { d.Detail = eventlog.DetailReset })
		c.reset()
		return false, false
	}
	keep := c.answer(waiting.done, outcome)
	c.lastEnd = s.log.Now()
	c.SetReadDeadline(time.Now().Add(s.spec.IdleClose))
	if !keep {
		return false, false
	}
	if !pipelined {
		nextErr = <-next
	}
	for errors.Is(nextErr, os.ErrDeadlineExceeded) && s.unresponsive() {
		c.SetReadDeadline(time.Now().Add(s.spec.IdleClose))
		_, nextErr = c.r.Peek(1)
	}
	return nextErr == nil, nextErr == nil
}

// minIdleTime is how long a connection must have been idle for the fault close_idle to close it.
const minIdleTime = 30 * time.Millisecond

// closesNow draws whether the fault close_idle closes an idle connection as a request begins on it.
func (c *conn) closesNow(first time.Duration) bool {
	s := c.e.s
	s.mu.Lock()
	defer s.mu.Unlock()
	condition := s.model.Condition()
	return c.lastEnd > 0 && first-c.lastEnd > minIdleTime && s.rng.Float64() < condition.Closes &&
		!condition.Unreachable && !condition.Shut && !condition.Hung
}

// incoming holds the messages of a request that was read.
type incoming struct {
	first   time.Duration // when the request's first byte arrived
	ids     []string
	senders []string // the sender of each message
	within  bool     // each message is within its allowed attempts
}

// read reads a request. If it is not a call with messages that were handed in, read answers 400 and ok is false.
func (c *conn) read(first time.Duration) (in incoming, ok bool) {
	s := c.e.s
	c.SetReadDeadline(time.Now().Add(readTimeout))
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return in, false
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil {
		return in, false
	}
	ids, err := s.spec.Format.Read(req.Header, body)
	why := ""
	if err != nil {
		ids, why = []string{req.Header.Get("X-Request-Id")}, err.Error()
	}
	in = incoming{first: first, ids: ids, senders: make([]string, len(ids)), within: true}
	known := true
	for i, id := range ids {
		within, called := false, false
		in.senders[i], within, called = s.registry.Called(id, s.dest)
		in.within, known = in.within && within, known && called
	}
	if !known || why != "" || req.Method != http.MethodPost || req.URL.Path != "/hook" {
		s.log.Add(eventlog.Event{Kind: eventlog.Call, Dest: s.dest, Endpoint: c.e.ID, ID: ids[0], First: first.Microseconds(), Detail: "unknown", State: why})
		io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return in, false
	}
	return in, true
}

// arrived is a call that waits for its outcome. done holds the events that log the end of the call, one for each message.
type arrived struct {
	call   *call
	number int64
	done   []eventlog.Event
}

// arrive logs the messages of a call and passes the call to the model; ok is false if the endpoint was removed.
func (c *conn) arrive(in incoming) (waiting arrived, ok bool) {
	e, s := c.e, c.e.s
	count := int64(len(in.ids))
	waiting = arrived{call: &call{conn: c, end: make(chan Outcome, 1)}, number: s.numbers.Add(count) - count + 1, done: make([]eventlog.Event, count)}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.log.Now()
	for i, id := range in.ids { // all messages of a call share its outcome
		at := eventlog.Event{Kind: eventlog.Call, Dest: s.dest, Endpoint: e.ID, Sender: in.senders[i], ID: id, Call: waiting.number + int64(i), First: in.first.Microseconds()}
		waiting.done[i] = eventlog.Event{Kind: eventlog.Done, Call: at.Call, ID: id, Dest: s.dest}
		if i > 0 {
			at.With = waiting.number
		}
		s.log.At(now, at)
	}
	if s.closed || e.removed {
		return waiting, false
	}
	s.waiting[waiting.number] = waiting.call
	switch {
	case !in.within:
		s.deliver([]Outcome{{Call: waiting.number, Status: http.StatusGatewayTimeout}})
	case c.overLimit:
		s.deliver([]Outcome{{Call: waiting.number, Status: http.StatusServiceUnavailable}})
	default:
		out, change := s.model.Arrive(now, e.number, waiting.number)
		s.logChange(now, change)
		s.deliver(out)
		if change != (Change{}) {
			s.apply(change)
		}
		s.rearm()
	}
	return waiting, true
}

// await waits for a call's outcome. pipelined reports that another request began meanwhile; ok is false if the sender has closed the
// connection instead. The model may still run the call then.
func (c *conn) await(waiting arrived, next <-chan error) (outcome Outcome, pipelined, ok bool, nextErr error) {
	s := c.e.s
	select {
	case outcome = <-waiting.call.end:
		return outcome, false, true, nil
	case nextErr = <-next:
		if nextErr != nil {
			s.mu.Lock()
			delete(s.waiting, waiting.number)
			s.mu.Unlock()
			return outcome, false, false, nextErr
		}
		return <-waiting.call.end, true, true, nil
	}
}

var reasons = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}

// answer writes the answer for an outcome and reports whether the connection stays in use.
func (c *conn) answer(done []eventlog.Event, o Outcome) bool {
	s := c.e.s
	wait := int64((o.Wait + time.Millisecond - 1) / time.Millisecond)
	if o.Status == 200 && o.Exit == fault.Broken {
		s.logDone(done, func(d *eventlog.Event) { d.Detail = eventlog.DetailReset })
		c.reset()
		return false
	}
	if o.Status == 200 && o.Exit == fault.Corrupt {
		return c.writeCorrupt(done)
	}
	status := s.status(o.Status)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", status, reasons[status])
	if status == 204 { // a 204 has no body and must not have a Content-Length (RFC 9110, section 8.6)
		head = "HTTP/1.1 204 No Content\r\n"
	}
	switch {
	case o.Wait > 0 && s.spec.Format != encoding.Plain && s.spec.Format != "": // web hooks use Retry-After
		head += "Retry-After: " + strconv.FormatFloat(float64(wait)/1000, 'f', 3, 64) + "\r\n"
	case o.Wait > 0:
		head += "X-RateLimit-Wait-Ms: " + strconv.FormatInt(wait, 10) + "\r\n"
	}
	s.mu.Lock()
	if left, limit, ok := s.model.Report(s.log.Now()); ok {
		head += fmt.Sprintf("X-Load: x0=%.3f,x1=%.2f\r\n", left, limit)
	}
	s.mu.Unlock()
	if c.overLimit {
		head += "Connection: close\r\n"
	}
	s.logDone(done, func(d *eventlog.Event) { d.Status, d.WaitMS = o.Status, wait })
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return false
	}
	if o.Status == 200 {
		s.recordDelivered(done)
	}
	return !c.overLimit
}

// writeCorrupt writes an answer that can't be read. The call has run; the connection stays open but serves no further requests.
func (c *conn) writeCorrupt(done []eventlog.Event) bool {
	s := c.e.s
	s.mu.Lock()
	which := s.rng.IntN(4)
	s.mu.Unlock()
	text, status := "", 0
	switch which {
	case 0:
		text = "\x00\x17}{noise\xff\xfe\x01 of no meaning\r\n\r\n"
	case 1: // an incomplete header, then nothing
		text = "HTTP/1.1 503 Service Unavailable\r\nContent-Len"
	case 2: // a valid header for a body that is far too long
		status = 200
		text = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
	case 3:
		text = "HTTP/1.1 two hundred\r\nContent-Length: minus one\r\n\r\n"
	}
	s.logDone(done, func(d *eventlog.Event) { d.Detail, d.Status = eventlog.DetailCorrupt, status })
	_, err := io.WriteString(c, text)
	if status == 200 {
		s.recordDelivered(done)
	}
	c.SetWriteDeadline(time.Now().Add(time.Second))
	for sent, block := 0, make([]byte, 4096); which == 2 && err == nil && sent < maxCorruptAnswer; sent += len(block) {
		_, err = c.Write(block)
	}
	c.SetReadDeadline(time.Now().Add(s.spec.IdleClose))
	io.Copy(io.Discard, c.TCPConn)
	return false
}
