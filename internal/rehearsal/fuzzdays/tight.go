package fuzzdays

// machineSize is what a machine of a class has on a deployment of many machines.
type machineSize struct {
	processorShare float64
	memoryMB       int
	linkMbps       float64
}

// largeSizes are the small machines of which a deployment of many machines is made, by class.
var largeSizes = map[string]machineSize{
	"front": {processorShare: 0.192, memoryMB: 184, linkMbps: 30},
	"store": {processorShare: 0.48, memoryMB: 294, linkMbps: 600},
	"core":  {processorShare: 0.176, memoryMB: 280, linkMbps: 86},
}

// tighten gives the classes of requests short timeouts and retention, one try or four, and bodies up to the limit.
func (r random) tighten(site Table) {
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
			class["timeout_ms"] = float64(r.whole(3, 20) * 100)
		}
		if bytes, ok := class["req_bytes"].(Table); ok && class["stream"] == nil && class["method"] == "POST" {
			bytes["mean"], bytes["spread"], bytes["max"] = float64(limit)/8, 1.0, float64(limit)
		}
	}
}
