package sender

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
)

// Requests are parsed by net/http, but connections are kept here rather than by http.Server. A client of the
// protocol sends one request at a time, with a Content-Length, and a sender's few descriptors are shared
// with calls: whether something stands behind a request, how long each state of a connection may last, and
// which one goes when room is short, has to be known and decided here, and http.Server tells none of it.

const (
	maxBodyBytes         = 64 << 10
	maxHeaderBytes       = 16 << 10
	requestTimeout       = 2 * time.Second        // a request comes whole within this: the first of a connection from its begin
	lateRequestTimeout   = 100 * time.Millisecond // or within this, if it began at the very end of that
	responseWriteTimeout = time.Second            // and its answer is taken within this
	idleTimeout          = 30 * time.Second       // a connection without a request is kept so long, if there is room
	minIdleTime          = 2 * time.Second        // and so long in any case
	maxSilenceWhenFull   = 200 * time.Millisecond // when room is short, no connection may go longer without a request
	maxPartialWhenFull   = 400 * time.Millisecond // nor a request take longer: its client has given up waiting by then
	evictionInterval     = 20 * time.Millisecond  // when room is short, connections are looked at so often
	lingerTimeout        = 300 * time.Millisecond // what still comes behind an error is read so long, lest a reset overtake it
	maxLingerBytes       = 256 << 10
	readyPath            = "/-/ready"
	healthPath           = "/-/healthy"
	maxDestination       = calls.MaxDest
	maxDeadline          = 24 * time.Hour
	defaultRetryAfter    = time.Second // Retry-After where the settings tell none
)

// submission is a message that a client hands in, on its way to the loop.
type submission struct {
	record
	class, tenant int
	answer        chan response // buffered: the loop never waits for a client
}

// response is the answer to a client.
type response struct {
	status      int
	retryAfter  time.Duration // Retry-After of a refusal, 0 for the usual
	text        string
	contentType string // its Content-Type, "" for plain text
	messageID   string // of the message, where its client can't know it
}

// requestError is an error that a client is answered with.
type requestError struct {
	status int
	text   string
}

func (r *requestError) Error() string { return r.text }

func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

var errHeaderTooLarge = &requestError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the head is over %d bytes", maxHeaderBytes)}

// clientState is what a client's connection is about.
type clientState uint8

const (
	stateNew       clientState = iota // no request has come yet
	stateReading                      // one is coming
	stateAnswering                    // one has come whole and is owed its answer
	stateIdle                         // the last one is answered
)

// client is a connection from a client. state and what follows it belong to the server's lock.
type client struct {
	calls.Bounded
	r          *bufio.Reader
	acceptedAt time.Time
	state      clientState
	since      time.Time // of the state
	keptAlive  bool      // it is counted as staying
	evicting   bool      // it was asked to go
}

// server takes messages in from clients.
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
	evicted        chan struct{} // a connection was closed, or became idle

	mu        sync.Mutex
	listener  net.Listener
	draining  bool // no request is begun any more
	keptAlive int  // connections that are idle, or will be after their answer
	evicting  int  // connections that were asked to go and have not yet said yes or no
	clients   map[*client]struct{}
}

func newServer(c *Config, k clock, log *slog.Logger, submit func(context.Context, submission) bool) *server {
	s := &server{config: c, clock: k, log: log, maxClients: c.Limits.maxClients(), maxIdleClients: c.Limits.maxIdleClients(), submit: submit,
		evicted: make(chan struct{}, 1), clients: map[*client]struct{}{}}
	s.aborted, s.abort = context.WithCancel(context.Background())
	s.ingressByPath = s.ingresses()
	return s
}

// serve answers on the listener until it is closed.
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
			s.log.Warn("accept", "err", err)
			time.Sleep(evictionInterval)
			continue
		}
		c := &client{Bounded: calls.Bounded{Conn: nc, Over: errHeaderTooLarge}, acceptedAt: time.Now()}
		c.since, c.r = c.acceptedAt, bufio.NewReaderSize(c, 4096)
		c.SetReadDeadline(c.acceptedAt.Add(requestTimeout))
		if !s.admit(c) {
			nc.Close()
			return nil
		}
		go s.serveConn(c)
	}
}

