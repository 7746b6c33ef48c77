// Package upstream holds the connections to endpoints and makes calls on them. One call is one write, never repeated
// by itself, and whether a byte of it may have left is known: http.Transport tells neither.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/internal/calls"
)

const (
	readerSize         = 4 << 10                // bytes read at once, and of a line of a head at most
	minSweepInterval   = 250 * time.Millisecond // idle connections are looked through no more often
	minLearnedIdleTime = 50 * time.Millisecond  // no idle span is learnt below it
	// A late second answer comes in place of the one due next; the same attempt stays off the connection for longer.
	recentAttemptCount   = 4
	hostRetention        = time.Minute // what was learnt of an endpoint without connections
	tcpUserTimeoutOption = 18          // TCP_USER_TIMEOUT, which package syscall lacks
)

// Config is what a pool is given; zero fields take the values named.
type Config struct {
	ConnectTimeout  time.Duration // of one connection; 400 ms
	IdleTimeout     time.Duration // after which endpoints close an idle connection unless they announce another; 4 s
	TCPUserTimeout  time.Duration // unacknowledged bytes break a connection after it; 5 s
	MaxConnections  int           // in all, idle ones included; 0: no bound
	MaxBufferedBody int           // bytes of an answer that are held whole; 1 MB
}

// Target is an endpoint as a call is made to it.
type Target struct {
	Address        string // host:port
	Instance       string // its instance_id
	MaxConnections int    // the most that this pool may have to it; 0: no bound
}

// hostKey tells endpoints apart: another instance at the same address is another endpoint.
type hostKey struct{ address, instance string }

// Pool holds the connections of one process to all endpoints. Its methods may be called from any goroutine.
type Pool struct {
	config  Config
	dialer  net.Dialer
	readers sync.Pool

	mu             sync.Mutex
	hosts          map[hostKey]*host
	counts         Counts
	sweepTimer     *time.Timer // runs while a connection is idle or something learnt is kept
	sweepScheduled bool
	closed         bool
}

// host is what the pool knows of an endpoint.
type host struct {
	idle            []*conn       // the one used last at the end
	openCount       int           // idle, in use or coming up
	learnedIdleTime time.Duration // connections idle for longer were found ended; 0: none was
	lastUsedAt      time.Time     // when a connection was last asked for
}

// Counts are of a pool's life, but for Open and Idle, which are as they stand.
type Counts struct {
	Open, Idle int
	Opened     uint64 // connections that came up
	Failed     uint64 // that didn't
	Reused     uint64 // calls on a connection that had carried one before
	Stale      uint64 // idle connections that the endpoint had ended, or sent bytes on
}

// NewPool makes a pool without connections.
func NewPool(c Config) *Pool {
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, 400*time.Millisecond)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 4*time.Second)
	c.TCPUserTimeout = cmp.Or(c.TCPUserTimeout, 5*time.Second)
	c.MaxBufferedBody = cmp.Or(c.MaxBufferedBody, 1<<20)
	p := &Pool{config: c, hosts: map[hostKey]*host{}}
	p.readers.New = func() any { return bufio.NewReaderSize(nil, readerSize) }
	p.dialer = net.Dialer{KeepAlive: -1, FallbackDelay: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { // where it isn't known, deadlines alone must do
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(c.TCPUserTimeout.Milliseconds()))
		})
	}}
	return p
}

// Counts tells how the pool stands.
func (pool *Pool) Counts() Counts {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.counts
}

// Open is how many connections to an endpoint are open or coming up, and how many of them are idle.
func (pool *Pool) Open(t Target) (open, idle int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if h := pool.hosts[hostKey{t.Address, t.Instance}]; h != nil {
		return h.openCount, len(h.idle)
	}
	return 0, 0
}

// acquire takes the idle connection used last or opens one. An attempt never goes where a recent send of it went: a second answer
// to that one would be taken for the answer to this one. Any end but Whole says why there is none.
func (pool *Pool) acquire(ctx context.Context, t Target, attempt string, until time.Time) (c *conn, opened bool, end Outcome, err error) {
	k := hostKey{t.Address, t.Instance}
	for {
		c, end := pool.takeIdle(k, t.MaxConnections, attempt)
		switch {
		case end != Complete:
			return nil, false, end, errConnectionLimit
		case c == nil:
			c, end, err := pool.dial(ctx, k, until)
			return c, end == Complete, end, err
		case calls.Quiet(c.TCPConn):
			pool.mu.Lock()
			pool.counts.Reused++
			pool.mu.Unlock()
			pool.attachReader(c)
			return c, false, Complete, nil
		}
		pool.closeStale(c)
	}
}

// takeIdle takes an idle connection out, or notes that one is coming up (nil, Whole).
func (pool *Pool) takeIdle(k hostKey, limit int, attempt string) (*conn, Outcome) {
	var old []*conn
	defer func() { closeAll(old) }()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now, hash := time.Now(), attemptHash(attempt)
	h := pool.hosts[k]
	if h == nil {
		h = &host{}
		pool.hosts[k] = h
		pool.scheduleSweep(hostRetention)
	}
	h.lastUsedAt = now
	old = pool.takeExpired(h, now, old)
	for i := len(h.idle) - 1; i >= 0; i-- {
		if c := h.idle[i]; attempt == "" || !slices.Contains(c.recentAttempts[:], hash) {
			h.idle = slices.Delete(h.idle, i, i+1)
			pool.counts.Idle--
			return c, Complete
		}
	}
	var room bool
	if old, room = pool.evictIdle(h, limit, old); !room {
		return nil, NoConnection
	}
	h.openCount++
	pool.counts.Open++
	return nil, Complete
}

// evictIdle takes idle connections out for one that is to come up, where the bound of the endpoint or of the pool is
// reached, and adds them to old. room is false where there is none to take. Under mu; the caller closes them.
func (pool *Pool) evictIdle(h *host, limit int, old []*conn) (_ []*conn, room bool) {
	if limit > 0 && h.openCount >= limit {
		if len(h.idle) == 0 {
			return old, false
		}
		old = append(old, h.idle[0])
		pool.removeIdle(h.idle[0])
	}
	if pool.config.MaxConnections > 0 && pool.counts.Open >= pool.config.MaxConnections {
		c := pool.longestIdle()
		if c == nil {
			return old, false
		}
		pool.removeIdle(c)
		old = append(old, c)
	}
	return old, true
}

// dial opens a connection that take has noted. Any end but Whole says why there is none.
func (pool *Pool) dial(ctx context.Context, k hostKey, until time.Time) (*conn, Outcome, error) {
	within := min(pool.config.ConnectTimeout, time.Until(until))
	dctx, cancel := context.WithTimeout(ctx, within)
	nc, err := pool.dialer.DialContext(dctx, "tcp", k.address)
	cancel()
	pool.mu.Lock()
	h := pool.hosts[k]
	if err != nil {
		pool.counts.Failed++
		h.openCount--
		pool.counts.Open--
		pool.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return nil, outcomeOf(ctx, err), err
		case !time.Now().Before(until):
			return nil, TimedOut, err
		}
		return nil, ConnectFailed, err
	}
	pool.counts.Opened++
	pool.mu.Unlock()
	c := &conn{TCPConn: nc.(*net.TCPConn), key: k, host: h}
	// An endpoint with no room for it ends it at once: that is better known before a byte is written than after.
	if !calls.Quiet(c.TCPConn) {
		pool.closeConn(c)
		return nil, ConnectFailed, errConnectionEnded
	}
	pool.attachReader(c)
	return c, Complete, nil
}
