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
	turnTime  = 6 * time.Second // of one request of a turn, with its tries
	toolTime  = 4 * time.Second
	triesMost = 12
	turnAgain = 2 // a turn that failed is sent again so often
	turnMost  = 24
	tightEach = 6 // one program in so many has a budget that does not last
)

// Outcome is what became of a program.
type Outcome int

// The outcomes.
const (
	Whole  Outcome = iota
	Spent          // ended by its budget, as it had to be
	Failed         // a turn failed three times, or a call of a tool
	Ended          // by the end of the rehearsal
)

// program is one agent program: turns one after the other, calls of tools between them, at times a sub-agent beside them.
type program struct {
	name   string
	caller *caller
	record *recorder
	budget *budget
	unsure bool // a try has failed after it may have run: what it reserved may be charged
	mu     sync.Mutex
	why    string
}

// newProgram makes the n-th program.
func newProgram(n int, c *caller, r *recorder) *program {
	p := &program{name: fmt.Sprintf("p%d-%x", n, rand.Uint32()), caller: c, record: r}
	p.budget = &budget{limit: 50 * turnMost, most: turnMost}
	if n%tightEach == tightEach-1 {
		p.budget.limit = 2 * turnMost
	}
	return p
}

func (p *program) tight() bool { return p.budget.limit < 10*turnMost }

func (p *program) fail(why string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.why == "" {
		p.why = fmt.Sprintf(why, args...)
	}
}

// run plays the program to its end.
func (p *program) run(ctx context.Context) (o Outcome, why string) {
	turns := 3 + rand.N(3)
	if p.tight() {
		turns = 8
	}
	var beside sync.WaitGroup
	side := Whole
	previous := ""
	for n := range turns {
		id, got := p.turn(ctx, "main", previous, fmt.Sprintf("%s asks %d\n", p.name, n+1))
		if o = got; o != Whole {
			break
		}
		previous = id
		if n == 1 && !p.tight() && rand.N(3) == 0 {
			beside.Go(func() { side = p.agent(ctx, id) })
		}
		if o = p.tools(ctx, rand.N(3)); o != Whole {
			break
		}
		pause(ctx, rand.N(60*time.Millisecond))
	}
	beside.Wait()
	if o == Whole {
		o = side
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return o, p.why
}

// agent is a sub-agent: two turns of its own line, from a turn of its parent.
func (p *program) agent(ctx context.Context, previous string) Outcome {
	for n := range 2 {
		id, o := p.turn(ctx, "agent", previous, fmt.Sprintf("%s sends an agent for %d\n", p.name, n+1))
		if o != Whole {
			return o
		}
		previous = id
	}
	return Whole
}

// turn takes one turn, and gives its id.
func (p *program) turn(ctx context.Context, line, previous, input string) (id string, o Outcome) {
	begun := time.Now()
	r := request{path: turnPath + "x", timeout: turnTime, tries: triesMost, try: try{program: p.budget, previous: previous, input: input},
		header: map[string]string{"Program": p.name, "Session": p.name + "-" + line, "Finish-Ms": "20000",
			"Budget": strconv.Itoa(p.budget.limit), "X-Token-Usage": fmt.Sprintf("%d,%d", len(input), turnMost), "X-Model": "m"}}
	if previous != "" {
		r.header["Previous"] = previous
	}
	var a answer
	for again := 0; ; again++ {
		id, a = p.caller.ask(ctx, r)
		if a.whole && a.status == 200 {
			p.record.turn(a.first.Sub(begun))
			return id, Whole
		}
		if ctx.Err() != nil {
			return id, Ended
		}
		if a.status == 402 && p.mayBeSpent() {
			return id, Spent
		}
		if a.final() || again == turnAgain {
			p.record.turnFailed()
			p.fail("a turn got %d %s", a.status, strings.TrimSpace(a.body))
			return id, Failed
		}
		if !a.promised() {
			p.mu.Lock()
			p.unsure = true
			p.mu.Unlock()
		}
		pause(ctx, 100*time.Millisecond+rand.N(300*time.Millisecond))
	}
}

// mayBeSpent tells whether the budget may have no room for one more turn.
func (p *program) mayBeSpent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.caller.witness.mu.Lock()
	defer p.caller.witness.mu.Unlock()
	return p.unsure || p.budget.used+p.budget.most > p.budget.limit
}

// tools calls so many tools at once.
func (p *program) tools(ctx context.Context, n int) Outcome {
	outcomes := make([]Outcome, n)
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() { outcomes[i] = p.tool(ctx, i) })
	}
	calls.Wait()
	for _, o := range outcomes {
		if o != Whole {
			return o
		}
	}
	return Whole
}

func (p *program) tool(ctx context.Context, i int) Outcome {
	r := request{path: lookPath + "x", timeout: toolTime, tries: triesMost, try: try{input: p.name + " calls " + strconv.Itoa(i), repeatable: true},
		header: map[string]string{"Program": p.name, "Session": p.name + "-main", "Finish-Ms": "20000"}}
	if i%2 == 1 {
		r.path, r.try.repeatable = actPath+"x", false
	}
	_, a := p.caller.ask(ctx, r)
	if a.whole && a.status == 200 {
		return Whole
	}
	if ctx.Err() != nil {
		return Ended
	}
	p.fail("a call at %s got %d", r.path, a.status)
	return Failed
}
