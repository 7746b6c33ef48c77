package upstream

import (
	"bufio"
	"cmp"
	"slices"
	"time"
)

// putUsed keeps a connection that has carried a whole answer and nothing more. alive is how long the endpoint said that it
// keeps it, 0 if it didn't.
func (pool *Pool) putUsed(c *conn, alive time.Duration) {
	c.idleSince = time.Now()
	c.expiresAt = c.idleSince.Add(cmp.Or(alive, pool.config.IdleTimeout) * 4 / 5)
	pool.makeIdle(c)
}

// putUnused gives back a connection on which nothing was written: its time goes on.
func (pool *Pool) putUnused(c *conn) {
	if c.expiresAt.IsZero() { // it is new
		pool.putUsed(c, 0)
		return
	}
	pool.makeIdle(c)
}

// makeIdle makes a connection idle, or closes it where its time is over or the pool is closed.
func (pool *Pool) makeIdle(c *conn) {
	pool.releaseReader(c)
	pool.mu.Lock()
	if learnt := c.idleSince.Add(c.host.learnedIdleTime); c.host.learnedIdleTime > 0 && learnt.Before(c.expiresAt) {
		c.expiresAt = learnt
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

// attachReader gives a connection that goes into use a reader.
func (pool *Pool) attachReader(c *conn) {
	c.reader = pool.readers.Get().(*bufio.Reader)
	c.reader.Reset(c.TCPConn)
}

// releaseReader gives the reader back.
func (pool *Pool) releaseReader(c *conn) {
	if c.reader != nil {
		c.reader.Reset(nil)
		pool.readers.Put(c.reader)
		c.reader = nil
	}
}

// closeConn closes a connection that isn't idle.
func (pool *Pool) closeConn(c *conn) {
	pool.releaseReader(c)
	pool.mu.Lock()
	c.host.openCount--
	pool.counts.Open--
	pool.mu.Unlock()
	c.Close()
}

// closeStale drops an idle connection, taken out already, that the endpoint ended first, and learns from that.
func (pool *Pool) closeStale(c *conn) {
	pool.mu.Lock()
	pool.counts.Stale++
	span := max(minLearnedIdleTime, time.Since(c.idleSince)*4/5)
	if c.host.learnedIdleTime == 0 || span < c.host.learnedIdleTime {
		c.host.learnedIdleTime = span
	}
	pool.mu.Unlock()
	pool.closeConn(c)
}

// longestIdle is the idle connection that was used longest ago. Under mu.
func (pool *Pool) longestIdle() *conn {
	var found *conn
	for _, h := range pool.hosts {
		if len(h.idle) > 0 && (found == nil || h.idle[0].idleSince.Before(found.idleSince)) {
			found = h.idle[0]
		}
	}
	return found
}

// removeIdle takes an idle connection, which is to be closed, off the books. Under mu.
func (pool *Pool) removeIdle(c *conn) {
	c.host.idle = slices.DeleteFunc(c.host.idle, func(other *conn) bool { return other == c })
	c.host.openCount--
	pool.counts.Open--
	pool.counts.Idle--
}

// takeExpired takes out what has been idle for its time. Under mu; the caller closes it.
func (pool *Pool) takeExpired(h *host, now time.Time, old []*conn) []*conn {
	h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
		over := !now.Before(c.expiresAt)
		if over {
			h.openCount--
			pool.counts.Open--
			pool.counts.Idle--
			old = append(old, c)
		}
		return over
	})
	return old
}

// scheduleSweep sees to it that the sweep runs, at the latest at its next time. Under mu.
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

// Sweep closes the connections that have been idle for their time. It runs by itself.
func (pool *Pool) Sweep() {
	pool.mu.Lock()
	var old []*conn
	now := time.Now()
	next := time.Duration(-1)
	for k, h := range pool.hosts {
		old = pool.takeExpired(h, now, old)
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
	closeAll(old)
}

// Forget closes the idle connections to an endpoint that has ended or is draining.
func (pool *Pool) Forget(address, instance string) {
	pool.mu.Lock()
	k := hostKey{address, instance}
	var old []*conn
	if h := pool.hosts[k]; h != nil {
		old = slices.Clone(h.idle)
		for _, c := range old {
			pool.removeIdle(c)
		}
		if h.openCount == 0 {
			delete(pool.hosts, k)
		}
	}
	pool.mu.Unlock()
	closeAll(old)
}

// Close closes all idle connections; those in use are closed when their calls end.
func (pool *Pool) Close() {
	pool.mu.Lock()
	pool.closed = true
	var old []*conn
	for _, h := range pool.hosts {
		old = append(old, h.idle...)
		h.openCount -= len(h.idle)
		h.idle = nil
	}
	pool.counts.Open -= len(old)
	pool.counts.Idle = 0
	if pool.sweepTimer != nil {
		pool.sweepTimer.Stop()
	}
	pool.mu.Unlock()
	closeAll(old)
}

// closeAll closes connections that are off the books.
func closeAll(old []*conn) {
	for _, c := range old {
		c.Close()
	}
}
