package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

// fault is a fault to inject into one message.
type fault struct {
	name string
	// call injects it into a call to the turn store; late defers a delivery.
	call func(m tiertest.RPC, late func(func())) error
	// answer injects it into the endpoint's answer.
	answer func(a *tiertest.ReceivedRequest)
}

var faults = []fault{
	{name: "lost", call: func(m tiertest.RPC, _ func(func())) error { return tiertest.ErrMessageLost },
		answer: func(a *tiertest.ReceivedRequest) { a.AwaitClose() }},
	{name: "unresponsive", call: func(m tiertest.RPC, _ func(func())) error { <-m.Ctx.Done(); return m.Ctx.Err() },
		answer: func(a *tiertest.ReceivedRequest) { a.WriteStreamHead(); a.AwaitClose() }},
	{name: "reply lost", call: func(m tiertest.RPC, _ func(func())) error { m.Serve(); return tiertest.ErrMessageLost },
		answer: func(a *tiertest.ReceivedRequest) { a.Reset() }},
	{name: "duplicated", call: func(m tiertest.RPC, _ func(func())) error { m.Serve(); return m.Serve() },
		answer: func(a *tiertest.ReceivedRequest) { streamTwoEvents(a); streamTwoEvents(a) }},
	{name: "delayed", call: func(m tiertest.RPC, late func(func())) error {
		late(func() { m.Serve() })
		return tiertest.ErrMessageLost
	},
		answer: func(a *tiertest.ReceivedRequest) { a.WriteText("HTTP/1.1 100 Continue\r\n\r\n"); streamTwoEvents(a) }},
	{name: "duplicated late", call: func(m tiertest.RPC, late func(func())) error { late(func() { m.Serve() }); return m.Serve() },
		answer: func(a *tiertest.ReceivedRequest) { streamTwoEvents(a); a.Close() }},
	{name: "broken off", call: func(m tiertest.RPC, _ func(func())) error { return tiertest.ErrMessageLost },
		answer: func(a *tiertest.ReceivedRequest) { beginStream(a, 1); a.Close() }},
	{name: "broken off before its end", call: func(m tiertest.RPC, _ func(func())) error { m.Serve(); <-m.Ctx.Done(); return m.Ctx.Err() },
		answer: func(a *tiertest.ReceivedRequest) {
			a.WriteStreamHead()
			a.WriteEvent(1, "x")
			a.WriteEvent(2, "x")
			a.Close()
		}},
	{name: "answer of another attempt", call: func(m tiertest.RPC, _ func(func())) error { return tiertest.ErrMessageLost },
		answer: func(a *tiertest.ReceivedRequest) {
			own := a.AttemptID
			a.AttemptID = "other"
			a.Respond(200, "", "other")
			a.AttemptID = own
			streamTwoEvents(a)
		}},
}

// TestTurn_FaultAtEachMessage injects a fault into one message of a program of four turns, whose client retries, and checks that no turn
// that was acknowledged as complete is lost, that none runs twice, that each success has its signature, and that the budget is not exceeded.
func TestTurn_FaultAtEachMessage(t *testing.T) {
	for _, target := range []string{"Begin", "Settle", "Replicate", "answer"} {
		for _, f := range faults {
			for at := range 4 {
				if target == "Replicate" && f.call == nil {
					continue
				}
				t.Run(fmt.Sprintf("%s %d %s", target, at, f.name), func(t *testing.T) { runProgram(t, target, at, f) })
			}
		}
	}
}

// faultInjector injects a fault into one message: the one with a given index among the calls of a method.
type faultInjector struct {
	method string
	at     int
	fault  fault

	mu   sync.Mutex
	seen int
	late []func() // deliveries that the fault delays
}

// intercept delivers a message to a turn store, with the fault if it is the selected one.
func (s *faultInjector) intercept(m tiertest.RPC) error {
	s.mu.Lock()
	hit := m.Method == s.method && s.seen == s.at
	if m.Method == s.method {
		s.seen++
	}
	s.mu.Unlock()
	if !hit {
		return m.Serve()
	}
	return s.fault.call(m, func(deliver func()) {
		s.mu.Lock()
		s.late = append(s.late, deliver)
		s.mu.Unlock()
	})
}

