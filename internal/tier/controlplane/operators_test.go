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

func TestAConfigurationIsTakenOnceAndReadBackAsItCame(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.describe(), 404)
		status(t, r.replace(0, 3), 200)
		w := r.describe()
		status(t, w, 200)
		assert.Equal(t, w.Body.String(), string(configuration(3, "s")))
		assert.Equal(t, w.Header().Get("Content-Type"), "application/json")
		confirms := r.s.confirmCount()
		status(t, r.replace(0, 3), 200) // the very same again
		assert.Equal(t, r.s.confirmCount(), confirms+1)
		status(t, r.replaceBody(0, configuration(3, "other")), 412)
		status(t, r.replace(1, 4), 412)
		status(t, r.replace(3, 3), 200)
		status(t, r.replaceBody(3, configuration(3, "other")), 400)
		status(t, r.replace(3, 2), 400)
		status(t, r.replace(3, 7), 200)
		assert.Equal(t, r.describe().Body.String(), string(configuration(7, "s")))
	})
}

func TestWhatIsInvalidOrNotWholeIsNotTaken(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.replace(0, 3), 200)
		body := configuration(4, "s")
		base := map[string]string{"X-Base-Revision": "3"}
		status(t, r.replaceBody(3, body[:len(body)/2]), 400)
		status(t, r.replaceBody(3, bytes.Replace(body, []byte(`"timeout_ms":1000`), []byte(`"timeout_ms":0`), 1)), 400)
		status(t, r.call("POST", "Configuration.Replace", nil, bytes.NewReader(body)), 400)
		cut := io.MultiReader(bytes.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)) // all of it came, but not its end
		status(t, r.call("POST", "Configuration.Replace", base, cut), 400)
		large := io.MultiReader(bytes.NewReader(body), strings.NewReader(strings.Repeat(" ", 5<<20)))
		status(t, r.call("POST", "Configuration.Replace", base, large), 413)
		status(t, r.replaceBody(3, append(bytes.Clone(body), make([]byte, 5<<20)...)), 413)
		assert.Equal(t, r.describe().Body.String(), string(configuration(3, "s")))
		status(t, r.call("GET", "Configuration.Replace", nil, nil), 405)
		status(t, r.call("POST", "Configuration.Other", nil, nil), 404)
		status(t, r.call("GET", "Retire.Describe", nil, nil), 404)
	})
}

func TestABodyWhoseConnectionEndsIsNotTaken(t *testing.T) {
	s := newStore()
	plane := New(Config{Settings: site(), Store: s})
	assert.NilError(t, plane.startEpoch(t.Context(), s.epoch))
	server := httptest.NewServer(plane.Operators())
	defer server.Close()
	body := configuration(4, "s")
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	fmt.Fprintf(c, "POST /saffronyard/Configuration.Replace HTTP/1.1\r\nHost: x\r\nX-Base-Revision: 0\r\nContent-Length: %d\r\n\r\n", len(body)+1)
	c.Write(body) // what came would be valid by itself
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil { // else the server has ended it without a word
		assert.Equal(t, resp.StatusCode, 400)
	}
	c.Close()
	got, _ := s.Get(keyConfiguration)
	assert.Assert(t, got == nil)
}

func TestOfTwoChangesOnOneBaseOneWins(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.replace(0, 3), 200)
		r.s.set(func() { r.s.slow = 20 * time.Millisecond })
		var codes [8]int
		var all sync.WaitGroup
		for i := range codes {
			all.Go(func() { codes[i] = r.replaceBody(3, configuration(4+i, fmt.Sprint("s", i))).Code })
		}
		all.Wait()
		won := 0
		for i, code := range codes {
			if code == 200 {
				won++
				assert.Equal(t, r.describe().Body.String(), string(configuration(4+i, fmt.Sprint("s", i))))
			} else {
				assert.Assert(t, code == 412 || code == 400, "%d", code)
			}
		}
		assert.Equal(t, won, 1)
	})
}

func TestAnUnclearWriteIsNeitherShownNorRefused(t *testing.T) {
	for _, lost := range []bool{true, false} {
		within(t, func(r *rig) {
			status(t, r.replace(0, 3), 200)
			c := r.join(roleGateway, "e1", nil)
			r.s.set(func() { r.s.unclear = func(map[string][]byte) (bool, bool) { return lost, true } })
			w := r.replace(3, 4)
			status(t, w, 503)
			assert.Assert(t, w.Header().Get("Retry-After") != "")
			status(t, r.replace(3, 4), 503) // of its own, never 412
			r.pass(300 * time.Millisecond)
			bodies, _ := c.came()
			assert.DeepEqual(t, bodies, []string{string(configuration(3, "s"))})
			assert.Assert(t, r.describe().Code == 503)
			r.s.set(func() { r.s.unclear = nil })
			r.pass(300 * time.Millisecond)
			status(t, r.replace(3, 4), 200)
			assert.Equal(t, r.describe().Body.String(), string(configuration(4, "s")))
			r.pass(time.Second)
			assert.Equal(t, taken(c), 2)
		})
	}
}

func TestAnUnclearWriteThatIsOvertakenIsNeverShown(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.replace(0, 3), 200)
		c := r.join(roleGateway, "e1", nil)
		r.s.set(func() { r.s.unclear = func(map[string][]byte) (bool, bool) { return true, true } })
		status(t, r.replace(3, 4), 503)
		r.s.set(func() { r.s.unclear = nil })
		r.pass(time.Second)
		status(t, r.replaceBody(3, configuration(5, "b")), 200)
		status(t, r.replace(3, 4), 412)
		r.pass(time.Second)
		bodies, _ := c.came()
		assert.DeepEqual(t, bodies, []string{string(configuration(3, "s")), string(configuration(5, "b"))})
	})
}

