package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestTurn_PromptFromChain(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	want := map[string]string{"t-1": "in 1;"}
	assertAnswer(t, r.do(turnRequest("t-1", "", "p", "", "in 1;")), 200, events(twoEvents("t-1")...))
	want["t-2"] = want["t-1"] + transcriptOf("t-1") + "in 2;"
	assertAnswer(t, r.do(turnRequest("t-2", "t-1", "p", "", "in 2;")), 200, events(twoEvents("t-2")...))
	want["t-3"] = want["t-2"] + transcriptOf("t-2") + "in 3;"
	assertAnswer(t, r.do(turnRequest("t-3", "t-2", "p", "", "in 3;")), 200, events(twoEvents("t-3")...))
	want["t-2b"] = want["t-1"] + transcriptOf("t-1") + "in 2b;" // branches off t-1, as t-2 does
	assertAnswer(t, r.do(turnRequest("t-2b", "t-1", "p", "", "in 2b;")), 200, events(twoEvents("t-2b")...))
	for _, a := range e.Requests() {
		assert.Equal(t, a.BodyText, want[a.AttemptID], a.AttemptID)
	}
	assert.Equal(t, len(e.Requests()), 4)
	assert.Equal(t, r.do(turnRequest("t-9", "t-none", "p", "", "x")).Status, 404)
	assert.Equal(t, len(e.Requests()), 4)
}

// The transcript has the data lines of each event, joined by line feeds. An event without data adds nothing.
func TestTurn_TranscriptHasOnlyData(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		a.WriteStreamHead()
		text := ": note\n\nid: 1\nevent: x\ndata: a\ndata:b\n\nid: 2\n\ndata:\n\ndata:  c\r\n\r\n"
		a.WriteText(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
		a.EndStream()
	})
	r := startGateway(t, e)
	assert.Equal(t, r.do(turnRequest("t-1", "", "p", "", "in;")).Status, 200)
	assert.Equal(t, r.do(turnRequest("t-2", "t-1", "p", "", "more")).Status, 200)
	assert.Equal(t, e.Requests()[1].BodyText, "in;a\nb\n\n c\nmore")
}

func TestTurn_EndOnlyWhenStored(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	called, release := make(chan struct{}, 16), make(chan struct{})
	var released atomic.Bool
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		if m.Method == "Settle" {
			called <- struct{}{}
			<-release
		}
		return m.Serve()
	})
	c := tiertest.Connect(t, r.ingress)
	head := sendTurn(t, c, "t-1")
	tiertest.WaitFor(t, "the turn store is called to store the turn", called)
	assert.Assert(t, !c.EndsSoon(), "the end was sent before the turn was stored")
	released.Store(true)
	close(release)
	rest, err := io.ReadAll(head.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
	assert.Equal(t, r.do(turnRequest("t-2", "t-1", "p", "", "more")).Status, 200)
}

// The end of the answer also waits for the backup.
func TestTurn_EndOnlyWhenBackupHasIt(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	var unreachable atomic.Bool
	dropped := make(chan struct{}, 1000)
	r.turnStores.List[1].SetInterceptor(func(m tiertest.RPC) error {
		if unreachable.Load() {
			select {
			case dropped <- struct{}{}:
			default:
			}
			return tiertest.ErrMessageLost
		}
		return m.Serve()
	})
	e.SetHandler(func(a *tiertest.ReceivedRequest) {
		unreachable.Store(true)
		streamTwoEvents(a)
	})
	c := tiertest.Connect(t, r.ingress)
	head := sendTurn(t, c, "t-1")
	tiertest.WaitFor(t, "the backup is called", dropped)
	assert.Assert(t, !c.EndsSoon(), "the end was sent before the backup had the turn")
	unreachable.Store(false)
	_, err := io.ReadAll(head.Body)
	assert.NilError(t, err)
}

func TestTurn_AbortedIfNotStored(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	for name, fails := range map[string]func(tiertest.RPC) error{
		"silent": func(m tiertest.RPC) error { <-m.Ctx.Done(); return m.Ctx.Err() },
		"error":  func(tiertest.RPC) error { return tiertest.ErrMessageLost },
	} {
		r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
			if m.Method == "Settle" {
				return fails(m)
			}
			return m.Serve()
		})
		got := r.do(turnRequest("t-"+name, "", "p", "X-Deadline-Ms: 700\r\n", "in"))
		assert.Assert(t, got.Err != nil, "%s: looks complete: %+v", name, got)
	}
}

