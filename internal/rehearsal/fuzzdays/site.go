// Package fuzzdays draws deployments and days that nobody has seen, from a known site file and a seed: other
// zones, delays, machines, disks and bounds, with own mixes of troubles. The same seed draws the same day.
package fuzzdays

import (
	"fmt"
	"math"
	"math/rand"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
)

// Table is a TOML table as decoded.
type Table = map[string]any

// draw is the luck of one deployment.
type draw struct{ *rand.Rand }

// between is a figure from lo to hi, of three digits.
func (d draw) between(lo, hi float64) float64 {
	return math.Round((lo+d.Float64()*(hi-lo))*1000) / 1000
}

// span is a whole number from lo to hi, both included.
func (d draw) span(lo, hi int) int { return lo + d.Intn(hi-lo+1) }

// skewed is a figure from lo to hi, low ones as often as high ones by factors.
func (d draw) skewed(lo, hi float64) float64 {
	return math.Round(lo*math.Pow(hi/lo, d.Float64())*100) / 100
}

func pick[T any](d draw, of ...T) T { return of[d.Intn(len(of))] }

// Trip is one deployment with one day.
type Trip struct {
	Seed  int64
	Focus string
	Site  Table
	Day   Table
}

// AckMS is the bound of an operator's order in ms.
func (t *Trip) AckMS() float64 {
	ms, _ := t.Site["bounds"].(Table)["ack_ms"].(int)
	return float64(ms)
}

// Draw edits a site file's text by the seed and adds a day.
func Draw(text []byte, seed int64) (*Trip, error) {
	site := Table{}
	if err := toml.Unmarshal(text, &site); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "site file")
	}
	for _, key := range []string{"zones", "machines", "services", "classes", "traffic"} {
		if len(tables(site[key])) == 0 {
			return nil, errorx.IllegalFormat.New("site file: no %q", key)
		}
	}
	for _, key := range []string{"net", "tolerate", "bounds", "discovery", "timing"} {
		if _, ok := site[key].(Table); !ok {
			return nil, errorx.IllegalFormat.New("site file: no table %q", key)
		}
	}
	d := draw{rand.New(rand.NewSource(seed))}
	focus := focuses[int(uint64(seed)%uint64(len(focuses)))]
	delete(site, "day")
	d.deployment(site, focus)
	day := d.day(site, seed, focus)
	return &Trip{Seed: seed, Focus: focus.name, Site: site, Day: day}, nil
}

// tables is a decoded array of tables.
func tables(value any) []Table {
	list, _ := value.([]any)
	out := make([]Table, 0, len(list))
	for _, entry := range list {
		if t, ok := entry.(Table); ok {
			out = append(out, t)
		}
	}
	return out
}

func (d draw) deployment(site Table, focus focus) {
	zones := d.zones(site, focus)
	d.machines(site, zones, focus)
	d.services(site, zones)
	d.traffic(site, zones)
	d.bounds(site)
	if d.Intn(4) == 0 {
		// A light day on few machines: here a rule breaks by itself and not by load.
		for _, entry := range tables(site["traffic"]) {
			entry["per_s"] = entry["per_s"].(float64) / 3
		}
	}
	for _, class := range tables(site["classes"]) {
		if _, ok := class["keep_s"]; ok {
			class["keep_s"] = d.between(8, 60)
		}
		if agent, ok := class["agent"].(Table); ok {
			agent["runaway"] = d.between(0, 0.08)
			agent["fan"] = d.between(0, 0.2)
			agent["think_ms"] = Table{"mean": d.between(30, 600), "spread": 0.6, "max": 2400.0}
			class["worth"] = d.span(1, 10)
		} else if d.Intn(4) == 0 {
			class["kind"] = pick(d, "unsafe", "unsafe", "safe")
			if class["kind"] == "safe" {
				delete(class, "kind")
			}
		}
		if d.Intn(4) == 0 {
			class["attempts"] = d.span(1, 4)
		}
	}
}

