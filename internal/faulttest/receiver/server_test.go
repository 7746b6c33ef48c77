package receiver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/fault"
)

const (
	timeout      = 20 * time.Second       // for events that should happen
	noDataWindow = 250 * time.Millisecond // no data may arrive within this where none should
)

// registry accepts every id that begins with m; calls of ids that begin with m-over exceed their attempts.
type registry struct {
	mu        sync.Mutex
	delivered map[string]int
}

func (b *registry) Called(id string, _ int) (string, bool, bool) {
	return "n0", !strings.HasPrefix(id, "m-over"), strings.HasPrefix(id, "m")
}

func (b *registry) Delivered(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delivered[id]++
}

var hosts atomic.Uint32

func start(t *testing.T, edit func(*Spec)) (*Server, *Endpoint, *eventlog.Log, *registry) {
	t.Helper()
	spec := plain()
	spec.Service = time.Millisecond
	spec.IdleClose = timeout
	if edit != nil {
		edit(&spec)
	}
	log := eventlog.New(nil, nil)
	log.Restart()
	b := &registry{delivered: map[string]int{}}
	block := uint32(os.Getpid()) % 200
	s, err := NewServer(Config{Name: "r0", Spec: spec, Endpoints: 1, Seed: 1, Log: log, Registry: b, CallNumbers: &atomic.Int64{}, Host: func() string {
		n := hosts.Add(1)
		return fmt.Sprintf("127.3.%d.%d", (block+n/250)%250, 1+n%250)
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		for _, e := range log.Events() {
			if e.Kind == eventlog.KitFailure {
				t.Error(e.Detail)
			}
		}
	})
	return s, s.Endpoints()[0], log, b
}

type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, e *Endpoint) *client {
	t.Helper()
	c, err := net.DialTimeout("tcp", e.Addr, timeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(timeout))
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(t *testing.T, id string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "POST /hook HTTP/1.1\r\nHost: r\r\nX-Request-Id: %s\r\nContent-Length: 5\r\n\r\nhello", id); err != nil {
		t.Fatal(err)
	}
}

// answer returns the next answer's status and wait, or how the connection ended.
func (c *client) answer() string {
	resp, err := http.ReadResponse(c.r, nil)
	switch {
	case err == nil:
		io.Copy(io.Discard, resp.Body)
		return fmt.Sprint(resp.StatusCode, resp.Header.Get("X-RateLimit-Wait-Ms"))
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "closed"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "no answer"
	}
	return err.Error()
}

func (c *client) expect(t *testing.T, want string) {
	t.Helper()
	if want == "no answer" {
		c.SetReadDeadline(time.Now().Add(noDataWindow))
		defer c.SetReadDeadline(time.Now().Add(timeout))
	}
	if got := c.answer(); got != want {
		t.Fatalf("%s, want %s", got, want)
	}
}

// logged waits until the log has an event for which fits returns true.
func logged(t *testing.T, log *eventlog.Log, fits func(eventlog.Event) bool) eventlog.Event {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, e := range log.Events() {
			if fits(e) {
				return e
			}
		}
	}
	t.Fatal("no matching event in the log")
	panic("unreachable")
}

