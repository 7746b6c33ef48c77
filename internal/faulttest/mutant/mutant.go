// Package mutant is a small sender that tests the judge: correct by itself, and with one fault for each of the six rules. It shares no
// code with the real sender and is not an example of how to write one.
package mutant

import (
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

// Fault selects how a mutant breaks the rules.
type Fault string

// The faults, one for each rule, and the correct sender.
const (
	Right             Fault = "right"
	LosesMessages     Fault = "loses"   // rule 1: discards its messages when it restarts
	RepeatsUnsafe     Fault = "repeats" // rule 2: repeats messages that may have run and must not be repeated
	IgnoresDraining   Fault = "drains"  // rule 3: continues to send to a draining endpoint
	FloodsRecovered   Fault = "rushes"  // rule 4: sends its whole backlog to a receiver after an outage
	Reorders          Fault = "jumbles" // rule 5: ignores the order of messages with the same key
	IgnoresRetryAfter Fault = "nags"    // rule 6: sends before the wait of a 429 is over
)

// Faults lists the faults by rule; the first, rule 0, is the correct sender.
func Faults() []Fault {
	return []Fault{Right, LosesMessages, RepeatsUnsafe, IgnoresDraining, FloodsRecovered, Reorders, IgnoresRetryAfter}
}

const (
	maxInFlight    = 6               // calls in flight to a receiver
	callTime       = 2 * time.Second // a call is given up after this
	dialTime       = 800 * time.Millisecond
	probeInterval  = 400 * time.Millisecond // between calls to a receiver in an outage
	slowStartTime  = 15 * time.Second       // for this long after an outage a receiver gets one call at a time
	maxFailures    = 3                      // consecutive failures that count as an outage
	deadlineMargin = 150 * time.Millisecond // a message is given up this long before its deadline
	listInterval   = 100 * time.Millisecond
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

type message struct {
	record
	deadline        time.Time
	attempts        int
	firstMayHaveRun time.Time // start of the first call that may have run; zero if there is none
	inFlight        bool
	ended           bool
	notBefore       time.Time
}

type endpoint struct {
	addr  string
	state string
	cell  int
}

type dest struct {
	queue          []*message
	inFlight       int
	fails          int
	inOutage       bool
	slowStartUntil time.Time
	nextProbe      time.Time
	waitUntil      time.Time
	next           int
}

// Sender is a running mutant.
type Sender struct {
	fault   Fault
	config  config
	classes map[string]class
	journal *os.File

	mu        sync.Mutex
	ids       map[string]*message
	dests     map[int]*dest
	keyQueues map[string][]*message // by order key
	restUntil map[string]time.Time
	endpoints map[string]*endpoint
	wake      chan struct{}
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
	s := &Sender{fault: fault, classes: map[string]class{}, ids: map[string]*message{}, dests: map[int]*dest{}, keyQueues: map[string][]*message{},
		restUntil: map[string]time.Time{}, endpoints: map[string]*endpoint{}, wake: make(chan struct{}, 1)}
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
		case <-s.wake:
		}
		s.dispatch(ctx)
	}
}

func (s *Sender) restTime() time.Duration {
	return time.Duration(s.config.Settings.Rules.OrderRest*float64(time.Millisecond)) + deadlineMargin
}

func (s *Sender) dest(n int) *dest {
	if s.dests[n] == nil {
		s.dests[n] = &dest{}
	}
	return s.dests[n]
}

func (s *Sender) enqueue(m *message) {
	s.ids[m.ID] = m
	s.pending++
	d := s.dest(m.Dest)
	d.queue = append(d.queue, m)
	if m.Order != "" {
		s.keyQueues[m.Order] = append(s.keyQueues[m.Order], m)
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
		s.enqueue(m)
	}
	w.WriteHeader(http.StatusAccepted)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// list requests from discovery the changes since a version, or the full list if after is negative.
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
