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
	readerSize         = 4 << 10                // bytes read at once, and most bytes of a line of a head
	minSweepInterval   = 250 * time.Millisecond // shortest time between two searches for expired idle connections
	minLearnedIdleTime = 50 * time.Millisecond  // lower bound of host.learnedIdleTime
	// An attempt is not sent on a connection if one of the connection's last recentAttemptCount requests was an earlier send of the
	// same attempt: a late second response to the earlier send would be taken for the response to the new one.
	recentAttemptCount   = 4
	hostRetention        = time.Minute // how long an endpoint without connections is remembered
	tcpUserTimeoutOption = 18          // TCP_USER_TIMEOUT, which package syscall lacks
)

// Config configures a pool. Zero fields take the defaults named.
type Config struct {
	ConnectTimeout  time.Duration // for one connection to be established; default 400 ms
	IdleTimeout     time.Duration // after which endpoints close an idle connection unless they announce another by Keep-Alive; default 4 s
	TCPUserTimeout  time.Duration // after which unacknowledged bytes break a connection (TCP_USER_TIMEOUT); default 5 s
	MaxConnections  int           // to all endpoints, idle ones included; 0: unlimited
	MaxBufferedBody int           // bytes of a response that are buffered; a larger one becomes a Stream or is rejected; default 1 MB
}

// Target is the endpoint of a call.
type Target struct {
	Address        string // host:port
	Instance       string // instance_id of the endpoint
	MaxConnections int    // connections of the pool to the endpoint; 0: unlimited
}

// hostKey identifies an endpoint: another instance at the same address is another endpoint.
type hostKey struct{ address, instance string }

// Pool holds the connections of one process to all endpoints. Its methods may be called from any goroutine.
type Pool struct {
	config  Config
	dialer  net.Dialer
	readers sync.Pool

	mu             sync.Mutex
	hosts          map[hostKey]*host
	counts         Counts
	sweepTimer     *time.Timer // runs while a connection is idle or a host is remembered
	sweepScheduled bool
	closed         bool
}

// host is the pool's state for one endpoint, guarded by the pool's mutex.
type host struct {
	idle            []*conn       // in order of their last use, the latest at the end
	openCount       int           // idle, in use or being dialed
	learnedIdleTime time.Duration // connections idle for longer were found closed; 0: none was
	lastUsedAt      time.Time     // when a connection was last requested
}

// Counts counts the connections of a pool: Open and Idle are current, the others count since NewPool.
type Counts struct {
	Open, Idle int
	Opened     uint64 // connections that were established
	Failed     uint64 // connections that could not be established
	Reused     uint64 // calls on a connection that had carried one before
	Stale      uint64 // idle connections that the endpoint had closed, or sent bytes on
}

// NewPool returns a pool without connections. The caller must Close it.
func NewPool(config Config) *Pool {
	config.ConnectTimeout = cmp.Or(config.ConnectTimeout, 400*time.Millisecond)
	config.IdleTimeout = cmp.Or(config.IdleTimeout, 4*time.Second)
	config.TCPUserTimeout = cmp.Or(config.TCPUserTimeout, 5*time.Second)
	config.MaxBufferedBody = cmp.Or(config.MaxBufferedBody, 1<<20)
	p := &Pool{config: config, hosts: map[hostKey]*host{}}
	p.readers.New = func() any { return bufio.NewReaderSize(nil, readerSize) }
	p.dialer = net.Dialer{KeepAlive: -1, FallbackDelay: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { // if the system lacks the option, only deadlines detect a dead peer
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(config.TCPUserTimeout.Milliseconds()))
		})
	}}
	return p
}

// Counts returns the counts of the pool.
func (pool *Pool) Counts() Counts {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.counts
}

// Open returns how many connections to an endpoint are open or being dialed, and how many of them are idle.
func (pool *Pool) Open(target Target) (open, idle int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if h := pool.hosts[hostKey{target.Address, target.Instance}]; h != nil {
		return h.openCount, len(h.idle)
	}
	return 0, 0
}

// acquire returns the most recently used idle connection, or a new one. It never returns a connection that recently carried an
// earlier send of the same attempt, because a second response to that send would be taken for the response to this one. Any outcome
// but Complete is the reason why there is no connection.
func (pool *Pool) acquire(ctx context.Context, target Target, attempt string, deadline time.Time) (c *conn, isNew bool, end Outcome, err error) {
	k := hostKey{target.Address, target.Instance}
	for {
		c, end := pool.takeIdle(k, target.MaxConnections, attempt)
		switch {
		case end != Complete:
			return nil, false, end, errConnectionLimit
		case c == nil:
			c, end, err := pool.dial(ctx, k, deadline)
			return c, end == Complete, end, err
		case calls.IdleConnUsable(c.TCPConn):
			pool.mu.Lock()
			pool.counts.Reused++
			pool.mu.Unlock()
			pool.attachReader(c)
			return c, false, Complete, nil
		}
		pool.closeStale(c)
	}
}

// takeIdle takes an idle connection from the pool. If it returns (nil, Complete), it has counted a connection that the caller must dial.
func (pool *Pool) takeIdle(k hostKey, limit int, attempt string) (*conn, Outcome) {
	var closing []*conn
	defer func() { closeAll(closing) }()
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
	closing = pool.takeExpired(h, now, closing)
	for i := len(h.idle) - 1; i >= 0; i-- {
		if c := h.idle[i]; attempt == "" || !slices.Contains(c.recentAttempts[:], hash) {
			h.idle = slices.Delete(h.idle, i, i+1)
			pool.counts.Idle--
			return c, Complete
		}
	}
	var hasCapacity bool
	if closing, hasCapacity = pool.evictIdle(h, limit, closing); !hasCapacity {
		return nil, NoConnection
	}
	h.openCount++
	pool.counts.Open++
	return nil, Complete
}

// evictIdle removes idle connections and adds them to closing if the limit of the endpoint or of the pool leaves no capacity for a
// connection to be dialed. ok is false if there is none to remove. The caller holds mu, and closes the connections later.
func (pool *Pool) evictIdle(h *host, limit int, closing []*conn) (_ []*conn, ok bool) {
	if limit > 0 && h.openCount >= limit {
		if len(h.idle) == 0 {
			return closing, false
		}
		closing = append(closing, h.idle[0])
		pool.removeIdle(h.idle[0])
	}
	if pool.config.MaxConnections > 0 && pool.counts.Open >= pool.config.MaxConnections {
		c := pool.longestIdle()
		if c == nil {
			return closing, false
		}
		pool.removeIdle(c)
		closing = append(closing, c)
	}
	return closing, true
}

// dial opens a connection that takeIdle has counted. Any outcome but Complete is the reason why there is none.
func (pool *Pool) dial(ctx context.Context, k hostKey, deadline time.Time) (*conn, Outcome, error) {
	within := min(pool.config.ConnectTimeout, time.Until(deadline))
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
		case !time.Now().Before(deadline):
			return nil, TimedOut, err
		}
		return nil, ConnectFailed, err
	}
	pool.counts.Opened++
	pool.mu.Unlock()
	c := &conn{TCPConn: nc.(*net.TCPConn), key: k, host: h}
	// An endpoint without capacity closes a new connection at once. If the close is detected before a byte is written, the request
	// was certainly not executed.
	if !calls.IdleConnUsable(c.TCPConn) {
		pool.closeConn(c)
		return nil, ConnectFailed, errConnectionEnded
	}
	pool.attachReader(c)
	return c, Complete, nil
}
