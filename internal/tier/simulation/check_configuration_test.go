package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
		"rejected without a competing change": {func(c *configurationChecker) { c.recordResponse(second, c.begin(0, 0, 1), 412) }, []Rule{RuleRejection}},
		"rejected when sent again": {func(c *configurationChecker) {
			a := c.begin(0, 0, 1)
			c.recordResponse(second, a, 200)
			c.recordResponse(second, a, 412)
		}, []Rule{RuleIdempotent}},
		"rejected and in force": {func(c *configurationChecker) {
			a := c.begin(0, 0, 1)
			c.begin(0, 0, 2)
			c.recordResponse(second, a, 412)
			c.recordReceived(a.body)
		}, []Rule{RuleRejection}},
		"stale read": {func(c *configurationChecker) {
			a, b := c.begin(0, 0, 1), c.begin(0, 1, 2)
			c.recordResponse(second, a, 200)
			c.recordResponse(second, b, 200)
			c.recordRead(2*second, c.floor(), a.body)
		}, []Rule{RuleRead}},
		"read concurrent with a change": {func(c *configurationChecker) {
			a, b := c.begin(0, 0, 1), c.begin(0, 1, 2)
			c.recordResponse(second, a, 200)
			floor := c.floor()
			c.recordResponse(second, b, 200)
			c.recordRead(2*second, floor, a.body)
		}, nil},
		"acknowledged change lost": {func(c *configurationChecker) {
			c.recordResponse(second, c.begin(0, 0, 1), 200)
			c.checkFinalRevision(0)
		}, []Rule{RuleChain}},
		"stale": {func(c *configurationChecker) {
			c.recordResponse(second, c.begin(0, 0, 1), 200)
			c.checkStaleness("g", 0, 2*second, 2*second)
			c.checkStaleness("g", 0, 4*second, 2*second)
		}, []Rule{RuleStale}},
		"unknown configuration": {func(c *configurationChecker) { c.recordReceived("x") }, []Rule{RuleKnownConfiguration}},
	} {
		t.Run(name, func(t *testing.T) {
			var f recordedRules
			test.play(newConfigurationChecker(f.report))
			assert.DeepEqual(t, f.rules, test.want)
		})
	}
}
