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

// record writes down what a handler is given.
type record struct {
	mu   sync.Mutex
	runs []string
}

func (r *record) handle(x *Exchange) {
	r.mu.Lock()
	r.runs = append(r.runs, x.Method+" "+x.Target+" "+string(x.Body))
	r.mu.Unlock()
	echo(x)
}

// take gives what came since the last time.
func (r *record) take() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs
	r.runs = nil
	return runs
}

const smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"

var chunkedSmuggled = fmt.Sprintf("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled)

var lengthSmuggled = fmt.Sprintf("POST /l HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled)

// TestServer_ClientClosesAtEachByte: a client that resets or closes within its request has not made one, at whichever byte; a whole one
// is run once, with its own body.
func TestServer_ClientClosesAtEachByte(t *testing.T) {
	var seen record
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
				behind := dial(t, addr) // connections are accepted in their order
				behind.send(get)
				behind.answer()
				behind.Close()
				until(t, "the connections' end", func() bool { n, _ := s.Conns(); return n == 0 })
				runs := slices.DeleteFunc(seen.take(), func(run string) bool { return run == "GET /a " })
				switch {
				case sent < len(text):
					assert.Equal(t, len(runs), 0, "byte %d of %q", sent, text)
				case !reset || len(runs) > 0: // a reset may overtake what was sent
					assert.DeepEqual(t, runs, []string{want})
				}
			}
		}
	}
}

// TestServer_PipelineSplitAtEachByte: requests sent behind one another are run once each and answered in their order, however the
// bytes are parted; what is inside a body, or behind a request that closes, is none.
func TestServer_PipelineSplitAtEachByte(t *testing.T) {
	var seen record
	addr := start(t, &Server{Handler: seen.handle})
	const last = "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	text := get + lengthSmuggled + chunkedSmuggled + last + smuggled
	want := []string{"GET /a ", "POST /l " + smuggled, "POST /c " + smuggled, "GET /last "}
	for at := range len(text) {
		c := dial(t, addr)
		c.send(text[:at])
		io.WriteString(c, text[at:]) // the server may have left already
		for i, body := range want {
			a, got := c.answer()
			assert.Equal(t, got, body, "split at %d", at)
			assert.Equal(t, a.Close, i == len(want)-1)
		}
		c.Close()
		assert.DeepEqual(t, seen.take(), want)
	}
}

// TestExchange_AbortedResponseIncomplete: a handler that aborts, panics or just returns within a stream, after each number of
// pieces, leaves its client with a visible break: no last chunk, and no next response in its place.
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
				continue // nothing was said at all
			}
			a, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(a.Body)
			assert.Assert(t, err != nil, "%s after %d pieces looks whole: %q", name, n, body)
			assert.Assert(t, strings.HasPrefix(strings.Join(pieces, ""), string(body)))
		}
	}
}

// TestServer_ClientClosesDuringResponseAtEachByte: a client that resets while its response is on its way costs the next one nothing.
func TestServer_ClientClosesDuringResponseAtEachByte(t *testing.T) {
	addr := start(t, &Server{Handler: echo})
	c := dial(t, addr)
	c.send(strings.Replace(get, "Host: a\r\n", "Host: a\r\nConnection: close\r\n", 1))
	whole, err := io.ReadAll(c)
	assert.NilError(t, err)
	for read := range len(whole) {
		c := dial(t, addr)
		c.send(strings.Replace(get, "Host: a\r\n", "Host: a\r\nConnection: close\r\n", 1))
		io.CopyN(io.Discard, c, int64(read))
		c.SetLinger(0)
		c.Close()
		next := dial(t, addr)
		next.send(get)
		_, body := next.answer()
		assert.Equal(t, body, "GET /a ")
		next.Close()
	}
}
