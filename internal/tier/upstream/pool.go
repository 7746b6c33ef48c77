// Package upstream holds the connections to endpoints and makes calls on them. One call is one write, never repeated
// by itself, and whether a byte of it may have left is known: http.Transport tells neither.
package upstream

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"dockshift.example/dockshift/internal/calls"
)

const (
	readerSize = 4 << 10                // bytes read at once, and of a line of a head at most
	sweepEvery = 250 * time.Millisecond // idle connections are looked through no more often
	shortest   = 50 * time.Millisecond  // no idle span is learnt below it
	// A late second answer comes in place of the one due next; the same attempt stays off the connection for longer.
	recentRequests = 4
	forgetAfter    = time.Minute // what was learnt of an endpoint without connections
	tcpUserTime    = 18          // TCP_USER_TIMEOUT, which package syscall lacks
)

// Config is what a pool is given; zero fields take the values named.
type Config struct {
	ConnectTimeout time.Duration // of one connection; 400 ms
	IdleTimeout    time.Duration // after which endpoints close an idle connection unless they announce another; 4 s
	UserTimeout    time.Duration // unacknowledged bytes break a connection after it; 5 s
	Connections    int           // in all, idle ones included; 0: no bound
	Body           int           // bytes of an answer that are held whole; 1 MB
}

// Target is an endpoint as a call is made to it.
type Target struct {
	Address     string // host:port
	Instance    string // its instance_id
	Connections int    // the most that this pool may have to it; 0: no bound
}

type key struct{ address, instance string }

// Pool holds the connections of one process to all endpoints. Its methods may be called from any goroutine.
type Pool struct {
	config  Config
	dialer  net.Dialer
	readers sync.Pool

	mu     sync.Mutex
	hosts  map[key]*host
	counts Counts
	sweep  *time.Timer // runs while a connection is idle or something learnt is kept
	armed  bool
	closed bool
}

type host struct {
	idle  []*conn // the one used last at the end
	open  int     // idle, in use or coming up
	learn time.Duration
	used  time.Time
}

// Counts are of a pool's life, but for Open and Idle, which are as they stand.
type Counts struct {
	Open, Idle int
	Opened     uint64 // connections that came up
	Failed     uint64 // that didn't
	Reused     uint64 // calls on a connection that had carried one before
	Stale      uint64 // idle connections that the endpoint had ended, or sent bytes on
}

type conn struct {
	*net.TCPConn
	r    *bufio.Reader // nil while idle
	key  key
	host *host
	// requests counts those of which a byte was written, answers those read whole, whoever they are to. A connection on
	// which they differ is never used again.
	requests, answers int
	recent            [recentRequests]uint64 // hashes of the attempt ids of the last requests

	since   time.Time
	expires time.Time
	scratch []byte // for heads
}

var attemptSeed = maphash.MakeSeed()

// attemptHash is never 0, which stands for no request.
func attemptHash(attempt string) uint64 { return maphash.String(attemptSeed, attempt) | 1 }

// begin notes that a byte of a request was written.
func (c *conn) begin(attempt string) {
	c.recent[c.requests%recentRequests] = attemptHash(attempt)
	c.requests++
}

// NewPool makes a pool without connections.
func NewPool(c Config) *Pool {
	c.ConnectTimeout = or(c.ConnectTimeout, 400*time.Millisecond)
	c.IdleTimeout = or(c.IdleTimeout, 4*time.Second)
	c.UserTimeout = or(c.UserTimeout, 5*time.Second)
	c.Body = or(c.Body, 1<<20)
	p := &Pool{config: c, hosts: map[key]*host{}}
	p.readers.New = func() any { return bufio.NewReaderSize(nil, readerSize) }
	p.dialer = net.Dialer{KeepAlive: -1, FallbackDelay: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { // where it isn't known, deadlines alone must do
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTime, int(c.UserTimeout.Milliseconds()))
		})
	}}
	return p
}

func or[T comparable](v, instead T) T {
	if v == *new(T) {
		return instead
	}
	return v
}

