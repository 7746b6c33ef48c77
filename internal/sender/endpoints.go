package sender

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
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
	line   brain.Endpoint // as the Brain was last told
	listed uint64         // the last list that named it

	serves bool          // as the list says, whatever the fleet's policy makes of it
	kind   string        // likewise
	form   *form         // of calls there; written by the loop, under mu, and read by it without
	gone   bool          // it wants no more, until the list says that it is not serving
	asking chan struct{} // room for the one that asks whether calls are wanted

	mu        sync.Mutex
	addr      string
	idle      []*conn // the one used last at the end
	validated string  // the address that wants calls, as far as that was asked
	rate      float64 // calls a second that it allows; 0: not told
}

type conn struct {
	bounded
	r     *bufio.Reader
	addr  string
	since time.Time // it has been idle; zero: it has carried no call yet
}

// pool opens, keeps and closes connections.
type pool struct {
	connectTimeout time.Duration
	keep           time.Duration // how long an idle one is kept
	most           int64         // idle ones kept in all: the descriptors are few
	idle           atomic.Int64
	fields         []string
	forms          forms
	dialer         net.Dialer

	mu      sync.Mutex             // taken within an endpoint's
	holding map[*endpoint]struct{} // those that may have an idle connection
}

func newPool(c *Config) *pool {
	// An endpoint closes an idle connection at IdleConnections at the latest, and what is written to one
	// that it has closed is a reset that may have run: ours are closed a good deal before.
	return &pool{connectTimeout: c.ConnectTimeout, keep: c.Settings.IdleConnections * 9 / 10,
		most: int64(c.Limits.calls() - c.Settings.Slots), fields: c.Fields, forms: newForms(c.Delivery), holding: map[*endpoint]struct{}{}}
}

// get takes the idle connection used last, or opens one, which is up before a time.
func (p *pool) get(ctx context.Context, e *endpoint, until time.Time) (*conn, error) {
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
	ctx, cancel := context.WithTimeout(ctx, min(p.connectTimeout, time.Until(until)))
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{bounded: bounded{nc, 0, errLongAnswer}, addr: addr}
	c.r = bufio.NewReaderSize(c, maxLine)
	return c, nil
}

// shortage reports whether a connection failed for want of something of our own machine's.
func shortage(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL},
		func(lack error) bool { return errors.Is(err, lack) })
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
	if e.idle = append(e.idle, c); len(e.idle) == 1 {
		p.mu.Lock()
		p.holding[e] = struct{}{}
		p.mu.Unlock()
	}
}

// closeOld closes the connections that have been idle for as long as they are kept.
func (p *pool) closeOld() {
	p.mu.Lock()
	holding := make([]*endpoint, 0, len(p.holding))
	for e := range p.holding {
		holding = append(holding, e)
	}
	p.mu.Unlock()
	for _, e := range holding {
		p.closeIdle(e, p.keep)
	}
}

// closeIdle closes the idle connections to e that have been so for a time; e may be one that is gone.
func (p *pool) closeIdle(e *endpoint, after time.Duration) {
	if e == nil {
		return
	}
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
	if len(e.idle) == 0 {
		e.idle = nil
		p.mu.Lock()
		delete(p.holding, e)
		p.mu.Unlock()
	}
}

// callEnd is how a call ended.
type callEnd struct {
	message *message
	attempt int
	brain.AttemptEnd
	gone bool // the endpoint wants no more calls
}

// appendRequest renders one call. Names hold plain ASCII only: they were read from one header line each.
func appendRequest(b []byte, m *record, addr string, timeout time.Duration) []byte {
	b = append(append(b, "POST /hook HTTP/1.1\r\nHost: "...), addr...)
	b = append(append(b, "\r\nUser-Agent: saffronyard\r\nX-Request-Id: "...), m.ID...)
	if m.Key != "" {
		b = append(append(b, "\r\nIdempotency-Key: "...), m.Key...)
	}
	b = strconv.AppendInt(append(b, "\r\nX-Deadline-Ms: "...), max(1, timeout.Milliseconds()), 10)
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(m.Body)), 10)
	return append(append(b, "\r\n\r\n"...), m.Body...)
}

