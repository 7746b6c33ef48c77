package health

import (
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/knowledge"
)

// What the aggregator decides by reports.
func TestAggregator(t *testing.T) {
	t.Parallel()
	ms := time.Millisecond
	for name, c := range map[string]struct {
		play func(tr *aggregatorTest)
		want string
	}{
		"nobody says anything": {func(tr *aggregatorTest) {}, "none"},
		"two agree": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(200 * ms)
		}, "out"},
		"one alone waits for others": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1500 * ms)
		}, "none"},
		"one alone for some time": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1500 * ms)
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(800 * ms)
		}, "out"},
		"one against two that are served": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Healthy, 0)
			tr.says("c", 7, knowledge.Healthy, 0)
			tr.statusAfter(3000 * ms)
		}, "none"},
		"broken lines talk nobody into anything": {func(tr *aggregatorTest) {
			for _, who := range []string{"a", "b"} {
				for d := range uint32(8) {
					tr.says(who, d, knowledge.Unhealthy, 0)
				}
			}
			tr.says("c", 7, knowledge.Healthy, 0)
			tr.statusAfter(3000 * ms)
		}, "none"},
		"a call is served": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.says("a", 7, knowledge.WarmingUp, 0)
			tr.statusAfter(200 * ms)
		}, "cold"},
		"what was served before it is no return": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.says("c", 7, knowledge.Healthy, 2*time.Second)
			tr.statusAfter(200 * ms)
		}, "out"},
		"it has warmed up": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.says("a", 7, knowledge.Healthy, 0)
			tr.statusAfter(4500 * ms)
			if got := tr.statusAfter(100 * ms); got != "cold" {
				tr.t.Errorf("it is %s while it warms up", got)
			}
			tr.statusAfter(1500 * ms)
		}, "none"},
		"it falls again": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.says("a", 7, knowledge.Healthy, 0)
			tr.statusAfter(500 * ms)
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(200 * ms)
		}, "out"},
		"it is said again as long as somebody tells of it": {func(tr *aggregatorTest) {
			for range 20 {
				tr.says("a", 7, knowledge.Unhealthy, 0)
				tr.says("b", 7, knowledge.Unhealthy, 0)
				tr.statusAfter(1000 * ms)
			}
			if v := StatusOf(tr.State(), 7, false); v.UpdateIndex < v.StartIndex+3 {
				tr.t.Errorf("it was not said again: %v", v)
			}
		}, "out"},
		"nobody goes there any more": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(7000 * ms)
		}, "none"},
		"another is in charge": {func(tr *aggregatorTest) {
			tr.owns = false
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
		}, "none"},
		"no rule asks for it any more": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.rule = Rule{}
			tr.statusAfter(1500 * ms)
		}, "none"},
		"one that takes over waits to be told": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.aggregator, tr.epoch = NewAggregator(), 2
			tr.statusAfter(3000 * ms)
		}, "out"},
		"one that takes over goes on": {func(tr *aggregatorTest) {
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.says("b", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(1000 * ms)
			tr.aggregator, tr.epoch = NewAggregator(), 2
			tr.says("a", 7, knowledge.Unhealthy, 0)
			tr.statusAfter(3000 * ms)
			if v := StatusOf(tr.State(), 7, false); v.GetEpoch() != 2 || v.GetStartIndex() != 1 {
				tr.t.Errorf("%v", v)
			}
		}, "out"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := newTrial(t)
			c.play(tr)
			if got := tr.statusAfter(100 * ms); got != c.want {
				t.Errorf("it is held to be %s, want %s", got, c.want)
			}
		})
	}
}
