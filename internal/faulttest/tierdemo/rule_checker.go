package tierdemo

import (
	"fmt"
	"strings"
	"sync"
)

// Rule is a guarantee of the tier that the demo checks.
type Rule int

// The rules.
const (
	RuleTurnsKept Rule = iota
	RuleRunOnce
	RuleRejectedNotRun
	RuleBudget
	RuleNotMixed
	RuleConfigurationInForce
	ruleCount
)

// ruleNames are the texts of the rules in reports.
var ruleNames = [ruleCount]string{"no turn is lost", "none runs twice", "none runs that was refused", "no budget is passed", "nothing is mixed",
	"acknowledged configurations are in force"}

// String returns the text of the rule in reports.
func (rule Rule) String() string { return ruleNames[rule] }

// Verdict is the result of the checks of a rule.
type Verdict struct {
	Rule    Rule
	Checked int      // number of checks
	Broken  int      // number of checks that failed
	How     []string // the first violations, at most maxExamples
}

// maxExamples is how many examples of a broken rule or a failure are recorded.
const maxExamples = 5

// attempt is one request as a program sends it, with its own id.
type attempt struct {
	id         string
	program    *budget // budget of the program for a turn; nil for a tool call
	path       string
	previous   string // id of the turn that this turn continues
	input      string
	idempotent bool

	runs              int
	output            string // of a turn: data of its events, each with a line feed
	events            []string
	endpointCompleted bool // the endpoint has completed the request
	complete          bool // the client has received the complete response
	rejectedStatus    int  // status of a response which promised the client that the attempt does not run
}

// budget limits the total number of tokens that the turns of a program may generate.
type budget struct {
	limit, maxPerTurn, used int
}

// ruleChecker observes what programs send and receive and what endpoints run, and checks the rules. Programs and endpoints run in
// the same process, so the checker records what an endpoint does before the endpoint's bytes are sent.
type ruleChecker struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	verdicts [ruleCount]Verdict
}

// newRuleChecker returns a checker that has observed nothing yet.
func newRuleChecker() *ruleChecker {
	checker := &ruleChecker{attempts: map[string]*attempt{}}
	for r := range checker.verdicts {
		checker.verdicts[r].Rule = Rule(r)
	}
	return checker
}

// results returns the verdicts on all rules.
func (checker *ruleChecker) results() []Verdict {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return append([]Verdict(nil), checker.verdicts[:]...)
}

// checkLocked counts a check of a rule, and records how the rule was broken if ok is false. The caller holds mu.
func (checker *ruleChecker) checkLocked(rule Rule, ok bool, how string, args ...any) {
	verdict := &checker.verdicts[rule]
	verdict.Checked++
	if ok {
		return
	}
	verdict.Broken++
	if len(verdict.How) < maxExamples {
		verdict.How = append(verdict.How, fmt.Sprintf(how, args...))
	}
}

// check is checkLocked for a caller that does not hold mu.
func (checker *ruleChecker) check(rule Rule, ok bool, how string, args ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.checkLocked(rule, ok, how, args...)
}

// recordSent records an attempt before it is sent.
func (checker *ruleChecker) recordSent(attempt attempt) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.attempts[attempt.id] = &attempt
}

// chain returns the text that precedes a turn's input: the inputs and outputs of previous and of the turns that previous
// continues, the oldest first.
func (checker *ruleChecker) chain(previous string) string {
	var parts []string
	for attempt := checker.attempts[previous]; attempt != nil; attempt = checker.attempts[attempt.previous] {
		parts = append(parts, attempt.input+attempt.output)
	}
	var b strings.Builder
	for i := len(parts) - 1; i >= 0; i-- {
		b.WriteString(parts[i])
	}
	return b.String()
}

// recordRun records that an endpoint of a service starts to execute a request, and checks the rules for it.
func (checker *ruleChecker) recordRun(id, service, path, body string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	attempt := checker.attempts[id]
	checker.checkLocked(RuleNotMixed, attempt != nil, "an endpoint ran %q, which nobody sent", id)
	if attempt == nil {
		return
	}
	attempt.runs++
	checker.checkLocked(RuleRunOnce, attempt.idempotent || attempt.runs == 1, "%s ran %d times", id, attempt.runs)
	checker.checkLocked(RuleRejectedNotRun, attempt.rejectedStatus == 0, "%s ran after %d", id, attempt.rejectedStatus)
	checker.checkLocked(RuleNotMixed, path == attempt.path && (service == modelService) == (attempt.program != nil), "%s for %s ran at %s of service %s", id, attempt.path, path, service)
	if attempt.program == nil {
		checker.checkLocked(RuleNotMixed, body == attempt.input, "%s: the call's body was changed", id)
		return
	}
	want := checker.chain(attempt.previous) + attempt.input
	checker.checkLocked(RuleNotMixed, body == want, "%s: the turn's body is not its chain: %d bytes for %d", id, len(body), len(want))
	if body != want && attempt.previous != "" {
		checker.checkLocked(RuleTurnsKept, strings.HasPrefix(body, checker.chain(attempt.previous)), "%s: what came before %s is lacking", attempt.previous, id)
	}
}

// recordEvent records data that an endpoint is about to send.
func (checker *ruleChecker) recordEvent(id, data string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if attempt := checker.attempts[id]; attempt != nil {
		attempt.events = append(attempt.events, data)
		attempt.output += data + "\n"
	}
}

// recordCompleted records that an endpoint is about to complete a request.
func (checker *ruleChecker) recordCompleted(id string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if attempt := checker.attempts[id]; attempt != nil {
		attempt.endpointCompleted = true
	}
}

// recordResponse records what a client received in an attempt, and checks the rules for it. The tokens of an incomplete response
// count, too.
func (checker *ruleChecker) recordResponse(id string, answer response) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	attempt := checker.attempts[id]
	if attempt == nil {
		return
	}
	switch answer.status {
	case 402, 408, 421, 429, 503:
		attempt.rejectedStatus = answer.status
		checker.checkLocked(RuleRejectedNotRun, attempt.runs == 0, "%s was refused with %d, and had run", id, answer.status)
	case 404, 410:
		if before := checker.attempts[attempt.previous]; before != nil && before.complete {
			checker.checkLocked(RuleTurnsKept, false, "%s was whole, and is not known any more", attempt.previous)
		}
	}
	if answer.status/100 != 2 {
		return
	}
	checker.checkLocked(RuleNotMixed, answer.signature == signature(id) && attempt.runs > 0, "%s got the answer %q", id, answer.signature)
	if attempt.program == nil {
		if answer.complete {
			checker.checkLocked(RuleNotMixed, answer.body == toolResponse(id, attempt.input), "%s got another body", id)
		}
		return
	}
	prefix := len(answer.events) <= len(attempt.events)
	for i := 0; prefix && i < len(answer.events); i++ {
		prefix = answer.events[i] == attempt.events[i]
	}
	checker.checkLocked(RuleNotMixed, prefix && answer.idsInOrder, "%s: its events are not those that its endpoint sent", id)
	if answer.complete {
		checker.checkLocked(RuleNotMixed, attempt.endpointCompleted && len(answer.events) == len(attempt.events), "%s: %d events of %d look whole", id, len(answer.events), len(attempt.events))
		attempt.complete = true
		if attempt.previous != "" {
			checker.checkLocked(RuleTurnsKept, true, "")
		}
	}
	budget := attempt.program
	budget.used += len(answer.events) * tokensPerEvent
	checker.checkLocked(RuleBudget, budget.used <= budget.limit+budget.maxPerTurn, "%d tokens of %d", budget.used, budget.limit)
}