// call makes one attempt and says how it ended. It never makes a second one: an endpoint counts each
// call whose last byte has come. ctx ends it early, its deadline being the time-out. Its messages are written only by
// their permits, which it asks for when the connection stands: that may take seconds. If none is left, or the
// connection came up too late, the call ends as NotSent and the connection is kept.
//
// In a form that takes several messages in one call, tickets are those that this one carries; end is for those whose
// permit was used.
func (p *pool) call(ctx context.Context, e *endpoint, tickets []ticket, timeout time.Duration) (end brain.AttemptEnd, gone bool) {
	e.mu.Lock()
	f := e.form
	e.mu.Unlock()
	if f == nil {
		f = platformForm
	}
	end = brain.AttemptEnd{Endpoint: e.number, Outcome: brain.ConnectFailed}
	// Nothing has been written yet: however it fails up to the last byte, the call never ran.
	until := tickets[0].until
	for _, t := range tickets[1:] {
		if t.until.After(until) {
			until = t.until
		}
	}
	var c *conn
	err := p.allowed(ctx, e, f, until)
	if err == nil {
		c, err = p.get(ctx, e, until)
	}
	if err != nil {
		if shortage(err) || unneeded(tickets) || !time.Now().Before(until) {
			end.Outcome = brain.NotSent // for no fault of the endpoint's
		}
		return end, false
	}
	if ctx.Err() != nil { // it was called off, or its time is over, just as the connection came up
		p.put(e, c)
		if unneeded(tickets) {
			end.Outcome = brain.NotSent
		}
		return end, false
	}
	m, written := use(tickets, time.Now())
	if len(m) == 0 {
		p.put(e, c)
		end.Outcome = brain.NotSent
		return end, false
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_, err = c.Write(f.appendCall(make([]byte, 0, 512+len(m[0].Body)), m, c.addr, timeout))
	written()
	if err != nil {
		c.Close()
		return end, false
	}
	reusable, gone, err := p.answer(ctx, c, f, &end)
	e.told(f, &end)
	if err == nil && reusable && stop() {
		p.put(e, c)
		return end, gone
	}
	c.Close()
	if err != nil {
		switch {
		case errors.Is(err, errSpoilt):
			end.Outcome = brain.Errored
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			end.Outcome = brain.TimedOut
		case ctx.Err() != nil:
			end.Outcome = brain.Cancelled
		case errors.Is(err, os.ErrDeadlineExceeded): // the connection's clock was a little ahead
			end.Outcome = brain.TimedOut
		default:
			end.Outcome = brain.Broken
		}
	}
	return end, gone
}

// told adds the rate that an endpoint allows to a call's end, which has no figures of its own: the module decides
// what it makes of that.
func (e *endpoint) told(f *form, end *brain.AttemptEnd) {
	if !f.Validate || end.Reported {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rate > 0 {
		end.Reported, end.Left, end.Limit = true, 1, e.rate
	}
}

const (
	maxLine    = 4 << 10                // bytes of a status line, and of what is read at once
	maxAnswer  = 128 << 10              // bytes of an answer: head, interim answers and body
	maxInterim = 16                     // interim answers ahead of one
	restTime   = 200 * time.Millisecond // what follows an answer's first byte comes within this
	maxWait    = time.Minute            // no endpoint is told to be left alone for longer
	maxRate    = 1e6                    // calls a second that a destination may take
)

var (
	errLongAnswer = errors.New("the answer is too long")
	errSpoilt     = errors.New("the answer can't be read")
)

// answer reads the answer to a call and says how the call ended, and whether the connection is of further
// use. A 200 in the first line is true whatever follows. Any other status holds only if the answer is sound
// as a whole: a spoilt one, which comes from an endpoint that has run the call, may read as a refusal, and
// says nothing but that the call may have run. Once it has begun, the rest gets restTime: a body that keeps
// coming, or a head without end, must not hold the slot and the outcome until the time-out.
func (p *pool) answer(ctx context.Context, c *conn, f *form, end *brain.AttemptEnd) (reusable, gone bool, err error) {
	c.left = maxAnswer
	for range maxInterim {
		status, err := c.status(ctx)
		if err != nil {
			return false, false, err
		}
		served := f.delivers(status)
		if served {
			end.Outcome, end.Over = brain.Served, true
		}
		resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
		if err != nil || status == http.StatusSwitchingProtocols { // the latter nobody asked for
			return false, false, spoilt(served)
		}
		if status < 200 {
			continue
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody+1))
		if err != nil || n > maxBody {
			return false, false, spoilt(served)
		}
		p.read(resp, end)
		// An endpoint with no room for a connection answers the first call on it so, and ends it; one that has looked
		// at the call tells how it stands.
		end.Crowded = c.since.IsZero() && resp.Close && end.Outcome == brain.Refused && end.Wait == 0 && !end.Reported
		gone := f.read(resp, end, time.Now())
		// What stands behind an answer would be read as the next one.
		return !resp.Close && c.r.Buffered() == 0, gone, nil
	}
	return false, false, errSpoilt
}

// spoilt is what becomes of an answer that goes wrong behind its status line.
func spoilt(served bool) error {
	if served {
		return nil
	}
	return errSpoilt
}

// status waits for an answer and looks at its first line, which is left to be read. From its first byte on
// the rest of the answer has restTime. What can't become a status line is not waited for: behind noise the
// connection may stay open and silent.
func (c *conn) status(ctx context.Context) (int, error) {
	deadline, _ := ctx.Deadline()
	c.SetReadDeadline(deadline)
	if err := ctx.Err(); err != nil {
		return 0, err // its end may have set the deadline just before we did
	}
	if _, err := c.r.Peek(1); err != nil {
		return 0, err
	}
	c.SetReadDeadline(time.Now().Add(restTime))
	for {
		line, _ := c.r.Peek(c.r.Buffered())
		i := bytes.IndexByte(line, '\n')
		if i >= 0 {
			line = line[:i]
		}
		status, ok := parseStatus(line)
		const begin = "HTTP/1."
		n := min(len(line), len(begin))
		switch {
		case i >= 0 && ok:
			return status, nil
		case i >= 0 || len(line) >= maxLine || string(line[:n]) != begin[:n]:
			return 0, errSpoilt
		}
		if _, err := c.r.Peek(len(line) + 1); err != nil {
			var waited net.Error
			switch {
			case ok:
				return status, nil // cut off behind the status
			case errors.As(err, &waited) && waited.Timeout():
				return 0, errSpoilt
			}
			return 0, err
		}
	}
}

// parseStatus reads the status of a first line. The parser proper takes 2000 and 0200 for 200.
func parseStatus(line []byte) (int, bool) {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(rest) < 5 || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' {
		return 0, false
	}
	code, more := rest[2:5], rest[5:]
	if len(more) > 0 && more[0] != ' ' && more[0] != '\r' {
		return 0, false
	}
	n, err := strconv.ParseUint(string(code), 10, 16)
	return int(n), err == nil && n >= 100
}

