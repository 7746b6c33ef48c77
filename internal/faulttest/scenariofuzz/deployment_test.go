package scenariofuzz

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// drawnFor draws six days of each scenario that fits.
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

// The bench rejects a day with a fault whose contract is not active, so such faults must be dropped.
func TestFaults_OfInactiveContractsAreDropped(t *testing.T) {
	t.Parallel()
	withoutHealth, requiring := 0, 0
	for _, drawn := range drawnFor(t, func(scenario) bool { return true }) {
		active, _ := drawn.Site["contracts"].([]any)
		for _, entry := range entriesOf(drawn) {
			contract, requiresContract := contractOf[entry["kind"].(string)]
			if !requiresContract {
				continue
			}
			requiring++
			assert.Assert(t, slices.Contains(active, any(contract)), "%s: %v", drawn.Scenario, entry)
		}
		if !slices.Contains(active, any("health")) {
			withoutHealth++
		}
	}
	assert.Assert(t, withoutHealth > 0 && requiring > 0, "days without the health contract: %d; faults that need a contract: %d", withoutHealth, requiring)
}

func TestLargeAndSmallDeploymentsAreDrawn(t *testing.T) {
	t.Parallel()
	for _, drawn := range drawnFor(t, func(s scenario) bool { return s.large }) {
		counts := machinesOf(drawn)
		assert.Assert(t, counts["front"] >= 60 && counts["store"] == 9 && counts["core"] >= 5 && counts["core"] <= 8, "%v", counts)
		assert.Equal(t, lossesOf(drawn.Site), 2)
	}
	for _, drawn := range drawnFor(t, func(s scenario) bool { return s.small }) {
		counts := machinesOf(drawn)
		assert.Equal(t, counts["front"], 2*len(tables(drawn.Site["zones"])))
		assert.Assert(t, counts["store"] == 3 && counts["core"] == 3, "%v", counts)
	}
}

func TestTheSiteAsItIsKeepsItsDeployment(t *testing.T) {
	t.Parallel()
	seen := map[any]bool{}
	for _, drawn := range drawnFor(t, func(s scenario) bool { return s.unmodified }) {
		seen[drawn.Scenario] = true
		assert.DeepEqual(t, machinesOf(drawn), map[any]int{"front": 6, "store": 4, "core": 4})
		assert.Equal(t, drawn.AckMS(), 4000.0)
	}
	assert.Equal(t, len(seen), 3)
}

// In a scenario with afterEnd, faults also begin after the day's length, and the day has a closing fault.
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
