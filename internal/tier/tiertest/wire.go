package tiertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Arrival is a request that an endpoint has read whole, with the connection to answer on.
type Arrival struct {
	*http.Request
	Text  string // its body
	ID    string // X-Attempt-Id
	Order int    // its number at this endpoint, from 0
	conn  *net.TCPConn
	r     *bufio.Reader
}

// Say writes bytes as they are.
func (a *Arrival) Say(text string) { io.WriteString(a.conn, text) }

// Said writes bytes as they are, and reports whether the connection took them.
func (a *Arrival) Said(text string) bool {
	_, err := io.WriteString(a.conn, text)
	return err == nil
}

// Reset ends the connection with a reset.
func (a *Arrival) Reset() {
	a.conn.SetLinger(0)
	a.conn.Close()
}

// Close ends the connection.
func (a *Arrival) Close() { a.conn.Close() }

// Gone waits until the other side has ended the connection.
func (a *Arrival) Gone() { io.Copy(io.Discard, a.r) }

// Answer gives a whole answer with its stamp; fields end with CRLF each.
func (a *Arrival) Answer(status int, fields, body string) {
	a.Say(fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n%sContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), a.ID, a.ID, fields, len(body), body))
}

// Bare gives a whole answer without a stamp.
func (a *Arrival) Bare(status int, fields string) {
	a.Say(fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), a.ID, fields))
}

// Head begins a stream of events.
func (a *Arrival) Head() {
	a.Say(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", a.ID, a.ID))
}

// Event sends one event.
func (a *Arrival) Event(id int, data string) {
	text := EventText(id, data)
	a.Say(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// EventText is an event as it is sent.
func EventText(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

// End ends a stream as whole.
func (a *Arrival) End() { a.Say("0\r\n\r\n") }

// Stream sends a whole stream.
func (a *Arrival) Stream(data ...string) {
	a.Head()
	for i, d := range data {
		a.Event(i+1, d)
	}
	a.End()
}

// Endpoint is a scripted endpoint.
type Endpoint struct {
	Instance, Service, Address string
	Listener                   *net.TCPListener

	mu       sync.Mutex
	arrivals []*Arrival
	script   func(*Arrival)
}

// NewEndpoint begins to serve. The script answers one request; a connection goes on where it left it open.
func NewEndpoint(t testing.TB, instance, service string, script func(*Arrival)) *Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &Endpoint{Instance: instance, Service: service, Address: l.Addr().String(), Listener: l.(*net.TCPListener), script: script}
	var mu sync.Mutex
	var open []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go e.serve(c.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
		for _, c := range open {
			c.Close()
		}
	})
	return e
}

func (e *Endpoint) serve(c *net.TCPConn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		a := &Arrival{Request: q, Text: string(body), ID: q.Header.Get("X-Attempt-Id"), conn: c, r: r}
		e.mu.Lock()
		a.Order = len(e.arrivals)
		e.arrivals = append(e.arrivals, a)
		script := e.script
		e.mu.Unlock()
		script(a)
	}
}

// SetScript changes what requests from now on are answered.
func (e *Endpoint) SetScript(script func(*Arrival)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = script
}

// Arrivals gives the requests so far.
func (e *Endpoint) Arrivals() []*Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Arrival(nil), e.arrivals...)
}

// Entry is the endpoint as control lists it.
func (e *Endpoint) Entry() *tierv1.Endpoint {
	return &tierv1.Endpoint{Instance: e.Instance, Service: e.Service, Address: e.Address, Zone: "z-1", Capacity: 8}
}

// Draining is the same entry of one that is leaving.
func (e *Endpoint) Draining() *tierv1.Endpoint {
	one := e.Entry()
	one.Draining = true
	return one
}

// Client is one connection of a client.
type Client struct {
	t    testing.TB
	Conn net.Conn
	r    *bufio.Reader
}

// Connect connects, waiting for a listener that is not there yet.
func Connect(t testing.TB, address string) *Client {
	t.Helper()
	c := &Client{t: t}
	Until(t, "a listener at "+address, func() bool {
		var err error
		c.Conn, err = net.Dial("tcp", address)
		return err == nil
	})
	c.Conn.SetDeadline(time.Now().Add(Patience))
	c.r = bufio.NewReader(c.Conn)
	t.Cleanup(func() { c.Conn.Close() })
	return c
}

// Send writes a request.
func (c *Client) Send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.Conn, text)
	assert.NilError(c.t, err)
}

// Head reads the head of an answer. Its body reads on.
func (c *Client) Head() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err)
	return resp
}

// Reply is an answer that a client has read to its end.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	Close  bool  // the connection ends with it
	Err    error // of the body, or of the head if Status is 0; nil: the answer is whole
}

// Whole reads an answer to its end.
func (c *Client) Whole() Reply {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return Reply{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Close: resp.Close, Err: err}
}

// Event reads one event of a stream.
func (c *Client) Event(body io.Reader) string {
	c.t.Helper()
	var text strings.Builder
	for one := make([]byte, 1); !strings.HasSuffix(text.String(), "\n\n"); {
		n, err := body.Read(one)
		text.Write(one[:n])
		if n == 0 && err != nil {
			c.t.Fatalf("after %q: %v", text.String(), err)
		}
	}
	return text.String()
}

// Ending tells whether, within a moment, the last chunk or the connection's end has come behind what was read.
func (c *Client) Ending() bool {
	c.Conn.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	defer c.Conn.SetReadDeadline(time.Now().Add(Patience))
	for n := c.r.Buffered() + 1; ; n++ {
		got, err := c.r.Peek(n)
		if strings.Contains(string(got), "0\r\n") {
			return true
		}
		if err != nil {
			e, ok := err.(net.Error)
			return !ok || !e.Timeout()
		}
	}
}

// Do sends one request on a connection of its own, and reads its answer to the end.
func Do(t testing.TB, address, text string) Reply {
	t.Helper()
	c := Connect(t, address)
	defer c.Conn.Close()
	c.Send(text)
	return c.Whole()
}

// Post is a request with a body; fields end with CRLF each.
func Post(target, id, fields, body string) string {
	if id != "" {
		fields += "X-Attempt-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%sContent-Length: %d\r\n\r\n%s", target, fields, len(body), body)
}