// release delivers the delayed messages.
func (s *faultInjector) release() {
	s.mu.Lock()
	delayed := s.late
	s.late = nil
	s.mu.Unlock()
	for _, deliver := range delayed {
		deliver()
	}
}

// The budget of the program, and the maximum that one turn of it may generate, in tokens.
const budget, maxTokensPerTurn = 400, 3

func runProgram(t *testing.T, target string, at int, f fault) {
	t.Parallel()
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	if target == "answer" {
		e.SetHandler(func(a *tiertest.ReceivedRequest) {
			if a.Order == at {
				f.answer(a)
				return
			}
			streamTwoEvents(a)
		})
	}
	r := startGateway(t, e)
	injector := &faultInjector{method: target, at: at, fault: f}
	for _, store := range r.turnStores.List {
		store.SetInterceptor(injector.intercept)
	}
	chain, previous, granted := sendFourTurns(t, r, injector)
	injector.release()
	got, last := r.retryUntilServed("t-last", previous, "")
	assertAnswer(t, got, 200, events(twoEvents(last)...))
	assertRanOnce(t, e, chain+"end", last)
	// The budget is charged at least for the complete turns, and at most for the maximum of each attempt.
	const delivered = 2 * 4
	overBudget, _ := r.retryUntilServed("t-over", "", fmt.Sprintf("Budget: %d\r\nX-Token-Usage: 9,%d\r\n", budget, budget-delivered+1))
	assert.Equal(t, overBudget.Status, 402, "%+v", overBudget)
	withinBudget, _ := r.retryUntilServed("t-room", "", fmt.Sprintf("Budget: %d\r\nX-Token-Usage: 9,%d\r\n", budget, budget-granted-2*20))
	assert.Equal(t, withinBudget.Status, 200, "%+v", withinBudget)
}

// sendFourTurns sends four turns as a client does, each with retries until its answer is complete. It returns the text of all turns, the ID
// of the last one and the sum of the maximum tokens of all attempts. Delayed messages are delivered after the second turn.
func sendFourTurns(t *testing.T, r *harness, injector *faultInjector) (chain, previous string, granted int) {
	for i := range 4 {
		for try := 0; ; try++ {
			id := fmt.Sprintf("t-%d-%d", i, try)
			in := fmt.Sprintf("in %d;", i)
			fields := fmt.Sprintf("X-Deadline-Ms: 3000\r\nBudget: %d\r\nX-Token-Usage: 9,%d\r\n", budget, maxTokensPerTurn)
			got := r.do(turnRequest(id, previous, "p", fields, in))
			if granted += maxTokensPerTurn; got.Err == nil && got.Status == 200 {
				assertAnswer(t, got, 200, events(twoEvents(id)...))
				chain, previous = chain+in+transcriptOf(id), id
				break
			}
			assert.Assert(t, got.Err != nil || got.Status == 502 || got.Status == 503 || got.Status == 504, "turn %d: %+v", i, got)
			assert.Assert(t, try < 20, "turn %d: %+v", i, got)
		}
		if i == 1 {
			injector.release()
		}
	}
	return chain, previous, granted
}

// retryUntilServed retries a turn, as a client does, after a 503 or a broken connection: on a busy machine a turn store may not answer in
// time.
func (r *harness) retryUntilServed(id, previous, fields string) (got tiertest.Reply, last string) {
	for try := range 20 {
		last = fmt.Sprintf("%s-%d", id, try)
		if got = r.do(turnRequest(last, previous, "p", fields, "end")); got.Err == nil && got.Status != 503 {
			break
		}
	}
	return got, last
}

// assertRanOnce checks that no attempt ran twice, that the prompt of each is a prefix of the program's text, and that the prompt of the
// last one is the complete text.
func assertRanOnce(t *testing.T, e *tiertest.Endpoint, text, last string) {
	t.Helper()
	runs := map[string]int{}
	for _, a := range e.Requests() {
		runs[a.AttemptID]++
		assert.Equal(t, runs[a.AttemptID], 1, "%s ran twice", a.AttemptID)
		assert.Assert(t, strings.HasPrefix(text, a.BodyText), a.BodyText)
		if a.AttemptID == last {
			assert.Equal(t, a.BodyText, text)
		}
	}
	assert.Equal(t, runs[last], 1)
}
