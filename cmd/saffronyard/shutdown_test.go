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

// client is a client's connection of which a test says which bytes go when.
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

func handIn(id string, dest int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: keyed\r\nX-Tenant: acme\r\nX-Deadline-Ms: 15000\r\n"+
		"Idempotency-Key: k-%s\r\nX-Addressing: dest=%d\r\nContent-Length: 4\r\n\r\nbody", id, id, dest)
}

func (c *client) say(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// hears gives the status of the next answer, 0 if the connection ends without one.
func (c *client) hears() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// What is owed to clients as a process ends: a request of which half had come is answered, on a resting connection too, and what
// was taken on is in the journal; a client that rests to the end is let go; a second SIGTERM and a SIGHUP meanwhile change nothing.
func TestShutdown_AnswersClients(t *testing.T) {
	silent, good := st.NewEndpoint(t, st.Unresponsive), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, good.Addr, silent.Addr)
	state := t.TempDir()
	s := start(t, p, state)
	resting, half, crossing := connect(t, s.addr), connect(t, s.addr), connect(t, s.addr)
	for i, c := range []*client{resting, crossing} {
		c.say(handIn(fmt.Sprintf("before%d", i), 0))
		if got := c.hears(); got != http.StatusAccepted {
			t.Fatalf("before the end: %d", got)
		}
		good.Next(t)
	}
	text := handIn("half", 1)
	half.say(text[:len(text)-2])
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := s.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	for { // it is on its way out once it says so
		c := connect(t, s.addr)
		c.say("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if c.hears() == http.StatusServiceUnavailable {
			break
		}
	}
	half.say(text[len(text)-2:])
	if got := half.hears(); got != http.StatusAccepted {
		t.Errorf("the other half of a request is answered %d", got)
	}
	if c := silent.Next(t); c.ID != "half" {
		t.Errorf("it calls with %s", c.ID)
	}
	crossing.say(handIn("crossing", 1))
	if got := crossing.hears(); got != http.StatusAccepted {
		t.Errorf("a request on a resting connection is answered %d", got)
	}
	if got := resting.hears(); got != 0 {
		t.Errorf("a client that rests hears %d", got)
	}
	if err := s.Wait(); err != nil {
		t.Errorf("it leaves with %v", err)
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

// Idle clients fill all descriptors that they may while discovery is down: once it is back the list is heard, a new client is
// served, and calls connect.
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
		connect(t, s.addr).say("POST /api HTTP/1.1\r\nHost: x\r\n")
	}
	p.Change(st.Target("s-0", moved.Addr, 0, "SERVING"))
	p.RejectListCalls(false)
	for q := ""; !strings.HasPrefix(q, "after=2&"); q = st.Receive(t, p.Lists) {
	}
	c := connect(t, s.addr)
	c.say(handIn("m", 0))
	if got := c.hears(); got != http.StatusAccepted {
		t.Errorf("a new client is answered %d", got)
	}
	if m := moved.Next(t); m.ID != "m" || len(old.Calls) != 0 {
		t.Errorf("the endpoint got %s, the one before %d calls", m.ID, len(old.Calls))
	}
	waitFor(t, filepath.Join(state, "messages.journal"), 1, `"how":"delivered"`)
}

// A process that is killed with all room taken, and started again while discovery is down and clients flood it, is ready, gives
// none of what it finds back, and tries all of it once it knows where to.
func TestShutdown_AttemptsAllAcceptedMessages(t *testing.T) {
	const room = 100 // of the test's settings
	e := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	p.Change(st.Target("s-1", e.Addr, 1, "DRAINING"))
	state := t.TempDir()
	s := start(t, p, state)
	for n := range room * 9 / 10 { // from a few more on some are refused
		st.Submit(t, s.addr, st.Submission{ID: fmt.Sprintf("m%d", n), Class: "unsafe", Destination: 1, Deadline: time.Minute})
	}
	s.Process.Kill()
	s.Wait()
	p.RejectListCalls(true)
	settings := st.Config(p, state)
	settings["settings"].(map[string]any)["limits"].(map[string]any)["mostHeld"] = room * 9 / 10 // no more than it finds
	s = startWith(t, settings, state)
	for range 200 {
		connect(t, s.addr).say("GET /")
	}
	moved := st.NewEndpoint(t, st.Status(200))
	p.Change(st.Target("s-2", moved.Addr, 1, "SERVING"))
	p.RejectListCalls(false)
	tried := map[string]bool{}
	for range room * 9 / 10 {
		tried[moved.Next(t).ID] = true
	}
	if len(tried) != room*9/10 || len(e.Calls) != 0 || len(p.Notices) != 0 {
		t.Errorf("%d messages are tried, %d notices are given", len(tried), len(p.Notices))
	}
}
