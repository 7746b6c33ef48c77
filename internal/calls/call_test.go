package calls

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/membership"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

func testPool() *Pool {
	return NewPool(Config{ConnectTimeout: time.Second, MaxIdle: 20, LoadFields: []string{"x0", "x1"}, IdleTimeout: 15 * time.Second})
}

func callOnce(p *Pool, e *Endpoint, timeout time.Duration, body string) brain.AttemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	result, _ := p.Call(ctx, e, tickets(Message{ID: "id", Key: "key", Body: []byte(body)}, timeout), timeout)
	return result
}

func TestCall_Outcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   brain.AttemptResult
	}{
		"delivered":                {st.Status(200, "X-Load: x0=0.4,x1=25,other=7"), brain.AttemptResult{Outcome: brain.Served, Final: true, LimitReported: true, Remaining: 0.4, Limit: 25}},
		"error":                    {st.Status(500), brain.AttemptResult{Outcome: brain.Errored}},
		"wait":                     {st.Status(429, "X-RateLimit-Wait-Ms: 250"), brain.AttemptResult{Outcome: brain.Rejected, RetryAfter: 250 * time.Millisecond}},
		"rejected":                 {st.Status(503), brain.AttemptResult{Outcome: brain.Rejected}},
		"connection limit reached": {st.Status(503, "Connection: close"), brain.AttemptResult{Outcome: brain.Rejected, ConnLimitReached: true}},
		"above the limit, closes": {st.Status(503, "Connection: close", "X-Load: x0=0,x1=25"),
			brain.AttemptResult{Outcome: brain.Rejected, LimitReported: true, Limit: 25}},
		"wait, closes": {st.Status(429, "Connection: close", "X-RateLimit-Wait-Ms: 250"),
			brain.AttemptResult{Outcome: brain.Rejected, RetryAfter: 250 * time.Millisecond}},
		"over slots":  {st.Status(503, "X-Over-Slots: 1"), brain.AttemptResult{Outcome: brain.NotSent}},
		"no attempts": {st.Status(504), brain.AttemptResult{Outcome: brain.NotSent}},
		"over":        {st.Status(410), brain.AttemptResult{Outcome: brain.NotSent, Final: true}},
		"redirect":    {st.Status(307, "Location: /elsewhere"), brain.AttemptResult{Outcome: brain.Errored}},
		"interim answers ahead": {func(c st.Call, nc net.Conn) bool {
			io.WriteString(nc, strings.Repeat("HTTP/1.1 103 X\r\nLink: x\r\n\r\n", 3))
			return st.Status(200)(c, nc)
		}, brain.AttemptResult{Outcome: brain.Served, Final: true}},
		"reset": {st.Reset, brain.AttemptResult{Outcome: brain.ConnectionLost}},
		// The message is delivered as soon as the status line is complete, whatever fails after it.
		"cut after 200": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
			return false
		}, brain.AttemptResult{Outcome: brain.Served, Final: true}},
		"cut before": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 ")
			return false
		}, brain.AttemptResult{Outcome: brain.ConnectionLost}},
	} {
		t.Run(name, func(t *testing.T) {
			e := st.NewEndpoint(t, c.answer)
			got := callOnce(testPool(), &Endpoint{addr: e.Addr}, st.Wait, "body")
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			call := e.Next(t)
			if call.ID != "id" || call.Key != "key" || call.Body != "body" || call.Header.Get("X-Deadline-Ms") != "20000" ||
				call.Header.Get("Accept-Encoding") != "" {
				t.Errorf("the endpoint received %+v", call)
			}
		})
	}
}

// A rejection that closes a reused connection does not mean that the endpoint is at its connection limit: it has accepted this connection
// before.
func TestCall_RejectionOnReusedConnIsNoConnLimit(t *testing.T) {
	n := 0
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if n++; n == 1 {
			return st.Status(200)(c, nc)
		}
		return st.Status(503, "Connection: close")(c, nc)
	})
	p, at := testPool(), &Endpoint{addr: e.Addr}
	for _, want := range []brain.AttemptResult{{Outcome: brain.Served, Final: true}, {Outcome: brain.Rejected}, {Outcome: brain.Rejected, ConnLimitReached: true}} {
		if got := callOnce(p, at, st.Wait, "body"); got != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	}
}

