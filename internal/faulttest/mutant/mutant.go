// Package mutant is a small sender written to try the judge: right as it stands, and with one fault for each
// of the six rules. It shares no code with the real one and is no model of how to send well.
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