// Counts tells how the pool stands.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Open is how many connections to an endpoint are open or coming up, and how many of them are idle.
func (p *Pool) Open(t Target) (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[key{t.Address, t.Instance}]; h != nil {
		return h.open, len(h.idle)
	}
	return 0, 0
}

// get takes the idle connection used last or opens one. An attempt never goes where a recent send of it went: a second answer
// to that one would be taken for the answer to this one. Any end but Whole says why there is none.
func (p *Pool) get(ctx context.Context, t Target, attempt string, until time.Time) (c *conn, opened bool, end End, err error) {
	k := key{t.Address, t.Instance}
	for {
		c, end := p.take(k, t.Connections, attempt)
		switch {
		case end != Whole:
			return nil, false, end, errNoRoom
		case c == nil:
			c, end, err := p.dial(ctx, k, until)
			return c, end == Whole, end, err
		case calls.Quiet(c.TCPConn):
			p.mu.Lock()
			p.counts.Reused++
			p.mu.Unlock()
			c.r = p.readers.Get().(*bufio.Reader)
			c.r.Reset(c.TCPConn)
			return c, false, Whole, nil
		}
		p.stale(c)
	}
}

// take takes an idle connection out, or notes that one is coming up (nil, Whole).
func (p *Pool) take(k key, limit int, attempt string) (*conn, End) {
	var old []*conn
	defer func() { shut(old) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	now, hash := time.Now(), attemptHash(attempt)
	h := p.hosts[k]
	if h == nil {
		h = &host{}
		p.hosts[k] = h
		p.arm(forgetAfter)
	}
	h.used = now
	old = p.expire(h, now, old)
	for i := len(h.idle) - 1; i >= 0; i-- {
		if c := h.idle[i]; attempt == "" || !slices.Contains(c.recent[:], hash) {
			h.idle = slices.Delete(h.idle, i, i+1)
			p.counts.Idle--
			return c, Whole
		}
	}
	if limit > 0 && h.open >= limit {
		if len(h.idle) == 0 {
			return nil, NoRoom
		}
		old = append(old, h.idle[0])
		p.unlink(h.idle[0])
	}
	if p.config.Connections > 0 && p.counts.Open >= p.config.Connections {
		c := p.oldest()
		if c == nil {
			return nil, NoRoom
		}
		p.unlink(c)
		old = append(old, c)
	}
	h.open++
	p.counts.Open++
	return nil, Whole
}

func (p *Pool) dial(ctx context.Context, k key, until time.Time) (*conn, End, error) {
	within := min(p.config.ConnectTimeout, time.Until(until))
	dctx, cancel := context.WithTimeout(ctx, within)
	nc, err := p.dialer.DialContext(dctx, "tcp", k.address)
	cancel()
	p.mu.Lock()
	h := p.hosts[k]
	if err != nil {
		p.counts.Failed++
		h.open--
		p.counts.Open--
		p.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return nil, ended(ctx, err), err
		case !time.Now().Before(until):
			return nil, TimedOut, err
		}
		return nil, ConnectFailed, err
	}
	p.counts.Opened++
	p.mu.Unlock()
	c := &conn{TCPConn: nc.(*net.TCPConn), key: k, host: h}
	if !calls.Quiet(c.TCPConn) { // an endpoint with no room for it ends it at once: before a byte is written is better known than after
		p.drop(c)
		return nil, ConnectFailed, errEnded
	}
	c.r = p.readers.Get().(*bufio.Reader)
	c.r.Reset(c.TCPConn)
	return c, Whole, nil
}

// put keeps a connection that has carried a whole answer and nothing more. alive is how long the endpoint said that it
// keeps it, 0 if it didn't.
func (p *Pool) put(c *conn, alive time.Duration) {
	c.since = time.Now()
	c.expires = c.since.Add(or(alive, p.config.IdleTimeout) * 4 / 5)
	p.keep(c)
}

// unused gives back a connection on which nothing was written: its time goes on.
func (p *Pool) unused(c *conn) {
	if c.expires.IsZero() { // it is new
		p.put(c, 0)
		return
	}
	p.keep(c)
}

