package sender

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/calls"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// head returns the head of a request that submits message id; lines are its last header lines.
func head(id, lines string) string {
	return "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id + "\r\nX-Class: keyed\r\nX-Tenant: acme\r\n" +
		"X-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\nX-Addressing: dest=0\r\n" + lines + "\r\n"
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(st.Wait))
	return c
}

// answers reads the status codes on a connection until it is closed or reset.
func answers(t *testing.T, c net.Conn) []int {
	t.Helper()
	var codes []int
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
			return codes
		}
		if err != nil {
			t.Fatalf("after responses %v: %v", codes, err)
		}
		io.Copy(io.Discard, resp.Body)
		codes = append(codes, resp.StatusCode)
	}
}

// A client that sends an invalid request soon gets one error, and its connection is closed. Nothing of the request is accepted, in
// particular no message that is smuggled in the body of another one or behind it.
func TestServer_HostileRequests(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	hidden := head("hidden", "Content-Length: 1\r\n") + "x"
	chunks := "0\r\n\r\n" + hidden
	length := "Content-Length: " + strconv.Itoa(len(chunks)) + "\r\n"
	for name, c := range map[string]struct {
		text string
		want int // 0: the connection is closed without a response
	}{
		"chunked":                 {head("m", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n\r\n", 400},
		"hidden, length first":    {head("m", length+"Transfer-Encoding: chunked\r\n") + chunks, 400},
		"hidden, length last":     {head("m", "Transfer-Encoding: chunked\r\n"+length) + chunks, 400},
		"hidden, other case":      {head("m", "tRANSFER-eNCODING: ChunkeD\r\n"+length) + chunks, 400},
		"hidden, other coding":    {head("m", "Transfer-Encoding: identity\r\n"+length) + chunks, 400},
		"hidden, two codings":     {head("m", "Transfer-Encoding: gzip, chunked\r\n"+length) + chunks, 400},
		"hidden, folded":          {head("m", "Transfer-Encoding:\r\n chunked\r\n"+length) + chunks, 400},
		"hidden, empty coding":    {head("m", "Transfer-Encoding:\r\n"+length) + chunks, 400},
		"hidden, blank in a name": {head("m", "Transfer-Encoding : chunked\r\n"+length) + chunks, 400},
		"hidden, HTTP/1.0":        {strings.Replace(head("m", "Transfer-Encoding: chunked\r\n"+length), "HTTP/1.1", "HTTP/1.0", 1) + chunks, 505},
		"hidden, two lengths":     {head("m", "Content-Length: 5\r\n"+length) + chunks, 400},
		"hidden in a GET":         {"GET /-/ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n" + length + "\r\n" + chunks, 400},
		"hidden behind an error":  {"GET /other HTTP/1.1\r\nHost: x\r\n\r\n" + hidden, 404},
		"two at once":             {head("m", "Content-Length: 1\r\n") + "x" + hidden, 400},
		"length too short":        {head("m", "Content-Length: 3\r\n") + "xxxxxx", 400},
		"length too long":         {head("m", "Content-Length: 30\r\n") + "xxx", 408},
		"length below 0":          {head("m", "Content-Length: -1\r\n") + "xxx", 400},
		"length a word":           {head("m", "Content-Length: some\r\n") + "xxx", 400},
		"length beyond numbers":   {head("m", "Content-Length: 99999999999999999999\r\n") + "xxx", 400},
		"length huge":             {head("m", "Content-Length: 3000000000\r\n") + "xxx", 413},
		"no length":               {head("m", ""), 411},
		"no host":                 {strings.Replace(head("m", "Content-Length: 0\r\n"), "Host:", "Guest:", 1), 400},
		"two ids":                 {head("m", "Content-Length: 0\r\nX-Request-Id: other\r\n"), 400},
		"no such destination":     {strings.Replace(head("m", "Content-Length: 0\r\n"), "dest=0", "dest=77", 1), 400},
		"noise":                   {"\x00\x01\x02\xff\r\n\r\n", 400},
		"a head without end":      {head("m", "X-More: "+strings.Repeat("m", maxHeaderBytes)), 431},
		"lines without end":       {head("m", strings.Repeat("X-More: m\r\n", maxHeaderBytes)), 431},
		"half a head":             {"POST /api HTTP/1.1\r\nHost: x", 408},
		"nothing":                 {"", 0},
		"a long body":             {head("m", "Content-Length: 1000000\r\n") + strings.Repeat("x", 1000000), 413},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			nc := dial(t, addr)
			go io.WriteString(nc, c.text) // the server may close the connection before all is written
			codes := answers(t, nc)
			if c.want == 0 && len(codes) > 0 || c.want > 0 && (len(codes) != 1 || codes[0] != c.want) {
				t.Errorf("the request is answered %v, want %d", codes, c.want)
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("the connection was closed only after %v", took)
			}
		})
	}
	t.Cleanup(func() { // after all subtests
		st.Submit(t, addr, st.Submission{ID: "good", Class: "keyed", Destination: 0, Deadline: 5 * time.Second})
		if c := e.Next(t); c.ID != "good" {
			t.Errorf("the endpoint got %s", c.ID)
		}
	})
}

