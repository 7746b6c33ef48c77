package gateway_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

func TestHandler_RoutesByHostAndLongestPrefix(t *testing.T) {
	s := tiertest.NewEndpoint(t, "i-s", "s", echo("s"))
	deep := tiertest.NewEndpoint(t, "i-deep", "deep", echo("deep"))
	r := startGateway(t, s, deep)
	assertAnswer(t, r.post("/plain/x?q=1", "a-1", "", "b"), 200, "s:b")
	assertAnswer(t, r.post("/plain/deep/x", "a-2", "", "b"), 200, "deep:b")
	assertAnswer(t, r.post("/plain/deepest/x", "a-3", "", "b"), 200, "s:b")
	assert.Equal(t, r.post("/none/x", "a-4", "", "b").Status, 404)
	assert.Equal(t, r.post("/plain", "a-5", "", "b").Status, 404)
	assert.Equal(t, r.do("GET /plain/x HTTP/1.1\r\nHost: other.example\r\nX-Attempt-Id: a-6\r\n\r\n").Status, 404)
	assert.Equal(t, r.post("/plain/x", "", "", "b").Status, 400)
	assert.Equal(t, r.post("/plain/x", "a-7", "X-Deadline-Ms: soon\r\n", "b").Status, 400)
	assert.Equal(t, len(s.Requests()), 2)
	assert.Equal(t, s.Requests()[0].RequestURI, "/plain/x?q=1")
	assert.Equal(t, len(deep.Requests()), 1)
}

func TestHandler_PassesAnswerUnchanged(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) { a.Respond(418, "X-Own: kept\r\n", "a teapot") })
	r := startGateway(t, e)
	got := r.post("/once/x", "a-1", "", "b")
	assertAnswer(t, got, 418, "a teapot")
	assert.Equal(t, got.Header.Get("X-Own"), "kept")
	assert.Equal(t, got.Header.Get("X-Response-Signature"), "s.a-1")
	assert.Equal(t, got.Header.Get("X-Attempt-Id"), "a-1")
}

func TestHandler_NoEndpoint(t *testing.T) {
	dead := tiertest.NewEndpoint(t, "i-dead", "s", echo("s"))
	dead.Listener.Close()
	r := startGateway(t, dead)
	for _, target := range []string{"/plain/x", "/once/x", "/stream/x", "/turn/x", "/plain/deep/x"} {
		assertNotExecuted(t, r.post(target, "a"+target, "X-Deadline-Ms: 1500\r\n", "b"))
	}
}

func TestHandler_DeadlineExceeded(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", (*tiertest.ReceivedRequest).AwaitClose)
	r := startGateway(t, e)
	assert.Equal(t, r.post("/once/x", "a-1", "X-Deadline-Ms: 100\r\n", "b").Status, 504)
	assert.Equal(t, len(e.Requests()), 1)
}

// A deadline beyond the route's time-out, however large, is limited to it; one that is not a number from 0 up is rejected.
func TestHandler_DeadlinesOutOfRange(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", echo("s"))
	r := startGateway(t, e)
	for _, v := range []string{"1e30", "99999999999999999999", "1e300"} { // longer than the route's time-out
		assertAnswer(t, r.post("/plain/x", "a-"+v, "X-Deadline-Ms: "+v+"\r\n", "b"), 200, "s:b")
	}
	for _, v := range []string{"NaN", "-1", "x", "1 2"} {
		assert.Equal(t, r.post("/plain/x", "a", "X-Deadline-Ms: "+v+"\r\n", "b").Status, 400, v)
	}
}

// TestRequest_EndsWithClient: the endpoint's connection ends soon after the client's, before and after the first event, whether the
// client closes or resets its connection.
func TestRequest_EndsWithClient(t *testing.T) {
	for _, target := range []string{"/plain/x", "/once/x", "/stream/x", "/turn/x"} {
		for _, begun := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(target, begun, reset), func(t *testing.T) {
					t.Parallel()
					arrived, gone := make(chan struct{}, 1), make(chan time.Time, 1)
					e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
						if begun {
							beginStream(a, 1)
						}
						arrived <- struct{}{}
						a.AwaitClose()
						gone <- time.Now()
					})
					r := startGateway(t, e)
					eventuallyWithinLimit(t, func(try int) time.Duration {
						c := tiertest.Connect(t, r.ingress)
						c.Send(tiertest.Post(target, fmt.Sprintf("a-%d", try), "", "b"))
						tiertest.WaitFor(t, "the request arrives", arrived)
						if reset {
							c.Conn.(*net.TCPConn).SetLinger(0)
						}
						closedAt := time.Now()
						c.Conn.Close()
						took := tiertest.WaitFor(t, "the endpoint's connection ends", gone).Sub(closedAt)
						assert.Equal(t, len(e.Requests()), try+1, "the request was sent again")
						return took
					})
				})
			}
		}
	}
}
