package sender

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dockshift.example/dockshift/brain"
)

// Calls are written and read here on connections of our own rather than through http.Transport: whether a
// call may have run hangs on whether its last byte was written, which the Transport cannot tell for sure,
// and it repeats a request by itself when a reused connection breaks. Here one call is one write.

// endpoint is a line of the list and the connections to it.
type endpoint struct {
	number brain.EndpointID
	id     string
	zone   int

	mu   sync.Mutex
	addr string
	idle []*conn // the one used last at the end
}

type conn struct {
	net.Conn
	r     *bufio.Reader
	addr  string
	since time.Time // it has been idle
	first []byte    // of the answer that is being read
}

// served is how an answer begins from which on the message is delivered, whatever becomes of the rest.
const served = "HTTP/1.1 200"

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.first = append(c.first, b[:min(n, len(served)-len(c.first))]...)
	return n, err
}

// pool opens, keeps and closes connections.
type pool struct {
	connectTimeout time.Duration
	keep           time.Duration // how long an idle one is kept
	most           int64         // idle ones kept in all: the descriptors are few
	idle           atomic.Int64
	fields         []string
	dialer         net.Dialer
}

func newPool(c *Config) *pool {
	// An endpoint closes an idle connection at IdleConnections at the latest, and what is written to one
	// that it has closed is a reset that may have run: ours are closed a good deal before.
	return &pool{connectTimeout: c.ConnectTimeout, keep: c.Settings.IdleConnections * 9 / 10,
		most: int64(max(2, c.Limits.Sockets/4)), fields: c.Fields}
}

// get takes the idle connection used last, or opens one.
func (p *pool) get(ctx context.Context, e *endpoint) (*conn, error) {
	e.mu.Lock()
	addr := e.addr
	for n := len(e.idle) - 1; n >= 0; n = len(e.idle) - 1 {
		c := e.idle[n]
		e.idle = e.idle[:n]
		p.idle.Add(-1)
		if c.addr == addr && time.Since(c.since) < p.keep && quiet(c.Conn) {
			e.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, addr: addr}
	c.r = bufio.NewReaderSize(c, 1024)
	return c, nil
}

// quiet reports whether an idle connection still stands: nothing has come on it, not even its end. A call
// on one that the endpoint has closed already would count as one that may have run.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	stands := false
	err = raw.Control(func(fd uintptr) { // not Read: that would wait for one that is under way
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stands = err == syscall.EAGAIN
	})
	return err == nil && stands
}

func (p *pool) put(e *endpoint, c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.addr != e.addr || p.idle.Load() >= p.most {
		c.Close()
		return
	}
	p.idle.Add(1)
	c.since = time.Now()
	e.idle = append(e.idle, c)
}

// closeIdle closes the idle connections to e that have been so for a time.
func (p *pool) closeIdle(e *endpoint, after time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = slices.DeleteFunc(e.idle, func(c *conn) bool {
		old := time.Since(c.since) >= after
		if old {
			p.idle.Add(-1)
			c.Close()
		}
		return old
	})
}

// callEnd is how a call ended.
type callEnd struct {
	message *message
	attempt int
	brain.AttemptEnd
}

// request renders one call.
func request(m record, addr string, timeout time.Duration) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/hook", bytes.NewReader(m.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", "saffronyard")
	req.Header.Set("X-Request-Id", m.ID)
	if m.Key != "" {
		req.Header.Set("Idempotency-Key", m.Key)
	}
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	var out bytes.Buffer
	err = req.Write(&out)
	return out.Bytes(), err
}

// call makes one attempt and says how it ended. It never makes a second one: an endpoint counts each
// call whose last byte has come. ctx ends it early, its deadline being the time-out.
func (p *pool) call(ctx context.Context, e *endpoint, m record, timeout time.Duration) brain.AttemptEnd {
	end := brain.AttemptEnd{Endpoint: e.number, Outcome: brain.ConnectFailed}
	// Nothing has been written yet: however it fails up to the last byte, the call never ran.
	c, err := p.get(ctx, e)
	if err != nil {
		return end
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	out, err := request(m, c.addr, timeout)
	if err == nil {
		_, err = c.Write(out)
	}
	if err != nil {
		c.Close()
		return end
	}
	c.first = c.first[:0]
	resp, err := answer(c.r)
	if err != nil {
		c.Close()
		switch {
		case string(c.first) == served:
			end.Outcome, end.Over = brain.Served, true
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			end.Outcome = brain.TimedOut
		case ctx.Err() != nil:
			end.Outcome = brain.Cancelled
		default:
			end.Outcome = brain.Broken
		}
		return end
	}
	p.read(resp, &end)
	// The status is the outcome; what follows only decides whether the connection can be used again.
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody+1))
	if err != nil || n > maxBody || resp.Close || c.r.Buffered() > 0 || !stop() {
		c.Close()
	} else {
		p.put(e, c)
	}
	return end
}

// answer reads a response, passing over interim ones.
func answer(r *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

// read translates an answer.
func (p *pool) read(resp *http.Response, end *brain.AttemptEnd) {
	switch resp.StatusCode {
	case http.StatusOK:
		end.Outcome, end.Over = brain.Served, true
	case http.StatusTooManyRequests:
		end.Outcome = brain.Refused
		if ms, err := strconv.ParseFloat(resp.Header.Get("X-RateLimit-Wait-Ms"), 64); err == nil && ms > 0 && ms < 1e9 {
			end.Wait = time.Duration(ms * float64(time.Millisecond))
		}
	case http.StatusServiceUnavailable:
		end.Outcome = brain.Refused
		if resp.Header.Get("X-Over-Slots") == "1" {
			end.Outcome = brain.NotSent
		}
	case http.StatusGatewayTimeout:
		end.Outcome = brain.NotSent
	case http.StatusGone:
		end.Outcome, end.Over = brain.NotSent, true
	default:
		end.Outcome = brain.Errored
	}
	report := map[string]float64{}
	for _, part := range strings.Split(resp.Header.Get("X-Load"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil && slices.Contains(p.fields, name) {
			report[name] = v
		}
	}
	end.Left, end.Reported = report["x0"]
	end.Limit = report["x1"]
}

// endpoints is the list as the loop knows it. Numbers stay with ids, also of those that are gone.
type endpoints struct {
	byID     map[string]*endpoint
	byNumber []*endpoint
	cells    map[uint32]struct{} // destinations that a list has ever named; no more than there are numbers
}

func (l *endpoints) number(n brain.EndpointID) (*endpoint, error) {
	if int(n) >= len(l.byNumber) {
		return nil, fmt.Errorf("endpoint %d is not known", n)
	}
	return l.byNumber[n], nil
}

// line books a line of the list and translates it for the Brain.
func (l *endpoints) line(t Target, c *Config, p *pool) brain.Endpoint {
	e := l.byID[t.ID]
	if e == nil {
		e = &endpoint{number: brain.EndpointID(len(l.byNumber)), id: t.ID}
		l.byID[t.ID] = e
		l.byNumber = append(l.byNumber, e)
	}
	if t.Cell <= maxDest {
		l.cells[t.Cell] = struct{}{}
	}
	e.zone = place(c.Zones, t.Zone, 0)
	ready := t.State == "SERVING"
	e.mu.Lock()
	if t.Addr != "" {
		e.addr = t.Addr
	}
	e.mu.Unlock()
	if !ready {
		p.closeIdle(e, 0)
	}
	return brain.Endpoint{ID: e.number, Destination: brain.DestinationID(t.Cell), Kind: place(c.Kinds, t.Kind, 0),
		Zone: e.zone, Ready: ready, Rating: t.Weight}
}