// read translates an answer. Figures that no sound endpoint sends count as not told.
func (p *pool) read(resp *http.Response, end *brain.AttemptEnd) {
	switch resp.StatusCode {
	case http.StatusOK:
		end.Outcome, end.Over = brain.Served, true
	case http.StatusTooManyRequests:
		end.Outcome = brain.Refused
		if ms, err := strconv.ParseFloat(resp.Header.Get("X-RateLimit-Wait-Ms"), 64); err == nil && ms > 0 && ms <= float64(maxWait.Milliseconds()) {
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
	end.Left, end.Limit, end.Reported = p.load(resp.Header.Get("X-Load"))
}

// load reads a load report. One with a figure that can't be is no report: the others are as doubtful.
func (p *pool) load(text string) (left, limit float64, ok bool) {
	report := map[string]float64{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !slices.Contains(p.fields, name) {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxRate) { // neither NaN nor infinite, too
			return 0, 0, false
		}
		report[name] = v
	}
	left, ok = report["x0"]
	return min(left, 1), report["x1"], ok
}

// endpoints is the list as the loop knows it. Endpoints come and go all day: of one that is gone nothing is
// kept, and a number is never given again, so that one which comes back, or another at its address, starts
// with no connection and no past.
type endpoints struct {
	byID     map[string]*endpoint
	byNumber map[brain.EndpointID]*endpoint
	last     brain.EndpointID
	lists    uint64                      // how many have come
	cells    map[uint32]struct{}         // destinations that a list has ever named; no more than there are numbers
	closed   func(uint32) bool           // what the fleet's policy closes, or holds up; nil where there is none
	kind     func(uint32, string) string // as of which kind it has a destination; nil where there is none
}

func newEndpoints() endpoints {
	return endpoints{byID: map[string]*endpoint{}, byNumber: map[brain.EndpointID]*endpoint{}, cells: map[uint32]struct{}{}}
}

// news books news of the list and translates for the Brain what they change: a whole list that comes again
// costs it no more than that. An endpoint that is listed again as it was keeps its place among those of its
// destination.
func (l *endpoints) news(t Targets, whole bool, c *Config, p *pool) brain.ListNews {
	var news brain.ListNews
	l.lists++
	for _, line := range t.Servers {
		if e, changed := l.line(line, c, p); changed {
			news.Endpoints = append(news.Endpoints, e)
		}
	}
	for _, line := range t.Servers {
		if line.State == "DELETED" {
			l.forget(l.byID[line.ID], p)
		}
	}
	if !whole {
		return news
	}
	var gone []*endpoint
	for _, e := range l.byID {
		if e.listed != l.lists {
			gone = append(gone, e)
		}
	}
	slices.SortFunc(gone, func(x, y *endpoint) int { return cmp.Compare(x.number, y.number) })
	for _, e := range gone {
		if e.line.Ready {
			e.line.Ready = false
			news.Endpoints = append(news.Endpoints, e.line)
		}
		l.forget(e, p)
	}
	return news
}

// forget drops an endpoint that is gone. Calls that are out there end as they do, and their connections with
// them.
func (l *endpoints) forget(e *endpoint, p *pool) {
	if e == nil {
		return
	}
	delete(l.byID, e.id)
	delete(l.byNumber, e.number)
	e.mu.Lock()
	e.addr = ""
	e.mu.Unlock()
	p.closeIdle(e, 0)
}

// retire books that an endpoint wants no more calls: as if the list had said so, until it does and takes that back.
func (l *endpoints) retire(e *endpoint, p *pool) (news brain.ListNews, changed bool) {
	if e == nil || e.gone || l.byID[e.id] != e {
		return news, false
	}
	e.gone = true
	changed = e.line.Ready
	e.line.Ready = false
	p.closeIdle(e, 0)
	return brain.ListNews{Endpoints: []brain.Endpoint{e.line}}, changed
}

// shut reports whether the fleet has nothing sent to a destination.
func (l *endpoints) shut(destination uint32) bool { return l.closed != nil && l.closed(destination) }

// kindOf is the place of an endpoint's kind in the settings, as the list or else the fleet's policy has it.
func (l *endpoints) kindOf(e *endpoint, destination uint32, c *Config) int {
	kind := e.kind
	if l.kind != nil {
		kind = l.kind(destination, kind)
	}
	return place(c.Kinds, kind, 0)
}

// closings translates for the Brain what the fleet has closed and opened since: to it an endpoint drains, or is back.
func (l *endpoints) closings(c *Config) brain.ListNews {
	var changed []*endpoint
	for _, e := range l.byID {
		is, dest := e.line, uint32(e.line.Destination)
		is.Ready, is.Kind = e.serves && !e.gone && !l.shut(dest), l.kindOf(e, dest, c)
		if is != e.line {
			e.line = is
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(x, y *endpoint) int { return cmp.Compare(x.number, y.number) })
	var news brain.ListNews
	for _, e := range changed {
		news.Endpoints = append(news.Endpoints, e.line)
	}
	return news
}

// line books a line of the list and translates it for the Brain; changed is whether that has to hear of it.
func (l *endpoints) line(t Target, c *Config, p *pool) (line brain.Endpoint, changed bool) {
	e := l.byID[t.ID]
	if e == nil {
		l.last++
		e = &endpoint{number: l.last, id: t.ID, asking: make(chan struct{}, 1)}
		l.byID[t.ID], l.byNumber[e.number] = e, e
		changed = true
	}
	e.listed = l.lists
	if t.Cell <= maxDest {
		l.cells[t.Cell] = struct{}{}
	}
	e.zone = place(c.Zones, t.Zone, 0)
	if t.State != "SERVING" {
		e.gone = false
	}
	e.serves, e.kind = t.State == "SERVING", t.Kind
	ready := e.serves && !e.gone && !l.shut(t.Cell)
	e.mu.Lock()
	e.form = p.forms.of(t.Cell, t.Kind)
	if t.Addr != "" {
		e.addr = t.Addr
	}
	e.mu.Unlock()
	if !ready {
		p.closeIdle(e, 0)
	}
	line = brain.Endpoint{ID: e.number, Destination: brain.DestinationID(t.Cell), Kind: l.kindOf(e, t.Cell, c),
		Zone: e.zone, Ready: ready, Rating: t.Weight}
	changed = changed || line != e.line
	e.line = line
	return line, changed
}
