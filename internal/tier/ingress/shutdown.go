package ingress

import (
	"context"
	"net"
	"time"
)

// queueEmptyTime is how long a listener's accept queue must stay empty in a shutdown before the listener is closed.
const queueEmptyTime = 20 * time.Millisecond

// Drain makes every response from now on carry Connection: close; connections that wait for a request are closed after Linger.
func (server *Server) Drain() {
	if server.draining.Swap(true) {
		return
	}
	time.AfterFunc(server.linger(), func() { server.closeIdle(0) })
}

// Shutdown accepts and serves the connections in the listeners' accept queues, closes the listeners and the connections that wait
// for a request, and waits until the active connections have ended. It returns nil then, or the error of ctx if that ends first.
func (server *Server) Shutdown(ctx context.Context) error {
	server.draining.Store(true)
	ended := make(chan struct{})
	server.mu.Lock()
	if server.ended != nil {
		server.mu.Unlock()
		return ErrStopped
	}
	server.acceptUntil = time.Now().Add(server.linger())
	server.stopping.Store(true)
	server.ended = ended
	listeners := append([]net.Listener(nil), server.listeners...)
	server.notifyEnded()
	server.mu.Unlock()
	for _, l := range listeners {
		server.acceptQueued(l)
	}
	server.closeIdle(server.linger())
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		server.mu.Lock()
		if server.ended == ended {
			server.ended = nil
		}
		server.mu.Unlock()
		return ctx.Err()
	}
}

// acceptQueued sets the deadline by which a listener must accept the connections in its queue; a listener without deadlines is closed.
func (server *Server) acceptQueued(l net.Listener) {
	server.mu.Lock()
	deadline := time.Now().Add(queueEmptyTime)
	if deadline.After(server.acceptUntil) {
		deadline = server.acceptUntil
	}
	server.mu.Unlock()
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(deadline) != nil {
		l.Close()
	}
}

// Close closes all listeners and connections at once, and waits for none.
func (server *Server) Close() {
	server.draining.Store(true)
	server.mu.Lock()
	server.stopping.Store(true)
	listeners := append([]net.Listener(nil), server.listeners...)
	var conns []*conn
	for c := range server.conns {
		conns = append(conns, c)
	}
	server.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for _, c := range conns {
		c.socket.Close()
	}
}

// closeIdle closes the connections that wait for a request. A connection that has not served a request yet first gets the time
// grace to send one.
func (server *Server) closeIdle(grace time.Duration) {
	server.mu.Lock()
	var closing []*conn
	deadline := time.Now().Add(grace)
	for c := server.idle.first; c != nil; c = c.next {
		if grace > 0 && c.shortenIdle(deadline, false) {
			continue
		}
		if c.closeIfIdle() {
			closing = append(closing, c)
		}
	}
	server.mu.Unlock()
	for _, c := range closing {
		c.socket.Close()
	}
}

// notifyEnded notifies a waiting Shutdown if all listeners and connections have ended. The caller holds mu.
func (server *Server) notifyEnded() {
	if server.ended != nil && len(server.listeners) == 0 && len(server.conns) == 0 {
		close(server.ended)
		server.ended = nil
	}
}
