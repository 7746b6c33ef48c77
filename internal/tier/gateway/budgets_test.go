package gateway_test

import (
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// turnWithBudget returns the text of a turn of program p with a budget.
func turnWithBudget(target, id string, budget, maxTokens int) string {
	return tiertest.Post(target, id, fmt.Sprintf("Program: p\r\nBudget: %d\r\nX-Token-Usage: 5,%d\r\n", budget, maxTokens), "in")
}

// A budget is enforced on routes that are persisted and on others, also if turns of one program use both kinds.
func TestBudget_OfTurnsNotPersisted(t *testing.T) {
	for _, routes := range [][2]string{{"/stream/x", "/stream/x"}, {"/stream/x", "/turn/x"}, {"/turn/x", "/stream/x"}, {"/resumable/x", "/resumable-turn/x"}} {
		t.Run(routes[0]+" "+routes[1], func(t *testing.T) {
			e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
			r := startGateway(t, e)
			assert.Equal(t, r.do(turnWithBudget(routes[0], "t-1", 10, 11)).Status, 402)
			assert.Equal(t, len(e.Requests()), 0)
			assertAnswer(t, r.do(turnWithBudget(routes[0], "t-2", 10, 10)), 200, events(twoEvents("t-2")...)) // two events: 2 tokens
			assert.Equal(t, r.do(turnWithBudget(routes[1], "t-3", 10, 9)).Status, 402)
			assert.Equal(t, r.do(turnWithBudget(routes[1], "t-4", 10, 8)).Status, 200) // exactly the remaining budget
			assert.Equal(t, r.do(turnWithBudget(routes[0], "t-5", 10, 7)).Status, 402)
			assert.Equal(t, r.do(turnWithBudget(routes[0], "t-6", 10, 6)).Status, 200)
			assert.Equal(t, len(e.Requests()), 3)
		})
	}
}

// The events of a turn that is not stored are charged before its client gets the end of the answer, or its abort.
func TestBudget_TurnNotPersistedIsChargedForEventsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		script func(*tiertest.ReceivedRequest, <-chan struct{})
		charge int
	}{
		"refused": {func(a *tiertest.ReceivedRequest, _ <-chan struct{}) {
			a.RespondUnsigned(503, "X-Not-Executed: full\r\n")
		}, 0},
		"before an event":    {func(a *tiertest.ReceivedRequest, _ <-chan struct{}) { a.Reset() }, 0},
		"after three events": {func(a *tiertest.ReceivedRequest, read <-chan struct{}) { beginStream(a, 3); <-read; a.Reset() }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) { c.script(a, read) })
			r := startGateway(t, e)
			ends := settlementsOf(r.turnStores.List[0])
			client := tiertest.Connect(t, r.ingress)
			client.Send(turnWithBudget("/stream/x", "t-1", 100, 60))
			if c.charge > 0 {
				head := client.ReadHead()
				for range c.charge {
					client.ReadEvent(head.Body)
				}
				close(read)
				_, err := io.ReadAll(head.Body)
				assert.Assert(t, err != nil)
			} else {
				assert.Assert(t, client.ReadReply().Status >= 500)
			}
			got := tiertest.WaitFor(t, "the reservation ends", ends)
			assert.Equal(t, got.Stored, false)
			assert.Equal(t, got.Tokens, uint64(c.charge))
			e.SetHandler(streamTwoEvents)
			assert.Equal(t, r.do(turnWithBudget("/stream/x", "t-2", 100, 101-c.charge)).Status, 402)
			assert.Equal(t, r.do(turnWithBudget("/stream/x", "t-3", 100, 100-c.charge)).Status, 200)
		})
	}
}

// On a route that is not persisted a turn continues no other: there is no 404, and the body is sent to the endpoint unchanged.
func TestBudget_TurnNotPersistedContinuesNothing(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	got := r.do(tiertest.Post("/stream/x", "t-1", "Program: p\r\nPrevious: t-none\r\nBudget: 10\r\nX-Token-Usage: 5,9\r\n", "in"))
	assertAnswer(t, got, 200, events(twoEvents("t-1")...))
	assert.Equal(t, e.Requests()[0].BodyText, "in")
	assert.Equal(t, e.Requests()[0].Header.Get("Previous"), "t-none")
	assert.Equal(t, r.do(tiertest.Post("/turn/x", "t-2", "Program: p\r\nPrevious: t-1\r\nBudget: 10\r\nX-Token-Usage: 5,2\r\n", "in")).Status, 404)
}

// If the turn store does not answer, it is unknown whether the budget allows the turn: nothing is sent to an endpoint, and the client
// gets a Retry-After.
func TestBudget_TurnNotPersistedNeedsTurnStore(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	r.turnStores.List[0].SetInterceptor(func(tiertest.RPC) error { return tiertest.ErrMessageLost })
	assertNotExecuted(t, r.do(tiertest.Post("/stream/x", "t-1", "Program: p\r\nX-Deadline-Ms: 600\r\nBudget: 10\r\nX-Token-Usage: 5,9\r\n", "in")))
	assert.Equal(t, len(e.Requests()), 0)
	assertAnswer(t, r.do(tiertest.Post("/stream/x", "t-2", "Program: p\r\n", "in")), 200, events(twoEvents("t-2")...)) // no budget: no turn store is called
}

// The end of an answer waits only briefly for a turn store that does not answer, as only the budget depends on it.
func TestBudget_EndOfTurnNotPersistedWaitsBriefly(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	proceed := make(chan struct{})
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		if m.Method == "Settle" {
			select {
			case <-proceed:
			case <-m.Ctx.Done():
				return m.Ctx.Err()
			}
		}
		return m.Serve()
	})
	assertAnswer(t, r.do(turnWithBudget("/stream/x", "t-1", 10, 10)), 200, events(twoEvents("t-1")...))
	close(proceed)
	assert.Equal(t, r.do(turnWithBudget("/stream/x", "t-2", 10, 8)).Status, 200) // waits for the pending settlement of t-1
}

// The same attempt at two gateways makes one reservation.
func TestBudget_SameAttemptByTwoGatewaysReservesOnce(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	first, second := startTwoGateways(t, e)
	blocked, begun := make(chan struct{}), make(chan struct{})
	e.SetHandler(func(a *tiertest.ReceivedRequest) {
		if a.Order == 0 {
			close(begun)
			<-blocked
		}
		streamTwoEvents(a)
	})
	c := tiertest.Connect(t, first.ingress)
	c.Send(turnWithBudget("/resumable/x", "t-1", 12, 10))
	tiertest.WaitFor(t, "the attempt runs", begun)
	assert.Equal(t, second.do(turnWithBudget("/resumable/x", "t-1", 12, 10)).Status, 200)
	close(blocked)
	assertAnswer(t, c.ReadReply(), 200, events(twoEvents("t-1")...))
	reply, err := first.turnStores.List[0].Begin(t.Context(), &tierv1.BeginRequest{Program: "p", Attempt: "t-2", Limited: true, Budget: 12, MaxTokens: 10})
	assert.NilError(t, err)
	assert.Equal(t, reply.Verdict, tierv1.Verdict_OK)
}
