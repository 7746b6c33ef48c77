package simulation

import (
	"fmt"
	"slices"
	"sync"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// turnChecker checks what gateways are answered by turn stores: no turn that was kept is missing or changed, no budget is exceeded, and
// none is called spent that has room.
type turnChecker struct {
	report reporter

	mu          sync.Mutex
	programs    map[string]*program
	attempts    map[string]*attempt
	number      int
	events      int // that were noted: the order of what was begun and settled
	turnsServed int
	answered    int            // by endpoints
	runs        map[string]int // of endpoints, by attempt
}

// program is a budget and the attempts charged to it.
type program struct {
	name      string
	budget    uint64
	attempts  []*attempt
	exhausted bool
}

// attempt is a turn on its way.
type attempt struct {
	id, previous       string
	program            *program
	maxTokens, tokens  uint64
	reserved           bool // Begin was answered OK
	settleSent         bool // Settle was sent
	settleAcknowledged bool // Settle was answered OK
	began, ended       int  // when it began and was settled, in events
	stored             bool // and the turn is to be kept
}

func (a *attempt) String() string {
	return fmt.Sprintf("%s of %s after %q, at most %d tokens", a.id, a.program.name, a.previous, a.maxTokens)
}

func (a *attempt) output() string { return "out of " + a.id + "\n" }

func (a *attempt) turn() *tierv1.Turn {
	return &tierv1.Turn{Attempt: a.id, Previous: a.previous, Program: a.program.name, Input: []byte("in of " + a.id),
		Output: []byte(a.output()), RetentionMs: uint32(retention.Milliseconds())}
}

func newTurnChecker(report reporter) *turnChecker {
	return &turnChecker{report: report, programs: map[string]*program{}, attempts: map[string]*attempt{}, runs: map[string]int{}}
}

// program gives the newest generation of a program: where the budget of one is spent, another follows.
func (c *turnChecker) program(place int) *program {
	c.mu.Lock()
	defer c.mu.Unlock()
	for generation := 0; ; generation++ {
		name := fmt.Sprintf("program-%d-%d", place, generation)
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

// begin notes an attempt before it is first sent.
func (c *turnChecker) begin(p *program, previous string, most, tokens uint64) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	c.events++
	a := &attempt{id: fmt.Sprint("attempt-", c.number), previous: previous, program: p, maxTokens: most, tokens: tokens, began: c.events}
	p.attempts = append(p.attempts, a)
	c.attempts[a.id] = a
	return a
}

// storedTurns gives the ids of a program's kept turns, in the order in which they were begun.
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

// recordVerdict takes the verdict on an attempt, with the chain that came with OK.
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
	}
}

// checkChain checks that all turns before an attempt came with it. The lock is held.
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

// minCharge is what is charged to a program in any case. The lock is held.
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

// maxCharge is what may have been charged to a program at most, but for one attempt, at some time since that began. The
// lock is held.
func (p *program) maxCharge(but *attempt) (sum uint64) {
	for _, a := range p.attempts {
		switch {
		case a == but:
		case a.settleAcknowledged && a.ended < but.began:
			sum += a.tokens
		default:
			sum += a.maxTokens
		}
	}
	return sum
}

// recordSettling notes that an attempt's settlement is sent.
func (c *turnChecker) recordSettling(a *attempt, kept bool, tokens uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.settleSent, a.stored, a.tokens = true, kept, tokens
}

// recordSettled notes that it is durable.
func (c *turnChecker) recordSettled(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events++
	a.settleAcknowledged, a.ended = true, c.events
	c.turnsServed++
}

// recordRun notes that an endpoint runs an attempt, which may never be sent twice.
func (c *turnChecker) recordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if c.runs[id] > 1 {
		c.report(RuleOnce, "%s came to an endpoint %d times", id, c.runs[id])
	}
}

// recordResponse notes what a caller heard of an endpoint.
func (c *turnChecker) recordResponse(a *attempt, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	if answer != a.output() {
		c.report(RuleCaller, "the caller of %s was given %q", a.id, answer)
	}
}
