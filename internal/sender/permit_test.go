package sender

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	st "saffronyard.example/saffronyard/internal/sendertest"
)

// lateDials delays the connects of a sender, while blocked is set, until their call is cancelled or for the time late: long enough
// for the sender to process what a test does meanwhile.
type lateDials struct {
	blocked atomic.Bool
	pending atomic.Int32
	begun   chan struct{}
	late    time.Duration
}

func (d *lateDials) install(s *Sender) {
	d.begun = make(chan struct{}, 1000)
	s.pool.Dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		if !d.blocked.Load() {
			return nil
		}
		d.pending.Add(1)
		defer d.pending.Add(-1)
		d.begun <- struct{}{}
		t := time.NewTimer(d.late)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		return nil
	}
}

func slowConnects(c *Config) { c.ConnectTimeout = st.Wait }

// When a response demands a wait, calls to the same destination that still connect must wait too: those to the endpoint that
// demanded it, and those to another endpoint.
func TestPermit_RetryAfterWhileConnecting(t *testing.T) {
	t.Parallel()
	for _, endpoints := range []int{1, 2} {
		t.Run(strconv.Itoa(endpoints), func(t *testing.T) {
			t.Parallel()
			const wait = 3 * time.Second
			reject, rejectedAt := make(chan struct{}), make(chan time.Time, 1)
			answer := func(c st.Call, nc net.Conn) bool {
				if c.ID != "first" { // so that each call connects
					return st.Status(200, "Connection: close")(c, nc)
				}
				<-reject
				rejectedAt <- time.Now()
				return st.Status(429, "X-RateLimit-Wait-Ms: "+strconv.FormatInt(wait.Milliseconds(), 10))(c, nc)
			}
			e, other := st.NewEndpoint(t, answer), st.NewEndpoint(t, answer)
			next := func() string {
				select {
				case c := <-e.Calls:
					return c.ID
				case c := <-other.Calls:
					return c.ID
				case <-time.After(st.Wait):
					t.Fatal("timed out waiting for a call")
					panic("unreachable")
				}
			}
			p := st.NewPlatform(t, e.Addr)
			dials := lateDials{late: wait / 4}
			addr := runWith(t, p, slowConnects, dials.install)
			for _, id := range []string{"warm1", "warm2"} { // the window grows
				st.Submit(t, addr, st.Submission{ID: id, Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
				next()
			}
			st.Submit(t, addr, st.Submission{ID: "first", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
			if id := next(); id != "first" {
				t.Fatal(id)
			}
			dials.blocked.Store(true)
			if endpoints == 2 {
				p.Change(st.Target("s-other", other.Addr, 0, "SERVING"))
			}
			st.Submit(t, addr, st.Submission{ID: "second", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
			st.Receive(t, dials.begun)
			close(reject)
			from := st.Receive(t, rejectedAt)
			if id := next(); time.Since(from) < wait {
				t.Errorf("%s was sent %v after a response that demanded a wait of %v", id, time.Since(from), wait)
			}
		})
	}
}

// An endpoint that drains while a call to it connects gets no request; the message is sent to another endpoint.
func TestPermit_DrainWhileConnecting(t *testing.T) {
	t.Parallel()
	e, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	dials := lateDials{late: 2 * time.Second}
	dials.blocked.Store(true)
	addr := runWith(t, p, slowConnects, dials.install)
	st.Submit(t, addr, st.Submission{ID: "m", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
	st.Receive(t, dials.begun)
	dials.blocked.Store(false)
	p.Change(st.Target("s-0", e.Addr, 0, "DRAINING"))
	p.Change(st.Target("s-1", other.Addr, 0, "SERVING"))
	if c := other.Next(t); c.ID != "m" {
		t.Error(c.ID)
	}
	if len(e.Calls) > 0 {
		t.Error("the endpoint got a call after it drained")
	}
}

// A call that was decided on before an outage, and still connects, loses its permit when the outage is detected: its message is
// then sent like the others for that destination, one at a time. Otherwise the message would wait for its connection until its deadline.
func TestPermit_OutageWhileConnecting(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.ID[0] == 'f' {
			return st.Reset(c, nc)
		}
		return st.Status(200, "Connection: close")(c, nc) // each call connects
	})
	p := st.NewPlatform(t, e.Addr)
	dials := lateDials{late: st.Wait}
	addr := runWith(t, p, slowConnects, dials.install)
	for _, id := range []string{"warm1", "warm2"} { // the window grows
		st.Submit(t, addr, st.Submission{ID: id, Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
		e.Next(t)
	}
	dials.blocked.Store(true)
	st.Submit(t, addr, st.Submission{ID: "second", Class: "unsafe", Destination: 0, Deadline: 12 * time.Second})
	st.Receive(t, dials.begun)
	dials.blocked.Store(false)
	for i := range 8 { // enough consecutive failures for an outage
		id := "f" + strconv.Itoa(i)
		st.Submit(t, addr, st.Submission{ID: id, Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
		if c := e.Next(t); c.ID != id {
			t.Fatalf("%s was sent before %s", c.ID, id)
		}
	}
	if c := e.Next(t); c.ID != "second" {
		t.Error(c.ID)
	}
}

// A repeat that is decided on within the key window must not be written if its connection is established only after the window.
// (If a receiver vanishes, connects to it succeed once it is back, a second or more later.)
func TestPermit_KeyWindowEndsWhileConnecting(t *testing.T) {
	t.Parallel()
	const window = 800 * time.Millisecond
	e := st.NewEndpoint(t, st.Unresponsive) // the first attempt times out half-way through the window
	p := st.NewPlatform(t, e.Addr)
	var dials atomic.Int32
	began := make(chan time.Time, 1)
	addr := runWith(t, p, func(c *Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].IdempotencyKeyTTL = window
		}
	}, func(s *Sender) {
		s.pool.Dialer.Control = func(string, string, syscall.RawConn) error {
			if dials.Add(1) == 1 {
				began <- time.Now()
				return nil
			}
			time.Sleep(time.Until((<-began).Add(window + 100*time.Millisecond))) // the connect succeeds after the window
			return nil
		}
	})
	st.Submit(t, addr, st.Submission{ID: "m", Class: "keyed", Destination: 0, Deadline: 10 * time.Second})
	e.Next(t)
	if n := st.Receive(t, p.Notices); n.Message != "m" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	if dials.Load() < 2 {
		t.Error("no repeat was tried")
	}
	if len(e.Calls) != 0 {
		t.Error("the message was sent again after its key window")
	}
}
