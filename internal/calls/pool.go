package calls

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/cloudevents"
)

// Calls are written and read here on connections of our own rather than through http.Transport: whether a
// call may have run hangs on whether its last byte was written, which the Transport cannot tell for sure,
// and it repeats a request by itself when a reused connection breaks. Here one call is one write.

// Endpoint is a line of the list and the connections to it.
type Endpoint struct {
	Number     brain.EndpointID
	ID         string
	Zone       int
	Entry      brain.Endpoint // as the Brain was last told
	lastListed uint64         // the last list that named it

	listedServing bool           // as the list says, whatever the fleet's policy makes of it
	kind          string         // likewise
	format        *requestFormat // of calls there; written by the loop, under mu, and read by it without
	retired       bool           // it wants no more, until the list says that it is not serving
	validating    chan struct{}  // room for the one that asks whether calls are wanted

	mu            sync.Mutex
	addr          string
	idle          []*conn // the one used last at the end
	validatedAddr string  // the address that wants calls, as far as that was asked
	allowedRate   float64 // calls a second that it allows; 0: not told
}

type conn struct {
	LimitedConn
	r         *bufio.Reader
	addr      string
	idleSince time.Time // it has been idle; zero: it has carried no call yet
}

// Pool opens, keeps and closes connections.
type Pool struct {
	connectTimeout time.Duration
	idleTimeout    time.Duration // how long an idle one is kept
	maxIdle        int64         // idle ones kept in all: the descriptors are few
	idle           atomic.Int64
	loadFields     []string
	formats        requestFormats
	Dialer         net.Dialer

	mu       sync.Mutex             // taken within an endpoint's
	withIdle map[*Endpoint]struct{} // those that may have an idle connection
}

// Config is what a pool is told.
type Config struct {
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // endpoints close an idle connection after it
	MaxIdle        int           // idle ones kept in all
	LoadFields     []string      // of load reports
	Delivery       *Delivery
}

// NewPool makes a pool without connections.
func NewPool(c Config) *Pool {
	// An endpoint closes an idle connection at Idle at the latest, and what is written to one that it has closed is a
	// reset that may have run: ours are closed a good deal before.
	return &Pool{connectTimeout: c.ConnectTimeout, idleTimeout: c.IdleTimeout * 9 / 10, maxIdle: int64(c.MaxIdle), loadFields: c.LoadFields, formats: newRequestFormats(c.Delivery),
		withIdle: map[*Endpoint]struct{}{}}
}

// Idle is how many connections are idle.
func (p *Pool) Idle() int { return int(p.idle.Load()) }

// acquire takes the idle connection used last, or opens one, which is up before a time.
func (p *Pool) acquire(ctx context.Context, e *Endpoint, until time.Time) (*conn, error) {
	e.mu.Lock()
	addr := e.addr
	for n := len(e.idle) - 1; n >= 0; n = len(e.idle) - 1 {
		c := e.idle[n]
		e.idle = e.idle[:n]
		p.idle.Add(-1)
		if c.addr == addr && time.Since(c.idleSince) < p.idleTimeout && IdleConnUsable(c.Conn) {
			e.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, min(p.connectTimeout, time.Until(until)))
	defer cancel()
	nc, err := p.Dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{LimitedConn: LimitedConn{nc, 0, errAnswerTooLong}, addr: addr}
	c.r = bufio.NewReaderSize(c, maxStatusLine)
	return c, nil
}

// isAt reports whether the endpoint is still at an address.
func (e *Endpoint) isAt(addr string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr == addr
}

// isLocalShortage reports whether a connection failed for want of something of our own machine's.
func isLocalShortage(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL},
		func(lack error) bool { return errors.Is(err, lack) })
}

// IdleConnUsable reports whether an idle connection still stands: nothing has come on it, not even its end. A call
// on one that the endpoint has closed already would count as one that may have run.
func IdleConnUsable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	stands := false
	err = raw.Control(func(fd uintptr) { // not Read: that would wait for one that is under way
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stands = err == syscall.EAGAIN
	})
	return err == nil && stands
}

func (p *Pool) release(e *Endpoint, c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.addr != e.addr || p.idle.Load() >= p.maxIdle {
		c.Close()
		return
	}
	p.idle.Add(1)
	c.idleSince = time.Now()
	if e.idle = append(e.idle, c); len(e.idle) == 1 {
		p.mu.Lock()
		p.withIdle[e] = struct{}{}
		p.mu.Unlock()
	}
}

// CloseExpired closes the connections that have been idle for as long as they are kept.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	holding := make([]*Endpoint, 0, len(p.withIdle))
	for e := range p.withIdle {
		holding = append(holding, e)
	}
	p.mu.Unlock()
	for _, e := range holding {
		p.CloseIdle(e, p.idleTimeout)
	}
}