// admit books a new connection once there is room; false when the service ends. Connections without a
// request make room: silent ones and half requests that hold on would keep everybody else out.
func (s *server) admit(c *client) bool {
	for {
		s.mu.Lock()
		if s.draining {
			s.mu.Unlock()
			return false
		}
		if len(s.clients) < s.maxClients {
			s.clients[c] = struct{}{}
			s.connections.Add(1)
			s.mu.Unlock()
			return true
		}
		s.evictOne()
		s.mu.Unlock()
		select {
		case <-s.evicted:
		case <-time.After(evictionInterval):
		case <-s.aborted.Done():
		}
	}
}

// evictOne asks the connection to go that has been without a request for longest: one that has not got its
// request out in a time that is plenty for an honest client, or else one that has had none for a while.
func (s *server) evictOne() bool {
	return s.evictOldest(func(c *client, age time.Duration) bool {
		return c.state == stateNew && age > maxSilenceWhenFull || c.state == stateReading && age > maxPartialWhenFull
	}) || s.evictIdle()
}

func (s *server) evictIdle() bool {
	return s.evictOldest(func(c *client, age time.Duration) bool { return c.state == stateIdle && age >= minIdleTime })
}

// evictOldest asks the oldest of some connections to go, one at a time, by ending its wait for bytes. It is not
// closed from here: its request may have been read just now, and a request that has come whole is answered.
func (s *server) evictOldest(may func(*client, time.Duration) bool) bool {
	var victim *client
	now := time.Now()
	for c := range s.clients {
		if s.evicting > 0 || !may(c, now.Sub(c.since)) || victim != nil && c.since.After(victim.since) {
			continue
		}
		if calls.Quiet(c.Conn) { // else something is here and only waits for us
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.evicting = true
	s.evicting++
	victim.SetReadDeadline(time.Unix(1, 0))
	return true
}

// setState books what a connection is about; false if it is to end.
func (s *server) setState(c *client, state clientState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == stateIdle && s.draining {
		return false
	}
	if state != stateIdle {
		s.uncount(c)
	}
	c.state, c.since = state, time.Now()
	return true
}

// uncount takes a connection out of the counts of those that stay and of those that were asked to go.
func (s *server) uncount(c *client) {
	if c.keptAlive {
		c.keptAlive = false
		s.keptAlive--
	}
	if c.evicting {
		c.evicting = false
		s.evicting--
	}
}

// keepAlive reports whether a connection may wait for a further request after its answer. Clients that ask
// once and keep their connection would soon hold all that they may: beyond a part of them, one that has been
// idle for a while goes for each that stays; if there is none, the answer says that the connection ends,
// which crosses no request.
func (s *server) keepAlive(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keptAlive >= s.maxIdleClients && !s.evictIdle() {
		return false
	}
	c.keptAlive = true
	s.keptAlive++
	return true
}

// remove closes a connection.
func (s *server) remove(c *client) {
	c.Close()
	s.mu.Lock()
	s.uncount(c)
	delete(s.clients, c)
	s.mu.Unlock()
	s.signalEvicted()
	s.connections.Done()
}

func (s *server) signalEvicted() {
	select {
	case s.evicted <- struct{}{}:
	default:
	}
}

// shutdown takes no further request and waits until those that have come are answered.
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
		c.Left = maxHeaderBytes
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
		r, hand, body, err := s.readRequest(c)
		if err != nil {
			s.reject(c, err)
			return
		}
		arrived := s.clock.now()
		s.setState(c, stateAnswering)
		var subs []submission
		if hand != nil {
			if subs, err = hand.submissions(body, arrived); err != nil {
				s.reject(c, err)
				return
			}
		}
		answer := s.answer(r, hand, subs)
		stays := !r.Close && r.ProtoAtLeast(1, 1) && !s.closing.Load() && answer.status/100 != 4 && s.keepAlive(c)
		if !writeResponse(c, answer, !stays) || !stays {
			return
		}
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		if !s.setState(c, stateIdle) {
			return
		}
		s.signalEvicted()
	}
}

// awaitRequest waits for a request's first byte.
func (s *server) awaitRequest(c *client) bool {
	_, err := c.r.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !calls.Quiet(c.Conn) {
		// It came just as the wait ended, by itself or as the connection was asked to go: it is owed an answer.
		c.SetReadDeadline(time.Now().Add(requestTimeout))
		_, err = c.r.Peek(1)
	}
	return err == nil
}

