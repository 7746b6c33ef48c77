package controlplane

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestReplace_AcceptedOnceAndReadBack(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.describe(), 404)
		assertStatus(t, h.replace(0, 3), 200)
		w := h.describe()
		assertStatus(t, w, 200)
		assert.Equal(t, w.Body.String(), string(configuration(3, "s")))
		assert.Equal(t, w.Header().Get("Content-Type"), "application/json")
		confirms := h.store.confirmCount()
		assertStatus(t, h.replace(0, 3), 200) // the same change again
		assert.Equal(t, h.store.confirmCount(), confirms+1)
		assertStatus(t, h.replaceBody(0, configuration(3, "other")), 412)
		assertStatus(t, h.replace(1, 4), 412)
		assertStatus(t, h.replace(3, 3), 200)
		assertStatus(t, h.replaceBody(3, configuration(3, "other")), 400)
		assertStatus(t, h.replace(3, 2), 400)
		assertStatus(t, h.replace(3, 7), 200)
		assert.Equal(t, h.describe().Body.String(), string(configuration(7, "s")))
	})
}

func TestReplace_InvalidOrIncompleteBody(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		body := configuration(4, "s")
		base := map[string]string{"X-Base-Revision": "3"}
		assertStatus(t, h.replaceBody(3, body[:len(body)/2]), 400)
		assertStatus(t, h.replaceBody(3, bytes.Replace(body, []byte(`"timeout_ms":1000`), []byte(`"timeout_ms":0`), 1)), 400)
		assertStatus(t, h.call("POST", "Configuration.Replace", nil, bytes.NewReader(body)), 400)
		cut := io.MultiReader(bytes.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)) // all bytes arrive, but the body does not end
		assertStatus(t, h.call("POST", "Configuration.Replace", base, cut), 400)
		large := io.MultiReader(bytes.NewReader(body), strings.NewReader(strings.Repeat(" ", 5<<20)))
		assertStatus(t, h.call("POST", "Configuration.Replace", base, large), 413)
		assertStatus(t, h.replaceBody(3, append(bytes.Clone(body), make([]byte, 5<<20)...)), 413)
		assert.Equal(t, h.describe().Body.String(), string(configuration(3, "s")))
		assertStatus(t, h.call("GET", "Configuration.Replace", nil, nil), 405)
		assertStatus(t, h.call("POST", "Configuration.Other", nil, nil), 404)
		assertStatus(t, h.call("GET", "Retire.Describe", nil, nil), 404)
	})
}

func TestReplace_ConnectionEndsWithinBody(t *testing.T) {
	s := newMemoryStore()
	plane := New(Config{Settings: testSettings(), Store: s})
	assert.NilError(t, plane.startEpoch(t.Context(), s.epoch))
	server := httptest.NewServer(plane.Operators())
	defer server.Close()
	body := configuration(4, "s")
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	fmt.Fprintf(c, "POST /saffronyard/Configuration.Replace HTTP/1.1\r\nHost: x\r\nX-Base-Revision: 0\r\nContent-Length: %d\r\n\r\n", len(body)+1)
	c.Write(body) // the bytes that arrive would be valid by themselves
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil { // otherwise the server has closed the connection without a response
		assert.Equal(t, resp.StatusCode, 400)
	}
	c.Close()
	got, _ := s.Get(keyConfiguration)
	assert.Assert(t, got == nil)
}

func TestReplace_ConcurrentChangesOneWins(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		h.store.set(func() { h.store.putDelay = 20 * time.Millisecond })
		var codes [8]int
		var all sync.WaitGroup
		for i := range codes {
			all.Go(func() { codes[i] = h.replaceBody(3, configuration(4+i, fmt.Sprint("s", i))).Code })
		}
		all.Wait()
		won := 0
		for i, code := range codes {
			if code == 200 {
				won++
				assert.Equal(t, h.describe().Body.String(), string(configuration(4+i, fmt.Sprint("s", i))))
			} else {
				assert.Assert(t, code == 412 || code == 400, "%d", code)
			}
		}
		assert.Equal(t, won, 1)
	})
}

