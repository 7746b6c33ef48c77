package receiver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/fault"
)

const (
	maxBody          = 256 << 10              // an event is longer in JSON than by itself
	readTimeout      = 5 * time.Second        // a request comes whole within this
	plugTime         = 100 * time.Millisecond // a connection to a full backlog has not come up within this
	maxPlugs         = 8
	backlog          = 1024
	maxCorruptAnswer = 1 << 20 // bytes of an answer that keeps coming
)

// Registry knows what was handed in.
type Registry interface {
	// Called says whose a message is and whether the call is within its attempts; ok is false for an id that
	// nobody handed in.
	Called(id string, dest int) (sender string, within, ok bool)
	// Delivered says that a message's 200 is written.
	Delivered(id string)
}

// Server is one receiver with its sockets.
type Server struct {
	dest     int
	name     string
	spec     Spec
	log      *eventlog.Log
	registry Registry
	numbers  *atomic.Int64
	host     func() string // a loopback address that nothing else listens on

	mu        sync.Mutex
	model     *Model
	rng       *rand.Rand
	timer     *time.Timer
	waiting   map[int64]*call
	endpoints []*Endpoint
	closed    bool
}

type call struct {
	conn *conn
	end  chan Outcome // room for one
}

// Endpoint is one address of a receiver.
type Endpoint struct {
	ID, Addr string
	number   int
	s        *Server

	// Under the Server's lock.
	listener *net.TCPListener
	conns    map[*conn]bool
	mode     string        // open, vanished, shut
	resume   chan struct{} // closed when a vanished endpoint takes connections again
	plugs    []net.Conn
	gone     bool
}

