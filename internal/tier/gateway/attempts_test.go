package gateway_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

func TestAttempts_RequestSentToEndpoint(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", echo("s"))
	r := startGateway(t, e)
	assertAnswer(t, r.post("/plain/x", "a-1", "X-Deadline-Ms: 9000\r\nX-Own: kept\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Target-Instance: i-other\r\n", "b"), 200, "s:b")
	assertAnswer(t, r.post("/once/x", "a-2", "", "b"), 200, "s:b")
	got := e.Requests()
	for i, limit := range []int{9000, 20000} {
		h := got[i].Header
		remaining, err := strconv.Atoi(h.Get("X-Deadline-Ms"))
		assert.NilError(t, err)
		assert.Assert(t, 0 < remaining && remaining <= limit, "%d ms left of %d", remaining, limit)
		assert.DeepEqual(t, h.Values("X-Target-Instance"), []string{"i-1"})
		assert.DeepEqual(t, h.Values("X-Attempt-Id"), []string{"a-" + strconv.Itoa(i+1)})
		assert.Equal(t, got[i].Host, "h.example")
	}
	assert.Equal(t, got[0].Header.Get("X-Own"), "kept")
	assert.Equal(t, got[0].Header.Get("X-Hop"), "")
}

func TestAttempts_BrokenConnection(t *testing.T) {
	for name, ends := range map[string]func(*tiertest.ReceivedRequest){
		"reset": (*tiertest.ReceivedRequest).Reset,
		"close": (*tiertest.ReceivedRequest).Close,
		"cut": func(x *tiertest.ReceivedRequest) {
			x.WriteText("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + x.AttemptID + "\r\nX-Response-Signature: s\r\nContent-Length: 9\r\n\r\nhalf")
			x.Close()
		},
		"noise":                     func(x *tiertest.ReceivedRequest) { x.WriteText("\x00\x01\x02 no answer\r\n\r\n"); x.AwaitClose() },
		"no signature":              func(x *tiertest.ReceivedRequest) { x.RespondUnsigned(200, "") },
		"answer of another attempt": func(x *tiertest.ReceivedRequest) { x.AttemptID = "other"; x.Respond(200, "", "other"); x.Close() },
		"bare 503":                  func(x *tiertest.ReceivedRequest) { x.RespondUnsigned(503, "Retry-After: 1\r\n") },
		"bare 429":                  func(x *tiertest.ReceivedRequest) { x.RespondUnsigned(429, "Retry-After: 1\r\n") },
		"bare 408":                  func(x *tiertest.ReceivedRequest) { x.RespondUnsigned(408, "") },
		"signed 503":                func(x *tiertest.ReceivedRequest) { x.Respond(503, "Retry-After: 1\r\n", "") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Run("idempotent", func(t *testing.T) {
				a, b := twoEndpoints(t, ends)
				r := startGateway(t, a, b)
				assertAnswer(t, r.post("/plain/x", "a-1", "", "b"), 200, "second")
				assert.Equal(t, len(a.Requests()), 1)
				assert.Equal(t, len(b.Requests()), 1)
			})
			for _, route := range []struct{ name, path string }{{"non-idempotent", "/once/x"}, {"max_attempts 1", "/single/x"}} {
				t.Run(route.name, func(t *testing.T) {
					a, b := twoEndpoints(t, ends)
					r := startGateway(t, a, b)
					got := r.post(route.path, "a-1", "", "b")
					assert.Equal(t, got.Status, 502)
					assertUnsigned(t, got)
					assert.Equal(t, len(a.Requests())+len(b.Requests()), 1)
				})
			}
			t.Run("streaming", func(t *testing.T) {
				a, b := twoEndpoints(t, ends)
				r := startGateway(t, a, b)
				got := r.post("/stream/x", "a-1", "", "b")
				assert.Assert(t, got.Status == 502 || got.Err != nil, "looks complete: %+v", got)
				assert.Equal(t, len(a.Requests())+len(b.Requests()), 1)
			})
		})
	}
}

