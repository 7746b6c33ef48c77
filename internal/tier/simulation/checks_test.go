package simulation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// recordedRules collects what checks report.
type recordedRules struct{ rules []Rule }

func (f *recordedRules) report(rule Rule, format string, args ...any) {
	_ = fmt.Sprintf(format, args...)
	f.rules = append(f.rules, rule)
}

func TestConfigurationChecker(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		play func(c *configurationChecker)
		want []Rule
	}{
		"a chain": {func(c *configurationChecker) {
			a := c.begin(0, 0, 1)
			c.recordResponse(second, a, 200)
			b := c.begin(second, 1, 2)
			c.recordResponse(2*second, b, 200)
			c.recordResponse(3*second, a, 200)
			c.recordRead(4*second, c.floor(), b.body)
			c.checkFinalRevision(2)
		}, nil},
		"two on one base": {func(c *configurationChecker) {
			c.recordResponse(second, c.begin(0, 0, 1), 200)
			c.recordResponse(second, c.begin(0, 0, 2), 200)
		}, []Rule{RuleChain}},
		"one of two refused": {func(c *configurationChecker) {
			c.recordResponse(second, c.begin(0, 0, 1), 200)
			c.recordResponse(second, c.begin(0, 0, 2), 412)
		}, nil},
		"refused for nothing": {func(c *configurationChecker) { c.recordResponse(second, c.begin(0, 0, 1), 412) }, []Rule{RuleRejection}},
		"refused when it came again": {func(c *configurationChecker) {
			a := c.begin(0, 0, 1)
			c.recordResponse(second, a, 200)
			c.recordResponse(second, a, 412)
		}, []Rule{RuleIdempotent}},
		"refused and taken": {func(c *configurationChecker) {
			a := c.begin(0, 0, 1)
			c.begin(0, 0, 2)
			c.recordResponse(second, a, 412)
			c.recordShown(a.body)
		}, []Rule{RuleRejection}},
		"read of the past": {func(c *configurationChecker) {
			a, b := c.begin(0, 0, 1), c.begin(0, 1, 2)
			c.recordResponse(second, a, 200)
			c.recordResponse(second, b, 200)
			c.recordRead(2*second, c.floor(), a.body)
		}, []Rule{RuleRead}},
		"read beside an order": {func(c *configurationChecker) {
			a, b := c.begin(0, 0, 1), c.begin(0, 1, 2)
			c.recordResponse(second, a, 200)
			floor := c.floor()
			c.recordResponse(second, b, 200)
			c.recordRead(2*second, floor, a.body)
		}, nil},
		"lost": {func(c *configurationChecker) {
			c.recordResponse(second, c.begin(0, 0, 1), 200)
			c.checkFinalRevision(0)
		}, []Rule{RuleChain}},
		"stale": {func(c *configurationChecker) {
			c.recordResponse(second, c.begin(0, 0, 1), 200)
			c.checkStaleness("g", 0, 2*second, 2*second)
			c.checkStaleness("g", 0, 4*second, 2*second)
		}, []Rule{RuleStale}},
		"not ordered": {func(c *configurationChecker) { c.recordShown("x") }, []Rule{RuleKnownConfiguration}},
	} {
		t.Run(name, func(t *testing.T) {
			var f recordedRules
			test.play(newConfigurationChecker(f.report))
			assert.DeepEqual(t, f.rules, test.want)
		})
	}
}

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
		"lost": {func(c *turnChecker, p *program) {
			a := c.begin(p, "", 30, 10)
			c.recordVerdict(a, tierv1.Verdict_OK, nil)
			c.recordSettling(a, true, 10)
			c.recordSettled(a)
			c.recordVerdict(c.begin(p, a.id, 30, 10), tierv1.Verdict_UNKNOWN, nil)
			c.recordVerdict(c.begin(p, a.id, 30, 10), tierv1.Verdict_OK, nil)
		}, []Rule{RuleTurn, RuleTurn}},
		"twice at an endpoint": {func(c *turnChecker, p *program) { c.recordRun("a"); c.recordRun("a") }, []Rule{RuleOnce}},
		"another's answer":     {func(c *turnChecker, p *program) { c.recordResponse(c.begin(p, "", 1, 1), "out of x\n") }, []Rule{RuleCaller}},
	} {
		t.Run(name, func(t *testing.T) {
			var f recordedRules
			c := newTurnChecker(f.report)
			test.play(c, c.program(0))
			assert.DeepEqual(t, f.rules, test.want)
		})
	}
}

func TestViewChecker(t *testing.T) {
	var f recordedRules
	v := newViewChecker(f.report)
	one, two := &process{}, &process{}
	part := func(epoch uint64, primary string) *tierv1.PartitionMap {
		return &tierv1.PartitionMap{Version: 10 * epoch, Partitions: []*tierv1.Partition{{Epoch: epoch, Primary: primary}}}
	}
	v.recordPartitionMap("one", one, part(1, "a"))
	v.recordPartitionMap("one", one, part(2, "b"))
	v.recordPartitionMap("two", two, part(1, "a"))
	assert.Equal(t, len(f.rules), 0)
	v.recordPartitionMap("two", two, part(2, "c")) // another value of a version, and of an epoch
	v.recordPartitionMap("one", one, part(1, "a"))
	assert.DeepEqual(t, f.rules, []Rule{RuleOneValue, RuleOneValue, RuleMonotonic})
	v.recordConfiguration("one", one, &tierv1.Configuration{Version: 5, Body: []byte("x")}, 3)
	v.recordConfiguration("one", one, &tierv1.Configuration{Version: 6, Body: []byte("y")}, 2)
	assert.DeepEqual(t, f.rules[3:], []Rule{RuleMonotonic})
}

// A new process is first shown what stood when it began, or later.
func TestViewChecker_FirstView(t *testing.T) {
	var f recordedRules
	v := newViewChecker(f.report)
	show := func(p *process, version uint64, revision int64) {
		v.recordConfiguration("g", p, &tierv1.Configuration{Version: version, Body: []byte(fmt.Sprint(revision))}, revision)
	}
	show(&process{}, 7, 3)
	assert.Equal(t, v.highest(), [2]uint64{7, 0})
	show(&process{floor: 3, shownBefore: v.highest()}, 7, 3)
	assert.Equal(t, len(f.rules), 0)
	show(&process{floor: 3, shownBefore: v.highest()}, 6, 3)
	show(&process{floor: 4}, 8, 3)
	assert.DeepEqual(t, f.rules, []Rule{RuleStale, RuleStale})
	v.recordPartitionMap("s", &process{shownBefore: [2]uint64{0, 5}}, &tierv1.PartitionMap{Version: 4})
	assert.DeepEqual(t, f.rules[2:], []Rule{RuleStale})
}
