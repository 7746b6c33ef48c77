package simulation

import (
	"slices"
	"time"
)

// maxConfirmingDelay bounds the delay from the arrival of a change at the primary to the begin of a PartitionConfirming. Most changes
// are acknowledged within this time.
const maxConfirmingDelay = 12 * time.Millisecond

// partition partitions a machine from all others, in one direction or both. With PartitionLeader, the gateways of odd
// numbers are on the machine's side.
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

// partitionDomain partitions a zone or region from the others, in one direction or both.
func (w *world) partitionDomain(f Fault, name string) {
	side := w.machinesOf(name)
	var claimed []string
	for _, m := range side {
		if m.kind != roleGateway && w.claim(m.name) { // a gateway may be killed meanwhile
			claimed = append(claimed, m.name)
		}
	}
	links := w.linksAcross(side, f.Kind != PartitionZoneOutbound, f.Kind != PartitionZoneInbound)
	w.partitionLinks(f.duration(), links, side...)
	for _, one := range claimed {
		w.release(one)
	}
}

// partitionNear partitions a machine of the control plane, in one direction or both, together with the machines of
// the fault's Side.
func (w *world) partitionNear(f Fault, m *machine) {
	side := []*machine{m}
	for _, name := range f.Side {
		other := w.machine(name)
		if other == nil || other.kind != roleGateway && !w.claim(name) {
			continue
		}
		if other.kind != roleGateway {
			defer w.release(name)
		}
		side = append(side, other)
	}
	end := w.now() + f.duration()
	if f.Kind == PartitionConfirming {
		w.awaitChangeAtPrimary(m, f)
	}
	links := w.linksAcross(side, f.Kind != PartitionNearOutbound, f.Kind != PartitionNearInbound)
	w.partitionLinks(end-w.now(), links, side...)
}

// awaitChangeAtPrimary waits until a machine has begun to serve a change, and then for a random delay. It waits at most half of the
// fault's duration for the change.
func (w *world) awaitChangeAtPrimary(m *machine, f Fault) {
	begun := w.network.awaitChange(m.name)
	timer := time.NewTimer(f.duration() / 2)
	defer timer.Stop()
	select {
	case <-begun:
		delay := time.Duration(w.randomFor(f.String()).Int64N(int64(maxConfirmingDelay)))
		w.sleep(delay)
		w.trace("%s has begun to serve an order %v ago", m.name, delay)
	case <-timer.C:
	case <-w.ctx.Done():
	}
}

// linksAcross returns the links between the machines of a side and all other machines of the system: inbound to the side, outbound or
// both. Machines outside of the system have none of these links.
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

// partitionLinks blocks links for a duration, during which the control-plane machines of side count as partitioned.
func (w *world) partitionLinks(duration time.Duration, links [][2]string, side ...*machine) {
	countPartitioned := func(by int) {
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
	countPartitioned(1)
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
	countPartitioned(-1)
}

// isPartitioned reports whether a machine of the control plane is partitioned.
func (w *world) isPartitioned(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partitionedCore[name] > 0
}

// splitCore partitions the control plane into two halves, both of which all other machines reach. In a one-way split, the blocked
// direction is drawn.
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

// names returns the names of machines.
func names(list []*machine) (out []string) {
	for _, m := range list {
		out = append(out, m.name)
	}
	return out
}
