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

// notifiedWithin is the time limit for the sender to receive a change, from when discovery has the change and can be reached, whichever
// call failed.
const notifiedWithin = 6 * time.Second

// span is an interval of a test's virtual time.
type span struct{ from, to time.Duration }

func (s span) has(at time.Duration) bool { return s.from <= at && at < s.to }

// virtualRegistry simulates discovery in virtual time, on connections in memory. Its faults and their times are set beforehand; times
// count from begin.
type virtualRegistry struct {
	begin                   time.Time
	down, refusing, hanging []span          // no connection is possible; each call gets 503; arriving calls are never answered
	unresponsive            []time.Duration // times; watches that are open at one of them are never answered
	refuseAfter             bool            // the first call after each time in unresponsive also gets 503
	latency                 time.Duration
	changes                 []time.Duration          // times; the n-th change makes version n+1
	partitionedAt           time.Duration            // connections that are open then are dead from then on
	notices                 map[string]time.Duration // when each first arrived
	mu                      *sync.Mutex
	refusalsSent            int // times in unresponsive whose 503 was sent
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

// next is the time of the first change or fault after a time.
func (v *virtualRegistry) next(after time.Duration) (time.Duration, bool) {
	first, found := time.Duration(0), false
	consider := func(at time.Duration) {
		if at > after && (!found || at < first) {
			first, found = at, true
		}
	}
	for _, at := range append(append([]time.Duration(nil), v.changes...), v.unresponsive...) {
		consider(at)
	}
	for _, s := range v.down {
		consider(s.from)
	}
	return first, found
}

func (v *virtualRegistry) dial(context.Context, string, string) (net.Conn, error) {
	if during(v.down, v.now()) {
		return nil, fmt.Errorf("connection refused")
	}
	client, server := net.Pipe()
	go v.serve(server)
	return client, nil
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
			v.recordNotice(n.Message)
		}
		switch status, body := v.answer(req); status {
		case 0:
			io.Copy(io.Discard, c) // until the sender gives up the call
			return
		case -1:
			return
		default:
			fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		}
	}
}

// answer is the answer to a call, once it is due; the status is 0 for a call that is never answered, -1 if the connection ends.
func (v *virtualRegistry) answer(req *http.Request) (int, string) {
	arrival := v.now()
	if req.Method == http.MethodPost {
		return http.StatusNoContent, ""
	}
	v.mu.Lock()
	refused := false
	if v.refuseAfter {
		for n, at := range v.unresponsive {
			if arrival >= at && v.refusalsSent <= n {
				v.refusalsSent, refused = n+1, true
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
	until := arrival + time.Duration(wait)*time.Millisecond
	switch {
	case during(v.hanging, arrival):
		return 0, ""
	case refused || during(v.refusing, arrival):
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

func (v *virtualRegistry) recordNotice(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.notices[id]; !ok {
		if v.notices == nil {
			v.notices = map[string]time.Duration{}
		}
		v.notices[id] = v.now()
	}
}

// deadline is when a change must have been received: notifiedWithin after the first moment from which discovery could be reached for
// that long.
func (v *virtualRegistry) deadline(change time.Duration) time.Duration {
	from := change
	for again := true; again; {
		again = false
		for _, s := range append(append(append([]span(nil), v.down...), v.refusing...), v.hanging...) {
			if s.from < from+notifiedWithin && from < s.to {
				from, again = s.to, true
			}
		}
	}
	return from + notifiedWithin
}

// updateLog records when a sender received each version, from its log.
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

// runWithRegistry runs a sender against a registry for a while, in virtual time, and returns when it received each version. stored is
// the messages in its journal at the start.
func runWithRegistry(t *testing.T, v *virtualRegistry, senders int, seed uint64, length time.Duration, stored ...record) map[int64]time.Duration {
	received := &updateLog{Handler: slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelDebug}), at: map[int64]time.Duration{}}
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
		j := openTestJournal(t, dir, 1<<20)
		for _, r := range stored {
			r.Deadline += newClock().now()
			if _, err := j.insertAndFlush(r); err != nil {
				t.Fatal(err)
			}
		}
		j.close()
		s, err := New(c, slog.New(received))
		if err != nil {
			t.Fatal(err)
		}
		s.discovery.dial = v.dial
		s.gracePeriod, s.shutdownTimeout = 0, time.Millisecond
		v.begin, received.begin, v.mu = time.Now(), time.Now(), &sync.Mutex{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx, func() (net.Listener, error) { return newPipeListener(), nil }) }()
		time.Sleep(length)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // so that abandoned calls end
		s.discovery.registry().closeIdle()
	})
	return received.at
}

