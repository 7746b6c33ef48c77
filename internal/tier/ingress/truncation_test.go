package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// requestRecorder records the requests that a handler receives.
type requestRecorder struct {
	mu       sync.Mutex
	requests []string
}

func (r *requestRecorder) handle(x *Exchange) {
	r.mu.Lock()
	r.requests = append(r.requests, x.Method+" "+x.Target+" "+string(x.Body))
	r.mu.Unlock()
	echo(x)
}

// take returns the requests recorded since the last call.
func (r *requestRecorder) take() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := r.requests
	r.requests = nil
	return requests
}

const smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"

var chunkedSmuggled = fmt.Sprintf("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled)

var lengthSmuggled = fmt.Sprintf("POST /l HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled)

// TestServer_ClientClosesAtEachByte: a request that the client cuts off by a reset or close, at any byte, never reaches the handler; a
// complete one reaches it once, with its own body.
func TestServer_ClientClosesAtEachByte(t *testing.T) {
	var seen requestRecorder
	s := &Server{Handler: seen.handle}
	addr := start(t, s)
	for _, text := range []string{lengthSmuggled, chunkedSmuggled} {
		want := "POST /l " + smuggled
		if text == chunkedSmuggled {
			want = "POST /c " + smuggled
		}
		for sent := 0; sent <= len(text); sent++ {
			for _, reset := range []bool{false, true} {
				c := dial(t, addr)
				c.send(text[:sent])
				if reset {
					c.SetLinger(0)
				}
				c.Close()
				behind := dial(t, addr) // connections are accepted in order, so the first was accepted, too
				behind.send(get)
				behind.readResponse()
				behind.Close()
				until(t, "all connections closed", func() bool { n, _ := s.Conns(); return n == 0 })
				requests := slices.DeleteFunc(seen.take(), func(request string) bool { return request == "GET /a " })
				switch {
				case sent < len(text):
					assert.Equal(t, len(requests), 0, "byte %d of %q", sent, text)
				case !reset || len(requests) > 0: // a reset may discard bytes sent before it
					assert.DeepEqual(t, requests, []string{want})
				}
			}
		}
	}
}

// TestServer_PipelineSplitAtEachByte: pipelined requests are handled once each and answered in order, wherever the bytes are split;
// bytes inside a body, or after a request with Connection: close, are never taken for a request.
func TestServer_PipelineSplitAtEachByte(t *testing.T) {
	var seen requestRecorder
	addr := start(t, &Server{Handler: seen.handle})
	const last = "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	text := get + lengthSmuggled + chunkedSmuggled + last + smuggled
	want := []string{"GET /a ", "POST /l " + smuggled, "POST /c " + smuggled, "GET /last "}
	for at := range len(text) {
		c := dial(t, addr)
		c.send(text[:at])
		io.WriteString(c, text[at:]) // the server may have closed the connection already
		for i, body := range want {
			a, got := c.readResponse()
			assert.Equal(t, got, body, "split at %d", at)
			assert.Equal(t, a.Close, i == len(want)-1)
		}
		c.Close()
		assert.DeepEqual(t, seen.take(), want)
	}
}

// TestExchange_AbortedResponseIncomplete: if a handler aborts, panics or returns within a stream, after any number of pieces, the
// response is visibly incomplete: neither a last chunk nor the next response follows.
func TestExchange_AbortedResponseIncomplete(t *testing.T) {
	pieces := []string{"a", "0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", strings.Repeat("x", 70<<10)}
	ends := map[string]func(*Exchange){
		"abort":   (*Exchange).Abort,
		"panic":   func(*Exchange) { panic("planned") },
		"returns": func(*Exchange) {},
	}
	for name, end := range ends {
		for n := 0; n <= len(pieces); n++ {
			addr := start(t, &Server{Handler: func(x *Exchange) {
				x.Begin(200, nil)
				for _, p := range pieces[:n] {
					x.Write([]byte(p))
				}
				end(x)
			}})
			c := dial(t, addr)
			c.send(get + get)
			raw, _ := io.ReadAll(c)
			text := string(raw)
			if text == "" {
				continue // not even the head was sent
			}
			a, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(a.Body)
			assert.Assert(t, err != nil, "%s after %d pieces looks complete: %q", name, n, body)
			assert.Assert(t, strings.HasPrefix(strings.Join(pieces, ""), string(body)))
		}
	}
}

// TestServer_ClientClosesDuringResponseAtEachByte: a client that resets while it reads its response does not affect the next client.
func TestServer_ClientClosesDuringResponseAtEachByte(t *testing.T) {
	addr := start(t, &Server{Handler: echo})
	c := dial(t, addr)
	c.send(strings.Replace(get, "Host: a\r\n", "Host: a\r\nConnection: close\r\n", 1))
	response, err := io.ReadAll(c)
	assert.NilError(t, err)
	for read := range len(response) {
		c := dial(t, addr)
		c.send(strings.Replace(get, "Host: a\r\n", "Host: a\r\nConnection: close\r\n", 1))
		io.CopyN(io.Discard, c, int64(read))
		c.SetLinger(0)
		c.Close()
		next := dial(t, addr)
		next.send(get)
		_, body := next.readResponse()
		assert.Equal(t, body, "GET /a ")
		next.Close()
	}
}
