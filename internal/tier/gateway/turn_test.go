package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// talk streams events that tell the attempt.
func talk(a *tiertest.ReceivedRequest) { a.WriteStream(said(a.AttemptID)...) }

// said is the data of the events that talk streams for an attempt.
func said(id string) []string { return []string{"one of " + id, "two of " + id} }

// output is what a turn that talk answered adds to a chain.
func output(id string) string { return "one of " + id + "\ntwo of " + id + "\n" }

func TestTurn_PromptFromChain(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	r := startGateway(t, e)
	want := map[string]string{"t-1": "in 1;"}
	assertAnswer(t, r.do(turnRequest("t-1", "", "p", "", "in 1;")), 200, events(said("t-1")...))
	want["t-2"] = want["t-1"] + output("t-1") + "in 2;"
	assertAnswer(t, r.do(turnRequest("t-2", "t-1", "p", "", "in 2;")), 200, events(said("t-2")...))
	want["t-3"] = want["t-2"] + output("t-2") + "in 3;"
	assertAnswer(t, r.do(turnRequest("t-3", "t-2", "p", "", "in 3;")), 200, events(said("t-3")...))
	want["t-2b"] = want["t-1"] + output("t-1") + "in 2b;" // beside t-2
	assertAnswer(t, r.do(turnRequest("t-2b", "t-1", "p", "", "in 2b;")), 200, events(said("t-2b")...))
	for _, a := range e.Requests() {
		assert.Equal(t, a.BodyText, want[a.AttemptID], a.AttemptID)
	}
	assert.Equal(t, len(e.Requests()), 4)
	assert.Equal(t, r.do(turnRequest("t-9", "t-none", "p", "", "x")).Status, 404)
	assert.Equal(t, len(e.Requests()), 4)
}

// The data lines of an event count, joined by line feeds; what has none counts for nothing.
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
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	r := startGateway(t, e)
	asked, release := make(chan struct{}, 16), make(chan struct{})
	var released atomic.Bool
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		if m.Method == "Settle" {
			asked <- struct{}{}
			<-release
		}
		return m.Serve()
	})
	c := tiertest.Connect(t, r.ingress)
	head := sendTurn(t, c, "t-1")
	tiertest.WaitFor(t, "the turn store is asked to keep the turn", asked)
	assert.Assert(t, !c.EndsSoon(), "the end left before the turn was kept")
	released.Store(true)
	close(release)
	rest, err := io.ReadAll(head.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
	assert.Equal(t, r.do(turnRequest("t-2", "t-1", "p", "", "more")).Status, 200)
}

// The end waits for the backup, too.
func TestTurn_EndOnlyWhenBackupHasIt(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	r := startGateway(t, e)
	var off atomic.Bool
	refused := make(chan struct{}, 1000)
	r.turnStores.List[1].SetInterceptor(func(m tiertest.RPC) error {
		if off.Load() {
			select {
			case refused <- struct{}{}:
			default:
			}
			return tiertest.ErrMessageLost
		}
		return m.Serve()
	})
	e.SetHandler(func(a *tiertest.ReceivedRequest) {
		off.Store(true)
		talk(a)
	})
	c := tiertest.Connect(t, r.ingress)
	head := sendTurn(t, c, "t-1")
	tiertest.WaitFor(t, "the backup is asked", refused)
	assert.Assert(t, !c.EndsSoon(), "the end left before the backup had the turn")
	off.Store(false)
	_, err := io.ReadAll(head.Body)
	assert.NilError(t, err)
}

func TestTurn_AbortedIfNotStored(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
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
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	r := startGateway(t, e)
	ask := func(id string, most int) int {
		return r.do(turnRequest(id, "", "p", fmt.Sprintf("Budget: 10\r\nX-Token-Usage: 5,%d\r\n", most), "in")).Status
	}
	assert.Equal(t, ask("t-1", 11), 402)
	assert.Equal(t, len(e.Requests()), 0)
	assert.Equal(t, ask("t-2", 10), 200) // two events: 2 tokens
	assert.Equal(t, ask("t-3", 9), 402)
	assert.Equal(t, ask("t-4", 8), 200)
	assert.Equal(t, len(e.Requests()), 2)
	assert.Equal(t, r.do(turnRequest("t-5", "", "p", "Budget: ten\r\n", "in")).Status, 400)
	assert.Equal(t, len(e.Requests()), 2)
}

// settled tells of the settlements that a turn store has taken.
func settled(v *tiertest.TurnStore) <-chan *tierv1.SettleRequest {
	all := make(chan *tierv1.SettleRequest, 1000)
	v.SetInterceptor(func(m tiertest.RPC) error {
		err := m.Serve()
		if q, ok := m.Request.(*tierv1.SettleRequest); ok && err == nil {
			all <- q
		}
		return err
	})
	return all
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
		"after three events": {func(a *tiertest.ReceivedRequest, read <-chan struct{}) { say(a, 3); <-read; a.Reset() }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) { c.script(a, read) })
			r := startGateway(t, e)
			ends := settled(r.turnStores.List[0])
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
			e.SetHandler(talk)
			assert.Equal(t, r.do(turnRequest("t-2", "", "p", fmt.Sprintf(budget, 101-c.charge), "in")).Status, 402)
			assert.Equal(t, r.do(turnRequest("t-3", "", "p", fmt.Sprintf(budget, 100-c.charge), "in")).Status, 200)
			assert.Equal(t, r.do(turnRequest("t-4", "t-1", "p", "", "in")).Status, 404)
		})
	}
}

// say begins a stream with so many events.
func say(a *tiertest.ReceivedRequest, n int) {
	a.WriteStreamHead()
	for i := range n {
		a.WriteEvent(i+1, "x")
	}
}

