package scenariofuzz

// drawTurnKinds draws for each class of turns whether turns are persisted and whether their streams are resumable.
func (r random) drawTurnKinds(site Table) {
	for _, class := range tables(site["classes"]) {
		agent, isTurn := class["agent"].(Table)
		stream, isStream := class["stream"].(Table)
		if !isTurn || !isStream {
			continue
		}
		agent["kept"] = r.Intn(2) == 0
		stream["resume"] = r.Intn(3) > 0
	}
}

// limitEngines gives engines few slots and little more memory than the requests in these slots need, and gives programs
// tight latency targets.
func (r random) limitEngines(site Table) {
	for _, service := range tables(site["services"]) {
		engine, ok := service["llm"].(Table)
		if !ok {
			continue
		}
		slots := r.integer(4, 12)
		service["slots"], service["queue"], engine["batch"] = slots, r.integer(3, 12), slots
		engine["kv_tokens"] = slots * r.integer(4000, 15000)
	}
	for _, class := range tables(site["classes"]) {
		if agent, ok := class["agent"].(Table); ok {
			agent["aim_x"] = r.between(1.2, 2)
		}
	}
}