// readRequest reads one request whole, and whose it is, if it hands in something. Nothing of one that is not sound goes
// further than here; what it leaves unread is not read as a further request, as the connection ends.
func (s *server) readRequest(c *client) (*http.Request, ingressRequest, []byte, error) {
	r, err := http.ReadRequest(c.r)
	var f ingress
	most := int64(maxBodyBytes)
	if err == nil {
		if f = s.ingressByPath[r.URL.Path]; f != nil {
			most = f.maxBody()
		}
	}
	switch {
	case err != nil && c.Left <= 0: // whatever the parser makes of a line that was cut there
		return nil, nil, nil, errHeaderTooLarge
	case err != nil && errors.As(err, new(net.Error)):
		return nil, nil, nil, err
	case err != nil:
		return nil, nil, nil, badRequest("the request can't be read: %v", err)
	// net/http takes the length from the one and forgets the other: what a peer that heeds the other took
	// for the body would be read as the next request, and a message hidden there would be sent on.
	case len(r.TransferEncoding) > 0 || r.Header.Get("Transfer-Encoding") != "":
		return nil, nil, nil, badRequest("requests come with a Content-Length, not with a Transfer-Encoding")
	case !validHeaderNames(r.Header):
		return nil, nil, nil, badRequest("a header's name is not a word")
	case r.Host == "" && r.ProtoAtLeast(1, 1):
		return nil, nil, nil, badRequest("Host is missing")
	case r.ContentLength > most:
		return nil, nil, nil, &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is over %d bytes", most)}
	}
	var hand ingressRequest
	switch path := r.URL.Path; {
	case f != nil && r.Method == http.MethodPost:
		if hand, err = f.readHead(r); err != nil {
			return nil, nil, nil, err
		}
	case f != nil:
		return nil, nil, nil, &requestError{http.StatusMethodNotAllowed, "messages are handed in with POST"}
	case path != readyPath && path != healthPath:
		return nil, nil, nil, &requestError{http.StatusNotFound, "there is nothing here"}
	case r.Method != http.MethodGet:
		return nil, nil, nil, &requestError{http.StatusMethodNotAllowed, "this is asked with GET"}
	}
	if r.ContentLength > 0 && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, nil, err
		}
	}
	c.Left = int(most) + 1
	body, err := readBody(r)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("the body does not come whole: %w", err)
	}
	// A client waits for its answer before it sends more. What stands behind a body of which the length is
	// wrong is the rest of it: the message would go out cut short.
	if c.r.Buffered() > 0 || !calls.Quiet(c.Conn) && !atEOF(c) {
		return nil, nil, nil, badRequest("more comes than the Content-Length says")
	}
	return r, hand, body, nil
}

// readBody reads a body whole. What a long one takes is given to it as it comes: its length is only said.
func readBody(r *http.Request) ([]byte, error) {
	const atOnce = 4 << 10
	if r.ContentLength > atOnce {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, max(0, r.ContentLength))
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// validHeaderNames reports whether all header names are tokens. The parser lets others pass under a name of their
// own, such as "Transfer-Encoding " with a blank, which another reader may take for the header itself.
func validHeaderNames(h http.Header) bool {
	for name := range h {
		for _, c := range []byte(name) {
			if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
				return false
			}
		}
	}
	return true
}

// atEOF reports whether nothing but the end of the connection has come: a client may end its sending.
func atEOF(c *client) bool {
	_, err := c.r.Peek(1)
	return err != nil
}

// answer finds the answer to a request that has come whole.
func (s *server) answer(r *http.Request, hand ingressRequest, subs []submission) response {
	if hand == nil {
		if r.URL.Path == readyPath && (!s.ready.Load() || s.closing.Load()) {
			return response{status: http.StatusServiceUnavailable, text: "not ready"}
		}
		return response{status: http.StatusOK}
	}
	var room [1]response
	all := append(room[:0], make([]response, len(subs))...)
	handed := 0
	for ; handed < len(subs) && s.submit(s.aborted, subs[handed]); handed++ {
	}
	for i := range subs {
		all[i] = response{status: http.StatusServiceUnavailable, text: "shutting down"}
		if i >= handed {
			continue
		}
		select {
		case all[i] = <-subs[i].answer:
		case <-s.aborted.Done():
		}
	}
	return hand.response(all)
}

// reject answers a request that can't be used, as far as there is somebody to answer, and waits a little for
// what else comes: with that unread, closing would be a reset, which may overtake the answer.
func (s *server) reject(c *client, err error) {
	var r *requestError
	switch {
	case errors.As(err, &r):
	case errors.Is(err, os.ErrDeadlineExceeded):
		r = &requestError{http.StatusRequestTimeout, "the request does not come whole in time"}
	case errors.Is(err, io.ErrUnexpectedEOF):
		r = &requestError{http.StatusBadRequest, err.Error()}
	default:
		return
	}
	if !writeResponse(c, response{status: r.status, text: r.text}, true) {
		return
	}
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
}

