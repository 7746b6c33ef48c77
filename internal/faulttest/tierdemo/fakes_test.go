package tierdemo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/routing"
)

func testEndpoint(t *testing.T, w *ruleChecker, service string, slots int) *endpoint {
	t.Helper()
	e, err := startEndpoint(endpointConfig{ip: "127.0.0.1", instance: "i-1", service: service, zone: "zone-1", slots: slots, checker: w})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = e.server.Close() })
	return e
}

// testCaller returns a caller that sends to handlers or directly to endpoints instead of gateways.
func testCaller(t *testing.T, w *ruleChecker, addresses ...string) *caller {
	t.Helper()
	c := newCaller(w, addresses)
	t.Cleanup(c.close)
	return c
}

func handler(t *testing.T, f http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func turnRequest(b *budget, previous, input string) request {
	return request{path: turnPath + "x", timeout: 20 * time.Second, maxAttempts: 3, attempt: attempt{program: b, previous: previous, input: input},
		header: map[string]string{"X-Token-Usage": "1,12"}}
}

func TestEndpoint_StreamsTurn(t *testing.T) {
	w := newRuleChecker()
	c := testCaller(t, w, testEndpoint(t, w, modelService, 4).address)
	b := &budget{limit: 100, maxPerTurn: 12}
	first, a := c.sendWithRetries(t.Context(), turnRequest(b, "", "one\n"))
	assert.Equal(t, a.status, 200)
	assert.Assert(t, a.complete && a.idsInOrder && len(a.events) >= 3 && len(a.events) <= 6, "%v", a)
	_, a = c.sendWithRetries(t.Context(), turnRequest(b, first, "one\n"+strings.Join(a.events, "\n")+"\ntwo\n"))
	assert.Assert(t, a.complete)
	// Without a gateway the test puts the complete chain into the input. The checker expects the first turn's text before the input,
	// so it must report a wrong body.
	assert.DeepEqual(t, broken(w.results()), []Rule{RuleNotMixed})
}

func TestEndpoint_Rejects(t *testing.T) {
	w := newRuleChecker()
	e := testEndpoint(t, w, toolService, 0)
	ask := func(path string, fields ...string) *http.Response {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.address+path, strings.NewReader("x"))
		assert.NilError(t, err)
		for i := 0; i < len(fields); i += 2 {
			req.Header.Set(fields[i], fields[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp
	}
	for _, test := range []struct {
		status int
		fields []string
	}{{421, []string{"X-Attempt-Id", "a", "X-Target-Instance", "i-2"}}, {400, nil}, {503, []string{"X-Attempt-Id", "a", "X-Target-Instance", "i-1"}}} {
		resp := ask(idempotentPath, test.fields...)
		assert.Equal(t, resp.StatusCode, test.status)
		assert.Assert(t, resp.Header.Get("X-Not-Executed") != "")
	}
	assert.Equal(t, ask(healthPath).StatusCode, 200)
	e.draining.Store(true)
	assert.Equal(t, ask(healthPath).StatusCode, 503)
	assert.Equal(t, w.results()[RuleNotMixed].Checked, 0) // nothing has run
}

func TestPlatform_PagesAndReleases(t *testing.T) {
	p, err := startPlatform(newRuleChecker(), "127.0.0.1")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); p.stop() })
	for i := range pageSize + 1 {
		assert.NilError(t, p.add(modelService, zoneName(i%2)))
	}
	list := func(query string) (all []listEntry, pages int) {
		for token := ""; ; {
			resp, err := http.Get("http://" + p.address + "/instances?" + query + "&page_token=" + token)
			assert.NilError(t, err)
			var page listPage
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&page))
			resp.Body.Close()
			pages++
			all = append(all, page.Instances...)
			if page.Next == nil {
				return all, pages
			}
			token = *page.Next
		}
	}
	all, pages := list("")
	assert.Equal(t, len(all), pageSize+1)
	assert.Equal(t, pages, 2)
	one, _ := list("zone=" + zoneName(1))
	assert.Equal(t, len(one), (pageSize+1)/2)

	instance, err := p.release(ctx)
	assert.NilError(t, err)
	assert.Equal(t, instance, all[0].Instance)
	now, _ := list("")
	assert.Equal(t, now[0].State, "draining")
	assert.Equal(t, len(now), pageSize+2)
	assert.Equal(t, p.count(), pageSize+1)
	cancel() // ends the drain time
	p.draining.Wait()
	now, _ = list("")
	assert.Equal(t, len(now), pageSize+1)
	_, err = http.Get("http://" + all[0].Address + healthPath)
	assert.Assert(t, err != nil)
}