// Malformed answers, and answers followed by extra bytes, on a connection that stays open. A 200 in the status line is valid;
// after any other malformed answer the call may have run, whatever its status. No answer occupies its slot until the
// time-out, and the connection is not reused.
func TestCall_MalformedAnswers(t *testing.T) {
	errored := brain.AttemptResult{Outcome: brain.Errored}
	delivered := brain.AttemptResult{Outcome: brain.Served, Final: true}
	good := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		answer  string
		endless string // sent repeatedly after answer
		want    brain.AttemptResult
	}{
		"noise":                    {"\x00\xff\x13\x37", "", errored},
		"noise, a line":            {"\x00\xff\x13\x37\r\n\r\n", "", errored},
		"noise without end":        {"", "\x00\xff\x13\x37", errored},
		"a line without end":       {"HTTP/1.1 500 ", "x", errored},
		"half a first line":        {"HTTP/1.", "", errored},
		"another protocol":         {"HTTP/2 200 OK\r\n\r\n", "", errored},
		"status too long":          {"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", "", errored},
		"status below 0":           {"HTTP/1.1 -20 OK\r\nContent-Length: 0\r\n\r\n", "", errored},
		"status too short":         {"HTTP/1.1 20\r\nContent-Length: 0\r\n\r\n", "", errored},
		"200, no more":             {"HTTP/1.1 200", "", errored},
		"200, half a line":         {"HTTP/1.1 200 O", "", errored},
		"200, a line, no end":      {"HTTP/1.1 200 OK", "", errored},
		"200, a line":              {"HTTP/1.1 200 OK\r\n", "", delivered},
		"200, half a head":         {"HTTP/1.1 200 OK\r\nContent-Le", "", delivered},
		"200, no head":             {"HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n", "", delivered},
		"200, head without end":    {"HTTP/1.1 200 OK\r\n", "X-More: more\r\n", delivered},
		"200, length a word":       {"HTTP/1.1 200 OK\r\nContent-Length: some\r\n\r\n", "", delivered},
		"200, length below 0":      {"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", "", delivered},
		"200, two lengths":         {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "", delivered},
		"200, body too short":      {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nxx", "", delivered},
		"200, 3 GB":                {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", strings.Repeat("x", 1<<16), delivered},
		"200, no length":           {"HTTP/1.1 200 OK\r\n\r\n", "x", delivered},
		"200, bad chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "", delivered},
		"500, 3 GB":                {"HTTP/1.1 500 X\r\nContent-Length: 3000000000\r\n\r\n", strings.Repeat("x", 1<<16), errored},
		"503, head without end":    {"HTTP/1.1 503 X\r\n", "X-More: more\r\n", errored},
		"503, body too short":      {"HTTP/1.1 503 X\r\nContent-Length: 50\r\n\r\nxx", "", errored},
		"503, length a word":       {"HTTP/1.1 503 X\r\nContent-Length: some\r\n\r\n", "", errored},
		"429, half a head":         {"HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: 900\r\n", "", errored},
		"410, no head":             {"HTTP/1.1 410 X\r\n\x00\r\n\r\n", "", errored},
		"switching":                {"HTTP/1.1 101 X\r\n\r\n", "", errored},
		"interim without end":      {"", "HTTP/1.1 100 Continue\r\n\r\n", errored},
		"interim and silence":      {"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 2", "", errored},
		"a second copy":            {good + good, "", delivered},
		"noise behind":             {good + "\x00\x01", "", delivered},
		"a refusal, noise behind":  {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n\x00", "", brain.AttemptResult{Outcome: brain.Rejected}},
		"a refusal after interims": {"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n\x00", "", brain.AttemptResult{Outcome: brain.Rejected}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, func(call st.Call, nc net.Conn) bool {
				if call.Conn > 1 {
					return st.Status(200)(call, nc)
				}
				_, err := io.WriteString(nc, c.answer)
				for err == nil && c.endless != "" {
					_, err = io.WriteString(nc, c.endless)
				}
				return st.Unresponsive(call, nc)
			})
			p, at := testPool(), &Endpoint{addr: e.Addr}
			began := time.Now()
			if got := callOnce(p, at, st.Wait, "x"); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			if took := time.Since(began); took > st.Wait/2 {
				t.Errorf("the call took %v", took)
			}
			if got := callOnce(p, at, st.Wait, "x"); got != delivered {
				t.Errorf("the next call: %+v", got)
			}
			if e.Next(t); e.Next(t).Conn != 2 {
				t.Error("the connection was reused")
			}
		})
	}
}