// A client that goes pays for what it was handed.
func TestTurn_ClientGoneIsCharged(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) { say(a, 2); a.AwaitClose() })
	r := startGateway(t, e)
	ends := settled(r.turnStores.List[0])
	c := tiertest.Connect(t, r.ingress)
	c.Send(turnRequest("t-1", "", "p", "Budget: 10\r\nX-Token-Usage: 5,9\r\n", "in"))
	head := c.ReadHead()
	c.ReadEvent(head.Body)
	c.ReadEvent(head.Body)
	c.Conn.Close()
	assert.Equal(t, tiertest.WaitFor(t, "the reservation ends", ends).Tokens, uint64(2))
}

// A program goes on from the turn of another one, whichever partition that lies in.
func TestTurn_ContinuesAnotherProgram(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	r := startUnconfigured(t)
	r.configure(r.turnStores.Assign([2]int{0, 1}, [2]int{1, 2}, [2]int{2, 0}), e)
	assert.Equal(t, r.do(turnRequest("t-1", "", "p", "", "in 1;")).Status, 200)
	assert.Equal(t, r.do(turnRequest("t-2", "t-1", "p", "", "in 2;")).Status, 200)
	chain := "in 1;" + output("t-1") + "in 2;" + output("t-2")
	for i := range 12 {
		id, program := fmt.Sprintf("u-%d", i), fmt.Sprintf("q-%d", i)
		assert.Equal(t, r.do(turnRequest(id, "t-2", program, "", "in 3;")).Status, 200)
		assert.Equal(t, e.Requests()[2+2*i].BodyText, chain+"in 3;")
		assert.Equal(t, r.do(turnRequest(id+"-next", id, program, "", "in 4;")).Status, 200)
		assert.Equal(t, e.Requests()[3+2*i].BodyText, chain+"in 3;"+output(id)+"in 4;")
	}
}

func TestTurn_NotFoundOnlyIfAllAreCertain(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	r := startUnconfigured(t)
	r.configure(r.turnStores.Assign([2]int{0, 1}, [2]int{1, 0}, [2]int{2, 0}), e)
	ask := func(program string) tiertest.Reply {
		return r.do(turnRequest("t-"+program, "t-none", program, "X-Deadline-Ms: 900\r\n", "in"))
	}
	r.turnStores.List[2].SetUnreachable(true)
	for i := range 6 {
		assertNotExecuted(t, ask(fmt.Sprintf("p-%d", i)))
	}
	r.turnStores.List[2].SetUnreachable(false)
	for i := range 6 {
		got := r.do(turnRequest(fmt.Sprintf("u-%d", i), "t-none", fmt.Sprintf("p-%d", i), "", "in"))
		assert.Equal(t, got.Status, 404)
	}
	assert.Equal(t, len(e.Requests()), 0)
}

func TestTurn_NotSentWithoutTurnStore(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	r := startGateway(t, e)
	for name, via := range map[string]func(tiertest.RPC) error{
		"silent": func(m tiertest.RPC) error { <-m.Ctx.Done(); return m.Ctx.Err() },
		"error":  func(tiertest.RPC) error { return errors.New("no") },
	} {
		r.turnStores.List[0].SetInterceptor(via)
		assertNotExecuted(t, r.do(turnRequest("t-"+name, "", "p", "X-Deadline-Ms: 600\r\n", "in")))
	}
	assert.Equal(t, len(e.Requests()), 0)
}

// The primary turn store loses its power while the endpoint answers; the turn is kept at the one that a new map names.
func TestTurn_TurnStoreDiesWithinTurn(t *testing.T) {
	begun, further := make(chan struct{}), make(chan struct{})
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	r := startGateway(t, e)
	assert.Equal(t, r.do(turnRequest("t-1", "", "p", "", "in 1;")).Status, 200)
	e.SetHandler(pausedStream(begun, further))
	c := tiertest.Connect(t, r.ingress)
	c.Send(turnRequest("t-2", "t-1", "p", "", "in 2;"))
	tiertest.WaitFor(t, "the stream begins", begun)
	r.turnStores.List[0].SetUnreachable(true)
	close(further)
	head := c.ReadHead()
	c.ReadEvent(head.Body)
	c.ReadEvent(head.Body)
	assert.Assert(t, !c.EndsSoon(), "the end left before the turn was kept")
	r.consensus.SetPartitionMap(r.turnStores.Assign([2]int{1, 2}))
	_, err := io.ReadAll(head.Body)
	assert.NilError(t, err)
	e.SetHandler(talk)
	assert.Equal(t, r.do(turnRequest("t-3", "t-2", "p", "", "in 3;")).Status, 200)
	assert.Equal(t, e.Requests()[2].BodyText, "in 1;"+output("t-1")+"in 2;one\ntwo\nin 3;")
}

// A new map ends a call to a turn store that says nothing: the turn need not wait for it.
func TestStoreClient_NewMapEndsCallToUnresponsiveStore(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	r := startGateway(t, e)
	asked := make(chan context.Context, 100)
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		asked <- m.Ctx
		<-m.Ctx.Done()
		return m.Ctx.Err()
	})
	c := tiertest.Connect(t, r.ingress)
	c.Send(turnRequest("t-1", "", "p", "", "in"))
	call := tiertest.WaitFor(t, "the turn store is asked", asked)
	r.consensus.SetPartitionMap(r.turnStores.Assign([2]int{1, 2}))
	assertAnswer(t, c.ReadReply(), 200, events(said("t-1")...))
	until, ok := call.Deadline()
	assert.Assert(t, ok && errors.Is(call.Err(), context.Canceled), "ended by %v, its time by %v", call.Err(), time.Until(until))
}
