package gateway_test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

// answerResumed answers with the events of a stream of five that follow Last-Event-Id.
func answerResumed(a *tiertest.ReceivedRequest) {
	a.WriteStreamHead()
	after := 0
	fmt.Sscan(a.Header.Get("Last-Event-Id"), &after)
	for id := after + 1; id <= 5; id++ {
		a.WriteEvent(id, fmt.Sprint("event ", id))
	}
	a.EndStream()
}

// fiveEvents returns the body of the complete answer of answerResumed.
func fiveEvents() string { return events("event 1", "event 2", "event 3", "event 4", "event 5") }

// breakFirstAttempt returns two endpoints. The first request is handled by first, at whichever endpoint it arrives; others are answered
// by answerResumed.
func breakFirstAttempt(t *testing.T, first func(*tiertest.ReceivedRequest)) (a, b *tiertest.Endpoint) {
	a, b = twoEndpoints(t, first)
	for _, e := range [][2]*tiertest.Endpoint{{a, b}, {b, a}} {
		own, other := e[0], e[1]
		own.SetHandler(func(x *tiertest.ReceivedRequest) {
			if len(other.Requests()) == 0 && x.Order == 0 {
				first(x)
				return
			}
			answerResumed(x)
		})
	}
	return a, b
}

// sendEvents writes the first n events of the stream.
func sendEvents(a *tiertest.ReceivedRequest, n int) {
	a.WriteStreamHead()
	for id := 1; id <= n; id++ {
		a.WriteEvent(id, fmt.Sprint("event ", id))
	}
}

// failureModes returns the ways in which an attempt can end before its answer is complete.
func failureModes() map[string]func(*tiertest.ReceivedRequest) {
	return map[string]func(*tiertest.ReceivedRequest){
		"reset":          (*tiertest.ReceivedRequest).Reset,
		"close":          (*tiertest.ReceivedRequest).Close,
		"in an event":    func(a *tiertest.ReceivedRequest) { a.WriteText("14\r\nid: 9\ndata: ha"); a.Close() },
		"half an event":  func(a *tiertest.ReceivedRequest) { a.WriteText("4\r\nid: \r\n"); a.EndStream() },
		"spoilt framing": func(a *tiertest.ReceivedRequest) { a.WriteText("no chunk\r\n"); a.AwaitClose() },
		"silence":        (*tiertest.ReceivedRequest).AwaitClose,
	}
}

// streamBytes returns the complete answer of answerResumed to an attempt, as sent on the connection.
func streamBytes(id string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := 1; n <= 5; n++ {
		event := tiertest.EventText(n, fmt.Sprint("event ", n))
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	}
	return text.String() + "0\r\n\r\n"
}

// After whichever event the first attempt breaks off, another endpoint resumes the answer, which has the head of the first attempt.
func TestResume_ContinuesElsewhere(t *testing.T) {
	for name, breaks := range failureModes() {
		for taken := range 6 {
			t.Run(fmt.Sprint(name, " after ", taken), func(t *testing.T) {
				t.Parallel()
				a, b := breakFirstAttempt(t, func(x *tiertest.ReceivedRequest) { sendEvents(x, taken); breaks(x) })
				r := startGateway(t, a, b)
				assertAnswer(t, r.post("/resumable/x", "a-1", "", "b"), 200, fiveEvents())
				assert.Equal(t, len(a.Requests()), 1)
				assert.Equal(t, len(b.Requests()), 1)
				for _, e := range []*tiertest.Endpoint{a, b} {
					assert.Equal(t, e.Requests()[0].BodyText, "b")
					assert.Equal(t, e.Requests()[0].AttemptID, "a-1")
				}
			})
		}
	}
}