// NewServer starts a receiver. numbers deals out call numbers to all receivers of a day.
func NewServer(dest int, name string, spec Spec, endpoints int, seed uint64, log *eventlog.Log, book Registry, numbers *atomic.Int64, host func() string) (*Server, error) {
	s := &Server{dest: dest, name: name, spec: spec, log: log, registry: book, numbers: numbers, host: host,
		model: NewModel(spec, 0, seed), rng: rand.New(rand.NewPCG(seed, 2)), waiting: map[int64]*call{}}
	s.timer = time.AfterFunc(time.Hour, s.due)
	for range endpoints {
		if _, err := s.Add(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Add starts one more endpoint. Troubles that run strike it too.
func (s *Server) Add() (*Endpoint, error) {
	l, err := listen(s.host() + ":0")
	if err != nil {
		return nil, fmt.Errorf("receiver %s: %w", s.name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.model.AddEndpoint()
	e := &Endpoint{ID: fmt.Sprintf("%s-e%d", s.name, n), Addr: l.Addr().String(), number: n, s: s, listener: l, conns: map[*conn]bool{},
		mode: "open", resume: make(chan struct{})}
	s.endpoints = append(s.endpoints, e)
	go e.accept(l)
	s.apply(Change{})
	return e, nil
}

func listen(addr string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// Endpoints are those that were not removed.
func (s *Server) Endpoints() []*Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*Endpoint
	for _, e := range s.endpoints {
		if !e.gone {
			all = append(all, e)
		}
	}
	return all
}

// Remove ends an endpoint: its connections are closed and new ones refused.
func (s *Server) Remove(e *Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.gone {
		return
	}
	e.gone = true
	s.deliver(s.model.Remove(s.log.Now(), e.number))
	e.to("shut")
	e.reset()
}

// Begin and End let a trouble run and end.
func (s *Server) Begin(number int, t fault.Fault) {
	s.change(t.Kind.String(), "on", func(now time.Duration) ([]Outcome, Change) { return s.model.Begin(now, number, t) })
}

// End ends the trouble that began under the number.
func (s *Server) End(number int, t fault.Fault) {
	s.change(t.Kind.String(), "off", func(now time.Duration) ([]Outcome, Change) { return s.model.End(now, number) })
}

func (s *Server) change(what, state string, step func(time.Duration) ([]Outcome, Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	now := s.log.Now()
	s.log.At(now, eventlog.Event{Kind: eventlog.FaultChanged, Dest: s.dest, Detail: what, State: state})
	wasCold := s.model.back
	out, c := step(now)
	if what == fault.SlowStart.String() && s.model.back != wasCold {
		// An outage of no length: the judge counts from its end.
		s.log.At(now, eventlog.Event{Kind: eventlog.Outage, Dest: s.dest, State: "on"})
		s.log.At(now, eventlog.Event{Kind: eventlog.Outage, Dest: s.dest, State: "off", Capacity: s.spec.Capacity})
	}
	s.logChange(now, c)
	s.deliver(out)
	s.apply(c)
	s.rearm()
}

func (s *Server) logChange(now time.Duration, c Change) {
	if c.OutageBegan {
		s.log.At(now, eventlog.Event{Kind: eventlog.Outage, Dest: s.dest, State: "on"})
	}
	if c.OutageEnded {
		s.log.At(now, eventlog.Event{Kind: eventlog.Outage, Dest: s.dest, State: "off", Capacity: s.spec.Capacity})
	}
	if c.Fell {
		s.log.At(now, eventlog.Event{Kind: eventlog.Fell, Dest: s.dest})
	}
}

// apply brings the sockets in line with the troubles that run.
func (s *Server) apply(c Change) {
	cond := s.model.Condition()
	for _, e := range s.endpoints {
		if e.gone {
			continue
		}
		if c.Reset {
			e.reset()
		}
		switch {
		case cond.Unreachable:
			e.to("vanished")
		case cond.Shut:
			e.to("shut")
		default:
			e.to("open")
		}
	}
}

// due is the timer's: something has ended by now.
func (s *Server) due() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.deliver(s.model.Advance(s.log.Now()))
	s.rearm()
}

func (s *Server) rearm() {
	if at, ok := s.model.Next(); ok {
		s.timer.Reset(max(0, at-s.log.Now()))
	}
}

// deliver passes outcomes on to those who wait for them.
func (s *Server) deliver(out []Outcome) {
	for _, o := range out {
		if c := s.waiting[o.Call]; c != nil {
			delete(s.waiting, o.Call)
			c.end <- o
		}
	}
}

// Close ends the receiver.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
	for _, e := range s.endpoints {
		e.to("shut")
		e.reset()
	}
}

// to changes how the endpoint's address answers connections. The lock is held.
func (e *Endpoint) to(mode string) {
	if e.mode == mode {
		return
	}
	was := e.mode
	e.mode = mode
	if was == "vanished" {
		for _, p := range e.plugs {
			p.Close()
		}
		e.plugs = nil
		if mode == "open" && e.listener != nil {
			e.backlog(backlog)
			e.listener.SetDeadline(time.Time{})
		}
		close(e.resume)
		e.resume = make(chan struct{})
	}
	switch mode {
	case "vanished":
		if e.listener == nil { // it was shut: the address has to be there to be silent
			e.relisten()
		}
		if e.listener != nil {
			e.listener.SetDeadline(time.Unix(1, 0)) // the accepting goroutine waits for resume
			e.backlog(0)
			e.plug()
		}
	case "shut":
		if e.listener != nil {
			e.listener.Close()
			e.listener = nil
		}
	case "open":
		if e.listener == nil {
			e.relisten()
		}
	}
}

func (e *Endpoint) relisten() {
	l, err := listen(e.Addr)
	if err != nil {
		e.s.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: "receiver " + e.ID + ": " + err.Error()})
		return
	}
	e.listener = l
	go e.accept(l)
}

// backlog sets how many connections may wait to be accepted. On Linux listen may be called again for that;
// with 0 one may, and while it waits the kernel drops every further SYN.
func (e *Endpoint) backlog(n int) {
	raw, err := e.listener.SyscallConn()
	if err == nil {
		var bad error
		err = raw.Control(func(fd uintptr) { bad = syscall.Listen(int(fd), n) })
		err = errors.Join(err, bad)
	}
	if err != nil {
		e.s.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: "receiver " + e.ID + ": backlog: " + err.Error()})
	}
}

// plug fills the backlog with connections of our own, until one does not come up: no other will then. A SYN
// that is being answered meanwhile may still come up, as on a machine that goes at that moment.
func (e *Endpoint) plug() {
	addr := e.Addr
	go func() {
		for range maxPlugs {
			c, err := net.DialTimeout("tcp", addr, plugTime)
			if err != nil {
				return
			}
			e.s.mu.Lock()
			if e.mode != "vanished" {
				e.s.mu.Unlock()
				c.Close()
				return
			}
			e.plugs = append(e.plugs, c)
			e.s.mu.Unlock()
		}
		e.s.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: "receiver " + e.ID + ": connections still come up though it has vanished"})
	}()
}

// reset breaks all connections of the endpoint. The lock is held.
func (e *Endpoint) reset() {
	for c := range e.conns {
		c.reset()
	}
}

