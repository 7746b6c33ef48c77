package controlplane

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// post calls the API with a JSON body.
func (h *harness) post(path, body string) *httptest.ResponseRecorder {
	return h.call(http.MethodPost, path, nil, strings.NewReader(body))
}

// get calls the API without a body.
func (h *harness) get(path string) *httptest.ResponseRecorder {
	return h.call(http.MethodGet, path, nil, nil)
}

// assertReply checks a status and a body.
func assertReply(t *testing.T, reply *httptest.ResponseRecorder, status int, body string) {
	t.Helper()
	assert.Equal(t, reply.Code, status, "%s", reply.Body)
	if body != "" {
		assert.Equal(t, reply.Body.String(), body)
	}
}

// The wire format is that of the operators' documentation.
func TestCoordination_Wire(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertReply(t, h.post("Locks.Create/l1f", `{"holder":"a3.7","hold_time_ms":3000}`), 200, `{"fence":1}`)
		assertReply(t, h.post("Locks.Create/l1f", `{"holder":"b","hold_time_ms":3000}`), 409, "")
		assertReply(t, h.post("Locks.Heartbeat/l1f", `{"holder":"a3.7","fence":1,"hold_time_ms":3000}`), 200, `{}`)
		assertReply(t, h.post("Locks.Heartbeat/l1f", `{"holder":"b","fence":1,"hold_time_ms":3000}`), 409, "")
		assertReply(t, h.post("Locks.Delete/l1f", `{"holder":"a3.7","fence":1}`), 200, `{}`)
		assertReply(t, h.post("Locks.Delete/l1f", `{"holder":"a3.7","fence":1}`), 200, `{}`)
		assertReply(t, h.post("numbers/n2", `{}`), 200, `{"value":1}`)
		assertReply(t, h.post("Cells.Replace/g1.2d", `{"value":"5c0e","enabled":0}`), 200, `{"etag":1}`)
		assertReply(t, h.post("Cells.Replace/g1.2d", `{"value":"6d","enabled":0}`), 412, `{"etag":1}`)
		assertReply(t, h.post("Cells.Replace/g1.2e", `{"value":"7e"}`), 200, `{"etag":2}`)
		assertReply(t, h.get("Cells.Describe/g1.2d"), 200, `{"value":"5c0e","etag":1}`)
		assertReply(t, h.get("Cells.Describe/g1.none"), 404, "")
		assertReply(t, h.get("watch/g1.?after=1&wait_time_ms=2000"), 200, `{"events":[{"name":"g1.2e","value":"7e","etag":2}],"etag":2}`)
		assertReply(t, h.get("watch/g1.?after=0&wait_time_ms=2000"), 200, `{"events":[],"etag":2}`)
		began := time.Now()
		assertReply(t, h.get("watch/g1.?after=2&wait_time_ms=2000"), 200, `{"events":[],"etag":2}`)
		assert.Equal(t, time.Since(began).Round(10*time.Millisecond), 2*time.Second)
	})
}

func TestCoordination_BadInput(t *testing.T) {
	withHarness(t, func(h *harness) {
		for _, c := range []struct {
			name, method, path, body string
			status                   int
		}{
			{"no JSON", "POST", "Locks.Create/l", `x`, 400},
			{"no holder", "POST", "Locks.Create/l", `{"hold_time_ms":1}`, 400},
			{"no hold time", "POST", "Locks.Create/l", `{"holder":"a"}`, 400},
			{"a hold time of hours", "POST", "Locks.Create/l", `{"holder":"a","hold_time_ms":36000000}`, 400},
			{"no fence", "POST", "Locks.Heartbeat/l", `{"holder":"a","hold_time_ms":1}`, 400},
			{"no name", "POST", "Locks.Create/", `{"holder":"a","hold_time_ms":1}`, 400},
			{"a long name", "POST", "numbers/" + strings.Repeat("n", 257), `{}`, 400},
			{"no value", "POST", "Cells.Replace/g.a", `{}`, 400},
			{"a long value", "POST", "Cells.Replace/g.a", `{"value":"` + strings.Repeat("v", 16<<10+1) + `"}`, 400},
			{"a revision below 0", "POST", "Cells.Replace/g.a", `{"value":"v","enabled":-1}`, 400},
			{"a body that is too large", "POST", "Cells.Replace/g.a", `{"value":"` + strings.Repeat("v", 64<<10) + `"}`, 413},
			{"after is no number", "GET", "watch/g.?after=x", "", 400},
			{"wait is no number", "GET", "watch/g.?after=1&wait_time_ms=x", "", 400},
			{"another method", "GET", "numbers/n", "", 405},
			{"no such call", "POST", "Locks.Steal/l", `{}`, 404},
		} {
			t.Run(c.name, func(t *testing.T) {
				assertReply(t, h.call(c.method, c.path, nil, strings.NewReader(c.body)), c.status, "")
			})
		}
		assert.Equal(t, len(h.store.puts), 1, "the epoch marker alone was written: %v", h.store.puts)
	})
}

