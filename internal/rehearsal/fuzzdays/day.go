package fuzzdays

import (
	"slices"
	"sort"
	"strings"
)

// focus is what a kind of trip looks at: fixed parts of the deployment and troubles that its days must hold.
type focus struct {
	name                 string
	zones, cores, stores int
	machines             int
	loseZone, loseRegion bool
	far, slowDisk        bool
	must                 []Table
	closing              []Table
}

func trouble(kind string, fields ...any) Table {
	t := Table{"kind": kind}
	for i := 0; i+1 < len(fields); i += 2 {
		t[fields[i].(string)] = fields[i+1]
	}
	return t
}

var focuses = []focus{
	{name: "five cores, two may go", cores: 5, stores: 5, machines: 2},
	{name: "three cores", cores: 3, stores: 3},
	{name: "slow disks", slowDisk: true},
	{name: "far zones", far: true},
	{name: "all machines rolled while busy", must: []Table{trouble("roll_term", "how", "busy", "gap_s", 1.0)}},
	{name: "core replaced", must: []Table{
		trouble("replace_core", "x", 1.2), trouble("replace_core", "x", 2.0, "how", "planned")}},
	{name: "core replaced and stores rolled", must: []Table{
		trouble("replace_core", "how", "planned", "x", 1.0), trouble("roll_term", "on", "store", "share", 1.0, "gap_s", 1.0),
		trouble("replace_core", "on", "store", "how", "planned", "x", 1.0)}},
	{name: "store emptied, others wiped", must: []Table{
		trouble("retire", "for_s", 7.0, "how", "wipe"), trouble("add_nodes", "on", "store", "count", 1)}},
	{name: "machines added", must: []Table{
		trouble("add_nodes"), trouble("add_nodes", "on", "core", "count", 1), trouble("add_nodes", "on", "store", "count", 1)}},
	{name: "core cut at its leader", must: []Table{
		trouble("core_cut", "for_s", 4.0, "how", "leader one_way race"), trouble("core_cut", "for_s", 4.0, "how", "leader reset hard")}},
	{name: "core cut, refused", must: []Table{
		trouble("core_cut", "for_s", 5.0, "how", "leader refuse race drain hard"), trouble("core_cut", "for_s", 4.0, "how", "leader meet one_way")}},
	{name: "final fault, timed or taken", closing: []Table{
		{"kind": "wipe_after_ack", "how": "timed"}, {"kind": "wipe_after_ack", "how": "taken"}, {"kind": "power_off_all", "how": "timed"},
		{"kind": "power_off_all", "how": "taken"}, {"kind": "wipe_after_ack", "how": "all timed"}, {"kind": "wipe_after_ack", "how": "all taken"}}},
	{name: "final fault with five cores", cores: 5, stores: 5, machines: 2, closing: []Table{
		{"kind": "wipe_after_ack", "how": "all"}, {"kind": "wipe_after_ack", "how": "taken"}, {"kind": "wipe_after_ack", "how": "all taken"}}},
	{name: "a zone may go", zones: 3, loseZone: true},
	{name: "a region may go", zones: 3, loseZone: true, loseRegion: true, far: true},
	{name: "five zones, one may go", zones: 5, loseZone: true},
	{name: "far and slow", far: true, slowDisk: true, cores: 3},
	{name: "core rolled with far zones", far: true, must: []Table{
		trouble("roll_term", "on", "core", "share", 1.0, "gap_s", 2.0), trouble("config_race", "count", 5, "gap_s", 1.0)}},
	{name: "whatever comes"},
}

// entry is one kind of trouble with its ranges.
type entry struct {
	kind string

	on   []string
	how  []string
	fill func(d draw, t Table, site Table)
}

func seconds(lo, hi float64) func(draw, Table, Table) {
	return func(d draw, t Table, _ Table) { t["for_s"] = d.between(lo, hi) }
}