// Figures that no correct endpoint sends are ignored, as the decision module would calculate with them.
func TestLoadReport_ImpossibleValues(t *testing.T) {
	served := brain.AttemptResult{Outcome: brain.Served, Final: true}
	for line, want := range map[string]brain.AttemptResult{
		"X-Load: x0=0.5,x1=20":       {Outcome: brain.Served, Final: true, LimitReported: true, Remaining: 0.5, Limit: 20},
		"X-Load: x1=20, x0=0":        {Outcome: brain.Served, Final: true, LimitReported: true, Limit: 20},
		"X-Load: x0=1.04,x1=20":      {Outcome: brain.Served, Final: true, LimitReported: true, Remaining: 1, Limit: 20},
		"X-Load: x0=NaN,x1=20":       served,
		"X-Load: x0=0.5,x1=NaN":      served,
		"X-Load: x0=0.5,x1=Inf":      served,
		"X-Load: x0=0.5,x1=-Inf":     served,
		"X-Load: x0=-0.5,x1=20":      served,
		"X-Load: x0=0.5,x1=-20":      served,
		"X-Load: x0=0.5,x1=1e300":    served,
		"X-Load: x0=0.5,x1=":         served,
		"X-Load: x0=0.5,x1=many":     served,
		"X-Load: x0;x1":              served,
		"X-Load: =,=,,=5":            served,
		"X-RateLimit-Wait-Ms: 250":   {Outcome: brain.Rejected, RetryAfter: 250 * time.Millisecond},
		"X-RateLimit-Wait-Ms: 60000": {Outcome: brain.Rejected, RetryAfter: time.Minute},
		"X-RateLimit-Wait-Ms: -250":  {Outcome: brain.Rejected},
		"X-RateLimit-Wait-Ms: NaN":   {Outcome: brain.Rejected},
		"X-RateLimit-Wait-Ms: Inf":   {Outcome: brain.Rejected},
		"X-RateLimit-Wait-Ms: 9e8":   {Outcome: brain.Rejected},
		"X-RateLimit-Wait-Ms: soon":  {Outcome: brain.Rejected},
	} {
		code := 200
		if want.Outcome == brain.Rejected {
			code = 429
		}
		e := st.NewEndpoint(t, st.Status(code, line))
		if got := callOnce(testPool(), &Endpoint{addr: e.Addr}, st.Wait, ""); got != want {
			t.Errorf("%s: got %+v, want %+v", line, got, want)
		}
	}
}

// An HTTP library may repeat a request with an Idempotency-Key by itself when a reused connection breaks. The decision module would
// not count such a repeat as a call.
func TestCall_NeverRepeatsByItself(t *testing.T) {
	for _, body := range []string{"body", ""} {
		first := true
		e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
			if first {
				first = false
				return st.Status(200)(c, nc)
			}
			return st.Reset(c, nc)
		})
		p, at := testPool(), &Endpoint{addr: e.Addr}
		if got := callOnce(p, at, st.Wait, body); got.Outcome != brain.Served {
			t.Fatalf("first call: %+v", got)
		}
		if got := callOnce(p, at, st.Wait, body); got.Outcome != brain.ConnectionLost {
			t.Errorf("call on a connection that is reset: %+v", got)
		}
		e.Next(t)
		if c := e.Next(t); c.Conn != 1 {
			t.Errorf("the connection was not reused")
		}
		if len(e.Calls) != 0 {
			t.Errorf("the call was repeated: %+v", <-e.Calls)
		}
	}
}

