package sender

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saffronyard.example/saffronyard/internal/membership"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// notifiedWithin is when a change counts as told: so long after discovery had it and could be reached, whatever call failed.
const notifiedWithin = 6 * time.Second

// span is a stretch of a test's virtual time.
type span struct{ from, to time.Duration }

func (s span) has(at time.Duration) bool { return s.from <= at && at < s.to }

// virtualRegistry is discovery in virtual time, on connections in memory. What goes wrong with it, and when, is written down
// beforehand; times count from its begin.
type virtualRegistry struct {
	begin                time.Time
	down, refusing, mute []span          // no connection; 503 to each call; calls that come then are never answered
	unresponsive         []time.Duration // all watches that are open then say nothing any more
	refuseAfter          bool            // the first call after each silence is refused besides
	latency              time.Duration
	changes              []time.Duration          // the n-th makes version n+1
	partitionedAt        time.Duration            // connections that are open then say nothing any more
	notices              map[string]time.Duration // when each came first
	mu                   *sync.Mutex
	spared               int // silences whose refusal has come
}

func (v *virtualRegistry) now() time.Duration { return time.Since(v.begin) }

func during(spans []span, at time.Duration) bool {
	for _, s := range spans {
		if s.has(at) {
			return true
		}
	}
	return false
}

func (v *virtualRegistry) version() int {
	n := 1
	for _, at := range v.changes {
		if v.now() >= at {
			n++
		}
	}
	return n
}

// next is the first of all that is written down that comes after a time.
func (v *virtualRegistry) next(after time.Duration) (time.Duration, bool) {
	first, found := time.Duration(0), false
	look := func(at time.Duration) {
		if at > after && (!found || at < first) {
			first, found = at, true
		}
	}
	for _, at := range append(append([]time.Duration(nil), v.changes...), v.unresponsive...) {
		look(at)
	}
	for _, s := range v.down {
		look(s.from)
	}
	return first, found
}

func (v *virtualRegistry) dial(context.Context, string, string) (net.Conn, error) {
	if during(v.down, v.now()) {
		return nil, fmt.Errorf("connection refused")
	}
	ours, theirs := net.Pipe()
	go v.serve(theirs)
	return ours, nil
}

func (v *virtualRegistry) serve(c net.Conn) {
	defer c.Close()
	opened := v.now()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var lines []notice
		for d := json.NewDecoder(req.Body); err == nil; {
			var n notice
			if err = d.Decode(&n); err == nil {
				lines = append(lines, n)
			}
		}
		if opened < v.partitionedAt && v.now() >= v.partitionedAt {
			io.Copy(io.Discard, c)
			return
		}
		for _, n := range lines {
			v.noticed(n.Message)
		}
		switch status, body := v.answer(req); status {
		case 0:
			io.Copy(io.Discard, c) // until the other side gives it up
			return
		case -1:
			return
		default:
			fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		}
	}
}

// answer is the answer to a call once it is due; 0 for none ever, -1 for the connection's end.
func (v *virtualRegistry) answer(req *http.Request) (int, string) {
	came := v.now()
	if req.Method == http.MethodPost {
		return http.StatusNoContent, ""
	}
	v.mu.Lock()
	refused := false
	if v.refuseAfter {
		for n, at := range v.unresponsive {
			if came >= at && v.spared <= n {
				v.spared, refused = n+1, true
			}
		}
	}
	v.mu.Unlock()
	time.Sleep(v.latency)
	after, err := strconv.Atoi(req.URL.Query().Get("after"))
	if err != nil {
		after = -1
	}
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
	until := came + time.Duration(wait)*time.Millisecond
	switch {
	case during(v.mute, came):
		return 0, ""
	case refused || during(v.refusing, came):
		return http.StatusServiceUnavailable, ""
	}
	for v.version() <= after && v.now() < until {
		at := v.now()
		if next, ok := v.next(at); ok && next < until {
			time.Sleep(next - at)
		} else {
			time.Sleep(until - at)
		}
		for _, s := range v.unresponsive {
			if at < s && v.now() >= s {
				return 0, ""
			}
		}
		if during(v.down, v.now()) {
			return -1, ""
		}
	}
	raw, _ := json.Marshal(Targets{Version: int64(v.version()), Full: after < 0, Servers: []Target{
		{ID: "s-0", Addr: "127.0.0.1:9", State: membership.Serving, Zone: "a", Kind: "plain", Weight: float64(v.version())}}})
	return http.StatusOK, string(raw)
}

