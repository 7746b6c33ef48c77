// Package sendertest provides test doubles for the peers of a sender: discovery with its notices, and
// endpoints with scripted answers. All of them listen on loopback addresses, port 0.
package sendertest

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/cloudevents"
)

// Wait is how long a test waits for an expected event.
const Wait = 20 * time.Second

// Call is a request that an endpoint received.
type Call struct {
	ID, Key, Body string
	Header        http.Header
	Conn          int // number of its connection, from 1
	Method, Path  string
}

// Endpoint is an endpoint of a destination. Its answer function gets each complete call and the connection to answer on; if it
// returns false, the connection is closed.
type Endpoint struct {
	Addr  string
	Calls chan Call // received calls that the test has not read yet; while it is full, the next call is not answered
	close func()
}

// unreadCalls is the capacity of Endpoint.Calls.
const unreadCalls = 1000

// NewEndpoint starts an endpoint with an answer function.
func NewEndpoint(t testing.TB, answer func(Call, net.Conn) bool) *Endpoint {
	t.Helper()
	return startEndpoint(t, make(chan Call, unreadCalls), answer)
}

// NewUnreadEndpoint starts an endpoint for a test that reads no calls from the endpoint, however many it receives: only answer gets
// them, and Calls is nil.
func NewUnreadEndpoint(t testing.TB, answer func(Call, net.Conn) bool) *Endpoint {
	t.Helper()
	return startEndpoint(t, nil, answer)
}

// startEndpoint starts an endpoint that passes its calls to the channel calls, unless that is nil.
func startEndpoint(t testing.TB, calls chan Call, answer func(Call, net.Conn) bool) *Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Endpoint{Addr: l.Addr().String(), Calls: calls}
	var mu sync.Mutex
	var conns []net.Conn
	e.close = func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	}
	t.Cleanup(e.close)
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			go e.serve(c, n, answer)
		}
	}()
	return e
}

// serve answers the calls of the n-th connection.
func (e *Endpoint) serve(c net.Conn, n int, answer func(Call, net.Conn) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		call := Call{req.Header.Get("X-Request-Id"), req.Header.Get("Idempotency-Key"), string(body), req.Header, n, req.Method, req.URL.Path}
		if e.Calls != nil {
			e.Calls <- call
		}
		if !answer(call, c) {
			return
		}
	}
}

// Status returns an answer function that gives every call the same status code and further header lines.
func Status(code int, lines ...string) func(Call, net.Conn) bool {
	text := "HTTP/1.1 " + strconv.Itoa(code) + " X\r\nContent-Length: 0\r\n"
	for _, l := range lines {
		text += l + "\r\n"
	}
	return func(_ Call, c net.Conn) bool {
		_, err := io.WriteString(c, text+"\r\n")
		return err == nil
	}
}

// Unresponsive is an answer function that answers nothing and keeps the connection until its peer closes it.
func Unresponsive(_ Call, c net.Conn) bool {
	io.Copy(io.Discard, c)
	return false
}

// Reset is an answer function that resets the connection.
func Reset(_ Call, c net.Conn) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

// Next waits for the next call.
func (e *Endpoint) Next(t testing.TB) Call {
	t.Helper()
	return Receive(t, e.Calls)
}

// Receive waits for a value.
func Receive[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Wait):
		t.Fatal("timed out waiting for a value")
		panic("unreachable")
	}
}

// Notice is a notice that discovery received.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms"`
}

// Platform is a test double of discovery: the list, its watches and notices.
type Platform struct {
	Addr    string
	Notices chan Notice
	Lists   chan string // the query of each call for the list

	mu             sync.Mutex
	version        int
	targets        []map[string]any
	changed        chan struct{}
	rejectsLists   bool
	rejectsNotices bool // notices are answered 503
}

// NewPlatform starts discovery with a list of endpoints: the address at index i is for destination i.
func NewPlatform(t testing.TB, addrs ...string) *Platform {
	p := &Platform{Notices: make(chan Notice, 1000), Lists: make(chan string, 1000), version: 1, changed: make(chan struct{})}
	for i, a := range addrs {
		p.targets = append(p.targets, Target("s-"+strconv.Itoa(i), a, i, "SERVING"))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", p.list)
	mux.HandleFunc("POST /v1/notices", p.notices)
	s := httptest.NewServer(mux)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	p.Addr = strings.TrimPrefix(s.URL, "http://")
	return p
}

// Target returns a line of the list.
func Target(id, addr string, cell int, state string) map[string]any {
	return map[string]any{"id": id, "addr": addr, "cell": cell, "state": state, "zone": "a", "kind": "plain", "weight": 1.0, "started_ms": 0}
}

// Known returns the list as a configuration contains it.
func (p *Platform) Known() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]any{"version": p.version, "full": true, "servers": p.targets}
}