// A call whose last byte was not written has not run, however many bytes were written.
func TestCall_ResetBeforeLastByteNeverRan(t *testing.T) {
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
	// Far more than the socket buffers hold, so that the write is in progress when the reset arrives.
	got := callOnce(testPool(), &Endpoint{addr: l.Addr().String()}, st.Wait, strings.Repeat("x", 64<<20))
	if got.Outcome != brain.ConnectFailed {
		t.Errorf("got %+v", got)
	}
}

// Without file descriptors a call ends as NotSent: the shortage is local and says nothing about the endpoint. The decision module
// also gets no more slots than there are descriptors, so that this should not occur.
func TestCall_OutOfDescriptors(t *testing.T) {
	for err, want := range map[error]brain.Outcome{syscall.EMFILE: brain.NotSent, syscall.ENFILE: brain.NotSent,
		syscall.ENOBUFS: brain.NotSent, syscall.ECONNREFUSED: brain.ConnectFailed} {
		p := testPool()
		p.Dialer.Control = func(string, string, syscall.RawConn) error { return err }
		if got := callOnce(p, &Endpoint{addr: "127.0.0.1:9"}, st.Wait, ""); got.Outcome != want {
			t.Errorf("%v: %+v", err, got)
		}
	}
}

func TestCall_ConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if got := callOnce(testPool(), &Endpoint{addr: l.Addr().String()}, st.Wait, ""); got.Outcome != brain.ConnectFailed {
		t.Errorf("got %+v", got)
	}
}

// A time-out and a cancel close the connection, as the call occupies a slot at the endpoint for as long as it is open.
func TestCall_TimeoutAndCancelCloseConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		st.Unresponsive(c, nc)
		closed <- struct{}{}
		return false
	})
	p, at := testPool(), &Endpoint{addr: e.Addr}
	if got := callOnce(p, at, 30*time.Millisecond, ""); got.Outcome != brain.TimedOut {
		t.Errorf("time-out: %+v", got)
	}
	st.Receive(t, closed)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan brain.AttemptResult, 1)
	go func() {
		result, _ := p.Call(ctx, at, tickets(Message{ID: "id"}, st.Wait), st.Wait)
		ended <- result
	}()
	e.Next(t)
	e.Next(t)
	cancel()
	if got := st.Receive(t, ended); got.Outcome != brain.Cancelled {
		t.Errorf("cancel: %+v", got)
	}
	st.Receive(t, closed)
}

// A call on an idle connection that the endpoint has closed would be reset, and count as one that may have run. Such a connection
// is detected and not used, even if the endpoint did not announce the close.
func TestPool_IdleConnClosedByEndpoint(t *testing.T) {
	closed := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		st.Status(200)(c, nc)
		nc.(*net.TCPConn).CloseWrite()
		close(closed)
		return c.Conn != 1
	})
	p, at := testPool(), &Endpoint{addr: e.Addr}
	if got := callOnce(p, at, st.Wait, ""); got.Outcome != brain.Served {
		t.Fatalf("first call: %+v", got)
	}
	st.Receive(t, closed)
	for end := time.Now().Add(st.Wait); ; time.Sleep(time.Millisecond) { // until the close has arrived
		at.mu.Lock()
		gone := len(at.idle) == 0 || !IdleConnUsable(at.idle[0].Conn)
		at.mu.Unlock()
		if gone {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the close is not detected")
		}
	}
	closed = make(chan struct{})
	if got := callOnce(p, at, st.Wait, ""); got.Outcome != brain.Served {
		t.Errorf("second call: %+v", got)
	}
}

