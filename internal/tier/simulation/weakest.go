package simulation

import tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"

// weakestMachine gives the machine that Weakest means now.
func (w *world) weakestMachine() *machine {
	var weakest *machine
	most := 0
	needed := w.neededReplicas(w.checks.views.newestMap())
	for _, m := range w.machinesOfKind(roleTurnStore) {
		if n := needed[m.name]; n > most {
			weakest, most = m, n
		}
	}
	if weakest == nil {
		return w.leader()
	}
	return weakest
}

// neededReplicas counts, by turn store, the synced copies of partitions that have them in no more machines, zones or regions than
// may be lost at once. What is under a fault counts for nothing.
func (w *world) neededReplicas(newest *tierv1.PartitionMap) map[string]int {
	nodes := map[string]string{} // by folder
	for _, n := range newest.GetStoreNodes() {
		if !w.isUnderFault(n.Node) {
			nodes[n.Folder] = n.Node
		}
	}
	needed := map[string]int{}
	for _, p := range newest.GetPartitions() {
		folders := []string{p.Primary}
		for _, c := range p.Backups {
			if c.Synced {
				folders = append(folders, c.Folder)
			}
		}
		synced, domains := map[string]bool{}, map[string]bool{}
		for _, folder := range folders {
			if m := w.machine(nodes[folder]); m != nil {
				synced[m.name], domains[m.failureDomain()] = true, true
			}
		}
		if len(domains) > w.script.Losses {
			continue
		}
		for name := range synced {
			needed[name]++
		}
	}
	return needed
}

// isUnderFault tells whether a machine is under a fault.
func (w *world) isUnderFault(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.underFault[name]
}
