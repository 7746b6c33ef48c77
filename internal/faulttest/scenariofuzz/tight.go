package scenariofuzz

// machineSize is the size of a machine of a class in a deployment of many machines.
type machineSize struct {
	processorFraction float64
	memoryMB          int
	linkMbps          float64
}

// largeSizes are the sizes of the small machines that make up a deployment of many machines, by class.
var largeSizes = map[string]machineSize{
	"front": {processorFraction: 0.192, memoryMB: 184, linkMbps: 30},
	"store": {processorFraction: 0.48, memoryMB: 294, linkMbps: 600},
	"core":  {processorFraction: 0.176, memoryMB: 280, linkMbps: 86},
}

// shortenTimeouts gives the classes of requests short timeouts and retention, one, two or four attempts, and bodies up to the limit.
func (r random) shortenTimeouts(site Table) {
	limit := pick(r, 1<<16, 1<<18, 1<<20)
	if config, ok := site["config"].(Table); ok {
		config["body_bytes"] = limit
	}
	for _, class := range tables(site["classes"]) {
		class["attempts"] = pick(r, 1, 2, 4)
		if _, ok := class["keep_s"]; ok {
			class["keep_s"] = r.between(2, 8)
		}
		if r.Intn(2) == 0 {
			class["timeout_ms"] = float64(r.integer(3, 20) * 100)
			if class["kind"] == "stream" {
				// A stream takes at least half a second on an idle engine: with a shorter timeout most streams could never end in time.
				class["timeout_ms"] = float64(r.integer(15, 30) * 100)
			}
		}
		if bytes, ok := class["req_bytes"].(Table); ok && class["stream"] == nil && class["method"] == "POST" {
			bytes["mean"], bytes["spread"], bytes["max"] = float64(limit)/8, 1.0, float64(limit)
		}
	}
}

// widenBounds raises the bounds so that some twenty round trips between very distant regions fit into each.
func widenBounds(site Table) {
	bounds := site["bounds"].(Table)
	bounds["touch_ms"] = max(bounds["touch_ms"].(int), 4000)
	bounds["ack_ms"] = max(bounds["ack_ms"].(int), 6000)
	bounds["config_ms"] = max(bounds["config_ms"].(int), 2000)
	bounds["drain_ms"] = max(bounds["drain_ms"].(int), 3000)
}

// enlargeBodies gives POST classes large bodies, up to the limit of four megabytes where the response is not a stream, and gives all
// traffic more connections and another request rate.
func (r random) enlargeBodies(site Table) {
	for _, class := range tables(site["classes"]) {
		bytes, ok := class["req_bytes"].(Table)
		if !ok || class["method"] != "POST" {
			continue
		}
		if class["stream"] != nil {
			bytes["mean"], bytes["spread"], bytes["max"] = 20000.0, 1.0, 120000.0
			continue
		}
		bytes["mean"], bytes["spread"], bytes["max"] = float64(r.integer(1, 10)*100_000), 1.0, 4194304.0
	}
	for _, entry := range tables(site["traffic"]) {
		entry["clients"] = r.integer(60, 300)
		entry["per_s"] = entry["per_s"].(float64) * r.between(0.5, 1.5)
	}
}
