package tiertest

import (
	"bufio"
	"errors"
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

// ReceivedRequest is a request that an endpoint has read completely, with the connection for its response.
type ReceivedRequest struct {
	*http.Request
	BodyText  string // its body
	AttemptID string // X-Attempt-Id
	Order     int    // its number at this endpoint, from 0
	conn      *net.TCPConn
	reader    *bufio.Reader
}

// WriteText writes a text as it is.
func (received *ReceivedRequest) WriteText(text string) { io.WriteString(received.conn, text) }

// TryWriteText writes a text as it is, and reports whether the write succeeded.
func (received *ReceivedRequest) TryWriteText(text string) bool {
	_, err := io.WriteString(received.conn, text)
	return err == nil
}

// Reset resets the connection.
func (received *ReceivedRequest) Reset() {
	received.conn.SetLinger(0)
	received.conn.Close()
}

// Close closes the connection.
func (received *ReceivedRequest) Close() { received.conn.Close() }

// AwaitClose waits until the peer has closed the connection.
func (received *ReceivedRequest) AwaitClose() { io.Copy(io.Discard, received.reader) }

// Respond writes a complete response with its signature. Each of the header fields ends with CRLF.
func (received *ReceivedRequest) Respond(status int, fields, body string) {
	received.WriteText(fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n%sContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), received.AttemptID, received.AttemptID, fields, len(body), body))
}

// RespondUnsigned writes a complete response without a signature or a body.
func (received *ReceivedRequest) RespondUnsigned(status int, fields string) {
	received.WriteText(fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), received.AttemptID, fields))
}

// WriteStreamHead writes the head of a stream of events.
func (received *ReceivedRequest) WriteStreamHead() {
	received.WriteText(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", received.AttemptID, received.AttemptID))
}

// WriteEvent writes one event of a stream.
func (received *ReceivedRequest) WriteEvent(id int, data string) {
	text := EventText(id, data)
	received.WriteText(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// EventText returns an event as it is sent.
func EventText(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

// EndStream writes the regular end of a stream.
func (received *ReceivedRequest) EndStream() { received.WriteText("0\r\n\r\n") }

// WriteStream writes a complete stream, with an event for each text.
func (received *ReceivedRequest) WriteStream(data ...string) {
	received.WriteStreamHead()
	for i, d := range data {
		received.WriteEvent(i+1, d)
	}
	received.EndStream()
}

// Endpoint is a fake endpoint whose responses a test scripts.
type Endpoint struct {
	Instance, Service, Address string
	Listener                   *net.TCPListener

	mu       sync.Mutex
	requests []*ReceivedRequest
	handler  func(*ReceivedRequest)
}

// NewEndpoint starts an endpoint. The handler responds to one request; the connection is used for the next one unless the handler
// has closed it.
func NewEndpoint(t testing.TB, instance, service string, handler func(*ReceivedRequest)) *Endpoint {
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

// serve reads the requests of a connection and has the handler respond to them.
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
		received := &ReceivedRequest{Request: request, BodyText: string(body), AttemptID: request.Header.Get("X-Attempt-Id"), conn: conn, reader: reader}
		endpoint.mu.Lock()
		received.Order = len(endpoint.requests)
		endpoint.requests = append(endpoint.requests, received)
		handler := endpoint.handler
		endpoint.mu.Unlock()
		handler(received)
	}
}

// SetHandler sets the handler of the requests that are received from now on.
func (endpoint *Endpoint) SetHandler(handler func(*ReceivedRequest)) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.handler = handler
}

// Requests returns the requests received so far.
func (endpoint *Endpoint) Requests() []*ReceivedRequest {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return append([]*ReceivedRequest(nil), endpoint.requests...)
}

// Entry returns the endpoint as the control plane lists it.
func (endpoint *Endpoint) Entry() *tierv1.Endpoint {
	return &tierv1.Endpoint{Instance: endpoint.Instance, Service: endpoint.Service, Address: endpoint.Address, Zone: "z-1", Capacity: 8}
}

// DrainingEntry returns the same entry, marked as draining.
func (endpoint *Endpoint) DrainingEntry() *tierv1.Endpoint {
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
	WaitUntil(t, "a listener at "+address, func() bool {
		var err error
		client.Conn, err = net.Dial("tcp", address)
		return err == nil
	})
	client.Conn.SetDeadline(time.Now().Add(Timeout))
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

// ReadHead reads the head of a response. Its body can be read from the result.
func (client *Client) ReadHead() *http.Response {
	client.t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	assert.NilError(client.t, err)
	return response
}

// Reply is a response that a client has read to its end.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	Close  bool  // the response closes the connection
	Err    error // of the body, or of the head if Status is 0; nil: the response is complete
}

// ReadReply reads a response to its end. An error is returned in the Reply.
func (client *Client) ReadReply() Reply {
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return Reply{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Header: response.Header, Body: string(body), Close: response.Close, Err: err}
}

// ReadEvent reads one event of a stream.
func (client *Client) ReadEvent(body io.Reader) string {
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

// EndsSoon reports whether the last chunk, or the end of the connection, follows what was read within 30 ms.
func (client *Client) EndsSoon() bool {
	client.Conn.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	defer client.Conn.SetReadDeadline(time.Now().Add(Timeout))
	for n := client.reader.Buffered() + 1; ; n++ {
		got, err := client.reader.Peek(n)
		if strings.Contains(string(got), "0\r\n") {
			return true
		}
		if err != nil {
			var netError net.Error
			return !errors.As(err, &netError) || !netError.Timeout()
		}
	}
}

// Do sends a request on a connection of its own, and reads its response to the end.
func Do(t testing.TB, address, text string) Reply {
	t.Helper()
	client := Connect(t, address)
	defer client.Conn.Close()
	client.Send(text)
	return client.ReadReply()
}

// Post returns the text of a request with a body. Each of the header fields ends with CRLF.
func Post(target, id, fields, body string) string {
	if id != "" {
		fields += "X-Attempt-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%sContent-Length: %d\r\n\r\n%s", target, fields, len(body), body)
}
