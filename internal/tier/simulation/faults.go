package simulation

import (
	"context"
	"time"
)

// injectFault plays one entry of the script.
func (w *world) injectFault(f Fault) {
	w.sleep(f.at() - w.now())
	if w.ending() {
		return
	}
	switch f.Kind {
	case RestartAll, PowerLossAll:
		w.stopAll(f)
		return
	case Add:
		w.trace("add %s", f.Machine)
		w.addMachine(f.Machine, roleTurnStore, len(w.machinesOfKind(roleTurnStore))).start()
		return
	case Retire:
		w.running.Go(func() { w.retire(f.Machine) })
		return
	case LoseResponses:
		w.injectNetworkFault(f, func(on bool) { w.network.loseResponses = on })
		return
	case Reorder:
		w.injectNetworkFault(f, func(on bool) { w.network.reorder = on })
		return
	case LoseMessages:
		w.injectNetworkFault(f, func(on bool) { w.network.loseMessages = on })
		return
	case SplitCore, SplitOneWay:
		w.splitCore(f)
		return
	case ConcurrentChanges:
		w.changeConcurrently(f)
		return
	case LossesInRow:
		w.withBusyOperators(f)
		return
	case KillZone, PowerLossZone, WipeZone, PartitionZone, PartitionZoneInbound, PartitionZoneOutbound:
		w.injectDomainFault(f)
		return
	}
	m := w.resolveMachine(f.Machine)
	if m == nil || !w.claim(m.name) {
		w.trace("skipped: %v", f)
		return
	}
	defer w.release(m.name)
	w.trace("%s %s", f.Kind, m.name)
	w.injectMachineFault(f, m)
	w.trace("%s %s is over", f.Kind, m.name)
}

// resolveMachine gives the machine that a fault names.
func (w *world) resolveMachine(name string) *machine {
	switch name {
	case Leader:
		return w.leader()
	case Weakest:
		return w.weakestMachine()
	}
	return w.machine(name)
}

// claim claims a machine for a fault, unless it is under another.
func (w *world) claim(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.underFault[name] {
		return false
	}
	w.underFault[name] = true
	return true
}

func (w *world) release(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.underFault, name)
}

// injectNetworkFault has something on for the time of a fault.
func (w *world) injectNetworkFault(f Fault, set func(on bool)) {
	w.trace("%s", f.Kind)
	w.network.update(func() { set(true) })
	w.sleep(f.duration())
	w.network.update(func() { set(false) })
	w.trace("%s is over", f.Kind)
}

// stopAll takes the machines of the control plane and the turn stores at once. Their disks are kept.
func (w *world) stopAll(f Fault) {
	w.trace("%s", f.Kind)
	list := append(w.machinesOfKind(roleControlPlane), w.machinesOfKind(roleTurnStore)...)
	var down []*machine
	for _, m := range list {
		if !w.claim(m.name) {
			continue
		}
		down = append(down, m)
		if f.Kind == RestartAll {
			m.kill()
		} else {
			m.powerLoss()
		}
	}
	w.sleep(f.duration())
	for _, m := range down {
		m.start()
		w.release(m.name)
	}
	w.trace("%s is over", f.Kind)
}

// injectMachineFault plays a fault of one machine, from its begin to its end.
func (w *world) injectMachineFault(f Fault, m *machine) {
	n := w.network
	switch f.Kind {
	case Kill, KillGateway:
		m.kill()
	case PartitionSeeds:
		w.mu.Lock()
		m.seedsPartitioned = true
		w.mu.Unlock()
		m.kill()
	case PowerLoss:
		m.powerLoss()
	case Wipe:
		m.wipe()
	case Replace:
		m.wipe()
		w.sleep(f.duration())
		w.addMachine(m.name, m.kind, m.zone).start()
		return
	case Move:
		w.addMachine(w.nextCore(), m.kind, m.zone).start()
		w.sleep(f.duration())
		m.wipe()
		w.mu.Lock()
		delete(w.machines, m.name)
		w.mu.Unlock()
		return
	case Terminate:
		m.terminate()
	case Pause:
		n.update(func() { n.frozen[m.name] = true })
		w.sleep(f.duration())
		n.update(func() { delete(n.frozen, m.name) })
		return
	case Partition, PartitionInbound, PartitionOutbound, PartitionLeader:
		w.partition(f, m)
		return
	case PartitionNear, PartitionNearInbound, PartitionNearOutbound, PartitionConfirming:
		w.partitionNear(f, m)
		return
	case DiskFull, DiskStuck:
		m.disk.set(f.Kind == DiskFull, f.Kind == DiskStuck)
		w.sleep(f.duration())
		m.disk.set(false, false)
		return
	}
	w.sleep(f.duration())
	m.start()
}

// partition cuts a machine off, in one direction or both. A leader takes some of the gateways with it.
func (w *world) partition(f Fault, m *machine) {
	var links [][2]string
	w.mu.Lock()
	for name, other := range w.machines {
		side := f.Kind == PartitionLeader && other.kind == roleGateway && (name[len(name)-1]-'0')%2 == 1
		if name == m.name || side || other.kind == roleOutside {
			continue
		}
		if f.Kind != PartitionOutbound {
			links = append(links, [2]string{name, m.name})
		}
		if f.Kind != PartitionInbound {
			links = append(links, [2]string{m.name, name})
		}
	}
	if f.Kind == PartitionLeader {
		for name, other := range w.machines {
			if other.kind == roleGateway && (name[len(name)-1]-'0')%2 == 1 {
				for far, machine := range w.machines {
					if machine.kind == roleControlPlane && far != m.name || machine.kind == roleTurnStore {
						links = append(links, [2]string{name, far}, [2]string{far, name})
					}
				}
			}
		}
	}
	w.mu.Unlock()
	w.partitionLinks(f.duration(), links, m)
}

// retire orders a turn store to be emptied, and takes its machine away for good when it is.
func (w *world) retire(name string) {
	o := newOperator(w, operatorPrefix+"retire", outsideNet+"100")
	status, _ := o.untilClear(func(ctx context.Context, at string) (int, string, error) {
		return o.call(ctx, "POST", at, "/saffronyard/Retire.Create/"+name, `{"duration_s":30}`, nil)
	}, retireTimeout)
	w.trace("the order to empty %s: %d", name, status)
	switch status {
	case 200:
	case 0, 409: // no clear answer, or too few would remain
		return
	default:
		w.reportViolation(RuleResponse, "the order to empty %s was answered %d", name, status)
		return
	}
	w.mu.Lock()
	w.retiringNode = name
	w.mu.Unlock()
	for begun := w.now(); !w.ending(); w.sleep(500 * time.Millisecond) {
		state := ""
		status, state = o.untilClear(func(ctx context.Context, at string) (int, string, error) {
			return o.call(ctx, "GET", at, "/saffronyard/Retire.Describe/"+name, "", nil)
		}, changeTimeout)
		if status == 200 && state == `{"lifecycle_state":"completed"}` {
			w.trace("%s is empty after %v", name, w.now()-begun)
			w.mu.Lock()
			w.retired = true
			w.mu.Unlock()
			break
		}
		if status != 200 && status != 0 {
			w.reportViolation(RuleIdempotent, "the order to empty %s was taken, and is answered %d", name, status)
			return
		}
	}
	if m := w.machine(name); m != nil && !w.ending() && w.claim(name) {
		m.wipe() // it stays taken: nothing befalls it any more
		w.mu.Lock()
		delete(w.machines, name)
		w.mu.Unlock()
	}
}
