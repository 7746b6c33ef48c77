package tierdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// Values of the configuration, and time-outs of the operator.
const (
	routeHost         = "agents.example"
	turnPath          = "/turn/"
	idempotentPath    = "/look/" // idempotent tool calls
	nonIdempotentPath = "/act/"  // other tool calls
	addedPath         = "/added/"
	latencyTarget     = 400 * time.Millisecond
	retention         = 120 * time.Second
	callTimeout       = time.Second
	maxRedirects      = 2
	changeTimeout     = 10 * time.Second // of one change with its retries; the first configuration is retried without a time-out
)

// operator is a fake operator that sends configurations, changes them and reads them back.
type operator struct {
	client      *http.Client
	addresses   []string // control_plane addresses
	revision    int64    // last acknowledged revision
	body        []byte   // configuration of revision
	unconfirmed []byte   // change with unknown outcome, which may be in force
}

// newOperator returns an operator that has sent no configuration yet.
func newOperator(addresses []string) *operator {
	return &operator{addresses: addresses, client: &http.Client{CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > maxRedirects {
			return http.ErrUseLastResponse
		}
		return nil
	}}}
}

func (operator *operator) close() { operator.client.CloseIdleConnections() }

// addedRoute returns the path of the route that a revision adds.
func addedRoute(revision int64) string { return addedPath + strconv.FormatInt(revision, 10) + "/" }

// configuration returns the configuration of a revision. Each revision except the first adds a route, and each has different time-outs.
func configuration(revision int64) []byte {
	type object = map[string]any
	turn := object{"name": "turn", "hostname": routeHost, "path_prefix": turnPath, "route_type": "streaming", "timeout_ms": turnTime.Milliseconds() + revision,
		"target_latency_ms": latencyTarget.Milliseconds(), "priority": 0, "service_name": modelService, "max_attempts": 2, "persisted": true,
		"retention_s": retention.Seconds(), "session_affinity": true, "gap_aim_ms": latencyTarget.Milliseconds()}
	plain := func(name, path, kind string) object {
		return object{"name": name, "hostname": routeHost, "path_prefix": path, "route_type": kind, "timeout_ms": toolTime.Milliseconds() + revision,
			"target_latency_ms": latencyTarget.Milliseconds(), "priority": 1, "service_name": toolService, "max_attempts": 3}
	}
	routes := []object{turn, plain("look", idempotentPath, "idempotent"), plain("act", nonIdempotentPath, "non_idempotent")}
	if revision > 1 {
		routes = append(routes, plain("added", addedRoute(revision), "idempotent"))
	}
	body, _ := json.Marshal(object{"revision": revision, "routes": routes, "services": []object{
		{"name": modelService, "health_path": healthPath, "max_connections": 200, "protocol": "h1",
			"inference_engine": object{"capacity": endpointSlots, "cache_tokens": 100000, "tokens_per_event": tokensPerEvent, "models": []object{{"name": "m"}}}},
		{"name": toolService, "health_path": healthPath, "max_connections": 200, "protocol": "h1"}},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	return body
}

// change sends the next revision until it is acknowledged. If the outcome is unknown, the next call sends it again, unchanged.
func (operator *operator) change(ctx context.Context) error {
	next := operator.revision + 1
	body := configuration(next)
	status, _, err := operator.untilConclusive(ctx, http.MethodPost, "/saffronyard/Configuration.Replace", body)
	if err != nil {
		operator.unconfirmed = body
		return errorx.Decorate(err, "configuration %d", next)
	}
	if status != http.StatusOK {
		return errorx.ExternalError.New("configuration %d: rejected with status %d", next, status)
	}
	operator.revision, operator.body, operator.unconfirmed = next, body, nil
	return nil
}

// readBack reads the configuration and reports whether it is that of the last acknowledged change, or of a later change with
// unknown outcome.
func (operator *operator) readBack(ctx context.Context) (bool, error) {
	status, body, err := operator.untilConclusive(ctx, http.MethodGet, "/saffronyard/Configuration.Describe", nil)
	return status == http.StatusOK && (bytes.Equal(body, operator.body) || operator.unconfirmed != nil && bytes.Equal(body, operator.unconfirmed)), err
}

// untilConclusive calls one control_plane address after the other, with backoff, until a response has a conclusive status: below
// 500, and not 307, 408 or 429.
func (operator *operator) untilConclusive(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error) {
	if operator.revision > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, changeTimeout)
		defer cancel()
	}
	wait := 20 * time.Millisecond
	for n := 0; ; n++ {
		status, answer, err = operator.call(ctx, method, "http://"+operator.addresses[n%len(operator.addresses)]+path, body)
		if err == nil && status < 500 && status != http.StatusTemporaryRedirect && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, answer, nil
		}
		if ctx.Err() != nil {
			return status, nil, errorx.TimeoutElapsed.New("no conclusive response; the last status is %d (%v)", status, err)
		}
		sleep(ctx, wait)
		wait = min(wait*3/2, 300*time.Millisecond)
	}
}

// call makes one call.
func (operator *operator) call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Base-Revision", strconv.FormatInt(operator.revision, 10))
	}
	resp, err := operator.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}
