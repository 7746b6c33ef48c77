package tierdemo

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func TestResponse_ReadStream(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, one := range map[string]struct {
		text           string
		events         string
		whole, inOrder bool
	}{
		"whole":           {whole, "a b", true, true},
		"cut in an event": {whole[:len(whole)-4], "a", false, true},
		"one is lacking":  {"id: 1\ndata: a\n\nid: 3\ndata: c\n\n", "a c", true, false},
		"one comes twice": {"id: 1\ndata: a\n\nid: 1\ndata: a\n\n", "a a", true, false},
		"empty":           {"", "", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var a response
			a.read(strings.NewReader(one.text))
			assert.Equal(t, strings.Join(a.events, " "), one.events)
			assert.Equal(t, a.complete, one.whole)
			assert.Equal(t, a.idsInOrder, one.inOrder)
		})
	}
}

func TestCaller_Retries(t *testing.T) {
	for name, one := range map[string]struct {
		status     int // 0: the connection is closed
		repeatable bool
		calls      int32
	}{
		"a promise":           {503, false, 3},
		"closed":              {0, false, 1},
		"closed, repeatable":  {0, true, 3},
		"a fault":             {502, false, 1},
		"a fault, repeatable": {502, true, 3},
		"no route":            {404, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			var ids sync.Map
			at := handler(t, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, twice := ids.LoadOrStore(r.Header.Get("X-Attempt-Id"), true)
				assert.Check(t, !twice, "an id was sent twice")
				if one.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(one.status)
			})
			c := testCaller(t, newRuleChecker(), at)
			_, a := c.ask(t.Context(), request{path: idempotentPath, timeout: turnTime, maxAttempts: 3, attempt: attempt{input: "x", idempotent: one.repeatable}})
			assert.Equal(t, a.status, one.status)
			assert.Equal(t, calls.Load(), one.calls)
		})
	}
}

// counterThat passes requests to an endpoint and spoils what a test names. It is what a tier with a fault would look like.
func counterThat(t *testing.T, endpoint string, spoil func(body []byte, send func([]byte) (int, http.Header, []byte)) (int, http.Header, []byte)) string {
	t.Helper()
	return handler(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		status, head, answer := spoil(body, func(body []byte) (int, http.Header, []byte) {
			req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+endpoint+r.URL.Path, bytes.NewReader(body))
			if err != nil {
				return 500, nil, nil
			}
			req.Header = r.Header.Clone()
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return 500, nil, nil
			}
			defer resp.Body.Close()
			answer, _ := io.ReadAll(resp.Body)
			return resp.StatusCode, resp.Header, answer
		})
		for k, v := range head {
			w.Header()[k] = v
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	})
}

// A program that meets a gateway with a fault is what the demo is for.
func TestRuleChecker_FaultyGatewayDetected(t *testing.T) {
	type sender = func([]byte) (int, http.Header, []byte)
	for name, one := range map[string]struct {
		spoil func(body []byte, send sender) (int, http.Header, []byte)
		rule  Rule
		kept  bool
	}{
		"none, for a first turn": {func(body []byte, send sender) (int, http.Header, []byte) { return send(body) }, RuleNotMixed, true},
		"sends twice":            {func(body []byte, send sender) (int, http.Header, []byte) { send(body); return send(body) }, RuleRunOnce, false},
		"refuses what ran":       {func(body []byte, send sender) (int, http.Header, []byte) { send(body); return 503, nil, nil }, RuleRejectedNotRun, false},
		"changes the body":       {func(body []byte, send sender) (int, http.Header, []byte) { return send(append(body, 'x')) }, RuleNotMixed, false},
		"cuts the stream and ends it": {func(body []byte, send sender) (int, http.Header, []byte) {
			status, head, answer := send(body)
			return status, head, answer[:bytes.Index(answer, []byte("\n\n"))+2]
		}, RuleNotMixed, false},
		"makes an answer of its own": {func([]byte, sender) (int, http.Header, []byte) { return 200, nil, nil }, RuleNotMixed, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRuleChecker()
			c := testCaller(t, w, counterThat(t, testEndpoint(t, w, modelService, 4).address, one.spoil))
			c.ask(t.Context(), turnRequest(&budget{limit: 100, maxPerTurn: 12}, "", "one\n"))
			v := w.results()[one.rule]
			assert.Equal(t, v.Broken == 0, one.kept, "%v", v)
		})
	}
}
