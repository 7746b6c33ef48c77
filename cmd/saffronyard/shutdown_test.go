package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	st "saffronyard.example/saffronyard/internal/sendertest"
)

// client is a client's connection on which a test controls when each byte is sent.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func connect(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(st.Wait))
	return &client{t, c, bufio.NewReader(c)}
}

func submitRequest(id string, dest int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: keyed\r\nX-Tenant: acme\r\nX-Deadline-Ms: 15000\r\n"+
		"Idempotency-Key: k-%s\r\nX-Addressing: dest=%d\r\nContent-Length: 4\r\n\r\nbody", id, id, dest)
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// readStatus returns the status of the next answer, or 0 if the connection ends without an answer.
func (c *client) readStatus() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// During a shutdown a request that was half received is answered, and so is a new request on an idle connection, and accepted messages
// are in the journal. The connection of a client that stays idle is closed. A second SIGTERM and a SIGHUP meanwhile change nothing.
func TestShutdown_AnswersClients(t *testing.T) {
	silent, good := st.NewEndpoint(t, st.Unresponsive), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, good.Addr, silent.Addr)
	state := t.TempDir()
	s := start(t, p, state)
	idle, partial, crossing := connect(t, s.addr), connect(t, s.addr), connect(t, s.addr)
	for i, c := range []*client{idle, crossing} {
		c.send(submitRequest(fmt.Sprintf("before%d", i), 0))
		if got := c.readStatus(); got != http.StatusAccepted {
			t.Fatalf("before the shutdown: %d", got)
		}
		good.Next(t)
	}
	text := submitRequest("half", 1)
	partial.send(text[:len(text)-2])
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := s.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	for { // the shutdown has begun when readiness reports it
		c := connect(t, s.addr)
		c.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if c.readStatus() == http.StatusServiceUnavailable {
			break
		}
	}
	partial.send(text[len(text)-2:])
	if got := partial.readStatus(); got != http.StatusAccepted {
		t.Errorf("a request whose second half arrives during the shutdown is answered %d", got)
	}
	if c := silent.Next(t); c.ID != "half" {
		t.Errorf("the sender calls with %s", c.ID)
	}
	crossing.send(submitRequest("crossing", 1))
	if got := crossing.readStatus(); got != http.StatusAccepted {
		t.Errorf("a request on an idle connection is answered %d", got)
	}
	if got := idle.readStatus(); got != 0 {
		t.Errorf("an idle client gets status %d", got)
	}
	if err := s.Wait(); err != nil {
		t.Errorf("the process exits with %v", err)
	}
	again := st.NewEndpoint(t, st.Status(200))
	p.Change(st.Target("s-1", again.Addr, 1, "SERVING"))
	start(t, p, state)
	got := map[string]bool{}
	for range 2 {
		got[again.Next(t).ID] = true
	}
	if !got["half"] || !got["crossing"] {
		t.Errorf("the next process calls with %v", got)
	}
}

// Idle clients use all descriptors that clients may use while discovery is down. When discovery is back, the list is received, a new
// client is served, and calls connect.
func TestShutdown_IdleClientsFillDescriptors(t *testing.T) {
	const sockets = 128
	old, moved := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, old.Addr)
	p.RejectListCalls(true)
	state := t.TempDir()
	settings := st.Config(p, state)
	settings["limits"].(map[string]any)["sockets"] = sockets
	s := startWith(t, settings, state)
	if err := unix.Prlimit(s.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil); err != nil {
		t.Fatal(err)
	}
	for range 2 * sockets {
		connect(t, s.addr)
	}
	for range sockets / 2 {
		connect(t, s.addr).send("POST /api HTTP/1.1\r\nHost: x\r\n")
	}
	p.Change(st.Target("s-0", moved.Addr, 0, "SERVING"))
	p.RejectListCalls(false)
	for q := ""; !strings.HasPrefix(q, "after=2&"); q = st.Receive(t, p.Lists) {
	}
	c := connect(t, s.addr)
	c.send(submitRequest("m", 0))
	if got := c.readStatus(); got != http.StatusAccepted {
		t.Errorf("a new client is answered %d", got)
	}
	if m := moved.Next(t); m.ID != "m" || len(old.Calls) != 0 {
		t.Errorf("the endpoint got %s, the previous endpoint %d calls", m.ID, len(old.Calls))
	}
	waitFor(t, filepath.Join(state, "messages.journal"), 1, `"how":"delivered"`)
}

// A process is killed when its message limit is nearly reached, and restarted while discovery is down and clients flood it. It becomes
// ready, gives up none of the recovered messages, and attempts all of them when it has the list of endpoints.
func TestShutdown_AttemptsAllAcceptedMessages(t *testing.T) {
	const room = 100 // the message limit in the test's settings
	e := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	p.Change(st.Target("s-1", e.Addr, 1, "DRAINING"))
	state := t.TempDir()
	s := start(t, p, state)
	for n := range room * 9 / 10 { // a few more would make the sender refuse some
		st.Submit(t, s.addr, st.Submission{ID: fmt.Sprintf("m%d", n), Class: "unsafe", Destination: 1, Deadline: time.Minute})
	}
	s.Process.Kill()
	s.Wait()
	p.RejectListCalls(true)
	settings := st.Config(p, state)
	settings["settings"].(map[string]any)["limits"].(map[string]any)["mostHeld"] = room * 9 / 10 // the number of recovered messages
	s = startWith(t, settings, state)
	for range 200 {
		connect(t, s.addr).send("GET /")
	}
	moved := st.NewEndpoint(t, st.Status(200))
	p.Change(st.Target("s-2", moved.Addr, 1, "SERVING"))
	p.RejectListCalls(false)
	tried := map[string]bool{}
	for range room * 9 / 10 {
		tried[moved.Next(t).ID] = true
	}
	if len(tried) != room*9/10 || len(e.Calls) != 0 || len(p.Notices) != 0 {
		t.Errorf("%d messages are attempted, %d notices are sent", len(tried), len(p.Notices))
	}
}
