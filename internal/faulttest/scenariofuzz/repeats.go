package scenariofuzz

import "maps"

// repeatingFault draws a fault that can strike the same machine repeatedly, without its duration.
func (r random) repeatingFault(site Table) Table {
	losses := lossesOf(site)
	return pick(r,
		newFault("node_kill", "on", "core", "count", 1, "how", pick(r, "leader", "leader power", "leader race", "reader", "giver", "seed race drain hard")),
		newFault("node_kill", "on", "core", "count", losses, "how", pick(r, "leader race drain hard", "power race drain hard", "turn power")),
		newFault("node_kill", "on", "store", "count", losses, "how", pick(r, "", "power")),
		newFault("node_freeze", "on", "core", "count", 1, "how", pick(r, "leader", "leader race", "leader meet drain", "giver race")),
		newFault("node_freeze", "on", "store", "count", losses),
		newFault("core_cut", "count", losses, "how", pick(r, "leader", "leader one_way race", "leader reset meet", "leader near", "all", "giver race")),
		newFault("core_cut", "on", "store", "count", losses, "how", pick(r, "oldest", "one_way", "reset", "refuse", "all")),
		newFault("after_ack_kill", "how", pick(r, "timed", "kill", "taken")),
		newFault("after_ack_kill", "on", "store", "count", losses, "how", pick(r, "timed", "taken")),
		newFault("disk_stall", "on", pick(r, "core", "store"), "count", losses),
		newFault("disk_full", "on", pick(r, "core", "store"), "count", losses),
		newFault("herd_kill", "on", "core", "how", pick(r, "", "power", "taken", "off", "race drain hard")),
		newFault("herd_kill", "share", 0.8, "how", pick(r, "", "power")),
		newFault("node_cut", "share", 0.3, "how", pick(r, "all", "servers")),
		newFault("clock_step", "share", 0.5, "x", 5000, "how", pick(r, "back", "ahead")),
		newFault("reset_conns", "share", 1.0, "x", 1.0))
}

// repeatedFault repeats one fault three to six times in a row, with short pauses, twice a day.
func repeatedFault(r random, site Table) []Table {
	length := lengthOf(site)
	all := at(0.7, newFault("config_race", "count", int(length/1.5), "gap_s", 1.4))
	for _, from := range []float64{r.between(1, 4), r.between(length/2, length/2+3)} {
		like := r.repeatingFault(site)
		down, pause := r.between(0.3, 2.5), r.between(0.1, 1.5)
		for i := range r.integer(3, 6) {
			t := maps.Clone(like)
			t["for_s"] = down
			all = append(all, at(from+float64(i)*(down+pause), t)...)
		}
	}
	return all
}

// consecutiveFaults draws sequences of two or three faults. Each fault after the first begins from 0.2 s before to 0.5 s after the
// end of the previous one.
func consecutiveFaults(r random, site Table) []Table {
	length := lengthOf(site)
	all := at(0.7, newFault("config_race", "count", int(length/2), "gap_s", 1.8))
	for from := r.between(1, 3); from < length-8; from += r.between(1.5, 5) {
		for range r.integer(2, 3) {
			t := r.repeatingFault(site)
			down := r.between(0.3, 4)
			t["for_s"] = down
			all = append(all, at(from, t)...)
			from += down + r.between(-0.2, 0.5)
		}
	}
	return all
}

// earlyFaults draws faults within the first three seconds of traffic.
func earlyFaults(r random, site Table) []Table {
	var all []Table
	for range r.integer(3, 6) {
		t := r.entry(site)
		if r.Intn(2) == 0 {
			t = r.repeatingFault(site)
			t["for_s"] = r.between(0.3, 5)
		}
		all = append(all, at(r.between(0.1, 3), t)...)
	}
	return append(all, at(r.between(0.1, 2), newFault("config_race", "count", 6, "gap_s", 0.5))...)
}

