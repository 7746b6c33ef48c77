package simulation

import (
	"fmt"
	"slices"
	"sync"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// turnChecker checks the replies of turn stores to gateways: no stored turn is missing or changed, no budget is exceeded, and none is
// reported as exhausted while it has room.
type turnChecker struct {
	report reporter

	mu          sync.Mutex
	programs    map[string]*program
	attempts    map[string]*attempt
	number      int
	events      int // sequence number of the last begin or settlement
	turnsServed int
	answered    int            // responses of endpoints
	runs        map[string]int // runs at endpoints, by attempt
}

// program is a budget and the attempts charged to it.
type program struct {
	name      string
	budget    uint64
	attempts  []*attempt
	exhausted bool
}

// attempt is one attempt of a turn.
type attempt struct {
	id, previous       string
	program            *program
	maxTokens, tokens  uint64
	reserved           bool // Begin was answered OK
	settleSent         bool // Settle was sent
	settleAcknowledged bool // Settle was answered OK
	began, ended       int  // when it began and was settled, in events
	stored             bool // the turn is to be stored
}

// String returns the attempt as violations name it.
func (a *attempt) String() string {
	return fmt.Sprintf("%s of %s after %q, at most %d tokens", a.id, a.program.name, a.previous, a.maxTokens)
}

// output is the text that the attempt generates.
func (a *attempt) output() string { return "out of " + a.id + "\n" }

// turn is the turn as it is stored.
func (a *attempt) turn() *tierv1.Turn {
	return &tierv1.Turn{Attempt: a.id, Previous: a.previous, Program: a.program.name, Input: []byte("in of " + a.id),
		Output: []byte(a.output()), RetentionMs: uint32(retention.Milliseconds())}
}

// newTurnChecker returns a checker that has seen no attempt.
func newTurnChecker(report reporter) *turnChecker {
	return &turnChecker{report: report, programs: map[string]*program{}, attempts: map[string]*attempt{}, runs: map[string]int{}}
}

// program returns the newest generation of a program: when the budget of a generation is exhausted, the next one begins.
func (c *turnChecker) program(index int) *program {
	c.mu.Lock()
	defer c.mu.Unlock()
	for generation := 0; ; generation++ {
		name := fmt.Sprintf("program-%d-%d", index, generation)
		p := c.programs[name]
		if p == nil {
			p = &program{name: name, budget: programBudget}
			c.programs[name] = p
		}
		if !p.exhausted {
			return p
		}
	}
}

// begin records an attempt before it is first sent.
func (c *turnChecker) begin(p *program, previous string, maxTokens, tokens uint64) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	c.events++
	a := &attempt{id: fmt.Sprint("attempt-", c.number), previous: previous, program: p, maxTokens: maxTokens, tokens: tokens, began: c.events}
	p.attempts = append(p.attempts, a)
	c.attempts[a.id] = a
	return a
}

// storedTurns returns the ids of a program's stored turns, in the order in which they were begun.
func (c *turnChecker) storedTurns(p *program) (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range p.attempts {
		if a.settleAcknowledged && a.stored {
			ids = append(ids, a.id)
		}
	}
	return ids
}

// recordVerdict records the reply to Begin, with the chain of turns that came with OK.
func (c *turnChecker) recordVerdict(a *attempt, verdict tierv1.Verdict, chain []*tierv1.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch verdict {
	case tierv1.Verdict_OK:
		a.reserved = true
		c.checkChain(a, chain)
		if charged := a.program.minCharge(); charged > a.program.budget {
			c.report(RuleBudget, "%s was granted: at least %d tokens of %s are charged, of %d", a.id, charged, a.program.name, a.program.budget)
		}
	case tierv1.Verdict_SPENT:
		a.program.exhausted = true
		if charged := a.program.maxCharge(a); charged+a.maxTokens <= a.program.budget {
			c.report(RuleBudgetExhausted, "%s was refused as spent: at most %d tokens of %s are charged, of %d", a.id, charged, a.program.name, a.program.budget)
		}
	case tierv1.Verdict_UNKNOWN:
		if p := c.attempts[a.previous]; p != nil && p.settleAcknowledged && p.stored {
			c.report(RuleTurn, "%s goes on from %s, which was kept and is called unknown", a.id, a.previous)
		}
	default: // MOVED or BUSY: the turn store decided nothing
	}
}

// checkChain checks that the reply to an attempt has all turns before the attempt, in their order. The caller holds mu.
func (c *turnChecker) checkChain(a *attempt, chain []*tierv1.Turn) {
	var want, got []string
	for at := c.attempts[a.previous]; at != nil; at = c.attempts[at.previous] {
		want = append(want, at.id+": "+at.output())
	}
	slices.Reverse(want)
	for _, t := range chain {
		got = append(got, t.Attempt+": "+string(t.Output))
	}
	if !slices.Equal(want, got) {
		c.report(RuleTurn, "%s goes on from %q, and got %q", a.id, want, got)
	}
}

// minCharge returns the minimum of the tokens that are charged to a program. The caller holds mu.
func (p *program) minCharge() (sum uint64) {
	for _, a := range p.attempts {
		switch {
		case a.settleSent:
			sum += a.tokens
		case a.reserved:
			sum += a.maxTokens
		}
	}
	return sum
}

// maxCharge returns the maximum of the tokens that may have been charged to a program at any time since an attempt began, without those
// of the attempt itself. The caller holds mu.
func (p *program) maxCharge(excluded *attempt) (sum uint64) {
	for _, a := range p.attempts {
		switch {
		case a == excluded:
		case a.settleAcknowledged && a.ended < excluded.began:
			sum += a.tokens
		default:
			sum += a.maxTokens
		}
	}
	return sum
}

// recordSettling records that an attempt's settlement is sent.
func (c *turnChecker) recordSettling(a *attempt, stored bool, tokens uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.settleSent, a.stored, a.tokens = true, stored, tokens
}

// recordSettled records that the settlement of an attempt is durable.
func (c *turnChecker) recordSettled(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events++
	a.settleAcknowledged, a.ended = true, c.events
	c.turnsServed++
}

// recordRun records that an endpoint runs an attempt, which must be sent at most once.
func (c *turnChecker) recordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if c.runs[id] > 1 {
		c.report(RuleOnce, "%s came to an endpoint %d times", id, c.runs[id])
	}
}

// recordResponse records the response that the caller of an endpoint received.
func (c *turnChecker) recordResponse(a *attempt, response string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	if response != a.output() {
		c.report(RuleCaller, "the caller of %s was given %q", a.id, response)
	}
}

// minCharge returns the minimum of the tokens that are charged to a program.
func (c *turnChecker) minCharge(p *program) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.minCharge()
}

// newestStoredTurns returns the last stored turn of each program.
func (c *turnChecker) newestStoredTurns() (ids []string) {
	for _, p := range c.allPrograms() {
		if stored := c.storedTurns(p); len(stored) > 0 {
			ids = append(ids, stored[len(stored)-1])
		}
	}
	return ids
}

// allPrograms returns all programs, in the order of their names.
func (c *turnChecker) allPrograms() (list []*program) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.programs {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *program) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}