var entries = []entry{
	{kind: "config_change", how: []string{"route", "weights", "timeout", "idle"}},
	{kind: "config_race", fill: func(d draw, t, _ Table) { t["count"], t["gap_s"] = d.span(1, 5), d.between(0.6, 2) }},
	{kind: "bad_config", how: []string{"", "cut_short", "unknown_service", "no_weight", "no_timeout", "old_version", "stale_match"},
		fill: func(d draw, t, _ Table) { t["count"], t["gap_s"] = d.span(1, 4), d.between(0.6, 1.5) }},
	{kind: "release", how: []string{"", "all", "across"}, fill: func(d draw, t, _ Table) {
		t["share"], t["x"], t["gap_s"] = d.between(0.2, 1), d.span(1, 2), d.between(0.5, 1.5)
	}},
	{kind: "roll_term", on: []string{"front", "core", "store", ""}, how: []string{"", "busy", "busy"}, fill: func(d draw, t, _ Table) {
		t["share"], t["x"], t["gap_s"] = d.between(0.3, 1), 1, d.between(0.6, 3)
	}},
	{kind: "roll_term", how: []string{"remove"}, fill: func(d draw, t, _ Table) {
		t["share"], t["gap_s"] = d.between(0.1, 0.3), d.between(1, 3)
	}},
	{kind: "add_nodes", on: []string{"", "core", "store"}, fill: func(d draw, t, _ Table) { t["count"] = d.span(1, 2) }},
	{kind: "replace_core", on: []string{"", "store"}, how: []string{"planned"}, fill: func(d draw, t, _ Table) { t["x"] = d.between(0.5, 3) }},
	{kind: "retire", how: []string{"", "wipe"}, fill: seconds(5, 10)},
	{kind: "burst", fill: func(d draw, t, _ Table) { t["x"], t["for_s"] = d.between(1.4, 2.3), d.between(2, 5) }},
	{kind: "answer_lost", how: []string{"", "reset"}, fill: func(d draw, t, _ Table) {
		t["share"], t["x"], t["for_s"] = 0.6, d.between(0.02, 0.08), d.between(3, 6)
	}},
	{kind: "garble", how: []string{"", "extra", "extra late"}, fill: func(d draw, t, _ Table) {
		t["share"], t["x"], t["for_s"] = 0.6, d.between(0.01, 0.04), d.between(3, 6)
	}},
	{kind: "node_kill", how: []string{"", "power"}, fill: func(d draw, t, _ Table) { t["share"], t["for_s"] = d.between(0.1, 0.5), d.between(1, 5) }},
	{kind: "node_kill", on: []string{"core"}, how: []string{"leader", "leader race", "leader race drain hard", "meet drain", "leader meet drain", "power", "leader power hard"},
		fill: func(d draw, t, _ Table) { t["count"], t["for_s"] = 1, d.between(0.5, 5) }},
	{kind: "node_kill", on: []string{"store"}, how: []string{"", "power"}, fill: func(d draw, t, _ Table) { t["count"], t["for_s"] = 1, d.between(0.5, 5) }},
	{kind: "node_freeze", on: []string{"core"}, how: []string{"leader", "", "leader race", "leader meet drain hard"},
		fill: func(d draw, t, _ Table) { t["count"], t["for_s"] = 1, d.between(0.3, 6) }},
	{kind: "node_freeze", on: []string{"store"}, fill: func(d draw, t, _ Table) { t["count"], t["for_s"] = 1, d.between(0.3, 6) }},
	{kind: "node_freeze", fill: func(d draw, t, _ Table) { t["share"], t["for_s"] = d.between(0.1, 0.5), d.between(0.3, 6) }},
	{kind: "replace_core", on: []string{"", "store"}, fill: func(d draw, t, _ Table) { t["x"] = d.between(0.3, 4) }},
	{kind: "after_ack_kill", how: []string{"", "kill", "timed", "taken"}, fill: seconds(0.5, 4)},
	{kind: "after_ack_kill", on: []string{"store"}, how: []string{"", "kill", "timed", "taken"}, fill: func(d draw, t, _ Table) { t["count"], t["for_s"] = 1, d.between(0.5, 4) }},
	{kind: "after_ack_wipe", how: []string{"", "timed", "taken"}, fill: seconds(0.5, 4)},
	{kind: "after_ack_wipe", on: []string{"store"}, how: []string{"", "timed", "taken"}, fill: func(d draw, t, _ Table) { t["count"], t["for_s"] = 1, d.between(0.5, 4) }},
	{kind: "core_cut", how: []string{"", "one_way", "reset", "leader race", "leader one_way", "leader reset hard", "leader refuse race drain hard", "leader meet", "leader one_way meet drain", "refuse"},
		fill: func(d draw, t, _ Table) { t["count"], t["for_s"] = 1, d.between(1, 7) }},
	{kind: "core_cut", on: []string{"store"}, how: []string{"", "one_way", "reset", "refuse"}, fill: func(d draw, t, _ Table) { t["count"], t["for_s"] = 1, d.between(1, 7) }},
}