func (v *virtualRegistry) noticed(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.notices[id]; !ok {
		if v.notices == nil {
			v.notices = map[string]time.Duration{}
		}
		v.notices[id] = v.now()
	}
}

// deadline is when a change counts as told: toldAfter the first moment from which on discovery could be reached for so long.
func (v *virtualRegistry) deadline(change time.Duration) time.Duration {
	from := change
	for again := true; again; {
		again = false
		for _, s := range append(append(append([]span(nil), v.down...), v.refusing...), v.mute...) {
			if s.from < from+notifiedWithin && from < s.to {
				from, again = s.to, true
			}
		}
	}
	return from + notifiedWithin
}

// updateLog notes when a sender heard of each version, by its log.
type updateLog struct {
	slog.Handler
	mu    sync.Mutex
	begin time.Time
	at    map[int64]time.Duration
}

func (h *updateLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message != "list" {
		return nil
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "version" {
			h.mu.Lock()
			defer h.mu.Unlock()
			for n := int64(1); n <= a.Value.Int64(); n++ {
				if _, ok := h.at[n]; !ok {
					h.at[n] = time.Since(h.begin)
				}
			}
		}
		return true
	})
	return nil
}

// hear runs a whole sender against a registry for a while, in virtual time, and tells when it heard of each version.
func hear(t *testing.T, v *virtualRegistry, senders int, seed uint64, length time.Duration, held ...record) map[int64]time.Duration {
	heard := &updateLog{Handler: slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelDebug}), at: map[int64]time.Duration{}}
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		raw, err := json.Marshal(st.Config(&st.Platform{Addr: "registry:1"}, dir))
		if err != nil {
			t.Fatal(err)
		}
		c, err := ParseConfig(raw)
		if err != nil {
			t.Fatal(err)
		}
		c.Known, c.Seed, c.Settings.Senders = Targets{Version: 1, Full: true, Servers: []Target{{ID: "s-0", State: membership.Serving}}}, seed, senders
		j := openTest(t, dir, 1<<20)
		for _, r := range held {
			r.Deadline += newClock().now()
			if _, err := j.insertAndFlush(r); err != nil {
				t.Fatal(err)
			}
		}
		j.close()
		s, err := New(c, slog.New(heard))
		if err != nil {
			t.Fatal(err)
		}
		s.discovery.dial = v.dial
		s.gracePeriod, s.shutdownTimeout = 0, time.Millisecond
		v.begin, heard.begin, v.mu = time.Now(), time.Now(), &sync.Mutex{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx, func() (net.Listener, error) { return newPipeListener(), nil }) }()
		time.Sleep(length)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // calls that were given up end
		s.discovery.registry().closeIdle()
	})
	return heard.at
}

