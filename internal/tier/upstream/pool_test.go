package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEcho starts an endpoint that responds to each request with its attempt id and, in X-Line, the number of the connection.
func startEcho(t *testing.T, extra string) Target {
	t.Helper()
	return startEndpoint(t, func(n int, l *serverConn) {
		for q, _ := l.readRequest(); q != nil; q, _ = l.readRequest() {
			id := q.Header.Get("X-Attempt-Id")
			l.writeText(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nX-Line: %d\r\n%sContent-Length: 0\r\n\r\n", id, n, extra))
		}
	})
}

func TestPool_Reuse(t *testing.T) {
	target := startEcho(t, "")
	p := newTestPool(t)
	for i := range 5 {
		r := call(t, p, target, fmt.Sprint(i))
		assert.Equal(t, r.Outcome, Complete, "%v", r.Err)
		assert.Equal(t, r.NewConnection, i == 0)
	}
	assert.Equal(t, p.Counts(), Counts{Open: 1, Idle: 1, Opened: 1, Reused: 4})
	other := target
	other.Instance = "i-2" // the same address, another instance
	assert.Assert(t, call(t, p, other, "x").NewConnection)
	p.Forget(target.Address, target.Instance)
	open, idle := p.Open(target)
	assert.Equal(t, open+idle, 0)
	assert.Assert(t, call(t, p, target, "y").NewConnection)
}

// TestPool_AvoidsConnectionOfSameAttempt: a late second response to the first send must not be taken for the response to the second.
func TestPool_AvoidsConnectionOfSameAttempt(t *testing.T) {
	target := startEcho(t, "")
	p := newTestPool(t)
	assert.Equal(t, call(t, p, target, "a").Response.Header.Get("X-Line"), "0")
	assert.Equal(t, call(t, p, target, "a").Response.Header.Get("X-Line"), "1")
	assert.Equal(t, call(t, p, target, "b").Response.Header.Get("X-Line"), "1") // the most recently used connection
	target.MaxConnections = 2
	r := call(t, p, target, "b")
	assert.Equal(t, r.Response.Header.Get("X-Line"), "0")
	target.MaxConnections = 1 // the limit is reached: an idle connection is closed for the new one
	r = call(t, p, target, "b")
	assert.Equal(t, r.Outcome, Complete)
}

func TestPool_LateExtraResponse(t *testing.T) {
	target := startEndpoint(t, func(n int, l *serverConn) {
		last := ""
		for q, _ := l.readRequest(); q != nil; q, _ = l.readRequest() {
			id := q.Header.Get("X-Attempt-Id")
			if last != "" {
				l.writeText(validResponse(last, "of "+last))
			}
			l.writeText(validResponse(id, "of "+id))
			last = id
		}
	})
	p := newTestPool(t)
	for i := range 10 {
		id := fmt.Sprint(i)
		r := call(t, p, target, id)
		assert.Equal(t, r.Outcome, Complete)
		assert.Equal(t, string(r.Body), "of "+id)
	}
	assert.Equal(t, p.Counts().Opened, uint64(5))
}

func TestPool_StaleConnection(t *testing.T) {
	for _, noise := range []string{"", "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n"} {
		target := startEndpoint(t, func(n int, l *serverConn) {
			q, _ := l.readRequest()
			l.writeText(validResponse(q.Header.Get("X-Attempt-Id"), "ok"))
			if noise != "" {
				l.writeAndDrain(noise)
			}
		})
		p := newTestPool(t)
		assert.Equal(t, call(t, p, target, "a").Outcome, Complete)
		if _, idle := p.Open(target); idle == 1 {
			waitUntilStale(p, target)
			r := call(t, p, target, "b")
			assert.Equal(t, r.Outcome, Complete)
			assert.Assert(t, r.NewConnection)
			assert.Equal(t, p.Counts().Stale, uint64(1))
		}
	}
}

// writeAndDrain writes noise and waits until the client has closed the connection.
func (l *serverConn) writeAndDrain(noise string) {
	l.writeText(noise)
	l.drain()
}

// TestPool_CloseRacesWithSend: the endpoint closes an idle connection just as the next request is being sent on it.
func TestPool_CloseRacesWithSend(t *testing.T) {
	for _, reset := range []bool{false, true} {
		target := startEndpoint(t, func(n int, l *serverConn) {
			q, _ := l.readRequest()
			l.writeText(validResponse(q.Header.Get("X-Attempt-Id"), "ok"))
			l.r.ReadByte() // the next request has begun to arrive
			if reset {
				l.reset()
			}
		})
		p := newTestPool(t)
		assert.Equal(t, call(t, p, target, "a").Outcome, Complete)
		r := call(t, p, target, "b")
		assert.Assert(t, r.Outcome == Broken && r.Written && !r.NewConnection, "%v", r.Outcome)
		assert.Equal(t, r.Disposition(false), Disposition{Execution: ExecutionUnknown, Reply: BadGateway, RetryIdempotent: true})
	}
}

func TestCall_PermitAskedLast(t *testing.T) {
	target := startEcho(t, "")
	p := newTestPool(t)
	q := post("a", "")
	asked := 0
	q.Permit = func() bool {
		asked++
		open, _ := p.Open(target)
		assert.Equal(t, open, 1) // the connection is established before the permit is checked
		return asked > 2
	}
	for range 2 {
		r := p.Call(context.Background(), target, q, longWait)
		assert.Assert(t, r.Outcome == NotSent && !r.Written && r.Response == nil)
		assert.Equal(t, r.Disposition(false), Disposition{Execution: NotExecuted, Reply: ServiceUnavailable, RetryIdempotent: true, RetryAny: true, Reuse: KeepConnection})
		_, idle := p.Open(target)
		assert.Equal(t, idle, 1) // the connection is kept
	}
	r := p.Call(context.Background(), target, q, longWait)
	assert.Equal(t, r.Outcome, Complete)
	assert.Equal(t, p.Counts().Opened, uint64(1))
	assert.Equal(t, asked, 3)
}

func TestCall_ConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := Target{Address: listener.Addr().String()}
	listener.Close()
	p := newTestPool(t)
	r := call(t, p, target, "a")
	assert.Assert(t, r.Outcome == ConnectFailed && !r.Written)
	assert.Equal(t, r.Disposition(false).Execution, NotExecuted)
	assert.Equal(t, p.Counts(), Counts{Failed: 1})
}