func TestPool_KeepsAndClosesConns(t *testing.T) {
	e := st.NewEndpoint(t, st.Status(200))
	p, at := testPool(), &Endpoint{addr: e.Addr}
	callAndGetConn := func() int {
		t.Helper()
		if got := callOnce(p, at, st.Wait, "x"); got.Outcome != brain.Served {
			t.Fatalf("%+v", got)
		}
		return e.Next(t).Conn
	}
	if a, b := callAndGetConn(), callAndGetConn(); a != 1 || b != 1 {
		t.Errorf("calls on connections %d and %d, want 1 for both", a, b)
	}
	p.CloseIdle(at, time.Hour)
	if n := callAndGetConn(); n != 1 {
		t.Errorf("an idle connection was closed before its time-out")
	}
	p.CloseIdle(at, 0)
	if n := callAndGetConn(); n != 2 {
		t.Errorf("call on connection %d after the idle ones were closed, want 2", n)
	}
	p.idleTimeout = 0 // every idle connection has expired
	if n := callAndGetConn(); n != 3 {
		t.Errorf("call on connection %d after the idle one expired, want 3", n)
	}
	p.maxIdle = 0
	p.CloseIdle(at, 0)
	if callAndGetConn(); len(at.idle) != 0 || p.idle.Load() != 0 {
		t.Errorf("%d idle connections where none may be kept, counted %d", len(at.idle), p.idle.Load())
	}
}

// Endpoints are replaced under new ids all day, some at the address of a removed one. Nothing is kept of a removed endpoint: its
// idle connections are closed at once, those in use after their call, and an endpoint at the same address starts with
// none.
func TestEndpointList_RemovedEndpointsLeaveNothing(t *testing.T) {
	for name, gone := range map[string]membership.Update{
		"deleted":                      {Servers: []membership.Target{{ID: "old", State: "DELETED"}}},
		"not in the complete list":     {Full: true},
		"deleted in the complete list": {Full: true, Servers: []membership.Target{{ID: "old", State: "DELETED"}}},
	} {
		t.Run(name, func(t *testing.T) {
			release, closed := make(chan struct{}), make(chan int, 2)
			e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
				if c.Conn == 2 {
					<-release
				}
				st.Status(200)(c, nc)
				if c.Conn <= 2 {
					st.Unresponsive(c, nc)
					closed <- c.Conn
				}
				return c.Conn > 2
			})
			c, p, list := Names{}, testPool(), NewEndpointList()
			apply := func(t membership.Update) { list.Apply(t, t.Full, c, p) }
			apply(membership.Update{Full: true, Servers: []membership.Target{{ID: "old", Addr: e.Addr, State: "SERVING"}}})
			old := list.ByID["old"]
			if got := callOnce(p, old, st.Wait, "x"); got.Outcome != brain.Served || len(old.idle) != 1 {
				t.Fatalf("%+v, %d idle", got, len(old.idle))
			}
			kept := old.idle[0]
			p.idle.Add(-1)
			old.idle = nil // as if the connection were in use, so that a second one is opened
			ended := make(chan brain.AttemptResult, 1)
			go func() { ended <- callOnce(p, old, st.Wait, "x") }()
			e.Next(t)
			e.Next(t)
			p.release(old, kept)
			apply(gone)
			if n := st.Receive(t, closed); n != 1 {
				t.Errorf("connection %d is closed first, want 1", n)
			}
			close(release)
			if got := st.Receive(t, ended); got.Outcome != brain.Served {
				t.Errorf("the call in flight: %+v", got)
			}
			st.Receive(t, closed)
			if len(list.ByID)+len(list.ByNumber) > 0 || p.idle.Load() != 0 {
				t.Errorf("%d endpoints, %d idle connections", len(list.ByID), p.idle.Load())
			}
			apply(membership.Update{Servers: []membership.Target{{ID: "new", Addr: e.Addr, State: "SERVING"}}})
			if at := list.ByID["new"]; at.Number == old.Number {
				t.Error("the number of the removed endpoint is reused")
			} else if callOnce(p, at, st.Wait, "x"); e.Next(t).Conn != 3 {
				t.Error("the new endpoint uses a connection of the removed one")
			}
		})
	}
}
