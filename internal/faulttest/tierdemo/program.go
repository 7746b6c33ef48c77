package tierdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	turnTime            = 6 * time.Second // time-out of a request for a turn, with its attempts
	toolTime            = 4 * time.Second // time-out of a tool call, with its attempts
	maxAttempts         = 12
	turnRetries         = 2 // further requests for a turn that failed
	maxTurnTokens       = 24
	smallBudgetInterval = 6 // every sixth program has a budget that is too small for its turns
)

// Outcome is how a program ended.
type Outcome int

// The outcomes.
const (
	Completed       Outcome = iota
	BudgetExhausted         // a turn was correctly rejected because the budget did not suffice
	Failed                  // a turn failed three times, or a tool call failed
	Interrupted             // interrupted by the end of the demo
)

// program is one agent program: consecutive turns with tool calls between them, and sometimes a concurrent sub-agent.
type program struct {
	name           string
	caller         *caller
	recorder       *recorder
	budget         *budget
	mayHaveCharged bool // an attempt that failed may have run, and its reservation may have been charged to the budget
	mu             sync.Mutex
	failure        string
}

// newProgram returns the n-th program.
func newProgram(n int, caller *caller, recorder *recorder) *program {
	made := &program{name: fmt.Sprintf("p%d-%x", n, rand.Uint32()), caller: caller, recorder: recorder}
	made.budget = &budget{limit: 50 * maxTurnTokens, maxPerTurn: maxTurnTokens}
	if n%smallBudgetInterval == smallBudgetInterval-1 {
		made.budget.limit = 2 * maxTurnTokens
	}
	return made
}

// hasSmallBudget reports whether the budget is too small for the turns of the program.
func (program *program) hasSmallBudget() bool { return program.budget.limit < 10*maxTurnTokens }

// fail records why the program failed, the first time.
func (program *program) fail(why string, args ...any) {
	program.mu.Lock()
	defer program.mu.Unlock()
	if program.failure == "" {
		program.failure = fmt.Sprintf(why, args...)
	}
}

// run runs the program to its end.
func (program *program) run(ctx context.Context) (outcome Outcome, why string) {
	turns := 3 + rand.N(3)
	if program.hasSmallBudget() {
		turns = 8
	}
	var subAgents sync.WaitGroup
	subAgentOutcome := Completed
	previous := ""
	for n := range turns {
		id, got := program.turn(ctx, "main", previous, fmt.Sprintf("%s asks %d\n", program.name, n+1))
		if outcome = got; outcome != Completed {
			break
		}
		previous = id
		if n == 1 && !program.hasSmallBudget() && rand.N(3) == 0 {
			subAgents.Go(func() { subAgentOutcome = program.agent(ctx, id) })
		}
		if outcome = program.tools(ctx, rand.N(3)); outcome != Completed {
			break
		}
		sleep(ctx, rand.N(60*time.Millisecond))
	}
	subAgents.Wait()
	if outcome == Completed {
		outcome = subAgentOutcome
	}
	program.mu.Lock()
	defer program.mu.Unlock()
	return outcome, program.failure
}

// agent runs a sub-agent: two turns that continue a turn of its parent.
func (program *program) agent(ctx context.Context, previous string) Outcome {
	for n := range 2 {
		id, outcome := program.turn(ctx, "agent", previous, fmt.Sprintf("%s sends an agent for %d\n", program.name, n+1))
		if outcome != Completed {
			return outcome
		}
		previous = id
	}
	return Completed
}

// turn runs one turn, with retries, and returns the id of its last attempt.
func (program *program) turn(ctx context.Context, sessionSuffix, previous, input string) (id string, outcome Outcome) {
	begun := time.Now()
	request := request{path: turnPath + "x", timeout: turnTime, maxAttempts: maxAttempts, attempt: attempt{program: program.budget, previous: previous, input: input},
		header: map[string]string{"Program": program.name, "Session": program.name + "-" + sessionSuffix, "Finish-Ms": "20000",
			"Budget": strconv.Itoa(program.budget.limit), "X-Token-Usage": fmt.Sprintf("%d,%d", len(input), maxTurnTokens), "X-Model": "m"}}
	if previous != "" {
		request.header["Previous"] = previous
	}
	var answer response
	for retries := 0; ; retries++ {
		id, answer = program.caller.sendWithRetries(ctx, request)
		if answer.complete && answer.status == 200 {
			program.recorder.turn(answer.firstEventAt.Sub(begun))
			return id, Completed
		}
		if ctx.Err() != nil {
			return id, Interrupted
		}
		if answer.status == 402 && program.mayBeExhausted() {
			return id, BudgetExhausted
		}
		if answer.final() || retries == turnRetries {
			program.recorder.turnFailed()
			program.fail("a turn got %d %s", answer.status, strings.TrimSpace(answer.body))
			return id, Failed
		}
		if !answer.notExecuted() {
			program.mu.Lock()
			program.mayHaveCharged = true
			program.mu.Unlock()
		}
		sleep(ctx, 100*time.Millisecond+rand.N(300*time.Millisecond))
	}
}

// mayBeExhausted reports whether the budget may be too small for one more turn.
func (program *program) mayBeExhausted() bool {
	program.mu.Lock()
	defer program.mu.Unlock()
	program.caller.checker.mu.Lock()
	defer program.caller.checker.mu.Unlock()
	return program.mayHaveCharged || program.budget.used+program.budget.maxPerTurn > program.budget.limit
}

// tools makes n concurrent tool calls.
func (program *program) tools(ctx context.Context, n int) Outcome {
	outcomes := make([]Outcome, n)
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() { outcomes[i] = program.tool(ctx, i) })
	}
	calls.Wait()
	for _, o := range outcomes {
		if o != Completed {
			return o
		}
	}
	return Completed
}

// tool makes the i-th tool call. Calls with an odd i are not idempotent.
func (program *program) tool(ctx context.Context, i int) Outcome {
	request := request{path: idempotentPath + "x", timeout: toolTime, maxAttempts: maxAttempts, attempt: attempt{input: program.name + " calls " + strconv.Itoa(i), idempotent: true},
		header: map[string]string{"Program": program.name, "Session": program.name + "-main", "Finish-Ms": "20000"}}
	if i%2 == 1 {
		request.path, request.attempt.idempotent = nonIdempotentPath+"x", false
	}
	_, answer := program.caller.sendWithRetries(ctx, request)
	if answer.complete && answer.status == 200 {
		return Completed
	}
	if ctx.Err() != nil {
		return Interrupted
	}
	program.fail("a call at %s got %d", request.path, answer.status)
	return Failed
}