func TestReplace_UnknownOutcomeNeitherShownNorRejected(t *testing.T) {
	for _, lost := range []bool{true, false} {
		withHarness(t, func(h *harness) {
			assertStatus(t, h.replace(0, 3), 200)
			c := h.join(roleGateway, "e1", nil)
			h.store.set(func() { h.store.failPut = func(map[string][]byte) (bool, bool) { return lost, true } })
			w := h.replace(3, 4)
			assertStatus(t, w, 503)
			assert.Assert(t, w.Header().Get("Retry-After") != "")
			assertStatus(t, h.replace(3, 4), 503) // the change does not conflict with itself, which would be a 412
			h.advance(300 * time.Millisecond)
			bodies, _ := c.received()
			assert.DeepEqual(t, bodies, []string{string(configuration(3, "s"))})
			assert.Assert(t, h.describe().Code == 503)
			h.store.set(func() { h.store.failPut = nil })
			h.advance(300 * time.Millisecond)
			assertStatus(t, h.replace(3, 4), 200)
			assert.Equal(t, h.describe().Body.String(), string(configuration(4, "s")))
			h.advance(time.Second)
			assert.Equal(t, countReceived(c), 2)
		})
	}
}

func TestReplace_UnknownOutcomeSupersededNeverShown(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		c := h.join(roleGateway, "e1", nil)
		h.store.set(func() { h.store.failPut = func(map[string][]byte) (bool, bool) { return true, true } })
		assertStatus(t, h.replace(3, 4), 503)
		h.store.set(func() { h.store.failPut = nil })
		h.advance(time.Second)
		assertStatus(t, h.replaceBody(3, configuration(5, "b")), 200)
		assertStatus(t, h.replace(3, 4), 412)
		h.advance(time.Second)
		bodies, _ := c.received()
		assert.DeepEqual(t, bodies, []string{string(configuration(3, "s")), string(configuration(5, "b"))})
	})
}

func TestReplace_WaitsForActiveGateways(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		fast := h.join(roleGateway, "e1", nil)
		slow := h.join(roleGateway, "e2", func(p *testProcess) { p.acknowledgeDelay = 200 * time.Millisecond })
		h.advance(time.Second)
		began := time.Now()
		assertStatus(t, h.replace(3, 4), 200)
		took := time.Since(began)
		assert.Assert(t, took >= 200*time.Millisecond && took < 300*time.Millisecond, "%v", took)
		_, version := h.store.Get(keyConfiguration)
		assert.Equal(t, slow.acknowledged().ConfigurationVersion, version)
		// A repeat is acknowledged when the gateways have the configuration, too.
		assert.Equal(t, countReceived(fast), 2)
		began = time.Now()
		assertStatus(t, h.replace(3, 4), 200)
		assert.Assert(t, time.Since(began) < 50*time.Millisecond)
		slow.stop()
		h.advance(140 * time.Millisecond) // its connection broke: the response waits for it until disconnectedTTL is over, and no longer
		began = time.Now()
		assertStatus(t, h.replace(4, 5), 200)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	})
}

func TestReplace_WaitForGatewaysIsBounded(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		h.join(roleGateway, "e1", func(p *testProcess) { p.acknowledgeDelay = time.Hour })
		h.join(roleGateway, "e2", nil)
		service := h.plane.Sessions()
		_, version := h.store.Get(keyConfiguration)
		go service.Watch(h.ctx, &tierv1.WatchRequest{Node: "e3", Role: roleGateway, Incarnation: "x", ConfigurationVersion: version, PollTimeoutMs: 500})
		synctest.Wait()
		began := time.Now()
		assertStatus(t, h.replace(3, 4), 200)
		took := time.Since(began)
		assert.Assert(t, took <= replaceTimeout, "%v", took)
	})
}

func TestReplace_AcceptedChangeAcknowledgedAfterLaterOnes(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		assertStatus(t, h.replace(3, 5), 200)
		assertStatus(t, h.replace(0, 3), 200)
		for at := 5; at < 40; at++ {
			assertStatus(t, h.replace(at, at+1), 200)
		}
		for range 2 { // before and after a takeover, which reads the state back
			assertStatus(t, h.replace(0, 3), 200)
			assertStatus(t, h.replace(3, 5), 200)
			assertStatus(t, h.replace(20, 21), 200)
			assertStatus(t, h.replaceBody(20, configuration(21, "other")), 412)
			assertStatus(t, h.replaceBody(3, configuration(4, "s")), 412)
			assertStatus(t, h.replaceBody(0, configuration(3, "s")[1:]), 400) // the same, but damaged
			assert.Equal(t, h.describe().Body.String(), string(configuration(40, "s")))
			h.store.set(func() { h.store.epoch += 1 << 12 })
			h.advance(500 * time.Millisecond)
		}
	})
}

