package calls

import (
	"context"
	"syscall"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// tickets returns a ticket for one message, whose permit expires after within.
func tickets(m Message, within time.Duration) []Ticket {
	return []Ticket{{m, &Permit{Until: time.Now().Add(within), Cancel: func() {}}}}
}

// If a permit is revoked while connecting, nothing is written, and the connection is used for the next call.
func TestPermit_RevokedWhileConnecting(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	p := NewPool(Config{ConnectTimeout: st.Wait})
	p.maxIdle, p.idleTimeout = 10, st.Wait
	at := &Endpoint{addr: e.Addr}
	ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
	defer cancel()
	late := tickets(Message{ID: "late"}, st.Wait)
	p.Dialer.Control = func(string, string, syscall.RawConn) error {
		if !late[0].Revoke() {
			t.Error("the permit was used before the connection was established")
		}
		return nil
	}
	if result, _ := p.Call(ctx, at, late, st.Wait); result.Outcome != brain.NotSent || p.idle.Load() != 1 {
		t.Errorf("%+v, %d idle", result, p.idle.Load())
	}
	p.Dialer.Control = nil
	fine := tickets(Message{ID: "fine"}, st.Wait)
	if result, _ := p.Call(ctx, at, fine, st.Wait); result.Outcome != brain.Served {
		t.Errorf("%+v", result)
	}
	if fine[0].Revoke() {
		t.Error("a used permit was revoked")
	}
	if c := e.Next(t); c.ID != "fine" || c.Conn != 1 || len(e.Calls) > 0 {
		t.Errorf("the endpoint received %s on connection %d", c.ID, c.Conn)
	}
}

// Of the messages of a batch, only those with a valid permit are written.
func TestPermit_BatchWritesWhatIsLeft(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	p := testPool()
	at := &Endpoint{addr: e.Addr, format: formatOf(Batched)}
	all := append(tickets(Message{ID: "one"}, st.Wait), tickets(Message{ID: "two"}, st.Wait)...)
	all = append(all, tickets(Message{ID: "three"}, -time.Second)...)
	all[0].Revoke()
	ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
	defer cancel()
	if result, _ := p.Call(ctx, at, all, st.Wait); result.Outcome != brain.Served {
		t.Errorf("%+v", result)
	}
	c := e.Next(t)
	if ids := st.BatchIDs(t, c); len(ids) != 1 || ids[0] != "two" || !all[2].Revoked() {
		t.Errorf("messages %v were written, want two", ids)
	}
}

// A message whose permit has expired is not written, and the connection is kept for the next call.
func TestPermit_ExpiresWhileConnecting(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	p := NewPool(Config{ConnectTimeout: st.Wait})
	p.maxIdle, p.idleTimeout = 10, st.Wait
	at := &Endpoint{addr: e.Addr}
	call := func(within time.Duration) brain.AttemptResult {
		ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
		defer cancel()
		result, _ := p.Call(ctx, at, tickets(Message{ID: "id"}, within), st.Wait)
		return result
	}
	if result := call(0); result.Outcome != brain.NotSent {
		t.Errorf("with a permit that expires at once: %+v", result)
	}
	if result := call(st.Wait); result.Outcome != brain.Served {
		t.Errorf("with a valid permit: %+v", result)
	}
	if result := call(-time.Second); result.Outcome != brain.NotSent || p.idle.Load() != 1 {
		t.Errorf("with an expired permit: %+v, %d idle", result, p.idle.Load())
	}
	if result := call(st.Wait); result.Outcome != brain.Served {
		t.Errorf("on the kept connection: %+v", result)
	}
	if len(e.Calls) != 2 || e.Next(t).Conn != 1 || e.Next(t).Conn != 1 {
		t.Error("the calls were not made on one connection")
	}
}

// The address of an endpoint changes while a connection to the old address is established. Nothing is written there, as an endpoint of
// another destination may listen at it by now, and the next call is made to the new address.
func TestCall_EndpointMovesWhileConnecting(t *testing.T) {
	t.Parallel()
	old, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := NewPool(Config{ConnectTimeout: st.Wait})
	p.maxIdle, p.idleTimeout = 10, st.Wait
	at := &Endpoint{addr: old.Addr}
	p.Dialer.Control = func(string, string, syscall.RawConn) error {
		at.mu.Lock()
		defer at.mu.Unlock()
		at.addr = other.Addr
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
	defer cancel()
	if result, _ := p.Call(ctx, at, tickets(Message{ID: "m"}, st.Wait), st.Wait); result.Outcome != brain.NotSent {
		t.Errorf("%+v", result)
	}
	if result, _ := p.Call(ctx, at, tickets(Message{ID: "m"}, st.Wait), st.Wait); result.Outcome != brain.Served {
		t.Errorf("the next call: %+v", result)
	}
	if other.Next(t); len(old.Calls) != 0 {
		t.Error("the old address received a call")
	}
}