// pipeListener is a listener in memory to which nobody connects.
type pipeListener struct {
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener { return &pipeListener{closed: make(chan struct{})} }

func (l *pipeListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l *pipeListener) Close() error              { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr            { return &net.TCPAddr{} }

// A watch waited 20 s and was given up after 23, and pauses between failed calls grew to 12 s, while a change counts as told
// 6 s after discovery had it and could be reached, whatever call failed. Each case is one failure, or several, followed by one
// change at the worst moment.
func TestDiscovery_ChangeArrivesBeforeItsDeadline(t *testing.T) {
	s := time.Second
	tests := []struct {
		name string
		v    virtualRegistry
	}{
		{"a change on an open watch", virtualRegistry{changes: []time.Duration{9 * s}}},
		{"the watch falls silent, then a change", virtualRegistry{unresponsive: []time.Duration{10 * s}, changes: []time.Duration{10*s + 1}}},
		{"silent from the start", virtualRegistry{unresponsive: []time.Duration{time.Millisecond}, changes: []time.Duration{2 * time.Millisecond}}},
		{"silent, then refused", virtualRegistry{unresponsive: []time.Duration{10 * s}, changes: []time.Duration{10*s + 1}, refuseAfter: true}},
		{"silent, then down", virtualRegistry{unresponsive: []time.Duration{10 * s}, changes: []time.Duration{10*s + 1}, down: []span{{11 * s, 20 * s}}}},
		{"down for long, then a change", virtualRegistry{changes: []time.Duration{40 * s}, down: []span{{5 * s, 40 * s}}}},
		{"refusing for long", virtualRegistry{changes: []time.Duration{7 * s}, unresponsive: []time.Duration{5 * s}, refusing: []span{{5 * s, 60 * s}}}},
		{"cut off for long", virtualRegistry{changes: []time.Duration{7 * s}, unresponsive: []time.Duration{5 * s}, mute: []span{{5 * s, 47 * s}}}},
		{"down at the start", virtualRegistry{changes: []time.Duration{time.Millisecond}, down: []span{{0, 30 * s}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				for _, senders := range []int{1, 300} {
					v := tt.v
					v.latency = 50 * time.Millisecond
					checkUpdates(t, &v, senders, seed, 90*s)
				}
			}
		})
	}
	t.Run("at random", func(t *testing.T) {
		t.Parallel()
		for seed := range uint64(100) {
			rng := rand.New(rand.NewPCG(seed, 39))
			at := func(most time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(most))) }
			v := &virtualRegistry{latency: at(200 * time.Millisecond), refuseAfter: rng.IntN(2) == 0}
			for from := at(10 * s); from < 100*s; from += 10*s + at(20*s) {
				v.unresponsive = append(v.unresponsive, from)
			}
			for _, kind := range []*[]span{&v.down, &v.refusing, &v.mute} {
				for from := at(40 * s); from < 90*s; from += at(60 * s) {
					to := from + at(15*s)
					*kind = append(*kind, span{from, to})
					from = to
				}
			}
			for from := at(4 * s); from < 100*s; from += at(15 * s) {
				v.changes = append(v.changes, from)
			}
			checkUpdates(t, v, 1+rng.IntN(300), seed, 130*s)
		}
	})
}

func checkUpdates(t *testing.T, v *virtualRegistry, senders int, seed uint64, length time.Duration) {
	t.Helper()
	heard := hear(t, v, senders, seed, length)
	for n, change := range v.changes {
		at, ok := heard[int64(n+2)]
		if told := v.deadline(change); told < length && (!ok || at > told) {
			t.Errorf("%d senders, seed %d: the change at %v is heard at %v (%v), and counts as told at %v; silent %v, down %v, refusing %v, cut off %v",
				senders, seed, change, at, ok, told, v.unresponsive, v.down, v.refusing, v.mute)
		}
	}
}

// A message that ends undelivered has 300 ms after its time for its notice to arrive. Where the connection of the notice before
// had fallen silent it took 500 ms to find out, and a message was lost (short days of fen-readings, seed 3, roll+term+brink).
func TestDiscovery_NoticeArrivesOverDeadConnection(t *testing.T) {
	for _, cut := range []time.Duration{time.Millisecond, 2 * time.Second, 5 * time.Second, 7 * time.Second} {
		for seed := range uint64(10) {
			v := &virtualRegistry{partitionedAt: cut, latency: 25 * time.Millisecond}
			var held []record
			for n := range 10 {
				held = append(held, record{ID: strconv.Itoa(n), Class: "safe", Tenant: "acme", Dest: 7, Deadline: time.Duration(n+1) * time.Second})
			}
			hear(t, v, 1, seed, 15*time.Second, held...)
			for _, r := range held {
				if at, ok := v.notices[r.ID]; !ok || at > r.Deadline+300*time.Millisecond {
					t.Errorf("cut at %v, seed %d: the notice of a message whose time is up at %v arrives at %v (%v)", cut, seed, r.Deadline, at, ok)
				}
			}
		}
	}
}
