package receiver

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// Endpoint is one address of a receiver.
type Endpoint struct {
	ID, Addr string
	number   int
	s        *Server

	// Under the Server's lock.
	listener *net.TCPListener
	conns    map[*conn]bool
	mode     string        // open, vanished, shut
	resume   chan struct{} // closed when a vanished endpoint takes connections again
	plugs    []net.Conn
	gone     bool
}

func listen(addr string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// to changes how the endpoint's address answers connections. The lock is held.
func (e *Endpoint) to(mode string) {
	if e.mode == mode {
		return
	}
	was := e.mode
	e.mode = mode
	if was == "vanished" {
		for _, p := range e.plugs {
			p.Close()
		}
		e.plugs = nil
		if mode == "open" && e.listener != nil {
			e.backlog(backlog)
			e.listener.SetDeadline(time.Time{})
		}
		close(e.resume)
		e.resume = make(chan struct{})
	}
	switch mode {
	case "vanished":
		if e.listener == nil { // it was shut: the address has to be there to be silent
			e.relisten()
		}
		if e.listener != nil {
			e.listener.SetDeadline(time.Unix(1, 0)) // the accepting goroutine waits for resume
			e.backlog(0)
			e.plug()
		}
	case "shut":
		if e.listener != nil {
			e.listener.Close()
			e.listener = nil
		}
	case "open":
		if e.listener == nil {
			e.relisten()
		}
	}
}

func (e *Endpoint) relisten() {
	l, err := listen(e.Addr)
	if err != nil {
		e.s.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: "receiver " + e.ID + ": " + err.Error()})
		return
	}
	e.listener = l
	go e.accept(l)
}

// backlog sets how many connections may wait to be accepted. On Linux listen may be called again for that;
// with 0 one may, and while it waits the kernel drops every further SYN.
func (e *Endpoint) backlog(n int) {
	raw, err := e.listener.SyscallConn()
	if err == nil {
		var bad error
		err = raw.Control(func(fd uintptr) { bad = syscall.Listen(int(fd), n) })
		err = errors.Join(err, bad)
	}
	if err != nil {
		e.s.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: "receiver " + e.ID + ": backlog: " + err.Error()})
	}
}

// plug fills the backlog with connections of our own, until one does not come up: no other will then. A SYN
// that is being answered meanwhile may still come up, as on a machine that goes at that moment.
func (e *Endpoint) plug() {
	addr := e.Addr
	go func() {
		for range maxPlugs {
			c, err := net.DialTimeout("tcp", addr, plugTime)
			if err != nil {
				return
			}
			e.s.mu.Lock()
			if e.mode != "vanished" {
				e.s.mu.Unlock()
				c.Close()
				return
			}
			e.plugs = append(e.plugs, c)
			e.s.mu.Unlock()
		}
		e.s.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: "receiver " + e.ID + ": connections still come up though it has vanished"})
	}()
}

// reset breaks all connections of the endpoint. The lock is held.
func (e *Endpoint) reset() {
	for c := range e.conns {
		c.reset()
	}
}

func (e *Endpoint) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			e.s.mu.Lock()
			resume, wait := e.resume, e.mode == "vanished" && e.listener == l
			e.s.mu.Unlock()
			if wait {
				<-resume
			}
			continue
		}
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				e.s.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: "receiver " + e.ID + ": accept: " + err.Error()})
			}
			return
		}
		k := &conn{TCPConn: c, r: bufio.NewReader(c), e: e}
		e.s.mu.Lock()
		if e.gone || e.s.closed || e.mode == "shut" {
			e.s.mu.Unlock()
			c.SetLinger(0)
			c.Close()
			continue
		}
		e.conns[k] = true
		k.crowded = e.s.spec.MaxConnections > 0 && len(e.conns) > e.s.spec.MaxConnections
		e.s.mu.Unlock()
		go k.serve()
	}
}