func TestServes(t *testing.T) {
	t.Parallel()
	_, e, log, b := start(t, nil)
	c := dial(t, e)
	for _, id := range []string{"m1", "m2"} {
		c.send(t, id)
		c.expect(t, "200")
	}
	c.send(t, "m-over")
	c.expect(t, "504")
	logged(t, log, func(ev eventlog.Event) bool { return ev.Kind == eventlog.Done && ev.ID == "m2" && ev.Status == 200 })
	call := logged(t, log, func(ev eventlog.Event) bool { return ev.Kind == eventlog.Call && ev.ID == "m2" })
	if call.Sender != "n0" || call.Endpoint != e.ID || call.First > call.T {
		t.Errorf("%+v", call)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.delivered["m1"] != 1 || b.delivered["m2"] != 1 || len(b.delivered) != 2 {
		t.Errorf("%v", b.delivered)
	}
}

func TestServer_RejectsUnknownMessage(t *testing.T) {
	t.Parallel()
	_, e, log, _ := start(t, nil)
	c := dial(t, e)
	c.send(t, "other")
	c.expect(t, "400")
	logged(t, log, func(ev eventlog.Event) bool { return ev.Detail == "unknown" })
}

func TestServer_AnswersUnderFaults(t *testing.T) {
	t.Parallel()
	for kind, want := range map[fault.Kind]string{fault.Refuse: "503", fault.Fail: "500", fault.Wait: "429100", fault.Reset: "reset",
		fault.Hang: "no answer", fault.Slow: "200"} {
		s, e, _, _ := start(t, nil)
		c := dial(t, e)
		c.send(t, "m0")
		c.expect(t, "200")
		s.Begin(1, sample(kind))
		c.send(t, "m1")
		c.expect(t, want)
		if want == "no answer" {
			s.End(1, sample(kind)) // the call is served after the hang
			c.expect(t, "200")
		}
	}
}

// While a machine is unreachable, an open connection gets no answer and no new connection is established. When it returns, old
// connections are reset, with or without a pending request, and new ones are accepted.
func TestVanish(t *testing.T) {
	t.Parallel()
	s, e, log, _ := start(t, nil)
	open := dial(t, e)
	open.send(t, "m0")
	open.expect(t, "200")
	idle := dial(t, e)
	idle.send(t, "m1")
	idle.expect(t, "200")
	s.Begin(1, sample(fault.Vanish))
	open.send(t, "m2")
	open.expect(t, "no answer")
	// The backlog is full once a connection of this test times out.
	waitFor(t, func() bool {
		c, err := net.DialTimeout("tcp", e.Addr, backlogDialTimeout)
		if err == nil {
			c.Close()
		}
		return timedOut(err)
	})
	for range 3 {
		if c, err := net.DialTimeout("tcp", e.Addr, noDataWindow); err == nil {
			c.Close()
			t.Fatal("a connection was established")
		}
	}
	s.End(1, sample(fault.Vanish))
	open.expect(t, "reset")
	idle.expect(t, "reset")
	c := dial(t, e)
	c.send(t, "m3")
	c.expect(t, "200")
	done := logged(t, log, func(ev eventlog.Event) bool { return ev.Kind == eventlog.Done && ev.ID == "m2" })
	if done.Detail != eventlog.DetailReset {
		t.Errorf("%+v", done)
	}
}

// timedOut reports whether a connection attempt timed out. Package net returns one of two errors: the attempt ends by the context's
// deadline or by the socket's, and only the latter is os.ErrDeadlineExceeded.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !ok(); {
		if time.Now().After(end) {
			t.Fatal("the condition was not met in time")
		}
	}
}

func refused(t *testing.T, e *Endpoint) {
	t.Helper()
	if c, err := net.DialTimeout("tcp", e.Addr, timeout); !errors.Is(err, syscall.ECONNREFUSED) {
		if err == nil {
			c.Close()
		}
		t.Errorf("a connection to a shut endpoint: %v", err)
	}
}

func TestShut(t *testing.T) {
	t.Parallel()
	s, e, _, _ := start(t, func(sp *Spec) { sp.Service = timeout })
	c := dial(t, e)
	c.send(t, "m0")
	logged(t, s.log, func(ev eventlog.Event) bool { return ev.Kind == eventlog.Call })
	s.Begin(1, sample(fault.Shut))
	c.expect(t, "reset")
	refused(t, e)
	s.End(1, sample(fault.Shut))
	dial(t, e)
}

// If a shut outlasts a vanish, connections are refused from the machine's return on. A machine that vanishes while it is shut no
// longer refuses connections.
func TestVanishAndShut(t *testing.T) {
	t.Parallel()
	s, e, _, _ := start(t, nil)
	s.Begin(1, sample(fault.Shut))
	refused(t, e)
	s.Begin(2, sample(fault.Vanish))
	waitFor(t, func() bool {
		c, err := net.DialTimeout("tcp", e.Addr, backlogDialTimeout)
		if err == nil {
			c.Close()
		}
		return timedOut(err)
	})
	s.End(2, sample(fault.Vanish))
	refused(t, e)
	s.End(1, sample(fault.Shut))
	c := dial(t, e)
	c.send(t, "m1")
	c.expect(t, "200")
}

// Active faults also apply to an endpoint that is added during an outage.
func TestServer_NewEndpointDuringFault(t *testing.T) {
	t.Parallel()
	s, _, _, _ := start(t, nil)
	s.Begin(1, sample(fault.Shut))
	e, err := s.Add()
	if err != nil {
		t.Fatal(err)
	}
	refused(t, e)
	s.End(1, sample(fault.Shut))
	c := dial(t, e)
	c.send(t, "m1")
	c.expect(t, "200")
	s.Remove(e)
	c.expect(t, "reset")
	refused(t, e)
}