// After whichever byte the first attempt breaks off, the client has each event once and in order: at the start of the resuming attempt
// nothing is duplicated and nothing is missing.
func TestResume_AfterBreakAtEachByte(t *testing.T) {
	var mu sync.Mutex
	first := map[string]int{} // by attempt ID: bytes that its first upstream attempt writes; removed when that attempt is made
	script := func(a *tiertest.ReceivedRequest) {
		mu.Lock()
		cut, isFirst := first[a.AttemptID]
		delete(first, a.AttemptID)
		mu.Unlock()
		if !isFirst {
			answerResumed(a)
			return
		}
		a.WriteText(streamBytes(a.AttemptID)[:cut])
		a.Close()
	}
	r := startGateway(t, tiertest.NewEndpoint(t, "i-a", "s", script), tiertest.NewEndpoint(t, "i-b", "s", script))
	for cut := range len(streamBytes("a-000")) + 1 {
		id := fmt.Sprintf("a-%03d", cut)
		mu.Lock()
		first[id] = cut
		mu.Unlock()
		got := r.post("/resumable/x", id, "", "b")
		assert.NilError(t, got.Err, "cut after %d bytes", cut)
		assert.Equal(t, got.Status, 200, "cut after %d bytes", cut)
		assert.Equal(t, got.Body, fiveEvents(), "cut after %d bytes", cut)
		assert.Equal(t, got.Header.Get("X-Response-Signature"), "s."+id)
	}
}

// The second endpoint gets the last event ID, and no more attempts follow than the route allows.
func TestResume_SendsLastEventID(t *testing.T) {
	cut := func(x *tiertest.ReceivedRequest) {
		after := 0
		fmt.Sscan(x.Header.Get("Last-Event-Id"), &after)
		x.WriteStreamHead()
		x.WriteEvent(after+1, fmt.Sprint("event ", after+1))
		x.Reset()
	}
	a, b, c := tiertest.NewEndpoint(t, "i-a", "s", cut), tiertest.NewEndpoint(t, "i-b", "s", cut), tiertest.NewEndpoint(t, "i-c", "s", cut)
	r := startGateway(t, a, b, c)
	client := tiertest.Connect(t, r.ingress)
	client.Send(tiertest.Post("/resumable/x", "a-1", "", "b"))
	head := client.ReadHead()
	assert.Equal(t, client.ReadEvent(head.Body), tiertest.EventText(1, "event 1"))
	assert.Equal(t, client.ReadEvent(head.Body), tiertest.EventText(2, "event 2"))
	_, err := io.ReadAll(head.Body)
	assert.Assert(t, err != nil, "looks complete")
	var lastEventIDs []string
	for _, e := range []*tiertest.Endpoint{a, b, c} {
		for _, arrival := range e.Requests() {
			lastEventIDs = append(lastEventIDs, arrival.Header.Get("Last-Event-Id"))
		}
	}
	assert.Equal(t, len(lastEventIDs), 2, "max_attempts is 2")
	assert.Assert(t, lastEventIDs[0] != lastEventIDs[1] && lastEventIDs[0]+lastEventIDs[1] == "1", "%q", lastEventIDs)
}

// The events of a second attempt that does not resume where the first one ended are not sent to the client.
func TestResume_AbortsAtGap(t *testing.T) {
	for name, second := range map[string]func(*tiertest.ReceivedRequest){
		"from the beginning": func(x *tiertest.ReceivedRequest) { sendEvents(x, 5); x.EndStream() },
		"with a gap":         func(x *tiertest.ReceivedRequest) { x.WriteStreamHead(); x.WriteEvent(4, "event 4"); x.EndStream() },
		"without ids": func(x *tiertest.ReceivedRequest) {
			x.WriteStreamHead()
			x.WriteText("b\r\ndata: none\n\r\n")
			x.WriteText("1\r\n\n\r\n")
			x.EndStream()
		},
		"refused": func(x *tiertest.ReceivedRequest) { x.RespondUnsigned(503, "X-Not-Executed: full\r\n") },
		"failed":  func(x *tiertest.ReceivedRequest) { x.Respond(500, "", "no") },
	} {
		t.Run(name, func(t *testing.T) {
			run := func(x *tiertest.ReceivedRequest) {
				if x.Header.Get("Last-Event-Id") != "" {
					second(x)
					return
				}
				sendEvents(x, 2)
				x.Reset()
			}
			r := startGateway(t, tiertest.NewEndpoint(t, "i-a", "s", run), tiertest.NewEndpoint(t, "i-b", "s", run))
			client := tiertest.Connect(t, r.ingress)
			client.Send(tiertest.Post("/resumable/x", "a-1", "", "b"))
			head := client.ReadHead()
			rest, err := io.ReadAll(head.Body)
			assert.Assert(t, err != nil, "looks complete: %q", rest)
			assert.Equal(t, string(rest), events("event 1", "event 2"))
		})
	}
}