func TestAttempts_RejectionIsRetriedElsewhere(t *testing.T) {
	for name, refuses := range map[string]func(*tiertest.ReceivedRequest){
		"503": func(x *tiertest.ReceivedRequest) { x.RespondUnsigned(503, "X-Not-Executed: full\r\n") },
		"429": func(x *tiertest.ReceivedRequest) {
			x.RespondUnsigned(429, "X-Not-Executed: full\r\nRetry-After: 0.5\r\n")
		},
		"signed":       func(x *tiertest.ReceivedRequest) { x.Respond(503, "X-Not-Executed: full\r\n", "full") },
		"another: 421": func(x *tiertest.ReceivedRequest) { x.RespondUnsigned(421, "X-Not-Executed: target\r\n") },
		"bare 421":     func(x *tiertest.ReceivedRequest) { x.RespondUnsigned(421, "") },
	} {
		t.Run(name, func(t *testing.T) {
			for _, target := range []string{"/plain/x", "/once/x"} {
				a, b := twoEndpoints(t, refuses)
				r := startGateway(t, a, b)
				assertAnswer(t, r.post(target, "a-1", "", "b"), 200, "second")
				assert.Equal(t, len(a.Requests()), 1)
				assert.Equal(t, len(b.Requests()), 1)
			}
			for _, target := range []string{"/plain/x", "/once/x", "/stream/x", "/turn/x"} {
				a := tiertest.NewEndpoint(t, "i-a", "s", refuses)
				b := tiertest.NewEndpoint(t, "i-b", "s", refuses)
				c := tiertest.NewEndpoint(t, "i-c", "s", refuses)
				r := startGateway(t, a, b, c)
				assertNotExecuted(t, r.post(target, "a-1", "", "b"))
				assert.Equal(t, len(a.Requests())+len(b.Requests())+len(c.Requests()), 2, "max_attempts is 2")
			}
			a, b := twoEndpoints(t, refuses)
			r := startGateway(t, a, b)
			assertNotExecuted(t, r.post("/single/x", "a-1", "", "b"))
			assert.Equal(t, len(a.Requests())+len(b.Requests()), 1)
		})
	}
}

// If the first attempt may have been executed, the answer is a 502 even if the second attempt is rejected.
func TestAttempts_RejectionAfterBreakIsBadGateway(t *testing.T) {
	a, b := twoEndpoints(t, (*tiertest.ReceivedRequest).Reset)
	refuse := func(own, other *tiertest.Endpoint) func(*tiertest.ReceivedRequest) {
		return func(x *tiertest.ReceivedRequest) {
			if len(other.Requests()) == 0 && x.Order == 0 {
				x.Reset()
				return
			}
			x.RespondUnsigned(503, "X-Not-Executed: full\r\n")
		}
	}
	a.SetHandler(refuse(a, b))
	b.SetHandler(refuse(b, a))
	r := startGateway(t, a, b)
	assert.Equal(t, r.post("/plain/x", "a-1", "", "b").Status, 502)
	assert.Equal(t, len(a.Requests())+len(b.Requests()), 2)
}

// If an idle connection is reset when the next request is sent on it, that request may have been executed, and is not retried.
func TestAttempts_ResetIdleConnectionIsNotRetried(t *testing.T) {
	for _, target := range []string{"/once/x", "/stream/x", "/turn/x"} {
		e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
			if a.AttemptID == "first" {
				a.Respond(200, "", "kept")
				return
			}
			a.Reset()
		})
		r := startGateway(t, e)
		assertAnswer(t, r.post("/plain/x", "first", "", "b"), 200, "kept")
		got := r.post(target, "second", "", "b")
		assert.Equal(t, got.Status, 502)
		assertUnsigned(t, got)
		assert.Equal(t, len(e.Requests()), 2)
	}
}

// Attempts at endpoints that crash count towards max_attempts, also if the list has addresses without a listener.
func TestAttempts_CrashedEndpointsCount(t *testing.T) {
	for target, limit := range map[string]int{"/plain/x": 2, "/single/x": 1, "/once/x": 1} {
		var list []*tiertest.Endpoint
		for i := range 5 {
			list = append(list, tiertest.NewEndpoint(t, fmt.Sprintf("i-%d", i), "s", (*tiertest.ReceivedRequest).Reset))
		}
		for i := range 2 {
			dead := tiertest.NewEndpoint(t, fmt.Sprintf("i-dead-%d", i), "s", nil)
			dead.Listener.Close()
			list = append(list, dead)
		}
		r := startGateway(t, list...)
		for try := range 10 {
			id := fmt.Sprintf("a-%d", try)
			assert.Equal(t, r.post(target, id, "", "b").Status, 502)
			arrived := 0
			for _, e := range list {
				for _, a := range e.Requests() {
					if a.AttemptID == id {
						arrived++
					}
				}
			}
			assert.Assert(t, arrived >= 1 && arrived <= limit, "%d endpoints got the request, at most %d may", arrived, limit)
		}
	}
}

