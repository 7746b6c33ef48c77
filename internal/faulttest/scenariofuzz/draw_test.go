package scenariofuzz

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

func siteText(t *testing.T) []byte {
	raw, err := os.ReadFile("testdata/site.toml")
	assert.NilError(t, err)
	return raw
}

func TestASeedDrawsTheSameDay(t *testing.T) {
	t.Parallel()
	for seed := range int64(60) {
		a, err := Draw(siteText(t), seed, "")
		assert.NilError(t, err)
		b, err := Draw(siteText(t), seed, "")
		assert.NilError(t, err)
		for _, pair := range [][2]Table{{a.Site, b.Site}, {a.Day, b.Day}} {
			x, err := toml.Marshal(pair[0])
			assert.NilError(t, err)
			y, err := toml.Marshal(pair[1])
			assert.NilError(t, err)
			assert.Equal(t, string(x), string(y))
		}
	}
}

// A drawn deployment must be able to survive the losses it tolerates: it has more than twice as many core and store machines as may be
// lost, and all machines are in known zones.
func TestDrawnDeploymentsSurviveTheirLosses(t *testing.T) {
	t.Parallel()
	seen := map[string]bool{}
	for seed := range int64(400) {
		drawn, err := Draw(siteText(t), seed, "")
		assert.NilError(t, err)
		seen[drawn.Scenario] = true
		zones := map[any]bool{}
		for _, z := range tables(drawn.Site["zones"]) {
			zones[z["name"]] = true
		}
		counts := map[any]int{}
		for _, m := range tables(drawn.Site["machines"]) {
			assert.Assert(t, zones[m["zone"]], "seed %d: unknown zone %v", seed, m["zone"])
			counts[m["class"]] += m["count"].(int)
		}
		loss := drawn.Site["tolerate"].(Table)["machines"].(int)
		assert.Assert(t, counts["core"] >= 2*loss+1 && counts["store"] >= 2*loss+1, "seed %d: machines %v, tolerated losses %d", seed, counts, loss)
		retires := 0
		for _, entry := range tables(drawn.Day["plan"]) {
			if entry["kind"] == "retire" {
				retires++
			}
		}
		assert.Assert(t, counts["store"]-retires >= loss+1, "seed %d: %d of %d stores are retired", seed, retires, counts["store"])
		assert.Assert(t, drawn.AckMS() >= minAckMS)
		assert.Assert(t, len(tables(drawn.Day["plan"])) > 0)
		last := lengthOf(drawn.Site)
		if scenarioOf(drawn).afterEnd {
			last += recoverySeconds
		}
		for _, entry := range entriesOf(drawn) {
			moment := entry["at"].(float64)
			assert.Assert(t, moment >= 0 && moment <= last, "seed %d: %v", seed, entry)
		}
	}
	assert.Equal(t, len(seen), len(scenarios))
}

func TestASiteFileThatLacksPartsIsRefused(t *testing.T) {
	t.Parallel()
	_, err := Draw([]byte("zones = []"), 1, "")
	assert.ErrorContains(t, err, "zones")
	_, err = Draw([]byte("zones = ["), 1, "")
	assert.ErrorContains(t, err, "site file")
}

func TestAnUnknownScenarioIsRefusedWithAllNames(t *testing.T) {
	t.Parallel()
	_, err := Draw(siteText(t), 1, "no such")
	assert.ErrorContains(t, err, "no such")
	assert.ErrorContains(t, err, scenarios[len(scenarios)-1].name)
}

func TestANamedScenarioIsDrawnWhateverTheSeed(t *testing.T) {
	t.Parallel()
	for _, name := range ScenarioNames() {
		for seed := range int64(5) {
			drawn, err := Draw(siteText(t), seed, name)
			assert.NilError(t, err)
			assert.Equal(t, drawn.Scenario, name)
			assert.Assert(t, len(entriesOf(drawn)) > 0)
		}
	}
}

// scenarioOf returns the scenario that a day was drawn for.
func scenarioOf(drawn *DrawnDay) scenario {
	return scenarios[slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == drawn.Scenario })]
}

// entriesOf returns the planned work and the faults of a day.
func entriesOf(drawn *DrawnDay) []Table {
	return append(tables(drawn.Day["plan"]), tables(drawn.Day["faults"])...)
}

// tokens returns the words of an entry's variant.
func tokens(entry Table) []string {
	how, _ := entry["how"].(string)
	return strings.Fields(how)
}

// documentedVariants has the kinds of faults and planned work that the bench documents, with the words of their variants.
var documentedVariants = map[string]string{
	"burst": "", "release": "all across", "answer_lost": "reset", "garble": "extra late unframed early rot",
	"node_kill": "power leader reader giver turn seed meet race hard drain", "node_freeze": "leader reader giver turn seed meet race hard drain",
	"roll_term": "busy remove", "add_nodes": "", "replace_core": "oldest planned", "after_ack_kill": "kill timed taken gone",
	"after_ack_wipe": "timed taken oldest",
	"core_cut":       "all near oldest one_way seeds both lure behind split relieve leader reader giver turn seed meet race hard drain reset refuse",
	"config_change":  "route weights timeout tenant quota down topup idle", "config_race": "",
	"bad_config": "cut_short unknown_service same_place no_weight no_timeout old_version same_version stale_match shared_key",
	"retire":     "wipe", "give_up": "", "srv_crash": "dark gone domain joined rack", "srv_slow": "",
	"srv_grey": "errors shed busy hang reset mute slow one_zone", "srv_cut": "fronts some lossy one_way reset", "replace_with_reuse": "drain dark",
	"scale_out": "", "scale_in": "spot reclaim dry", "node_slow": "", "herd_kill": "power taken all off race drain hard", "srv_lying_health": "errors hang reset bad", "srv_flap": "", "idle_race": "", "seed_turnover": "", "disk_slow": "",
	"disk_full": "", "disk_stall": "", "clock_step": "back ahead", "hup": "", "reset_conns": "", "node_cut": "all servers", "ack_lost": "",
	"power_off_all": "all timed taken", "wipe_after_ack": "all timed taken oldest", "kill_all": "",
}

