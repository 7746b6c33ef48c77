package scenariofuzz

import "maps"

// scenario fixes parts of a deployment, and the faults that its days must contain.
type scenario struct {
	name string

	zones, cores, stores int // numbers of zones, core machines and store machines; 0: drawn
	losses               int // core machines, or store machines, that may be lost at once; 0: one
	processors           int // processors of each machine; 0: drawn
	perZone              int // core machines, and store machines, in each zone if an entire zone may be lost; 0: one
	loseZone, loseRegion bool
	unmodified           bool // the deployment is that of the site file
	far, slowDisk        bool
	large                bool    // 60 and more gateways, nine stores, five to eight core machines, two of which may be lost
	small                bool    // two gateways a zone, three stores, three core machines
	veryFar              bool    // 50 to 100 ms one way between regions
	largeBodies          bool    // bodies of megabytes, many connections
	idleRoutes           int     // unused routes of the configuration; 0: drawn
	varyTurnKinds        bool    // draws whether turns are persisted and whether they are resumable
	scarceEngines        bool    // engines with few slots and little memory, tight latency targets
	shortTimeouts        bool    // short timeouts and retention, one, two or four attempts, bodies up to the limit
	afterEnd             bool    // faults may begin after the day's length, during the recovery from the closing fault
	lengthSeconds        float64 // length of the day; 0: that of the site

	required       []Table                            // faults that every day has, at random times
	timed          func(r random, site Table) []Table // draws faults with their times
	closing        []Table                            // possible closing faults; empty: any, or none
	noRandomFaults bool                               // no faults are drawn in addition to required and timed, only single configuration changes
}

// newFault returns an entry of a day with its kind and with pairs of field name and value.
func newFault(kind string, fields ...any) Table {
	t := Table{"kind": kind}
	for i := 0; i+1 < len(fields); i += 2 {
		t[fields[i].(string)] = fields[i+1]
	}
	return t
}

