package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"dockshift.example/dockshift/brain"
)

const (
	maxBody      = 64 << 10
	maxHeader    = 16 << 10
	readTime     = 5 * time.Second // a request that has begun comes within this
	headerTime   = 30 * time.Second
	idleTime     = 2 * time.Minute // a client that was cut off would hold its connection for good
	maxDeadline  = 24 * time.Hour
	refusedRetry = time.Second // Retry-After where the settings tell none
)

// submission is a message that a client hands in, on its way to the loop.
type submission struct {
	record
	class, tenant int
	answer        chan answerLine // buffered: the loop never waits for a client
}

// answerLine is the answer to a client.
type answerLine struct {
	status int
	retry  time.Duration // Retry-After of a refusal, 0 for the usual
	text   string
}

// server takes messages in from clients.
type server struct {
	c       *Config
	clock   clock
	submit  func(context.Context, submission) bool
	ready   atomic.Bool
	closing atomic.Bool // answers say that the connection ends
	http    *http.Server
}

func newServer(c *Config, k clock, log *slog.Logger, submit func(context.Context, submission) bool) *server {
	s := &server{c: c, clock: k, submit: submit}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api", s.take)
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready.Load() || s.closing.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /-/healthy", func(http.ResponseWriter, *http.Request) {})
	s.http = &http.Server{Handler: s.header(mux), MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	return s
}

// serve answers on the listener until it is closed. Clients hold a part of the descriptors at most; further
// ones wait to be accepted.
func (s *server) serve(l net.Listener) error {
	err := s.http.Serve(netutil.LimitListener(l, max(1, s.c.Limits.Sockets/2)))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *server) header(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// take hands one message to the loop and writes the answer. Nothing of a request that is not sound goes
// further than here.
func (s *server) take(w http.ResponseWriter, r *http.Request) {
	arrived := s.clock.now()
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTime))
	sub, status, err := s.parse(w, r, arrived)
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	// Once handed over the message may be held, so its answer is waited for even if the client goes away.
	if !s.submit(r.Context(), *sub) {
		writeAnswer(w, answerLine{http.StatusServiceUnavailable, 0, "shutting down"})
		return
	}
	writeAnswer(w, <-sub.answer)
}

func writeAnswer(w http.ResponseWriter, a answerLine) {
	if a.status == http.StatusServiceUnavailable {
		if a.retry <= 0 {
			a.retry = refusedRetry
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(a.retry.Seconds(), 'f', 3, 64))
	}
	if a.status == http.StatusAccepted {
		w.WriteHeader(a.status)
		return
	}
	http.Error(w, a.text, a.status)
}

// name reads a header that names something: it goes into records and calls as it is.
func name(r *http.Request, header string) (string, error) {
	v := r.Header.Get(header)
	if len(v) > maxName {
		return "", fmt.Errorf("%s is longer than %d bytes", header, maxName)
	}
	for _, c := range []byte(v) {
		if c < 0x20 || c > 0x7e {
			return "", fmt.Errorf("%s holds bytes that are not plain ASCII", header)
		}
	}
	return v, nil
}

func (s *server) parse(w http.ResponseWriter, r *http.Request, arrived time.Duration) (*submission, int, error) {
	bad := func(format string, args ...any) (*submission, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	sub := &submission{answer: make(chan answerLine, 1), tenant: -1}
	for header, field := range map[string]*string{"X-Request-Id": &sub.ID, "X-Class": &sub.Class,
		"X-Tenant": &sub.Tenant, "Idempotency-Key": &sub.Key} {
		v, err := name(r, header)
		if err != nil {
			return bad("%v", err)
		}
		*field = v
	}
	if sub.ID == "" {
		return bad("X-Request-Id is missing")
	}
	if sub.class = place(s.c.Classes, sub.Class, -1); sub.class < 0 {
		return bad("X-Class %q is not among the settings", sub.Class)
	}
	if sub.tenant = place(s.c.Tenants, sub.Tenant, -1); sub.tenant < 0 && len(s.c.Tenants) > 0 {
		return bad("X-Tenant %q is not among the settings", sub.Tenant)
	}
	if s.c.Settings.Classes[sub.class].Effect == brain.Keyed && sub.Key == "" {
		return bad("Idempotency-Key is missing, and class %s is keyed", sub.Class)
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return bad("X-Deadline-Ms %q is not a sensible time", r.Header.Get("X-Deadline-Ms"))
	}
	sub.Deadline = arrived + time.Duration(ms)*time.Millisecond
	if sub.Dest, err = destination(r.Header.Get("X-Addressing")); err != nil {
		return bad("%v", err)
	}
	if sub.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", maxBody)
		}
		return bad("the body does not come whole: %v", err)
	}
	return sub, 0, nil
}

// destination reads dest from X-Addressing.
func destination(text string) (uint32, error) {
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ';' || r == ' ' }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.ParseUint(v, 10, 16)
			if err != nil {
				return 0, fmt.Errorf("X-Addressing: dest %q is not a destination's number", v)
			}
			return uint32(n), nil
		}
	}
	return 0, errors.New("X-Addressing names no dest")
}