// zones gives the site other zones, regions and delays, and returns the zones' names.
func (d draw) zones(site Table, focus focus) []string {
	count, regions := d.span(3, 5), d.span(1, 3)
	if focus.zones > 0 {
		count = focus.zones
	}
	if focus.far {
		regions = d.span(2, 3)
	}
	if focus.loseRegion {
		regions = 3
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
	net["in_zone_ms"] = d.skewed(0.05, 1)
	net["cross_zone_ms"] = d.skewed(0.4, 6)
	net["cross_region_ms"] = d.skewed(8, 40)
	if focus.far {
		net["cross_zone_ms"] = d.skewed(4, 12)
		net["cross_region_ms"] = d.skewed(12, 40)
	}
	if cloud, ok := site["cloud"].(Table); ok {
		cloud["zone"] = pick(d, names...)
	}
	return names
}

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

func (d draw) machines(site Table, zones []string, focus focus) {
	first := map[string]Table{}
	for _, m := range tables(site["machines"]) {
		class, _ := m["class"].(string)
		if first[class] == nil {
			first[class] = m
		}
	}
	cores, stores := d.span(3, 5), d.span(3, 5)
	if focus.cores > 0 {
		cores = focus.cores
	}
	if focus.stores > 0 {
		stores = focus.stores
	}
	tolerate := Table{"machines": 1, "zones": 0, "regions": 0}
	if focus.machines > 1 && cores >= 5 && stores >= 5 {
		tolerate["machines"] = focus.machines
	}
	if focus.loseZone {
		cores, stores = len(zones), len(zones)
		tolerate["zones"] = 1
		if regions := regionsOf(site); focus.loseRegion && regions >= 3 {
			tolerate["regions"] = 1
		}
	}
	site["tolerate"] = tolerate
	budget := 16
	var list []any
	for _, class := range []string{"front", "store", "core"} {
		like, ok := first[class]
		if !ok {
			continue
		}
		share, memory := d.between(0.25, 0.8), d.span(230, 420)
		sync, cost := d.skewed(0.3, 10), d.span(60, 300)
		if focus.slowDisk {
			sync = 10.0
		}
		var counts []int
		switch class {
		case "core":
			counts = spread(cores, len(zones))
		case "store":
			counts = spread(stores, len(zones))
		default:
			most := pick(d, 1, 2, 3, 3, 9)
			for range zones {
				n := min(d.span(1, most), max(1, budget-len(zones)))
				budget -= n
				counts = append(counts, n)
			}
		}
		for i, zone := range zones {
			m := Table{}
			for k, v := range like {
				m[k] = v
			}
			m["zone"], m["count"], m["spare"] = zone, counts[i], 1
			m["cpu_share"], m["memory_mb"] = share, memory
			if counts[i] == 0 {
				continue
			}
			if disk, ok := like["disk"].(Table); ok {
				m["disk"] = Table{"mb": disk["mb"], "sync_ms": sync, "mb_per_s": cost}
			}
			list = append(list, m)
		}
	}
	site["machines"] = list
}

func (d draw) services(site Table, zones []string) {
	for _, service := range tables(site["services"]) {
		total := d.span(6, 14)
		counts := spread(total, len(zones))
		var servers []any
		for i, zone := range zones {
			if counts[i] > 0 {
				servers = append(servers, Table{"zone": zone, "count": counts[i]})
			}
		}
		service["servers"] = servers
		if _, engine := service["llm"]; engine {
			service["slots"] = d.span(48, 128)
			if llm, ok := service["llm"].(Table); ok {
				llm["batch"] = service["slots"]
			}
			continue
		}
		service["slots"] = d.span(3, 10)
		service["queue"] = d.span(8, 40)
		service["conn_cap"] = d.span(50, 150)
	}
}

func (d draw) traffic(site Table, zones []string) {
	like := tables(site["traffic"])[0]
	factor := d.between(0.3, 0.9) * 16 / float64(len(zones))
	var list []any
	for range zones {
		list = append(list, Table{})
	}
	for i, zone := range zones {
		entry := list[i].(Table)
		for k, v := range like {
			entry[k] = v
		}
		entry["zone"], entry["per_s"] = zone, math.Round(factor*d.between(0.5, 1.5)*100)/100
	}
	site["traffic"] = list
}

func (d draw) bounds(site Table) {
	bounds := site["bounds"].(Table)
	touch := d.span(12, 50) * 100
	bounds["touch_ms"] = touch
	bounds["ack_ms"] = touch + d.span(5, 20)*100
	bounds["config_ms"] = d.span(6, 30) * 100
	bounds["drain_ms"] = d.span(10, 40) * 100
	bounds["grace_s"] = d.between(3, 10)
	bounds["recover_s"] = d.between(8, 15)
	site["timing"].(Table)["catch_up_s"] = d.between(3.8, 6)
	discovery := site["discovery"].(Table)
	discovery["beat_ms"] = d.span(4, 20) * 100
	discovery["lag_ms"] = d.span(3, 15) * 100
	discovery["page"] = pick(d, 3, 7, 20, 50)
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
	pages := math.Ceil(float64(servers+4) / float64(discovery["page"].(int)))
	least := 2 * pages / (float64(bounds["drain_ms"].(int)) / 1000)
	discovery["per_s"] = d.between(max(4, least), max(50, least))
	if config, ok := site["config"].(Table); ok {
		config["idle_routes"] = d.span(0, 60)
	}
}