var scenarios = []scenario{
	{name: "three core machines", cores: 3, stores: 3},
	{name: "five core machines, two may be lost", cores: 5, stores: 5, losses: 2},
	{name: "seven core machines, two may be lost", cores: 7, stores: 5, losses: 2},
	{name: "machines of four processors", processors: 4},
	{name: "slow disks", slowDisk: true},
	{name: "far zones", far: true},
	{name: "far zones and slow disks", far: true, slowDisk: true, cores: 3},
	{name: "a zone may be lost", zones: 3, loseZone: true, timed: zoneLosses},
	{name: "five zones, one may be lost", zones: 5, loseZone: true, timed: zoneLosses},
	{name: "a region may be lost", loseZone: true, loseRegion: true, far: true, timed: zoneLosses},
	{name: "all machines restarted while they answer", required: []Table{newFault("roll_term", "how", "busy", "gap_s", 1.0)}},
	{name: "core restarted across far zones", far: true, required: []Table{
		newFault("roll_term", "on", "core", "share", 1.0, "gap_s", 2.0), newFault("config_race", "count", 5, "gap_s", 1.0)}},
	{name: "core machines replaced", required: []Table{
		newFault("replace_core", "x", 1.2), newFault("replace_core", "x", 2.0, "how", "planned")}},
	{name: "core machine replaced while stores restart", required: []Table{
		newFault("replace_core", "how", "planned", "x", 1.0), newFault("roll_term", "on", "store", "share", 1.0, "gap_s", 1.0),
		newFault("replace_core", "on", "store", "how", "planned", "x", 1.0)}},
	{name: "store emptied while others lose their disks", required: []Table{
		newFault("retire", "for_s", 7.0, "how", "wipe"), newFault("add_nodes", "on", "store", "count", 1)}},
	{name: "machines added", required: []Table{
		newFault("add_nodes"), newFault("add_nodes", "on", "core", "count", 1), newFault("add_nodes", "on", "store", "count", 1)}},
	{name: "core cut at its leader", required: []Table{
		newFault("core_cut", "for_s", 4.0, "how", "leader one_way race"), newFault("core_cut", "for_s", 4.0, "how", "leader reset hard")}},
	{name: "core cut and refused", required: []Table{
		newFault("core_cut", "for_s", 5.0, "how", "leader refuse race drain hard"), newFault("core_cut", "for_s", 4.0, "how", "leader meet one_way")}},
	{name: "closing fault after any acknowledgement", closing: []Table{
		newFault("wipe_after_ack", "how", "timed"), newFault("wipe_after_ack", "how", "taken"), newFault("wipe_after_ack", "how", "oldest"),
		newFault("power_off_all", "how", "timed"), newFault("power_off_all", "how", "taken"),
		newFault("wipe_after_ack", "how", "all timed"), newFault("wipe_after_ack", "how", "all taken")}},
	{name: "closing fault with two losses", cores: 5, stores: 5, losses: 2, closing: []Table{
		newFault("wipe_after_ack", "how", "all"), newFault("wipe_after_ack", "how", "taken"), newFault("wipe_after_ack", "how", "all taken"),
		newFault("wipe_after_ack", "how", "oldest")}},
	{name: "control machine cut off for twenty seconds", timed: longControlPartitions},
	{name: "control machine of five cut off for twenty seconds", cores: 5, stores: 5, losses: 2, timed: longControlPartitions},
	{name: "machines cut off from control for twenty seconds", timed: longNodePartitions},
	{name: "equal orders and lost acknowledgements", timed: conflictingCommands},
	{name: "equal orders with two losses", cores: 5, stores: 5, losses: 2, timed: conflictingCommands},
	{name: "second loss after a repair", lengthSeconds: 60, timed: secondLosses},
	{name: "second loss after a repair, two may be lost", cores: 5, stores: 5, losses: 2, lengthSeconds: 60, timed: secondLosses},
	{name: "restart after hundreds of changes", lengthSeconds: 200, timed: hundredsOfChanges, noRandomFaults: true},
	{name: "restart after hundreds of changes, two may be lost", cores: 7, stores: 5, losses: 2, lengthSeconds: 200, timed: hundredsOfChanges, noRandomFaults: true},
	{name: "answers out of place", timed: corruptResponses},
	{name: "full disks", timed: fullDisks},
	{name: "slow and silent disks", timed: stalledDisks},
	{name: "endpoints in trouble", timed: endpointFaults},
	{name: "all core machines gone at once", timed: entireCore},
	{name: "long day", lengthSeconds: 200, timed: manyFaults},
	{name: "any trouble"},
	{name: "orders while core machines come and go", lengthSeconds: 100, timed: commandsDuringCoreFaults, noRandomFaults: true},
	{name: "orders while core machines come and go, two may be lost", cores: 5, stores: 5, losses: 2, lengthSeconds: 100,
		timed: commandsDuringCoreFaults, noRandomFaults: true},
	{name: "turns while stores come and go", cores: 3, stores: 4, lengthSeconds: 100, timed: turnsDuringStoreFaults, noRandomFaults: true},
	{name: "turns while stores come and go, two may be lost", cores: 5, stores: 6, losses: 2, lengthSeconds: 100,
		timed: turnsDuringStoreFaults, noRandomFaults: true},
	{name: "a loss right after sessions have lapsed", lengthSeconds: 60, timed: lossesAfterLapses, noRandomFaults: true},
	{name: "a loss right after sessions have lapsed, two may be lost", cores: 5, stores: 6, losses: 2, lengthSeconds: 60,
		timed: lossesAfterLapses, noRandomFaults: true},
	{name: "many machines", large: true},
	{name: "many machines, the same trouble again and again", large: true, timed: repeatedFault, noRandomFaults: true},
	{name: "many machines, a second trouble right after the first", large: true, timed: consecutiveFaults, noRandomFaults: true},
	{name: "many machines, false health", large: true, shortTimeouts: true, timed: falseHealth},
	{name: "many machines, machines come and go", large: true, timed: machineChurn},
	{name: "few machines", small: true, shortTimeouts: true},
	{name: "few machines, the same trouble again and again", small: true, timed: repeatedFault, noRandomFaults: true},
	{name: "the same trouble again and again, two may be lost", cores: 5, stores: 5, losses: 2, lengthSeconds: 50, timed: repeatedFault},
	{name: "a second trouble right after the first", timed: consecutiveFaults, noRandomFaults: true},
	{name: "a second trouble right after the first, two may be lost", cores: 7, stores: 5, losses: 2, timed: consecutiveFaults, noRandomFaults: true},
	{name: "troubles as traffic starts", timed: earlyFaults},
	{name: "troubles beside the closing fault", timed: lateFaults, closing: closings, afterEnd: true},
	{name: "full and silent disks beside kills", timed: diskFaultsWithKills, noRandomFaults: true},
	{name: "full and silent disks beside kills, two may be lost", cores: 5, stores: 5, losses: 2, timed: diskFaultsWithKills, noRandomFaults: true},
	{name: "cuts whose end costs more", cores: 5, stores: 4, losses: 2, timed: partitionsDuringChanges, noRandomFaults: true},
	{name: "stale seeds", cores: 4, timed: staleSeeds, noRandomFaults: true},
	{name: "short timeouts and large bodies", shortTimeouts: true, timed: corruptResponses},
	{name: "clocks step beside troubles", timed: clockSteps, noRandomFaults: true},
	{name: "planned work alone", timed: plannedWork, noRandomFaults: true},
	{name: "planned work alone, short timeouts", shortTimeouts: true, timed: plannedWork, noRandomFaults: true},
	{name: "planned work alone, many machines", large: true, timed: plannedWork, noRandomFaults: true},
	{name: "turns of every sort", varyTurnKinds: true, timed: endpointFaults},
	{name: "turns of every sort, many machines", varyTurnKinds: true, scarceEngines: true, large: true},
	{name: "turns of every sort as stores come and go, two losses", varyTurnKinds: true, cores: 5, stores: 6, losses: 2, lengthSeconds: 60,
		timed: turnsDuringStoreFaults, noRandomFaults: true},
	{name: "turns of every sort of programs that run away", varyTurnKinds: true, timed: runawayPrograms},
	{name: "turns of every sort as answers are spoilt", varyTurnKinds: true, timed: corruptResponses},
	{name: "few places, little memory and tight aims", scarceEngines: true, timed: endpointFaults},
	{name: "clients that give up", timed: clientCancellations, noRandomFaults: true},
	{name: "clients that give up, short timeouts", shortTimeouts: true, timed: clientCancellations, noRandomFaults: true},
	{name: "programs that run away", lengthSeconds: 60, timed: runawayPrograms, noRandomFaults: true, closing: closings},
	{name: "short retention while stores come and go", shortTimeouts: true, cores: 3, stores: 4, lengthSeconds: 60, timed: turnsDuringStoreFaults, noRandomFaults: true},
	{name: "a zone of several may be lost", zones: 3, perZone: 2, loseZone: true, timed: zoneLosses},
	{name: "a zone of several may be lost, the same trouble again", zones: 5, perZone: 2, losses: 2, loseZone: true, timed: repeatedFault},
	{name: "a region of several may be lost", perZone: 2, loseZone: true, loseRegion: true, timed: zoneLosses},
	{name: "three may be lost", cores: 7, stores: 7, losses: 3, timed: consecutiveFaults},
	{name: "three may be lost, turns while stores come and go", cores: 7, stores: 8, losses: 3, lengthSeconds: 60,
		timed: turnsDuringStoreFaults, noRandomFaults: true},
	{name: "one zone", zones: 1},
	{name: "very far zones", far: true, veryFar: true},
	{name: "very far zones, orders beside core troubles", far: true, veryFar: true, lengthSeconds: 60, timed: commandsDuringCoreFaults, noRandomFaults: true},
	{name: "large bodies and many connections", largeBodies: true, timed: clientCancellations},
	{name: "large bodies and many connections, many machines", large: true, largeBodies: true, timed: clientCancellations},
	{name: "many routes on a long day", idleRoutes: 510, lengthSeconds: 200, timed: hundredsOfChanges, noRandomFaults: true},
	{name: "stores split while programs run away", cores: 3, stores: 4, lengthSeconds: 60, timed: splitStores, noRandomFaults: true},
	{name: "stores split while programs run away, two may be lost", cores: 5, stores: 6, losses: 2, lengthSeconds: 60, timed: splitStores, noRandomFaults: true},
	{name: "stores split while programs run away, many machines", large: true, timed: splitStores, noRandomFaults: true},
	{name: "the site as it is", unmodified: true},
	{name: "the site as it is, two scenarios at once", unmodified: true, timed: combinedScenarios, noRandomFaults: true},
	{name: "the site as it is, its own troubles again and again", unmodified: true, timed: repeatedSiteFaults, noRandomFaults: true},
	{name: "two scenarios at once", timed: combinedScenarios},
	{name: "two scenarios at once, two may be lost", cores: 5, stores: 5, losses: 2, timed: combinedScenarios},
	{name: "two scenarios at once, many machines", large: true, timed: combinedScenarios, noRandomFaults: true},
}

