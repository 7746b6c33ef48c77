package scenariofuzz

import (
	"fmt"
	"math"
)

// deployment gives the site other places, machines, endpoints, traffic and bounds.
func (r random) deployment(site Table, chosen scenario) {
	zones := r.zones(site, chosen)
	r.machines(site, zones, chosen)
	r.services(site, zones, chosen)
	r.traffic(site, zones, chosen)
	r.bounds(site)
	if chosen.lengthSeconds > 0 {
		site["length_s"] = chosen.lengthSeconds
	}
	if r.Intn(4) == 0 {
		// A light day on few machines: here a rule breaks by itself and not by load.
		for _, entry := range tables(site["traffic"]) {
			entry["per_s"] = entry["per_s"].(float64) / 3
		}
	}
	for _, class := range tables(site["classes"]) {
		if _, ok := class["keep_s"]; ok {
			class["keep_s"] = r.between(8, 60)
		}
		if agent, ok := class["agent"].(Table); ok {
			agent["runaway"] = r.between(0, 0.08)
			agent["fan"] = r.between(0, 0.2)
			agent["think_ms"] = Table{"mean": r.between(30, 600), "spread": 0.6, "max": 2400.0}
			class["worth"] = r.integer(1, 10)
		} else if r.Intn(4) == 0 {
			class["kind"] = pick(r, "unsafe", "unsafe", "safe")
			if class["kind"] == "safe" {
				delete(class, "kind")
			}
		}
		if r.Intn(4) == 0 {
			class["attempts"] = r.integer(1, 4)
		}
	}
	if chosen.tight {
		r.tighten(site)
	}
	if chosen.sorts {
		r.drawTurnKinds(site)
	}
	if chosen.scarce {
		r.makeScarce(site)
	}
	if chosen.pressed {
		r.press(site)
	}
	if config, ok := site["config"].(Table); ok && chosen.routes > 0 {
		config["idle_routes"] = chosen.routes
	}
	if chosen.veryFar {
		widenBounds(site)
	}
	if chosen.large || r.Intn(2) == 0 {
		openContracts(site)
	}
}

// zones gives the site other zones, regions and delays, and returns the zones' names.
func (r random) zones(site Table, chosen scenario) []string {
	count, regions := r.integer(3, 5), r.integer(1, 3)
	if chosen.zones > 0 {
		count = chosen.zones
	}
	if chosen.far {
		regions = r.integer(2, 3)
	}
	if chosen.few {
		count = r.integer(2, 3)
	}
	if chosen.large {
		count = r.integer(4, 5)
	}
	if chosen.loseRegion {
		// Three regions of equal size: the loss of one leaves more than half.
		count, regions = pick(r, 3, 6), 3
	}
	var names []string
	var list []any
	for i := range count {
		name := fmt.Sprintf("zo%d-%c", i%regions, 'a'+i)
		names = append(names, name)
		list = append(list, Table{"name": name, "region": fmt.Sprintf("reg%d", i%regions)})
	}
	site["zones"] = list
	net := site["net"].(Table)
	net["in_zone_ms"] = r.byFactor(0.05, 1)
	net["cross_zone_ms"] = r.byFactor(0.4, 6)
	net["cross_region_ms"] = r.byFactor(8, 40)
	if chosen.far {
		net["cross_zone_ms"] = r.byFactor(4, 12)
		net["cross_region_ms"] = r.byFactor(12, 40)
	}
	if chosen.veryFar {
		net["cross_region_ms"] = r.byFactor(50, 100)
	}
	if cloud, ok := site["cloud"].(Table); ok {
		cloud["zone"] = pick(r, names...)
	}
	return names
}

// regionsOf counts the regions of a site.
func regionsOf(site Table) int {
	seen := map[any]bool{}
	for _, zone := range tables(site["zones"]) {
		seen[zone["region"]] = true
	}
	return len(seen)
}

