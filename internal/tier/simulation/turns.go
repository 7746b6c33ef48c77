package simulation

import (
	"fmt"
	"slices"
	"sync"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// turns checks what gateways are answered by turn stores: no turn that was kept is missing or changed, no budget is exceeded, and
// none is called spent that has room.
type turns struct {
	report reporter

	mu       sync.Mutex
	programs map[string]*program
	attempts map[string]*attempt
	number   int
	events   int // that were noted: the order of what was begun and settled
	served   int
	answered int            // by endpoints
	acts     map[string]int // of endpoints, by attempt
}

// program is a budget and the attempts charged to it.
type program struct {
	name     string
	budget   uint64
	attempts []*attempt
	spent    bool
}

// attempt is a turn on its way.
type attempt struct {
	id, previous string
	program      *program
	most, tokens uint64
	granted      bool // Begin was answered OK
	settling     bool // Settle was sent
	settled      bool // Settle was answered OK
	began, ended int  // when it began and was settled, in events
	kept         bool // and the turn is to be kept
}

func (a *attempt) String() string {
	return fmt.Sprintf("%s of %s after %q, at most %d tokens", a.id, a.program.name, a.previous, a.most)
}

func (a *attempt) output() string { return "out of " + a.id + "\n" }

func (a *attempt) turn() *tierv1.Turn {
	return &tierv1.Turn{Attempt: a.id, Previous: a.previous, Program: a.program.name, Input: []byte("in of " + a.id),
		Output: []byte(a.output()), RetentionMs: uint32(retention.Milliseconds())}
}

func newTurns(report reporter) *turns {
	return &turns{report: report, programs: map[string]*program{}, attempts: map[string]*attempt{}, acts: map[string]int{}}
}

// program gives the newest generation of a program: where the budget of one is spent, another follows.
func (c *turns) program(place int) *program {
	c.mu.Lock()
	defer c.mu.Unlock()
	for generation := 0; ; generation++ {
		name := fmt.Sprintf("program-%d-%d", place, generation)
		p := c.programs[name]
		if p == nil {
			p = &program{name: name, budget: programBudget}
			c.programs[name] = p
		}
		if !p.spent {
			return p
		}
	}
}

// begin notes an attempt before it is first sent.
func (c *turns) begin(p *program, previous string, most, tokens uint64) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	c.events++
	a := &attempt{id: fmt.Sprint("attempt-", c.number), previous: previous, program: p, most: most, tokens: tokens, began: c.events}
	p.attempts = append(p.attempts, a)
	c.attempts[a.id] = a
	return a
}

// kept gives the ids of a program's kept turns, in the order in which they were begun.
func (c *turns) kept(p *program) (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range p.attempts {
		if a.settled && a.kept {
			ids = append(ids, a.id)
		}
	}
	return ids
}

// begun takes the verdict on an attempt, with the chain that came with OK.
func (c *turns) begun(a *attempt, verdict tierv1.Verdict, chain []*tierv1.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch verdict {
	case tierv1.Verdict_OK:
		a.granted = true
		c.chain(a, chain)
		if charged := a.program.leastCharge(); charged > a.program.budget {
			c.report(RuleBudget, "%s was granted: at least %d tokens of %s are charged, of %d", a.id, charged, a.program.name, a.program.budget)
		}
	case tierv1.Verdict_SPENT:
		a.program.spent = true
		if charged := a.program.mostCharge(a); charged+a.most <= a.program.budget {
			c.report(RuleSpent, "%s was refused as spent: at most %d tokens of %s are charged, of %d", a.id, charged, a.program.name, a.program.budget)
		}
	case tierv1.Verdict_UNKNOWN:
		if p := c.attempts[a.previous]; p != nil && p.settled && p.kept {
			c.report(RuleTurn, "%s goes on from %s, which was kept and is called unknown", a.id, a.previous)
		}
	}
}

// chain checks that all turns before an attempt came with it. The lock is held.
func (c *turns) chain(a *attempt, chain []*tierv1.Turn) {
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

// leastCharge is what is charged to a program in any case. The lock is held.
func (p *program) leastCharge() (sum uint64) {
	for _, a := range p.attempts {
		switch {
		case a.settling:
			sum += a.tokens
		case a.granted:
			sum += a.most
		}
	}
	return sum
}

// mostCharge is what may have been charged to a program at most, but for one attempt, at some time since that began. The
// lock is held.
func (p *program) mostCharge(but *attempt) (sum uint64) {
	for _, a := range p.attempts {
		switch {
		case a == but:
		case a.settled && a.ended < but.began:
			sum += a.tokens
		default:
			sum += a.most
		}
	}
	return sum
}

// settle notes that an attempt's settlement is sent.
func (c *turns) settle(a *attempt, kept bool, tokens uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.settling, a.kept, a.tokens = true, kept, tokens
}

// settled notes that it is durable.
func (c *turns) settled(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events++
	a.settled, a.ended = true, c.events
	c.served++
}

// acted notes that an endpoint runs an attempt, which may never be sent twice.
func (c *turns) acted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acts[id]++
	if c.acts[id] > 1 {
		c.report(RuleOnce, "%s came to an endpoint %d times", id, c.acts[id])
	}
}

// heard notes what a caller heard of an endpoint.
func (c *turns) heard(a *attempt, answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	if answer != a.output() {
		c.report(RuleCaller, "the caller of %s was given %q", a.id, answer)
	}
}