func TestTurn_BudgetSpent(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	send := func(id string, maxTokens int) int {
		return r.do(turnRequest(id, "", "p", fmt.Sprintf("Budget: 10\r\nX-Token-Usage: 5,%d\r\n", maxTokens), "in")).Status
	}
	assert.Equal(t, send("t-1", 11), 402)
	assert.Equal(t, len(e.Requests()), 0)
	assert.Equal(t, send("t-2", 10), 200) // two events: 2 tokens
	assert.Equal(t, send("t-3", 9), 402)
	assert.Equal(t, send("t-4", 8), 200)
	assert.Equal(t, len(e.Requests()), 2)
	assert.Equal(t, r.do(turnRequest("t-5", "", "p", "Budget: ten\r\n", "in")).Status, 400)
	assert.Equal(t, len(e.Requests()), 2)
}

func TestTurn_AbortedIsChargedForEventsWritten(t *testing.T) {
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
			const budget = "Budget: 100\r\nX-Token-Usage: 5,%d\r\n"
			client := tiertest.Connect(t, r.ingress)
			client.Send(turnRequest("t-1", "", "p", fmt.Sprintf(budget, 60), "in"))
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
			assert.Equal(t, r.do(turnRequest("t-2", "", "p", fmt.Sprintf(budget, 101-c.charge), "in")).Status, 402)
			assert.Equal(t, r.do(turnRequest("t-3", "", "p", fmt.Sprintf(budget, 100-c.charge), "in")).Status, 200)
			assert.Equal(t, r.do(turnRequest("t-4", "t-1", "p", "", "in")).Status, 404)
		})
	}
}

// A turn whose client is gone is charged for the events that the client may have received.
func TestTurn_ClientGoneIsCharged(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) { beginStream(a, 2); a.AwaitClose() })
	r := startGateway(t, e)
	ends := settlementsOf(r.turnStores.List[0])
	c := tiertest.Connect(t, r.ingress)
	c.Send(turnRequest("t-1", "", "p", "Budget: 10\r\nX-Token-Usage: 5,9\r\n", "in"))
	head := c.ReadHead()
	c.ReadEvent(head.Body)
	c.ReadEvent(head.Body)
	c.Conn.Close()
	assert.Equal(t, tiertest.WaitFor(t, "the reservation ends", ends).Tokens, uint64(2))
}

// A turn can continue a turn of another program, in whichever partition that is.
func TestTurn_ContinuesAnotherProgram(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startUnconfigured(t)
	r.configure(r.turnStores.Assign([2]int{0, 1}, [2]int{1, 2}, [2]int{2, 0}), e)
	assert.Equal(t, r.do(turnRequest("t-1", "", "p", "", "in 1;")).Status, 200)
	assert.Equal(t, r.do(turnRequest("t-2", "t-1", "p", "", "in 2;")).Status, 200)
	chain := "in 1;" + transcriptOf("t-1") + "in 2;" + transcriptOf("t-2")
	for i := range 12 {
		id, program := fmt.Sprintf("u-%d", i), fmt.Sprintf("q-%d", i)
		assert.Equal(t, r.do(turnRequest(id, "t-2", program, "", "in 3;")).Status, 200)
		assert.Equal(t, e.Requests()[2+2*i].BodyText, chain+"in 3;")
		assert.Equal(t, r.do(turnRequest(id+"-next", id, program, "", "in 4;")).Status, 200)
		assert.Equal(t, e.Requests()[3+2*i].BodyText, chain+"in 3;"+transcriptOf(id)+"in 4;")
	}
}

func TestTurn_NotFoundOnlyIfAllAreCertain(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startUnconfigured(t)
	r.configure(r.turnStores.Assign([2]int{0, 1}, [2]int{1, 0}, [2]int{2, 0}), e)
	send := func(program string) tiertest.Reply {
		return r.do(turnRequest("t-"+program, "t-none", program, "X-Deadline-Ms: 900\r\n", "in"))
	}
	r.turnStores.List[2].SetUnreachable(true)
	for i := range 6 {
		assertNotExecuted(t, send(fmt.Sprintf("p-%d", i)))
	}
	r.turnStores.List[2].SetUnreachable(false)
	for i := range 6 {
		got := r.do(turnRequest(fmt.Sprintf("u-%d", i), "t-none", fmt.Sprintf("p-%d", i), "", "in"))
		assert.Equal(t, got.Status, 404)
	}
	assert.Equal(t, len(e.Requests()), 0)
}

