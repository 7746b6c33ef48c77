package simulation

import (
	"context"
	"net/http"
	"time"
)

// injectFault waits for the time of a fault, injects it, and returns after its end.
func (w *world) injectFault(f Fault) {
	w.sleep(f.at() - w.now())
	if w.ending() {
		return
	}
	switch f.Kind {
	case RestartAll, PowerLossAll:
		w.stopAll(f)
	case Add:
		w.trace("add %s", f.Machine)
		w.addMachine(f.Machine, roleTurnStore, len(w.machinesOfKind(roleTurnStore))).start()
	case Retire:
		w.running.Go(func() { w.retire(f.Machine) })
	case LoseResponses:
		w.injectNetworkFault(f, func(on bool) { w.network.loseResponses = on })
	case Reorder:
		w.injectNetworkFault(f, func(on bool) { w.network.reorder = on })
	case LoseMessages:
		w.injectNetworkFault(f, func(on bool) { w.network.loseMessages = on })
	case SplitCore, SplitOneWay:
		w.splitCore(f)
	case ConcurrentChanges:
		w.changeConcurrently(f)
	case LossesInRow:
		w.withBusyOperators(f)
	case KillZone, PowerLossZone, WipeZone, PartitionZone, PartitionZoneInbound, PartitionZoneOutbound:
		w.injectDomainFault(f)
	default:
		w.injectIntoMachine(f)
	}
}

// injectIntoMachine injects a fault into one machine, unless the machine is under another fault.
func (w *world) injectIntoMachine(f Fault) {
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

// injectNetworkFault enables a fault of the network for its duration.
func (w *world) injectNetworkFault(f Fault, set func(on bool)) {
	w.trace("%s", f.Kind)
	w.network.update(func() { set(true) })
	w.sleep(f.duration())
	w.network.update(func() { set(false) })
	w.trace("%s is over", f.Kind)
}

// stopAll stops the machines of the control plane and the turn stores at once. Their disks are kept.
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

// injectMachineFault injects a fault into one machine, and returns after its end.
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
		w.addMachine(w.nextCoreName(), m.kind, m.zone).start()
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
	default: // the kinds of other groups, which injectFault handles
	}
	w.sleep(f.duration())
	m.start()
}

// retire has an operator retire a turn store, and removes its machine when the turn store is empty.
func (w *world) retire(name string) {
	o := newOperator(w, operatorPrefix+"retire", outsideNet+"100")
	status, _ := o.callUntilDefinitive(func(ctx context.Context, ip string) (int, string, error) {
		return o.call(ctx, ip, operatorCall{method: http.MethodPost, path: retirePath + name, body: `{"duration_s":30}`})
	}, retireTimeout)
	w.trace("the order to empty %s: %d", name, status)
	switch status {
	case 200:
	case 0, 409: // no definitive response, or too few turn stores would remain
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
		status, state = o.callUntilDefinitive(func(ctx context.Context, ip string) (int, string, error) {
			return o.call(ctx, ip, operatorCall{method: http.MethodGet, path: retiredPath + name})
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
		m.wipe() // the machine stays claimed: no further fault is injected into it
		w.mu.Lock()
		delete(w.machines, name)
		w.mu.Unlock()
	}
}