func TestOthersSendCallersToThePrimary(t *testing.T) {
	within(t, func(r *rig) {
		r.s.set(func() { r.s.ok, r.s.hint = false, "10.0.0.2:7380" })
		synctest.Wait()
		for _, w := range []*httptest.ResponseRecorder{r.replace(0, 3), r.describe(), r.call("GET", "Retire.Describe/n1", nil, nil),
			r.call("POST", "Retire.Create/n1", nil, strings.NewReader(`{"duration_s":1}`))} {
			status(t, w, 307)
			assert.Assert(t, strings.HasPrefix(w.Header().Get("Location"), "http://10.0.0.2:8144/saffronyard/"))
		}
		for _, hint := range []string{"", "10.0.0.1:7380"} { // itself
			r.s.set(func() { r.s.hint = hint })
			w := r.replace(0, 3)
			status(t, w, 503)
			assert.Assert(t, w.Header().Get("Retry-After") != "")
		}
	})
}

func TestNothingIsReadBackOrRefusedUnconfirmed(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.replace(0, 3), 200)
		r.s.set(func() { r.s.deaf = true })
		status(t, r.describe(), 503)
		status(t, r.replace(0, 3), 503)
		status(t, r.replace(1, 4), 503)
	})
}

func TestAnAnswerWaitsForTheGatewaysThatStand(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.replace(0, 3), 200)
		fast := r.join(roleGateway, "e1", nil)
		slow := r.join(roleGateway, "e2", func(p *process) { p.slow = 200 * time.Millisecond })
		r.pass(time.Second)
		began := time.Now()
		status(t, r.replace(3, 4), 200)
		took := time.Since(began)
		assert.Assert(t, took >= 200*time.Millisecond && took < 300*time.Millisecond, "%v", took)
		_, version := r.s.Get(keyConfiguration)
		assert.Equal(t, slow.has().ConfigurationVersion, version)
		// The same again is answered when they have it too.
		assert.Equal(t, taken(fast), 2)
		began = time.Now()
		status(t, r.replace(3, 4), 200)
		assert.Assert(t, time.Since(began) < 50*time.Millisecond)
		slow.end()
		r.pass(140 * time.Millisecond) // its connection broke: it may be back any moment, and then no more
		began = time.Now()
		status(t, r.replace(4, 5), 200)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	})
}

func TestAGatewayThatNeverAcknowledgesHoldsAnAnswerOnlySoLong(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.replace(0, 3), 200)
		r.join(roleGateway, "e1", func(p *process) { p.slow = time.Hour })
		r.join(roleGateway, "e2", nil)
		service := r.k.Sessions()
		_, version := r.s.Get(keyConfiguration)
		go service.Watch(r.ctx, &tierv1.WatchRequest{Node: "e3", Role: roleGateway, Incarnation: "x", ConfigurationVersion: version, PollTimeoutMs: 500})
		synctest.Wait()
		began := time.Now()
		status(t, r.replace(3, 4), 200)
		took := time.Since(began)
		assert.Assert(t, took <= replaceTimeout, "%v", took)
	})
}

func TestRetire(t *testing.T) {
	within(t, func(r *rig) {
		for _, n := range []string{"v1", "v2", "v3"} {
			r.join(roleTurnStore, n, func(p *process) { p.slow = 50 * time.Millisecond }) // so that no copy is whole at once
		}
		r.pass(2 * time.Second)
		order := func(node string) *httptest.ResponseRecorder {
			return r.call("POST", "Retire.Create/"+node, nil, strings.NewReader(`{"duration_s":10}`))
		}
		state := func(node string) *httptest.ResponseRecorder { return r.call("GET", "Retire.Describe/"+node, nil, nil) }
		status(t, order("v9"), 404)
		status(t, state("v1"), 404)
		status(t, order("v1"), 200)
		status(t, order("v1"), 200)
		status(t, order("v2"), 409)
		assert.Equal(t, state("v1").Body.String(), `{"lifecycle_state":"in_progress"}`)
		r.pass(10 * time.Second)
		assert.Equal(t, state("v1").Body.String(), `{"lifecycle_state":"completed"}`)
		r.s.set(func() { r.s.deaf = true })
		status(t, state("v1"), 503)
	})
}

// Right after a takeover not all storage machines have been heard: a 404 or 409 would end the operator's order for good.
func TestRetireRightAfterATakeover(t *testing.T) {
	within(t, func(r *rig) {
		order := func(node string) *httptest.ResponseRecorder {
			return r.call("POST", "Retire.Create/"+node, nil, strings.NewReader(`{"duration_s":10}`))
		}
		r.join(roleTurnStore, "v1", nil)
		status(t, order("v1"), 503)
		status(t, order("v9"), 503)
		r.pass(2 * time.Second)
		status(t, order("v1"), 409)
		status(t, order("v9"), 404)
	})
}

// Machines that are down for a moment are machines that remain: the order is to be sent again, not refused for good.
func TestRetireWhileOthersAreDown(t *testing.T) {
	within(t, func(r *rig) {
		r.join(roleTurnStore, "v1", nil)
		others := []*process{r.join(roleTurnStore, "v2", nil), r.join(roleTurnStore, "v3", nil)}
		r.pass(2 * time.Second)
		for _, p := range others {
			p.end()
		}
		r.pass(2 * time.Second)
		status(t, r.call("POST", "Retire.Create/v1", nil, strings.NewReader(`{"duration_s":10}`)), 503)
	})
}
