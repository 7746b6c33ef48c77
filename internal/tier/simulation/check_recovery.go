package simulation

import (
	"context"
	"maps"
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// checkRecovery checks at the end of a play that changes and turns are served, that nothing is lost, and that every partition has all
// its replicas.
func (w *world) checkRecovery() {
	w.trace("recovered?")
	o := newOperator(w, operatorPrefix+"last", watcherIP)
	if !o.read() {
		w.reportViolation(RuleRecovery, "no read is answered")
	}
	w.checks.configuration.checkFinalRevision(o.knownRevision)
	last := w.checks.configuration.begin(w.now(), o.knownRevision, o.knownRevision+10)
	if !o.send(last) && last.rejectedStatus == 0 {
		w.reportViolation(RuleRecovery, "no order is acknowledged")
	}
	w.checkIdempotence(o)
	w.checkMembers()
	w.checkReplicas()
	w.checkTurns()
	w.mu.Lock()
	retiring, retired := w.retiringNode, w.retired
	w.mu.Unlock()
	if retiring != "" && !retired {
		w.reportViolation(RuleRecovery, "%s is not empty yet", retiring)
	}
}

// checkIdempotence checks that changes which were acknowledged are acknowledged again, although later ones have replaced them.
func (w *world) checkIdempotence(o *operator) {
	for _, old := range w.checks.configuration.newestAcknowledged(changesRepeated) {
		if !o.send(old) && !w.ending() {
			w.reportViolation(RuleIdempotent, "%v was acknowledged, and is not when it comes again", old)
		}
	}
}

// checkMembers checks that the control plane has all its members, and again tolerates the losses of the script: after any of these, a
// majority of the members is left, and at least one of the primary and its backups.
func (w *world) checkMembers() {
	leader := w.leader()
	if leader == nil {
		w.reportViolation(RuleRecovery, "nobody is primary")
		return
	}
	p, _ := leader.process()
	if p == nil {
		return
	}
	record := p.role.(*controlPlaneRole).node.View()
	domains := map[string]string{} // by folder
	for _, m := range record.GetMembers() {
		if machine := w.machine(m.Node); machine != nil {
			domains[m.Folder] = machine.failureDomain()
		}
	}
	if want := 2*w.script.Losses + 1; len(domains) != want {
		w.reportViolation(RuleRecovery, "the control plane has %d members of %d", len(domains), want)
	}
	if left := len(domains) - maxMembersLost(domains, w.script.Losses); left < len(domains)/2+1 {
		w.reportViolation(RuleRecovery, "%d members of %d are left where %d of %v are lost", left, len(domains), w.script.Losses, domains)
	}
	holders := map[string]bool{domains[record.GetPrimary()]: true}
	for _, folder := range record.GetBackups() {
		holders[domains[folder]] = true
	}
	if len(holders) <= w.script.Losses {
		w.reportViolation(RuleRecovery, "the control state is only in %v", holders)
	}
}

// maxMembersLost returns how many of the members are in the n domains that have the most of them.
func maxMembersLost(domains map[string]string, n int) (sum int) {
	count := map[string]int{}
	for _, domain := range domains {
		count[domain]++
	}
	counts := slices.Sorted(maps.Values(count))
	for i := range min(n, len(counts)) {
		sum += counts[len(counts)-1-i]
	}
	return sum
}

// checkReplicas checks that each partition of the newest map has its replicas on running turn stores, and in as many zones or regions
// where these are lost. It also checks that each running turn store holds replicas unless it is being retired.
func (w *world) checkReplicas() {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	leader := w.leader()
	if leader == nil {
		w.reportViolation(RuleRecovery, "nobody is primary")
		return
	}
	watcher := newOperator(w, "watcher", watcherIP)
	status, err := watcher.process.dialControlPlane(hostPort(leader.ip, internalPort)).Status(ctx, &tierv1.StatusRequest{})
	if err != nil || status.PartitionMap == nil {
		w.reportViolation(RuleRecovery, "the primary shows no map: %v", err)
		return
	}
	alive, holdsReplica := map[string]string{}, map[string]bool{} // alive: failure domains of the folders of running turn stores
	for _, m := range w.machinesOfKind(roleTurnStore) {
		if p, _ := m.process(); p != nil {
			alive[p.role.(*turnStoreRole).store.Folder()] = m.failureDomain()
		}
	}
	underReplicated := 0
	for _, p := range status.PartitionMap.Partitions {
		synced := map[string]bool{} // failure domains
		holdsReplica[p.Primary] = true
		for _, c := range p.Backups {
			holdsReplica[c.Folder] = true
		}
		for _, c := range p.Backups {
			if c.Synced && alive[c.Folder] != "" {
				synced[alive[c.Folder]] = true
			}
		}
		primary := alive[p.Primary]
		synced[primary] = true
		if primary == "" || len(synced) < w.script.Losses+1 {
			underReplicated++
		}
	}
	if underReplicated > 0 {
		w.reportViolation(RuleRecovery, "%d partitions lack copies", underReplicated)
	}
	for folder := range alive {
		if !holdsReplica[folder] && !slices.Contains(status.PartitionMap.Retiring, w.nodeOfFolder(folder)) {
			w.reportViolation(RuleRecovery, "%s runs and keeps nothing", w.nodeOfFolder(folder))
		}
	}
}

// nodeOfFolder returns the name of the running turn store with a folder, or "".
func (w *world) nodeOfFolder(folder string) string {
	for _, m := range w.machinesOfKind(roleTurnStore) {
		if p, _ := m.process(); p != nil && p.role.(*turnStoreRole).store.Folder() == folder {
			return m.name
		}
	}
	return ""
}

// checkTurns checks that all stored turns are still found, and that all charged tokens are still charged.
func (w *world) checkTurns() {
	gateways := w.machinesOfKind(roleGateway)
	p, _ := gateways[0].process()
	if p == nil {
		w.reportViolation(RuleRecovery, "%s does not run", gateways[0].name)
		return
	}
	g := p.role.(*gatewayRole)
	for _, last := range w.checks.turns.newestStoredTurns() {
		probe := w.checks.turns.begin(&program{name: "probe of " + last, budget: programBudget}, last, 1, 1)
		if !g.runTurn(probe, true) {
			w.reportViolation(RuleRecovery, "no turn that goes on from %s is served", last)
		}
	}
	for _, p := range w.checks.turns.allPrograms() {
		least := w.checks.turns.minCharge(p)
		probe := w.checks.turns.begin(p, "", programBudget-min(least, programBudget)+1, 1)
		if verdict, _ := g.begin(probe); verdict != tierv1.Verdict_SPENT {
			w.reportViolation(RuleBudget, "%s: %d tokens are charged of %d, and %d more are answered %v", p.name, least, p.budget, probe.maxTokens, verdict)
		}
	}
}
