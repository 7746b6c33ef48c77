package scenariofuzz

import (
	"maps"
	"slices"
	"sort"
)

// day draws the plan and the faults of one day of a site.
func (r random) day(site Table, seed int64, chosen scenario) Table {
	length := lengthOf(site)
	var all []Table
	for _, t := range chosen.required {
		all = append(all, at(r.between(1, length-12), maps.Clone(t))...)
	}
	if chosen.timed != nil {
		all = append(all, chosen.timed(r, site)...)
	}
	if !chosen.noRandomFaults {
		all = append(all, r.drawFaults(site, chosen.timed != nil)...)
	}
	all = append(all, r.changes(length)...)
	for _, t := range all {
		t["at"] = toThousandths(min(max(t["at"].(float64), 0.1), latestStart(site, chosen)))
	}
	all = withoutInactiveContracts(all, site)
	all = withoutExcessRetires(all, site)
	sort.SliceStable(all, func(i, j int) bool { return all[i]["at"].(float64) < all[j]["at"].(float64) })
	plan, faults := []any{}, []any{}
	for _, t := range all {
		if isPlanned(t) {
			plan = append(plan, t)
		} else {
			faults = append(faults, t)
		}
	}
	day := Table{"name": "drawn", "seed": seed, "plan": plan, "faults": faults}
	ends := chosen.closing
	if len(ends) == 0 && r.Intn(3) > 0 {
		ends = closings
	}
	if len(ends) > 0 {
		closing := maps.Clone(pick(r, ends...))
		closing["down_s"] = r.between(0.3, 3)
		day["closing"] = closing
	}
	return day
}

// recoverySeconds is how long after the closing fault another fault may still begin.
const recoverySeconds = 7

// latestStart returns the latest second at which a fault may begin.
func latestStart(site Table, chosen scenario) float64 {
	if chosen.afterEnd {
		return lengthOf(site) + recoverySeconds
	}
	return lengthOf(site) - 1
}

// drawFaults draws faults of any kind at random times. Many days have many faults; some have few, since only an isolated fault
// tests its own time bound. One draw in three puts two to four faults at the same time, and on one day in three all faults
// come within a few seconds.
func (r random) drawFaults(site Table, few bool) []Table {
	length := lengthOf(site)
	count := pick(r, 2, 4, 6, 9, 12)
	if few {
		count = pick(r, 0, 0, 1, 2, 4)
	}
	if length > 100 {
		count *= 2
	}
	var all []Table
	for len(all) < count {
		moment, together := r.between(0.5, length-3), 1
		if r.Intn(3) == 0 {
			together = r.integer(2, 4)
		}
		for range together {
			all = append(all, at(moment, r.entry(site))...)
		}
	}
	if r.Intn(3) == 0 {
		from, width := r.between(2, length-10), r.between(3, 9)
		for _, t := range all {
			t["at"] = from + r.between(0, width)
		}
	}
	return all
}

// changes draws single configuration changes throughout the day: without them the loss of a change could not be detected.
func (r random) changes(length float64) []Table {
	var all []Table
	least := pick(r, 0.4, 1.5, 3)
	for moment := r.between(1, 5); moment < length-1; moment += r.between(least, 2*least+1) {
		all = append(all, at(moment, newFault("config_change", "how", pick(r, "timeout", "idle", "route")))...)
	}
	return all
}

// withoutExcessRetires drops commands to retire store machines that would leave too few of them to tolerate a loss.
func withoutExcessRetires(all []Table, site Table) []Table {
	room := -1 - lossesOf(site)
	for _, m := range tables(site["machines"]) {
		if n, ok := m["count"].(int); ok && m["class"] == "store" {
			room += n
		}
	}
	return slices.DeleteFunc(all, func(t Table) bool {
		if t["kind"] != "retire" {
			return false
		}
		room--
		return room < 0
	})
}
