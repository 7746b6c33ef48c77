package simulation

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// confirmingDelays are how long after an order has come to the primary a cut begins that is meant for the time of its
// confirmation. Most orders are acknowledged within them.
const confirmingDelays = 12 * time.Millisecond

// injectDomainFault plays a fault of a whole zone or region: of its machines of all roles.
func (w *world) injectDomainFault(f Fault) {
	name := f.Machine
	if m := w.resolveMachine(name); m != nil {
		name = m.failureDomain()
	} else if name == Leader || name == Weakest {
		w.trace("skipped: %v", f)
		return
	}
	w.trace("%s %s", f.Kind, name)
	defer w.trace("%s %s is over", f.Kind, name)
	switch f.Kind {
	case KillZone, PowerLossZone, WipeZone:
		w.stopDomain(f, name)
	case PartitionZone, PartitionZoneInbound, PartitionZoneOutbound:
		w.partitionDomain(f, name)
	}
}

// machinesOf gives the machines of all roles in a zone or region.
func (w *world) machinesOf(domain string) (list []*machine) {
	for _, kind := range []roleName{roleControlPlane, roleTurnStore, roleGateway} {
		for _, m := range w.machinesOfKind(kind) {
			if m.failureDomain() == domain {
				list = append(list, m)
			}
		}
	}
	return list
}

// stopDomain stops all machines of a zone or region, and starts them again.
func (w *world) stopDomain(f Fault, name string) {
	var down []*machine
	for _, m := range w.machinesOf(name) {
		if !w.claim(m.name) {
			continue
		}
		down = append(down, m)
		switch f.Kind {
		case KillZone:
			m.kill()
		case PowerLossZone:
			m.powerLoss()
		case WipeZone:
			m.wipe()
		}
	}
	w.sleep(f.duration())
	for _, m := range down {
		m.start()
		w.release(m.name)
	}
}

// partitionDomain cuts a zone or region off from the others, in one direction or both.
func (w *world) partitionDomain(f Fault, name string) {
	side := w.machinesOf(name)
	var taken []string
	for _, m := range side {
		if m.kind != roleGateway && w.claim(m.name) { // a gateway may end meanwhile
			taken = append(taken, m.name)
		}
	}
	links := w.linksAcross(side, f.Kind != PartitionZoneOutbound, f.Kind != PartitionZoneInbound)
	w.partitionLinks(f.duration(), links, side...)
	for _, one := range taken {
		w.release(one)
	}
}

// partitionNear cuts a machine of the control plane off, in one direction or both, together with those beside it.
func (w *world) partitionNear(f Fault, m *machine) {
	side := []*machine{m}
	for _, name := range f.Side {
		beside := w.machine(name)
		if beside == nil || beside.kind != roleGateway && !w.claim(name) {
			continue
		}
		if beside.kind != roleGateway {
			defer w.release(name)
		}
		side = append(side, beside)
	}
	end := w.now() + f.duration()
	if f.Kind == PartitionConfirming {
		w.awaitChangeAtPrimary(m, f)
	}
	links := w.linksAcross(side, f.Kind != PartitionNearOutbound, f.Kind != PartitionNearInbound)
	w.partitionLinks(end-w.now(), links, side...)
}

// awaitChangeAtPrimary waits until a machine has begun to serve an order, and a little, for half of the fault at most.
func (w *world) awaitChangeAtPrimary(m *machine, f Fault) {
	ordered := w.network.awaitChange(m.name)
	timer := time.NewTimer(f.duration() / 2)
	defer timer.Stop()
	select {
	case <-ordered:
		delay := time.Duration(w.randomFor(f.String()).Int64N(int64(confirmingDelays)))
		w.sleep(delay)
		w.trace("%s has begun to serve an order %v ago", m.name, delay)
	case <-timer.C:
	case <-w.ctx.Done():
	}
}

