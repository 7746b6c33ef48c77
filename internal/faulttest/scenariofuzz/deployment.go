package scenariofuzz

import (
	"fmt"
	"math"
)

// deployment replaces the zones, machines, endpoints, traffic and bounds of the site.
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
		// Under light load a broken rule cannot be an effect of overload.
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
	if chosen.shortTimeouts {
		r.shortenTimeouts(site)
	}
	if chosen.varyTurnKinds {
		r.drawTurnKinds(site)
	}
	if chosen.scarceEngines {
		r.limitEngines(site)
	}
	if chosen.largeBodies {
		r.enlargeBodies(site)
	}
	if config, ok := site["config"].(Table); ok && chosen.idleRoutes > 0 {
		config["idle_routes"] = chosen.idleRoutes
	}
	if chosen.veryFar {
		widenBounds(site)
	}
	if chosen.large || r.Intn(2) == 0 {
		activateContracts(site)
	}
}

// zones replaces the zones, regions and delays of the site, and returns the zones' names.
func (r random) zones(site Table, chosen scenario) []string {
	count, regions := r.integer(3, 5), r.integer(1, 3)
	if chosen.zones > 0 {
		count = chosen.zones
	}
	if chosen.far {
		regions = r.integer(2, 3)
	}
	if chosen.small {
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
	net["in_zone_ms"] = r.logUniform(0.05, 1)
	net["cross_zone_ms"] = r.logUniform(0.4, 6)
	net["cross_region_ms"] = r.logUniform(8, 40)
	if chosen.far {
		net["cross_zone_ms"] = r.logUniform(4, 12)
		net["cross_region_ms"] = r.logUniform(12, 40)
	}
	if chosen.veryFar {
		net["cross_region_ms"] = r.logUniform(50, 100)
	}
	if cloud, ok := site["cloud"].(Table); ok {
		cloud["zone"] = pick(r, names...)
	}
	return names
}

// regionsOf returns the number of regions of a site.
func regionsOf(site Table) int {
	seen := map[any]bool{}
	for _, zone := range tables(site["zones"]) {
		seen[zone["region"]] = true
	}
	return len(seen)
}

// spread distributes count machines evenly over the zones; the first zones get the remainder.
func spread(count, zones int) []int {
	out := make([]int, zones)
	for i := range count {
		out[i%zones]++
	}
	return out
}

// machines replaces the machines of the site. There are enough machines with disks to survive the losses that are tolerated.
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

// machineFleet has the number of machines of each class.
type machineFleet struct {
	cores, stores int
	gateways      int // maximum for the zones that have none yet
}

// disks draws the numbers of machines with disks, and the losses of them that must be tolerated.
func (r random) disks(site Table, zones []string, chosen scenario) (cores, stores int) {
	cores, stores = r.integer(3, 5), r.integer(3, 5)
	if chosen.cores > 0 {
		cores = chosen.cores
	}
	if chosen.stores > 0 {
		stores = chosen.stores
	}
	if chosen.small {
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

// machinesOf draws the machines of a class: an entry for each zone that has some, copied from like and varied.
func (r random) machinesOf(class string, like Table, zones []string, chosen scenario, fleet *machineFleet) []any {
	fraction, memory := r.between(0.25, 0.8), r.integer(230, 420)
	processors := pick(r, 1, 1, 1, 2, 4)
	if chosen.processors > 0 {
		processors = chosen.processors
	}
	sync, speed := r.logUniform(0.3, 10), r.integer(60, 300)
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

// machineCounts draws the number of machines of a class in each zone.
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
	if chosen.small && class == "front" {
		counts = spread(2*zones, zones)
	}
	return counts
}

// services replaces the endpoints of each service.
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

// traffic draws the request rate of each zone. Days longer than 60 s get a third of the rate.
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

// minAckMS is the minimum time limit for the acknowledgement of an operator's command. The operator waits a second for a
// machine that does not respond, may try the same machine again, and pauses between attempts: it has taken 2.4 s until a
// command reached a running machine.
const minAckMS = 4000

// manyServers is the number of endpoints above which the platform's list has no small pages.
const manyServers = 40

// bounds replaces the time bounds of the site by bounds that a correct tier can meet.
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
	// The rate allows the complete list, with the endpoints that a release adds, to be read twice within the drain time:
	// otherwise no sender could meet the drain time.
	servers := 0
	for _, service := range tables(site["services"]) {
		for _, group := range tables(service["servers"]) {
			if n, ok := group["count"].(int); ok {
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
