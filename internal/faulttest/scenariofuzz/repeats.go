package scenariofuzz

import "maps"

// repeatable are troubles that can strike the same machine again and again, without their lengths.
func (r random) repeatable(site Table) Table {
	losses := lossesOf(site)
	return pick(r,
		trouble("node_kill", "on", "core", "count", 1, "how", pick(r, "leader", "leader power", "leader race", "reader", "giver", "seed race drain hard")),
		trouble("node_kill", "on", "core", "count", losses, "how", pick(r, "leader race drain hard", "power race drain hard", "turn power")),
		trouble("node_kill", "on", "store", "count", losses, "how", pick(r, "", "power")),
		trouble("node_freeze", "on", "core", "count", 1, "how", pick(r, "leader", "leader race", "leader meet drain", "giver race")),
		trouble("node_freeze", "on", "store", "count", losses),
		trouble("core_cut", "count", losses, "how", pick(r, "leader", "leader one_way race", "leader reset meet", "leader near", "all", "giver race")),
		trouble("core_cut", "on", "store", "count", losses, "how", pick(r, "oldest", "one_way", "reset", "refuse", "all")),
		trouble("after_ack_kill", "how", pick(r, "timed", "kill", "taken")),
		trouble("after_ack_kill", "on", "store", "count", losses, "how", pick(r, "timed", "taken")),
		trouble("disk_stall", "on", pick(r, "core", "store"), "count", losses),
		trouble("disk_full", "on", pick(r, "core", "store"), "count", losses),
		trouble("herd_kill", "on", "core", "how", pick(r, "", "power", "taken", "off", "race drain hard")),
		trouble("herd_kill", "share", 0.8, "how", pick(r, "", "power")),
		trouble("node_cut", "share", 0.3, "how", pick(r, "all", "servers")),
		trouble("clock_step", "share", 0.5, "x", 5000, "how", pick(r, "back", "ahead")),
		trouble("reset_conns", "share", 1.0, "x", 1.0))
}

// sameAgain repeats one trouble three to six times in a row, with short pauses, twice a day.
func sameAgain(r random, site Table) []Table {
	length := lengthOf(site)
	all := at(0.7, trouble("config_race", "count", int(length/1.5), "gap_s", 1.4))
	for _, from := range []float64{r.between(1, 4), r.between(length/2, length/2+3)} {
		like := r.repeatable(site)
		down, pause := r.between(0.3, 2.5), r.between(0.1, 1.5)
		for i := range r.whole(3, 6) {
			t := maps.Clone(like)
			t["for_s"] = down
			all = append(all, at(from+float64(i)*(down+pause), t)...)
		}
	}
	return all
}

// rightAfter has a second trouble begin within half a second of the first one's end.
func rightAfter(r random, site Table) []Table {
	length := lengthOf(site)
	all := at(0.7, trouble("config_race", "count", int(length/2), "gap_s", 1.8))
	for from := r.between(1, 3); from < length-8; from += r.between(1.5, 5) {
		for range r.whole(2, 3) {
			t := r.repeatable(site)
			down := r.between(0.3, 4)
			t["for_s"] = down
			all = append(all, at(from, t)...)
			from += down + r.between(-0.2, 0.5)
		}
	}
	return all
}

// earlyTroubles come within the first three seconds of traffic.
func earlyTroubles(r random, site Table) []Table {
	var all []Table
	for range r.whole(3, 6) {
		t := r.entry(site)
		if r.Intn(2) == 0 {
			t = r.repeatable(site)
			t["for_s"] = r.between(0.3, 5)
		}
		all = append(all, at(r.between(0.1, 3), t)...)
	}
	return append(all, at(r.between(0.1, 2), trouble("config_race", "count", 6, "gap_s", 0.5))...)
}

// lateTroubles come just before the closing fault and during the recovery from it.
func lateTroubles(r random, site Table) []Table {
	length := lengthOf(site)
	var all []Table
	for range r.whole(2, 4) {
		t := r.repeatable(site)
		t["for_s"] = r.between(0.5, 6)
		all = append(all, at(length+r.between(-5, 7), t)...)
	}
	all = append(all, at(length-r.between(1, 4), trouble(pick(r, "release", "roll_term"), "share", 0.5, "x", 2.0, "gap_s", 0.5))...)
	all = append(all, at(length-r.between(1, 6), trouble("config_race", "count", 8, "gap_s", 0.6))...)
	return append(all, at(length+r.between(0.5, 6), trouble("config_change", "how", pick(r, "timeout", "idle", "route")))...)
}

// diskTroublesBesideKills fills and stops disks of both classes while machines are killed.
func diskTroublesBesideKills(r random, site Table) []Table {
	length, losses := lengthOf(site), lossesOf(site)
	all := at(0.7, trouble("config_race", "count", int(length/1.5), "gap_s", 1.4))
	for from := r.between(1, 4); from < length-6; from += r.between(4, 8) {
		for _, on := range []string{"core", "store"} {
			t := trouble(pick(r, "disk_full", "disk_stall", "disk_slow"), "on", on, "count", losses, "for_s", r.between(1, 6))
			if t["kind"] == "disk_slow" {
				t["x"] = r.byFactor(10, 200)
			}
			all = append(all, at(from+r.between(0, 0.5), t)...)
		}
		kill := pick(r,
			trouble("herd_kill", "on", "core", "how", pick(r, "", "power", "taken", "taken all")),
			trouble("herd_kill", "share", 0.8, "how", "power"),
			trouble("node_kill", "on", pick(r, "core", "store"), "count", losses, "how", "power"),
			trouble("after_ack_kill", "on", "store", "count", losses, "how", "taken"),
			trouble("after_ack_wipe", "how", "timed"))
		kill["for_s"] = r.between(0.3, 2)
		all = append(all, at(from+r.between(0, 4), kill)...)
	}
	return all
}