// A client may close its sending side after its request, and may wait for "100 Continue" before it sends a body.
func TestServer_UnusualButValidRequests(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	c := dial(t, addr)
	io.WriteString(c, head("m1", "Content-Length: 1\r\n")+"x")
	c.(*net.TCPConn).CloseWrite()
	if codes := answers(t, c); len(codes) != 1 || codes[0] != 202 {
		t.Errorf("with the sending side closed: %v", codes)
	}
	c = dial(t, addr)
	io.WriteString(c, head("m2", "Content-Length: 1\r\nExpect: 100-continue\r\nConnection: close\r\n"))
	line, err := bufio.NewReader(io.LimitReader(c, 25)).ReadString('\n')
	if err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Errorf("with Expect: 100-continue: %q, %v", line, err)
	}
	io.WriteString(c, "x")
	if codes := answers(t, c); len(codes) != 1 || codes[0] != 202 {
		t.Errorf("after the body: %v", codes)
	}
}

// Connections that send nothing, stop within a request, or stay open after one, may use up all connections of clients: the next client
// must be served nevertheless.
func TestServer_EvictsConnectionsWithoutRequest(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"silent":            {"", 0},
		"half a head":       {"POST /api HTTP/1.1\r\nX-Cl", 0},
		"half a body":       {head("half", "Content-Length: 2\r\n") + "x", 0},
		"asked once, stays": {"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.Status(200))
			addr := run(t, st.NewPlatform(t, e.Addr), func(c *Config) { c.Limits.Sockets = 16 })
			for range 8 {
				nc := dial(t, addr)
				io.WriteString(nc, c.text)
				if c.want > 0 {
					if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err != nil || resp.StatusCode != c.want {
						t.Fatal(resp, err)
					}
				}
			}
			nc := dial(t, addr)
			io.WriteString(nc, head("m", "Content-Length: 1\r\nConnection: close\r\n")+"x")
			if codes := answers(t, nc); len(codes) != 1 || codes[0] != 202 {
				t.Errorf("the next client is answered %v", codes)
			}
			e.Next(t)
		})
	}
}

// Clients that send one request and keep their connection may use only a part of all client connections: beyond that the response
// announces that the connection closes, or the connection that has been idle for longest is closed.
func TestServer_IdleConnectionLimit(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), func(c *Config) { c.Limits.Sockets = 24 }) // 4 may be idle
	request := func() (net.Conn, bool) {
		t.Helper()
		nc := dial(t, addr)
		io.WriteString(nc, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatal(resp, err)
		}
		return nc, !resp.Close
	}
	first, keptOpen := request()
	for i := 1; i < 12; i++ {
		if !keptOpen != (i > 4) {
			t.Errorf("connection %d is kept open: %v", i, keptOpen)
		}
		_, keptOpen = request()
	}
	first.SetReadDeadline(time.Now().Add(minIdleTime)) // until it has been idle for minIdleTime
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the first connection is closed early: %v", err)
	}
	if _, keptOpen = request(); !keptOpen {
		t.Error("the connection closes, though another has been idle for minIdleTime")
	}
	first.SetReadDeadline(time.Now().Add(st.Wait))
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection that has been idle for longest: %v", err)
	}
}

