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

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Arrival is a request that an endpoint has read to its end, with the connection to answer on.
type Arrival struct {
	*http.Request
	Text   string // its body
	ID     string // X-Attempt-Id
	Order  int    // its number at this endpoint, from 0
	conn   *net.TCPConn
	reader *bufio.Reader
}

// Say writes a text as it is.
func (arrival *Arrival) Say(text string) { io.WriteString(arrival.conn, text) }

// Said writes a text as it is, and reports whether the connection took it.
func (arrival *Arrival) Said(text string) bool {
	_, err := io.WriteString(arrival.conn, text)
	return err == nil
}

// Reset resets the connection.
func (arrival *Arrival) Reset() {
	arrival.conn.SetLinger(0)
	arrival.conn.Close()
}

// Close closes the connection.
func (arrival *Arrival) Close() { arrival.conn.Close() }

// Gone waits until the peer has closed the connection.
func (arrival *Arrival) Gone() { io.Copy(io.Discard, arrival.reader) }

// Answer writes a whole answer with its signature. Each of the header fields ends with CRLF.
func (arrival *Arrival) Answer(status int, fields, body string) {
	arrival.Say(fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n%sContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), arrival.ID, arrival.ID, fields, len(body), body))
}

// Bare writes a whole answer without a signature and body.
func (arrival *Arrival) Bare(status int, fields string) {
	arrival.Say(fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), arrival.ID, fields))
}

// Head writes the head of a stream of events.
func (arrival *Arrival) Head() {
	arrival.Say(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", arrival.ID, arrival.ID))
}

// Event writes one event of a stream.
func (arrival *Arrival) Event(id int, data string) {
	text := EventText(id, data)
	arrival.Say(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// EventText returns an event as it is sent.
func EventText(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

// End writes the regular end of a stream.
func (arrival *Arrival) End() { arrival.Say("0\r\n\r\n") }

// Stream writes a whole stream, with an event for each text.
func (arrival *Arrival) Stream(data ...string) {
	arrival.Head()
	for i, d := range data {
		arrival.Event(i+1, d)
	}
	arrival.End()
}

// Endpoint is a fake endpoint whose answers a test scripts.
type Endpoint struct {
	Instance, Service, Address string
	Listener                   *net.TCPListener

	mu       sync.Mutex
	arrivals []*Arrival
	handler  func(*Arrival)
}

// NewEndpoint starts an endpoint. The script answers one request; a connection is used for the next one unless the script has
// closed it.
func NewEndpoint(t testing.TB, instance, service string, handler func(*Arrival)) *Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	endpoint := &Endpoint{Instance: instance, Service: service, Address: listener.Addr().String(), Listener: listener.(*net.TCPListener), handler: handler}
	var mu sync.Mutex
	var open []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			go endpoint.serve(conn.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
		for _, conn := range open {
			conn.Close()
		}
	})
	return endpoint
}

// serve reads the requests of a connection and has the script answer them.
func (endpoint *Endpoint) serve(conn *net.TCPConn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		arrival := &Arrival{Request: request, Text: string(body), ID: request.Header.Get("X-Attempt-Id"), conn: conn, reader: reader}
		endpoint.mu.Lock()
		arrival.Order = len(endpoint.arrivals)
		endpoint.arrivals = append(endpoint.arrivals, arrival)
		handler := endpoint.handler
		endpoint.mu.Unlock()
		handler(arrival)
	}
}

// SetScript sets the script of the requests that arrive from now on.
func (endpoint *Endpoint) SetScript(handler func(*Arrival)) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.handler = handler
}

// Arrivals returns the requests so far.
func (endpoint *Endpoint) Arrivals() []*Arrival {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return append([]*Arrival(nil), endpoint.arrivals...)
}

// Entry returns the endpoint as the control plane lists it.
func (endpoint *Endpoint) Entry() *tierv1.Endpoint {
	return &tierv1.Endpoint{Instance: endpoint.Instance, Service: endpoint.Service, Address: endpoint.Address, Zone: "z-1", Capacity: 8}
}

// Draining returns the same entry, marked as draining.
func (endpoint *Endpoint) Draining() *tierv1.Endpoint {
	entry := endpoint.Entry()
	entry.Draining = true
	return entry
}

// Client is a connection of a client.
type Client struct {
	t      testing.TB
	Conn   net.Conn
	reader *bufio.Reader
}

// Connect connects to an address, and waits until something listens there.
func Connect(t testing.TB, address string) *Client {
	t.Helper()
	client := &Client{t: t}
	Until(t, "a listener at "+address, func() bool {
		var err error
		client.Conn, err = net.Dial("tcp", address)
		return err == nil
	})
	client.Conn.SetDeadline(time.Now().Add(Patience))
	client.reader = bufio.NewReader(client.Conn)
	t.Cleanup(func() { client.Conn.Close() })
	return client
}

// Send writes a request.
func (client *Client) Send(text string) {
	client.t.Helper()
	_, err := io.WriteString(client.Conn, text)
	assert.NilError(client.t, err)
}

// Head reads the head of an answer. Its body can be read from the result.
func (client *Client) Head() *http.Response {
	client.t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	assert.NilError(client.t, err)
	return response
}

// Reply is an answer that a client has read to its end.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	Close  bool  // the connection ends with it
	Err    error // of the body, or of the head if Status is 0; nil: the answer is whole
}

// Whole reads an answer to its end. An error is part of the result.
func (client *Client) Whole() Reply {
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return Reply{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Header: response.Header, Body: string(body), Close: response.Close, Err: err}
}

// Event reads one event of a stream.
func (client *Client) Event(body io.Reader) string {
	client.t.Helper()
	var text strings.Builder
	for one := make([]byte, 1); !strings.HasSuffix(text.String(), "\n\n"); {
		n, err := body.Read(one)
		text.Write(one[:n])
		if n == 0 && err != nil {
			client.t.Fatalf("after %q: %v", text.String(), err)
		}
	}
	return text.String()
}

// Ending reports whether the last chunk, or the end of the connection, follows what was read within 30 ms.
func (client *Client) Ending() bool {
	client.Conn.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	defer client.Conn.SetReadDeadline(time.Now().Add(Patience))
	for n := client.reader.Buffered() + 1; ; n++ {
		got, err := client.reader.Peek(n)
		if strings.Contains(string(got), "0\r\n") {
			return true
		}
		if err != nil {
			e, ok := err.(net.Error)
			return !ok || !e.Timeout()
		}
	}
}

// Do sends a request on a connection of its own, and reads its answer to the end.
func Do(t testing.TB, address, text string) Reply {
	t.Helper()
	client := Connect(t, address)
	defer client.Conn.Close()
	client.Send(text)
	return client.Whole()
}

// Post returns the text of a request with a body. Each of the header fields ends with CRLF.
func Post(target, id, fields, body string) string {
	if id != "" {
		fields += "X-Attempt-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%sContent-Length: %d\r\n\r\n%s", target, fields, len(body), body)
}
