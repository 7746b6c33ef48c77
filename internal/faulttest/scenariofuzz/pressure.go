package scenariofuzz

// plannedKinds are the kinds of planned maintenance. The bounds on losses are strictest on a day with nothing else.
var plannedKinds = []string{"roll_term", "release", "hup", "add_nodes", "retire", "scale_out", "scale_in", "seed_turnover",
	"bad_config", "config_race", "config_change"}

// plannedWork restarts, replaces, adds and retires machines and endpoints throughout the day, without unplanned faults.
func plannedWork(r random, site Table) []Table {
	length := lengthOf(site)
	var all []Table
	for from := r.between(0.5, 2); from < length-2; from += r.between(0.5, 3) {
		t := r.entryOf(pick(r, plannedKinds...), site)
		if r.Intn(4) == 0 {
			t = newFault("roll_term", "how", "busy", "share", r.between(0.3, 1), "x", float64(r.integer(1, 3)), "gap_s", r.between(0.3, 1.5))
		}
		if r.Intn(8) == 0 {
			t = newFault("replace_core", "how", "planned", "x", r.between(0.5, 2))
			setField(t, "on", pick(r, "", "store"))
		}
		all = append(all, at(from, t)...)
	}
	return all
}

// clientCancellations has clients cancel requests while endpoints are slow, unresponsive or hard to reach.
func clientCancellations(r random, site Table) []Table {
	length := lengthOf(site)
	var all []Table
	for from := r.between(0.5, 2); from < length-5; from += r.between(3, 7) {
		all = append(all, at(from, newFault("give_up", "share", r.between(0.3, 1), "x", float64(r.integer(1, 10)*100), "for_s", r.between(2, 7)))...)
		all = append(all, at(from+r.between(0, 1), pick(r,
			newFault("srv_slow", "share", r.between(0.3, 1), "x", r.between(4, 20), "for_s", r.between(2, 6)),
			newFault("srv_grey", "share", r.between(0.3, 0.8), "x", r.between(0.3, 1), "for_s", r.between(2, 6), "how", pick(r, "hang", "mute", "slow", "busy", "shed")),
			newFault("srv_cut", "share", r.between(0.3, 0.8), "x", r.between(0.2, 0.8), "for_s", r.between(2, 6), "how", pick(r, "some", "some lossy", "fronts", "reset")),
			newFault("burst", "x", r.between(2, 3), "for_s", r.between(2, 5)),
			newFault("config_change", "how", "timeout"),
			newFault("answer_lost", "share", 0.8, "x", 0.1, "for_s", 4.0)))...)
	}
	return all
}

// runawayPrograms has many programs start one sub-agent after the other while stores and machines fail and return.
func runawayPrograms(r random, site Table) []Table {
	for _, class := range tables(site["classes"]) {
		if agent, ok := class["agent"].(Table); ok {
			agent["runaway"], agent["fan"] = r.between(0.2, 0.5), r.between(0.1, 0.5)
		}
	}
	return turnsDuringStoreFaults(r, site)
}

// splitStores partitions, freezes and powers off stores while many runaway programs are active: a program's budget usage and
// its turns must neither be lost nor be counted by two stores at once.
func splitStores(r random, site Table) []Table {
	for _, class := range tables(site["classes"]) {
		if agent, ok := class["agent"].(Table); ok {
			agent["runaway"], agent["fan"] = r.between(0.1, 0.6), r.between(0.1, 0.6)
			agent["think_ms"] = Table{"mean": r.between(20, 200), "spread": 0.6, "max": 1200.0}
		}
	}
	length, losses := lengthOf(site), lossesOf(site)
	var all []Table
	for from := r.between(1, 3); from < length-6; from += r.between(1.5, 5) {
		t := pick(r,
			newFault("core_cut", "on", "store", "count", losses, "how", pick(r, "split", "split", "both", "behind", "one_way", "all", "near", "reset", "refuse", "leader", "turn")),
			newFault("core_cut", "on", "store", "count", losses, "how", pick(r, "split", "one_way", "all")),
			newFault("node_freeze", "on", "store", "count", losses),
			newFault("node_kill", "on", "store", "count", losses, "how", pick(r, "", "power")),
			newFault("after_ack_kill", "on", "store", "count", losses, "how", pick(r, "taken", "timed")),
			newFault("after_ack_wipe", "on", "store", "count", losses, "how", pick(r, "taken", "oldest")),
			newFault("disk_stall", "on", "store", "count", losses),
			newFault("clock_step", "share", 0.5, "x", r.integer(1000, 90000), "how", pick(r, "back", "ahead")),
			newFault("core_cut", "count", 1, "how", pick(r, "leader", "leader one_way", "split", "all")),
			newFault("node_freeze", "on", "core", "count", 1, "how", "leader"),
			newFault("node_freeze", "share", 0.5),
			newFault("herd_kill", "on", "core", "how", pick(r, "power", "taken", "taken all")))
		t["for_s"] = r.between(0.2, 6)
		all = append(all, at(from, t)...)
	}
	return all
}