func TestTurn_NotSentWithoutTurnStore(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	for name, interceptor := range map[string]func(tiertest.RPC) error{
		"silent": func(m tiertest.RPC) error { <-m.Ctx.Done(); return m.Ctx.Err() },
		"error":  func(tiertest.RPC) error { return errors.New("no") },
	} {
		r.turnStores.List[0].SetInterceptor(interceptor)
		assertNotExecuted(t, r.do(turnRequest("t-"+name, "", "p", "X-Deadline-Ms: 600\r\n", "in")))
	}
	assert.Equal(t, len(e.Requests()), 0)
}

// The primary turn store becomes unreachable while the endpoint answers. The turn is stored at the primary of the next partition map.
func TestTurn_TurnStoreDiesWithinTurn(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	assert.Equal(t, r.do(turnRequest("t-1", "", "p", "", "in 1;")).Status, 200)
	e.SetHandler(pausedStream(begun, proceed))
	c := tiertest.Connect(t, r.ingress)
	c.Send(turnRequest("t-2", "t-1", "p", "", "in 2;"))
	tiertest.WaitFor(t, "the stream begins", begun)
	r.turnStores.List[0].SetUnreachable(true)
	close(proceed)
	head := c.ReadHead()
	c.ReadEvent(head.Body)
	c.ReadEvent(head.Body)
	assert.Assert(t, !c.EndsSoon(), "the end was sent before the turn was stored")
	r.controlPlane.SetPartitionMap(r.turnStores.Assign([2]int{1, 2}))
	_, err := io.ReadAll(head.Body)
	assert.NilError(t, err)
	e.SetHandler(streamTwoEvents)
	assert.Equal(t, r.do(turnRequest("t-3", "t-2", "p", "", "in 3;")).Status, 200)
	assert.Equal(t, e.Requests()[2].BodyText, "in 1;"+transcriptOf("t-1")+"in 2;one\ntwo\nin 3;")
}

// TestTurn_WaitEndsWithClient: if a client closes its connection while its turn waits for the turn store, that call is canceled. The turn
// is not sent to an endpoint, and a reservation that it may have is released.
func TestTurn_WaitEndsWithClient(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	called, ended, settled := make(chan struct{}, 100), make(chan time.Time, 100), make(chan *tierv1.SettleRequest, 100)
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		switch q := m.Request.(type) {
		case *tierv1.BeginRequest:
			if err := m.Serve(); err != nil {
				return err
			}
			called <- struct{}{}
			<-m.Ctx.Done()
			ended <- time.Now()
			return m.Ctx.Err()
		case *tierv1.SettleRequest:
			settled <- q
		}
		return m.Serve()
	})
	eventuallyWithinLimit(t, func(try int) time.Duration {
		id := fmt.Sprintf("t-%d", try)
		c := tiertest.Connect(t, r.ingress)
		c.Send(turnRequest(id, "", "p", "", "in"))
		tiertest.WaitFor(t, "the turn store is called", called)
		closedAt := time.Now()
		c.Conn.Close()
		took := tiertest.WaitFor(t, "the call ends", ended).Sub(closedAt)
		got := tiertest.WaitFor(t, "the reservation is released", settled)
		assert.Assert(t, got.Attempt == id && !got.Stored && got.Tokens == 0)
		return took
	})
	assert.Equal(t, len(e.Requests()), 0)
}

// TestTurn_AttemptRunsOnce: an attempt ID whose turn has been settled, stored or not, is never executed again.
func TestTurn_AttemptRunsOnce(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", resetOf("t-1"))
	r := startGateway(t, e)
	assert.Equal(t, r.do(turnRequest("t-1", "", "p", "", "in")).Status, 502)
	assert.Equal(t, r.do(turnRequest("t-2", "", "p", "", "in")).Status, 200)
	for _, id := range []string{"t-1", "t-2"} {
		assertNotExecuted(t, r.do(turnRequest(id, "", "p", "X-Deadline-Ms: 500\r\n", "in")))
	}
	assert.Equal(t, len(e.Requests()), 2)
}

