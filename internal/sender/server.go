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
	requestTimeout                = 2 * time.Second        // a request comes whole within this: the first of a connection from its begin
	lateRequestTimeout            = 100 * time.Millisecond // or within this, if it began at the very end of that
	responseWriteTimeout          = time.Second            // and its answer is taken within this
	idleTimeout                   = 30 * time.Second       // a connection without a request is kept so long, if there is room
	minIdleTime                   = 2 * time.Second        // and so long in any case
	maxTimeWithoutRequestWhenFull = 200 * time.Millisecond // when room is short, no connection may go longer without a request
	maxPartialWhenFull            = 400 * time.Millisecond // nor a request take longer: its client has given up waiting by then
	evictionInterval              = 20 * time.Millisecond  // when room is short, connections are looked at so often
	lingerTimeout                 = 300 * time.Millisecond // what still comes behind an error is read so long, lest a reset overtake it
	maxLingerBytes                = 256 << 10
	readyPath                     = "/-/ready"
	healthPath                    = "/-/healthy"
	maxDestination                = calls.MaxDestination
	maxDeadline                   = 24 * time.Hour
	defaultRetryAfter             = time.Second // Retry-After where the settings tell none
)

// server accepts messages from clients. Requests are parsed by net/http, but connections are kept here rather than by
// http.Server: a client of the protocol sends one request at a time, with a Content-Length, and a sender's few descriptors are
// shared with calls. Whether something stands behind a request, how long each state of a connection may last, and which one
// goes when descriptors are short has to be known and decided here, and http.Server tells none of it.
//
// A goroutine serves each connection (serveConn); mu guards the fields below it and the state of each client.
type server struct {
	config         *Config
	clock          clock
	log            *slog.Logger
	maxClients     int // connections at once: the other descriptors are for calls and files
	maxIdleClients int // those of them that may wait for a further request
	submit         func(context.Context, submission) bool
	ingressByPath  map[string]ingress
	ready          atomic.Bool
	closing        atomic.Bool     // answers say that the connection ends
	aborted        context.Context // no answer is waited for any more
	abort          context.CancelFunc
	connections    sync.WaitGroup
	freed          chan struct{} // a connection was closed, or became idle

	mu        sync.Mutex
	listener  net.Listener
	draining  bool // no request is begun any more
	keptAlive int  // connections that are idle, or will be after their answer
	evicting  int  // connections that were asked to go and have not yet said yes or no
	clients   map[*client]struct{}
}

// newServer makes a server that passes what clients submit to submit, which reports whether the loop has taken it.
func newServer(c *Config, k clock, log *slog.Logger, submit func(context.Context, submission) bool) *server {
	s := &server{config: c, clock: k, log: log, maxClients: c.Limits.maxClients(), maxIdleClients: c.Limits.maxIdleClients(), submit: submit,
		freed: make(chan struct{}, 1), clients: map[*client]struct{}{}}
	s.aborted, s.abort = context.WithCancel(context.Background())
	s.ingressByPath = s.ingresses()
	return s
}

// serve accepts connections until the listener is closed. Failures to accept are logged and end nothing.
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
		default: // out of descriptors, or a client that is gone already: neither ends the service
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

// shutdown begins no further request, and returns when all that have come are answered.
func (s *server) shutdown() {
	s.mu.Lock()
	s.draining = true
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.clients {
		if c.state == stateNew || c.state == stateIdle {
			c.SetReadDeadline(time.Unix(1, 0)) // wakes it: it ends if nothing has come
		}
	}
	s.mu.Unlock()
	s.connections.Wait()
}

// close ends all connections at once.
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
		until := c.since.Add(requestTimeout)
		if first { // its time counts from the connection's begin, if it is not over with this byte
			until = c.acceptedAt.Add(requestTimeout)
			if least := c.since.Add(lateRequestTimeout); until.Before(least) {
				until = least
			}
		}
		c.SetReadDeadline(until)
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
		stays := !r.head.Close && r.head.ProtoAtLeast(1, 1) && !s.closing.Load() && answer.status/100 != 4 && s.keepAlive(c)
		if !writeResponse(c, answer, !stays) || !stays {
			return
		}
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		if !s.setState(c, stateIdle) {
			return
		}
		s.signalFreed()
	}
}

// answer is the answer to a request that has come whole: for submissions that of the loop, which it waits for until the server
// is closed.
func (s *server) answer(r *clientRequest, submissions []submission) response {
	if r.protocol == nil {
		if r.head.URL.Path == readyPath && (!s.ready.Load() || s.closing.Load()) {
			return response{status: http.StatusServiceUnavailable, text: "not ready"}
		}
		return response{status: http.StatusOK}
	}
	var room [1]response
	answers := append(room[:0], make([]response, len(submissions))...)
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
