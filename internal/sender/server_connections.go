package sender

import (
	"bufio"
	"time"

	"saffronyard.example/saffronyard/internal/calls"
)

// clientState is the state of a client's connection.
type clientState uint8

const (
	stateNew       clientState = iota // no request has come yet
	stateReading                      // one is coming
	stateAnswering                    // one has come whole and is owed its answer
	stateIdle                         // the last one is answered
)

// client is a connection from a client. The server's mutex guards state and what follows it.
type client struct {
	calls.LimitedConn
	r          *bufio.Reader
	acceptedAt time.Time
	state      clientState
	since      time.Time // of the state
	keptAlive  bool      // it is counted as staying
	evicting   bool      // it was asked to go
}

// admit counts a new connection once there is room for it; false when the server ends. Connections without a request make
// room: silent ones and half requests that hold on would keep everybody else out.
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

// evictOne asks the connection to close that has been without a request for longest: one that has not got its request out in a
// time that is plenty for an honest client, or else one that has been idle for a while. It reports whether there is one.
func (s *server) evictOne() bool {
	return s.evictOldest(func(c *client, age time.Duration) bool {
		return c.state == stateNew && age > maxTimeWithoutRequestWhenFull || c.state == stateReading && age > maxPartialWhenFull
	}) || s.evictIdle()
}

// evictIdle asks the connection to close that has been idle for longest, and for minIdleTime at least.
func (s *server) evictIdle() bool {
	return s.evictOldest(func(c *client, age time.Duration) bool { return c.state == stateIdle && age >= minIdleTime })
}

// evictOldest asks the oldest of the eligible connections to close, one at a time, by ending its wait for bytes. It is not
// closed from here: its request may have been read just now, and a request that has come whole is answered.
func (s *server) evictOldest(may func(*client, time.Duration) bool) bool {
	var victim *client
	now := time.Now()
	for c := range s.clients {
		if s.evicting > 0 || !may(c, now.Sub(c.since)) || victim != nil && c.since.After(victim.since) {
			continue
		}
		if calls.IdleConnUsable(c.Conn) { // else something is here and only waits for us
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

// uncount takes a connection out of the counts of those that are kept alive and of those that were asked to close.
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

// keepAlive reports whether a connection may wait for a further request after its answer. Clients that ask once and keep their
// connection would soon hold all that they may: beyond maxIdleClients, one that has been idle for a while goes for each that
// stays; if there is none, the answer says that the connection closes, which crosses no request.
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

// remove closes a connection and forgets it.
func (s *server) remove(c *client) {
	c.Close()
	s.mu.Lock()
	s.uncount(c)
	delete(s.clients, c)
	s.mu.Unlock()
	s.signalFreed()
	s.connections.Done()
}

// signalFreed wakes admit, without waiting.
func (s *server) signalFreed() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}