var closings = []Table{
	{"kind": "power_off_all"}, {"kind": "power_off_all", "how": "all"}, {"kind": "power_off_all", "how": "timed"}, {"kind": "power_off_all", "how": "taken"},
	{"kind": "wipe_after_ack"}, {"kind": "wipe_after_ack", "how": "all"}, {"kind": "wipe_after_ack", "how": "timed"}, {"kind": "wipe_after_ack", "how": "taken"},
	{"kind": "kill_all"},
}

// isPlanned tells whether a trouble belongs under a day's plan: replace_core does only as planned.
func isPlanned(t Table) bool {
	how, _ := t["how"].(string)
	switch t["kind"] {
	case "config_change", "config_race", "bad_config", "release", "roll_term", "add_nodes", "retire":
		return true
	case "replace_core":
		return strings.Contains(how, "planned")
	}
	return false
}

// retirable drops orders to empty store machines that would leave too few of them to bear the loss.
func retirable(all []Table, site Table) []Table {
	room := -1
	for _, m := range tables(site["machines"]) {
		if n, ok := m["count"].(int); ok && m["class"] == "store" {
			room += n
		}
	}
	loss := 1
	if n, ok := site["tolerate"].(Table)["machines"].(int); ok {
		loss = n
	}
	room -= loss
	return slices.DeleteFunc(all, func(t Table) bool {
		if t["kind"] == "retire" {
			room--
			return room < 0
		}
		return false
	})
}

func (d draw) day(site Table, seed int64, focus focus) Table {
	length, _ := site["length_s"].(float64)
	if length < 20 {
		length = 34
	}
	var all []Table
	for _, t := range focus.must {
		c := Table{}
		for k, v := range t {
			c[k] = v
		}
		c["at"] = d.between(1, length-12)
		all = append(all, c)
	}
	// Most days are crowded, some are not: alone a trouble shows its own bound.
	for range pick(d, 2, 4, 6, 9, 12) {
		e := entries[d.Intn(len(entries))]
		t := Table{"kind": e.kind, "at": d.between(0.5, length-3)}
		if len(e.on) > 0 {
			if on := pick(d, e.on...); on != "" {
				t["on"] = on
			}
		}
		if len(e.how) > 0 {
			if how := pick(d, e.how...); how != "" {
				t["how"] = how
			}
		}
		if e.fill != nil {
			e.fill(d, t, site)
		}
		all = append(all, t)
	}
	// Changes all along: without them no loss of one can show.
	least := pick(d, 0.4, 1.5, 3)
	for at := d.between(1, 5); at < length; at += d.between(least, 2*least+1) {
		all = append(all, Table{"kind": "config_change", "how": pick(d, "timeout", "idle", "route"), "at": at})
	}
	if d.Intn(2) == 0 {
		// Crowded: troubles come on the heels of each other, so that they meet.
		from, width := d.between(2, length-10), d.between(3, 9)
		for _, t := range all {
			if t["kind"] != "config_change" {
				t["at"] = from + d.between(0, width)
			}
		}
	}
	all = retirable(all, site)
	sort.SliceStable(all, func(i, j int) bool { return all[i]["at"].(float64) < all[j]["at"].(float64) })
	plan, faults := []any{}, []any{}
	for _, t := range all {
		if isPlanned(t) {
			plan = append(plan, t)
		} else {
			faults = append(faults, t)
		}
	}
	day := Table{"name": "trip", "seed": seed, "plan": plan, "faults": faults}
	ends := focus.closing
	if len(ends) == 0 && d.Intn(3) > 0 {
		ends = closings
	}
	if len(ends) > 0 {
		closing := Table{"down_s": d.between(0.3, 3)}
		for k, v := range pick(d, ends...) {
			closing[k] = v
		}
		day["closing"] = closing
	}
	return day
}