func (e *Endpoint) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			e.s.mu.Lock()
			resume, wait := e.resume, e.mode == "vanished" && e.listener == l
			e.s.mu.Unlock()
			if wait {
				<-resume
			}
			continue
		}
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				e.s.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: "receiver " + e.ID + ": accept: " + err.Error()})
			}
			return
		}
		k := &conn{TCPConn: c, r: bufio.NewReader(c), e: e}
		e.s.mu.Lock()
		if e.gone || e.s.closed || e.mode == "shut" {
			e.s.mu.Unlock()
			c.SetLinger(0)
			c.Close()
			continue
		}
		e.conns[k] = true
		k.crowded = e.s.spec.MaxConnections > 0 && len(e.conns) > e.s.spec.MaxConnections
		e.s.mu.Unlock()
		go k.serve()
	}
}

// conn is a connection from a sender.
type conn struct {
	*net.TCPConn
	r       *bufio.Reader
	e       *Endpoint
	crowded bool
	lastEnd time.Duration // of its last answer; 0 before the first
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
		// The first byte of a request, or the end of the connection; also looked for while a call is served.
		begun := make(chan error, 1)
		go func() {
			_, err := c.r.Peek(1)
			begun <- err
		}()
		c.SetReadDeadline(time.Now().Add(s.spec.IdleClose))
		if err := <-begun; err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && s.unresponsive() {
				continue // a machine that is gone closes nothing
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

func (s *Server) unresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Condition().Unreachable && !s.closed
}

// request serves the one whose first byte has come. again says that another has begun.
func (c *conn) request() (again, ok bool) {
	e, s := c.e, c.e.s
	first := s.log.Now()
	s.mu.Lock()
	cond := s.model.Condition()
	closes := c.lastEnd > 0 && first-c.lastEnd > 30*time.Millisecond && s.rng.Float64() < cond.Closes &&
		!cond.Unreachable && !cond.Shut && !cond.Hung
	s.mu.Unlock()
	if closes {
		c.reset()
		return false, false
	}
	c.SetReadDeadline(time.Now().Add(readTimeout))
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return false, false
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil {
		return false, false
	}
	ids, err := s.spec.Format.Read(req.Header, body)
	why := ""
	if err != nil {
		ids, why = []string{req.Header.Get("X-Request-Id")}, err.Error()
	}
	done := make([]eventlog.Event, len(ids))
	within, known := true, true
	senders := make([]string, len(ids))
	for i, id := range ids {
		in, ok := false, false
		senders[i], in, ok = s.registry.Called(id, s.dest)
		within, known = within && in, known && ok
	}
	if !known || why != "" || req.Method != http.MethodPost || req.URL.Path != "/hook" {
		s.log.Add(eventlog.Event{Kind: eventlog.Call, Dest: s.dest, Endpoint: e.ID, ID: ids[0], First: first.Microseconds(), Detail: "unknown", State: why})
		io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return false, false
	}
	k := &call{conn: c, end: make(chan Outcome, 1)}
	number := s.numbers.Add(int64(len(ids))) - int64(len(ids)) + 1
	s.mu.Lock()
	now := s.log.Now()
	for i, id := range ids { // one call with several messages has one fate
		at := eventlog.Event{Kind: eventlog.Call, Dest: s.dest, Endpoint: e.ID, Sender: senders[i], ID: id, Call: number + int64(i), First: first.Microseconds()}
		done[i] = eventlog.Event{Kind: eventlog.Done, Call: at.Call, ID: id, Dest: s.dest}
		if i > 0 {
			at.With = number
		}
		s.log.At(now, at)
	}
	if s.closed || e.gone {
		s.mu.Unlock()
		return false, false
	}
	s.waiting[number] = k
	switch {
	case !within:
		s.deliver([]Outcome{{Call: number, Status: 504}})
	case c.crowded:
		s.deliver([]Outcome{{Call: number, Status: 503}})
	default:
		out, change := s.model.Arrive(now, e.number, number)
		s.logChange(now, change)
		s.deliver(out)
		if change != (Change{}) {
			s.apply(change)
		}
		s.rearm()
	}
	s.mu.Unlock()

	c.SetReadDeadline(time.Time{})
	next := make(chan error, 1)
	go func() {
		_, err := c.r.Peek(1)
		next <- err
	}()
	var o Outcome
	var nextErr error
	pipelined := false
	select {
	case o = <-k.end:
	case nextErr = <-next:
		if nextErr != nil {
			// The sender has left. The call itself may run on: the model keeps it.
			s.mu.Lock()
			delete(s.waiting, number)
			s.mu.Unlock()
			s.ended(done, func(d *eventlog.Event) { d.Detail = eventlog.DetailClosedBySender })
			return false, false
		}
		pipelined = true
		o = <-k.end
	}
	if o.Dropped {
		s.ended(done, func(d *eventlog.Event) { d.Detail = eventlog.DetailReset })
		c.reset()
		return false, false
	}
	keep := c.answer(done, o)
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

var reasons = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}

// ended writes down how a call ended for each of its messages.
func (s *Server) ended(done []eventlog.Event, how func(*eventlog.Event)) {
	for i := range done {
		how(&done[i])
		s.log.Add(done[i])
	}
}

// delivered books the messages of a call of which the 200 is written.
func (s *Server) delivered(done []eventlog.Event) {
	for _, d := range done {
		s.registry.Delivered(d.ID)
	}
}

// status is the word of a receiver of a form for an outcome: web hooks have several for delivered.
func (s *Server) status(status int) int {
	switch {
	case status == 200 && s.spec.Format == encoding.Binary:
		return 202
	case status == 200 && s.spec.Format == encoding.Structured:
		return 204
	}
	return status
}

// answer writes an outcome; false if the connection ends with it.
func (c *conn) answer(done []eventlog.Event, o Outcome) bool {
	s := c.e.s
	wait := int64((o.Wait + time.Millisecond - 1) / time.Millisecond)
	if o.Status == 200 && o.Exit == fault.Broken {
		s.ended(done, func(d *eventlog.Event) { d.Detail = eventlog.DetailReset })
		c.reset()
		return false
	}
	if o.Status == 200 && o.Exit == fault.Corrupt {
		return c.spoil(done)
	}
	status := s.status(o.Status)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", status, reasons[status])
	if status == 204 { // it has no body, and says so by being one (RFC 9110, section 8.6)
		head = "HTTP/1.1 204 No Content\r\n"
	}
	switch {
	case o.Wait > 0 && s.spec.Format != encoding.Plain && s.spec.Format != "": // a web hook's word for it
		head += "Retry-After: " + strconv.FormatFloat(float64(wait)/1000, 'f', 3, 64) + "\r\n"
	case o.Wait > 0:
		head += "X-RateLimit-Wait-Ms: " + strconv.FormatInt(wait, 10) + "\r\n"
	}
	s.mu.Lock()
	if left, limit, ok := s.model.Report(s.log.Now()); ok {
		head += fmt.Sprintf("X-Load: x0=%.3f,x1=%.2f\r\n", left, limit)
	}
	s.mu.Unlock()
	if c.crowded {
		head += "Connection: close\r\n"
	}
	s.ended(done, func(d *eventlog.Event) { d.Status, d.WaitMS = o.Status, wait })
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return false
	}
	if o.Status == 200 {
		s.delivered(done)
	}
	return !c.crowded
}