// TestTurn_RetriedThroughAnotherGateway: while a turn may still run, its reservation counts against the next attempt at another
// gateway. Once the turn's client is gone, its gateway releases the reservation except for the events written, and the next attempt
// fits the budget. The ID of the first attempt is never executed again at any gateway.
func TestTurn_RetriedThroughAnotherGateway(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		if a.AttemptID == "t-1" {
			beginStream(a, 1)
			a.AwaitClose()
			return
		}
		streamTwoEvents(a)
	})
	first, second := startTwoGateways(t, e)
	ends := settlementsOf(first.turnStores.List[0])
	text := func(id string, maxTokens int) string {
		return turnRequest(id, "", "p", fmt.Sprintf("Budget: 20\r\nX-Token-Usage: 9,%d\r\n", maxTokens), "in")
	}
	c := tiertest.Connect(t, first.ingress)
	c.Send(text("t-1", 20))
	c.ReadEvent(c.ReadHead().Body)
	assert.Equal(t, second.do(text("t-2", 1)).Status, 402)
	c.Conn.Close()
	got := tiertest.WaitFor(t, "the reservation ends", ends)
	assert.Assert(t, got.Attempt == "t-1" && got.Tokens == 1 && !got.Stored)
	assert.Equal(t, second.do(text("t-3", 20)).Status, 402)
	assertAnswer(t, second.do(text("t-4", 19)), 200, events(twoEvents("t-4")...))
	for _, r := range []*harness{first, second} {
		assertNotExecuted(t, r.do(turnRequest("t-1", "", "p", "X-Deadline-Ms: 500\r\n", "in")))
	}
	assert.Equal(t, len(e.Requests()), 2)
}

// A turn that could not be stored in time is charged for the events that its client may have received, not for its maximum.
func TestTurn_NotStoredIsChargedForEventsWritten(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	released := make(chan *tierv1.SettleRequest, 1)
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		q, ok := m.Request.(*tierv1.SettleRequest)
		if !ok {
			return m.Serve()
		}
		if q.Attempt == "t-1" && q.Stored {
			return tiertest.ErrMessageLost
		}
		err := m.Serve()
		if err == nil && q.Attempt == "t-1" {
			released <- q
		}
		return err
	})
	const budget = "Budget: 10\r\nX-Token-Usage: 5,%d\r\n"
	got := r.do(turnRequest("t-1", "", "p", "X-Deadline-Ms: 700\r\n"+fmt.Sprintf(budget, 9), "in"))
	assert.Assert(t, got.Err != nil, "looks complete: %+v", got)
	settlement := tiertest.WaitFor(t, "the reservation is released", released)
	assert.Equal(t, settlement.Tokens, uint64(2))
	assert.Equal(t, r.do(turnRequest("t-2", "", "p", fmt.Sprintf(budget, 9), "in")).Status, 402)
	assert.Equal(t, r.do(turnRequest("t-3", "", "p", fmt.Sprintf(budget, 8), "in")).Status, 200)
}

// A stream that exceeds its deadline is ended soon after the deadline, even if no turn store confirms its release.
func TestTurn_OverdueEndsThoughReleaseIsDelayed(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) { beginStream(a, 1); a.AwaitClose() })
	r := startUnconfigured(t, func(s *settings.Settings) { s.ContactWindow = time.Minute })
	r.controlPlane.SetConfiguration(configurationOf(1, ""))
	r.listEndpoints(e)
	r.controlPlane.SetPartitionMap(r.turnStores.Assign([2]int{0, 1}))
	r.controlPlane.AwaitAcknowledged(t)
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		if m.Method == "Settle" {
			<-m.Ctx.Done()
			return m.Ctx.Err()
		}
		return m.Serve()
	})
	const deadline = 300 * time.Millisecond
	eventuallyWithinLimit(t, func(try int) time.Duration {
		began := time.Now()
		got := r.do(turnRequest(fmt.Sprintf("t-%d", try), "", "p", fmt.Sprintf("X-Deadline-Ms: %d\r\n", deadline.Milliseconds()), "in"))
		assert.Assert(t, got.Err != nil, "looks complete: %+v", got)
		return time.Since(began) - deadline
	})
}
