package simulation

import (
	"fmt"
	"time"
)

// Rule is a promise that is checked.
type Rule string

// Rules. Each is a promise to operators, to gateways or to clients.
const (
	RuleIdempotent         Rule = "repeat"    // an order that was taken is never refused when it comes again
	RuleRejection          Rule = "refusal"   // an order is refused only where another was taken in its place, and then never taken
	RuleResponse           Rule = "answer"    // an order or a read has an answer that fits
	RuleChain              Rule = "chain"     // of two orders on one revision one is taken; what was acknowledged stays in force until a later order
	RuleRead               Rule = "read"      // a read never gives what is older than what was in force when it began
	RuleKnownConfiguration Rule = "shown"     // processes are shown only what was ordered
	RuleStale              Rule = "stale"     // a gateway in touch holds what was acknowledged a bounded time before
	RuleMonotonic          Rule = "falls"     // what a process is shown never falls back within its life
	RuleOneValue           Rule = "one-value" // a version or an epoch stands for one value, whoever is shown it
	RuleTurn               Rule = "turn"      // a turn that was kept is there, as it was
	RuleBudget             Rule = "budget"    // no budget is exceeded, and what was charged stays charged
	RuleBudgetExhausted    Rule = "spent"     // no budget is called spent that has room
	RuleOnce               Rule = "once"      // what may not be repeated comes to an endpoint once
	RuleCaller             Rule = "caller"    // an answer comes to its caller
	RuleRecovery           Rule = "recovery"  // within recoveryTime after the last fault all is well again
)

// Violation is a promise that was broken.
type Violation struct {
	At   time.Duration
	Rule Rule
	Text string
}

func (v *Violation) String() string {
	return fmt.Sprintf("%.3f s: rule %s: %s", v.At.Seconds(), v.Rule, v.Text)
}

// reporter takes what a check has found.
type reporter func(rule Rule, format string, args ...any)

// Rules gives all rules.
func Rules() []Rule {
	return []Rule{RuleIdempotent, RuleRejection, RuleResponse, RuleChain, RuleRead, RuleKnownConfiguration, RuleStale, RuleMonotonic, RuleOneValue, RuleTurn,
		RuleBudget, RuleBudgetExhausted, RuleOnce, RuleCaller, RuleRecovery}
}
