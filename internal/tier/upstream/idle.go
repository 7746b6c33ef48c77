package upstream

import (
	"bufio"
	"cmp"
	"slices"
	"time"
)

// put keeps a connection that has carried a whole answer and nothing more. alive is how long the endpoint said that it
// keeps it, 0 if it didn't.
func (pool *Pool) put(c *conn, alive time.Duration) {
	c.since = time.Now()
	c.expires = c.since.Add(cmp.Or(alive, pool.config.IdleTimeout) * 4 / 5)
	pool.keep(c)
}

// unused gives back a connection on which nothing was written: its time goes on.
func (pool *Pool) unused(c *conn) {
	if c.expires.IsZero() { // it is new
		pool.put(c, 0)
		return
	}
	pool.keep(c)
}

// keep makes a connection idle, or closes it where its time is over or the pool is closed.
func (pool *Pool) keep(c *conn) {
	pool.release(c)
	pool.mu.Lock()
	if learnt := c.since.Add(c.host.learn); c.host.learn > 0 && learnt.Before(c.expires) {
		c.expires = learnt
	}
	left := time.Until(c.expires)
	if pool.closed || left <= 0 {
		pool.mu.Unlock()
		pool.drop(c)
		return
	}
	defer pool.mu.Unlock()
	c.host.idle = append(c.host.idle, c)
	pool.counts.Idle++
	pool.arm(left)
}

// equip gives a connection that goes into use a reader.
func (pool *Pool) equip(c *conn) {
	c.r = pool.readers.Get().(*bufio.Reader)
	c.r.Reset(c.TCPConn)
}

// release gives the reader back.
func (pool *Pool) release(c *conn) {
	if c.r != nil {
		c.r.Reset(nil)
		pool.readers.Put(c.r)
		c.r = nil
	}
}

// drop closes a connection that isn't idle.
func (pool *Pool) drop(c *conn) {
	pool.release(c)
	pool.mu.Lock()
	c.host.open--
	pool.counts.Open--
	pool.mu.Unlock()
	c.Close()
}

// stale drops an idle connection, taken out already, that the endpoint ended first, and learns from that.
func (pool *Pool) stale(c *conn) {
	pool.mu.Lock()
	pool.counts.Stale++
	span := max(shortest, time.Since(c.since)*4/5)
	if c.host.learn == 0 || span < c.host.learn {
		c.host.learn = span
	}
	pool.mu.Unlock()
	pool.drop(c)
}

// oldest is the idle connection that was used longest ago. Under mu.
func (pool *Pool) oldest() *conn {
	var found *conn
	for _, h := range pool.hosts {
		if len(h.idle) > 0 && (found == nil || h.idle[0].since.Before(found.since)) {
			found = h.idle[0]
		}
	}
	return found
}

// unlink takes an idle connection, which is to be closed, off the books. Under mu.
func (pool *Pool) unlink(c *conn) {
	c.host.idle = slices.DeleteFunc(c.host.idle, func(other *conn) bool { return other == c })
	c.host.open--
	pool.counts.Open--
	pool.counts.Idle--
}

// expire takes out what has been idle for its time. Under mu; the caller closes it.
func (pool *Pool) expire(h *host, now time.Time, old []*conn) []*conn {
	h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
		over := !now.Before(c.expires)
		if over {
			h.open--
			pool.counts.Open--
			pool.counts.Idle--
			old = append(old, c)
		}
		return over
	})
	return old
}

// arm sees to it that the sweep runs, at the latest at its next time. Under mu.
func (pool *Pool) arm(after time.Duration) {
	if pool.armed || pool.closed {
		return
	}
	pool.armed = true
	after = max(after, sweepEvery)
	if pool.sweep == nil {
		pool.sweep = time.AfterFunc(after, pool.Sweep)
		return
	}
	pool.sweep.Reset(after)
}

// Sweep closes the connections that have been idle for their time. It runs by itself.
func (pool *Pool) Sweep() {
	pool.mu.Lock()
	var old []*conn
	now := time.Now()
	next := time.Duration(-1)
	for k, h := range pool.hosts {
		old = pool.expire(h, now, old)
		if h.open == 0 && now.Sub(h.used) > forgetAfter {
			delete(pool.hosts, k)
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
	pool.armed = false
	if next >= 0 {
		pool.arm(next)
	}
	pool.mu.Unlock()
	shut(old)
}

// Forget closes the idle connections to an endpoint that has ended or is draining.
func (pool *Pool) Forget(address, instance string) {
	pool.mu.Lock()
	k := key{address, instance}
	var old []*conn
	if h := pool.hosts[k]; h != nil {
		old = slices.Clone(h.idle)
		for _, c := range old {
			pool.unlink(c)
		}
		if h.open == 0 {
			delete(pool.hosts, k)
		}
	}
	pool.mu.Unlock()
	shut(old)
}

// Close closes all idle connections; those in use are closed when their calls end.
func (pool *Pool) Close() {
	pool.mu.Lock()
	pool.closed = true
	var old []*conn
	for _, h := range pool.hosts {
		old = append(old, h.idle...)
		h.open -= len(h.idle)
		h.idle = nil
	}
	pool.counts.Open -= len(old)
	pool.counts.Idle = 0
	if pool.sweep != nil {
		pool.sweep.Stop()
	}
	pool.mu.Unlock()
	shut(old)
}

// shut closes connections that are off the books.
func shut(old []*conn) {
	for _, c := range old {
		c.Close()
	}
}
