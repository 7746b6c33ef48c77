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

// signature is the stamp by which an answer is known as that of an endpoint to a try.
func signature(id string) string { return "s." + id }

// toolAnswer is the body of an answer to a call of a tool.
func toolAnswer(id, input string) string { return id + " heard " + input }

// endpoint is a stand-in: it runs turns as streams of events and answers calls of tools.
type endpoint struct {
	instance, service, address, zone string
	slots                            int

	witness  *witness
	running  atomic.Int64
	draining atomic.Bool
	server   *http.Server
}

// startEndpoint listens on a port of its own at ip.
func startEndpoint(w *witness, ip, instance, service, zone string, slots int) (*endpoint, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	e := &endpoint{instance: instance, service: service, address: l.Addr().String(), zone: zone, slots: slots, witness: w}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// leave ends the endpoint when what it runs has ended, or with ctx.
func (e *endpoint) leave(ctx context.Context) {
	e.draining.Store(true)
	if e.server.Shutdown(ctx) != nil {
		_ = e.server.Close()
	}
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	head := w.Header()
	head.Set("X-Instance-Id", e.instance)
	head.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots))
	if id != "" {
		head.Set("X-Attempt-Id", id)
	}
	if e.draining.Load() {
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
		if e.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case target != "" && target != e.instance:
		reject(http.StatusMisdirectedRequest)
		return
	case id == "":
		reject(http.StatusBadRequest)
		return
	}
	if e.running.Add(1) > int64(e.slots) {
		e.running.Add(-1)
		reject(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	e.witness.ran(id, e.service, r.URL.Path, string(body))
	head.Set("X-Response-Signature", signature(id))
	if e.service == toolService {
		if e.work(r, id, 5*time.Millisecond, 20*time.Millisecond) {
			e.witness.ended(id)
			_, _ = io.WriteString(w, toolAnswer(id, string(body)))
		}
		return
	}
	e.stream(w, r, id)
}

// work takes some time, and reports whether the caller has waited.
func (e *endpoint) work(r *http.Request, id string, from, to time.Duration) bool {
	t := time.NewTimer(from + time.Duration(draw(id, uint64(to-from))))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// stream runs a turn: some events, at most as many as X-Token-Usage allows.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	most, _ := strconv.Atoi(out)
	count := 1
	if events := most / tokensPerEvent; events > 1 {
		count = events/2 + int(draw(id, uint64(events-events/2+1)))
	}
	flush := http.NewResponseController(w)
	for i := range count {
		from, to := 4*time.Millisecond, 10*time.Millisecond
		if i == 0 {
			from, to = 10*time.Millisecond, 40*time.Millisecond
		}
		if !e.work(r, id, from, to) {
			panic(http.ErrAbortHandler) // the stream must not look whole
		}
		data := fmt.Sprintf("%s-%d", id, i+1)
		e.witness.event(id, data)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, data); err != nil || flush.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	e.witness.ended(id)
}

// draw gives a number below n that is the id's own.
func draw(id string, n uint64) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	x := h.Sum64()
	return (x ^ x>>32) % max(n, 1)
}
