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

// domain plays a fault of a whole zone or region: of its machines of all roles.
func (w *world) domain(f Fault) {
	name := f.Machine
	if m := w.meant(name); m != nil {
		name = m.domain()
	} else if name == Leader || name == Weakest {
		w.note("skipped: %v", f)
		return
	}
	w.note("%s %s", f.Kind, name)
	defer w.note("%s %s is over", f.Kind, name)
	switch f.Kind {
	case ZoneKill, ZonePowerLoss, ZoneWipe:
		w.stopDomain(f, name)
	case ZoneCut, ZoneCutInbound, ZoneCutOutbound:
		w.cutDomain(f, name)
	}
}

// machinesOf gives the machines of all roles in a zone or region.
func (w *world) machinesOf(domain string) (list []*machine) {
	for _, kind := range []roleName{roleControlPlane, roleTurnStore, roleGateway} {
		for _, m := range w.kind(kind) {
			if m.domain() == domain {
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
		if !w.take(m.name) {
			continue
		}
		down = append(down, m)
		switch f.Kind {
		case ZoneKill:
			m.kill()
		case ZonePowerLoss:
			m.powerLoss()
		case ZoneWipe:
			m.wipe()
		}
	}
	w.pause(f.duration())
	for _, m := range down {
		m.start()
		w.release(m.name)
	}
}

// cutDomain cuts a zone or region off from the others, in one direction or both.
func (w *world) cutDomain(f Fault, name string) {
	side := w.machinesOf(name)
	var taken []string
	for _, m := range side {
		if m.kind != roleGateway && w.take(m.name) { // a gateway may end meanwhile
			taken = append(taken, m.name)
		}
	}
	links := w.linksAcross(side, f.Kind != ZoneCutOutbound, f.Kind != ZoneCutInbound)
	w.isolate(f.duration(), links, side...)
	for _, one := range taken {
		w.release(one)
	}
}

// cutNear cuts a machine of the control plane off, in one direction or both, together with those beside it.
func (w *world) cutNear(f Fault, m *machine) {
	side := []*machine{m}
	for _, name := range f.Side {
		beside := w.machine(name)
		if beside == nil || beside.kind != roleGateway && !w.take(name) {
			continue
		}
		if beside.kind != roleGateway {
			defer w.release(name)
		}
		side = append(side, beside)
	}
	end := w.now() + f.duration()
	if f.Kind == CutConfirming {
		w.awaitOrder(m, f)
	}
	links := w.linksAcross(side, f.Kind != CutNearOutbound, f.Kind != CutNearInbound)
	w.isolate(end-w.now(), links, side...)
}

// awaitOrder waits until a machine has begun to serve an order, and a little, for half of the fault at most.
func (w *world) awaitOrder(m *machine, f Fault) {
	ordered := w.network.awaitOrder(m.name)
	timer := time.NewTimer(f.duration() / 2)
	defer timer.Stop()
	select {
	case <-ordered:
		delay := time.Duration(w.random(f.String()).Int64N(int64(confirmingDelays)))
		w.pause(delay)
		w.note("%s has begun to serve an order %v ago", m.name, delay)
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

// isolate cuts links for a time, in which the machines of the control plane among side count as cut off.
func (w *world) isolate(duration time.Duration, links [][2]string, side ...*machine) {
	note := func(by int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, m := range side {
			if m.kind != roleControlPlane {
				continue
			}
			if w.cutOff[m.name] += by; w.cutOff[m.name] == 0 {
				delete(w.cutOff, m.name)
			}
		}
	}
	note(1)
	n := w.network
	n.set(func() {
		for _, link := range links {
			n.cut[link]++
		}
	})
	w.pause(duration)
	n.set(func() {
		for _, link := range links {
			if n.cut[link]--; n.cut[link] == 0 {
				delete(n.cut, link)
			}
		}
	})
	note(-1)
}

// isCutOff tells whether a machine of the control plane is cut off. The lock is not held.
func (w *world) isCutOff(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutOff[name] > 0
}

// splitCore cuts the control plane into two halves, which all others reach. Each half is the first one half of the times.
func (w *world) splitCore(f Fault) {
	core := w.kind(roleControlPlane)
	random := w.random(f.String())
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
	w.note("%s: %s | %s", f.Kind, names(half), names(rest))
	w.isolate(f.duration(), links)
	w.note("%s is over", f.Kind)
}

func names(list []*machine) (out []string) {
	for _, m := range list {
		out = append(out, m.name)
	}
	return out
}

// rivalOrders has two operators send pairs of orders of one revision on the same one, each beginning at another machine.
func (w *world) rivalOrders(f Fault) {
	w.note("%s", f.Kind)
	var rivals [2]*operator
	for i := range rivals {
		name := fmt.Sprintf("%srival-%d-%d", operatorPrefix, f.AtMS, i+1)
		rivals[i] = newOperator(w, name, fmt.Sprint(rivalsNet, w.nextRival()))
		rivals[i].next = i
	}
	for begun := w.now(); w.now()-begun < f.duration() && !w.ending(); {
		w.pause(retryMin)
		if !rivals[0].read() {
			continue
		}
		base := rivals[0].known
		var pair sync.WaitGroup
		for _, o := range rivals {
			pair.Go(func() { o.send(w.checks.orders.begin(w.now(), base, base+1)) })
		}
		pair.Wait()
	}
	w.note("%s is over", f.Kind)
}

// nextRival gives the last part of an address of an operator of rivalOrders.
func (w *world) nextRival() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses[rivalsNet]++
	return w.addresses[rivalsNet]
}

// hurry has the operators order without rest for the time of a fault.
func (w *world) hurry(f Fault) {
	w.note("%s", f.Kind)
	w.changeHurry(1)
	w.pause(f.duration())
	w.changeHurry(-1)
	w.note("%s is over", f.Kind)
}

func (w *world) changeHurry(by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hurries += by
}

// hurried tells whether operators order without rest.
func (w *world) hurried() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hurries > 0
}