func (p *Pool) keep(c *conn) {
	p.release(c)
	p.mu.Lock()
	if learnt := c.since.Add(c.host.learn); c.host.learn > 0 && learnt.Before(c.expires) {
		c.expires = learnt
	}
	left := time.Until(c.expires)
	if p.closed || left <= 0 {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	defer p.mu.Unlock()
	c.host.idle = append(c.host.idle, c)
	p.counts.Idle++
	p.arm(left)
}

// release gives the reader back.
func (p *Pool) release(c *conn) {
	if c.r != nil {
		c.r.Reset(nil)
		p.readers.Put(c.r)
		c.r = nil
	}
}

// drop closes a connection that isn't idle.
func (p *Pool) drop(c *conn) {
	p.release(c)
	p.mu.Lock()
	c.host.open--
	p.counts.Open--
	p.mu.Unlock()
	c.Close()
}

// stale drops an idle connection, taken out already, that the endpoint ended first, and learns from that.
func (p *Pool) stale(c *conn) {
	p.mu.Lock()
	p.counts.Stale++
	span := max(shortest, time.Since(c.since)*4/5)
	if c.host.learn == 0 || span < c.host.learn {
		c.host.learn = span
	}
	p.mu.Unlock()
	p.drop(c)
}

// oldest is the idle connection that was used longest ago. Under mu.
func (p *Pool) oldest() *conn {
	var found *conn
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (found == nil || h.idle[0].since.Before(found.since)) {
			found = h.idle[0]
		}
	}
	return found
}

// unlink takes an idle connection, which is to be closed, off the books. Under mu.
func (p *Pool) unlink(c *conn) {
	c.host.idle = slices.DeleteFunc(c.host.idle, func(other *conn) bool { return other == c })
	c.host.open--
	p.counts.Open--
	p.counts.Idle--
}

// expire takes out what has been idle for its time. Under mu; the caller closes it.
func (p *Pool) expire(h *host, now time.Time, old []*conn) []*conn {
	h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
		over := !now.Before(c.expires)
		if over {
			h.open--
			p.counts.Open--
			p.counts.Idle--
			old = append(old, c)
		}
		return over
	})
	return old
}

// arm sees to it that the sweep runs, at the latest at its next time. Under mu.
func (p *Pool) arm(after time.Duration) {
	if p.armed || p.closed {
		return
	}
	p.armed = true
	after = max(after, sweepEvery)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(after, p.Sweep)
		return
	}
	p.sweep.Reset(after)
}

// Sweep closes the connections that have been idle for their time. It runs by itself.
func (p *Pool) Sweep() {
	p.mu.Lock()
	var old []*conn
	now := time.Now()
	next := time.Duration(-1)
	for k, h := range p.hosts {
		old = p.expire(h, now, old)
		if h.open == 0 && now.Sub(h.used) > forgetAfter {
			delete(p.hosts, k)
			continue
		}
		left := forgetAfter
		for _, c := range h.idle {
			left = min(left, c.expires.Sub(now))
		}
		if next < 0 || left < next {
			next = left
		}
	}
	p.armed = false
	if next >= 0 {
		p.arm(next)
	}
	p.mu.Unlock()
	shut(old)
}

// Forget closes the idle connections to an endpoint that has ended or is draining.
func (p *Pool) Forget(address, instance string) {
	p.mu.Lock()
	k := key{address, instance}
	var old []*conn
	if h := p.hosts[k]; h != nil {
		old = slices.Clone(h.idle)
		for _, c := range old {
			p.unlink(c)
		}
		if h.open == 0 {
			delete(p.hosts, k)
		}
	}
	p.mu.Unlock()
	shut(old)
}

// Close closes all idle connections; those in use are closed when their calls end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	var old []*conn
	for _, h := range p.hosts {
		old = append(old, h.idle...)
		h.open -= len(h.idle)
		h.idle = nil
	}
	p.counts.Open -= len(old)
	p.counts.Idle = 0
	if p.sweep != nil {
		p.sweep.Stop()
	}
	p.mu.Unlock()
	shut(old)
}

func shut(old []*conn) {
	for _, c := range old {
		c.Close()
	}
}