// The request of a connection that is being evicted may have arrived already: then it is answered first.
func TestServer_EvictedWithRequestReceived(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	s := newTestSender(t, st.NewPlatform(t, e.Addr), nil)
	s.server.submit = func(_ context.Context, sub submission) bool {
		sub.answer <- response{status: 202}
		return true
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	other := dial(t, l.Addr().String())
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &client{LimitedConn: calls.LimitedConn{Conn: nc}, acceptedAt: time.Now().Add(-time.Hour), since: time.Now().Add(-time.Hour)}
	c.r = bufio.NewReader(c)
	s.server.clients[c] = struct{}{}
	s.server.connections.Add(1)
	s.server.mu.Lock()
	if !s.server.evictOne() { // its read deadline has passed before the first read
		t.Fatal("no connection is evicted")
	}
	s.server.mu.Unlock()
	io.WriteString(other, head("m", "Content-Length: 1\r\nConnection: close\r\n")+"x")
	for calls.IdleConnUsable(nc) {
		time.Sleep(time.Millisecond)
	}
	s.server.serveConn(c)
	if codes := answers(t, other); len(codes) != 1 || codes[0] != 202 {
		t.Errorf("the request is answered %v", codes)
	}
	if s.server.evicting != 0 || len(s.server.clients) != 0 {
		t.Errorf("%d connections being evicted, %d connections registered", s.server.evicting, len(s.server.clients))
	}
}

// The choice of the connection to evict: never one whose request is being answered, nor one whose request has arrived and is not read
// yet.
func TestServer_EvictionOrder(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	type connection struct {
		state  clientState
		age    time.Duration
		unread bool
	}
	for name, c := range map[string]struct {
		connections []connection
		want        int // index of the evicted connection, -1: none
	}{
		"none":                      {nil, -1},
		"being answered":            {[]connection{{stateAnswering, time.Hour, false}}, -1},
		"recent ones":               {[]connection{{stateNew, maxTimeWithoutRequestWhenFull / 2, false}, {stateReading, maxPartialWhenFull / 2, false}, {stateIdle, minIdleTime / 2, false}}, -1},
		"request has arrived":       {[]connection{{stateNew, time.Hour, true}, {stateIdle, time.Hour, true}}, -1},
		"silent":                    {[]connection{{stateAnswering, time.Hour, false}, {stateNew, 2 * maxTimeWithoutRequestWhenFull, false}}, 1},
		"the longest silent":        {[]connection{{stateNew, 2 * maxTimeWithoutRequestWhenFull, false}, {stateNew, 3 * maxTimeWithoutRequestWhenFull, false}}, 1},
		"partial request":           {[]connection{{stateReading, 2 * maxPartialWhenFull, false}, {stateNew, maxTimeWithoutRequestWhenFull / 2, false}}, 0},
		"partial, more has arrived": {[]connection{{stateReading, 2 * maxPartialWhenFull, true}}, -1},
		"idle":                      {[]connection{{stateIdle, 2 * minIdleTime, false}, {stateAnswering, time.Hour, false}}, 0},
		"the longest idle":          {[]connection{{stateIdle, 2 * minIdleTime, false}, {stateIdle, 3 * minIdleTime, false}}, 1},
		"silent before longer idle": {[]connection{{stateIdle, 3 * minIdleTime, false}, {stateNew, 2 * maxTimeWithoutRequestWhenFull, false}}, 1},
	} {
		s := newServer(&Config{Limits: Limits{Sockets: 64}}, newClock(), slog.Default(), nil)
		var all []*client
		for _, k := range c.connections {
			other := dial(t, l.Addr().String())
			nc, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if k.unread {
				io.WriteString(other, "x")
				for calls.IdleConnUsable(nc) {
					time.Sleep(time.Millisecond)
				}
			}
			all = append(all, &client{LimitedConn: calls.LimitedConn{Conn: nc}, state: k.state, since: time.Now().Add(-k.age)})
			s.clients[all[len(all)-1]] = struct{}{}
		}
		if evicted := s.evictOne(); evicted != (c.want >= 0) {
			t.Errorf("%s: evictOne returns %v", name, evicted)
		}
		for i, k := range all {
			if k.evicting != (i == c.want) {
				t.Errorf("%s: connection %d is evicted: %v", name, i, k.evicting)
			}
		}
		if c.want >= 0 && s.evictOne() {
			t.Errorf("%s: a second eviction starts before the first is over", name)
		}
		for _, k := range all {
			k.Close()
		}
	}
}
