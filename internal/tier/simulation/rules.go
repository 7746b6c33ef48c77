package simulation

import (
	"fmt"
	"time"
)

// Rule is the name of something that the tier promises and the checkers check.
type Rule string

// The rules. Each is a promise to operators, to gateways or to clients.
const (
	RuleIdempotent         Rule = "repeat"    // a change that was accepted is never rejected when it is sent again
	RuleRejection          Rule = "refusal"   // a change is rejected only where another was accepted in its place, and then never takes force
	RuleResponse           Rule = "answer"    // the response to a change or a read has a documented status
	RuleChain              Rule = "chain"     // of two changes on one revision one is accepted; what was acknowledged stays in force until a later change
	RuleRead               Rule = "read"      // a read never returns what is older than what was in force when it began
	RuleKnownConfiguration Rule = "shown"     // processes receive only configurations that an operator has sent
	RuleStale              Rule = "stale"     // a gateway with a session holds what was acknowledged a bounded time before
	RuleMonotonic          Rule = "falls"     // the versions that a process receives never decrease within its incarnation
	RuleOneValue           Rule = "one-value" // a version or an epoch stands for one value, whoever receives it
	RuleTurn               Rule = "turn"      // a turn that was stored is found unchanged
	RuleBudget             Rule = "budget"    // no budget is exceeded, and what was charged stays charged
	RuleBudgetExhausted    Rule = "spent"     // no budget is called exhausted that is not
	RuleOnce               Rule = "once"      // a request that is not idempotent reaches an endpoint once
	RuleCaller             Rule = "caller"    // a response reaches its caller
	RuleRecovery           Rule = "recovery"  // within recoveryTime after the last fault the tier is healthy again
)

// Violation is a broken rule.
type Violation struct {
	At   time.Duration // since the start of the play
	Rule Rule
	Text string
}

// String returns the violation as one line.
func (v *Violation) String() string {
	return fmt.Sprintf("%.3f s: rule %s: %s", v.At.Seconds(), v.Rule, v.Text)
}

// reporter records a violation.
type reporter func(rule Rule, format string, args ...any)

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{RuleIdempotent, RuleRejection, RuleResponse, RuleChain, RuleRead, RuleKnownConfiguration, RuleStale, RuleMonotonic, RuleOneValue, RuleTurn,
		RuleBudget, RuleBudgetExhausted, RuleOnce, RuleCaller, RuleRecovery}
}
