package scenariofuzz

// drawTurnKinds has each kind of turn kept or not, and its stream resumable or not.
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

// makeScarce gives engines few places and memory for hardly more than the requests in them, and programs tight aims.
func (r random) makeScarce(site Table) {
	for _, service := range tables(site["services"]) {
		engine, ok := service["llm"].(Table)
		if !ok {
			continue
		}
		places := r.integer(4, 12)
		service["slots"], service["queue"], engine["batch"] = places, r.integer(3, 12), places
		engine["kv_tokens"] = places * r.integer(4000, 15000)
	}
	for _, class := range tables(site["classes"]) {
		if agent, ok := class["agent"].(Table); ok {
			agent["aim_x"] = r.between(1.2, 2)
		}
	}
}
