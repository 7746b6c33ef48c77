package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

// A connection that was kept and is reset under the next request says nothing of whether that has run.
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
		assertUnstamped(t, got)
		assert.Equal(t, len(e.Requests()), 2)
	}
}

// Endpoints that crash under an attempt, and such as nobody is at, are not run on beyond max_attempts.
func TestAttempts_CrashedEndpointsCount(t *testing.T) {
	for target, most := range map[string]int{"/plain/x": 2, "/single/x": 1, "/once/x": 1} {
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
			assert.Assert(t, arrived >= 1 && arrived <= most, "%d endpoints got it, %d may", arrived, most)
		}
	}
}

// What is told at a send that comes long after the first is what is left then, by the client's time and by the route's.
func TestAttempts_DeadlineShrinksByElapsedTime(t *testing.T) {
	const gone = 500 * time.Millisecond
	for fields, own := range map[string]int{"X-Deadline-Ms: 3000\r\n": 3000, "X-Deadline-Ms: 90000\r\n": 20000, "": 20000} {
		a, b := twoEndpoints(t, func(x *tiertest.ReceivedRequest) {
			arrived := time.Now()
			tiertest.WaitUntil(t, "time has gone", func() bool { return time.Since(arrived) > gone })
			x.Reset()
		})
		r := startGateway(t, a, b)
		assertAnswer(t, r.post("/plain/x", "a-1", fields, "b"), 200, "second")
		var told []int
		for _, x := range append(a.Requests(), b.Requests()...) {
			ms, err := strconv.Atoi(x.Header.Get("X-Deadline-Ms"))
			assert.NilError(t, err)
			told = append(told, ms)
		}
		assert.Equal(t, len(told), 2)
		first, second := max(told[0], told[1]), min(told[0], told[1])
		assert.Assert(t, first <= own && second <= own-int(gone.Milliseconds()), "told %v of %d", told, own)
	}
}

// A client that takes nothing of a stream, and leaves, ends the endpoint's work too.
func TestStream_AbortedForClientThatReadsNothing(t *testing.T) {
	at, gone := make(chan struct{}, 1), make(chan time.Time, 1)
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		at <- struct{}{}
		a.WriteStreamHead()
		text := tiertest.EventText(1, strings.Repeat("x", 1<<16))
		for n := 1; ; n++ {
			text := strings.Replace(text, "id: 1\n", fmt.Sprintf("id: %d\n", n), 1)
			if !a.TryWriteText(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) {
				break
			}
		}
		gone <- time.Now()
	})
	r := startGateway(t, e)
	retryTimingTest(t, func(try int) time.Duration {
		c := tiertest.Connect(t, r.ingress)
		c.Send(tiertest.Post("/stream/x", fmt.Sprintf("a-%d", try), "", "b"))
		tiertest.WaitFor(t, "the request arrives", at)
		assert.Equal(t, c.ReadHead().StatusCode, http.StatusOK)
		left := time.Now()
		c.Conn.Close()
		return tiertest.WaitFor(t, "the endpoint's connection ends", gone).Sub(left)
	})
}
