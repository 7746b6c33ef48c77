package simulation

import (
	"fmt"
	"time"
)

// Rule is the name of a guarantee of the tier that the checkers check.
type Rule string

// The rules. Each is a guarantee to operators, to gateways or to clients.
const (
	RuleIdempotent         Rule = "repeat"    // a change that was accepted is never rejected when it is sent again
	RuleRejection          Rule = "refusal"   // a change is rejected only if another was accepted in its place, and a rejected change never takes effect
	RuleResponse           Rule = "answer"    // the response to a change or a read has a documented status
	RuleChain              Rule = "chain"     // of two changes on one base revision only one is accepted; an acknowledged change stays in force until a later change
	RuleRead               Rule = "read"      // a read never returns a revision older than the one that was in force when the read began
	RuleKnownConfiguration Rule = "shown"     // processes receive only configurations that an operator has sent
	RuleStale              Rule = "stale"     // a gateway with a session holds at least the revision that was acknowledged a bounded time before
	RuleMonotonic          Rule = "falls"     // the versions that a process receives never decrease within its incarnation
	RuleOneValue           Rule = "one-value" // a version or an epoch has the same value at all receivers
	RuleTurn               Rule = "turn"      // a turn that was stored is found unchanged
	RuleBudget             Rule = "budget"    // no budget is exceeded, and charged tokens stay charged
	RuleBudgetExhausted    Rule = "spent"     // no budget is reported as exhausted while it has room
	RuleOnce               Rule = "once"      // a request that is not idempotent reaches an endpoint once
	RuleCaller             Rule = "caller"    // a caller receives the response to its own request
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