// lateFaults draws faults just before the closing fault and during the recovery from it.
func lateFaults(r random, site Table) []Table {
	length := lengthOf(site)
	var all []Table
	for range r.integer(2, 4) {
		t := r.repeatingFault(site)
		t["for_s"] = r.between(0.5, 6)
		all = append(all, at(length+r.between(-5, 7), t)...)
	}
	all = append(all, at(length-r.between(1, 4), newFault(pick(r, "release", "roll_term"), "share", 0.5, "x", 2.0, "gap_s", 0.5))...)
	all = append(all, at(length-r.between(1, 6), newFault("config_race", "count", 8, "gap_s", 0.6))...)
	return append(all, at(length+r.between(0.5, 6), newFault("config_change", "how", pick(r, "timeout", "idle", "route")))...)
}

// diskFaultsWithKills fills, stalls and slows disks of both classes while machines are killed.
func diskFaultsWithKills(r random, site Table) []Table {
	length, losses := lengthOf(site), lossesOf(site)
	all := at(0.7, newFault("config_race", "count", int(length/1.5), "gap_s", 1.4))
	for from := r.between(1, 4); from < length-6; from += r.between(4, 8) {
		for _, on := range []string{"core", "store"} {
			t := newFault(pick(r, "disk_full", "disk_stall", "disk_slow"), "on", on, "count", losses, "for_s", r.between(1, 6))
			if t["kind"] == "disk_slow" {
				t["x"] = r.logUniform(10, 200)
			}
			all = append(all, at(from+r.between(0, 0.5), t)...)
		}
		kill := pick(r,
			newFault("herd_kill", "on", "core", "how", pick(r, "", "power", "taken", "taken all")),
			newFault("herd_kill", "share", 0.8, "how", "power"),
			newFault("node_kill", "on", pick(r, "core", "store"), "count", losses, "how", "power"),
			newFault("after_ack_kill", "on", "store", "count", losses, "how", "taken"),
			newFault("after_ack_wipe", "how", "timed"))
		kill["for_s"] = r.between(0.3, 2)
		all = append(all, at(from+r.between(0, 4), kill)...)
	}
	return all
}

// partitionsDuringChanges partitions core machines while the configuration changes, so that the faults at the end of a partition strike
// machines that have missed changes.
func partitionsDuringChanges(r random, site Table) []Table {
	length, losses := lengthOf(site), lossesOf(site)
	all := at(0.7, newFault("config_race", "count", int(length/1.3), "gap_s", 1.2))
	for from := r.between(1, 4); from < length-9; from += r.between(8, 13) {
		t := newFault("core_cut", "count", losses, "for_s", r.between(2, 6))
		setHow(t, pick(r, "", "leader", "leader", "giver", "reader"), pick(r, "behind", "split", "relieve", "relieve", "both", "lure", "seeds", "near"),
			pick(r, "", "race", "meet drain", "race hard"))
		all = append(all, at(from, t)...)
		if r.Intn(2) == 0 {
			all = append(all, at(from+r.between(0.3, 3), newFault("release", "share", 0.4, "x", 2.0, "gap_s", 0.6))...)
		}
	}
	return all
}