// repeatedSiteFaults repeats each fault that the site file lists up to four times, at random times.
func repeatedSiteFaults(r random, site Table) []Table {
	var all []Table
	for _, own := range tables(site["troubles"]) {
		for range r.integer(0, 4) {
			t := maps.Clone(own)
			all = append(all, at(r.between(0.5, lengthOf(site)-2), t)...)
		}
	}
	return all
}

// combinedScenarios combines the faults of two scenarios.
func combinedScenarios(r random, site Table) []Table {
	var all []Table
	for range 2 {
		way := pick(r, longControlPartitions, longNodePartitions, conflictingCommands, secondLosses, corruptResponses, fullDisks, stalledDisks, endpointFaults, entireCore,
			manyFaults, commandsDuringCoreFaults, turnsDuringStoreFaults, lossesAfterLapses, repeatedFault, consecutiveFaults, earlyFaults,
			diskFaultsWithKills, partitionsDuringChanges, staleSeeds, falseHealth, clockSteps, machineChurn, plannedWork, clientCancellations)
		all = append(all, way(r, site)...)
	}
	return all
}

// at sets the time of faults.
func at(moment float64, all ...Table) []Table {
	for _, t := range all {
		t["at"] = moment
	}
	return all
}

// lengthOf returns the length of a site's days in seconds.
func lengthOf(site Table) float64 {
	if length, ok := site["length_s"].(float64); ok && length >= 20 {
		return length
	}
	return 34
}

