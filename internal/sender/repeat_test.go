package sender

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dockshift.example/dockshift/brain"
	st "dockshift.example/dockshift/internal/sendertest"
)

// A repeat is decided on while its key is remembered, and its connection comes up when it no longer is: it is not
// written. (A receiver that vanishes lets connections come up when it is back, a second or more later.)
func TestRepeatOnALateConnection(t *testing.T) {
	t.Parallel()
	const window = 800 * time.Millisecond
	e := st.NewEndpoint(t, st.Silent) // the first attempt times out half-way through the window
	p := st.NewPlatform(t, e.Addr)
	var dials atomic.Int32
	began := make(chan time.Time, 1)
	addr := runWith(t, p, func(c *Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].KeyWindow = window
		}
	}, func(s *Sender) {
		s.pool.dialer.Control = func(string, string, syscall.RawConn) error {
			if dials.Add(1) == 1 {
				began <- time.Now()
				return nil
			}
			time.Sleep(time.Until((<-began).Add(window + 100*time.Millisecond))) // it comes up after that
			return nil
		}
	})
	st.HandIn(t, addr, "m", "keyed", 0, 10*time.Second)
	e.Next(t)
	if n := st.Receive(t, p.Notices); n.Message != "m" || n.Outcome != "given_up" {
		t.Errorf("%+v", n)
	}
	if dials.Load() < 2 {
		t.Error("no repeat was tried")
	}
	if len(e.Calls) != 0 {
		t.Error("it was sent again after its key was forgotten")
	}
}

// What is not written in its time is not sent, and a connection that came up too late is kept for the next call.
func TestCallWithin(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	p := newPool(&Config{ConnectTimeout: st.Wait, Limits: Limits{Sockets: 64}})
	p.most, p.keep = 10, st.Wait
	at := &endpoint{addr: e.Addr}
	call := func(within time.Duration) brain.AttemptEnd {
		ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
		defer cancel()
		end, _ := p.call(ctx, at, tickets(record{ID: "id"}, within), st.Wait)
		return end
	}
	if end := call(0); end.Outcome != brain.NotSent {
		t.Errorf("with no time at all: %+v", end)
	}
	if end := call(st.Wait); end.Outcome != brain.Served {
		t.Errorf("with time: %+v", end)
	}
	if end := call(-time.Second); end.Outcome != brain.NotSent || p.idle.Load() != 1 {
		t.Errorf("with its time over: %+v, %d idle", end, p.idle.Load())
	}
	if end := call(st.Wait); end.Outcome != brain.Served {
		t.Errorf("on the connection that was kept: %+v", end)
	}
	if len(e.Calls) != 2 || e.Next(t).Conn != 1 || e.Next(t).Conn != 1 {
		t.Error("the calls did not go on one connection")
	}
}
