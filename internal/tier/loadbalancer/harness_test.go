package loadbalancer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// harness drives one Balancer with a simulated clock.
type harness struct {
	*testing.T
	balancer *Balancer
	now      time.Duration
	list     []Endpoint
}

// newHarness lists perZone endpoints of service s in each of the zones a to d; the sender is in zone a.
func newHarness(t *testing.T, perZone, capacity int) *harness {
	t.Helper()
	r := &harness{T: t, balancer: New("a", "sender"), now: time.Hour}
	for i := range 4 * perZone {
		r.list = append(r.list, Endpoint{Instance: fmt.Sprintf("i%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i),
			Zone: string(rune('a' + i%4)), Capacity: capacity})
	}
	r.balancer.SetEndpoints(r.now, r.list)
	return r
}

func newRequest() Request {
	return Request{Route: "r", Service: "s", Retryable: true, FirstAttempt: true, Remaining: 10 * time.Second}
}

func newSessionRequest(i int) Request {
	a := newRequest()
	a.Retryable, a.AffinityKey = false, fmt.Sprintf("session %d", i)
	return a
}

func (r *harness) send(a Request) Selection {
	r.Helper()
	c := r.balancer.Pick(r.now, a)
	assert.Equal(r, c.Decision, Send)
	return c
}

func (r *harness) serve(n int, a Request, took time.Duration) {
	r.Helper()
	for range n {
		c := r.send(a)
		r.now += took
		r.balancer.Done(r.now, c.Call, Outcome{Kind: Served, Latency: took})
	}
}

func (r *harness) serveSession(i int) string {
	r.Helper()
	c := r.send(newSessionRequest(i))
	r.balancer.ResponseStarted(r.now, c.Call)
	r.balancer.Done(r.now, c.Call, Outcome{Kind: Served, Latency: ms})
	return c.Instance
}