// A 503 guarantees that the call had no effect, so a write with an unknown outcome gets a 504.
func TestCoordination_OutcomeUnknown(t *testing.T) {
	for _, lost := range []bool{false, true} {
		withHarness(t, func(h *harness) {
			assertReply(t, h.post("numbers/n", `{}`), 200, `{"value":1}`)
			h.store.set(func() { h.store.failPut = func(map[string][]byte) (bool, bool) { return lost, true } })
			assertReply(t, h.post("numbers/n", `{}`), 504, "")
			h.store.set(func() { h.store.failPut = nil })
			want := `{"value":3}`
			if lost {
				want = `{"value":2}`
			}
			assertReply(t, h.post("numbers/n", `{}`), 200, want)
		})
	}
}

// A primary whose backups do not confirm answers no call, and a deposed primary ends the watches that it holds.
func TestCoordination_DeposedPrimary(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertReply(t, h.post("Cells.Replace/g.a", `{"value":"v"}`), 200, `{"etag":1}`)
		h.store.set(func() { h.store.unconfirmed = true })
		assertReply(t, h.get("Cells.Describe/g.a"), 503, "")
		h.store.set(func() { h.store.unconfirmed = false })
		assertReply(t, h.get("Cells.Describe/g.a"), 200, `{"value":"v","etag":1}`)

		watched := make(chan *httptest.ResponseRecorder, 1)
		go func() { watched <- h.get("watch/g.?after=1&wait_time_ms=30000") }()
		h.advance(time.Second)
		h.store.set(func() { h.store.primary, h.store.hint = false, "10.0.0.2:7380" })
		h.advance(time.Second)
		reply := <-watched
		assert.Equal(t, reply.Code, http.StatusTemporaryRedirect)
		assert.Equal(t, reply.Header().Get("Location"), "http://10.0.0.2:8144/saffronyard/watch/g.?after=1&wait_time_ms=30000")
		assert.Equal(t, h.post("numbers/n", `{}`).Code, http.StatusTemporaryRedirect)
	})
}

// A new primary continues from the stored records, and locks stay held for their full hold time.
func TestCoordination_NextEpoch(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertReply(t, h.post("Locks.Create/l", `{"holder":"a","hold_time_ms":3000}`), 200, `{"fence":1}`)
		h.advance(2 * time.Second)
		h.store.set(func() { h.store.epoch += 1 << 12 })
		h.advance(2500 * time.Millisecond)
		assertReply(t, h.post("Locks.Create/l", `{"holder":"b","hold_time_ms":3000}`), 409, "")
		h.advance(time.Second)
		assertReply(t, h.post("Locks.Create/l", `{"holder":"b","hold_time_ms":3000}`), 200, `{"fence":2}`)
	})
}

// Concurrent calls share a write.
func TestCoordination_GroupCommit(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertReply(t, h.post("numbers/n", `{}`), 200, "")
		h.store.set(func() { h.store.putDelay = 10 * time.Millisecond })
		began := time.Now()
		replies := make(chan int, 50)
		for range 50 {
			go func() { replies <- h.post("numbers/n", `{}`).Code }()
		}
		for range 50 {
			assert.Equal(t, <-replies, 200)
		}
		assert.Assert(t, time.Since(began) < 40*time.Millisecond, "%v", time.Since(began))
		assertReply(t, h.post("numbers/n", `{}`), 200, `{"value":52}`)
	})
}
