package simulation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// finds collects what checks report.
type finds struct{ rules []Rule }

func (f *finds) report(rule Rule, format string, args ...any) {
	_ = fmt.Sprintf(format, args...)
	f.rules = append(f.rules, rule)
}

func TestOrdersAgainstTheRegister(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		play func(c *orders)
		want []Rule
	}{
		"a chain": {func(c *orders) {
			a := c.begin(0, 0, 1)
			c.answered(second, a, 200)
			b := c.begin(second, 1, 2)
			c.answered(2*second, b, 200)
			c.answered(3*second, a, 200)
			c.read(4*second, c.floor(), b.body)
			c.end(2)
		}, nil},
		"two on one base": {func(c *orders) {
			c.answered(second, c.begin(0, 0, 1), 200)
			c.answered(second, c.begin(0, 0, 2), 200)
		}, []Rule{RuleChain}},
		"one of two refused": {func(c *orders) {
			c.answered(second, c.begin(0, 0, 1), 200)
			c.answered(second, c.begin(0, 0, 2), 412)
		}, nil},
		"refused for nothing": {func(c *orders) { c.answered(second, c.begin(0, 0, 1), 412) }, []Rule{RuleRefusal}},
		"refused when it came again": {func(c *orders) {
			a := c.begin(0, 0, 1)
			c.answered(second, a, 200)
			c.answered(second, a, 412)
		}, []Rule{RuleRepeat}},
		"refused and taken": {func(c *orders) {
			a := c.begin(0, 0, 1)
			c.begin(0, 0, 2)
			c.answered(second, a, 412)
			c.shown(a.body)
		}, []Rule{RuleRefusal}},
		"read of the past": {func(c *orders) {
			a, b := c.begin(0, 0, 1), c.begin(0, 1, 2)
			c.answered(second, a, 200)
			c.answered(second, b, 200)
			c.read(2*second, c.floor(), a.body)
		}, []Rule{RuleRead}},
		"read beside an order": {func(c *orders) {
			a, b := c.begin(0, 0, 1), c.begin(0, 1, 2)
			c.answered(second, a, 200)
			floor := c.floor()
			c.answered(second, b, 200)
			c.read(2*second, floor, a.body)
		}, nil},
		"lost": {func(c *orders) {
			c.answered(second, c.begin(0, 0, 1), 200)
			c.end(0)
		}, []Rule{RuleChain}},
		"stale": {func(c *orders) {
			c.answered(second, c.begin(0, 0, 1), 200)
			c.stale("g", 0, 2*second, 2*second)
			c.stale("g", 0, 4*second, 2*second)
		}, []Rule{RuleStale}},
		"not ordered": {func(c *orders) { c.shown("x") }, []Rule{RuleShown}},
	} {
		t.Run(name, func(t *testing.T) {
			var f finds
			test.play(newOrders(f.report))
			assert.DeepEqual(t, f.rules, test.want)
		})
	}
}

func TestTurnsAndBudgets(t *testing.T) {
	for name, test := range map[string]struct {
		play func(c *turns, p *program)
		want []Rule
	}{
		"within": {func(c *turns, p *program) {
			a := c.begin(p, "", 300, 10)
			c.begun(a, tierv1.Verdict_OK, nil)
			c.settle(a, true, 10)
			c.settled(a)
			b := c.begin(p, a.id, 300, 10)
			c.begun(b, tierv1.Verdict_OK, []*tierv1.Turn{a.turn()})
		}, nil},
		"exceeded": {func(c *turns, p *program) {
			c.begun(c.begin(p, "", 300, 10), tierv1.Verdict_OK, nil)
			c.begun(c.begin(p, "", 300, 10), tierv1.Verdict_OK, nil)
		}, []Rule{RuleBudget}},
		"spent": {func(c *turns, p *program) {
			c.begin(p, "", 300, 10)
			c.begun(c.begin(p, "", 300, 10), tierv1.Verdict_SPENT, nil)
		}, nil},
		"not spent": {func(c *turns, p *program) { c.begun(c.begin(p, "", 300, 10), tierv1.Verdict_SPENT, nil) }, []Rule{RuleSpent}},
		"lost": {func(c *turns, p *program) {
			a := c.begin(p, "", 30, 10)
			c.begun(a, tierv1.Verdict_OK, nil)
			c.settle(a, true, 10)
			c.settled(a)
			c.begun(c.begin(p, a.id, 30, 10), tierv1.Verdict_UNKNOWN, nil)
			c.begun(c.begin(p, a.id, 30, 10), tierv1.Verdict_OK, nil)
		}, []Rule{RuleTurn, RuleTurn}},
		"twice at an endpoint": {func(c *turns, p *program) { c.acted("a"); c.acted("a") }, []Rule{RuleOnce}},
		"another's answer":     {func(c *turns, p *program) { c.heard(c.begin(p, "", 1, 1), "out of x\n") }, []Rule{RuleCaller}},
	} {
		t.Run(name, func(t *testing.T) {
			var f finds
			c := newTurns(f.report)
			test.play(c, c.program(0))
			assert.DeepEqual(t, f.rules, test.want)
		})
	}
}

func TestViews(t *testing.T) {
	var f finds
	v := newViews(f.report)
	one, two := &process{}, &process{}
	part := func(epoch uint64, primary string) *tierv1.PartitionMap {
		return &tierv1.PartitionMap{Version: 10 * epoch, Partitions: []*tierv1.Partition{{Epoch: epoch, Primary: primary}}}
	}
	v.tookMap("one", one, part(1, "a"))
	v.tookMap("one", one, part(2, "b"))
	v.tookMap("two", two, part(1, "a"))
	assert.Equal(t, len(f.rules), 0)
	v.tookMap("two", two, part(2, "c")) // another value of a version, and of an epoch
	v.tookMap("one", one, part(1, "a"))
	assert.DeepEqual(t, f.rules, []Rule{RuleOneValue, RuleOneValue, RuleFalls})
	v.tookConfiguration("one", one, &tierv1.Configuration{Version: 5, Body: []byte("x")}, 3)
	v.tookConfiguration("one", one, &tierv1.Configuration{Version: 6, Body: []byte("y")}, 2)
	assert.DeepEqual(t, f.rules[3:], []Rule{RuleFalls})
}

// A new process is first shown what stood when it began, or later.
func TestFirstViews(t *testing.T) {
	var f finds
	v := newViews(f.report)
	show := func(p *process, version uint64, revision int64) {
		v.tookConfiguration("g", p, &tierv1.Configuration{Version: version, Body: []byte(fmt.Sprint(revision))}, revision)
	}
	show(&process{}, 7, 3)
	assert.Equal(t, v.highest(), [2]uint64{7, 0})
	show(&process{floor: 3, shownBefore: v.highest()}, 7, 3)
	assert.Equal(t, len(f.rules), 0)
	show(&process{floor: 3, shownBefore: v.highest()}, 6, 3)
	show(&process{floor: 4}, 8, 3)
	assert.DeepEqual(t, f.rules, []Rule{RuleStale, RuleStale})
	v.tookMap("s", &process{shownBefore: [2]uint64{0, 5}}, &tierv1.PartitionMap{Version: 4})
	assert.DeepEqual(t, f.rules[2:], []Rule{RuleStale})
}