// writeResponse sends an answer; last says that the connection ends with it.
func writeResponse(c *client, a response, last bool) bool {
	b := append(make([]byte, 0, 256), "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.status), 10)
	b = append(append(append(b, ' '), http.StatusText(a.status)...), "\r\n"...)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = time.Now().UTC().AppendFormat(append(b, "Date: "...), http.TimeFormat)
	if a.status == http.StatusServiceUnavailable {
		if a.retryAfter <= 0 {
			a.retryAfter = defaultRetryAfter
		}
		b = strconv.AppendFloat(append(b, "\r\nRetry-After: "...), a.retryAfter.Seconds(), 'f', 3, 64)
	}
	if a.messageID != "" {
		b = append(append(b, "\r\nX-Request-Id: "...), a.messageID...)
	}
	if a.text == "" {
		b = append(b, "\r\nContent-Length: 0\r\n\r\n"...)
	} else {
		kind := a.contentType
		if kind == "" {
			kind = "text/plain; charset=utf-8"
		}
		b = append(append(append(b, "\r\nContent-Type: "...), kind...), "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(a.text)+1), 10)
		b = append(append(append(b, "\r\n\r\n"...), a.text...), '\n')
	}
	c.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	_, err := c.Write(b)
	return err == nil
}

// headerName reads a header that names something: it goes into records and calls as it is.
func headerName(r *http.Request, header string) (string, error) {
	values := r.Header.Values(header)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", badRequest("%s stands there more than once", header)
	}
	if len(values[0]) > maxNameBytes {
		return "", badRequest("%s is longer than %d bytes", header, maxNameBytes)
	}
	for _, c := range []byte(values[0]) {
		if c < 0x20 || c > 0x7e {
			return "", badRequest("%s holds bytes that are not plain ASCII", header)
		}
	}
	return values[0], nil
}

// parseMessageHead reads the head of a request that hands in a message. Its Deadline is what is left of it.
func (s *server) parseMessageHead(r *http.Request) (*submission, error) {
	sub := &submission{answer: make(chan response, 1), tenant: -1}
	for header, field := range map[string]*string{"X-Request-Id": &sub.ID, "X-Class": &sub.Class,
		"X-Tenant": &sub.Tenant, "Idempotency-Key": &sub.Key} {
		v, err := headerName(r, header)
		if err != nil {
			return nil, err
		}
		*field = v
	}
	if !r.ProtoAtLeast(1, 1) {
		return nil, &requestError{http.StatusHTTPVersionNotSupported, "messages are handed in with HTTP/1.1"}
	}
	if r.Header.Get("Content-Length") == "" {
		return nil, &requestError{http.StatusLengthRequired, "Content-Length is missing"}
	}
	if sub.ID == "" {
		return nil, badRequest("X-Request-Id is missing")
	}
	if sub.class = indexOf(s.config.Classes, sub.Class, -1); sub.class < 0 {
		return nil, badRequest("X-Class %q is not among the settings", sub.Class)
	}
	if sub.tenant = indexOf(s.config.Tenants, sub.Tenant, -1); sub.tenant < 0 && len(s.config.Tenants) > 0 {
		return nil, badRequest("X-Tenant %q is not among the settings", sub.Tenant)
	}
	if s.config.Settings.Classes[sub.class].Idempotency == brain.IdempotentByKey && sub.Key == "" {
		return nil, badRequest("Idempotency-Key is missing, and class %s is keyed", sub.Class)
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return nil, badRequest("X-Deadline-Ms %q is not a sensible time", r.Header.Get("X-Deadline-Ms"))
	}
	sub.Deadline = time.Duration(ms) * time.Millisecond
	if s.config.Settings.Classes[sub.class].Ordered {
		// Without a key a message of such a class goes as it comes.
		if sub.OrderKey, err = headerName(r, "X-Order-Key"); err != nil {
			return nil, err
		}
	}
	sub.Dest, err = parseDestination(r.Header.Get("X-Addressing"))
	return sub, err
}

// parseDestination reads dest from X-Addressing.
func parseDestination(text string) (uint32, error) {
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ';' || r == ' ' }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.ParseUint(v, 10, 32)
			if err != nil || n > maxDestination {
				return 0, badRequest("X-Addressing: dest %q is not a destination's number", v)
			}
			return uint32(n), nil
		}
	}
	return 0, badRequest("X-Addressing names no dest")
}