// CloseIdle closes the idle connections to e that have been so for a time; e may be one that is gone.
func (p *Pool) CloseIdle(e *Endpoint, after time.Duration) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = slices.DeleteFunc(e.idle, func(c *conn) bool {
		old := time.Since(c.idleSince) >= after
		if old {
			p.idle.Add(-1)
			c.Close()
		}
		return old
	})
	if len(e.idle) == 0 {
		e.idle = nil
		p.mu.Lock()
		delete(p.withIdle, e)
		p.mu.Unlock()
	}
}

// appendPlatformRequest renders one call. Names hold plain ASCII only: they were read from one header line each.
func appendPlatformRequest(b []byte, m *Message, addr string, timeout time.Duration) []byte {
	b = append(append(b, "POST /hook HTTP/1.1\r\nHost: "...), addr...)
	b = append(append(b, "\r\nUser-Agent: saffronyard\r\nX-Request-Id: "...), m.ID...)
	if m.Key != "" {
		b = append(append(b, "\r\nIdempotency-Key: "...), m.Key...)
	}
	b = strconv.AppendInt(append(b, "\r\nX-Deadline-Ms: "...), max(1, timeout.Milliseconds()), 10)
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(m.Body)), 10)
	return append(append(b, "\r\n\r\n"...), m.Body...)
}

// Call makes one attempt and says how it ended. It never makes a second one: an endpoint counts each
// call whose last byte has come. ctx ends it early, its deadline being the time-out. Its messages are written only by
// their permits, which it asks for when the connection stands: that may take seconds. If none is left, or the
// connection came up too late, the call ends as NotSent and the connection is kept.
//
// In a form that takes several messages in one call, tickets are those that this one carries; end is for those whose
// permit was used.
func (p *Pool) Call(ctx context.Context, e *Endpoint, tickets []Ticket, timeout time.Duration) (end brain.AttemptResult, gone bool) {
	e.mu.Lock()
	f := e.format
	e.mu.Unlock()
	if f == nil {
		f = platformFormat
	}
	end = brain.AttemptResult{Endpoint: e.Number, Outcome: brain.ConnectFailed}
	// Nothing has been written yet: however it fails up to the last byte, the call never ran.
	until := tickets[0].Until
	for _, t := range tickets[1:] {
		if t.Until.After(until) {
			until = t.Until
		}
	}
	var c *conn
	err := p.validate(ctx, e, f, until)
	if err == nil {
		c, err = p.acquire(ctx, e, until)
	}
	if err != nil {
		if isLocalShortage(err) || allRevoked(tickets) || !time.Now().Before(until) {
			end.Outcome = brain.NotSent // for no fault of the endpoint's
		}
		return end, false
	}
	if ctx.Err() != nil { // it was called off, or its time is over, just as the connection came up
		p.release(e, c)
		if allRevoked(tickets) {
			end.Outcome = brain.NotSent
		}
		return end, false
	}
	if !e.isAt(c.addr) { // the id has come back elsewhere meanwhile, and who listens at its old address may be another destination's
		c.Close()
		end.Outcome = brain.NotSent
		return end, false
	}
	m, written := usePermits(tickets, time.Now())
	if len(m) == 0 {
		p.release(e, c)
		end.Outcome = brain.NotSent
		return end, false
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_, err = c.Write(f.appendRequest(make([]byte, 0, 512+len(m[0].Body)), m, c.addr, timeout))
	written()
	if err != nil {
		c.Close()
		return end, false
	}
	reusable, gone, err := p.readAnswer(ctx, c, f, &end)
	e.addAllowedRate(f, &end)
	if err == nil && reusable && stop() {
		p.release(e, c)
		return end, gone
	}
	c.Close()
	if err != nil {
		switch {
		case errors.Is(err, errMalformedAnswer):
			end.Outcome = brain.Errored
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			end.Outcome = brain.TimedOut
		case ctx.Err() != nil:
			end.Outcome = brain.Cancelled
		case errors.Is(err, os.ErrDeadlineExceeded): // the connection's clock was a little ahead
			end.Outcome = brain.TimedOut
		default:
			end.Outcome = brain.ConnectionLost
		}
	}
	return end, gone
}

// Message is what a call carries of a message.
type Message struct {
	ID, Key, Class, Tenant string
	Body                   []byte
	Event                  *cloudevents.Event // of one that came as an event: its attributes, its data being the body
}

// Batches is whether calls to the endpoint carry several messages, and how many and how large they are at most. It is the loop's
// to ask.
func (e *Endpoint) Batches() (events, bytes int, ok bool) {
	if e.format == nil || e.format.Form != Batched {
		return 0, 0, false
	}
	return e.format.BatchEvents, e.format.BatchBytes, true
}
