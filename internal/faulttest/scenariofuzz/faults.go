package scenariofuzz

import (
	"math"
	"strings"
)

// kind is one kind of fault or planned work, with its variants and ranges.
type kind struct {
	kind    string
	planned bool     // listed in the day's plan, not in its faults
	on      []string // classes of machines; "" omits the field
	how     []string // variants; "" omits the field
	fill    func(r random, t Table, site Table)
}

// leaderVariants are the variants that select the machine to strike, and what follows the fault.
var leaderVariants = []string{"", "leader", "reader", "giver", "turn", "seed", "giver race", "seed race drain hard", "leader meet", "leader race", "leader race hard", "leader meet drain",
	"leader race drain hard", "meet drain", "race"}

// kinds has every kind of fault and planned work that the bench supports. A kind may be listed more than once, with different ranges.
var kinds = []kind{
	{kind: "config_change", planned: true, how: []string{"route", "weights", "timeout", "tenant", "quota", "quota down", "topup", "idle"}},
	{kind: "config_race", planned: true, fill: func(r random, t, _ Table) {
		t["count"], t["gap_s"] = r.integer(1, 12), r.logUniform(0.05, 2)
	}},
	{kind: "bad_config", planned: true,
		how:  []string{"", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key"},
		fill: func(r random, t, _ Table) { t["count"], t["gap_s"] = r.integer(1, 4), r.between(0.6, 1.5) }},
	{kind: "release", planned: true, how: []string{"", "all", "across"}, fill: func(r random, t, site Table) {
		t["share"], t["x"], t["gap_s"] = r.between(0.2, 1), r.integer(1, 2), r.between(0.5, 1.5)
		r.service(t, site)
	}},
	{kind: "roll_term", planned: true, on: []string{"front", "core", "store", ""}, how: []string{"", "busy"}, fill: func(r random, t, _ Table) {
		t["share"], t["x"], t["gap_s"] = r.between(0.3, 1), 1, r.between(0.6, 3)
	}},
	{kind: "roll_term", planned: true, how: []string{"remove"}, fill: func(r random, t, _ Table) {
		t["share"], t["gap_s"] = r.between(0.1, 0.3), r.between(1, 3)
	}},
	{kind: "add_nodes", planned: true, on: []string{"", "core", "store"}, fill: func(r random, t, _ Table) { t["count"] = r.integer(1, 2) }},
	{kind: "replace_core", planned: true, on: []string{"", "store"}, how: []string{"planned"}, fill: func(r random, t, _ Table) { t["x"] = r.between(0.5, 3) }},
	{kind: "retire", planned: true, how: []string{"", "wipe"}, fill: lasting(5, 10)},
	{kind: "scale_out", planned: true, fill: func(r random, t, site Table) {
		t["share"], t["gap_s"] = r.between(0.1, 0.5), r.between(0.5, 3)
		r.service(t, site)
	}},
	{kind: "scale_in", planned: true, how: []string{"", "spot", "reclaim", "reclaim dry"}, fill: func(r random, t, site Table) {
		t["share"] = r.between(0.1, 0.3)
		if t["how"] == "spot" {
			t["x"] = r.between(1, 3)
		}
		if how, _ := t["how"].(string); strings.HasPrefix(how, "reclaim") {
			t["x"], t["for_s"] = r.between(1, 4), r.between(3, 8)
		}
		r.service(t, site)
	}},
	{kind: "hup", planned: true, fill: func(r random, t, _ Table) { t["share"], t["gap_s"] = r.between(0.2, 1), r.between(0, 3) }},
	{kind: "seed_turnover", planned: true},

	{kind: "burst", fill: func(r random, t, site Table) {
		t["x"], t["for_s"] = r.between(1.4, 2.3), r.between(2, 5)
		if r.Intn(3) == 0 {
			t["zone"] = pick(r, tables(site["zones"])...)["name"]
		}
	}},
	{kind: "give_up", fill: func(r random, t, _ Table) { t["share"], t["for_s"] = r.between(0.1, 0.6), r.between(2, 6) }},
	{kind: "answer_lost", how: []string{"", "reset"}, fill: func(r random, t, site Table) {
		t["share"], t["x"], t["for_s"] = 0.6, r.between(0.02, 0.08), r.between(3, 6)
		r.service(t, site)
	}},
	{kind: "garble", how: []string{"", "extra", "extra late", "unframed", "early", "rot"}, fill: func(r random, t, site Table) {
		t["share"], t["x"], t["for_s"] = 0.6, r.between(0.01, 0.06), r.between(3, 6)
		r.service(t, site)
	}},
	{kind: "ack_lost", fill: func(r random, t, _ Table) { t["x"], t["for_s"] = r.between(0.4, 0.95), r.between(3, 12) }},

	{kind: "srv_crash", how: []string{"", "dark", "gone", "domain", "joined", "rack"}, fill: endpoints(0.1, 0.4, 0, 0)},
	{kind: "srv_slow", fill: endpoints(0.1, 0.4, 2, 8)},
	{kind: "srv_lying_health", how: []string{"", "errors", "hang", "reset", "bad"}, fill: endpoints(0.1, 0.4, 0, 0)},
	{kind: "srv_flap", fill: func(r random, t, site Table) {
		endpoints(0.1, 0.4, 0, 0)(r, t, site)
		t["gap_s"] = r.between(0.3, 2)
	}},
	{kind: "idle_race", fill: func(r random, t, site Table) {
		endpoints(0.3, 1, 0, 0)(r, t, site)
		t["x"] = r.integer(50, 800)
	}},
	{kind: "srv_grey", how: []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"}, fill: func(r random, t, site Table) {
		endpoints(0.1, 0.4, 0.2, 0.6)(r, t, site)
		if t["how"] == "slow" {
			t["x"] = r.between(3, 10)
		}
		if zones := tables(site["zones"]); r.Intn(4) == 0 {
			setHow(t, t["how"].(string), "one_zone")
			t["to_zone"] = zones[r.Intn(len(zones))]["name"]
		}
	}},
	{kind: "srv_cut", how: []string{"", "fronts", "some", "some lossy", "one_way", "reset"}, fill: func(r random, t, site Table) {
		endpoints(0.1, 0.4, 0, 0)(r, t, site)
		if how, _ := t["how"].(string); how == "fronts" || strings.HasPrefix(how, "some") {
			t["x"] = r.between(0.2, 0.5)
		}
	}},
	{kind: "replace_with_reuse", how: []string{"", "drain", "dark"}, fill: func(r random, t, site Table) {
		t["share"] = r.between(0.1, 0.3)
		r.service(t, site)
	}},

	{kind: "node_kill", how: []string{"", "power"}, fill: machineFraction(0.1, 0.5, 1, 5)},
	{kind: "node_kill", on: []string{"core"}, how: append([]string{"power", "leader power hard"}, leaderVariants...), fill: withinTolerance(0.5, 5)},
	{kind: "node_kill", on: []string{"core"}, how: []string{"reader", "turn", "seed", "turn race hard", "seed meet"}, fill: withinTolerance(0.5, 20)},
	{kind: "node_kill", on: []string{"store"}, how: []string{"", "power"}, fill: withinTolerance(0.5, 5)},
	{kind: "node_freeze", on: []string{"core"}, how: leaderVariants, fill: withinTolerance(0.3, 6)},
	{kind: "node_freeze", on: []string{"store"}, fill: withinTolerance(0.3, 6)},
	{kind: "node_freeze", fill: machineFraction(0.1, 0.5, 0.3, 6)},
	{kind: "node_slow", fill: func(r random, t, site Table) { machineFraction(0.1, 0.3, 2, 6)(r, t, site); t["x"] = r.between(2, 8) }},
	{kind: "node_slow", on: []string{"core", "store"}, fill: func(r random, t, site Table) { withinTolerance(2, 6)(r, t, site); t["x"] = r.between(2, 8) }},
	{kind: "node_cut", how: []string{"", "all", "servers"}, fill: machineFraction(0.1, 0.4, 1, 20)},
	{kind: "herd_kill", how: []string{"", "power"}, fill: func(r random, t, _ Table) { t["share"], t["for_s"] = r.between(0.3, 0.8), r.between(0.3, 2) }},
	{kind: "herd_kill", on: []string{"core"}, how: []string{"", "power", "taken", "taken all", "off", "race drain hard"}, fill: lasting(0.3, 2)},
	{kind: "reset_conns", fill: func(r random, t, _ Table) { t["share"], t["x"] = r.between(0.1, 1), r.between(0.2, 1) }},
	{kind: "clock_step", how: []string{"", "back", "ahead"}, fill: func(r random, t, _ Table) {
		t["share"], t["x"], t["for_s"] = r.between(0.1, 0.6), r.integer(200, 20000), r.between(2, 8)
	}},

	{kind: "replace_core", on: []string{"", "store"}, how: []string{"", "oldest"}, fill: func(r random, t, _ Table) { t["x"] = r.between(0.3, 4) }},
	{kind: "after_ack_kill", how: []string{"", "kill", "timed", "taken"}, fill: lasting(0.5, 4)},
	{kind: "after_ack_kill", on: []string{"store"}, how: []string{"", "kill", "timed", "taken", "taken gone"}, fill: withinTolerance(0.5, 4)},
	{kind: "after_ack_wipe", how: []string{"", "timed", "taken", "oldest"}, fill: lasting(0.5, 4)},
	{kind: "after_ack_wipe", on: []string{"store"}, how: []string{"", "timed", "taken", "oldest"}, fill: withinTolerance(0.5, 4)},
	{kind: "core_cut", fill: func(r random, t, site Table) {
		withinTolerance(1, 7)(r, t, site)
		setHow(t, pick(r, partitionScopes...), pick(r, partitionFollowers...))
		if r.Intn(4) == 0 {
			t["for_s"] = 20.0
		}
	}},
	{kind: "core_cut", on: []string{"store"}, how: []string{"", "one_way", "reset", "refuse", "all", "near", "oldest", "split", "both", "behind"}, fill: withinTolerance(1, 10)},
	{kind: "disk_slow", on: []string{"core", "store"}, fill: func(r random, t, site Table) { withinTolerance(2, 8)(r, t, site); t["x"] = r.logUniform(10, 200) }},
	{kind: "disk_full", on: []string{"core", "store"}, fill: withinTolerance(2, 8)},
	{kind: "disk_stall", on: []string{"core", "store"}, fill: withinTolerance(1, 6)},
}