// The events that the client may have received are charged once, over all attempts.
func TestResume_ChargedForEventsWritten(t *testing.T) {
	a, b := breakFirstAttempt(t, func(x *tiertest.ReceivedRequest) { sendEvents(x, 3); x.Reset() })
	r := startGateway(t, a, b)
	ends := settlementsOf(r.turnStores.List[0])
	assertAnswer(t, r.do(turnWithBudget("/resumable/x", "t-1", 9, 9)), 200, fiveEvents())
	assert.Equal(t, tiertest.WaitFor(t, "the reservation ends", ends).Tokens, uint64(5))
	assert.Equal(t, r.do(turnWithBudget("/resumable/x", "t-2", 9, 5)).Status, 402)
	assert.Equal(t, r.do(turnWithBudget("/resumable/x", "t-3", 9, 4)).Status, 200)
}

// The text of a stored turn has the events that its client received, from all attempts.
func TestResume_TranscriptOfTurn(t *testing.T) {
	a, b := breakFirstAttempt(t, func(x *tiertest.ReceivedRequest) { sendEvents(x, 3); x.Reset() })
	r := startGateway(t, a, b)
	post := func(id, fields, body string) tiertest.Reply {
		return r.post("/resumable-turn/x", id, "Program: p\r\n"+fields, body)
	}
	assertAnswer(t, post("t-1", "", "in 1;"), 200, fiveEvents())
	assertAnswer(t, post("t-2", "Previous: t-1\r\n", "in 2;"), 200, fiveEvents())
	want := "in 1;event 1\nevent 2\nevent 3\nevent 4\nevent 5\nin 2;"
	var texts []string
	for _, e := range []*tiertest.Endpoint{a, b} {
		for _, arrival := range e.Requests() {
			texts = append(texts, arrival.BodyText)
		}
	}
	assert.Equal(t, len(texts), 3)
	assert.Assert(t, texts[0] == want || texts[1] == want || texts[2] == want, "%q", texts)
}

// A client that reconnects with the ID of its last event gets the events after it. If the turn is stored, the endpoint still generates the
// complete stream, as the transcript must be complete.
func TestResume_ClientReconnectsForRest(t *testing.T) {
	rest := fiveEvents()[len(events("event 1", "event 2")):]
	for target, passed := range map[string]string{"/resumable/x": "2", "/resumable-turn/x": ""} {
		e := tiertest.NewEndpoint(t, "i-1", "s", answerResumed)
		r := startGateway(t, e)
		got := r.post(target, "a-1", "Program: p\r\nLast-Event-Id: 2\r\n", "in;")
		assertAnswer(t, got, 200, rest)
		assert.Equal(t, e.Requests()[0].Header.Get("Last-Event-Id"), passed)
		if target == "/resumable-turn/x" {
			assertAnswer(t, r.post(target, "a-2", "Program: p\r\nPrevious: a-1\r\n", "more"), 200, fiveEvents())
			assert.Equal(t, e.Requests()[1].BodyText, "in;event 1\nevent 2\nevent 3\nevent 4\nevent 5\nmore")
		}
	}
}

// No further attempt is made for a client that is gone.
func TestResume_NoneAfterClientIsGone(t *testing.T) {
	gone := make(chan struct{})
	a, b := breakFirstAttempt(t, func(x *tiertest.ReceivedRequest) { sendEvents(x, 1); x.AwaitClose(); close(gone) })
	r := startGateway(t, a, b)
	c := tiertest.Connect(t, r.ingress)
	c.Send(tiertest.Post("/resumable/x", "a-1", "X-Deadline-Ms: 400\r\n", "b"))
	head := c.ReadHead()
	c.ReadEvent(head.Body)
	c.Conn.Close()
	tiertest.WaitFor(t, "the endpoint's connection ends", gone)
	assertAnswer(t, r.post("/plain/x", "a-2", "", "b"), 200, fiveEvents()) // a-1 is not sent again meanwhile, as checked below
	for _, e := range []*tiertest.Endpoint{a, b} {
		for _, arrival := range e.Requests() {
			assert.Assert(t, arrival.AttemptID == "a-2" || arrival.Header.Get("Last-Event-Id") == "")
		}
	}
}