// spoil writes an answer that can't be read. The call has run; the connection stays open and is of no use.
func (c *conn) spoil(done []eventlog.Event) bool {
	s := c.e.s
	s.mu.Lock()
	which := s.rng.IntN(4)
	s.mu.Unlock()
	text, status := "", 0
	switch which {
	case 0:
		text = "\x00\x17}{noise\xff\xfe\x01 of no meaning\r\n\r\n"
	case 1: // half a head, then nothing
		text = "HTTP/1.1 503 Service Unavailable\r\nContent-Len"
	case 2: // true, and far too long
		status = 200
		text = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
	case 3:
		text = "HTTP/1.1 two hundred\r\nContent-Length: minus one\r\n\r\n"
	}
	s.ended(done, func(d *eventlog.Event) { d.Detail, d.Status = eventlog.DetailCorrupt, status })
	_, err := io.WriteString(c, text)
	if status == 200 {
		s.delivered(done)
	}
	c.SetWriteDeadline(time.Now().Add(time.Second))
	for sent, block := 0, make([]byte, 4096); which == 2 && err == nil && sent < maxCorruptAnswer; sent += len(block) {
		_, err = c.Write(block)
	}
	c.SetReadDeadline(time.Now().Add(s.spec.IdleClose))
	io.Copy(io.Discard, c.TCPConn)
	return false
}