var closings = []Table{
	newFault("power_off_all"), newFault("power_off_all", "how", "all"), newFault("power_off_all", "how", "timed"), newFault("power_off_all", "how", "taken"),
	newFault("wipe_after_ack"), newFault("wipe_after_ack", "how", "all"), newFault("wipe_after_ack", "how", "timed"),
	newFault("wipe_after_ack", "how", "taken"), newFault("wipe_after_ack", "how", "oldest"),
	newFault("kill_all"),
}

// lasting draws the duration of a fault.
func lasting(low, high float64) func(random, Table, Table) {
	return func(r random, t, _ Table) { t["for_s"] = r.between(low, high) }
}

// withinTolerance draws a number of machines, at most as many as may be lost at once, and a duration.
func withinTolerance(low, high float64) func(random, Table, Table) {
	return func(r random, t, site Table) {
		t["count"], t["for_s"] = r.integer(1, lossesOf(site)), r.between(low, high)
	}
}

// machineFraction draws a fraction of all machines and a duration.
func machineFraction(least, most, low, high float64) func(random, Table, Table) {
	return func(r random, t, _ Table) { t["share"], t["for_s"] = r.between(least, most), r.between(low, high) }
}

// endpoints draws a fraction of a service's endpoints, a duration and, unless strong is 0, an intensity.
func endpoints(least, most, weak, strong float64) func(random, Table, Table) {
	return func(r random, t, site Table) {
		t["share"], t["for_s"] = r.between(least, most), r.between(2, 8)
		if strong > 0 {
			t["x"] = r.between(weak, strong)
		}
		r.service(t, site)
	}
}

