// Package mutant is a small sender written to try the judge: right as it stands, and with one fault for each
// of the six rules. It shares no code with the real one and is no model of how to send well.
package mutant

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what a wrong sender does wrong.
type Fault string

// The faults, one for each rule, and the right sender.
const (
	Right             Fault = "right"
	LosesMessages     Fault = "loses"   // rule 1: keeps nothing over a kill
	RepeatsUnsafe     Fault = "repeats" // rule 2: sends again what may have run and may not be repeated
	IgnoresDraining   Fault = "drains"  // rule 3: goes on sending to a drained endpoint
	FloodsRecovered   Fault = "rushes"  // rule 4: sends all it holds to a receiver that is back
	Reorders          Fault = "jumbles" // rule 5: keeps no order
	IgnoresRetryAfter Fault = "nags"    // rule 6: sends during a wait
)

// Faults lists the faults by rule; the first, rule 0, is the right sender.
func Faults() []Fault {
	return []Fault{Right, LosesMessages, RepeatsUnsafe, IgnoresDraining, FloodsRecovered, Reorders, IgnoresRetryAfter}
}

const (
	atOnce       = 6               // calls out to a receiver
	callTime     = 2 * time.Second // a call is given up after this
	dialTime     = 800 * time.Millisecond
	probeEach    = 400 * time.Millisecond // of a receiver that is out
	warming      = 15 * time.Second       // one call at a time for so long after an outage
	maxFailures  = 3                      // failures in a row that make an outage
	margin       = 150 * time.Millisecond // a message ends so long before its time
	listInterval = 100 * time.Millisecond
)

type class struct {
	Name    string  `json:"name"`
	Effect  string  `json:"effect"`
	Window  float64 `json:"dedupWindow"`
	Ordered bool    `json:"oneAtATime"`
}

type config struct {
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	State     string `json:"state"`
	Settings  struct {
		Services []class `json:"services"`
		Rules    struct {
			OrderRest float64 `json:"settleAfterDoubt"`
		} `json:"rules"`
		Limits struct {
			Attempts   int `json:"maxAttempts"`
			MaxPending int `json:"mostHeld"`
		} `json:"limits"`
	} `json:"settings"`
}

// record is a line of the journal.
type record struct {
	Op       string `json:"op"` // take, send, end, over
	ID       string `json:"id"`
	Class    string `json:"class,omitempty"`
	Key      string `json:"key,omitempty"`
	Order    string `json:"order,omitempty"`
	Dest     int    `json:"dest,omitempty"`
	Deadline int64  `json:"deadline,omitempty"` // Unix microseconds
	At       int64  `json:"at,omitempty"`
	Never    bool   `json:"never,omitempty"`
	Body     []byte `json:"body,omitempty"`
}

type message struct {
	record
	deadline  time.Time
	attempts  int
	first     time.Time // of the first call that may have run; zero if none may
	out       bool
	over      bool
	notBefore time.Time
}

type endpoint struct {
	addr  string
	state string
	cell  int
}

type dest struct {
	queue     []*message
	out       int
	fails     int
	isOut     bool
	warmUntil time.Time
	nextProbe time.Time
	waitUntil time.Time
	next      int
}

// Sender is a running one.
type Sender struct {
	fault   Fault
	config  config
	classes map[string]class
	journal *os.File

	mu        sync.Mutex
	ids       map[string]*message
	dests     map[int]*dest
	turns     map[string][]*message // by key of the order
	rest      map[string]time.Time
	endpoints map[string]*endpoint
	kick      chan struct{}
	pending   int
}

// Run serves until ctx ends. It reads the environment as a real sender does.
func Run(ctx context.Context, fault Fault, getenv func(string) string) error {
	if !slices.Contains(Faults(), fault) {
		return &UnknownFaultError{Fault: fault}
	}
	raw, err := os.ReadFile(getenv("EDGE_CONFIG"))
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	s := &Sender{fault: fault, classes: map[string]class{}, ids: map[string]*message{}, dests: map[int]*dest{}, turns: map[string][]*message{},
		rest: map[string]time.Time{}, endpoints: map[string]*endpoint{}, kick: make(chan struct{}, 1)}
	if err := json.Unmarshal(raw, &s.config); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	for _, c := range s.config.Settings.Services {
		s.classes[c.Name] = c
	}
	path := filepath.Join(s.config.State, "wrong.journal")
	if s.fault == LosesMessages {
		os.Remove(path)
	}
	if err := s.replay(path); err != nil {
		return err
	}
	if s.journal, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	defer s.journal.Close()
	if err := s.list(ctx, -1, new(int64)); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	go s.follow(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {})
	mux.HandleFunc("POST /api", s.api)
	l, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: mux}
	go server.Serve(l)
	defer server.Close()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-s.kick:
		}
		s.dispatch(ctx)
	}
}

