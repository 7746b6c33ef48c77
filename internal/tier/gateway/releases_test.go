package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// The reservation of an attempt that was not executed, or was aborted, is released when its client is answered: a 402 for the next
// attempt would end its program.
func TestRelease_NextAttemptFindsBudgetFree(t *testing.T) {
	for name, fails := range map[string]func(*tiertest.ReceivedRequest){
		"refused":         func(a *tiertest.ReceivedRequest) { a.RespondUnsigned(503, "X-Not-Executed: full\r\n") },
		"before an event": (*tiertest.ReceivedRequest).Reset,
		"broken off":      func(a *tiertest.ReceivedRequest) { beginStream(a, 1); a.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
				if a.Header.Get("X-Try") == "0" {
					fails(a)
					return
				}
				streamTwoEvents(a)
			})
			r := startGateway(t, e)
			spent := 0
			for n := range 50 {
				send := func(try, maxTokens int) tiertest.Reply {
					return r.do(turnRequest(fmt.Sprintf("t-%d-%d", n, try), "", fmt.Sprintf("p-%d", n),
						fmt.Sprintf("X-Try: %d\r\nBudget: 20\r\nX-Token-Usage: 9,%d\r\n", try, maxTokens), "in"))
				}
				got := send(0, 20)
				assert.Assert(t, got.Err != nil || got.Status >= 502, "%+v", got)
				if send(1, 19).Status == 402 {
					spent++
				}
			}
			assert.Equal(t, spent, 0, "number of next attempts, of 50, that were answered with 402")
		})
	}
}

// Before it answers 402, a gateway waits for all its pending releases of the program, not only for the newest.
func TestRelease_SpentBudgetWaitsForAllReleases(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		if strings.HasPrefix(a.AttemptID, "t-3") {
			streamTwoEvents(a)
			return
		}
		a.RespondUnsigned(503, "X-Not-Executed: full\r\n")
	})
	r := startGateway(t, e)
	begun := make(chan struct{})
	var once sync.Once
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		switch q := m.Request.(type) {
		case *tierv1.SettleRequest:
			if q.Attempt == "t-1" { // delayed until the third turn has been begun
				select {
				case <-begun:
				case <-m.Ctx.Done():
					return m.Ctx.Err()
				}
			}
		case *tierv1.BeginRequest:
			if q.Attempt == "t-3" {
				defer once.Do(func() { close(begun) })
			}
		}
		return m.Serve()
	})
	send := func(id string, maxTokens int) tiertest.Reply {
		return r.do(turnRequest(id, "", "p", fmt.Sprintf("Budget: 20\r\nX-Token-Usage: 9,%d\r\n", maxTokens), "in"))
	}
	assertNotExecuted(t, send("t-1", 10))
	assertNotExecuted(t, send("t-2", 10))
	got := send("t-3", 20)
	for n := 0; got.Status == 503 && n < 100; n++ { // the endpoint is in backoff after its rejections; a 402 must not be returned
		got = send(fmt.Sprintf("t-3-%d", n), 20)
	}
	assert.Equal(t, got.Status, 200)
}

// TestRelease_SpentBudgetIsNotFinalWhileReleasing: while this gateway releases a reservation of the program and the turn store does
// not answer, the budget may allow the turn: a 402 would end the program, a 503 makes it retry.
func TestRelease_SpentBudgetIsNotFinalWhileReleasing(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", resetOf("t-1"))
	r := startGateway(t, e)
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		if q, ok := m.Request.(*tierv1.SettleRequest); ok && q.Attempt == "t-1" {
			<-m.Ctx.Done() // the settlement never arrives
			return m.Ctx.Err()
		}
		return m.Serve()
	})
	send := func(id string) tiertest.Reply {
		return r.do(turnRequest(id, "", "p", "X-Deadline-Ms: 900\r\nBudget: 20\r\nX-Token-Usage: 9,20\r\n", "in"))
	}
	assert.Equal(t, send("t-1").Status, 502)
	assertNotExecuted(t, send("t-2"))
	assert.Equal(t, len(e.Requests()), 1)
}

// TestRelease_SpentBudgetIsNotFinalWhileAnotherGatewayReleases: a turn was rejected at the first gateway while its turn store did not
// accept the release. Until the release has reached the next primary the second gateway answers 503; then the budget allows the turn.
func TestRelease_SpentBudgetIsNotFinalWhileAnotherGatewayReleases(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		if a.AttemptID == "t-1" {
			a.RespondUnsigned(503, "X-Not-Executed: full\r\n")
			return
		}
		streamTwoEvents(a)
	})
	first, second := startTwoGateways(t, e)
	first.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		if _, ok := m.Request.(*tierv1.SettleRequest); ok { // no settlement arrives from then on
			<-m.Ctx.Done()
			return m.Ctx.Err()
		}
		return m.Serve()
	})
	text := func(id string, maxTokens int) string {
		return turnRequest(id, "", "p", fmt.Sprintf("X-Deadline-Ms: 2000\r\nBudget: 20\r\nX-Token-Usage: 9,%d\r\n", maxTokens), "in")
	}
	assertNotExecuted(t, first.do(text("t-1", 20)))
	partitionMap := first.turnStores.Assign([2]int{1, 2})
	second.controlPlane.SetPartitionMap(partitionMap)
	assertNotExecuted(t, second.do(text("t-2", 20)))
	assert.Equal(t, second.do(text("t-3", 21)).Status, 402) // more than the release can free
	ends := settlementsOf(first.turnStores.List[1])
	first.controlPlane.SetPartitionMap(partitionMap)
	for tiertest.WaitFor(t, "the reservation ends", ends).Attempt != "t-1" {
	}
	assertAnswer(t, second.do(text("t-4", 20)), 200, events(twoEvents("t-4")...))
	for _, a := range e.Requests() {
		assert.Assert(t, a.AttemptID == "t-1" || a.AttemptID == "t-4", "%s has run", a.AttemptID)
	}
}
