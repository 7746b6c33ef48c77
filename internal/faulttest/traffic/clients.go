package traffic

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

const (
	avoidTime        = time.Second            // clients avoid a sender for this long after a connection to it failed
	failoverDelay    = 250 * time.Millisecond // clients try another sender after this
	minResubmitDelay = 540 * time.Millisecond // messages of a lost sender are handed in again after a random delay of at least this
	maxResubmitDelay = 1500 * time.Millisecond
	lostAnswerDelay  = 50 * time.Millisecond  // an event without an answer is handed in again after this
	maxRetryAfter    = 2 * time.Second        // a longer Retry-After is cut to this
	minTimeLeft      = 100 * time.Millisecond // with less time left a message is not handed in again
	maxOutcomeWait   = 3 * time.Second        // an outcome is awaited until this long after the deadline
	idleConns        = 64                     // idle connections kept to each sender
)

// Target is a sender as clients see it.
type Target interface {
	// Accepts reports whether clients still open connections to the sender: it runs, or has only just begun to shut down.
	Accepts() bool
	// Addr returns the address on which the sender listens.
	Addr() string
}

// Clients hand in the messages of a day.
type Clients struct {
	plan           *script.Plan
	log            *eventlog.Log
	registry       *Registry
	reportLateness func(time.Duration) // gets the lateness of each message's first hand-in
	random         *rand.Rand          // under mu
	mu             sync.Mutex
	pools          []*pool // by sender; Join adds one
	wg             sync.WaitGroup
}

type pool struct {
	name   string
	target Target

	mu         sync.Mutex
	idle       []*clientConn
	avoidUntil time.Time
}

type clientConn struct {
	net.Conn
	r *bufio.Reader
}

// New returns the clients of a plan.
func New(plan *script.Plan, log *eventlog.Log, registry *Registry, reportLateness func(time.Duration)) *Clients {
	return &Clients{plan: plan, log: log, registry: registry, reportLateness: reportLateness, random: rand.New(rand.NewPCG(plan.Day.Seed, 77))}
}

// Join lets clients use one more sender.
func (c *Clients) Join(name string, t Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools = append(c.pools, &pool{name: name, target: t})
}

// draw returns a random number in [0, n) from the day's seed.
func (c *Clients) draw(n float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() * n
}

// Run hands in every message at its time. It returns when all messages have ended or their outcomes are overdue, or when ctx ends.
func (c *Clients) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n, a := range c.plan.Arrivals {
		if wait := a.At - c.log.Now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.reportLateness(c.log.Now() - a.At)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.message(ctx, n, a)
		}()
	}
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.drop()
	}
}

func (p *pool) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		l.Close()
	}
	p.idle = nil
}

// usable reports whether a client may use this sender now.
func (p *pool) usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().After(p.avoidUntil) && (p.target.Accepts() || len(p.idle) > 0)
}

// homeSender returns the sender of the n-th message's client: the planned sender, or one that joined later and is up. Clients of every
// planned sender move to joined ones, so that all senders get an equal share. The draw depends only on the seed and n, so that a day is
// the same each time it is run.
func (c *Clients) homeSender(n int, a script.Arrival) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	up := 0
	for _, p := range c.pools[c.plan.Senders:] {
		if p.target.Accepts() {
			up++
		}
	}
	if up == 0 {
		return a.Sender
	}
	at := rand.New(rand.NewPCG(c.plan.Day.Seed, uint64(n))).IntN(c.plan.Senders + up)
	for i, p := range c.pools[c.plan.Senders:] {
		if p.target.Accepts() {
			if up--; at == c.plan.Senders+up {
				return c.plan.Senders + i
			}
		}
	}
	return a.Sender
}

// choose returns the client's home sender, or the next sender that is usable; nil if there is none.
func (c *Clients) choose(home int) *pool {
	c.mu.Lock()
	pools := c.pools
	c.mu.Unlock()
	for i := range pools {
		if p := pools[(home+i)%len(pools)]; p.usable() {
			return p
		}
	}
	return nil
}