// Change adds or replaces a line of the list and answers the watches.
func (p *Platform) Change(line map[string]any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	for i := range p.targets {
		if p.targets[i]["id"] == line["id"] {
			p.targets = append(p.targets[:i:i], p.targets[i+1:]...)
			break
		}
	}
	p.targets = append(p.targets, line)
	p.wake()
}

// wake makes the watches check the list again; p.mu must be held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// RejectListCalls makes requests for the list fail, or succeed again; watches in progress end with an error too.
func (p *Platform) RejectListCalls(reject bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejectsLists = reject
	p.wake()
}

// RejectNotices makes notices fail, or succeed again.
func (p *Platform) RejectNotices(reject bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejectsNotices = reject
}

// list answers GET /api/targets.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.Lists <- r.URL.RawQuery
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		p.mu.Lock()
		version, changed, rejected := p.version, p.changed, p.rejectsLists
		answer, _ := json.Marshal(map[string]any{"version": p.version, "full": true, "servers": p.targets})
		p.mu.Unlock()
		if rejected {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if err != nil || version > after {
			w.Write(answer)
			return
		}
		select {
		case <-changed:
		case <-over:
			json.NewEncoder(w).Encode(map[string]any{"version": version, "full": false, "servers": []any{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// notices answers POST /v1/notices.
func (p *Platform) notices(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	rejected := p.rejectsNotices
	p.mu.Unlock()
	if rejected {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	dec := json.NewDecoder(r.Body)
	for {
		var n Notice
		if err := dec.Decode(&n); err == io.EOF {
			break
		} else if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.Notices <- n
	}
	w.WriteHeader(http.StatusNoContent)
}

// Config returns a sender's configuration: classes "safe", "keyed" and "unsafe", one tenant "acme", ten slots.
func Config(p *Platform, state string) map[string]any {
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "slo": 2500.0, "giveUp": 20000.0, "effect": effect, "dedupWindow": 7500.0,
			"dedupScope": "all", "worth": 1.0, "lateValue": 0.5}
	}
	return map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": p.Addr, "state": state, "seed": "5",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":  p.Known(),
		"settings": map[string]any{"balancers": 1, "discovery": "on_request", "step": 5.0, "zone": 0, "zones": []any{"a"},
			"models":     []any{"plain"},
			"familyInfo": map[string]any{"callsOut": 10, "fades": "halving", "routesApart": []any{false}, "perCall": []any{1}},
			"limits": map[string]any{"cancel": true, "connIdle": 15000.0, "connectTimeout": 1500.0, "maxAttempts": 6,
				"mostHeld": 100, "retryAfter": true, "maxRetryAfter": 2000.0},
			"rules": map[string]any{"fallMultiple": 2.0, "startCapacity": 0.2, "overloadFor": 3000.0, "cold": 14000.0},
			"services": []any{class("safe", "read_like"), class("keyed", "idempotency_key"),
				class("unsafe", "non_idempotent")},
			"orgs":      []any{map[string]any{"name": "acme", "share": 1.0, "allowancePerS": 1000.0}},
			"telemetry": map[string]any{"fields": []any{"x0", "x1"}, "via": "answers"}}}
}

// Submission is a message that a client submits: tenant "acme", idempotency key "key-" and its id.
type Submission struct {
	ID, Class   string
	Destination int
	Deadline    time.Duration // from the arrival of its request
	Body        string
}

// Request returns the request that submits a message to the sender at addr.
func Request(t testing.TB, addr string, s Submission) *http.Request {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+addr+"/api", strings.NewReader(s.Body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Request-Id": s.ID, "X-Class": s.Class, "X-Tenant": "acme", "Idempotency-Key": "key-" + s.ID,
		"X-Deadline-Ms": strconv.FormatInt(s.Deadline.Milliseconds(), 10), "X-Addressing": "dest=" + strconv.Itoa(s.Destination)} {
		r.Header.Set(k, v)
	}
	return r
}

// client has its own transport: closing any httptest server breaks the requests in flight on the default one.
var client = &http.Client{Transport: &http.Transport{}}

// Do sends a request and returns the response and its body.
func Do(t testing.TB, r *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// Submit submits a message with the body "body of " and its id, and fails the test unless it is accepted.
func Submit(t testing.TB, addr string, s Submission) {
	t.Helper()
	s.Body = "body of " + s.ID
	if resp, body := Do(t, Request(t, addr, s)); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("message %s is answered %s: %s", s.ID, resp.Status, body)
	}
}

// BatchIDs returns the ids of the events in a call.
func BatchIDs(t testing.TB, c Call) []string {
	t.Helper()
	items, err := cloudevents.ReadBatch([]byte(c.Body), 1000, 1<<20)
	if err != nil {
		t.Fatalf("%v: %s", err, c.Body)
	}
	var ids []string
	for _, it := range items {
		if it.Err != nil {
			t.Fatal(it.Err)
		}
		ids = append(ids, it.Event.Get("id"))
	}
	return ids
}