func TestAllKindsAndVariantsAreDrawn(t *testing.T) {
	t.Parallel()
	missing := map[string]bool{}
	for kind, variants := range documentedVariants {
		missing[kind] = true
		for _, word := range strings.Fields(variants) {
			missing[kind+" "+word] = true
		}
	}
	moments, together, twice, twentySeconds, eightOrders, hundreds := map[string][2]bool{}, 0, 0, 0, 0, 0
	for seed := range int64(600) {
		drawn, err := Draw(siteText(t), seed, "")
		assert.NilError(t, err)
		all := entriesOf(drawn)
		if closing, ok := drawn.Day["closing"].(Table); ok {
			all = append(all, closing)
		}
		count, faultsAt, ordersAt, changes := map[string]int{}, map[any]int{}, map[any]int{}, 0
		for _, entry := range all {
			name := entry["kind"].(string)
			variants, known := documentedVariants[name]
			assert.Assert(t, known, "seed %d: %v", seed, entry)
			delete(missing, name)
			for _, word := range tokens(entry) {
				assert.Assert(t, slices.Contains(strings.Fields(variants), word), "seed %d: %v", seed, entry)
				delete(missing, name+" "+word)
			}
			count[name]++
			moment, ok := entry["at"].(float64)
			if !ok {
				continue
			}
			half := moments[name]
			half[min(int(2*moment/(lengthOf(drawn.Site)+1)), 1)] = true
			moments[name] = half
			switch name {
			case "config_change":
				ordersAt[moment]++
				changes++
			case "config_race":
				pairs, _ := entry["count"].(int)
				ordersAt[moment] += 2
				changes += 2 * pairs
			default:
				faultsAt[moment]++
			}
			if name == "core_cut" && entry["for_s"] == 20.0 {
				twentySeconds++
			}
		}
		for _, n := range faultsAt {
			if n >= 2 && n <= 4 {
				together++
				break
			}
		}
		for _, n := range ordersAt {
			if n >= 8 {
				eightOrders++
				break
			}
		}
		for name, n := range count {
			if n > 1 && name != "config_change" {
				twice++
				break
			}
		}
		if lengthOf(drawn.Site) == 200 && changes >= 200 {
			hundreds++
		}
	}
	assert.Equal(t, len(missing), 0, "never drawn: %v", missing)
	for name, half := range moments {
		assert.Assert(t, half[0] && half[1], "%s is drawn only in one half of the day", name)
	}
	assert.Assert(t, together > 100, "days with two to four faults at the same time: %d", together)
	assert.Assert(t, twice > 100, "days with a kind more than once: %d", twice)
	assert.Assert(t, twentySeconds > 20, "partitions of twenty seconds: %d", twentySeconds)
	assert.Assert(t, eightOrders > 10, "days with eight commands at once: %d", eightOrders)
	assert.Assert(t, hundreds > 10, "days of 200 s with hundreds of changes: %d", hundreds)
}

func TestDeploymentsOfAllSizesAreDrawn(t *testing.T) {
	t.Parallel()
	seen := map[string]bool{}
	for seed := range int64(144) {
		drawn, err := Draw(siteText(t), seed, "")
		assert.NilError(t, err)
		cores := 0
		for _, m := range tables(drawn.Site["machines"]) {
			if m["class"] == "core" {
				cores += m["count"].(int)
			}
			seen[fmt.Sprintf("processors %v", m["cores"])] = true
		}
		seen[fmt.Sprintf("cores %d", cores)] = true
		for key, n := range drawn.Site["tolerate"].(Table) {
			seen[fmt.Sprintf("%s %v", key, n)] = true
		}
	}
	for _, want := range []string{"cores 3", "cores 5", "cores 7", "processors 1", "processors 4", "machines 1", "machines 2", "zones 1", "regions 1"} {
		assert.Assert(t, seen[want], "never drawn: %s; drawn: %v", want, seen)
	}
}

// A fault never strikes more core or store machines than may be lost at once.
func TestFaults_WithinTolerance(t *testing.T) {
	t.Parallel()
	for seed := range int64(144) {
		drawn, err := Draw(siteText(t), seed, "")
		assert.NilError(t, err)
		for _, entry := range entriesOf(drawn) {
			count, given := entry["count"].(int)
			switch entry["kind"] {
			case "core_cut", "disk_full", "disk_slow", "disk_stall", "after_ack_kill", "after_ack_wipe", "node_kill", "node_freeze", "node_slow":
				assert.Assert(t, !given || count <= lossesOf(drawn.Site), "seed %d: %v", seed, entry)
			}
		}
	}
}