func TestPool_Limits(t *testing.T) {
	release := make(chan bool)
	slow := func() Target {
		return startEndpoint(t, func(_ int, l *serverConn) {
			for q, _ := l.readRequest(); q != nil; q, _ = l.readRequest() {
				if q.Header.Get("X-Attempt-Id") == "held" {
					<-release
				}
				l.writeText(validResponse(q.Header.Get("X-Attempt-Id"), ""))
			}
		})
	}
	one, two := slow(), slow()
	one.MaxConnections = 1
	p := NewPool(Config{MaxConnections: 2})
	defer p.Close()
	var done sync.WaitGroup
	sent := make(chan bool)
	done.Go(func() {
		q := post("held", "")
		q.Permit = func() bool { close(sent); return true }
		assert.Check(t, p.Call(context.Background(), one, q, longWait).Outcome == Complete)
	})
	<-sent
	r := call(t, p, one, "b")
	assert.Assert(t, r.Outcome == NoConnection && !r.Written && r.Disposition(false).Execution == NotExecuted)
	assert.Equal(t, call(t, p, two, "c").Outcome, Complete)
	three := slow()
	assert.Equal(t, call(t, p, three, "d").Outcome, Complete) // the idle connection to two is closed for it
	open, _ := p.Open(two)
	assert.Equal(t, open, 0)
	close(release)
	done.Wait()
	assert.Equal(t, p.Counts().Open, 2)
}

func TestPool_IdleTimes(t *testing.T) {
	p := NewPool(Config{IdleTimeout: 10 * time.Second})
	defer p.Close()
	idleTime := func(target Target) time.Duration {
		p.mu.Lock()
		defer p.mu.Unlock()
		c := p.hosts[hostKey{target.Address, target.Instance}].idle[0]
		return c.expiresAt.Sub(c.idleSince)
	}
	plain, announcing := startEcho(t, ""), startEcho(t, "Keep-Alive: timeout=2\r\n")
	assert.Equal(t, call(t, p, plain, "a").Outcome, Complete)
	assert.Equal(t, call(t, p, announcing, "a").Outcome, Complete)
	assert.Equal(t, idleTime(plain), 8*time.Second)
	assert.Equal(t, idleTime(announcing), 1600*time.Millisecond)

	// A connection that the endpoint closed first lowers the learned idle time.
	p.mu.Lock()
	h := p.hosts[hostKey{plain.Address, plain.Instance}]
	c := h.idle[0]
	c.idleSince = time.Now().Add(-time.Second)
	c.CloseRead() // looks like a close by the endpoint
	p.mu.Unlock()
	assert.Assert(t, call(t, p, plain, "b").NewConnection)
	assert.Assert(t, idleTime(plain) >= 800*time.Millisecond && idleTime(plain) < 8*time.Second, "%v", idleTime(plain))

	// An expired connection is closed by Sweep, and not used before that.
	for _, target := range []Target{plain, announcing} {
		p.mu.Lock()
		c := p.hosts[hostKey{target.Address, target.Instance}].idle[0]
		c.expiresAt = time.Now()
		p.mu.Unlock()
	}
	assert.Assert(t, call(t, p, announcing, "c").NewConnection)
	p.Sweep()
	open, _ := p.Open(plain)
	assert.Equal(t, open, 0)
	open, _ = p.Open(announcing)
	assert.Equal(t, open, 1)
}

func TestPool_Concurrent(t *testing.T) {
	target := startEcho(t, "")
	p := newTestPool(t)
	var done sync.WaitGroup
	for g := range 8 {
		done.Go(func() {
			for i := range 50 {
				id := fmt.Sprintf("%d-%d", g, i)
				ctx, cancel := context.WithCancel(context.Background())
				r := p.Call(ctx, target, post(id, "x"), longWait)
				cancel()
				assert.Check(t, r.Outcome == Complete && r.Response.AttemptID == id)
			}
		})
	}
	done.Wait()
	counts := p.Counts()
	assert.Equal(t, counts.Open, counts.Idle)
	assert.Assert(t, counts.Opened <= 8, "%d", counts.Opened)
}

func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		in := make([]byte, 4096)
		response := []byte(validResponse("a", "ok"))
		for {
			if _, err := c.Read(in); err != nil {
				return
			}
			c.Write(response)
		}
	}()
	p := NewPool(Config{})
	defer p.Close()
	target := Target{Address: listener.Addr().String(), Instance: "i"}
	q := post("a", "body")
	b.ReportAllocs()
	for b.Loop() {
		r := p.Call(context.Background(), target, q, longWait)
		if r.Outcome != Complete {
			b.Fatal(r.Outcome, r.Err)
		}
		p.hosts[hostKey{target.Address, target.Instance}].idle[0].recentAttempts = [recentAttemptCount]uint64{}
	}
}
