package tierdemo

import (
	"testing"

	"gotest.tools/v3/assert"
)

// played is a program of two turns and a call, all as they should be; each step can be spoilt by a test.
type played struct {
	w       *witness
	b       *budget
	body    string // of the second turn
	second  answer
	call    answer
	service string // that runs the second turn
	after   func() // before the verdict
}

func newPlayed() *played {
	p := &played{w: newWitness(), b: &budget{limit: 20, maxPerTurn: 4}, body: "one\na-1\na-2\ntwo\n", service: modelService}
	p.second = answer{status: 200, signature: signature("b"), events: []string{"b-1"}, inOrder: true, complete: true}
	p.call = answer{status: 200, signature: signature("c"), body: toolAnswer("c", "call"), complete: true}
	return p
}

func (p *played) run() []Verdict {
	w := p.w
	w.sent(attempt{id: "a", path: turnPath, program: p.b, input: "one\n"})
	w.ran("a", modelService, turnPath, "one\n")
	w.event("a", "a-1")
	w.event("a", "a-2")
	w.ended("a")
	w.got("a", answer{status: 200, signature: signature("a"), events: []string{"a-1", "a-2"}, inOrder: true, complete: true})
	w.sent(attempt{id: "b", path: turnPath, program: p.b, previous: "a", input: "two\n"})
	w.ran("b", p.service, turnPath, p.body)
	w.event("b", "b-1")
	w.ended("b")
	w.got("b", p.second)
	w.sent(attempt{id: "c", path: actPath, input: "call"})
	w.ran("c", toolService, actPath, "call")
	w.ended("c")
	w.got("c", p.call)
	w.check(ConfigurationLost, true, "")
	if p.after != nil {
		p.after()
	}
	return w.verdict()
}

func broken(list []Verdict) (rules []Rule) {
	for _, v := range list {
		if v.Broken > 0 {
			rules = append(rules, v.Rule)
		}
	}
	return rules
}

func TestAWholeProgramKeepsAllRules(t *testing.T) {
	list := newPlayed().run()
	assert.Equal(t, len(broken(list)), 0, "%v", list)
	for _, v := range list {
		assert.Assert(t, v.Checked > 0, "%s was not looked at", v.Rule)
	}
}

func TestEachRuleIsFoundBroken(t *testing.T) {
	for name, one := range map[string]struct {
		spoil func(*played)
		rules []Rule
	}{
		"the turn before is not known": {func(p *played) { p.second = answer{status: 404} }, []Rule{TurnLost}},
		"its text is gone":             {func(p *played) { p.body = "two\n" }, []Rule{TurnLost, Mixed}},
		"its output is cut":            {func(p *played) { p.body = "one\na-1\ntwo\n" }, []Rule{TurnLost, Mixed}},
		"a turn runs twice": {func(p *played) {
			p.after = func() { p.w.ran("b", modelService, turnPath, p.body) }
		}, []Rule{RunTwice}},
		"a call runs twice": {func(p *played) {
			p.after = func() { p.w.ran("c", toolService, actPath, "call") }
		}, []Rule{RunTwice}},
		"refused though it ran": {func(p *played) { p.second = answer{status: 503} }, []Rule{RunRefused}},
		"spent though it ran":   {func(p *played) { p.second = answer{status: 402} }, []Rule{RunRefused}},
		"runs after a refusal": {func(p *played) {
			p.after = func() {
				p.w.sent(attempt{id: "d", path: turnPath, program: p.b, input: "three\n"})
				p.w.got("d", answer{status: 429})
				p.w.ran("d", modelService, turnPath, "three\n")
			}
		}, []Rule{RunRefused}},
		"more than the budget and a turn": {func(p *played) { p.b.limit, p.b.maxPerTurn = 3, 2 }, []Rule{BudgetPassed}},
		"another's answer":                {func(p *played) { p.second.signature = signature("a") }, []Rule{Mixed}},
		"another's events":                {func(p *played) { p.second.events = []string{"a-1"} }, []Rule{Mixed}},
		"events out of order":             {func(p *played) { p.second.inOrder = false }, []Rule{Mixed}},
		"cut short, and looks whole":      {func(p *played) { p.second.events = nil }, []Rule{Mixed}},
		"another's body":                  {func(p *played) { p.call.body = toolAnswer("d", "call") }, []Rule{Mixed}},
		"another service":                 {func(p *played) { p.service = toolService }, []Rule{Mixed}},
		"nobody sent it": {func(p *played) {
			p.after = func() { p.w.ran("x", modelService, turnPath, "") }
		}, []Rule{Mixed}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlayed()
			one.spoil(p)
			assert.DeepEqual(t, broken(p.run()), one.rules)
		})
	}
}

func TestTokensOfTriesThatBrokeOffCount(t *testing.T) {
	p := newPlayed()
	p.b.limit, p.b.maxPerTurn = 4, 1
	p.second.complete = false
	assert.DeepEqual(t, broken(p.run()), []Rule{BudgetPassed})
}

func TestWhatIsRepeatableMayRunTwice(t *testing.T) {
	w := newWitness()
	w.sent(attempt{id: "a", path: lookPath, input: "x", repeatable: true})
	w.ran("a", toolService, lookPath, "x")
	w.ran("a", toolService, lookPath, "x")
	assert.Equal(t, len(broken(w.verdict())), 0)
}

func TestOnlyTheFirstBreaksAreTold(t *testing.T) {
	w := newWitness()
	for range 3 * maxExamples {
		w.check(TurnLost, false, "gone")
	}
	v := w.verdict()[TurnLost]
	assert.Equal(t, v.Broken, 3*maxExamples)
	assert.Equal(t, len(v.How), maxExamples)
}