// lossesOf returns how many core machines, or store machines, may be lost at once.
func lossesOf(site Table) int {
	if n, ok := site["tolerate"].(Table)["machines"].(int); ok && n > 0 {
		return n
	}
	return 1
}

// zoneLosses kills, freezes or partitions an entire zone or region, twice a day.
func zoneLosses(r random, site Table) []Table {
	var all []Table
	zones := tables(site["zones"])
	for _, from := range []float64{4, 18} {
		zone := zones[r.Intn(len(zones))]
		field, target := "zone", zone["name"]
		if n, _ := site["tolerate"].(Table)["regions"].(int); n > 0 {
			field, target = "region", zone["region"]
		}
		kind := pick(r, "node_kill", "node_freeze", "node_cut")
		t := newFault(kind, field, target, "share", 1.0, "for_s", r.between(2, 6))
		switch kind {
		case "node_kill":
			t["how"] = "power"
		case "node_cut":
			t["how"] = "all"
		}
		all = append(all, at(from+r.between(0, 3), t)...)
	}
	return all
}

var (
	partitionScopes = []string{"", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "behind", "split", "relieve", "leader relieve", "giver", "leader", "leader all", "leader near",
		"leader one_way", "leader seeds", "leader both", "leader lure", "leader reset", "leader refuse", "reader", "reader one_way", "reader all", "turn", "seed"}
	partitionFollowers = []string{"", "", "meet", "race", "race hard", "meet drain", "race drain hard", "meet hard"}
)