// pipeListener is a listener in memory that never gets a connection.
type pipeListener struct {
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener { return &pipeListener{closed: make(chan struct{})} }

func (l *pipeListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l *pipeListener) Close() error              { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr            { return &net.TCPAddr{} }

// Guards against changes that arrive too late: a change must be received within 6 s after discovery had it and could be reached,
// whichever call failed. A watch once waited 20 s and was given up after 23 s, and backoffs after failed calls grew to 12 s. Each case
// is one or more failures followed by one change at the worst moment.
func TestDiscovery_ChangeArrivesBeforeItsDeadline(t *testing.T) {
	s := time.Second
	tests := []struct {
		name string
		v    virtualRegistry
	}{
		{"a change on an open watch", virtualRegistry{changes: []time.Duration{9 * s}}},
		{"the watch is unresponsive, then a change", virtualRegistry{unresponsive: []time.Duration{10 * s}, changes: []time.Duration{10*s + 1}}},
		{"unresponsive from the start", virtualRegistry{unresponsive: []time.Duration{time.Millisecond}, changes: []time.Duration{2 * time.Millisecond}}},
		{"unresponsive, then refused", virtualRegistry{unresponsive: []time.Duration{10 * s}, changes: []time.Duration{10*s + 1}, refuseAfter: true}},
		{"unresponsive, then down", virtualRegistry{unresponsive: []time.Duration{10 * s}, changes: []time.Duration{10*s + 1}, down: []span{{11 * s, 20 * s}}}},
		{"down for long, then a change", virtualRegistry{changes: []time.Duration{40 * s}, down: []span{{5 * s, 40 * s}}}},
		{"refusing for long", virtualRegistry{changes: []time.Duration{7 * s}, unresponsive: []time.Duration{5 * s}, refusing: []span{{5 * s, 60 * s}}}},
		{"cut off for long", virtualRegistry{changes: []time.Duration{7 * s}, unresponsive: []time.Duration{5 * s}, hanging: []span{{5 * s, 47 * s}}}},
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
			for _, kind := range []*[]span{&v.down, &v.refusing, &v.hanging} {
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
	received := runWithRegistry(t, v, senders, seed, length)
	for n, change := range v.changes {
		at, ok := received[int64(n+2)]
		if due := v.deadline(change); due < length && (!ok || at > due) {
			t.Errorf("%d senders, seed %d: the change at %v is received at %v (%v), and is due at %v; unresponsive %v, down %v, refusing %v, cut off %v",
				senders, seed, change, at, ok, due, v.unresponsive, v.down, v.refusing, v.hanging)
		}
	}
}

// The notice of a message that ends undelivered must arrive within 300 ms of the message's deadline. When the connection of the
// previous notice was dead, it took 500 ms to detect that, and a message was lost (short days of fen-readings, seed 3,
// roll+term+brink).
func TestDiscovery_NoticeArrivesOverDeadConnection(t *testing.T) {
	for _, partition := range []time.Duration{time.Millisecond, 2 * time.Second, 5 * time.Second, 7 * time.Second} {
		for seed := range uint64(10) {
			v := &virtualRegistry{partitionedAt: partition, latency: 25 * time.Millisecond}
			var stored []record
			for n := range 10 {
				stored = append(stored, record{ID: strconv.Itoa(n), Class: "safe", Tenant: "acme", Dest: 7, Deadline: time.Duration(n+1) * time.Second})
			}
			runWithRegistry(t, v, 1, seed, 15*time.Second, stored...)
			for _, r := range stored {
				if at, ok := v.notices[r.ID]; !ok || at > r.Deadline+300*time.Millisecond {
					t.Errorf("partitioned at %v, seed %d: the notice of a message with deadline %v arrives at %v (%v)", partition, seed, r.Deadline, at, ok)
				}
			}
		}
	}
}