// spread lays count machines over the zones, the first zones first.
func spread(count, zones int) []int {
	out := make([]int, zones)
	for i := range count {
		out[i%zones]++
	}
	return out
}

// machines gives the site other machines; those with disks are enough to bear what is tolerated.
func (r random) machines(site Table, zones []string, chosen scenario) {
	first := map[string]Table{}
	for _, m := range tables(site["machines"]) {
		class, _ := m["class"].(string)
		if first[class] == nil {
			first[class] = m
		}
	}
	cores, stores := r.disks(site, zones, chosen)
	fleet := machineFleet{cores: cores, stores: stores, gateways: 16}
	var list []any
	for _, class := range []string{"front", "store", "core"} {
		like, ok := first[class]
		if !ok {
			continue
		}
		list = append(list, r.machinesOf(class, like, zones, chosen, &fleet)...)
	}
	site["machines"] = list
}

// machineFleet is how many machines of each class there are to be.
type machineFleet struct {
	cores, stores int
	gateways      int // at most; what is left for the zones to come
}

// disks draws the numbers of machines with disks, and which losses of them are to be borne.
func (r random) disks(site Table, zones []string, chosen scenario) (cores, stores int) {
	cores, stores = r.integer(3, 5), r.integer(3, 5)
	if chosen.cores > 0 {
		cores = chosen.cores
	}
	if chosen.stores > 0 {
		stores = chosen.stores
	}
	if chosen.few {
		cores, stores = 3, 3
	}
	losses := chosen.losses
	if chosen.large {
		cores, stores, losses = r.integer(5, 8), 9, 2
	}
	tolerate := Table{"machines": 1, "zones": 0, "regions": 0}
	if losses > 1 && cores > 2*losses && stores > 2*losses {
		tolerate["machines"] = losses
	}
	if chosen.loseZone {
		cores, stores = len(zones)*max(1, chosen.perZone), len(zones)*max(1, chosen.perZone)
		tolerate["zones"] = 1
		if regions := regionsOf(site); chosen.loseRegion && regions >= 3 {
			tolerate["regions"] = 1
		}
	}
	site["tolerate"] = tolerate
	return cores, stores
}

// machinesOf draws the machines of a class, an entry for each zone that has some, from one of the site's own.
func (r random) machinesOf(class string, like Table, zones []string, chosen scenario, fleet *machineFleet) []any {
	fraction, memory := r.between(0.25, 0.8), r.integer(230, 420)
	processors := pick(r, 1, 1, 1, 2, 4)
	if chosen.processors > 0 {
		processors = chosen.processors
	}
	sync, speed := r.byFactor(0.3, 10), r.integer(60, 300)
	if chosen.slowDisk {
		sync = 10.0
	}
	counts := r.machineCounts(class, len(zones), chosen, fleet)
	link := like["link_mbps"]
	if chosen.large {
		size := largeSizes[class]
		fraction, memory, processors, link = size.processorFraction, size.memoryMB, 1, size.linkMbps
		if class == "front" {
			counts = spread(r.integer(60, 72), len(zones))
		}
	}
	var list []any
	for i, zone := range zones {
		m := Table{}
		for k, v := range like {
			m[k] = v
		}
		m["zone"], m["count"], m["spare"] = zone, counts[i], 1
		m["cpu_share"], m["memory_mb"], m["cores"], m["link_mbps"] = fraction, memory, processors, link
		if counts[i] == 0 {
			continue
		}
		if disk, ok := like["disk"].(Table); ok {
			m["disk"] = Table{"mb": disk["mb"], "sync_ms": sync, "mb_per_s": speed}
		}
		list = append(list, m)
	}
	return list
}

// machineCounts draws how many machines of a class each zone has.
func (r random) machineCounts(class string, zones int, chosen scenario, fleet *machineFleet) (counts []int) {
	switch class {
	case "core":
		counts = spread(fleet.cores, zones)
	case "store":
		counts = spread(fleet.stores, zones)
	default:
		highest := pick(r, 1, 2, 3, 3, 9)
		for range zones {
			n := min(r.integer(1, highest), max(1, fleet.gateways-zones))
			fleet.gateways -= n
			counts = append(counts, n)
		}
	}
	if chosen.few && class == "front" {
		counts = spread(2*zones, zones)
	}
	return counts
}

