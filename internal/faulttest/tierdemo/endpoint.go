package tierdemo

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	tokensPerEvent = 2
	healthPath     = "/healthcheck"
	modelService   = "model"
	toolService    = "tool"
)

// signature returns the signature of an endpoint's response to an attempt.
func signature(id string) string { return "s." + id }

// toolResponse returns the body of the response to a tool call.
func toolResponse(id, input string) string { return id + " heard " + input }

// endpoint is a fake endpoint: it runs turns as streams of events, and tool calls.
type endpoint struct {
	instance, service, address, zone string
	slots                            int

	checker  *ruleChecker
	running  atomic.Int64
	draining atomic.Bool
	server   *http.Server
}

// endpointConfig configures an endpoint.
type endpointConfig struct {
	ip, instance, service, zone string
	slots                       int // requests that run at once
	checker                     *ruleChecker
}

// startEndpoint starts an endpoint that listens on a free port of the IP address.
func startEndpoint(config endpointConfig) (*endpoint, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(config.ip, "0"))
	if err != nil {
		return nil, err
	}
	endpoint := &endpoint{instance: config.instance, service: config.service, address: listener.Addr().String(), zone: config.zone, slots: config.slots,
		checker: config.checker}
	endpoint.server = &http.Server{Handler: endpoint}
	go func() { _ = endpoint.server.Serve(listener) }()
	return endpoint, nil
}

// shutDown stops the endpoint when its requests have ended, or when ctx ends.
func (endpoint *endpoint) shutDown(ctx context.Context) {
	endpoint.draining.Store(true)
	if endpoint.server.Shutdown(ctx) != nil {
		_ = endpoint.server.Close()
	}
}

// ServeHTTP implements http.Handler.
func (endpoint *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	head := w.Header()
	head.Set("X-Instance-Id", endpoint.instance)
	head.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", endpoint.running.Load(), endpoint.slots))
	if id != "" {
		head.Set("X-Attempt-Id", id)
	}
	if endpoint.draining.Load() {
		head.Set("Connection", "close")
	}
	body, err := io.ReadAll(r.Body)
	reject := func(status int) {
		head.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch target := r.Header.Get("X-Target-Instance"); {
	case err != nil:
		return
	case r.URL.Path == healthPath:
		if endpoint.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case target != "" && target != endpoint.instance:
		reject(http.StatusMisdirectedRequest)
		return
	case id == "":
		reject(http.StatusBadRequest)
		return
	}
	if endpoint.running.Add(1) > int64(endpoint.slots) {
		endpoint.running.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	defer endpoint.running.Add(-1)
	endpoint.checker.recordRun(id, endpoint.service, r.URL.Path, string(body))
	head.Set("X-Response-Signature", signature(id))
	if endpoint.service == toolService {
		if endpoint.work(r, id, 5*time.Millisecond, 20*time.Millisecond) {
			endpoint.checker.recordCompleted(id)
			_, _ = io.WriteString(w, toolResponse(id, string(body)))
		}
		return
	}
	endpoint.stream(w, r, id)
}

// work waits for a time between from and to that depends on the id, and reports whether the caller is still connected.
func (endpoint *endpoint) work(r *http.Request, id string, from, to time.Duration) bool {
	t := time.NewTimer(from + time.Duration(draw(id, uint64(to-from))))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// stream runs a turn: it sends events, at most as many as X-Token-Usage allows, but at least one.
func (endpoint *endpoint) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	maxTokens, _ := strconv.Atoi(out)
	count := 1
	if events := maxTokens / tokensPerEvent; events > 1 {
		count = events/2 + int(draw(id, uint64(events-events/2+1)))
	}
	flush := http.NewResponseController(w)
	for i := range count {
		from, to := 4*time.Millisecond, 10*time.Millisecond
		if i == 0 {
			from, to = 10*time.Millisecond, 40*time.Millisecond
		}
		if !endpoint.work(r, id, from, to) {
			panic(http.ErrAbortHandler) // the stream must not look complete
		}
		data := fmt.Sprintf("%s-%d", id, i+1)
		endpoint.checker.recordEvent(id, data)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, data); err != nil || flush.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	endpoint.checker.recordCompleted(id)
}

// draw returns a number below n that depends on the id only.
func draw(id string, n uint64) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	x := h.Sum64()
	return (x ^ x>>32) % max(n, 1)
}
