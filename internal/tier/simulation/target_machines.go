package simulation

import (
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// resolveMachine returns the machine that a fault names.
func (w *world) resolveMachine(name string) *machine {
	switch name {
	case Leader:
		return w.leader()
	case Weakest:
		return w.weakestMachine()
	}
	return w.machine(name)
}

// leader returns the machine of the control plane's primary, nil if there is none.
func (w *world) leader() *machine {
	for _, m := range w.machinesOfKind(roleControlPlane) {
		p, _ := m.process()
		if p == nil {
			continue
		}
		if _, leads := p.role.(*controlPlaneRole).node.Primary(); leads {
			return m
		}
	}
	return nil
}

// weakestMachine returns the machine for which Weakest stands now.
func (w *world) weakestMachine() *machine {
	var weakest *machine
	maxNeeded := 0
	needed := w.neededReplicas(w.checks.views.newestMap())
	for _, m := range w.machinesOfKind(roleTurnStore) {
		if n := needed[m.name]; n > maxNeeded {
			weakest, maxNeeded = m, n
		}
	}
	if weakest == nil {
		return w.leader()
	}
	return weakest
}

// neededReplicas counts, by turn store, the synced replicas of partitions whose synced replicas lie in no more machines, zones or regions
// than may be lost at once. Replicas on machines under a fault do not count.
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

// isUnderFault reports whether a machine is under a fault.
func (w *world) isUnderFault(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.underFault[name]
}

// claim claims a machine for a fault, and reports false if another fault has claimed the machine.
func (w *world) claim(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.underFault[name] {
		return false
	}
	w.underFault[name] = true
	return true
}

// release ends the claim of a fault on a machine.
func (w *world) release(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.underFault, name)
}