// Sleep waits for d; false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// message handles one message from its arrival to its end, over all its hand-ins.
func (c *Clients) message(ctx context.Context, n int, a script.Arrival) {
	class := c.plan.Classes[a.Class]
	unsafe := class.Effect == "unsafe"
	began := c.log.Now()
	expires := began + class.Deadline.D()
	retries := *c.plan.Day.Retries
	backoff := c.plan.Day.FirstBackoff.D()
	retryMark := ""
	var unanswered *handIn // an event that got no answer: its client hands the same event in again
	var unansweredAt *pool // the sender that got this event, the only one that can recognize it
	home := c.homeSender(n, a)
	for try := 0; ; {
		left := expires - c.log.Now()
		if left < minTimeLeft {
			return
		}
		p := c.choose(home)
		switch {
		case unanswered == nil:
		case unansweredAt.usable():
			p = unansweredAt
		case unsafe: // at another sender it might run twice
			p = nil
		case p != nil: // at another sender it counts as a new event
			c.registry.abandon(unanswered)
			unanswered = nil
		}
		if p == nil {
			if !Sleep(ctx, failoverDelay/2) {
				return
			}
			continue
		}
		f := c.plan.Day.Speak.Of(n)
		id := c.id()
		if f == encoding.Batched {
			id += encoding.BatchTail
		}
		h := unanswered
		if h != nil {
			c.registry.addAlias(h, id)
		} else {
			h = &handIn{id: id, sender: p.name, dest: a.Dest, unsafe: unsafe, outcome: make(chan end, 1)}
			c.registry.add(h)
		}
		ans := c.handIn(p, h, submit{id: id, number: n, attempt: try, arrival: a, class: class, left: left, retry: retryMark})
		var wait time.Duration
		switch {
		case ans.detail == "down": // nothing was sent, or nothing that could have been read
			if unanswered == nil {
				c.registry.abandon(h)
			}
			if !Sleep(ctx, failoverDelay) {
				return
			}
			continue
		case ans.status == 0 && f != encoding.Plain && f != "": // no answer: the same event is handed in again
			unanswered, unansweredAt, retryMark = h, p, "again"
			if !Sleep(ctx, lostAnswerDelay) {
				return
			}
			continue // not a refusal: it does not use up a retry
		case ans.status == 0: // no answer: the outcome of this id is ignored
			c.registry.abandon(h)
			if unsafe {
				return // the sender may have accepted it, so it might run twice
			}
			wait, retryMark = 0, "again"
		case ans.status == http.StatusAccepted || ans.status == http.StatusOK:
			unanswered = nil
			e, ok := c.awaitOutcome(ctx, h, expires)
			switch {
			case !ok || e.how == "delivered" || e.how == "given_up":
				return
			case e.how == "lost":
				wait, retryMark = minResubmitDelay+time.Duration(c.draw(float64(maxResubmitDelay-minResubmitDelay))), "again"
				if !Sleep(ctx, wait) {
					return
				}
				try++ // not a refusal: it does not use up a retry
				continue
			default: // handed_back
				wait, retryMark = max(e.retry, 0), "1"
				if e.retry == 0 {
					wait = backoff
				}
			}
		case ans.status == http.StatusTooManyRequests || ans.status == http.StatusServiceUnavailable:
			c.registry.abandon(h)
			unanswered = nil
			wait, retryMark = min(ans.retry, maxRetryAfter), "1"
			if ans.retry == 0 {
				wait = backoff
			}
		default: // failed
			c.registry.abandon(h)
			return
		}
		if try++; retries == 0 {
			return
		}
		retries--
		backoff *= 2
		// With jitter, so that messages that were refused together are not handed in again together.
		if !Sleep(ctx, wait+time.Duration(c.draw(float64(wait)/5))) {
			return
		}
	}
}

// awaitOutcome waits for the outcome of an accepted message; false if it is overdue or ctx ended.
func (c *Clients) awaitOutcome(ctx context.Context, h *handIn, expires time.Duration) (end, bool) {
	t := time.NewTimer(expires - c.log.Now() + maxOutcomeWait)
	defer t.Stop()
	select {
	case e := <-h.outcome:
		return e, true
	case <-t.C:
	case <-ctx.Done():
	}
	return end{}, false
}

func (c *Clients) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x", c.random.Uint64())
}

type reply struct {
	status int
	retry  time.Duration
	detail string
}

// Submission is one request by which a client hands in a message (PROTOCOL, "Clients to senders").
type Submission struct {
	ID, Class, Tenant string
	Deadline          time.Duration // from now
	Key               string        // idempotency key; "": none
	OrderKey          string        // "": none
	Retry             string        // X-Retry; "": a first request
	Dest              int
	Body              []byte
}

// Request returns the request in HTTP/1.1 form.
func (m Submission) Request() []byte {
	text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\nX-Addressing: dest=%d\r\n",
		m.ID, m.Class, m.Tenant, m.Deadline.Milliseconds(), m.Dest)
	if m.Key != "" {
		text += "Idempotency-Key: " + m.Key + "\r\n"
	}
	if m.OrderKey != "" {
		text += "X-Order-Key: " + m.OrderKey + "\r\n"
	}
	if m.Retry != "" {
		text += "X-Retry: " + m.Retry + "\r\n"
	}
	return append([]byte(text+"Content-Length: "+strconv.Itoa(len(m.Body))+"\r\n\r\n"), m.Body...)
}

