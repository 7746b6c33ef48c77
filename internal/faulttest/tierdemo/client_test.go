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
	for name, test := range map[string]struct {
		text           string
		events         string
		whole, inOrder bool
	}{
		"complete":        {whole, "a b", true, true},
		"cut in an event": {whole[:len(whole)-4], "a", false, true},
		"missing event":   {"id: 1\ndata: a\n\nid: 3\ndata: c\n\n", "a c", true, false},
		"duplicate event": {"id: 1\ndata: a\n\nid: 1\ndata: a\n\n", "a a", true, false},
		"empty":           {"", "", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var a response
			a.read(strings.NewReader(test.text))
			assert.Equal(t, strings.Join(a.events, " "), test.events)
			assert.Equal(t, a.complete, test.whole)
			assert.Equal(t, a.idsInOrder, test.inOrder)
		})
	}
}

func TestCaller_Retries(t *testing.T) {
	for name, test := range map[string]struct {
		status     int // 0: the connection is closed
		repeatable bool
		calls      int32
	}{
		"not executed":            {503, false, 3},
		"closed":                  {0, false, 1},
		"closed, repeatable":      {0, true, 3},
		"bad gateway":             {502, false, 1},
		"bad gateway, repeatable": {502, true, 3},
		"no route":                {404, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			var ids sync.Map
			at := handler(t, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, twice := ids.LoadOrStore(r.Header.Get("X-Attempt-Id"), true)
				assert.Check(t, !twice, "an attempt id was sent twice")
				if test.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(test.status)
			})
			c := testCaller(t, newRuleChecker(), at)
			_, a := c.sendWithRetries(t.Context(), request{path: idempotentPath, timeout: turnTime, maxAttempts: 3, attempt: attempt{input: "x", idempotent: test.repeatable}})
			assert.Equal(t, a.status, test.status)
			assert.Equal(t, calls.Load(), test.calls)
		})
	}
}

// faultyGateway returns the address of a proxy to an endpoint that behaves like a gateway with the fault of a test.
func faultyGateway(t *testing.T, endpoint string, respond func(body []byte, send func([]byte) (int, http.Header, []byte)) (int, http.Header, []byte)) string {
	t.Helper()
	return handler(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		status, head, answer := respond(body, func(body []byte) (int, http.Header, []byte) {
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

// The rule checker must detect each kind of gateway fault, and must find no violation without a fault.
func TestRuleChecker_FaultyGatewayDetected(t *testing.T) {
	type sender = func([]byte) (int, http.Header, []byte)
	for name, test := range map[string]struct {
		respond func(body []byte, send sender) (int, http.Header, []byte)
		rule    Rule
		kept    bool
	}{
		"no fault":                {func(body []byte, send sender) (int, http.Header, []byte) { return send(body) }, RuleNotMixed, true},
		"sends twice":             {func(body []byte, send sender) (int, http.Header, []byte) { send(body); return send(body) }, RuleRunOnce, false},
		"rejects after execution": {func(body []byte, send sender) (int, http.Header, []byte) { send(body); return 503, nil, nil }, RuleRejectedNotRun, false},
		"changes the body":        {func(body []byte, send sender) (int, http.Header, []byte) { return send(append(body, 'x')) }, RuleNotMixed, false},
		"cuts the stream and ends it": {func(body []byte, send sender) (int, http.Header, []byte) {
			status, head, answer := send(body)
			return status, head, answer[:bytes.Index(answer, []byte("\n\n"))+2]
		}, RuleNotMixed, false},
		"generates a response": {func([]byte, sender) (int, http.Header, []byte) { return 200, nil, nil }, RuleNotMixed, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRuleChecker()
			c := testCaller(t, w, faultyGateway(t, testEndpoint(t, w, modelService, 4).address, test.respond))
			c.sendWithRetries(t.Context(), turnRequest(&budget{limit: 100, maxPerTurn: 12}, "", "one\n"))
			v := w.results()[test.rule]
			assert.Equal(t, v.Broken == 0, test.kept, "%v", v)
		})
	}
}
