package receiver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/fault"
)

const (
	maxBody            = 256 << 10              // bytes; an event in JSON is longer than its body alone
	readTimeout        = 5 * time.Second        // for a complete request
	backlogDialTimeout = 100 * time.Millisecond // after this a connection counts as blocked by a full backlog
	maxBacklogConns    = 8
	backlog            = 1024
	maxCorruptAnswer   = 1 << 20 // bytes sent of the body of a corrupt answer that is too long
)

// Registry records the messages that were handed in.
type Registry interface {
	// Called records a call and returns its message's sender and whether the call is within the allowed attempts; ok is false for
	// an id that no client handed in.
	Called(id string, dest int) (sender string, within, ok bool)
	// Delivered records that the 200 for a message has been written.
	Delivered(id string)
}

// Server is one receiver with its sockets.
type Server struct {
	dest     int
	name     string
	spec     Spec
	log      *eventlog.Log
	registry Registry
	numbers  *atomic.Int64
	host     func() string // a loopback address that nothing else listens on

	mu        sync.Mutex
	model     *Model
	rng       *rand.Rand
	timer     *time.Timer
	waiting   map[int64]*call
	endpoints []*Endpoint
	closed    bool
}

type call struct {
	conn *conn
	end  chan Outcome // buffers one outcome
}

// Config is what NewServer needs. All fields are required.
type Config struct {
	Destination int
	Name        string
	Spec        Spec
	Endpoints   int // number at the start
	Seed        uint64
	Log         *eventlog.Log
	Registry    Registry
	CallNumbers *atomic.Int64 // the last call number; shared by all receivers of a day
	Host        func() string // returns a loopback address that nothing else listens on
}

// NewServer starts a receiver.
func NewServer(c Config) (*Server, error) {
	s := &Server{dest: c.Destination, name: c.Name, spec: c.Spec, log: c.Log, registry: c.Registry, numbers: c.CallNumbers, host: c.Host,
		model: NewModel(c.Spec, 0, c.Seed), rng: rand.New(rand.NewPCG(c.Seed, 2)), waiting: map[int64]*call{}}
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	for range c.Endpoints {
		if _, err := s.Add(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Add starts one more endpoint. Active faults apply to it too.
func (s *Server) Add() (*Endpoint, error) {
	l, err := listen(s.host() + ":0")
	if err != nil {
		return nil, fmt.Errorf("receiver %s: %w", s.name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.model.AddEndpoint()
	e := &Endpoint{ID: fmt.Sprintf("%s-e%d", s.name, n), Addr: l.Addr().String(), number: n, s: s, listener: l, conns: map[*conn]bool{},
		mode: "open", resume: make(chan struct{})}
	s.endpoints = append(s.endpoints, e)
	go e.accept(l)
	s.apply(Change{})
	return e, nil
}

// Endpoints returns the endpoints that have not been removed.
func (s *Server) Endpoints() []*Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*Endpoint
	for _, e := range s.endpoints {
		if !e.removed {
			all = append(all, e)
		}
	}
	return all
}

// Remove removes an endpoint: its connections are reset and new ones are refused.
func (s *Server) Remove(e *Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.removed {
		return
	}
	e.removed = true
	s.deliver(s.model.Remove(s.log.Now(), e.number))
	e.setMode("shut")
	e.reset()
}

// Begin starts a fault under a number of its own.
func (s *Server) Begin(number int, t fault.Fault) {
	s.change(t.Kind.String(), "on", func(now time.Duration) ([]Outcome, Change) { return s.model.Begin(now, number, t) })
}

// End ends the fault that began under the number.
func (s *Server) End(number int, t fault.Fault) {
	s.change(t.Kind.String(), "off", func(now time.Duration) ([]Outcome, Change) { return s.model.End(now, number) })
}

func (s *Server) change(what, state string, step func(time.Duration) ([]Outcome, Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	now := s.log.Now()
	s.log.At(now, eventlog.Event{Kind: eventlog.FaultChanged, Dest: s.dest, Detail: what, State: state})
	previousStart := s.model.slowStartBegan
	out, c := step(now)
	if what == fault.SlowStart.String() && s.model.slowStartBegan != previousStart {
		// The log gets an outage of zero length: the judge measures slow start from the end of an outage.
		s.log.At(now, eventlog.Event{Kind: eventlog.Outage, Dest: s.dest, State: "on"})
		s.log.At(now, eventlog.Event{Kind: eventlog.Outage, Dest: s.dest, State: "off", Capacity: s.spec.Capacity})
	}
	s.logChange(now, c)
	s.deliver(out)
	s.apply(c)
	s.rearm()
}

func (s *Server) logChange(now time.Duration, c Change) {
	if c.OutageBegan {
		s.log.At(now, eventlog.Event{Kind: eventlog.Outage, Dest: s.dest, State: "on"})
	}
	if c.OutageEnded {
		s.log.At(now, eventlog.Event{Kind: eventlog.Outage, Dest: s.dest, State: "off", Capacity: s.spec.Capacity})
	}
	if c.Collapsed {
		s.log.At(now, eventlog.Event{Kind: eventlog.Fell, Dest: s.dest})
	}
}

// apply brings the sockets in line with the active faults.
func (s *Server) apply(c Change) {
	cond := s.model.Condition()
	for _, e := range s.endpoints {
		if e.removed {
			continue
		}
		if c.Reset {
			e.reset()
		}
		switch {
		case cond.Unreachable:
			e.setMode("vanished")
		case cond.Shut:
			e.setMode("shut")
		default:
			e.setMode("open")
		}
	}
}

// onTimer advances the model when the next outcome is due.
func (s *Server) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.deliver(s.model.Advance(s.log.Now()))
	s.rearm()
}

func (s *Server) rearm() {
	if at, ok := s.model.Next(); ok {
		s.timer.Reset(max(0, at-s.log.Now()))
	}
}

// deliver passes outcomes to the connections that wait for them.
func (s *Server) deliver(out []Outcome) {
	for _, o := range out {
		if c := s.waiting[o.Call]; c != nil {
			delete(s.waiting, o.Call)
			c.end <- o
		}
	}
}

// Close stops the receiver: its connections are reset and new ones are refused.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
	for _, e := range s.endpoints {
		e.setMode("shut")
		e.reset()
	}
}

func (s *Server) unresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Condition().Unreachable && !s.closed
}

// logDone logs how a call ended, once for each of its messages.
func (s *Server) logDone(done []eventlog.Event, how func(*eventlog.Event)) {
	for i := range done {
		how(&done[i])
		s.log.Add(done[i])
	}
}

// recordDelivered records the messages of a call whose 200 has been written.
func (s *Server) recordDelivered(done []eventlog.Event) {
	for _, d := range done {
		s.registry.Delivered(d.ID)
	}
}

// status returns the status code that the receiver's format uses for an outcome: web hooks have several codes for success.
func (s *Server) status(status int) int {
	switch {
	case status == 200 && s.spec.Format == encoding.Binary:
		return 202
	case status == 200 && s.spec.Format == encoding.Structured:
		return 204
	}
	return status
}