// The fault closes an idle connection just as a request begins on it; a new connection is served.
func TestCloseIdle(t *testing.T) {
	t.Parallel()
	s, e, log, _ := start(t, nil)
	c := dial(t, e)
	c.send(t, "m0")
	c.expect(t, "200")
	s.Begin(1, sample(fault.CloseIdle))
	waitFor(t, func() bool { return log.Now() > 100*time.Millisecond })
	time.Sleep(50 * time.Millisecond) // the connection must be idle for longer than minIdleTime
	c.send(t, "m1")
	c.expect(t, "reset")
	c = dial(t, e)
	c.send(t, "m2")
	c.expect(t, "200")
	for _, ev := range log.Events() {
		if ev.ID == "m1" {
			t.Errorf("the request was not read, but is in the log: %+v", ev)
		}
	}
}

func TestIdleClose(t *testing.T) {
	t.Parallel()
	_, e, _, _ := start(t, func(s *Spec) { s.IdleClose = 30 * time.Millisecond })
	c := dial(t, e)
	c.send(t, "m0")
	c.expect(t, "200")
	c.expect(t, "closed")
}

// Corrupt answers of each kind are sent, and the connection stays open after them.
func TestSpoil(t *testing.T) {
	t.Parallel()
	s, e, log, b := start(t, nil)
	s.Begin(1, sample(fault.Spoil))
	heads := map[string]bool{}
	for i := range 40 {
		c := dial(t, e)
		c.send(t, fmt.Sprintf("m%d", i))
		buf := make([]byte, 12)
		if _, err := io.ReadFull(c.r, buf); err != nil {
			t.Fatal(err)
		}
		heads[string(buf)] = true
		c.Close()
	}
	if len(heads) != 4 {
		t.Errorf("kinds of corrupt answers: %v", heads)
	}
	true200 := 0
	for _, ev := range log.Events() {
		if ev.Kind == eventlog.Done && ev.Detail == eventlog.DetailCorrupt && ev.Status == 200 {
			true200++
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if true200 == 0 || true200 != len(b.delivered) {
		t.Errorf("%d corrupt answers with a valid status line 200, %d messages delivered", true200, len(b.delivered))
	}
}

// Above its connection limit an endpoint refuses calls and closes the connection.
func TestConnectionCap(t *testing.T) {
	t.Parallel()
	_, e, _, _ := start(t, func(s *Spec) { s.MaxConnections = 2 })
	var kept []*client
	for i := range 2 {
		c := dial(t, e)
		c.send(t, fmt.Sprintf("m%d", i))
		c.expect(t, "200")
		kept = append(kept, c)
	}
	c := dial(t, e)
	c.send(t, "m2")
	c.expect(t, "503")
	c.expect(t, "closed")
	kept[0].Close()
	waitFor(t, func() bool {
		c := dial(t, e)
		defer c.Close()
		c.send(t, "m3")
		return c.answer() == "200"
	})
}

// A sender that closes its connection is logged; its call keeps running and keeps its slot.
func TestServer_SenderDisconnects(t *testing.T) {
	t.Parallel()
	_, e, log, b := start(t, func(s *Spec) { s.Service = 100 * time.Millisecond })
	c := dial(t, e)
	c.send(t, "m0")
	logged(t, log, func(ev eventlog.Event) bool { return ev.Kind == eventlog.Call })
	c.Close()
	done := logged(t, log, func(ev eventlog.Event) bool { return ev.Kind == eventlog.Done })
	if done.Detail != eventlog.DetailClosedBySender || done.Status != 0 {
		t.Errorf("%+v", done)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.delivered) != 0 {
		t.Error("a message counts as delivered although no answer was sent")
	}
}

// Malformed requests end their own connection and nothing else.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	_, e, _, _ := start(t, nil)
	for _, text := range []string{"noise\r\n\r\n", "POST /hook HTTP/1.1\r\nContent-Length: -3\r\n\r\n", "\r\n\r\n\r\n"} {
		c := dial(t, e)
		io.WriteString(c, text)
		if got := c.answer(); got != "closed" && got != "reset" && got != "400" {
			t.Errorf("%q: %s", text, got)
		}
	}
	c := dial(t, e)
	c.send(t, "m0")
	c.expect(t, "200")
}
