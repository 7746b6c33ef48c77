package simulation

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"saffronyard.example/saffronyard/internal/tier/gateway"
	"saffronyard.example/saffronyard/internal/tier/session"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// What clients do, and how long a gateway waits.
const (
	minClientIdle    = 200 * time.Millisecond
	maxClientIdle    = 1000 * time.Millisecond
	turnStoreTimeout = 5 * time.Second // of a Begin or a Settle, over all its calls
	endpointTimeout  = time.Second     // of a call to an endpoint
	maxTurnTokens    = 30              // tokens that a turn may cost
	unstoredOneIn    = 4               // one turn in this many is of a route that does not store turns
	abortedOneIn     = 8               // one in this many of the other turns is not stored, as its response was incomplete
	sampleInterval   = 100 * time.Millisecond
	attemptHeader    = "X-Attempt-Id"
)

// staleBound is how long after an acknowledgement a gateway may still receive the state before it from a deposed primary. The
// primary stops answering a third of the contact window after its last confirmed round trip, and a call that the primary has
// answered ends within a sixth plus a tenth of the window after the call began.
const staleBound = contactWindow/3 + contactWindow/6 + contactWindow/10

// gatewayRole is a gateway without its connections: it has a session, a client of the turn stores, and simulated clients.
type gatewayRole struct {
	process *process
	session *session.Client
	client  *gateway.TurnClient
	random  *rand.Rand
}

// start implements role.
func (g *gatewayRole) start(p *process) error {
	m := p.machine
	g.process, g.random = p, m.world.randomFor(fmt.Sprint(m.name, " life ", m.incarnations()))
	g.client = gateway.NewTurnClient(m.settings, p.dialTurnStore)
	g.session = session.New(session.Config{Settings: m.settings, Role: string(roleGateway), Dial: p.dialControlPlane, Log: p.log,
		Configuration: g.applyConfiguration, PartitionMap: g.applyPartitionMap})
	go g.session.Run(p.ctx)
	go g.sampleStaleness()
	for range clientsPerGateway {
		random := rand.New(rand.NewPCG(g.random.Uint64(), 0))
		m.world.load.Go(func() { g.runClient(random) })
	}
	return nil
}

// leave implements role.
func (g *gatewayRole) leave(context.Context) { g.session.Drain() }

// applyConfiguration records a configuration that the session received.
func (g *gatewayRole) applyConfiguration(c *tierv1.Configuration) {
	if g.process.ended() {
		return
	}
	m := g.process.machine
	m.world.checks.views.recordConfiguration(m.name, g.process, c, m.world.checks.configuration.recordReceived(string(c.Body)))
}

// applyPartitionMap records a partition map that the session received, and applies it to the client of turn stores.
func (g *gatewayRole) applyPartitionMap(t *tierv1.PartitionMap) {
	if !g.process.ended() {
		g.process.machine.world.checks.views.recordPartitionMap(g.process.machine.name, g.process, t)
	}
	g.client.ApplyPartitionMap(t)
}

// sampleStaleness checks at intervals that the gateway's configuration is not stale.
func (g *gatewayRole) sampleStaleness() {
	w := g.process.machine.world
	for !g.process.ended() {
		w.sleep(sampleInterval)
		active, since := g.session.Active()
		lastContact := w.now() - since
		time.Sleep(time.Microsecond) // by then the session has applied the content of the reply
		if active && !g.process.ended() {
			w.checks.configuration.checkStaleness(g.process.machine.name, w.checks.views.currentRevision(g.process), lastContact, staleBound)
		}
	}
}

// runClient sends one turn after the other.
func (g *gatewayRole) runClient(random *rand.Rand) {
	w := g.process.machine.world
	for w.loadRunning() && !g.process.ended() {
		w.sleep(minClientIdle + time.Duration(random.Int64N(int64(maxClientIdle-minClientIdle))))
		if g.client.Ready() && !g.process.ended() {
			g.turn(random)
		}
	}
}

// turn runs a turn of some program, and reports whether it was served, or rejected because its budget is spent.
func (g *gatewayRole) turn(random *rand.Rand) bool {
	checks := g.process.machine.world.checks.turns
	program := checks.program(random.IntN(programCount))
	previousProgram := program
	if random.IntN(16) == 0 { // it continues a turn of another program
		previousProgram = checks.program(random.IntN(programCount))
	}
	maxTokens := 1 + random.Uint64N(maxTurnTokens)
	if random.IntN(unstoredOneIn) == 0 { // the program's stored turns share its budget with this turn
		return g.runTurn(checks.begin(program, "", maxTokens, 1+random.Uint64N(maxTokens)), false)
	}
	previous := ""
	if stored := checks.storedTurns(previousProgram); len(stored) > 0 && random.IntN(10) > 0 {
		previous = stored[len(stored)-1]
		if random.IntN(6) == 0 { // a turn that other turns may already continue
			previous = stored[random.IntN(len(stored))]
		}
	}
	a := checks.begin(program, previous, maxTokens, 1+random.Uint64N(maxTokens))
	return g.runTurn(a, random.IntN(abortedOneIn) > 0)
}

// runTurn runs an attempt: Begin, the endpoint, Settle.
func (g *gatewayRole) runTurn(a *attempt, store bool) bool {
	w := g.process.machine.world
	verdict, chain := g.begin(a)
	w.trace("%s: %v: %v", g.process.machine.name, a, verdict)
	checks := w.checks.turns
	if g.process.ended() {
		return false
	}
	checks.recordVerdict(a, verdict, chain)
	if verdict != tierv1.Verdict_OK {
		return verdict == tierv1.Verdict_SPENT
	}
	response, err := g.callEndpoint(a)
	if g.process.ended() {
		return false
	}
	req := &tierv1.SettleRequest{Program: a.program.name, Attempt: a.id}
	if err == nil {
		checks.recordResponse(a, response)
		req.Tokens, req.Stored = a.tokens, store
	}
	if req.Stored {
		req.Turn = a.turn()
	}
	checks.recordSettling(a, req.Stored, req.Tokens)
	ctx, cancel := context.WithTimeout(g.process.ctx, turnStoreTimeout)
	defer cancel()
	durable := g.client.Settle(ctx, req)
	w.trace("%s: %v: settled with %d tokens: %v", g.process.machine.name, a, req.Tokens, durable)
	if !durable || g.process.ended() {
		return false
	}
	checks.recordSettled(a)
	return err == nil
}

// begin asks a turn store to begin an attempt.
func (g *gatewayRole) begin(a *attempt) (tierv1.Verdict, []*tierv1.Turn) {
	ctx, cancel := context.WithTimeout(g.process.ctx, turnStoreTimeout)
	defer cancel()
	return g.client.Begin(ctx, &tierv1.BeginRequest{Program: a.program.name, Attempt: a.id, Previous: a.previous, Limited: true,
		Budget: a.program.budget, MaxTokens: a.maxTokens, RetentionMs: uint32(retention.Milliseconds())})
}

// callEndpoint has an endpoint run an attempt, once.
func (g *gatewayRole) callEndpoint(a *attempt) (string, error) {
	ctx, cancel := context.WithTimeout(g.process.ctx, endpointTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpointIP+":"+outsidePort+runPath, nil)
	if err != nil {
		return "", err
	}
	r.Header.Set(attemptHeader, a.id)
	response, err := g.process.link.Do(r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
