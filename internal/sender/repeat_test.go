package sender

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	st "saffronyard.example/saffronyard/internal/sendertest"
)

// A repeat is decided on while its key is remembered, and its connection comes up when it no longer is: it is not
// written. (A receiver that vanishes lets connections come up when it is back, a second or more later.)
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
			time.Sleep(time.Until((<-began).Add(window + 100*time.Millisecond))) // it comes up after that
			return nil
		}
	})
	st.Submit(t, addr, st.Submission{ID: "m", Class: "keyed", Destination: 0, Deadline: 10 * time.Second})
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