// linksAcross gives the links between machines and all others but those outside, into them, out of them or both.
func (w *world) linksAcross(side []*machine, inbound, outbound bool) (links [][2]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, far := range w.machines {
		if far.kind == roleOutside || slices.Contains(side, far) {
			continue
		}
		for _, near := range side {
			if inbound {
				links = append(links, [2]string{far.name, near.name})
			}
			if outbound {
				links = append(links, [2]string{near.name, far.name})
			}
		}
	}
	return links
}

// partitionLinks cuts links for a time, in which the machines of the control plane among side count as cut off.
func (w *world) partitionLinks(duration time.Duration, links [][2]string, side ...*machine) {
	note := func(by int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, m := range side {
			if m.kind != roleControlPlane {
				continue
			}
			if w.partitionedCore[m.name] += by; w.partitionedCore[m.name] == 0 {
				delete(w.partitionedCore, m.name)
			}
		}
	}
	note(1)
	n := w.network
	n.update(func() {
		for _, link := range links {
			n.partitioned[link]++
		}
	})
	w.sleep(duration)
	n.update(func() {
		for _, link := range links {
			if n.partitioned[link]--; n.partitioned[link] == 0 {
				delete(n.partitioned, link)
			}
		}
	})
	note(-1)
}

// isPartitioned tells whether a machine of the control plane is cut off. The lock is not held.
func (w *world) isPartitioned(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partitionedCore[name] > 0
}

// splitCore cuts the control plane into two halves, which all others reach. Each half is the first one half of the times.
func (w *world) splitCore(f Fault) {
	core := w.machinesOfKind(roleControlPlane)
	random := w.randomFor(f.String())
	random.Shuffle(len(core), func(i, j int) { core[i], core[j] = core[j], core[i] })
	half, rest := core[:len(core)/2], core[len(core)/2:]
	if random.IntN(2) == 0 {
		half, rest = rest, half
	}
	var links [][2]string
	for _, one := range half {
		for _, other := range rest {
			links = append(links, [2]string{other.name, one.name})
			if f.Kind == SplitCore {
				links = append(links, [2]string{one.name, other.name})
			}
		}
	}
	w.trace("%s: %s | %s", f.Kind, names(half), names(rest))
	w.partitionLinks(f.duration(), links)
	w.trace("%s is over", f.Kind)
}

func names(list []*machine) (out []string) {
	for _, m := range list {
		out = append(out, m.name)
	}
	return out
}

// changeConcurrently has two operators send pairs of orders of one revision on the same one, each beginning at another machine.
func (w *world) changeConcurrently(f Fault) {
	w.trace("%s", f.Kind)
	var rivals [2]*operator
	for i := range rivals {
		name := fmt.Sprintf("%srival-%d-%d", operatorPrefix, f.AtMS, i+1)
		rivals[i] = newOperator(w, name, fmt.Sprint(rivalsNet, w.nextRivalAddress()))
		rivals[i].next = i
	}
	for begun := w.now(); w.now()-begun < f.duration() && !w.ending(); {
		w.sleep(minRetryDelay)
		if !rivals[0].read() {
			continue
		}
		base := rivals[0].knownRevision
		var pair sync.WaitGroup
		for _, o := range rivals {
			pair.Go(func() { o.send(w.checks.configuration.begin(w.now(), base, base+1)) })
		}
		pair.Wait()
	}
	w.trace("%s is over", f.Kind)
}

// nextRivalAddress gives the last part of an address of an operator of rivalOrders.
func (w *world) nextRivalAddress() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses[rivalsNet]++
	return w.addresses[rivalsNet]
}

// withBusyOperators has the operators order without rest for the time of a fault.
func (w *world) withBusyOperators(f Fault) {
	w.trace("%s", f.Kind)
	w.addBusyOperators(1)
	w.sleep(f.duration())
	w.addBusyOperators(-1)
	w.trace("%s is over", f.Kind)
}

func (w *world) addBusyOperators(by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busyOperatorFaults += by
}

// operatorsBusy tells whether operators order without rest.
func (w *world) operatorsBusy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busyOperatorFaults > 0
}