func TestConfiguration_ValidAndDistinct(t *testing.T) {
	for revision := range int64(4) {
		c, err := routing.Parse(configuration(revision + 1))
		assert.NilError(t, err)
		assert.Equal(t, c.Revision, revision+1)
		assert.Equal(t, c.Match(routeHost, addedRoute(revision+1)+"x") != nil, revision > 0)
		assert.Assert(t, c.Match(routeHost, turnPath+"x").Persisted)
	}
}

func TestOperator_RetriesUntilAcknowledged(t *testing.T) {
	var calls atomic.Int32
	var taken atomic.Value
	primary := handler(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.Method == http.MethodGet:
			_, _ = w.Write(taken.Load().([]byte))
		case calls.Add(1) == 1:
			w.WriteHeader(503)
		default:
			assert.Check(t, r.Header.Get("X-Base-Revision") == "0")
			taken.Store(body)
		}
	})
	backup := handler(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+primary+r.URL.Path, http.StatusTemporaryRedirect)
	})
	o := newOperator([]string{backup, primary})
	t.Cleanup(o.close)
	assert.NilError(t, o.change(t.Context()))
	assert.Equal(t, o.revision, int64(1))
	same, err := o.readBack(t.Context())
	assert.Assert(t, same && err == nil)
	taken.Store([]byte("{}"))
	same, err = o.readBack(t.Context())
	assert.Assert(t, !same && err == nil)
}

func TestOperator_Rejection(t *testing.T) {
	o := newOperator([]string{handler(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(412) })})
	t.Cleanup(o.close)
	assert.ErrorContains(t, o.change(t.Context()), "412")
	assert.Equal(t, o.revision, int64(0))
}

// A change whose response was lost may be in force: readBack must accept it, and the next change must send the same configuration again.
func TestOperator_UnconfirmedChange(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var taken atomic.Value
	var lost atomic.Bool
	o := newOperator([]string{handler(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodGet {
			_, _ = w.Write(taken.Load().([]byte))
			return
		}
		taken.Store(body)
		if !lost.Swap(true) {
			cancel()
			panic(http.ErrAbortHandler)
		}
	})})
	t.Cleanup(o.close)
	assert.ErrorContains(t, o.change(ctx), "no conclusive response")
	for text, right := range map[string]bool{string(configuration(1)): true, "{}": false} {
		taken.Store([]byte(text))
		same, err := o.readBack(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, same, right)
	}
	assert.NilError(t, o.change(t.Context()))
	assert.Equal(t, o.revision, int64(1))
	assert.DeepEqual(t, taken.Load().([]byte), configuration(1))
}

func TestStallMeter(t *testing.T) {
	var h stallMeter
	begun := time.Now()
	assert.Equal(t, h.longestSince(begun), time.Duration(0))
	h.measuredFrom = begun.Add(-time.Second)
	assert.Assert(t, h.longestSince(begun) >= time.Second, "a stall in progress")
	h.end(&h.disk)
	processor, disk := h.longest()
	assert.Assert(t, processor == 0 && disk >= time.Second)
	assert.Assert(t, h.longestSince(begun) >= time.Second)
	assert.Equal(t, h.longestSince(time.Now().Add(time.Second)), time.Duration(0))
}
