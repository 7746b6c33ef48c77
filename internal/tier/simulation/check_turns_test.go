package simulation

import (
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestTurnChecker(t *testing.T) {
	for name, test := range map[string]struct {
		play func(c *turnChecker, p *program)
		want []Rule
	}{
		"within": {func(c *turnChecker, p *program) {
			a := c.begin(p, "", 300, 10)
			c.recordVerdict(a, tierv1.Verdict_OK, nil)
			c.recordSettling(a, true, 10)
			c.recordSettled(a)
			b := c.begin(p, a.id, 300, 10)
			c.recordVerdict(b, tierv1.Verdict_OK, []*tierv1.Turn{a.turn()})
		}, nil},
		"exceeded": {func(c *turnChecker, p *program) {
			c.recordVerdict(c.begin(p, "", 300, 10), tierv1.Verdict_OK, nil)
			c.recordVerdict(c.begin(p, "", 300, 10), tierv1.Verdict_OK, nil)
		}, []Rule{RuleBudget}},
		"spent": {func(c *turnChecker, p *program) {
			c.begin(p, "", 300, 10)
			c.recordVerdict(c.begin(p, "", 300, 10), tierv1.Verdict_SPENT, nil)
		}, nil},
		"not spent": {func(c *turnChecker, p *program) { c.recordVerdict(c.begin(p, "", 300, 10), tierv1.Verdict_SPENT, nil) }, []Rule{RuleBudgetExhausted}},
		"stored turn lost": {func(c *turnChecker, p *program) {
			a := c.begin(p, "", 30, 10)
			c.recordVerdict(a, tierv1.Verdict_OK, nil)
			c.recordSettling(a, true, 10)
			c.recordSettled(a)
			c.recordVerdict(c.begin(p, a.id, 30, 10), tierv1.Verdict_UNKNOWN, nil)
			c.recordVerdict(c.begin(p, a.id, 30, 10), tierv1.Verdict_OK, nil)
		}, []Rule{RuleTurn, RuleTurn}},
		"twice at an endpoint":        {func(c *turnChecker, p *program) { c.recordRun("a"); c.recordRun("a") }, []Rule{RuleOnce}},
		"response of another attempt": {func(c *turnChecker, p *program) { c.recordResponse(c.begin(p, "", 1, 1), "out of x\n") }, []Rule{RuleCaller}},
	} {
		t.Run(name, func(t *testing.T) {
			var f recordedRules
			c := newTurnChecker(f.report)
			test.play(c, c.program(0))
			assert.DeepEqual(t, f.rules, test.want)
		})
	}
}