// staleSeeds changes the seed nodes, and then restarts, replaces or partitions the named seed nodes.
func staleSeeds(r random, site Table) []Table {
	length, losses := lengthOf(site), lossesOf(site)
	var all []Table
	for from := r.between(0.5, 3); from < length-9; from += r.between(5, 9) {
		all = append(all, at(from, newFault("seed_turnover"))...)
		t := pick(r,
			newFault("core_cut", "count", losses, "how", pick(r, "seeds", "seed all", "seed near", "leader seeds race")),
			newFault("node_kill", "on", "core", "count", losses, "how", pick(r, "seed", "seed power", "seed race drain hard")),
			newFault("replace_core", "x", r.between(0.3, 2)),
			newFault("replace_core", "x", r.between(0.3, 2), "how", "planned"),
			newFault("node_freeze", "on", "core", "count", losses, "how", "seed race"))
		if t["kind"] != "replace_core" {
			t["for_s"] = r.between(1, 6)
		}
		all = append(all, at(from+r.between(0, 1), t)...)
		all = append(all, at(from+r.between(0.2, 2), pick(r,
			newFault("herd_kill", "share", 0.8, "for_s", 0.5, "how", "power"),
			newFault("roll_term", "share", 1.0, "gap_s", 0.8),
			newFault("roll_term", "on", "store", "share", 1.0, "gap_s", 1.0),
			newFault("node_kill", "share", 0.5, "for_s", 0.5),
			newFault("add_nodes")))...)
	}
	return append(all, at(1, newFault("config_race", "count", int(length/2.5), "gap_s", 2.0))...)
}

// falseHealth has endpoints respond wrongly to health checks, flap, and drop idle connections.
func falseHealth(r random, site Table) []Table {
	var all []Table
	for _, name := range []string{"srv_lying_health", "srv_flap", "idle_race", "srv_grey", "srv_crash", "srv_cut", "scale_in"} {
		for range r.integer(1, 2) {
			all = append(all, at(r.between(0.5, lengthOf(site)-5), r.entryOf(name, site))...)
		}
	}
	return append(all, at(r.between(2, 20), newFault("reset_conns", "share", 0.6, "x", 0.6))...)
}

// clockSteps moves the time of day backward and forward throughout the day, together with other faults.
func clockSteps(r random, site Table) []Table {
	length := lengthOf(site)
	all := at(0.7, newFault("config_race", "count", int(length/2), "gap_s", 1.8))
	for from := r.between(0.2, 2); from < length-4; from += r.between(2, 5) {
		step := newFault("clock_step", "share", r.between(0.3, 1), "x", r.integer(500, 30000), "for_s", r.between(0.5, 6))
		setHow(step, pick(r, "", "back", "ahead"))
		all = append(all, at(from, step)...)
		t := r.repeatingFault(site)
		t["for_s"] = r.between(0.3, 3)
		all = append(all, at(from+r.between(0, 1), t)...)
	}
	return all
}

// machineChurn kills, partitions, adds and restarts large fractions of all machines while endpoints are replaced.
func machineChurn(r random, site Table) []Table {
	length := lengthOf(site)
	var all []Table
	for from := r.between(1, 3); from < length-5; from += r.between(3, 7) {
		t := pick(r,
			newFault("herd_kill", "share", r.between(0.5, 1), "how", pick(r, "", "power")),
			newFault("herd_kill", "on", "core", "how", pick(r, "power", "taken", "taken all", "race drain hard")),
			newFault("node_kill", "share", r.between(0.2, 0.6), "how", "power"),
			newFault("node_freeze", "share", r.between(0.2, 0.6)),
			newFault("node_cut", "share", r.between(0.2, 0.6), "how", pick(r, "", "all", "servers")),
			newFault("node_slow", "share", r.between(0.1, 0.4), "x", r.between(3, 8)))
		t["for_s"] = r.between(0.3, 5)
		all = append(all, at(from, t)...)
		all = append(all, at(from+r.between(0, 2), pick(r,
			newFault("roll_term", "how", "busy", "share", 0.5, "x", 6.0, "gap_s", 0.6),
			newFault("roll_term", "how", "remove", "share", 0.2, "gap_s", 0.8),
			newFault("add_nodes"),
			newFault("hup", "share", 1.0, "gap_s", 1.0),
			newFault("release", "share", 0.6, "x", 6.0, "gap_s", 0.6),
			newFault("replace_with_reuse", "share", 0.3, "how", pick(r, "", "drain", "dark")),
			newFault("scale_in", "share", 0.3, "how", "spot"),
			newFault("seed_turnover"),
			newFault("burst", "x", 2.0, "for_s", 3.0)))...)
	}
	return all
}
