package gateway_test

import (
	"bytes"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

// wireCase is a request, and the name of the golden file with the bytes that its client reads until the connection is closed.
type wireCase struct {
	name     string
	endpoint func(*tiertest.ReceivedRequest) // nil: none is listed
	request  string
}

// closing returns a request with Connection: close.
func closing(target, id, fields, body string) string {
	return tiertest.Post(target, id, fields+"Connection: close\r\n", body)
}

// assertWire compares bytes with a golden file, carriage returns included.
func assertWire(t *testing.T, got []byte, name string) {
	t.Helper()
	golden.AssertBytes(t, got, filepath.Join("client-wire", name+".golden"))
}

// readToEnd sends a request, and returns the bytes that come back until the connection is closed or reset.
func readToEnd(t *testing.T, address, request string) []byte {
	t.Helper()
	client := tiertest.Connect(t, address)
	client.Send(request)
	got, _ := io.ReadAll(client.Conn)
	return got
}

// readChunk reads until the chunk of an event is complete.
func readChunk(t *testing.T, client *tiertest.Client, id int, data string) []byte {
	t.Helper()
	var got []byte
	chunkEnd := []byte(tiertest.EventText(id, data) + "\r\n")
	for buffer := make([]byte, 1); !bytes.HasSuffix(got, chunkEnd); {
		n, err := client.Conn.Read(buffer)
		assert.NilError(t, err, "after %q", got)
		got = append(got, buffer[:n]...)
	}
	return got
}

// The golden files are the answers of the program as of commit eea23b3, before the renaming of its types. The bytes that clients
// receive must not change, so these files must not be updated.
func TestClientWire_IsThatOfEarlierVersion(t *testing.T) {
	one := func(a *tiertest.ReceivedRequest) { a.WriteStreamHead(); a.WriteEvent(1, "one"); a.EndStream() }
	silent := (*tiertest.ReceivedRequest).AwaitClose
	refuses := func(a *tiertest.ReceivedRequest) {
		a.RespondUnsigned(503, "X-Not-Executed: full\r\nRetry-After: 0.5\r\n")
	}
	program := "Program: p\r\n"
	for _, c := range []wireCase{
		{"answer", echo("s"), closing("/plain/x", "a-1", "", "b")},
		{"answer-not-idempotent", echo("s"), closing("/once/x", "a-1", "", "b")},
		{"answer-empty", func(a *tiertest.ReceivedRequest) { a.Respond(204, "", "") }, closing("/plain/x", "a-1", "", "b")},
		{"answer-status-and-fields-of-endpoint", func(a *tiertest.ReceivedRequest) {
			a.Respond(418, "X-Own: kept\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Type: text/tea\r\n", "a teapot")
		}, closing("/once/x", "a-1", "", "b")},
		{"stream", one, closing("/stream/x", "a-1", "", "b")},
		{"stream-without-events", func(a *tiertest.ReceivedRequest) { a.WriteStream() }, closing("/stream/x", "a-1", "", "b")},
		{"stream-resumable", one, closing("/resumable/x", "a-1", "", "b")},
		{"stream-not-persisted-with-budget", one, closing("/stream/x", "a-1", program+"Budget: 9\r\nX-Token-Usage: 1,2\r\n", "b")},
		{"turn", one, closing("/turn/x", "a-1", program, "b")},
		{"turn-with-budget", one, closing("/turn/x", "a-1", program+"Budget: 9\r\nX-Token-Usage: 1,2\r\n", "b")},
		{"turn-after-last-event-id", func(a *tiertest.ReceivedRequest) { a.WriteStream("one", "two") }, closing("/resumable-turn/x", "a-1", program+"Last-Event-Id: 1\r\n", "b")},
		{"rejected-no-route", echo("s"), closing("/none/x", "a-1", "", "b")},
		{"rejected-no-attempt-id", echo("s"), closing("/plain/x", "", "", "b")},
		{"rejected-deadline-no-number", echo("s"), closing("/plain/x", "a-1", "X-Deadline-Ms: soon\r\n", "b")},
		{"rejected-budget-no-number", one, closing("/turn/x", "a-1", program+"Budget: much\r\n", "b")},
		{"rejected-budget-without-max-tokens", one, closing("/turn/x", "a-1", program+"Budget: 9\r\n", "b")},
		{"rejected-budget-spent", one, closing("/turn/x", "a-1", program+"Budget: 9\r\nX-Token-Usage: 1,10\r\n", "b")},
		{"rejected-no-such-turn", one, closing("/turn/x", "a-1", program+"Previous: nowhere\r\n", "b")},
		{"rejected-http-1.0-stream", one, strings.Replace(tiertest.Post("/stream/x", "a-1", "", "b"), "HTTP/1.1", "HTTP/1.0", 1)},
		{"rejected-not-executed", refuses, closing("/single/x", "a-1", "", "b")},
		{"rejected-not-executed-stream", refuses, closing("/stream/x", "a-1", "", "b")},
		{"rejected-not-executed-turn", refuses, closing("/turn/x", "a-1", program, "b")},
		{"rejected-no-endpoint", nil, closing("/plain/x", "a-1", "X-Deadline-Ms: 100\r\n", "b")},
		{"rejected-no-endpoint-turn", nil, closing("/turn/x", "a-1", "X-Deadline-Ms: 100\r\n"+program, "b")},
		{"failed-endpoint-reset", (*tiertest.ReceivedRequest).Reset, closing("/once/x", "a-1", "", "b")},
		{"failed-endpoint-reset-turn", (*tiertest.ReceivedRequest).Reset, closing("/turn/x", "a-1", program, "b")},
		{"failed-deadline-exceeded", silent, closing("/once/x", "a-1", "X-Deadline-Ms: 100\r\n", "b")},
	} {
		t.Run(c.name, func(t *testing.T) {
			var endpoints []*tiertest.Endpoint
			if c.endpoint != nil {
				endpoints = append(endpoints, tiertest.NewEndpoint(t, "i-1", "s", c.endpoint))
			}
			r := startGateway(t, endpoints...)
			assertWire(t, readToEnd(t, r.ingress, c.request), c.name)
		})
	}
	t.Run("rejected-no-configuration", func(t *testing.T) {
		r := startUnconfigured(t)
		assertWire(t, readToEnd(t, r.ingress, closing("/plain/x", "a-1", "", "b")), "rejected-no-configuration")
	})
}

// Each event that is received separately is sent as a chunk of its own.
func TestClientWire_EventFramingIsThatOfEarlierVersion(t *testing.T) {
	for _, target := range []string{"/stream/x", "/resumable/x", "/turn/x"} {
		proceed := make(chan struct{})
		e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
			a.WriteStreamHead()
			for i, data := range []string{"one", "two", "three"} {
				a.WriteEvent(i+1, data)
				<-proceed
			}
			a.EndStream()
		})
		r := startGateway(t, e)
		client := tiertest.Connect(t, r.ingress)
		client.Send(closing(target, "a-1", "Program: p\r\n", "b"))
		var got []byte
		for i, data := range []string{"one", "two", "three"} {
			got = append(got, readChunk(t, client, i+1, data)...)
			proceed <- struct{}{}
		}
		rest, err := io.ReadAll(client.Conn)
		assert.NilError(t, err)
		assertWire(t, append(got, rest...), "three-events")
	}
}

// A stream that breaks within an event ends without the last chunk, after the complete events.
func TestClientWire_BrokenStreamIsThatOfEarlierVersion(t *testing.T) {
	for _, target := range []string{"/stream/x", "/turn/x"} {
		read := make(chan struct{})
		e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
			a.WriteStreamHead()
			a.WriteEvent(1, "one")
			<-read
			a.WriteText("14\r\nid: 2\ndata: ha")
			a.Close()
		})
		r := startGateway(t, e)
		client := tiertest.Connect(t, r.ingress)
		client.Send(closing(target, "a-1", "Program: p\r\n", "b"))
		got := readChunk(t, client, 1, "one")
		close(read)
		rest, _ := io.ReadAll(client.Conn) // the connection may be reset
		assertWire(t, append(got, rest...), "stream-broken-in-second-event")
	}
}
