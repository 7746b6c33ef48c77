package scenariofuzz

import "slices"

// contractOf names the part of the rules that must be in force where a kind of trouble comes.
var contractOf = map[string]string{"srv_flap": "health", "srv_lying_health": "health", "idle_race": "pool"}

// openContracts puts the parts of the rules in force that only grown deployments have.
func openContracts(site Table) {
	open, _ := site["contracts"].([]any)
	for _, name := range []string{"health", "pool"} {
		if !slices.Contains(open, any(name)) {
			open = append(open, name)
		}
	}
	site["contracts"] = open
}

// withoutClosedContracts drops troubles whose part of the rules is not in force.
func withoutClosedContracts(all []Table, site Table) []Table {
	open, _ := site["contracts"].([]any)
	return slices.DeleteFunc(all, func(t Table) bool {
		kind, _ := t["kind"].(string)
		contract, bound := contractOf[kind]
		return bound && !slices.Contains(open, any(contract))
	})
}
