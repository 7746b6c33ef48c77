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
	maxBody          = 256 << 10              // an event is longer in JSON than by itself
	readTimeout      = 5 * time.Second        // a request comes whole within this
	plugTime         = 100 * time.Millisecond // a connection to a full backlog has not come up within this
	maxPlugs         = 8
	backlog          = 1024
	maxCorruptAnswer = 1 << 20 // bytes of an answer that keeps coming
)

// Registry knows what was handed in.
type Registry interface {
	// Called says whose a message is and whether the call is within its attempts; ok is false for an id that
	// nobody handed in.
	Called(id string, dest int) (sender string, within, ok bool)
	// Delivered says that a message's 200 is written.
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
	end  chan Outcome // room for one
}

// Config is what NewServer needs. All fields are required.
type Config struct {
	Destination int
	Name        string
	Spec        Spec
	Endpoints   int // at the start
	Seed        uint64
	Log         *eventlog.Log
	Registry    Registry
	CallNumbers *atomic.Int64 // deals out call numbers to all receivers of a day
	Host        func() string // returns a loopback address that nothing else listens on
}

// NewServer starts a receiver.
func NewServer(c Config) (*Server, error) {
	s := &Server{dest: c.Destination, name: c.Name, spec: c.Spec, log: c.Log, registry: c.Registry, numbers: c.CallNumbers, host: c.Host,
		model: NewModel(c.Spec, 0, c.Seed), rng: rand.New(rand.NewPCG(c.Seed, 2)), waiting: map[int64]*call{}}
	s.timer = time.AfterFunc(time.Hour, s.due)
	for range c.Endpoints {
		if _, err := s.Add(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Add starts one more endpoint. Troubles that run strike it too.
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

// Endpoints are those that were not removed.
func (s *Server) Endpoints() []*Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*Endpoint
	for _, e := range s.endpoints {
		if !e.gone {
			all = append(all, e)
		}
	}
	return all
}

// Remove ends an endpoint: its connections are closed and new ones refused.
func (s *Server) Remove(e *Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.gone {
		return
	}
	e.gone = true
	s.deliver(s.model.Remove(s.log.Now(), e.number))
	e.to("shut")
	e.reset()
}

// Begin and End let a trouble run and end.
func (s *Server) Begin(number int, t fault.Fault) {
	s.change(t.Kind.String(), "on", func(now time.Duration) ([]Outcome, Change) { return s.model.Begin(now, number, t) })
}

// End ends the trouble that began under the number.
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
	wasCold := s.model.back
	out, c := step(now)
	if what == fault.SlowStart.String() && s.model.back != wasCold {
		// An outage of no length: the judge counts from its end.
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
	if c.Fell {
		s.log.At(now, eventlog.Event{Kind: eventlog.Fell, Dest: s.dest})
	}
}

// apply brings the sockets in line with the troubles that run.
func (s *Server) apply(c Change) {
	cond := s.model.Condition()
	for _, e := range s.endpoints {
		if e.gone {
			continue
		}
		if c.Reset {
			e.reset()
		}
		switch {
		case cond.Unreachable:
			e.to("vanished")
		case cond.Shut:
			e.to("shut")
		default:
			e.to("open")
		}
	}
}

// due is the timer's: something has ended by now.
func (s *Server) due() {
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

// deliver passes outcomes on to those who wait for them.
func (s *Server) deliver(out []Outcome) {
	for _, o := range out {
		if c := s.waiting[o.Call]; c != nil {
			delete(s.waiting, o.Call)
			c.end <- o
		}
	}
}

// Close ends the receiver.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
	for _, e := range s.endpoints {
		e.to("shut")
		e.reset()
	}
}

func (s *Server) unresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Condition().Unreachable && !s.closed
}

// ended writes down how a call ended for each of its messages.
func (s *Server) ended(done []eventlog.Event, how func(*eventlog.Event)) {
	for i := range done {
		how(&done[i])
		s.log.Add(done[i])
	}
}

// delivered books the messages of a call of which the 200 is written.
func (s *Server) delivered(done []eventlog.Event) {
	for _, d := range done {
		s.registry.Delivered(d.ID)
	}
}

// status is the word of a receiver of a form for an outcome: web hooks have several for delivered.
func (s *Server) status(status int) int {
	switch {
	case status == 200 && s.spec.Format == encoding.Binary:
		return 202
	case status == 200 && s.spec.Format == encoding.Structured:
		return 204
	}
	return status
}
