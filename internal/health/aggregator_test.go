package health

import (
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/knowledge"
)

// Checks the status of destination 7 after sequences of reports.
func TestAggregator(t *testing.T) {
	t.Parallel()
	ms := time.Millisecond
	for name, c := range map[string]struct {
		run  func(tr *aggregatorTest)
		want string
	}{
		"no reports": {func(tr *aggregatorTest) {}, "none"},
		"two agree": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(200 * ms)
		}, "out"},
		"one alone waits for others": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1500 * ms)
		}, "none"},
		"one alone for some time": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1500 * ms)
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(800 * ms)
		}, "out"},
		"one outage report against two healthy reports": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Healthy, 0)
			tr.observe("c", 7, knowledge.Healthy, 0)
			tr.statusAfter(3000 * ms)
		}, "none"},
		"reports of senders with broken networks do not count": {func(tr *aggregatorTest) {
			for _, sender := range []string{"a", "b"} {
				for d := range uint32(8) {
					tr.observe(sender, d, knowledge.Unhealthy, 0)
				}
			}
			tr.observe("c", 7, knowledge.Healthy, 0)
			tr.statusAfter(3000 * ms)
		}, "none"},
		"a call is served": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.observe("a", 7, knowledge.WarmingUp, 0)
			tr.statusAfter(200 * ms)
		}, "cold"},
		"a call served before the ejection does not end it": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.observe("c", 7, knowledge.Healthy, 2*time.Second)
			tr.statusAfter(200 * ms)
		}, "out"},
		"it has warmed up": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.observe("a", 7, knowledge.Healthy, 0)
			tr.statusAfter(4500 * ms)
			if got := tr.statusAfter(100 * ms); got != "cold" {
				tr.t.Errorf("status %s while it warms up, want cold", got)
			}
			tr.statusAfter(1500 * ms)
		}, "none"},
		"it fails again while it warms up": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.observe("a", 7, knowledge.Healthy, 0)
			tr.statusAfter(500 * ms)
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(200 * ms)
		}, "out"},
		"the status is renewed while reports arrive": {func(tr *aggregatorTest) {
			for range 20 {
				tr.observe("a", 7, knowledge.Unhealthy, 0)
				tr.observe("b", 7, knowledge.Unhealthy, 0)
				tr.statusAfter(1000 * ms)
			}
			if v := StatusOf(tr.State(), 7, false); v.UpdateIndex < v.StartIndex+3 {
				tr.t.Errorf("the status was not renewed: %v", v)
			}
		}, "out"},
		"no reports for longer than the TTL": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(7000 * ms)
		}, "none"},
		"another sender is the owner": {func(tr *aggregatorTest) {
			tr.owns = false
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
		}, "none"},
		"the rule is removed": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.rule = Rule{}
			tr.statusAfter(1500 * ms)
		}, "none"},
		"a new owner without reports keeps the status": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.aggregator, tr.epoch = NewAggregator(), 2
			tr.statusAfter(3000 * ms)
		}, "out"},
		"a new owner renews the status": {func(tr *aggregatorTest) {
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.observe("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.aggregator, tr.epoch = NewAggregator(), 2
			tr.observe("a", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(3000 * ms)
			if v := StatusOf(tr.State(), 7, false); v.GetEpoch() != 2 || v.GetStartIndex() != 1 {
				tr.t.Errorf("%v", v)
			}
		}, "out"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := newAggregatorTest(t)
			c.run(tr)
			if got := tr.statusAfter(100 * ms); got != c.want {
				t.Errorf("status %s, want %s", got, c.want)
			}
		})
	}
}
