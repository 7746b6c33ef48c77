package calls

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a connection to an endpoint.
type conn struct {
	LimitedConn
	r         *bufio.Reader
	addr      string
	idleSince time.Time // zero before the first call on it
}

// Pool opens, reuses and closes connections. It is safe for concurrent use.
type Pool struct {
	connectTimeout time.Duration
	idleTimeout    time.Duration
	maxIdle        int64 // over all endpoints: file descriptors are scarce
	idle           atomic.Int64
	loadFields     []string
	formats        requestFormats
	Dialer         net.Dialer

	mu       sync.Mutex             // may be locked while Endpoint.mu is held, not the reverse; guards withIdle
	withIdle map[*Endpoint]struct{} // endpoints that may have idle connections
}

// Config is the configuration of a Pool.
type Config struct {
	ConnectTimeout time.Duration // for a connection to be established
	IdleTimeout    time.Duration // after which endpoints close an idle connection
	MaxIdle        int           // idle connections kept, over all endpoints
	LoadFields     []string      // names of the figures in a load report
	Delivery       *Delivery     // nil for the platform's format
}

// idleTimeoutTenths is the fraction of an endpoint's idle time-out, in tenths, after which connections are closed here. A call written
// to a connection that the endpoint has closed is reset, and counts as one that may have run.
const idleTimeoutTenths = 9

// NewPool returns a pool without connections.
func NewPool(c Config) *Pool {
	return &Pool{
		connectTimeout: c.ConnectTimeout,
		idleTimeout:    c.IdleTimeout * idleTimeoutTenths / 10,
		maxIdle:        int64(c.MaxIdle),
		loadFields:     c.LoadFields,
		formats:        newRequestFormats(c.Delivery),
		withIdle:       map[*Endpoint]struct{}{},
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int { return int(p.idle.Load()) }

// acquire returns the idle connection that was used last, or opens a new one. A new one must be established before until.
func (p *Pool) acquire(ctx context.Context, e *Endpoint, until time.Time) (*conn, error) {
	e.mu.Lock()
	addr := e.addr
	for n := len(e.idle) - 1; n >= 0; n = len(e.idle) - 1 {
		c := e.idle[n]
		e.idle = e.idle[:n]
		p.idle.Add(-1)
		if c.addr == addr && time.Since(c.idleSince) < p.idleTimeout && IdleConnUsable(c.Conn) {
			e.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, min(p.connectTimeout, time.Until(until)))
	defer cancel()
	nc, err := p.Dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{LimitedConn: LimitedConn{nc, 0, errAnswerTooLong}, addr: addr}
	c.r = bufio.NewReaderSize(c, maxStatusLine)
	return c, nil
}

// release keeps a connection for the next call, or closes it if it has the endpoint's old address or the pool is full.
func (p *Pool) release(e *Endpoint, c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.addr != e.addr || p.idle.Load() >= p.maxIdle {
		c.Close()
		return
	}
	p.idle.Add(1)
	c.idleSince = time.Now()
	if e.idle = append(e.idle, c); len(e.idle) == 1 {
		p.mu.Lock()
		p.withIdle[e] = struct{}{}
		p.mu.Unlock()
	}
}

// CloseExpired closes the connections that have been idle for the idle time-out.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	endpoints := make([]*Endpoint, 0, len(p.withIdle))
	for e := range p.withIdle {
		endpoints = append(endpoints, e)
	}
	p.mu.Unlock()
	for _, e := range endpoints {
		p.CloseIdle(e, p.idleTimeout)
	}
}

// CloseIdle closes the connections to e that have been idle for after or longer. e may be nil.
func (p *Pool) CloseIdle(e *Endpoint, after time.Duration) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = slices.DeleteFunc(e.idle, func(c *conn) bool {
		old := time.Since(c.idleSince) >= after
		if old {
			p.idle.Add(-1)
			c.Close()
		}
		return old
	})
	if len(e.idle) == 0 {
		e.idle = nil
		p.mu.Lock()
		delete(p.withIdle, e)
		p.mu.Unlock()
	}
}

// isLocalShortage reports whether a connection failed because this machine lacks a resource.
func isLocalShortage(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL},
		func(shortage error) bool { return errors.Is(err, shortage) })
}

// IdleConnUsable reports whether an idle connection is still open and has received nothing, not even a close. A call on a
// connection that the endpoint has closed would count as one that may have run.
func IdleConnUsable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Control(func(fd uintptr) { // not raw.Read, which would wait for a read in progress
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = err == syscall.EAGAIN
	})
	return err == nil && usable
}
