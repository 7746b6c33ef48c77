package tierdemo

import (
	"testing"

	"gotest.tools/v3/assert"
)

// testProgram is a correct program of two turns and a tool call. A test can change any step to break a rule.
type testProgram struct {
	w       *ruleChecker
	b       *budget
	body    string // of the second turn
	second  response
	call    response
	service string // service whose endpoint runs the second turn
	after   func() // runs before the verdict, if set
}

func newTestProgram() *testProgram {
	p := &testProgram{w: newRuleChecker(), b: &budget{limit: 20, maxPerTurn: 4}, body: "one\na-1\na-2\ntwo\n", service: modelService}
	p.second = response{status: 200, signature: signature("b"), events: []string{"b-1"}, idsInOrder: true, complete: true}
	p.call = response{status: 200, signature: signature("c"), body: toolResponse("c", "call"), complete: true}
	return p
}

func (p *testProgram) run() []Verdict {
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
	list := newTestProgram().run()
	assert.Equal(t, len(broken(list)), 0, "%v", list)
	for _, v := range list {
		assert.Assert(t, v.Checked > 0, "rule was never checked: %s", v.Rule)
	}
}

func TestRuleChecker_EachRuleBroken(t *testing.T) {
	for name, test := range map[string]struct {
		breakRule func(*testProgram)
		rules     []Rule
	}{
		"previous turn unknown":     {func(p *testProgram) { p.second = response{status: 404} }, []Rule{RuleTurnsKept}},
		"previous text missing":     {func(p *testProgram) { p.body = "two\n" }, []Rule{RuleTurnsKept, RuleNotMixed}},
		"previous output truncated": {func(p *testProgram) { p.body = "one\na-1\ntwo\n" }, []Rule{RuleTurnsKept, RuleNotMixed}},
		"a turn runs twice": {func(p *testProgram) {
			p.after = func() { p.w.recordRun("b", modelService, turnPath, p.body) }
		}, []Rule{RuleRunOnce}},
		"a call runs twice": {func(p *testProgram) {
			p.after = func() { p.w.recordRun("c", toolService, nonIdempotentPath, "call") }
		}, []Rule{RuleRunOnce}},
		"rejected after execution":         {func(p *testProgram) { p.second = response{status: 503} }, []Rule{RuleRejectedNotRun}},
		"budget exhausted after execution": {func(p *testProgram) { p.second = response{status: 402} }, []Rule{RuleRejectedNotRun}},
		"executed after rejection": {func(p *testProgram) {
			p.after = func() {
				p.w.recordSent(attempt{id: "d", path: turnPath, program: p.b, input: "three\n"})
				p.w.recordResponse("d", response{status: 429})
				p.w.recordRun("d", modelService, turnPath, "three\n")
			}
		}, []Rule{RuleRejectedNotRun}},
		"more than the budget and a turn": {func(p *testProgram) { p.b.limit, p.b.maxPerTurn = 3, 2 }, []Rule{RuleBudget}},
		"response of another attempt":     {func(p *testProgram) { p.second.signature = signature("a") }, []Rule{RuleNotMixed}},
		"events of another attempt":       {func(p *testProgram) { p.second.events = []string{"a-1"} }, []Rule{RuleNotMixed}},
		"events out of order":             {func(p *testProgram) { p.second.idsInOrder = false }, []Rule{RuleNotMixed}},
		"truncated, but looks complete":   {func(p *testProgram) { p.second.events = nil }, []Rule{RuleNotMixed}},
		"body of another attempt":         {func(p *testProgram) { p.call.body = toolResponse("d", "call") }, []Rule{RuleNotMixed}},
		"another service":                 {func(p *testProgram) { p.service = toolService }, []Rule{RuleNotMixed}},
		"unknown attempt": {func(p *testProgram) {
			p.after = func() { p.w.recordRun("x", modelService, turnPath, "") }
		}, []Rule{RuleNotMixed}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestProgram()
			test.breakRule(p)
			assert.DeepEqual(t, broken(p.run()), test.rules)
		})
	}
}

func TestRuleChecker_CountsTokensOfIncompleteAttempts(t *testing.T) {
	p := newTestProgram()
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
