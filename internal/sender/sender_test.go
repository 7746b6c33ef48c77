package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
	"saffronyard.example/saffronyard/internal/membership"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// newTestSender creates a sender that shuts down quickly; edit may change its configuration.
func newTestSender(t testing.TB, p *st.Platform, edit func(c *Config)) *Sender {
	t.Helper()
	raw, err := json.Marshal(st.Config(p, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfig(raw)
	if err != nil {
		t.Fatal(err)
	}
	if edit != nil {
		edit(c)
	}
	s, err := New(c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	s.gracePeriod, s.shutdownTimeout = 0, 100*time.Millisecond
	return s
}

// run starts a sender in this process and returns its address.
func run(t *testing.T, p *st.Platform, edit func(c *Config)) string {
	t.Helper()
	return runWith(t, p, edit, func(*Sender) {})
}

// runWith is run with a function that changes the sender before it serves.
func runWith(t *testing.T, p *st.Platform, edit func(c *Config), change func(*Sender)) string {
	t.Helper()
	s := newTestSender(t, p, edit)
	change(s)
	addr, stop := serving(t, s)
	t.Cleanup(stop)
	return addr
}

// serving runs a sender and returns its address; stop shuts it down and fails the test on an error.
func serving(t *testing.T, s *Sender) (addr string, stop func()) {
	t.Helper()
	addrs := make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- s.Run(ctx, func() (net.Listener, error) {
			l, err := net.Listen("tcp", s.config.Listen)
			if err == nil {
				addrs <- l.Addr().String()
			}
			return l, err
		})
	}()
	return st.Receive(t, addrs), func() {
		cancel()
		if err := st.Receive(t, done); err != nil {
			t.Error(err)
		}
	}
}

func TestSender_Delivers(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	body := string([]byte{0, 255, '\r', '\n'}) + strings.Repeat("x", maxBodyBytes-4)
	r := st.Request(t, addr, st.Submission{ID: "m1", Class: "keyed", Destination: 0, Deadline: 5 * time.Second, Body: body})
	r.Header.Set("X-Addressing", "other=1, dest=0")
	if resp, text := st.Do(t, r); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("%s %s", resp.Status, text)
	}
	if c := e.Next(t); c.ID != "m1" || c.Key != "key-m1" || c.Body != body {
		t.Errorf("%s %s, %d bytes", c.ID, c.Key, len(c.Body))
	}
}

// An invalid request gets an error in one line and is not delivered, and the sender continues to serve.
func TestServer_BadInput(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	for name, c := range map[string]struct {
		edit   func(*http.Request)
		status int
	}{
		"no id":            {func(r *http.Request) { r.Header.Del("X-Request-Id") }, 400},
		"endless id":       {func(r *http.Request) { r.Header.Set("X-Request-Id", strings.Repeat("i", 200)) }, 400},
		"id not ASCII":     {func(r *http.Request) { r.Header.Set("X-Request-Id", "\xff") }, 400},
		"no class":         {func(r *http.Request) { r.Header.Del("X-Class") }, 400},
		"unknown class":    {func(r *http.Request) { r.Header.Set("X-Class", "other") }, 400},
		"unknown tenant":   {func(r *http.Request) { r.Header.Set("X-Tenant", "other") }, 400},
		"no key":           {func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"no deadline":      {func(r *http.Request) { r.Header.Del("X-Deadline-Ms") }, 400},
		"deadline a word":  {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "soon") }, 400},
		"deadline below 0": {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "-5") }, 400},
		"deadline endless": {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "9223372036854775807") }, 400},
		"no dest":          {func(r *http.Request) { r.Header.Del("X-Addressing") }, 400},
		"dest a word":      {func(r *http.Request) { r.Header.Set("X-Addressing", "dest=here") }, 400},
		"dest too high":    {func(r *http.Request) { r.Header.Set("X-Addressing", "dest=70000") }, 400},
		"body too long": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, maxBodyBytes+1))), maxBodyBytes+1
		}, 413},
		"chunked":      {func(r *http.Request) { r.ContentLength = -1 }, 400},
		"wrong path":   {func(r *http.Request) { r.URL.Path = "/other" }, 404},
		"wrong method": {func(r *http.Request) { r.Method = http.MethodPut }, 405},
	} {
		r := st.Request(t, addr, st.Submission{ID: "bad", Class: "keyed", Destination: 0, Deadline: 5 * time.Second, Body: "x"})
		c.edit(r)
		resp, text := st.Do(t, r)
		if resp.StatusCode != c.status || strings.Count(text, "\n") != 1 || len(text) < 5 {
			t.Errorf("%s: %s %q", name, resp.Status, text)
		}
	}
	st.Submit(t, addr, st.Submission{ID: "good", Class: "keyed", Destination: 0, Deadline: 5 * time.Second})
	if c := e.Next(t); c.ID != "good" {
		t.Errorf("the endpoint got %s", c.ID)
	}
}

