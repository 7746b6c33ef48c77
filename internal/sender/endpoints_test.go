package sender

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dockshift.example/dockshift/brain"
	st "dockshift.example/dockshift/internal/sendertest"
)

func testPool() *pool {
	return newPool(&Config{ConnectTimeout: time.Second, Limits: Limits{Sockets: 64}, Fields: []string{"x0", "x1"},
		Settings: brain.Settings{IdleConnections: 15 * time.Second}})
}

func callOnce(p *pool, e *endpoint, timeout time.Duration, body string) brain.AttemptEnd {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.call(ctx, e, record{ID: "id", Key: "key", Body: []byte(body)}, timeout)
}

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   brain.AttemptEnd
	}{
		"delivered":   {st.Status(200, "X-Load: x0=0.4,x1=25,other=7"), brain.AttemptEnd{Outcome: brain.Served, Over: true, Reported: true, Left: 0.4, Limit: 25}},
		"error":       {st.Status(500), brain.AttemptEnd{Outcome: brain.Errored}},
		"wait":        {st.Status(429, "X-RateLimit-Wait-Ms: 250"), brain.AttemptEnd{Outcome: brain.Refused, Wait: 250 * time.Millisecond}},
		"turned away": {st.Status(503), brain.AttemptEnd{Outcome: brain.Refused}},
		"over slots":  {st.Status(503, "X-Over-Slots: 1"), brain.AttemptEnd{Outcome: brain.NotSent}},
		"no attempts": {st.Status(504), brain.AttemptEnd{Outcome: brain.NotSent}},
		"over":        {st.Status(410), brain.AttemptEnd{Outcome: brain.NotSent, Over: true}},
		"redirect":    {st.Status(307, "Location: /elsewhere"), brain.AttemptEnd{Outcome: brain.Errored}},
		"reset":       {st.Reset, brain.AttemptEnd{Outcome: brain.Broken}},
		// Delivered as soon as the first line is written, whatever breaks then.
		"cut after 200": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
			return false
		}, brain.AttemptEnd{Outcome: brain.Served, Over: true}},
		"cut before": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 ")
			return false
		}, brain.AttemptEnd{Outcome: brain.Broken}},
	} {
		t.Run(name, func(t *testing.T) {
			e := st.NewEndpoint(t, c.answer)
			got := callOnce(testPool(), &endpoint{addr: e.Addr}, st.Wait, "body")
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			call := e.Next(t)
			if call.ID != "id" || call.Key != "key" || call.Body != "body" || call.Header.Get("X-Deadline-Ms") != "20000" ||
				call.Header.Get("Accept-Encoding") != "" {
				t.Errorf("the endpoint got %+v", call)
			}
		})
	}
}

// A library may repeat a request with an Idempotency-Key by itself when a reused connection breaks; each
// would count as a call that the module knows nothing of.
func TestOneSendIsOneCall(t *testing.T) {
	for _, body := range []string{"body", ""} {
		first := true
		e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
			if first {
				first = false
				return st.Status(200)(c, nc)
			}
			return st.Reset(c, nc)
		})
		p, at := testPool(), &endpoint{addr: e.Addr}
		if got := callOnce(p, at, st.Wait, body); got.Outcome != brain.Served {
			t.Fatalf("first call: %+v", got)
		}
		if got := callOnce(p, at, st.Wait, body); got.Outcome != brain.Broken {
			t.Errorf("on a connection that breaks: %+v", got)
		}
		e.Next(t)
		if c := e.Next(t); c.Conn != 1 {
			t.Errorf("the connection was not used again")
		}
		if len(e.Calls) != 0 {
			t.Errorf("the call was repeated: %+v", <-e.Calls)
		}
	}
}

// A call whose last byte was not written has never run, however much of it was.
func TestResetBeforeTheLastByteNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		io.ReadFull(c, make([]byte, 100))
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	// Far more than the sockets' buffers hold, so that the write is under way when the reset comes.
	got := callOnce(testPool(), &endpoint{addr: l.Addr().String()}, st.Wait, strings.Repeat("x", 64<<20))
	if got.Outcome != brain.ConnectFailed {
		t.Errorf("got %+v", got)
	}
}

func TestNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if got := callOnce(testPool(), &endpoint{addr: l.Addr().String()}, st.Wait, ""); got.Outcome != brain.ConnectFailed {
		t.Errorf("got %+v", got)
	}
}

// A time-out and a cancel close the connection: the endpoint holds a slot of ours for as long as it is open.
func TestSilentEndpoint(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		st.Silent(c, nc)
		closed <- struct{}{}
		return false
	})
	p, at := testPool(), &endpoint{addr: e.Addr}
	if got := callOnce(p, at, 30*time.Millisecond, ""); got.Outcome != brain.TimedOut {
		t.Errorf("time-out: %+v", got)
	}
	st.Receive(t, closed)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan brain.AttemptEnd, 1)
	go func() { ended <- p.call(ctx, at, record{ID: "id"}, st.Wait) }()
	e.Next(t)
	e.Next(t)
	cancel()
	if got := st.Receive(t, ended); got.Outcome != brain.Cancelled {
		t.Errorf("cancel: %+v", got)
	}
	st.Receive(t, closed)
}

// An endpoint that has closed an idle connection would see a call on it as a reset that may have run: such
// a connection is noticed and left, also when it announced nothing.
func TestIdleConnectionClosedByTheEndpoint(t *testing.T) {
	closed := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		st.Status(200)(c, nc)
		nc.(*net.TCPConn).CloseWrite()
		close(closed)
		return c.Conn != 1
	})
	p, at := testPool(), &endpoint{addr: e.Addr}
	if got := callOnce(p, at, st.Wait, ""); got.Outcome != brain.Served {
		t.Fatalf("first call: %+v", got)
	}
	st.Receive(t, closed)
	for end := time.Now().Add(st.Wait); ; time.Sleep(time.Millisecond) { // until the close has come here
		at.mu.Lock()
		gone := len(at.idle) == 0 || !quiet(at.idle[0].Conn)
		at.mu.Unlock()
		if gone {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the close is not noticed")
		}
	}
	closed = make(chan struct{})
	if got := callOnce(p, at, st.Wait, ""); got.Outcome != brain.Served {
		t.Errorf("second call: %+v", got)
	}
}

func TestConnectionsAreKeptAndClosed(t *testing.T) {
	e := st.NewEndpoint(t, st.Status(200))
	p, at := testPool(), &endpoint{addr: e.Addr}
	on := func() int {
		t.Helper()
		if got := callOnce(p, at, st.Wait, "x"); got.Outcome != brain.Served {
			t.Fatalf("%+v", got)
		}
		return e.Next(t).Conn
	}
	if a, b := on(), on(); a != 1 || b != 1 {
		t.Errorf("connections %d and %d", a, b)
	}
	p.closeIdle(at, time.Hour)
	if n := on(); n != 1 {
		t.Errorf("a young idle connection was closed")
	}
	p.closeIdle(at, 0)
	if n := on(); n != 2 {
		t.Errorf("connection %d after the idle ones were closed", n)
	}
	p.keep = 0 // older than it may be
	if n := on(); n != 3 {
		t.Errorf("connection %d after the idle one was too old", n)
	}
	p.most = 0
	p.closeIdle(at, 0)
	if on(); len(at.idle) != 0 || p.idle.Load() != 0 {
		t.Errorf("%d idle connections where none may be kept, counted %d", len(at.idle), p.idle.Load())
	}
}