// TestAttempts_DeadlineShrinks: the deadline that an endpoint gets is never more than the remaining time, and less for a later attempt.
func TestAttempts_DeadlineShrinks(t *testing.T) {
	a, b := twoEndpoints(t, func(x *tiertest.ReceivedRequest) { x.Reset() })
	r := startGateway(t, a, b)
	const own = 3000
	for i := range 20 {
		began := time.Now()
		got := r.post("/plain/x", fmt.Sprintf("a-%d", i), fmt.Sprintf("X-Deadline-Ms: %d\r\n", own), "b")
		assertAnswer(t, got, 200, "second")
		took := time.Since(began)
		for _, x := range append(a.Requests(), b.Requests()...) {
			if x.AttemptID == fmt.Sprintf("a-%d", i) {
				ms, err := strconv.Atoi(x.Header.Get("X-Deadline-Ms"))
				assert.NilError(t, err)
				assert.Assert(t, ms > 0 && ms <= own && ms >= own-int(took.Milliseconds())-1, "%d of %d after at most %v", ms, own, took)
			}
		}
	}
	assert.Equal(t, len(a.Requests())+len(b.Requests()), 21)
}

// The deadline sent with an attempt long after the first one is the time that remains by then of the client's deadline or the route's
// time-out.
func TestAttempts_DeadlineShrinksByElapsedTime(t *testing.T) {
	const elapsed = 500 * time.Millisecond
	for fields, own := range map[string]int{"X-Deadline-Ms: 3000\r\n": 3000, "X-Deadline-Ms: 90000\r\n": 20000, "": 20000} {
		a, b := twoEndpoints(t, func(x *tiertest.ReceivedRequest) {
			arrived := time.Now()
			tiertest.WaitUntil(t, "the time has elapsed", func() bool { return time.Since(arrived) > elapsed })
			x.Reset()
		})
		r := startGateway(t, a, b)
		assertAnswer(t, r.post("/plain/x", "a-1", fields, "b"), 200, "second")
		var deadlines []int
		for _, x := range append(a.Requests(), b.Requests()...) {
			ms, err := strconv.Atoi(x.Header.Get("X-Deadline-Ms"))
			assert.NilError(t, err)
			deadlines = append(deadlines, ms)
		}
		assert.Equal(t, len(deadlines), 2)
		first, second := max(deadlines[0], deadlines[1]), min(deadlines[0], deadlines[1])
		assert.Assert(t, first <= own && second <= own-int(elapsed.Milliseconds()), "deadlines %v of %d ms", deadlines, own)
	}
}

// After an attempt failed at an endpoint, the next attempt of its program goes to another endpoint, also through another gateway and
// although the first endpoint ran the turn that it continues.
func TestAttempts_AvoidInstanceOfLastFailure(t *testing.T) {
	a := tiertest.NewEndpoint(t, "i-a", "s", streamTwoEvents)
	b := tiertest.NewEndpoint(t, "i-b", "s", streamTwoEvents)
	first, second := startTwoGateways(t, a, b)
	assertAnswer(t, first.do(turnRequest("t-1", "", "p", "", "in;")), 200, events(twoEvents("t-1")...))
	failing, other := a, b
	if len(b.Requests()) > 0 {
		failing, other = b, a
	}
	failing.SetHandler(resetOf("t-2"))
	assert.Equal(t, first.do(turnRequest("t-2", "t-1", "p", "", "in;")).Status, 502)
	for i, r := range []*harness{second, first} {
		assertAnswer(t, r.do(turnRequest(fmt.Sprint("t-2-", i), "t-1", "p", "", "in;")), 200, events(twoEvents(fmt.Sprint("t-2-", i))...))
	}
	assert.Equal(t, len(failing.Requests()), 2)
	assert.Equal(t, len(other.Requests()), 2)
}