// longControlPartitions partitions a control machine for twenty seconds while the configuration changes, with another fault when it returns.
func longControlPartitions(r random, site Table) []Table {
	from := r.between(1, 8)
	cut := newFault("core_cut", "for_s", 20.0, "count", 1)
	setHow(cut, pick(r, partitionScopes...), pick(r, partitionFollowers...))
	all := at(from, cut)
	all = append(all, at(from+r.between(0.2, 3), newFault("config_race", "count", r.integer(8, 25), "gap_s", r.between(0.3, 0.9)))...)
	if r.Intn(2) == 0 {
		all = append(all, at(from+r.between(5, 12), newFault("release", "share", r.between(0.3, 0.6), "x", 2.0, "gap_s", 0.6))...)
	}
	all = append(all, at(from+20+r.between(-0.5, 0.5), pick(r,
		newFault("node_kill", "on", "core", "count", 1, "for_s", 1.5, "how", "leader power"),
		newFault("replace_core", "x", 0.8),
		newFault("config_race", "count", 5, "gap_s", 0.2),
		newFault("seed_turnover")))...)
	return all
}

// longNodePartitions cuts machines of all classes off from the control machines while endpoints are replaced.
func longNodePartitions(r random, site Table) []Table {
	from := r.between(1, 8)
	cut := newFault("node_cut", "for_s", 20.0, "share", r.between(0.1, 0.5))
	setHow(cut, pick(r, "", "all", "servers"))
	all := at(from, cut, newFault("config_race", "count", r.integer(4, 12), "gap_s", r.between(0.5, 1.5)))
	all = append(all, at(from+r.between(1, 5), newFault("release", "share", r.between(0.3, 0.6), "x", 1.0, "gap_s", 0.8))...)
	return append(all, at(from+r.between(3, 10), pick(r,
		newFault("replace_with_reuse", "share", 0.3), newFault("scale_in", "share", 0.3, "how", "spot"),
		newFault("core_cut", "for_s", 8.0, "how", "leader")))...)
}

// conflictingCommands sends concurrent commands with the same revision, up to eight at once, and loses most acknowledgements.
func conflictingCommands(r random, site Table) []Table {
	length := lengthOf(site)
	all := at(0.5, newFault("ack_lost", "x", r.between(0.6, 0.95), "for_s", length-4))
	for from := r.between(1, 3); from < length-5; from += r.between(2, 5) {
		switch r.Intn(3) {
		case 0:
			all = append(all, at(from, newFault("config_race", "count", r.integer(3, 8), "gap_s", r.between(0.05, 0.4)))...)
		case 1:
			for range 8 {
				all = append(all, at(from, newFault("config_change", "how", pick(r, "route", "timeout", "idle", "weights")))...)
			}
		default:
			for range 4 {
				all = append(all, at(from, newFault("config_race", "count", 1))...)
			}
		}
	}
	all = append(all, at(r.between(4, length/2), newFault("node_kill", "on", "core", "count", 1, "for_s", r.between(0.5, 4),
		"how", pick(r, "leader race", "leader power", "leader race drain hard", "leader meet")))...)
	return append(all, at(r.between(length/2, length-6), pick(r,
		newFault("core_cut", "for_s", 4.0, "how", "leader race hard"),
		newFault("node_freeze", "on", "core", "count", 1, "for_s", 3.0, "how", "leader race"),
		newFault("after_ack_kill", "for_s", 2.0, "how", "timed")))...)
}

