package sender

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/internal/calls"
)

const (
	maxBodyBytes                  = 64 << 10
	maxHeaderBytes                = 16 << 10
	requestTimeout                = 2 * time.Second        // for receiving a complete request; for the first of a connection it starts at accept
	lateRequestTimeout            = 100 * time.Millisecond // minimum for a first request that begins at the end of requestTimeout
	responseWriteTimeout          = time.Second            // for the client to read the response
	idleTimeout                   = 30 * time.Second       // how long an idle connection is kept, if there is room
	minIdleTime                   = 2 * time.Second        // how long an idle connection is kept in any case
	maxTimeWithoutRequestWhenFull = 200 * time.Millisecond // when connections are short: limit for a new one without a request
	maxPartialWhenFull            = 400 * time.Millisecond // when connections are short: limit for receiving a request; its client has given up waiting by then
	evictionInterval              = 20 * time.Millisecond  // when connections are short: time between attempts to evict one
	lingerTimeout                 = 300 * time.Millisecond // how long input is still read after an error response, so that no reset overtakes the response
	maxLingerBytes                = 256 << 10
	readyPath                     = "/-/ready"
	healthPath                    = "/-/healthy"
	maxDestination                = calls.MaxDestination
	maxDeadline                   = 24 * time.Hour
	defaultRetryAfter             = time.Second // Retry-After where the settings have none
)

// server accepts messages from clients. Requests are parsed by net/http, but connections are managed here rather than by
// http.Server: a client of the protocol sends one request at a time, with a Content-Length, and a sender's few descriptors are
// shared with calls. The server has to detect input behind a request, limit the time in each state of a connection, and choose the
// connection to close when descriptors are short; http.Server supports none of that.
//
// A goroutine serves each connection (serveConn); mu guards the fields below it and the state of each client.
type server struct {
	config         *Config
	clock          clock
	log            *slog.Logger
	maxClients     int // connections at once: the other descriptors are for calls and files
	maxIdleClients int // how many of them may wait for a further request
	submit         func(context.Context, submission) bool
	ingressByPath  map[string]ingress
	ready          atomic.Bool
	closing        atomic.Bool     // responses announce that the connection closes
	aborted        context.Context // done once the server is closed: no request waits for the loop any more
	abort          context.CancelFunc
	connections    sync.WaitGroup
	freed          chan struct{} // signals that a connection was closed or became idle

	mu        sync.Mutex
	listener  net.Listener
	draining  bool // no further request is read
	keptAlive int  // connections that are idle, or will be after their response
	evicting  int  // connections that are being evicted: they have neither closed nor read a request yet
	clients   map[*client]struct{}
}

// newServer returns a server that passes the submissions of clients to submit, which reports whether they were queued for the loop.
func newServer(c *Config, k clock, log *slog.Logger, submit func(context.Context, submission) bool) *server {
	s := &server{config: c, clock: k, log: log, maxClients: c.Limits.maxClients(), maxIdleClients: c.Limits.maxIdleClients(), submit: submit,
		freed: make(chan struct{}, 1), clients: map[*client]struct{}{}}
	s.aborted, s.abort = context.WithCancel(context.Background())
	s.ingressByPath = s.ingresses()
	return s
}

// serve accepts connections until the listener is closed. Failures to accept are logged and do not end it.
func (s *server) serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.draining {
		l.Close()
	}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors, or the client has disconnected already: neither is fatal
			s.log.Warn("accepting a connection failed", "err", err)
			time.Sleep(evictionInterval)
			continue
		}
		c := &client{LimitedConn: calls.LimitedConn{Conn: nc, ErrExceeded: errHeaderTooLarge}, acceptedAt: time.Now()}
		c.since, c.r = c.acceptedAt, bufio.NewReaderSize(c, 4096)
		c.SetReadDeadline(c.acceptedAt.Add(requestTimeout))
		if !s.admit(c) {
			nc.Close()
			return nil
		}
		go s.serveConn(c)
	}
}

// shutdown lets no further request begin, and returns when all that have been received are answered.
func (s *server) shutdown() {
	s.mu.Lock()
	s.draining = true
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.clients {
		if c.state == stateNew || c.state == stateIdle {
			c.SetReadDeadline(time.Unix(1, 0)) // interrupts its read: the connection ends if nothing has been received
		}
	}
	s.mu.Unlock()
	s.connections.Wait()
}

// close closes the listener and all connections at once.
func (s *server) close() {
	s.abort()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.clients {
		c.Close()
	}
}

// serveConn serves one connection, a request at a time.
func (s *server) serveConn(c *client) {
	defer s.remove(c)
	for first := true; ; first = false {
		c.Remaining = maxHeaderBytes
		if !s.awaitRequest(c) || !s.setState(c, stateReading) {
			return
		}
		deadline := c.since.Add(requestTimeout)
		if first { // the time limit starts at accept, but leaves at least lateRequestTimeout from now
			deadline = c.acceptedAt.Add(requestTimeout)
			if earliest := c.since.Add(lateRequestTimeout); deadline.Before(earliest) {
				deadline = earliest
			}
		}
		c.SetReadDeadline(deadline)
		r, err := s.readRequest(c)
		if err != nil {
			s.reject(c, err)
			return
		}
		arrived := s.clock.now()
		s.setState(c, stateAnswering)
		var submissions []submission
		if r.protocol != nil {
			if submissions, err = r.protocol.submissions(r.body, arrived); err != nil {
				s.reject(c, err)
				return
			}
		}
		answer := s.answer(r, submissions)
		keepOpen := !r.head.Close && r.head.ProtoAtLeast(1, 1) && !s.closing.Load() && answer.status/100 != 4 && s.keepAlive(c)
		if !writeResponse(c, answer, !keepOpen) || !keepOpen {
			return
		}
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		if !s.setState(c, stateIdle) {
			return
		}
		s.signalFreed()
	}
}

// answer returns the response to a complete request. For submissions it is the loop's response, which is waited for until the
// server is closed.
func (s *server) answer(r *clientRequest, submissions []submission) response {
	if r.protocol == nil {
		if r.head.URL.Path == readyPath && (!s.ready.Load() || s.closing.Load()) {
			return response{status: http.StatusServiceUnavailable, text: "not ready"}
		}
		return response{status: http.StatusOK}
	}
	var buf [1]response
	answers := append(buf[:0], make([]response, len(submissions))...)
	submitted := 0
	for ; submitted < len(submissions) && s.submit(s.aborted, submissions[submitted]); submitted++ {
	}
	for i := range submissions {
		answers[i] = response{status: http.StatusServiceUnavailable, text: "shutting down"}
		if i >= submitted {
			continue
		}
		select {
		case answers[i] = <-submissions[i].answer:
		case <-s.aborted.Done():
		}
	}
	return r.protocol.response(answers)
}