// services gives each service other endpoints.
func (r random) services(site Table, zones []string, chosen scenario) {
	for _, service := range tables(site["services"]) {
		total := r.integer(6, 14)
		if chosen.large {
			total = r.integer(36, 70)
		}
		counts := spread(total, len(zones))
		var servers []any
		for i, zone := range zones {
			if counts[i] > 0 {
				servers = append(servers, Table{"zone": zone, "count": counts[i]})
			}
		}
		service["servers"] = servers
		if _, engine := service["llm"]; engine {
			service["slots"] = r.integer(48, 128)
			if chosen.large {
				service["slots"] = 16
			}
			if llm, ok := service["llm"].(Table); ok {
				llm["batch"] = service["slots"]
			}
			continue
		}
		service["slots"] = r.integer(3, 10)
		service["queue"] = r.integer(8, 40)
		service["conn_cap"] = r.integer(50, 150)
	}
}

// traffic gives each zone its own share of requests; long days get fewer of them a second.
func (r random) traffic(site Table, zones []string, chosen scenario) {
	like := tables(site["traffic"])[0]
	factor := r.between(0.3, 0.9) * 16 / float64(len(zones))
	if chosen.lengthSeconds > 60 {
		factor /= 3
	}
	var list []any
	for range zones {
		list = append(list, Table{})
	}
	if chosen.large {
		factor = r.between(16, 36) / float64(len(zones))
	}
	for i, zone := range zones {
		entry := list[i].(Table)
		for k, v := range like {
			entry[k] = v
		}
		entry["zone"], entry["per_s"] = zone, math.Round(factor*r.between(0.5, 1.5)*100)/100
	}
	site["traffic"] = list
}

// minAckMS is the least bound of an operator's order. The operator waits a second at a machine that is silent, may go to
// it a second time, and pauses in between, which has taken 2.4 s before an order came to any machine that runs.
const minAckMS = 4000

// manyServers is the number of endpoints above which the platform's pages are not drawn small.
const manyServers = 40

// bounds gives the site other bounds of time, each of which can be kept.
func (r random) bounds(site Table) {
	bounds := site["bounds"].(Table)
	touch := r.integer(12, 50) * 100
	bounds["touch_ms"] = touch
	bounds["ack_ms"] = max(touch+r.integer(5, 20)*100, minAckMS)
	bounds["config_ms"] = r.integer(6, 30) * 100
	bounds["drain_ms"] = r.integer(10, 40) * 100
	bounds["grace_s"] = r.between(3, 10)
	bounds["recover_s"] = r.between(8, 15)
	site["timing"].(Table)["catch_up_s"] = r.between(3.8, 6)
	discovery := site["discovery"].(Table)
	discovery["beat_ms"] = r.integer(4, 20) * 100
	discovery["lag_ms"] = r.integer(3, 15) * 100
	discovery["page"] = pick(r, 3, 7, 20, 50)
	// The rate lets the whole list, with those that a release adds, be read twice in the drain time: else no sender
	// could keep it.
	servers := 0
	for _, service := range tables(site["services"]) {
		for _, place := range tables(service["servers"]) {
			if n, ok := place["count"].(int); ok {
				servers += n
			}
		}
	}
	if servers > manyServers {
		discovery["page"] = pick(r, 20, 50)
	}
	pages := math.Ceil(float64(servers+4) / float64(discovery["page"].(int)))
	least := 2 * pages / (float64(bounds["drain_ms"].(int)) / 1000)
	discovery["per_s"] = r.between(max(4, least), max(50, least))
	if config, ok := site["config"].(Table); ok {
		config["idle_routes"] = r.integer(0, 60)
	}
}