// secondLosses loses machines repeatedly, each right after the time that is allowed for the repair of the previous loss.
func secondLosses(r random, site Table) []Table {
	repair, _ := site["timing"].(Table)["catch_up_s"].(float64)
	losses := lossesOf(site)
	var all []Table
	class := pick(r, "core", "store", "")
	for from := r.between(1, 3); from < lengthOf(site)-repair-4; {
		down := r.between(0.3, 2)
		on := class
		if on == "" {
			on = pick(r, "core", "store")
		}
		t := pick(r,
			newFault("after_ack_wipe", "on", on, "count", losses, "for_s", down),
			newFault("after_ack_wipe", "on", on, "count", losses, "for_s", down, "how", "oldest"),
			newFault("after_ack_wipe", "on", on, "count", losses, "for_s", down, "how", "timed"),
			newFault("replace_core", "on", on, "x", down),
			newFault("replace_core", "on", on, "x", down, "how", "oldest"))
		if t["kind"] == "after_ack_wipe" && on == "core" {
			delete(t, "on")
		}
		all = append(all, at(from, t)...)
		from += down + repair + r.between(0, 0.4)
	}
	return all
}

// hundredsOfChanges has core machines restart, return with an empty disk and join after an increasing number of changes.
func hundredsOfChanges(r random, site Table) []Table {
	length := lengthOf(site)
	var all []Table
	for from := 1.0; from < length-10; from += 20 {
		count := r.integer(12, 30)
		all = append(all, at(from, newFault("config_race", "count", count, "gap_s", toThousandths(18/float64(count))))...)
	}
	losses := lossesOf(site)
	for from := r.between(15, 25); from < length-25; from += r.between(18, 30) {
		all = append(all, at(from, pick(r,
			newFault("node_kill", "on", "core", "count", losses, "for_s", r.between(5, 15)),
			newFault("node_kill", "on", "core", "count", losses, "for_s", r.between(5, 15), "how", "power"),
			newFault("node_freeze", "on", "core", "count", losses, "for_s", r.between(5, 15)),
			newFault("core_cut", "count", losses, "for_s", r.between(5, 15), "how", "all"),
			newFault("after_ack_wipe", "for_s", r.between(1, 8), "how", "oldest"),
			newFault("replace_core", "x", r.between(1, 5)),
			newFault("herd_kill", "on", "core", "how", "power"),
			newFault("add_nodes", "on", "core", "count", 1)))...)
	}
	return all
}

// corruptResponses corrupts, duplicates, loses and truncates responses while machines fail and connections are reset.
func corruptResponses(r random, site Table) []Table {
	var all []Table
	for _, how := range []string{"", "extra", "unframed", "early", "extra late"} {
		t := newFault("garble", "share", r.between(0.4, 1), "x", r.between(0.02, 0.15), "for_s", r.between(4, 10))
		setHow(t, how)
		all = append(all, at(r.between(1, 24), t)...)
	}
	all = append(all, at(r.between(1, 20), newFault("answer_lost", "share", 0.8, "x", r.between(0.03, 0.15), "for_s", 6.0),
		newFault("reset_conns", "share", 0.5, "x", 0.5))...)
	grey := newFault("srv_grey", "share", r.between(0.2, 0.6), "x", r.between(0.2, 0.6), "for_s", r.between(3, 8))
	setHow(grey, pick(r, "errors", "shed", "busy", "hang", "reset", "mute", "slow"))
	all = append(all, at(r.between(1, 24), grey)...)
	return append(all, at(r.between(4, 24), pick(r,
		newFault("srv_crash", "share", 0.4, "for_s", 3.0, "how", "dark"), newFault("node_kill", "share", 0.3, "for_s", 2.0),
		newFault("release", "share", 0.5, "x", 2.0, "gap_s", 0.6), newFault("reset_conns", "share", 1.0, "x", 1.0)))...)
}

// fullDisks fills disks of core and store machines several times while the configuration changes.
func fullDisks(r random, site Table) []Table {
	losses := lossesOf(site)
	all := at(r.between(1, 4), newFault("config_race", "count", 20, "gap_s", 1.2))
	on := pick(r, "core", "store")
	for from := r.between(2, 5); from < lengthOf(site)-6; from += r.between(9, 14) {
		all = append(all, at(from, newFault("disk_full", "on", on, "count", r.integer(1, losses), "for_s", r.between(3, 8)))...)
		on = map[string]string{"core": "store", "store": "core"}[on]
	}
	return all
}