func (s *Sender) write(r record) error {
	line, err := json.Marshal(r)
	if err == nil {
		_, err = s.journal.Write(append(line, '\n'))
	}
	return err
}

// replay takes up what an earlier process left. A torn last line was never answered for.
func (s *Sender) replay(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	var order []*message
	all := map[string]*message{}
	in := bufio.NewReader(f)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			break
		}
		var r record
		if json.Unmarshal(line, &r) != nil {
			continue
		}
		m := all[r.ID]
		switch {
		case r.Op == "take":
			m = &message{record: r, deadline: time.UnixMicro(r.Deadline)}
			all[r.ID] = m
			order = append(order, m)
		case m == nil:
		case r.Op == "send":
			m.attempts++
			if m.first.IsZero() {
				m.first = time.UnixMicro(r.At)
			}
		case r.Op == "end" && r.Never && m.first.Equal(time.UnixMicro(r.At)):
			m.first = time.Time{}
		case r.Op == "over":
			m.over = true
		}
	}
	for _, m := range order {
		if !m.over {
			s.hold(m)
			s.dest(m.Dest).warmUntil = time.Now().Add(warming)
			if m.Order != "" {
				s.rest[m.Order] = time.Now().Add(s.finish())
			}
		}
	}
	return nil
}

func (s *Sender) finish() time.Duration {
	return time.Duration(s.config.Settings.Rules.OrderRest*float64(time.Millisecond)) + margin
}

func (s *Sender) dest(n int) *dest {
	if s.dests[n] == nil {
		s.dests[n] = &dest{}
	}
	return s.dests[n]
}

func (s *Sender) hold(m *message) {
	s.ids[m.ID] = m
	s.pending++
	d := s.dest(m.Dest)
	d.queue = append(d.queue, m)
	if m.Order != "" {
		s.turns[m.Order] = append(s.turns[m.Order], m)
	}
}