// A message for which there is no room is rejected before it is sent, with a Retry-After.
func TestSender_RejectsWhenFull(t *testing.T) {
	t.Parallel()
	for name, edit := range map[string]func(*Config){
		"pending limit": func(c *Config) { c.Settings.MaxPending = 3 },
		"disk":          func(c *Config) { c.Limits.DiskMB = 0.012 },
	} {
		e := st.NewEndpoint(t, st.Unresponsive)
		addr := run(t, st.NewPlatform(t, e.Addr), edit)
		rejected := false
		for i := 0; i < 20 && !rejected; i++ {
			resp, _ := st.Do(t, st.Request(t, addr, st.Submission{ID: "m" + strconv.Itoa(i), Class: "safe", Destination: 0, Deadline: 15 * time.Second, Body: "body"}))
			switch resp.StatusCode {
			case http.StatusAccepted:
			case http.StatusServiceUnavailable:
				rejected = true
				if wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || wait != 2 {
					t.Errorf("%s: Retry-After %q", name, resp.Header.Get("Retry-After"))
				}
			default:
				t.Fatalf("%s: %s", name, resp.Status)
			}
			if i == 0 && rejected {
				t.Errorf("%s: the first message is rejected", name)
			}
		}
		if !rejected {
			t.Errorf("%s: no message is rejected", name)
		}
	}
}

// A message that the module gives up ends at once: with the response if its client is not answered yet, else with a notice, which
// is repeated until it is acknowledged.
func TestSender_GivesUp(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(500))
	p := st.NewPlatform(t, e.Addr)
	p.RejectNotices(true)
	addr := run(t, p, nil)
	if resp, _ := st.Do(t, st.Request(t, addr, st.Submission{ID: "late", Class: "safe", Destination: 0, Deadline: 0, Body: ""})); resp.StatusCode != http.StatusInternalServerError {
		t.Errorf("a message past its deadline is answered %s", resp.Status)
	}
	began := time.Now()
	st.Submit(t, addr, st.Submission{ID: "doubt", Class: "unsafe", Destination: 0, Deadline: 19 * time.Second})
	e.Next(t)
	p.RejectNotices(false)
	if n := st.Receive(t, p.Notices); n.Message != "doubt" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("the notice came only after %v", took)
	}
	if len(e.Calls) != 0 {
		t.Error("an unsafe message that may have run was sent again")
	}
}

// If the module hands back an accepted message, the notice contains the time after which its client may submit it again.
func TestSender_HandsBack(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Unresponsive)
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, func(c *Config) { c.Settings.MaxPending = 20 })
	for i := range 20 { // the module hands messages back from 95% on
		resp, body := st.Do(t, st.Request(t, addr, st.Submission{ID: "m" + strconv.Itoa(i), Class: "safe", Destination: 0, Deadline: 15 * time.Second, Body: ""}))
		if resp.StatusCode != http.StatusAccepted && resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%s %s", resp.Status, body)
		}
		if resp.StatusCode == http.StatusServiceUnavailable {
			if resp.Header.Get("Retry-After") != "2.000" {
				t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
			}
			return
		}
	}
	if n := st.Receive(t, p.Notices); n.Outcome != "handed_back" || n.RetryMS != 2000 {
		t.Errorf("notice %+v", n)
	}
}

