package traffic

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/receiver"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// target is a scripted sender: answer gets each request with its number, from 1, and writes on the connection;
// false closes it.
type target struct {
	addr string
	l    net.Listener
	off  atomic.Bool
	conn atomic.Int32 // connections accepted
	mu   sync.Mutex
	seen []*http.Request
}

func (s *target) Accepts() bool { return !s.off.Load() }
func (s *target) Addr() string  { return s.addr }

func (s *target) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.seen...)
}

func newTarget(t *testing.T, answer func(n int, r *http.Request, c net.Conn) bool) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &target{addr: l.Addr().String(), l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conn.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					s.mu.Lock()
					s.seen = append(s.seen, r)
					n := len(s.seen)
					s.mu.Unlock()
					if !answer(n, r, c) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func status(c net.Conn, code int, headers ...string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n%s\r\n", code, strings.Join(append(headers, ""), "\r\n"))
	return err == nil
}

type world struct {
	*Clients
	registry *Registry
	log      *eventlog.Log
}

// play hands in one message of a class with the given effect and waits until the message ends.
func play(t *testing.T, effect string, edit func(*script.Plan), targets func(w *world) []*target) *world {
	t.Helper()
	retries := 3
	plan := &script.Plan{Day: script.Day{Seed: 1, Retries: &retries, FirstBackoff: script.Span(10 * time.Millisecond), Patience: script.Span(5 * time.Second), Body: 10},
		Classes:   []script.Class{{Name: "c", Effect: effect, Deadline: script.Span(5 * time.Second)}},
		Receivers: []script.Receiver{{Name: "r0", Member: "m", Spec: receiver.Spec{}}},
		Arrivals:  []script.Arrival{{}}}
	if edit != nil {
		edit(plan)
	}
	log := eventlog.New(nil, nil)
	log.Restart()
	w := &world{registry: NewRegistry(log, 6, false), log: log}
	w.Clients = New(plan, log, w.registry, func(time.Duration) {})
	for i, s := range targets(w) {
		w.Join(fmt.Sprint("n", i), s)
	}
	done := make(chan struct{})
	go func() {
		w.Run(context.Background())
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("the message has not ended")
	}
	return w
}

// answers returns the answers in the log, in order.
func (w *world) answers() string {
	var all []string
	for _, e := range w.log.Events() {
		if e.Kind == eventlog.Answer {
			all = append(all, strings.TrimSpace(fmt.Sprint(e.Sender, " ", e.Status, " ", e.Detail)))
		}
	}
	return strings.Join(all, ", ")
}

func one(s *target) func(*world) []*target { return func(*world) []*target { return []*target{s} } }

func TestHandedInAndDelivered(t *testing.T) {
	t.Parallel()
	var w *world
	var s *target
	w = play(t, "keyed", nil, func(w *world) []*target {
		s = newTarget(t, func(_ int, r *http.Request, c net.Conn) bool {
			id := r.Header.Get("X-Request-Id")
			if sender, within, ok := w.registry.Called(id, 0); sender != "n0" || !within || !ok {
				t.Errorf("Called returns %s %v %v", sender, within, ok)
			}
			if _, _, ok := w.registry.Called(id, 1); ok {
				t.Error("a call at another receiver is accepted")
			}
			defer w.registry.Delivered(id)
			return status(c, 202)
		})
		return []*target{s}
	})
	if got := w.answers(); got != "n0 202" || w.registry.Open() != 0 {
		t.Errorf("%s, %d open", got, w.registry.Open())
	}
	r := s.requests()[0]
	if r.Header.Get("X-Class") != "c" || r.Header.Get("X-Tenant") != "m" || r.Header.Get("Idempotency-Key") == "" ||
		r.Header.Get("X-Addressing") != "dest=0" || r.ContentLength != 10 {
		t.Errorf("%v", r.Header)
	}
}

// A refused message is handed in again under a new id after the wait of the answer, and only as often as the plan allows.
func TestRetriesAfterRefusals(t *testing.T) {
	t.Parallel()
	s := newTarget(t, func(n int, _ *http.Request, c net.Conn) bool { return status(c, 503, "Retry-After: 0.05") })
	w := play(t, "keyed", func(p *script.Plan) { p.Day.Patience = script.Span(40 * time.Millisecond) }, one(s))
	all := s.requests()
	if n := s.conn.Load(); n != 1 {
		t.Errorf("%d connections, want 1: it is reused even after a client's time-out", n)
	}
	ids, keys := map[string]bool{}, map[string]bool{}
	for _, r := range all {
		ids[r.Header.Get("X-Request-Id")], keys[r.Header.Get("Idempotency-Key")] = true, true
	}
	if len(all) != 4 || len(ids) != 4 || len(keys) != 1 || all[1].Header.Get("X-Retry") != "1" {
		t.Errorf("%d requests, %d ids, %d keys", len(all), len(ids), len(keys))
	}
	at := []int64{}
	for _, e := range w.log.Events() {
		if e.Kind == eventlog.HandIn {
			at = append(at, e.T)
		}
	}
	for i := 1; i < len(at); i++ {
		if at[i]-at[i-1] < 50_000 {
			t.Errorf("handed in again after %d µs, want a wait of at least 50 ms", at[i]-at[i-1])
		}
	}
}

func TestNoRetryAfterAFailure(t *testing.T) {
	t.Parallel()
	s := newTarget(t, func(_ int, _ *http.Request, c net.Conn) bool { return status(c, 500) })
	if w := play(t, "safe", nil, one(s)); w.answers() != "n0 500" {
		t.Error(w.answers())
	}
}

// A notice ends an accepted message: one that is handed back is handed in again, one that is given up is not.
func TestNotices(t *testing.T) {
	t.Parallel()
	w := play(t, "safe", nil, func(w *world) []*target {
		return []*target{newTarget(t, func(n int, r *http.Request, c net.Conn) bool {
			outcome := "handed_back"
			if n == 3 {
				outcome = "given_up"
			}
			defer w.registry.Notice("n0", r.Header.Get("X-Request-Id"), outcome, 20*time.Millisecond)
			return status(c, 202)
		})}
	})
	if got := w.answers(); got != "n0 202, n0 202, n0 202" {
		t.Error(got)
	}
}

// After its time-out a client closes the connection and hands the message in again under a new id, unless the message must not be
// repeated.
func TestPatience(t *testing.T) {
	t.Parallel()
	for effect, want := range map[string]string{"keyed": "n0 0 patience, n0 500", "unsafe": "n0 0 patience"} {
		s := newTarget(t, func(n int, _ *http.Request, c net.Conn) bool {
			if n == 1 {
				io.Copy(io.Discard, c) // until the client has closed
				return false
			}
			return status(c, 500)
		})
		w := play(t, effect, func(p *script.Plan) { p.Day.Patience = script.Span(100 * time.Millisecond) }, one(s))
		if got := w.answers(); got != want {
			t.Errorf("%s: %s, want %s", effect, got, want)
		}
		if all := s.requests(); len(all) == 2 && all[1].Header.Get("X-Retry") != "again" {
			t.Errorf("%s: X-Retry %q", effect, all[1].Header.Get("X-Retry"))
		}
	}
}

// A sender that closes the connection without an answer is logged. On a reused idle connection the request is sent once more instead,
// since the sender may have closed the connection before it saw the request.
func TestClosedWithoutAnswer(t *testing.T) {
	t.Parallel()
	s := newTarget(t, func(n int, _ *http.Request, c net.Conn) bool { return n > 1 && status(c, 500) })
	if got := play(t, "safe", nil, one(s)).answers(); got != "n0 0 closed, n0 500" {
		t.Error(got)
	}
	s = newTarget(t, func(n int, _ *http.Request, c net.Conn) bool { return n != 2 && status(c, 503) })
	w := play(t, "safe", nil, one(s))
	if got := w.answers(); got != "n0 503, n0 503, n0 503, n0 503" {
		t.Error(got)
	}
	if n := len(s.requests()); n != 5 {
		t.Errorf("%d requests, want 5: the second is sent twice", n)
	}
}

// A sender that can't be reached is skipped for the next one, which does not count as a retry.
func TestNextSender(t *testing.T) {
	t.Parallel()
	refusing := newTarget(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.addr = l.Addr().String()
	l.Close()
	notAccepting := newTarget(t, nil)
	notAccepting.off.Store(true)
	running := newTarget(t, func(_ int, _ *http.Request, c net.Conn) bool { return status(c, 500) })
	w := play(t, "safe", nil, func(*world) []*target { return []*target{refusing, notAccepting, running} })
	if got := w.answers(); got != "n2 500" || len(notAccepting.requests()) != 0 {
		t.Error(got)
	}
}

// Messages of a lost sender are handed in at another sender, except one that may have run and must not be repeated.
func TestLostSender(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		effect string
		called bool
		want   string
	}{{"keyed", true, "n0 202, n1 500"}, {"unsafe", false, "n0 202, n1 500"}, {"unsafe", true, "n0 202"}} {
		w := play(t, c.effect, nil, func(w *world) []*target {
			var first *target
			first = newTarget(t, func(_ int, r *http.Request, nc net.Conn) bool {
				if c.called {
					w.registry.Called(r.Header.Get("X-Request-Id"), 0)
				}
				first.off.Store(true)
				first.l.Close()
				status(nc, 202)
				go func() {
					for w.registry.Open() == 0 {
						time.Sleep(time.Millisecond)
					}
					w.registry.Lost("n0")
				}()
				return false
			})
			return []*target{first, newTarget(t, func(_ int, r *http.Request, nc net.Conn) bool {
				if r.Header.Get("X-Retry") != "again" {
					t.Errorf("X-Retry: %q", r.Header.Get("X-Retry"))
				}
				return status(nc, 500)
			})}
		})
		if got := w.answers(); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
}

// Calls beyond the allowed attempts are reported as such, and an id that was not handed in is unknown.
func TestRegistry(t *testing.T) {
	b := NewRegistry(eventlog.New(nil, nil), 2, false)
	b.add(&handIn{id: "a", sender: "n1", dest: 4, outcome: make(chan end, 1)})
	for n, want := range []bool{true, true, false, false} {
		if _, within, ok := b.Called("a", 4); within != want || !ok {
			t.Errorf("call %d: within %v, known %v", n+1, within, ok)
		}
	}
	if _, _, ok := b.Called("b", 4); ok {
		t.Error("an id that no client handed in is accepted")
	}
	if _, _, ok := NewRegistry(eventlog.New(nil, nil), 2, true).Called("b", 4); !ok {
		t.Error("a registry that accepts unknown ids refuses one")
	}
	b.Delivered("a")
	b.Notice("n1", "a", "given_up", 0) // only the first end counts, and a second one must not block
	b.Delivered("b")
}

// If the answer to an event is lost, the same event is handed in again under another request id at the same sender, even in a class that
// must not be repeated.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	var first string
	w := play(t, "unsafe", func(p *script.Plan) {
		p.Day.Speak, p.Day.LostAnswers = encoding.Binary, 0.9
	}, func(w *world) []*target {
		return []*target{newTarget(t, func(n int, r *http.Request, c net.Conn) bool {
			id, event := r.Header.Get("X-Request-Id"), r.Header.Get("Ce-Id")
			if n == 1 {
				first = id
			}
			if event != first || n > 1 && id == first {
				t.Errorf("request %d: event %s as %s, first %s", n, event, id, first)
			}
			ok := status(c, 202, "X-Request-Id: "+first)
			if n == 1 {
				w.registry.Called(event, 0)
				w.registry.Delivered(event)
			}
			return ok
		})}
	})
	var events []eventlog.Event
	for _, e := range w.log.Events() {
		if e.Kind == eventlog.HandIn {
			events = append(events, e)
		}
	}
	if len(events) < 2 || events[0].Event != "" || events[1].Event != events[0].ID || !strings.HasSuffix(w.answers(), "n0 202") || !strings.Contains(w.answers(), "lost") {
		t.Errorf("%+v, %s", events, w.answers())
	}
}