// service selects a service in half of the draws; in the others the field is omitted and the day's seed selects the service.
func (r random) service(t, site Table) {
	if services := tables(site["services"]); r.Intn(2) == 0 {
		t["service"] = services[r.Intn(len(services))]["name"]
	}
}

// setHow sets the variant to the joined words; it omits the field if there are none.
func setHow(t Table, words ...string) {
	if how := strings.Join(strings.Fields(strings.Join(words, " ")), " "); how != "" {
		t["how"] = how
	}
}

// setField sets a field unless the value is empty.
func setField(t Table, field, value string) {
	if value != "" {
		t[field] = value
	}
}

// entry draws one fault or planned work of any kind, without its time.
func (r random) entry(site Table) Table { return r.drawKind(kinds[r.Intn(len(kinds))], site) }

// entryOf draws one entry of the named kind, without its time.
func (r random) entryOf(name string, site Table) Table {
	var fitting []kind
	for _, k := range kinds {
		if k.kind == name {
			fitting = append(fitting, k)
		}
	}
	return r.drawKind(pick(r, fitting...), site)
}

func (r random) drawKind(k kind, site Table) Table {
	t := Table{"kind": k.kind}
	if len(k.on) > 0 {
		setField(t, "on", pick(r, k.on...))
	}
	if len(k.how) > 0 {
		setHow(t, pick(r, k.how...))
	}
	if k.fill != nil {
		k.fill(r, t, site)
	}
	return t
}

// isPlanned reports whether an entry belongs to the day's plan. A replace_core belongs to the plan only in its planned variant.
func isPlanned(t Table) bool {
	if t["kind"] == "replace_core" {
		how, _ := t["how"].(string)
		return strings.Contains(how, "planned")
	}
	for _, k := range kinds {
		if k.kind == t["kind"] {
			return k.planned
		}
	}
	return false
}

// toThousandths rounds to the nearest thousandth.
func toThousandths(x float64) float64 { return math.Round(x*1000) / 1000 }
