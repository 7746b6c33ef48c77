package scenariofuzz

import "slices"

// contractOf maps a kind of fault to the contract (a part of the rules) that must be active on a site with such a fault.
var contractOf = map[string]string{"srv_flap": "health", "srv_lying_health": "health", "idle_race": "pool"}

// activateContracts activates the contracts that only extended deployments have.
func activateContracts(site Table) {
	active, _ := site["contracts"].([]any)
	for _, name := range []string{"health", "pool"} {
		if !slices.Contains(active, any(name)) {
			active = append(active, name)
		}
	}
	site["contracts"] = active
}

// withoutInactiveContracts drops faults whose contract is not active.
func withoutInactiveContracts(all []Table, site Table) []Table {
	active, _ := site["contracts"].([]any)
	return slices.DeleteFunc(all, func(t Table) bool {
		kind, _ := t["kind"].(string)
		contract, requiresContract := contractOf[kind]
		return requiresContract && !slices.Contains(active, any(contract))
	})
}