// submit is one request to hand in a message.
type submit struct {
	id      string // of the request
	number  int    // of the message
	attempt int    // from 0
	arrival script.Arrival
	class   script.Class
	left    time.Duration // until the message's deadline
	retry   string        // X-Retry
}

// handIn hands a message in once and waits for the answer until the client's time-out.
func (c *Clients) handIn(p *pool, h *handIn, s submit) reply {
	id, n, a, class, left, retry := s.id, s.number, s.arrival, s.class, s.left, s.retry
	r := c.plan.Receivers[a.Dest]
	msg := "m" + strconv.Itoa(n)
	key := ""
	if class.Effect == "keyed" {
		key = fmt.Sprintf("key-%d-%s", c.plan.Day.Seed, msg)
	}
	body := make([]byte, c.plan.Day.Body)
	for i := range body {
		body[i] = 'a' + byte((i+n)%26)
	}
	var text []byte
	f := c.plan.Day.Speak.Of(n)
	if f == encoding.Plain || f == "" {
		text = Submission{ID: id, Class: class.Name, Tenant: r.Member, Deadline: left, Key: key, OrderKey: a.Order, Retry: retry, Dest: a.Dest, Body: body}.Request()
	} else {
		text = f.Request(encoding.Message{ID: h.id, Request: id, Class: class.Name, Member: r.Member, Key: key, Order: a.Order, Dest: a.Dest, Expires: time.Now().Add(left), Body: body})
	}
	e := eventlog.Event{Kind: eventlog.HandIn, Sender: p.name, ID: id, Msg: msg, Class: class.Name, Tenant: r.Member, Dest: a.Dest,
		Order: a.Order, Deadline: left.Milliseconds(), Attempt: s.attempt}
	if id != h.id {
		e.Event = h.id
	}
	logged := false
	ans := p.do(text, c.plan.Day.Patience.D(), func() {
		if !logged {
			logged = true
			c.log.Add(e)
		}
	})
	if ans.detail == "down" && !logged {
		return ans
	}
	if share := c.plan.Day.LostAnswers; share > 0 && ans.status != 0 && f != encoding.Plain && f != "" && c.draw(1) < share {
		ans = reply{detail: "lost"}
	}
	answered := eventlog.Event{Kind: eventlog.Answer, Sender: p.name, ID: id, Status: ans.status, RetryMS: ans.retry.Milliseconds(), Detail: ans.detail}
	if ans.status == http.StatusAccepted || ans.status == http.StatusOK {
		c.registry.accept(h)
	}
	c.log.Add(answered)
	return ans
}

// takeIdle returns an idle connection that the sender has not closed; nil if there is none.
func (p *pool) takeIdle() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		l := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if l.open() {
			return l
		}
		l.Close()
	}
	return nil
}

// open reports, without blocking, whether the sender has neither closed the connection nor sent data without a request.
func (l *clientConn) open() bool {
	raw, err := l.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// do sends a request. If a reused idle connection is closed while the request is on its way, do sends the request again on another
// connection. writing is called right before each write.
func (p *pool) do(text []byte, patience time.Duration, writing func()) reply {
	closedEarly := false // a request on an idle connection got no answer, and may have been read
	for {
		l := p.takeIdle()
		kept := l != nil
		if !kept {
			conn, err := net.DialTimeout("tcp", p.target.Addr(), patience)
			if err != nil {
				p.mu.Lock()
				p.avoidUntil = time.Now().Add(avoidTime)
				p.mu.Unlock()
				if closedEarly {
					return reply{detail: "gone"}
				}
				return reply{detail: "down"}
			}
			l = &clientConn{conn, bufio.NewReader(conn)}
		}
		writing()
		l.SetDeadline(time.Now().Add(patience))
		_, err := l.Write(text)
		var resp *http.Response
		if err == nil {
			if _, err = l.r.Peek(1); err != nil && kept && !errors.Is(err, os.ErrDeadlineExceeded) {
				l.Close()
				closedEarly = true
				continue
			}
		} else if kept {
			l.Close()
			closedEarly = true
			continue
		}
		if err == nil {
			resp, err = http.ReadResponse(l.r, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			l.Close()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return reply{detail: "patience"}
			}
			return reply{detail: "closed"}
		}
		a := reply{status: resp.StatusCode}
		if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && v > 0 {
			a.retry = time.Duration(v * float64(time.Second))
		}
		p.mu.Lock()
		if !resp.Close && len(p.idle) < idleConns {
			l.SetDeadline(time.Time{})
			p.idle = append(p.idle, l)
			l = nil
		}
		p.mu.Unlock()
		if l != nil {
			l.Close()
		}
		return a
	}
}
