package scenariofuzz

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// drawnFor draws some days of each scenario that fits.
func drawnFor(t *testing.T, fits func(scenario) bool) []*DrawnDay {
	var all []*DrawnDay
	for _, s := range scenarios {
		if !fits(s) {
			continue
		}
		for seed := range int64(6) {
			drawn, err := Draw(siteText(t), seed, s.name)
			assert.NilError(t, err)
			all = append(all, drawn)
		}
	}
	assert.Assert(t, len(all) > 0)
	return all
}

// machinesOf counts a deployment's machines by class.
func machinesOf(drawn *DrawnDay) map[any]int {
	counts := map[any]int{}
	for _, m := range tables(drawn.Site["machines"]) {
		counts[m["class"]] += m["count"].(int)
	}
	return counts
}

// The bench refuses a day with a trouble whose part of the rules is not in force.
func TestFaults_OfClosedContractsAreDropped(t *testing.T) {
	t.Parallel()
	dropped, kept := 0, 0
	for _, drawn := range drawnFor(t, func(scenario) bool { return true }) {
		open, _ := drawn.Site["contracts"].([]any)
		for _, entry := range entriesOf(drawn) {
			contract, bound := contractOf[entry["kind"].(string)]
			if !bound {
				continue
			}
			kept++
			assert.Assert(t, slices.Contains(open, any(contract)), "%s: %v", drawn.Scenario, entry)
		}
		if !slices.Contains(open, any("health")) {
			dropped++
		}
	}
	assert.Assert(t, dropped > 0 && kept > 0, "deployments without: %d; troubles: %d", dropped, kept)
}

func TestLargeAndSmallDeploymentsAreDrawn(t *testing.T) {
	t.Parallel()
	for _, drawn := range drawnFor(t, func(s scenario) bool { return s.large }) {
		counts := machinesOf(drawn)
		assert.Assert(t, counts["front"] >= 60 && counts["store"] == 9 && counts["core"] >= 5 && counts["core"] <= 8, "%v", counts)
		assert.Equal(t, lossesOf(drawn.Site), 2)
	}
	for _, drawn := range drawnFor(t, func(s scenario) bool { return s.few }) {
		counts := machinesOf(drawn)
		assert.Equal(t, counts["front"], 2*len(tables(drawn.Site["zones"])))
		assert.Assert(t, counts["store"] == 3 && counts["core"] == 3, "%v", counts)
	}
}

func TestTheSiteAsItIsKeepsItsDeployment(t *testing.T) {
	t.Parallel()
	seen := map[any]bool{}
	for _, drawn := range drawnFor(t, func(s scenario) bool { return s.asItIs }) {
		seen[drawn.Scenario] = true
		assert.DeepEqual(t, machinesOf(drawn), map[any]int{"front": 6, "store": 4, "core": 4})
		assert.Equal(t, drawn.AckMS(), 4000.0)
	}
	assert.Equal(t, len(seen), 3)
}

// Only where a scenario says so do troubles come after the day's length.
func TestFaults_DuringRecovery(t *testing.T) {
	t.Parallel()
	late := 0
	for _, drawn := range drawnFor(t, func(s scenario) bool { return s.afterEnd }) {
		assert.Assert(t, drawn.Day["closing"] != nil)
		for _, entry := range entriesOf(drawn) {
			if entry["at"].(float64) > lengthOf(drawn.Site) {
				late++
			}
		}
	}
	assert.Assert(t, late > 0)
}
