package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Values of the operator's configuration.
const (
	routeHost      = "ficu95.example"
	turnPrefix     = "/lohu930/"
	noticePrefix   = "/pufi791/"
	turnTimeout    = 6 * time.Second
	noticeDeadline = 6 * time.Second
	turnRetention  = 60 * time.Second
	startTime      = 20 * time.Second // until the tier serves
	replicaTime    = 3 * time.Second  // for the first replicas to be synced, after that
	operatorsTries = time.Second      // of one call
)

// configuration returns the operator's configuration of a revision.
func configuration(revision int) []byte {
	type object = map[string]any
	body, _ := json.Marshal(object{"revision": revision,
		"routes": []object{{"name": "r-turn", "hostname": routeHost, "path_prefix": turnPrefix, "route_type": "streaming", "timeout_ms": turnTimeout.Milliseconds(),
			"target_latency_ms": 250, "priority": 0, "service_name": modelService, "max_attempts": 2, "persisted": true, "retention_s": turnRetention.Seconds(),
			"session_affinity": true, "resumable": false, "gap_aim_ms": 400},
			{"name": "r-notice", "hostname": routeHost, "path_prefix": noticePrefix, "route_type": "non_idempotent", "timeout_ms": noticeDeadline.Milliseconds(),
				"target_latency_ms": 800, "priority": 2, "service_name": modelService, "max_attempts": 2}},
		"services": []object{{"name": modelService, "health_path": "/healthcheck", "max_connections": 480, "protocol": "h1", "tls_enabled": false,
			"inference_engine": object{"capacity": 96, "cache_tokens": 257309, "token_size_bytes": 131072, "bandwidth_mbps": 550000.0,
				"tokens_per_event": tokensPerEvent, "models": []object{{"name": "m"}}}}},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	return body
}

// configure sends the first configuration until it is acknowledged, and waits until the gateways are ready.
func (l *lab) configure() error {
	until := time.Now().Add(startTime)
	for n := 0; ; n++ {
		status, _, _ := callControl(l.controls()[n%len(l.controls())], http.MethodPost, "/saffronyard/Configuration.Replace", configuration(1),
			map[string]string{"X-Base-Revision": "0"}, operatorsTries)
		if status == http.StatusOK {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("the first configuration got %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	l.note("the configuration is acknowledged")
	if err := l.awaitReady(until); err != nil {
		return err
	}
	time.Sleep(replicaTime)
	return nil
}

// awaitReady waits until all gateways are ready.
func (l *lab) awaitReady(until time.Time) error {
	for _, m := range l.of("gateway") {
		for {
			status, _, _ := callControl(m.ip+":"+strconv.Itoa(l.port+readinessPort), http.MethodGet, "/saffronyard/readiness", nil, nil, operatorsTries)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.node)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// callControl makes one call with a JSON body, and follows redirects twice as the pages say.
func callControl(address, method, path string, body []byte, header map[string]string, timeout time.Duration) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client := &http.Client{Transport: controlTransport, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// controlTransport and clientTransport hold the connections of callers of control_plane addresses, and of clients.
var (
	controlTransport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}
	clientTransport  = &http.Transport{DisableCompression: true, DisableKeepAlives: true}
)

// turn is one try of a client for a turn.
type turn struct {
	program, session, previous, input string
	budget, maxTokens                 int
	promptTokens                      int // 0: the input has a token a byte
}

// answer is what a client received for a try.
type answer struct {
	id       string
	status   int
	events   []string
	complete bool
	ended    time.Time
}

// newAttempt returns an id for a try.
func newAttempt() string { return strconv.FormatUint(rand.Uint64()|1<<63, 16) }

// send makes one try of a turn through a gateway.
func (l *lab) send(ctx context.Context, gateway string, t turn) answer {
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	a := answer{id: newAttempt()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+turnPrefix+"2f", strings.NewReader(t.input))
	if err != nil {
		return a
	}
	request.Host = routeHost
	for name, value := range map[string]string{"X-Attempt-Id": a.id, "X-Model": "m", "X-Deadline-Ms": strconv.FormatInt(turnTimeout.Milliseconds(), 10),
		"X-Token-Usage": fmt.Sprintf("%d,%d", cmp.Or(t.promptTokens, len(t.input)), t.maxTokens), "Program": t.program, "Session": t.session, "Finish-Ms": "20000",
		"Budget": strconv.Itoa(t.budget)} {
		request.Header.Set(name, value)
	}
	if t.previous != "" {
		request.Header.Set("Previous", t.previous)
	}
	l.note("sent %s to %s: Program %s, Session %s, Previous %q, the most %d of %d tokens", a.id, gateway, t.program, t.session, t.previous, t.maxTokens, t.budget)
	defer func() { l.note("answer to %s: %d, %d events, whole %v", a.id, a.status, len(a.events), a.complete) }()
	response, err := clientTransport.RoundTrip(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			a.events = append(a.events, data)
		}
	}
	a.complete = lines.Err() == nil
	a.ended = time.Now()
	return a
}
