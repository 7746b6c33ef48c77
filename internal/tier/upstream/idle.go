package upstream

import (
	"bufio"
	"cmp"
	"slices"
	"time"
)

// put keeps a connection that has carried a whole answer and nothing more. alive is how long the endpoint said that it
// keeps it, 0 if it didn't.
func (p *Pool) put(c *conn, alive time.Duration) {
	c.since = time.Now()
	c.expires = c.since.Add(cmp.Or(alive, p.config.IdleTimeout) * 4 / 5)
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

// keep makes a connection idle, or closes it where its time is over or the pool is closed.
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

// equip gives a connection that goes into use a reader.
func (p *Pool) equip(c *conn) {
	c.r = p.readers.Get().(*bufio.Reader)
	c.r.Reset(c.TCPConn)
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

// shut closes connections that are off the books.
func shut(old []*conn) {
	for _, c := range old {
		c.Close()
	}
}
