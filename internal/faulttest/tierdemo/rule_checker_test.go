package tierdemo

import (
	"testing"

	"gotest.tools/v3/assert"
)

// played is a program of two turns and a call, all as they should be; each step can be spoilt by a test.
type played struct {
	w       *ruleChecker
	b       *budget
	body    string // of the second turn
	second  response
	call    response
	service string // that runs the second turn
	after   func() // before the verdict
}

func newPlayed() *played {
	p := &played{w: newRuleChecker(), b: &budget{limit: 20, maxPerTurn: 4}, body: "one\na-1\na-2\ntwo\n", service: modelService}
	p.second = response{status: 200, signature: signature("b"), events: []string{"b-1"}, idsInOrder: true, complete: true}
	p.call = response{status: 200, signature: signature("c"), body: toolResponse("c", "call"), complete: true}
	return p
}

func (p *played) run() []Verdict {
	w := p.w
	w.recordSent(attempt{id: "a", path: turnPath, program: p.b, input: "one\n"})
	w.recordRun("a", modelService, turnPath, "one\n")
	w.recordEvent("a", "a-1")
	w.recordEvent("a", "a-2")
	w.recordCompleted("a")
	w.recordResponse("a", response{status: 200, signature: signature("a"), events: []string{"a-1", "a-2"}, idsInOrder: true, complete: true})
	w.recordSent(attempt{id: "b", path: turnPath, program: p.b, previous: "a", input: "two\n"})
	w.recordRun("b", p.service, turnPath, p.body)
	w.recordEvent("b", "b-1")
	w.recordCompleted("b")
	w.recordResponse("b", p.second)
	w.recordSent(attempt{id: "c", path: nonIdempotentPath, input: "call"})
	w.recordRun("c", toolService, nonIdempotentPath, "call")
	w.recordCompleted("c")
	w.recordResponse("c", p.call)
	w.check(RuleConfigurationInForce, true, "")
	if p.after != nil {
		p.after()
	}
	return w.results()
}

func broken(list []Verdict) (rules []Rule) {
	for _, v := range list {
		if v.Broken > 0 {
			rules = append(rules, v.Rule)
		}
	}
	return rules
}

func TestRuleChecker_CompleteProgramKeepsRules(t *testing.T) {
	list := newPlayed().run()
	assert.Equal(t, len(broken(list)), 0, "%v", list)
	for _, v := range list {
		assert.Assert(t, v.Checked > 0, "%s was not looked at", v.Rule)
	}
}

func TestRuleChecker_EachRuleBroken(t *testing.T) {
	for name, one := range map[string]struct {
		spoil func(*played)
		rules []Rule
	}{
		"the turn before is not known": {func(p *played) { p.second = response{status: 404} }, []Rule{RuleTurnsKept}},
		"its text is gone":             {func(p *played) { p.body = "two\n" }, []Rule{RuleTurnsKept, RuleNotMixed}},
		"its output is cut":            {func(p *played) { p.body = "one\na-1\ntwo\n" }, []Rule{RuleTurnsKept, RuleNotMixed}},
		"a turn runs twice": {func(p *played) {
			p.after = func() { p.w.recordRun("b", modelService, turnPath, p.body) }
		}, []Rule{RuleRunOnce}},
		"a call runs twice": {func(p *played) {
			p.after = func() { p.w.recordRun("c", toolService, nonIdempotentPath, "call") }
		}, []Rule{RuleRunOnce}},
		"refused though it ran": {func(p *played) { p.second = response{status: 503} }, []Rule{RuleRejectedNotRun}},
		"spent though it ran":   {func(p *played) { p.second = response{status: 402} }, []Rule{RuleRejectedNotRun}},
		"runs after a refusal": {func(p *played) {
			p.after = func() {
				p.w.recordSent(attempt{id: "d", path: turnPath, program: p.b, input: "three\n"})
				p.w.recordResponse("d", response{status: 429})
				p.w.recordRun("d", modelService, turnPath, "three\n")
			}
		}, []Rule{RuleRejectedNotRun}},
		"more than the budget and a turn": {func(p *played) { p.b.limit, p.b.maxPerTurn = 3, 2 }, []Rule{RuleBudget}},
		"another's answer":                {func(p *played) { p.second.signature = signature("a") }, []Rule{RuleNotMixed}},
		"another's events":                {func(p *played) { p.second.events = []string{"a-1"} }, []Rule{RuleNotMixed}},
		"events out of order":             {func(p *played) { p.second.idsInOrder = false }, []Rule{RuleNotMixed}},
		"cut short, and looks whole":      {func(p *played) { p.second.events = nil }, []Rule{RuleNotMixed}},
		"another's body":                  {func(p *played) { p.call.body = toolResponse("d", "call") }, []Rule{RuleNotMixed}},
		"another service":                 {func(p *played) { p.service = toolService }, []Rule{RuleNotMixed}},
		"nobody sent it": {func(p *played) {
			p.after = func() { p.w.recordRun("x", modelService, turnPath, "") }
		}, []Rule{RuleNotMixed}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlayed()
			one.spoil(p)
			assert.DeepEqual(t, broken(p.run()), one.rules)
		})
	}
}

func TestRuleChecker_CountsTokensOfIncompleteAttempts(t *testing.T) {
	p := newPlayed()
	p.b.limit, p.b.maxPerTurn = 4, 1
	p.second.complete = false
	assert.DeepEqual(t, broken(p.run()), []Rule{RuleBudget})
}

func TestRuleChecker_IdempotentMayRunTwice(t *testing.T) {
	w := newRuleChecker()
	w.recordSent(attempt{id: "a", path: idempotentPath, input: "x", idempotent: true})
	w.recordRun("a", toolService, idempotentPath, "x")
	w.recordRun("a", toolService, idempotentPath, "x")
	assert.Equal(t, len(broken(w.results())), 0)
}

func TestRuleChecker_KeepsFirstExamples(t *testing.T) {
	w := newRuleChecker()
	for range 3 * maxExamples {
		w.check(RuleTurnsKept, false, "gone")
	}
	v := w.results()[RuleTurnsKept]
	assert.Equal(t, v.Broken, 3*maxExamples)
	assert.Equal(t, len(v.How), maxExamples)
}
