package tierdemo

import (
	"fmt"
	"strings"
	"sync"
)

// Rule is a promise of the tier that the demo checks.
type Rule int

// The rules.
const (
	TurnLost Rule = iota
	RunTwice
	RunRefused
	BudgetPassed
	Mixed
	ConfigurationLost
	ruleCount
)

var ruleNames = [ruleCount]string{"no turn is lost", "none runs twice", "none runs that was refused", "no budget is passed", "nothing is mixed",
	"acknowledged configurations are in force"}

// String returns the rule in words.
func (rule Rule) String() string { return ruleNames[rule] }

// Verdict is the result of the checks of a rule.
type Verdict struct {
	Rule    Rule
	Checked int      // times that it was checked
	Broken  int      // times that it was broken
	How     []string // the first examples
}

// maxExamples is how many examples of a broken rule or a failure are kept.
const maxExamples = 5

// attempt is one request as a program sends it, with its own id.
type attempt struct {
	id         string
	program    *budget // of a turn; nil: a tool call
	path       string
	previous   string // turn that it continues
	input      string
	repeatable bool

	runs     int
	output   string // of a turn: data of its events, each with a line feed
	events   []string
	ended    bool // its endpoint has completed it
	complete bool // its client has received it completely
	refused  int  // status that promised its client that it does not run
}

// budget is how many tokens the turns of a program may generate together.
type budget struct {
	limit, maxPerTurn, used int
}

// witness observes what programs send and receive and what endpoints run, and checks the rules. Programs and endpoints are in
// one process, so it needs no messages: it knows what an endpoint does before its bytes are sent.
type witness struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	verdicts [ruleCount]Verdict
}

// newWitness makes a witness that has observed nothing yet.
func newWitness() *witness {
	witness := &witness{attempts: map[string]*attempt{}}
	for r := range witness.verdicts {
		witness.verdicts[r].Rule = Rule(r)
	}
	return witness
}

// verdict returns the verdicts on all rules.
func (witness *witness) verdict() []Verdict {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	return append([]Verdict(nil), witness.verdicts[:]...)
}

// checkLocked counts a check of a rule, and records how the rule was broken if it was not kept. The caller holds mu.
func (witness *witness) checkLocked(rule Rule, kept bool, how string, args ...any) {
	verdict := &witness.verdicts[rule]
	verdict.Checked++
	if kept {
		return
	}
	verdict.Broken++
	if len(verdict.How) < maxExamples {
		verdict.How = append(verdict.How, fmt.Sprintf(how, args...))
	}
}

// check is checkLocked for a caller that does not hold mu.
func (witness *witness) check(rule Rule, kept bool, how string, args ...any) {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	witness.checkLocked(rule, kept, how, args...)
}

// sent records an attempt before it is sent.
func (witness *witness) sent(attempt attempt) {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	witness.attempts[attempt.id] = &attempt
}

// chain is the text before a turn's input: the inputs and outputs of the turns that it continues, the oldest first.
func (witness *witness) chain(previous string) string {
	var parts []string
	for attempt := witness.attempts[previous]; attempt != nil; attempt = witness.attempts[attempt.previous] {
		parts = append(parts, attempt.input+attempt.output)
	}
	var b strings.Builder
	for i := len(parts) - 1; i >= 0; i-- {
		b.WriteString(parts[i])
	}
	return b.String()
}

// ran records that an endpoint of a service begins to run a request.
func (witness *witness) ran(id, service, path, body string) {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	attempt := witness.attempts[id]
	witness.checkLocked(Mixed, attempt != nil, "an endpoint ran %q, which nobody sent", id)
	if attempt == nil {
		return
	}
	attempt.runs++
	witness.checkLocked(RunTwice, attempt.repeatable || attempt.runs == 1, "%s ran %d times", id, attempt.runs)
	witness.checkLocked(RunRefused, attempt.refused == 0, "%s ran after %d", id, attempt.refused)
	witness.checkLocked(Mixed, path == attempt.path && (service == modelService) == (attempt.program != nil), "%s for %s ran at %s of service %s", id, attempt.path, path, service)
	if attempt.program == nil {
		witness.checkLocked(Mixed, body == attempt.input, "%s: the call's body was changed", id)
		return
	}
	want := witness.chain(attempt.previous) + attempt.input
	witness.checkLocked(Mixed, body == want, "%s: the turn's body is not its chain: %d bytes for %d", id, len(body), len(want))
	if body != want && attempt.previous != "" {
		witness.checkLocked(TurnLost, strings.HasPrefix(body, witness.chain(attempt.previous)), "%s: what came before %s is lacking", attempt.previous, id)
	}
}

// event records data that an endpoint is about to send.
func (witness *witness) event(id, data string) {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	if attempt := witness.attempts[id]; attempt != nil {
		attempt.events = append(attempt.events, data)
		attempt.output += data + "\n"
	}
}

// ended records that an endpoint is about to complete a request.
func (witness *witness) ended(id string) {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	if attempt := witness.attempts[id]; attempt != nil {
		attempt.ended = true
	}
}

// got records what a client received in an attempt. Its tokens are counted whether it is complete or not.
func (witness *witness) got(id string, answer answer) {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	attempt := witness.attempts[id]
	if attempt == nil {
		return
	}
	switch answer.status {
	case 402, 408, 421, 429, 503:
		attempt.refused = answer.status
		witness.checkLocked(RunRefused, attempt.runs == 0, "%s was refused with %d, and had run", id, answer.status)
	case 404, 410:
		if before := witness.attempts[attempt.previous]; before != nil && before.complete {
			witness.checkLocked(TurnLost, false, "%s was whole, and is not known any more", attempt.previous)
		}
	}
	if answer.status/100 != 2 {
		return
	}
	witness.checkLocked(Mixed, answer.signature == signature(id) && attempt.runs > 0, "%s got the answer %q", id, answer.signature)
	if attempt.program == nil {
		if answer.complete {
			witness.checkLocked(Mixed, answer.body == toolAnswer(id, attempt.input), "%s got another body", id)
		}
		return
	}
	prefix := len(answer.events) <= len(attempt.events)
	for i := 0; prefix && i < len(answer.events); i++ {
		prefix = answer.events[i] == attempt.events[i]
	}
	witness.checkLocked(Mixed, prefix && answer.inOrder, "%s: its events are not those that its endpoint sent", id)
	if answer.complete {
		witness.checkLocked(Mixed, attempt.ended && len(answer.events) == len(attempt.events), "%s: %d events of %d look whole", id, len(answer.events), len(attempt.events))
		attempt.complete = true
		if attempt.previous != "" {
			witness.checkLocked(TurnLost, true, "")
		}
	}
	budget := attempt.program
	budget.used += len(answer.events) * tokensPerEvent
	witness.checkLocked(BudgetPassed, budget.used <= budget.limit+budget.maxPerTurn, "%d tokens of %d", budget.used, budget.limit)
}