// stalledDisks slows and stalls disks of core and store machines several times while the configuration changes.
func stalledDisks(r random, site Table) []Table {
	losses := lossesOf(site)
	all := at(r.between(1, 4), newFault("config_race", "count", 15, "gap_s", 1.4))
	for from := r.between(2, 5); from < lengthOf(site)-6; from += r.between(8, 12) {
		t := newFault(pick(r, "disk_stall", "disk_slow"), "on", pick(r, "core", "store"), "count", r.integer(1, losses), "for_s", r.between(2, 6))
		if t["kind"] == "disk_slow" {
			t["x"] = r.logUniform(10, 200)
		}
		all = append(all, at(from, t)...)
	}
	return all
}

// endpointFaults has endpoints crash, slow down, return errors, stop responding, leave, and be replaced at the same address.
func endpointFaults(r random, site Table) []Table {
	var all []Table
	for _, kind := range []string{"srv_crash", "srv_slow", "srv_grey", "srv_cut", "replace_with_reuse", "scale_out", "scale_in", "give_up",
		"srv_lying_health", "srv_flap", "idle_race"} {
		for range r.integer(1, 2) {
			all = append(all, at(r.between(1, lengthOf(site)-6), r.entryOf(kind, site))...)
		}
	}
	return all
}

// entireCore kills all core machines at once, twice a day.
func entireCore(r random, site Table) []Table {
	var all []Table
	for _, from := range []float64{5, 20} {
		t := newFault("herd_kill", "on", "core", "for_s", r.between(0.3, 2))
		setHow(t, pick(r, "", "power", "taken", "taken all"))
		all = append(all, at(from+r.between(0, 5), t)...)
	}
	return all
}

// manyFaults draws hundreds of configuration changes and consecutive faults for a long day.
func manyFaults(r random, site Table) []Table {
	length := lengthOf(site)
	all := at(2, newFault("config_race", "count", 120, "gap_s", 1.5))
	for from := 4.0; from < length-15; from += r.between(4, 9) {
		kind := kinds[r.Intn(len(kinds))].kind
		all = append(all, at(toThousandths(from), r.entryOf(kind, site))...)
	}
	return all
}

// commandsDuringCoreFaults sends pairs of commands in quick succession, with a core fault every few seconds.
func commandsDuringCoreFaults(r random, site Table) []Table {
	length, losses := lengthOf(site), lossesOf(site)
	all := at(0.5, newFault("ack_lost", "x", r.between(0.5, 0.95), "for_s", length-4))
	for from := r.between(1, 3); from < length-10; from += r.between(4, 8) {
		all = append(all, at(from, newFault("config_race", "count", r.integer(4, 12), "gap_s", r.logUniform(0.05, 0.5)))...)
		all = append(all, at(from+r.between(0, 2), pick(r,
			newFault("node_kill", "on", "core", "count", losses, "for_s", r.between(0.3, 2), "how", "leader power race hard"),
			newFault("node_kill", "on", "core", "count", losses, "for_s", r.between(0.3, 2), "how", "leader race"),
			newFault("core_cut", "count", losses, "for_s", r.between(1, 5), "how", pick(r, "leader one_way race", "leader race", "leader all race", "leader reset race", "leader near meet")),
			newFault("node_freeze", "on", "core", "count", losses, "for_s", r.between(0.5, 4), "how", "leader race"),
			newFault("herd_kill", "on", "core", "for_s", r.between(0.3, 1.5), "how", pick(r, "power", "taken")),
			newFault("after_ack_kill", "for_s", r.between(0.5, 3), "how", pick(r, "timed", "taken", "kill")),
			newFault("after_ack_wipe", "for_s", r.between(0.5, 3), "how", pick(r, "timed", "oldest")),
			newFault("replace_core", "x", r.between(0.3, 2), "how", "oldest"),
			newFault("node_slow", "on", "core", "count", losses, "x", 6.0, "for_s", 4.0),
			newFault("disk_stall", "on", "core", "count", losses, "for_s", r.between(1, 4)),
			newFault("clock_step", "share", 0.5, "x", 10000, "for_s", 5.0)))...)
	}
	return all
}

