package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

func TestStream_EventsArePassedOnAtOnce(t *testing.T) {
	for _, target := range []string{"/stream/x", "/turn/x"} {
		next := make(chan struct{})
		e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
			a.WriteStreamHead()
			for i, d := range []string{"one", "two", "three"} {
				a.WriteEvent(i+1, d)
				<-next
			}
			a.EndStream()
		})
		r := startGateway(t, e)
		c := tiertest.Connect(t, r.ingress)
		c.Send(tiertest.Post(target, "a-1", "", "b"))
		head := c.ReadHead()
		assert.Equal(t, head.StatusCode, 200)
		assert.Equal(t, head.Header.Get("X-Response-Signature"), "s.a-1")
		assert.Equal(t, head.Header.Get("Content-Type"), "text/event-stream")
		for i, d := range []string{"one", "two", "three"} {
			assert.Equal(t, c.ReadEvent(head.Body), tiertest.EventText(i+1, d))
			next <- struct{}{} // only now the endpoint writes the next event
		}
		rest, err := io.ReadAll(head.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "")
	}
}

func TestStream_BrokenNeverLooksComplete(t *testing.T) {
	for name, breaks := range map[string]func(*tiertest.ReceivedRequest){
		"reset":          (*tiertest.ReceivedRequest).Reset,
		"close":          (*tiertest.ReceivedRequest).Close,
		"in an event":    func(a *tiertest.ReceivedRequest) { a.WriteText("14\r\nid: 2\ndata: ha"); a.Close() },
		"half an event":  func(a *tiertest.ReceivedRequest) { a.WriteText("4\r\nid: \r\n"); a.EndStream() },
		"spoilt framing": func(a *tiertest.ReceivedRequest) { a.WriteText("no chunk\r\n"); a.AwaitClose() },
		"falling ids":    func(a *tiertest.ReceivedRequest) { a.WriteEvent(1, "again"); a.EndStream() },
	} {
		t.Run(name, func(t *testing.T) {
			for _, target := range []string{"/stream/x", "/turn/x"} {
				read := make(chan struct{})
				e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
					a.WriteStreamHead()
					a.WriteEvent(1, "one")
					<-read
					breaks(a)
				})
				r := startGateway(t, e)
				c := tiertest.Connect(t, r.ingress)
				c.Send(tiertest.Post(target, "a-1", "", "b"))
				head := c.ReadHead()
				assert.Equal(t, c.ReadEvent(head.Body), tiertest.EventText(1, "one"))
				close(read)
				rest, err := io.ReadAll(head.Body)
				assert.Assert(t, err != nil, "looks complete, with %q more", rest)
				assert.Equal(t, len(e.Requests()), 1)
			}
		})
	}
}

// A stream that breaks right after its events is not relayed as a complete answer either.
func TestStream_BrokenAtOnce(t *testing.T) {
	for _, written := range []int{0, 1, 2} {
		e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
			a.WriteStreamHead()
			for i := range written {
				a.WriteEvent(i+1, "x")
			}
			a.Close()
		})
		r := startGateway(t, e)
		for _, target := range []string{"/stream/x", "/turn/x"} {
			got := r.post(target, "a"+target, "", "b")
			assert.Assert(t, got.Err != nil || got.Status == 502, "%d events: %+v", written, got)
		}
		assert.Equal(t, len(e.Requests()), 2)
	}
}

func TestStream_WithoutEvents(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) { a.WriteStream() })
	r := startGateway(t, e)
	assertAnswer(t, r.post("/stream/x", "a-1", "", "b"), 200, "")
	assertAnswer(t, r.post("/turn/x", "a-2", "", "b"), 200, "")
}

// The endpoint's connection ends with the client's, so that the endpoint aborts the request.
func TestStream_ClientGone(t *testing.T) {
	gone := make(chan struct{})
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		a.WriteStreamHead()
		a.WriteEvent(1, "one")
		a.AwaitClose()
		close(gone)
	})
	r := startGateway(t, e)
	c := tiertest.Connect(t, r.ingress)
	c.Send(tiertest.Post("/stream/x", "a-1", "", "b"))
	head := c.ReadHead()
	c.ReadEvent(head.Body)
	c.Conn.Close()
	tiertest.WaitFor(t, "the endpoint's connection ends", gone)
}

// The endpoint's connection also ends if the client closes its own without having read the events.
func TestStream_AbortedForClientThatReadsNothing(t *testing.T) {
	arrived, gone := make(chan struct{}, 1), make(chan time.Time, 1)
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		arrived <- struct{}{}
		a.WriteStreamHead()
		text := tiertest.EventText(1, strings.Repeat("x", 1<<16))
		for n := 1; ; n++ {
			text := strings.Replace(text, "id: 1\n", fmt.Sprintf("id: %d\n", n), 1)
			if !a.TryWriteText(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) {
				break
			}
		}
		gone <- time.Now()
	})
	r := startGateway(t, e)
	eventuallyWithinLimit(t, func(try int) time.Duration {
		c := tiertest.Connect(t, r.ingress)
		c.Send(tiertest.Post("/stream/x", fmt.Sprintf("a-%d", try), "", "b"))
		tiertest.WaitFor(t, "the request arrives", arrived)
		assert.Equal(t, c.ReadHead().StatusCode, http.StatusOK)
		closedAt := time.Now()
		c.Conn.Close()
		return tiertest.WaitFor(t, "the endpoint's connection ends", gone).Sub(closedAt)
	})
}