// After a response that demands a wait, no call goes to that destination before the wait is over.
func TestSender_HonoursRetryAfter(t *testing.T) {
	t.Parallel()
	var first atomic.Bool
	rejectedAt := make(chan time.Time, 1)
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if first.CompareAndSwap(false, true) {
			rejectedAt <- time.Now()
			return st.Status(429, "X-RateLimit-Wait-Ms: 700")(c, nc)
		}
		return st.Status(200)(c, nc)
	})
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	st.Submit(t, addr, st.Submission{ID: "a", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
	e.Next(t)
	from := st.Receive(t, rejectedAt)
	st.Submit(t, addr, st.Submission{ID: "b", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
	e.Next(t)
	if waited := time.Since(from); waited < 700*time.Millisecond {
		t.Errorf("the next call was sent after %v", waited)
	}
}

// watching waits until the sender watches for changes after a version.
func watching(t *testing.T, p *st.Platform, version int) {
	t.Helper()
	for !strings.HasPrefix(st.Receive(t, p.Lists), "after="+strconv.Itoa(version)+"&") {
	}
}

func TestSender_DrainingEndpoint(t *testing.T) {
	t.Parallel()
	old, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, old.Addr)
	addr := run(t, p, nil)
	st.Submit(t, addr, st.Submission{ID: "a", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
	old.Next(t)
	watching(t, p, 1)
	p.Change(st.Target("s-0", old.Addr, 0, "DRAINING"))
	watching(t, p, 2)
	st.Submit(t, addr, st.Submission{ID: "b", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
	p.Change(st.Target("s-9", other.Addr, 0, "SERVING"))
	if c := other.Next(t); c.ID != "b" {
		t.Errorf("the new endpoint got %s", c.ID)
	}
	if len(old.Calls) != 0 {
		t.Error("the draining endpoint got a call")
	}
}

// While discovery is down the sender continues with the list that it has, and requests only newer changes: three hundred senders that
// requested the complete list after each rejection kept discovery rejecting for twenty seconds, and a drain was received too late.
func TestDiscovery_Outage(t *testing.T) {
	t.Parallel()
	e, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, nil)
	watching(t, p, 1)
	p.RejectListCalls(true)
	for range 3 { // all rejected, and none for the complete list
		if query := st.Receive(t, p.Lists); !strings.HasPrefix(query, "after=1&") {
			t.Fatalf("the query is %q", query)
		}
	}
	st.Submit(t, addr, st.Submission{ID: "a", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
	e.Next(t)
	p.Change(st.Target("s-0", other.Addr, 0, "SERVING"))
	p.RejectListCalls(false)
	watching(t, p, 2)
	st.Submit(t, addr, st.Submission{ID: "b", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
	if c := other.Next(t); c.ID != "b" {
		t.Errorf("the new address got %s", c.ID)
	}
}

// A registry that answers with changes of an older version than the sender's has restarted its numbering: the complete list is requested.
func TestDiscovery_VersionsReset(t *testing.T) {
	t.Parallel()
	queries := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		switch r.URL.RawQuery {
		case "":
			io.WriteString(w, `{"version":3,"full":true,"servers":[]}`)
		case "after=9&wait_ms=0":
			io.WriteString(w, `{"version":2,"full":false,"servers":[]}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	requests := make(chan struct{}, 1)
	requests <- struct{}{}
	go newDiscovery(strings.TrimPrefix(s.URL, "http://")).follow(ctx, 9, requests, func(Targets) {}, func(error) {})
	for _, want := range []string{"after=9&wait_ms=0", "", "after=3&wait_ms=2000"} {
		if got := st.Receive(t, queries); got != want {
			t.Fatalf("the query is %q, want %q", got, want)
		}
	}
}

// listedAt returns the line of the list for a serving endpoint.
func listedAt(id string, e *st.Endpoint) Target {
	return Target{ID: id, Addr: e.Addr, State: membership.Serving, Zone: "a", Kind: "plain"}
}

// leaveMessage writes a journal as an earlier process leaves it: with message m, after the records that before writes. It sets the
// configuration's list to the old endpoint.
func leaveMessage(t *testing.T, c *Config, old *st.Endpoint, before func(*journal)) {
	t.Helper()
	c.Known = Targets{Version: 1, Full: true, Servers: []Target{listedAt("s-0", old)}}
	j := openTestJournal(t, c.StateDir, 1<<20)
	before(j)
	if _, err := j.insertAndFlush(record{ID: "m", Class: "keyed", Key: "k", Tenant: "acme", Deadline: newClock().now() + 15*time.Second}); err != nil {
		t.Fatal(err)
	}
	if err := j.close(); err != nil {
		t.Fatal(err)
	}
}

// awaitDelivery waits for message m at the new endpoint and checks that the drained one has got no call by then.
func awaitDelivery(t *testing.T, other, old *st.Endpoint) {
	t.Helper()
	if c := other.Next(t); c.ID != "m" {
		t.Errorf("the new endpoint got %s", c.ID)
	}
	if len(old.Calls) != 0 {
		t.Error("the drained endpoint got a call")
	}
}

// The configuration's list may be older than that of the earlier process: a resumed message must not be sent to an endpoint that has
// drained since.
func TestResume_HonoursEarlierDrain(t *testing.T) {
	t.Parallel()
	old, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, old.Addr)
	p.Change(st.Target("s-0", old.Addr, 0, "DRAINING"))
	p.Change(st.Target("s-1", other.Addr, 0, "SERVING"))
	run(t, p, func(c *Config) {
		leaveMessage(t, c, old, func(*journal) {})
	})
	awaitDelivery(t, other, old)
}

// Idle connections to a machine that was cut off from the network are dead, but not closed: after a call on one of them has timed out,
// the next call opens a new connection.
func TestSender_ClosesIdleConnectionsAfterTimeout(t *testing.T) {
	t.Parallel()
	var cut atomic.Bool
	both := make(chan struct{}, 2)
	answer := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.Conn <= 2 && cut.Load() {
			return st.Unresponsive(c, nc)
		}
		if c.Conn <= 2 {
			both <- struct{}{}
			<-answer // so that two connections are needed
		}
		return st.Status(200)(c, nc)
	})
	p := st.NewPlatform(t, e.Addr)
	s := newTestSender(t, p, nil)
	s.endpoints.Apply(Targets{Servers: []Target{{ID: "e", Addr: e.Addr, State: "SERVING"}}}, false, s.config.endpointNames(), s.pool)
	endpoint := s.endpoints.ByID["e"]
	callOnce := func(p *calls.Pool, e *calls.Endpoint, timeout time.Duration, body string) brain.AttemptResult {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		result, _ := p.Call(ctx, e, []calls.Ticket{{Message: calls.Message{ID: "id", Body: []byte(body)}, Permit: &calls.Permit{Until: time.Now().Add(timeout), Cancel: func() {}}}}, timeout)
		return result
	}
	served := make(chan struct{}, 2)
	for range 2 {
		go func() { callOnce(s.pool, endpoint, st.Wait, ""); served <- struct{}{} }()
	}
	st.Receive(t, both)
	st.Receive(t, both)
	close(answer)
	st.Receive(t, served)
	st.Receive(t, served)
	if n := s.pool.Idle(); n != 2 {
		t.Fatalf("%d idle connections", n)
	}
	cut.Store(true)
	began := time.Now()
	result := callOnce(s.pool, endpoint, 30*time.Millisecond, "")
	result.Elapsed = time.Since(began)
	s.handleCallResult(callResult{&message{storedMessage: &storedMessage{}, ended: true, calls: inFlightCalls{{Permit: &calls.Permit{Cancel: func() {}}}}}, 0, result, false})
	if n := s.pool.Idle(); n != 0 {
		t.Errorf("%d idle connections after a time-out", n)
	}
	if got := callOnce(s.pool, endpoint, st.Wait, ""); !got.Final {
		t.Errorf("the next call: %+v", got)
	}
}

// On a full disk messages are rejected, not sent and not kept, and once there is space again the sender serves normally, with all its
// slots.
func TestSender_RejectsUnwrittenMessages(t *testing.T) {
	t.Parallel()
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip(err)
	}
	defer full.Close()
	e := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	var block string
	addr := runWith(t, p, func(c *Config) { block = filepath.Join(c.StateDir, journalFileName+".new", "x") }, func(created *Sender) {
		created.journal.file.Close()
		created.journal.file = full
		if err := os.MkdirAll(block, 0o700); err != nil { // no new file can be created either
			t.Fatal(err)
		}
	})
	for i := range 30 { // three times its slots
		resp, _ := st.Do(t, st.Request(t, addr, st.Submission{ID: "no" + strconv.Itoa(i), Class: "safe", Destination: 0, Deadline: 15 * time.Second, Body: "x"}))
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("a message that can't be written is answered %s", resp.Status)
		}
	}
	if err := os.RemoveAll(filepath.Dir(block)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(st.Wait); ; {
		resp, _ := st.Do(t, st.Request(t, addr, st.Submission{ID: "yes", Class: "safe", Destination: 0, Deadline: 15 * time.Second, Body: "x"}))
		if resp.StatusCode == http.StatusAccepted {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the sender does not recover")
		}
	}
	if c := e.Next(t); c.ID != "yes" {
		t.Errorf("%s was sent though it was rejected", c.ID)
	}
	for i := range 30 {
		st.Submit(t, addr, st.Submission{ID: "m" + strconv.Itoa(i), Class: "safe", Destination: 0, Deadline: 15 * time.Second})
		e.Next(t)
	}
}