// cutsThatCostMore cuts core machines off so that what follows the cut meets those that missed changes.
func cutsThatCostMore(r random, site Table) []Table {
	length, losses := lengthOf(site), lossesOf(site)
	all := at(0.7, trouble("config_race", "count", int(length/1.3), "gap_s", 1.2))
	for from := r.between(1, 4); from < length-9; from += r.between(8, 13) {
		t := trouble("core_cut", "count", losses, "for_s", r.between(2, 6))
		setHow(t, pick(r, "", "leader", "leader", "giver", "reader"), pick(r, "behind", "split", "relieve", "relieve", "both", "lure", "seeds", "near"),
			pick(r, "", "race", "meet drain", "race hard"))
		all = append(all, at(from, t)...)
		if r.Intn(2) == 0 {
			all = append(all, at(from+r.between(0.3, 3), trouble("release", "share", 0.4, "x", 2.0, "gap_s", 0.6))...)
		}
	}
	return all
}

// staleSeeds changes the seeds and then restarts, replaces or cuts off those that are named.
func staleSeeds(r random, site Table) []Table {
	length, losses := lengthOf(site), lossesOf(site)
	var all []Table
	for from := r.between(0.5, 3); from < length-9; from += r.between(5, 9) {
		all = append(all, at(from, trouble("seed_turnover"))...)
		t := pick(r,
			trouble("core_cut", "count", losses, "how", pick(r, "seeds", "seed all", "seed near", "leader seeds race")),
			trouble("node_kill", "on", "core", "count", losses, "how", pick(r, "seed", "seed power", "seed race drain hard")),
			trouble("replace_core", "x", r.between(0.3, 2)),
			trouble("replace_core", "x", r.between(0.3, 2), "how", "planned"),
			trouble("node_freeze", "on", "core", "count", losses, "how", "seed race"))
		if t["kind"] != "replace_core" {
			t["for_s"] = r.between(1, 6)
		}
		all = append(all, at(from+r.between(0, 1), t)...)
		all = append(all, at(from+r.between(0.2, 2), pick(r,
			trouble("herd_kill", "share", 0.8, "for_s", 0.5, "how", "power"),
			trouble("roll_term", "share", 1.0, "gap_s", 0.8),
			trouble("roll_term", "on", "store", "share", 1.0, "gap_s", 1.0),
			trouble("node_kill", "share", 0.5, "for_s", 0.5),
			trouble("add_nodes")))...)
	}
	return append(all, at(1, trouble("config_race", "count", int(length/2.5), "gap_s", 2.0))...)
}

// falseHealth has endpoints give false health answers, go down and up by turns, and forget connections.
func falseHealth(r random, site Table) []Table {
	var all []Table
	for _, name := range []string{"srv_lying_health", "srv_flap", "idle_race", "srv_grey", "srv_crash", "srv_cut", "scale_in"} {
		for range r.whole(1, 2) {
			all = append(all, at(r.between(0.5, lengthOf(site)-5), r.entryOf(name, site))...)
		}
	}
	return append(all, at(r.between(2, 20), trouble("reset_conns", "share", 0.6, "x", 0.6))...)
}

// clockSteps has the time of day jump all along, back and ahead, beside other troubles.
func clockSteps(r random, site Table) []Table {
	length := lengthOf(site)
	all := at(0.7, trouble("config_race", "count", int(length/2), "gap_s", 1.8))
	for from := r.between(0.2, 2); from < length-4; from += r.between(2, 5) {
		step := trouble("clock_step", "share", r.between(0.3, 1), "x", r.whole(500, 30000), "for_s", r.between(0.5, 6))
		setHow(step, pick(r, "", "back", "ahead"))
		all = append(all, at(from, step)...)
		t := r.repeatable(site)
		t["for_s"] = r.between(0.3, 3)
		all = append(all, at(from+r.between(0, 1), t)...)
	}
	return all
}

// manyMachinesComeAndGo kills, cuts off, adds and restarts large shares of all machines, while endpoints are replaced.
func manyMachinesComeAndGo(r random, site Table) []Table {
	length := lengthOf(site)
	var all []Table
	for from := r.between(1, 3); from < length-5; from += r.between(3, 7) {
		t := pick(r,
			trouble("herd_kill", "share", r.between(0.5, 1), "how", pick(r, "", "power")),
			trouble("herd_kill", "on", "core", "how", pick(r, "power", "taken", "taken all", "race drain hard")),
			trouble("node_kill", "share", r.between(0.2, 0.6), "how", "power"),
			trouble("node_freeze", "share", r.between(0.2, 0.6)),
			trouble("node_cut", "share", r.between(0.2, 0.6), "how", pick(r, "", "all", "servers")),
			trouble("node_slow", "share", r.between(0.1, 0.4), "x", r.between(3, 8)))
		t["for_s"] = r.between(0.3, 5)
		all = append(all, at(from, t)...)
		all = append(all, at(from+r.between(0, 2), pick(r,
			trouble("roll_term", "how", "busy", "share", 0.5, "x", 6.0, "gap_s", 0.6),
			trouble("roll_term", "how", "remove", "share", 0.2, "gap_s", 0.8),
			trouble("add_nodes"),
			trouble("hup", "share", 1.0, "gap_s", 1.0),
			trouble("release", "share", 0.6, "x", 6.0, "gap_s", 0.6),
			trouble("replace_with_reuse", "share", 0.3, "how", pick(r, "", "drain", "dark")),
			trouble("scale_in", "share", 0.3, "how", "spot"),
			trouble("seed_turnover"),
			trouble("burst", "x", 2.0, "for_s", 3.0)))...)
	}
	return all
}
