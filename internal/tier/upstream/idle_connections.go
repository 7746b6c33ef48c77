package upstream

import (
	"bufio"
	"cmp"
	"slices"
	"time"
)

// putUsed returns a connection to the pool after a complete response, with nothing more received. keepAlive is the idle time that
// the endpoint announced; 0: none.
func (pool *Pool) putUsed(c *conn, keepAlive time.Duration) {
	c.idleSince = time.Now()
	c.expiresAt = c.idleSince.Add(cmp.Or(keepAlive, pool.config.IdleTimeout) * 4 / 5)
	pool.makeIdle(c)
}

// putUnused returns a connection to the pool on which the call has written nothing. Its idle time continues to run.
func (pool *Pool) putUnused(c *conn) {
	if c.expiresAt.IsZero() { // the connection is new
		pool.putUsed(c, 0)
		return
	}
	pool.makeIdle(c)
}

// makeIdle makes a connection idle, or closes it if its idle time is over or the pool is closed.
func (pool *Pool) makeIdle(c *conn) {
	pool.releaseReader(c)
	pool.mu.Lock()
	if learned := c.idleSince.Add(c.host.learnedIdleTime); c.host.learnedIdleTime > 0 && learned.Before(c.expiresAt) {
		c.expiresAt = learned
	}
	left := time.Until(c.expiresAt)
	if pool.closed || left <= 0 {
		pool.mu.Unlock()
		pool.closeConn(c)
		return
	}
	defer pool.mu.Unlock()
	c.host.idle = append(c.host.idle, c)
	pool.counts.Idle++
	pool.scheduleSweep(left)
}

// attachReader attaches a pooled reader to a connection before its use.
func (pool *Pool) attachReader(c *conn) {
	c.reader = pool.readers.Get().(*bufio.Reader)
	c.reader.Reset(c.TCPConn)
}

// releaseReader returns the reader of a connection to its pool.
func (pool *Pool) releaseReader(c *conn) {
	if c.reader != nil {
		c.reader.Reset(nil)
		pool.readers.Put(c.reader)
		c.reader = nil
	}
}

// closeConn closes a connection that is in use.
func (pool *Pool) closeConn(c *conn) {
	pool.releaseReader(c)
	pool.mu.Lock()
	c.host.openCount--
	pool.counts.Open--
	pool.mu.Unlock()
	c.Close()
}

// closeStale closes a connection that the endpoint closed while it was idle, and lowers the endpoint's learned idle time accordingly.
func (pool *Pool) closeStale(c *conn) {
	pool.mu.Lock()
	pool.counts.Stale++
	idleTime := max(minLearnedIdleTime, time.Since(c.idleSince)*4/5)
	if c.host.learnedIdleTime == 0 || idleTime < c.host.learnedIdleTime {
		c.host.learnedIdleTime = idleTime
	}
	pool.mu.Unlock()
	pool.closeConn(c)
}

// longestIdle returns the least recently used idle connection, or nil. The caller holds mu.
func (pool *Pool) longestIdle() *conn {
	var found *conn
	for _, h := range pool.hosts {
		if len(h.idle) > 0 && (found == nil || h.idle[0].idleSince.Before(found.idleSince)) {
			found = h.idle[0]
		}
	}
	return found
}

// removeIdle removes an idle connection, which the caller closes later. The caller holds mu.
func (pool *Pool) removeIdle(c *conn) {
	c.host.idle = slices.DeleteFunc(c.host.idle, func(other *conn) bool { return other == c })
	c.host.openCount--
	pool.counts.Open--
	pool.counts.Idle--
}

// takeExpired removes the connections whose idle time is over and adds them to closing. The caller holds mu, and closes them later.
func (pool *Pool) takeExpired(h *host, now time.Time, closing []*conn) []*conn {
	h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
		expired := !now.Before(c.expiresAt)
		if expired {
			h.openCount--
			pool.counts.Open--
			pool.counts.Idle--
			closing = append(closing, c)
		}
		return expired
	})
	return closing
}

// scheduleSweep schedules Sweep after a time, unless it is already scheduled. The caller holds mu.
func (pool *Pool) scheduleSweep(after time.Duration) {
	if pool.sweepScheduled || pool.closed {
		return
	}
	pool.sweepScheduled = true
	after = max(after, minSweepInterval)
	if pool.sweepTimer == nil {
		pool.sweepTimer = time.AfterFunc(after, pool.Sweep)
		return
	}
	pool.sweepTimer.Reset(after)
}

// Sweep closes the connections whose idle time is over, and forgets endpoints without connections. The pool's timer calls it.
func (pool *Pool) Sweep() {
	pool.mu.Lock()
	var closing []*conn
	now := time.Now()
	next := time.Duration(-1)
	for k, h := range pool.hosts {
		closing = pool.takeExpired(h, now, closing)
		if h.openCount == 0 && now.Sub(h.lastUsedAt) > hostRetention {
			delete(pool.hosts, k)
			continue
		}
		left := hostRetention
		for _, c := range h.idle {
			left = min(left, c.expiresAt.Sub(now))
		}
		if next < 0 || left < next {
			next = left
		}
	}
	pool.sweepScheduled = false
	if next >= 0 {
		pool.scheduleSweep(next)
	}
	pool.mu.Unlock()
	closeAll(closing)
}

// Forget closes the idle connections to an endpoint that is gone or draining.
func (pool *Pool) Forget(address, instance string) {
	pool.mu.Lock()
	k := hostKey{address, instance}
	var closing []*conn
	if h := pool.hosts[k]; h != nil {
		closing = slices.Clone(h.idle)
		for _, c := range closing {
			pool.removeIdle(c)
		}
		if h.openCount == 0 {
			delete(pool.hosts, k)
		}
	}
	pool.mu.Unlock()
	closeAll(closing)
}

// Close closes all idle connections; those in use are closed when their calls end. It stops the timer of Sweep.
func (pool *Pool) Close() {
	pool.mu.Lock()
	pool.closed = true
	var closing []*conn
	for _, h := range pool.hosts {
		closing = append(closing, h.idle...)
		h.openCount -= len(h.idle)
		h.idle = nil
	}
	pool.counts.Open -= len(closing)
	pool.counts.Idle = 0
	if pool.sweepTimer != nil {
		pool.sweepTimer.Stop()
	}
	pool.mu.Unlock()
	closeAll(closing)
}

// closeAll closes connections that the pool no longer counts.
func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
}
