package sender

import (
	"bufio"
	"time"

	"saffronyard.example/saffronyard/internal/calls"
)

// clientState is the state of a client's connection.
type clientState uint8

const (
	stateNew       clientState = iota // no request has arrived yet
	stateReading                      // a request is being received
	stateAnswering                    // a request has been received completely and is not answered yet
	stateIdle                         // the last request is answered
)

// client is a connection from a client. The server's mutex guards state and what follows it.
type client struct {
	calls.LimitedConn
	r          *bufio.Reader
	acceptedAt time.Time
	state      clientState
	since      time.Time // when it entered the state
	keptAlive  bool      // counted in server.keptAlive
	evicting   bool      // counted in server.evicting
}

// admit registers a new connection once there is room for it; false when the server ends. To make room it evicts connections
// without a complete request: silent connections and partial requests could otherwise lock out all other clients.
func (s *server) admit(c *client) bool {
	for {
		s.mu.Lock()
		if s.draining {
			s.mu.Unlock()
			return false
		}
		if len(s.clients) < s.maxClients {
			s.clients[c] = struct{}{}
			s.connections.Add(1)
			s.mu.Unlock()
			return true
		}
		s.evictOne()
		s.mu.Unlock()
		select {
		case <-s.freed:
		case <-time.After(evictionInterval):
		case <-s.aborted.Done():
		}
	}
}

// evictOne starts the eviction of the connection that has been without a complete request for longest: one that has not sent its
// request within a time that is ample for a well-behaved client, or else one that has been idle for at least minIdleTime. It reports
// whether there is one.
func (s *server) evictOne() bool {
	return s.evictOldest(func(c *client, age time.Duration) bool {
		return c.state == stateNew && age > maxTimeWithoutRequestWhenFull || c.state == stateReading && age > maxPartialWhenFull
	}) || s.evictIdle()
}

// evictIdle starts the eviction of the connection that has been idle for longest, and for at least minIdleTime.
func (s *server) evictIdle() bool {
	return s.evictOldest(func(c *client, age time.Duration) bool { return c.state == stateIdle && age >= minIdleTime })
}

// evictOldest starts the eviction of the oldest eligible connection by interrupting its read; at most one eviction is in progress.
// It does not close the connection: a request may have been read just now, and a complete request must be answered.
func (s *server) evictOldest(eligible func(*client, time.Duration) bool) bool {
	var victim *client
	now := time.Now()
	for c := range s.clients {
		if s.evicting > 0 || !eligible(c, now.Sub(c.since)) || victim != nil && c.since.After(victim.since) {
			continue
		}
		if calls.IdleConnUsable(c.Conn) { // otherwise input has arrived and is not read yet
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.evicting = true
	s.evicting++
	victim.SetReadDeadline(time.Unix(1, 0))
	return true
}

// setState records the state of a connection; false if it is to close instead.
func (s *server) setState(c *client, state clientState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == stateIdle && s.draining {
		return false
	}
	if state != stateIdle {
		s.uncount(c)
	}
	c.state, c.since = state, time.Now()
	return true
}

// uncount removes a connection from the counts keptAlive and evicting.
func (s *server) uncount(c *client) {
	if c.keptAlive {
		c.keptAlive = false
		s.keptAlive--
	}
	if c.evicting {
		c.evicting = false
		s.evicting--
	}
}

// keepAlive reports whether a connection may wait for a further request after its response. Clients that send one request and keep
// their connection would soon use up all connections: beyond maxIdleClients, each connection that is kept replaces one that has been
// idle for at least minIdleTime. If there is none, the response announces that the connection closes, so that the close can't cross
// with a further request.
func (s *server) keepAlive(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keptAlive >= s.maxIdleClients && !s.evictIdle() {
		return false
	}
	c.keptAlive = true
	s.keptAlive++
	return true
}

// remove closes a connection and removes it from those of the server.
func (s *server) remove(c *client) {
	c.Close()
	s.mu.Lock()
	s.uncount(c)
	delete(s.clients, c)
	s.mu.Unlock()
	s.signalFreed()
	s.connections.Done()
}

// signalFreed wakes admit without blocking.
func (s *server) signalFreed() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}