func TestReplace_ForgottenChangeUnavailable(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		assertStatus(t, h.replace(3, 5), 200)
		assertStatus(t, h.replace(5, 6), 200)
		h.store.set(func() {
			delete(h.store.values, changeKey(3))
			h.store.epoch += 1 << 12
		})
		h.advance(500 * time.Millisecond)
		w := h.replace(0, 3)
		assertStatus(t, w, 503)
		assert.Assert(t, w.Header().Get("Retry-After") != "")
		assertStatus(t, h.replace(3, 5), 200)
		assertStatus(t, h.replaceBody(3, configuration(5, "other")), 412)
	})
}

// A configuration and its change record are in the same write.
func TestReplace_ConfigurationAndRecordInOneWrite(t *testing.T) {
	withHarness(t, func(h *harness) {
		var writes []map[string][]byte
		h.store.set(func() {
			h.store.failPut = func(sets map[string][]byte) (bool, bool) { writes = append(writes, sets); return false, false }
		})
		assertStatus(t, h.replace(0, 3), 200)
		assertStatus(t, h.replace(3, 5), 200)
		assert.Equal(t, len(writes), 2)
		for i, key := range []string{changeKey(3), changeKey(5)} {
			assert.Assert(t, writes[i][keyConfiguration] != nil && writes[i][key] != nil)
		}
	})
}

// A change with an unknown outcome is resolved before another is accepted. Then it is acknowledged if it was written, even
// after others were accepted on top of it, and rejected only if it was not.
func TestReplace_UnknownOutcomeBeforeLaterChanges(t *testing.T) {
	for _, lost := range []bool{true, false} {
		withHarness(t, func(h *harness) {
			assertStatus(t, h.replace(0, 3), 200)
			h.store.set(func() { h.store.failPut = func(map[string][]byte) (bool, bool) { return lost, true } })
			assertStatus(t, h.replace(3, 4), 503)
			for range 4 {
				assertStatus(t, h.replace(3, 4), 503)
				assertStatus(t, h.replaceBody(3, configuration(5, "b")), 503)
				h.advance(150 * time.Millisecond)
			}
			h.store.set(func() { h.store.failPut = nil })
			h.advance(300 * time.Millisecond)
			if lost {
				assertStatus(t, h.replaceBody(3, configuration(5, "b")), 200)
				assertStatus(t, h.replace(3, 4), 412)
				return
			}
			assertStatus(t, h.replaceBody(3, configuration(5, "b")), 412)
			assertStatus(t, h.replaceBody(4, configuration(5, "b")), 200)
			assertStatus(t, h.replace(3, 4), 200)
		})
	}
}

// Eight operators send eight changes at once, each twice: all attempts of one change get the same answer.
func TestReplace_ConcurrentAttemptsAnsweredAlike(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		h.store.set(func() { h.store.putDelay = 5 * time.Millisecond })
		const operators, tries = 8, 2
		var codes [operators][tries]int
		var all sync.WaitGroup
		for i := range operators {
			for j := range tries {
				all.Go(func() { codes[i][j] = h.replaceBody(3, configuration(4+i%2, fmt.Sprint("s", i))).Code })
			}
		}
		all.Wait()
		winners := 0
		for i, code := range codes {
			assert.Equal(t, code[0], code[1], "order %d", i)
			if code[0] == 200 {
				winners++
				assert.Equal(t, h.describe().Body.String(), string(configuration(4+i%2, fmt.Sprint("s", i))))
			} else {
				assert.Equal(t, code[0], 412)
			}
		}
		assert.Equal(t, winners, 1)
	})
}

// Repeated changes share read barriers: eight at once take no more than two round trips.
func TestReplace_RepeatsShareReadBarrier(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		assertStatus(t, h.replace(3, 5), 200)
		h.store.set(func() { h.store.confirmDelay = 200 * time.Millisecond })
		began := time.Now()
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				if i%2 == 0 {
					assertStatus(t, h.replace(0, 3), 200)
				} else {
					assertStatus(t, h.replace(3, 4), 412)
				}
			})
		}
		all.Wait()
		assert.Assert(t, time.Since(began) <= 400*time.Millisecond, "%v", time.Since(began)) // the round trip under way, and the next
	})
}