func (s *Sender) api(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	ms, err2 := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	n, err3 := strconv.Atoi(strings.TrimPrefix(r.Header.Get("X-Addressing"), "dest="))
	if err := errors.Join(err, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	m := &message{deadline: deadline, record: record{Op: "take", ID: r.Header.Get("X-Request-Id"), Class: r.Header.Get("X-Class"),
		Key: r.Header.Get("Idempotency-Key"), Dest: n, Deadline: deadline.UnixMicro(), Body: body}}
	if s.classes[m.Class].Ordered {
		m.Order = r.Header.Get("X-Order-Key")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending >= s.config.Settings.Limits.MaxPending {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.ids[m.ID] == nil {
		if err := s.write(m.record); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.hold(m)
	}
	w.WriteHeader(http.StatusAccepted)
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// list asks discovery for what is newer than a version, or for the whole.
func (s *Sender) list(ctx context.Context, after int64, version *int64) error {
	url := "http://" + s.config.Discovery + "/api/targets"
	if after >= 0 {
		url += fmt.Sprintf("?after=%d&wait_ms=10000", after)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &statusError{status: resp.Status}
	}
	var t struct {
		Version int64
		Servers []struct {
			ID, Addr, State string
			Cell            int
		}
	}
	if err := json.NewDecoder(resp.Body).Decode(&t); err != nil {
		return err
	}
	*version = t.Version
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Servers {
		s.endpoints[e.ID] = &endpoint{e.Addr, e.State, e.Cell}
	}
	return nil
}

func (s *Sender) follow(ctx context.Context) {
	version := int64(-1)
	for ctx.Err() == nil {
		if s.list(ctx, version, &version) != nil {
			version = -1
			time.Sleep(listInterval)
		}
	}
}

// dispatch sends what may be sent now.
func (s *Sender) dispatch(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, d := range s.dests {
		for _, m := range slices.Clone(d.queue) {
			if !m.out && now.After(m.deadline.Add(-margin)) {
				s.giveUp(m)
			}
		}
		if now.Before(d.waitUntil) && s.fault != IgnoresRetryAfter {
			continue
		}
		for _, m := range slices.Clone(d.queue) {
			if !s.hasCapacity(d, now) {
				break
			}
			if m.out || m.over || now.Before(m.notBefore) || !s.turn(m, now) {
				continue
			}
			if !s.lawful(m, now) { // also one that an earlier process had sent
				s.giveUp(m)
				continue
			}
			addr, ok := s.pick(m.Dest, d)
			if !ok {
				break
			}
			if s.write(record{Op: "send", ID: m.ID, At: now.UnixMicro()}) != nil {
				break
			}
			m.out, m.attempts = true, m.attempts+1
			d.out++
			d.nextProbe = now.Add(probeEach)
			go s.call(ctx, m, d, addr, now)
		}
	}
}

// hasCapacity is whether one more call may go to a receiver now.
func (s *Sender) hasCapacity(d *dest, now time.Time) bool {
	switch {
	case d.isOut:
		return d.out == 0 && now.After(d.nextProbe)
	case now.Before(d.warmUntil) && s.fault != FloodsRecovered:
		return d.out == 0
	case s.fault == FloodsRecovered:
		return d.out < 1000
	}
	return d.out < atOnce
}

// turn is whether a message is first of its key and the key need not rest.
func (s *Sender) turn(m *message, now time.Time) bool {
	if m.Order == "" || s.fault == Reorders {
		return true
	}
	return s.turns[m.Order][0] == m && !now.Before(s.rest[m.Order])
}

func (s *Sender) pick(n int, d *dest) (string, bool) {
	var ids []string
	for id, e := range s.endpoints {
		if e.cell == n && (e.state == "SERVING" || (s.fault == IgnoresDraining && e.state == "DRAINING")) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	slices.Sort(ids)
	d.next++
	return s.endpoints[ids[d.next%len(ids)]].addr, true
}

// call makes one call and books its outcome.
func (s *Sender) call(ctx context.Context, m *message, d *dest, addr string, began time.Time) {
	status, wait, never := once(ctx, m, addr, min(callTime, time.Until(m.deadline)-margin/2))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	m.out = false
	d.out--
	if never {
		s.write(record{Op: "end", ID: m.ID, At: began.UnixMicro(), Never: true})
	} else if m.first.IsZero() {
		m.first = began
	}
	if wait > 0 {
		d.waitUntil = now.Add(wait)
	}
	switch {
	case status == http.StatusOK:
		if d.isOut {
			d.isOut, d.warmUntil = false, now.Add(warming)
		}
		d.fails = 0
		s.end(m)
		return
	case status != http.StatusTooManyRequests:
		if d.fails++; d.fails >= maxFailures {
			d.isOut = true
		}
	}
	if !never && m.Order != "" {
		s.rest[m.Order] = now.Add(s.finish())
	}
	m.notBefore = now.Add(100 * time.Millisecond)
	if !s.lawful(m, now) {
		s.giveUp(m)
	}
}

// lawful is whether a message may be sent now, by its attempts and what may have come of them.
func (s *Sender) lawful(m *message, now time.Time) bool {
	c := s.classes[m.Class]
	switch doubt := !m.first.IsZero(); {
	case m.attempts >= s.config.Settings.Limits.Attempts:
		return false
	case doubt && c.Effect == "non_idempotent":
		return s.fault == RepeatsUnsafe
	case doubt && c.Effect == "idempotency_key":
		return now.Sub(m.first) < time.Duration(c.Window*float64(time.Millisecond))-callTime
	}
	return true
}

// once makes a call on a connection of its own. never says that it surely did not run.
func once(ctx context.Context, m *message, addr string, limit time.Duration) (status int, wait time.Duration, never bool) {
	if limit <= 0 {
		return 0, 0, true
	}
	conn, err := (&net.Dialer{Timeout: min(dialTime, limit)}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return 0, 0, true
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /hook HTTP/1.1\r\nHost: receiver\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nConnection: close\r\nContent-Length: %d\r\n", m.ID, limit.Milliseconds(), len(m.Body))
	if m.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", m.Key)
	}
	b.WriteString("\r\n")
	b.Write(m.Body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return 0, 0, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, false
	}
	if ms, err := strconv.ParseInt(resp.Header.Get("X-RateLimit-Wait-Ms"), 10, 64); err == nil && resp.StatusCode == http.StatusTooManyRequests {
		wait = time.Duration(ms) * time.Millisecond
	}
	switch resp.StatusCode {
	case 429, 503, 504, 410:
		never = true
	}
	return resp.StatusCode, wait, never
}

// end takes a message that is over from the books.
func (s *Sender) end(m *message) {
	if m.over {
		return
	}
	m.over = true
	s.pending--
	s.write(record{Op: "over", ID: m.ID})
	d := s.dest(m.Dest)
	d.queue = slices.DeleteFunc(d.queue, func(x *message) bool { return x == m })
	if m.Order != "" {
		s.turns[m.Order] = slices.DeleteFunc(s.turns[m.Order], func(x *message) bool { return x == m })
	}
}

// giveUp ends a message undelivered and tells the platform.
func (s *Sender) giveUp(m *message) {
	if m.over {
		return
	}
	s.end(m)
	line := fmt.Sprintf(`{"message":%q,"outcome":"given_up"}`+"\n", m.ID)
	go func() {
		for range 5 {
			resp, err := http.Post("http://"+s.config.Discovery+"/v1/notices", "application/x-ndjson", strings.NewReader(line))
			if err == nil {
				resp.Body.Close()
				return
			}
			time.Sleep(listInterval)
		}
	}()
}
