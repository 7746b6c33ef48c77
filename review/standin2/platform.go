package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the stand-ins' services, and the tokens of one event.
const (
	modelService   = "council"
	tokensPerEvent = 2
	signatureField = "X-Response-Signature"
)

// platform is the platform's list, and the endpoints on it.
type platform struct {
	lab     *lab
	address string
	server  *http.Server

	mu        sync.Mutex
	endpoints []*endpoint
	count     int
}

// endpoint is a stand-in of a model endpoint.
type endpoint struct {
	platform *platform
	instance string
	address  string
	server   *http.Server
	serve    func(w http.ResponseWriter, r *http.Request, body string)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newPlatform starts a platform whose list is empty.
func newPlatform(l *lab) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{lab: l, address: listener.Addr().String()}
	p.server = &http.Server{Handler: http.HandlerFunc(p.list)}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// list serves GET /instances, on one page.
func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	type object = map[string]any
	entries := []object{}
	p.mu.Lock()
	for i, e := range p.endpoints {
		entries = append(entries, object{"instance_id": e.instance, "service_name": modelService, "address": e.address, "zone": "z-" + strconv.Itoa(i%4),
			"revision": "v1", "capacity": 96, "lifecycle_state": "ready", "cold_remaining_ms": 0, "phase": "both",
			"models": []object{{"name": "m", "revision": 1, "adapters": []string{}}}})
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(object{"instances": entries, "next_page_token": nil})
}

// add starts an endpoint and lists it. The function serve answers what the endpoint runs.
func (p *platform) add(serve func(w http.ResponseWriter, r *http.Request, body string)) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	e := &endpoint{platform: p, instance: fmt.Sprintf("i-%d", p.count), address: listener.Addr().String(), serve: serve, conns: map[net.Conn]bool{}}
	e.server = &http.Server{Handler: e, ConnState: e.track}
	go func() { _ = e.server.Serve(listener) }()
	p.endpoints = append(p.endpoints, e)
	return nil
}

// track keeps the open connections of an endpoint.
func (e *endpoint) track(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, conn)
	case http.StateActive, http.StateIdle:
	}
}

// ServeHTTP implements http.Handler as the pages say: a request for another instance is rejected with 421, one without an id with 400.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	head := w.Header()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		head.Set("X-Attempt-Id", id)
	}
	switch target := r.Header.Get("X-Target-Instance"); {
	case r.URL.Path == "/healthcheck":
		head.Set("X-Instance-Id", e.instance)
	case target != "" && target != e.instance:
		head.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case id == "":
		head.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		e.platform.lab.note("run %s at %s: %d bytes, Program %s, Previous %q", id, e.instance, len(body), r.Header.Get("Program"), r.Header.Get("Previous"))
		head.Set(signatureField, "s."+id)
		e.serve(w, r, string(body))
	}
}

// crash ends an endpoint at once: its connections are reset, and the list shows it for some seconds more.
func (e *endpoint) crash(listedFor time.Duration) {
	e.platform.lab.note("endpoint %s crashes", e.instance)
	e.mu.Lock()
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	e.mu.Unlock()
	go func() { _ = e.server.Close() }()
	time.AfterFunc(listedFor, func() {
		p := e.platform
		p.mu.Lock()
		defer p.mu.Unlock()
		for i, other := range p.endpoints {
			if other == e {
				p.endpoints = append(p.endpoints[:i:i], p.endpoints[i+1:]...)
				return
			}
		}
	})
}

// sendEvent sends one event of a stream, and reports whether the caller is still there.
func sendEvent(w http.ResponseWriter, number int, data string) bool {
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// transcriptOf returns a turn's part of the prompt of the next: its input, then the data of each event followed by a line feed.
func transcriptOf(input string, events []string) string {
	var b strings.Builder
	b.WriteString(input)
	for _, e := range events {
		b.WriteString(e + "\n")
	}
	return b.String()
}

// close stops the platform and its endpoints.
func (p *platform) close() {
	_ = p.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		_ = e.server.Close()
	}
}
