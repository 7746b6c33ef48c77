package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const tokensPerEvent = 2

// run is one request that an endpoint has run.
type run struct {
	at                           time.Time
	attempt, path, body, service string
	endpoint                     string
}

// platform is the list of endpoints, the endpoints themselves, and what they have run.
type platform struct {
	address string
	mu      sync.Mutex
	runs    map[string][]run // by attempt
	sent    map[string]int   // events that a model endpoint has sent, by attempt
	list    []map[string]any
	tune    func(attempt string) stream // how a model endpoint answers
}

// stream says how a model endpoint answers a turn.
type stream struct {
	events     int
	first, gap time.Duration
}

// startPlatform starts the platform with model and tool endpoints.
func startPlatform(models, tools int) (*platform, error) {
	p := &platform{runs: map[string][]run{}, sent: map[string]int{}, tune: func(string) stream { return stream{4, 10 * time.Millisecond, 5 * time.Millisecond} }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(p.instances)) }()
	for i := range models + tools {
		service := "model"
		if i >= models {
			service = "tool"
		}
		at, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		instance := fmt.Sprintf("i-%s-%d", service, i)
		go func() { _ = http.Serve(at, p.endpoint(instance, service)) }()
		p.list = append(p.list, entry(instance, service, at.Addr().String(), i))
	}
	return p, nil
}

// entry returns the entry of an endpoint in the list.
func entry(instance, service, address string, index int) map[string]any {
	return map[string]any{"instance_id": instance, "service_name": service, "address": address, "zone": fmt.Sprintf("zone-%d", index%4+1),
		"revision": "v1", "capacity": 64, "lifecycle_state": "ready", "cold_remaining_ms": 0}
}

// instances serves the list.
func (p *platform) instances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []map[string]any{}
	for _, entry := range p.list {
		if zone := r.FormValue("zone"); zone == "" || zone == entry["zone"] {
			list = append(list, entry)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next_page_token": nil})
}

// endpoint returns an endpoint of a service.
func (p *platform) endpoint(instance, service string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("X-Attempt-Id")
		w.Header().Set("X-Instance-Id", instance)
		w.Header().Set("X-Instance-Load", "1,0,64")
		if attempt != "" {
			w.Header().Set("X-Attempt-Id", attempt)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || r.URL.Path == "/healthcheck" {
			return
		}
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != instance {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		p.mu.Lock()
		p.runs[attempt] = append(p.runs[attempt], run{time.Now(), attempt, r.URL.Path, string(body), service, instance})
		answer := p.tune(attempt)
		p.mu.Unlock()
		w.Header().Set("X-Response-Signature", "s."+attempt)
		if service == "tool" {
			time.Sleep(answer.first)
			_, _ = io.WriteString(w, attempt+" done "+string(body))
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(w)
		for i := range answer.events {
			if i == 0 {
				time.Sleep(answer.first)
			} else {
				time.Sleep(answer.gap)
			}
			p.mu.Lock()
			p.sent[attempt]++
			p.mu.Unlock()
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i+1, attempt, i+1); err != nil || flush.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})
}
