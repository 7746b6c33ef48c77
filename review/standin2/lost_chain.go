package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case lost-chain: programs run turns and start sub-agents whose first turns go on from turns of other programs. In each round one of
// eight endpoints crashes while the turns run. Every body that reaches an endpoint must be the chain's inputs and outputs followed by the
// new input.
const (
	chainEndpoints = 8 // one that crashes is 0.125 of them
	chainRounds    = 6
	chainSources   = 12 // turns of earlier programs
	chainPrograms  = 120
	chainAgents    = 3                     // sub-agents of a program
	chainBudget    = 100                   // tokens of a program
	longTurnTokens = 100                   // the most of a long turn
	agentTokens    = 60                    // the most of a sub-agent's turn
	longTurnEvents = 45                    // of a long turn
	longTurnPause  = 80 * time.Millisecond // between its events
	longTurnLead   = 800 * time.Millisecond
	agentSpread    = 30 * time.Millisecond // the sub-agents of a round begin within this time before the crash
	agentAfter     = 10 * time.Millisecond // and this time after it
	listedFor      = 2 * time.Second       // how long the list shows an endpoint that has crashed
	roundPause     = 6 * time.Second
	finalRounds    = 2 // with FINAL=1; they fit into recovery_time_s
	finalPause     = 2 * time.Second
	downTime       = 1300 * time.Millisecond // of all processes
)

func init() { cases["lost-chain"] = lostChain }

// bodyRecorder records what endpoints run, and what they should.
type bodyRecorder struct {
	lab *lab

	mu      sync.Mutex
	want    map[string]string // prompts by the input, which is unique
	checked int
	broken  []string
}

// expect records the prompt that belongs to an input.
func (b *bodyRecorder) expect(input, prompt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.want[input] = prompt
}

// ran checks the body of a run.
func (b *bodyRecorder) ran(r *http.Request, body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := strings.SplitAfter(strings.TrimSuffix(body, "\n"), "\n")
	input := lines[len(lines)-1] + "\n"
	want, known := b.want[input]
	b.checked++
	if !known || want != body {
		b.broken = append(b.broken, fmt.Sprintf("UNASKED: attempt %s of program %s with Previous %s ran on %q, but its prompt is %q",
			r.Header.Get("X-Attempt-Id"), r.Header.Get("Program"), r.Header.Get("Previous"), body, want))
	}
}

// serve runs a turn: a long one if its input says so.
func (b *bodyRecorder) serve(w http.ResponseWriter, r *http.Request, body string) {
	b.ran(r, body)
	w.Header().Set("Content-Type", "text/event-stream")
	events, pause := 4, 2*time.Millisecond
	if strings.HasSuffix(body, " at length\n") {
		events, pause = longTurnEvents, longTurnPause
	}
	for n := range events {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if !sendEvent(w, n+1, fmt.Sprintf("%s says %d", r.Header.Get("X-Attempt-Id"), n+1)) {
			panic(http.ErrAbortHandler)
		}
	}
}

// lostChain plays the case.
func lostChain(l *lab, trouble bool) (verdict, error) {
	recorder := &bodyRecorder{lab: l, want: map[string]string{}}
	for range chainEndpoints {
		if err := l.platform.add(recorder.serve); err != nil {
			return verdict{}, err
		}
	}
	if err := l.start(tierSize{cores: 3, stores: 4, gateways: 2}); err != nil {
		return verdict{}, err
	}
	if err := l.configure(); err != nil {
		return verdict{}, err
	}
	rounds, pause := chainRounds, roundPause
	var sources []source
	final := os.Getenv("FINAL") == "1"
	if final {
		rounds, pause = finalRounds, finalPause
		var err error
		if sources, err = recorder.sources(0); err != nil {
			return verdict{}, err
		}
		if err := l.finalFault(); err != nil {
			return verdict{}, err
		}
	}
	for round := range rounds {
		if !final {
			var err error
			if sources, err = recorder.sources(round); err != nil {
				return verdict{}, err
			}
		}
		recorder.round(round, sources, trouble)
		if trouble {
			if err := l.platform.add(recorder.serve); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(pause)
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return verdict{checked: recorder.checked, broken: recorder.broken}, nil
}

// finalFault kills all processes of the tier, starts them again, and waits until the gateways are ready.
func (l *lab) finalFault() error {
	l.note("all processes are killed")
	for _, m := range l.machines {
		m.kill()
	}
	time.Sleep(downTime)
	for _, m := range l.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	if err := l.awaitReady(time.Now().Add(startTime)); err != nil {
		return err
	}
	l.note("the gateways are ready")
	return nil
}

// source is a turn that was answered whole, and its part of the prompt of the next.
type source struct{ id, transcript string }

// sources has the turns of earlier programs answered.
func (b *bodyRecorder) sources(round int) (list []source, err error) {
	for n := range chainSources {
		t := turn{program: fmt.Sprintf("a%d-%d", round, n), session: "s", input: fmt.Sprintf("a%d-%d asks\n", round, n), budget: 10 * chainBudget, maxTokens: 20}
		b.expect(t.input, t.input)
		a := b.lab.send(context.Background(), b.lab.frontend(n%2), t)
		if a.status != http.StatusOK || !a.complete {
			return nil, fmt.Errorf("a turn before the trouble got %d", a.status)
		}
		list = append(list, source{id: a.id, transcript: transcriptOf(t.input, a.events)})
	}
	return list, nil
}

// round runs the programs of a round, and has an endpoint crash in its middle.
func (b *bodyRecorder) round(round int, sources []source, trouble bool) {
	var running sync.WaitGroup
	middle := time.Now().Add(longTurnLead)
	var mu sync.Mutex
	counts := map[string]int{}
	count := func(kind string, a answer) {
		mu.Lock()
		defer mu.Unlock()
		counts[fmt.Sprintf("%s %d whole %v", kind, a.status, a.complete)]++
	}
	for n := range chainPrograms {
		name := fmt.Sprintf("b%d-%d", round, n)
		gateway := b.lab.frontend(n % 2)
		var ended atomic.Bool // a program that gets a 402 ends at once
		if n%3 != 0 {         // every third program has its whole budget left for its sub-agents
			running.Go(func() {
				input := name + " asks at length\n"
				b.expect(input, input)
				a := b.lab.send(context.Background(), gateway, turn{program: name, session: "main", input: input, budget: chainBudget, maxTokens: longTurnTokens})
				count("long turn", a)
			})
		}
		for agent := range chainAgents {
			running.Go(func() {
				from := sources[rand.N(len(sources))]
				input := fmt.Sprintf("%s agent %d asks\n", name, agent)
				b.expect(input, from.transcript+input)
				time.Sleep(time.Until(middle) - agentSpread + rand.N(agentSpread+agentAfter))
				if ended.Load() {
					return
				}
				a := b.lab.send(context.Background(), gateway, turn{program: name, session: fmt.Sprint("agent", agent), previous: from.id, input: input,
					budget: chainBudget, maxTokens: agentTokens})
				if a.status == http.StatusPaymentRequired {
					ended.Store(true)
				}
				count("sub-agent", a)
			})
		}
	}
	time.Sleep(time.Until(middle))
	if trouble {
		b.lab.platform.mu.Lock()
		victim := b.lab.platform.endpoints[0]
		b.lab.platform.mu.Unlock()
		victim.crash(listedFor)
	}
	running.Wait()
	b.lab.note("round %d: %v", round, counts)
}
