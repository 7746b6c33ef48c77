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

	// Guarded by Server.mu.
	listener     *net.TCPListener
	conns        map[*conn]bool
	mode         string        // open, vanished, shut
	resume       chan struct{} // closed when the endpoint leaves the mode vanished
	backlogConns []net.Conn
	removed      bool
}

func listen(addr string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// setMode changes how the endpoint's address answers connections. The caller holds Server.mu.
func (e *Endpoint) setMode(mode string) {
	if e.mode == mode {
		return
	}
	previous := e.mode
	e.mode = mode
	if previous == "vanished" {
		for _, p := range e.backlogConns {
			p.Close()
		}
		e.backlogConns = nil
		if mode == "open" && e.listener != nil {
			e.backlog(backlog)
			e.listener.SetDeadline(time.Time{})
		}
		close(e.resume)
		e.resume = make(chan struct{})
	}
	switch mode {
	case "vanished":
		if e.listener == nil { // after shut: the address must listen again, or it would refuse connections instead of ignoring them
			e.relisten()
		}
		if e.listener != nil {
			e.listener.SetDeadline(time.Unix(1, 0)) // AcceptTCP returns, and its goroutine waits for resume
			e.backlog(0)
			e.fillBacklog()
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

// backlog sets how many connections may wait to be accepted. On Linux listen may be called again for that. With 0 one connection may
// wait, and while it waits the kernel drops every further SYN.
func (e *Endpoint) backlog(n int) {
	raw, err := e.listener.SyscallConn()
	if err == nil {
		var listenErr error
		err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
		err = errors.Join(err, listenErr)
	}
	if err != nil {
		e.s.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: "receiver " + e.ID + ": backlog: " + err.Error()})
	}
}

// fillBacklog opens connections to the endpoint until one times out; after that no other connection is established. A SYN that the
// kernel answers meanwhile may still succeed, as on a machine that fails at that moment.
func (e *Endpoint) fillBacklog() {
	addr := e.Addr
	go func() {
		for range maxBacklogConns {
			c, err := net.DialTimeout("tcp", addr, backlogDialTimeout)
			if err != nil {
				return
			}
			e.s.mu.Lock()
			if e.mode != "vanished" {
				e.s.mu.Unlock()
				c.Close()
				return
			}
			e.backlogConns = append(e.backlogConns, c)
			e.s.mu.Unlock()
		}
		e.s.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: "receiver " + e.ID + ": connections are still established although the endpoint has vanished"})
	}()
}

// reset resets all connections of the endpoint. The caller holds Server.mu.
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
		if e.removed || e.s.closed || e.mode == "shut" {
			e.s.mu.Unlock()
			c.SetLinger(0)
			c.Close()
			continue
		}
		e.conns[k] = true
		k.overLimit = e.s.spec.MaxConnections > 0 && len(e.conns) > e.s.spec.MaxConnections
		e.s.mu.Unlock()
		go k.serve()
	}
}