// turnsDuringStoreFaults has programs continue their turns with a store fault every few seconds, while endpoints corrupt
// responses and gateways fail.
func turnsDuringStoreFaults(r random, site Table) []Table {
	length, losses := lengthOf(site), lossesOf(site)
	var all []Table
	for from := r.between(1, 3); from < length-10; from += r.between(4, 8) {
		all = append(all, at(from, pick(r,
			newFault("after_ack_kill", "on", "store", "count", losses, "for_s", r.between(0.5, 3), "how", pick(r, "taken", "timed", "taken gone")),
			newFault("after_ack_wipe", "on", "store", "count", losses, "for_s", r.between(0.5, 3), "how", pick(r, "taken", "timed", "oldest")),
			newFault("core_cut", "on", "store", "count", losses, "for_s", r.between(1, 6), "how", pick(r, "one_way", "reset", "refuse", "all", "near", "oldest")),
			newFault("node_freeze", "on", "store", "count", losses, "for_s", r.between(0.3, 5)),
			newFault("node_kill", "on", "store", "count", losses, "for_s", r.between(0.3, 3), "how", "power"),
			newFault("replace_core", "on", "store", "x", r.between(0.3, 2), "how", "oldest"),
			newFault("replace_core", "on", "store", "x", r.between(0.3, 2), "how", "planned"),
			newFault("roll_term", "on", "store", "share", 1.0, "gap_s", r.between(0.8, 2)),
			newFault("disk_stall", "on", "store", "count", losses, "for_s", r.between(1, 4)),
			newFault("retire", "for_s", 7.0, "how", "wipe"),
			newFault("herd_kill", "share", 0.8, "for_s", 0.6, "how", "power")))...)
		all = append(all, at(from+r.between(0, 3), pick(r,
			newFault("garble", "share", 0.6, "x", 0.05, "for_s", 4.0, "how", pick(r, "extra", "unframed", "early")),
			newFault("answer_lost", "share", 0.6, "x", 0.08, "for_s", 4.0, "how", "reset"),
			newFault("reset_conns", "share", 0.5, "x", 0.8),
			newFault("node_kill", "share", 0.3, "for_s", 1.0),
			newFault("roll_term", "how", "busy", "share", 0.5, "gap_s", 0.8),
			newFault("release", "share", 0.5, "x", 2.0, "gap_s", 0.6)))...)
	}
	return all
}

// lossesAfterLapses resets all connections or, where two machines may be lost, briefly freezes or partitions a store, and wipes
// the disk of a store or a core machine within a second. A session that has merely lapsed must not cost a replica.
func lossesAfterLapses(r random, site Table) []Table {
	repair, _ := site["timing"].(Table)["catch_up_s"].(float64)
	var all []Table
	for from := r.between(2, 4); from < lengthOf(site)-repair-6; from += repair + r.between(2.5, 5) {
		lapse := newFault("reset_conns", "share", 1.0, "x", 1.0)
		if lossesOf(site) > 1 && r.Intn(2) == 0 {
			lapse = newFault(pick(r, "node_freeze", "core_cut"), "on", "store", "count", 1, "for_s", r.between(0.3, 1.5))
		}
		all = append(all, at(from, lapse)...)
		loss := pick(r,
			newFault("after_ack_wipe", "on", "store", "count", 1, "for_s", r.between(0.3, 2), "how", pick(r, "taken", "timed", "oldest")),
			newFault("replace_core", "on", "store", "x", r.between(0.3, 2)),
			newFault("after_ack_wipe", "for_s", r.between(0.3, 2), "how", "timed"))
		all = append(all, at(from+r.between(0.05, 1), loss)...)
		if r.Intn(2) == 0 {
			all = append(all, at(from+r.between(0.05, 1), newFault("reset_conns", "share", 1.0, "x", 1.0))...)
		}
	}
	return all
}
