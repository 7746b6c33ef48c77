package simulation

import (
	"context"
	"time"
)

// befall plays one entry of the script.
func (w *world) befall(f Fault) {
	w.pause(f.at() - w.now())
	if w.ending() {
		return
	}
	switch f.Kind {
	case RestartAll, PowerLossAll:
		w.all(f)
		return
	case Add:
		w.note("add %s", f.Machine)
		w.place(f.Machine, roleTurnStore, len(w.kind(roleTurnStore))).start()
		return
	case Retire:
		w.running.Go(func() { w.retire(f.Machine) })
		return
	case LoseAnswers:
		w.window(f, func(on bool) { w.network.loseAnswers = on })
		return
	case Reorder:
		w.window(f, func(on bool) { w.network.reorder = on })
		return
	case Trouble:
		w.window(f, func(on bool) { w.network.trouble = on })
		return
	case SplitCore, SplitOneWay:
		w.splitCore(f)
		return
	case RivalOrders:
		w.rivalOrders(f)
		return
	case LossesInRow:
		w.hurry(f)
		return
	case ZoneKill, ZonePowerLoss, ZoneWipe, ZoneCut, ZoneCutInbound, ZoneCutOutbound:
		w.domain(f)
		return
	}
	m := w.meant(f.Machine)
	if m == nil || !w.take(m.name) {
		w.note("skipped: %v", f)
		return
	}
	defer w.release(m.name)
	w.note("%s %s", f.Kind, m.name)
	w.one(f, m)
	w.note("%s %s is over", f.Kind, m.name)
}

// meant gives the machine that a fault names.
func (w *world) meant(name string) *machine {
	switch name {
	case Leader:
		return w.leader()
	case Weakest:
		return w.weakest()
	}
	return w.machine(name)
}

// take claims a machine for a fault, unless it is under another.
func (w *world) take(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[name] {
		return false
	}
	w.busy[name] = true
	return true
}

func (w *world) release(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.busy, name)
}

// window has something on for the time of a fault.
func (w *world) window(f Fault, set func(on bool)) {
	w.note("%s", f.Kind)
	w.network.set(func() { set(true) })
	w.pause(f.duration())
	w.network.set(func() { set(false) })
	w.note("%s is over", f.Kind)
}

// all takes the machines of the control plane and the turn stores at once. Their disks are kept.
func (w *world) all(f Fault) {
	w.note("%s", f.Kind)
	list := append(w.kind(roleControlPlane), w.kind(roleTurnStore)...)
	var down []*machine
	for _, m := range list {
		if !w.take(m.name) {
			continue
		}
		down = append(down, m)
		if f.Kind == RestartAll {
			m.kill()
		} else {
			m.powerLoss()
		}
	}
	w.pause(f.duration())
	for _, m := range down {
		m.start()
		w.release(m.name)
	}
	w.note("%s is over", f.Kind)
}

// one plays a fault of one machine, from its begin to its end.
func (w *world) one(f Fault, m *machine) {
	n := w.network
	switch f.Kind {
	case Kill, KillGateway:
		m.kill()
	case SeedsCutOff:
		w.mu.Lock()
		m.seedsCutOff = true
		w.mu.Unlock()
		m.kill()
	case PowerLoss:
		m.powerLoss()
	case Wipe:
		m.wipe()
	case Replace:
		m.wipe()
		w.pause(f.duration())
		w.place(m.name, m.kind, m.zone).start()
		return
	case Move:
		w.place(w.nextCore(), m.kind, m.zone).start()
		w.pause(f.duration())
		m.wipe()
		w.mu.Lock()
		delete(w.machines, m.name)
		w.mu.Unlock()
		return
	case Terminate:
		m.terminate()
	case Pause:
		n.set(func() { n.frozen[m.name] = true })
		w.pause(f.duration())
		n.set(func() { delete(n.frozen, m.name) })
		return
	case Cut, CutInbound, CutOutbound, CutLeader:
		w.cut(f, m)
		return
	case CutNear, CutNearInbound, CutNearOutbound, CutConfirming:
		w.cutNear(f, m)
		return
	case DiskFull, DiskStuck:
		m.disk.set(f.Kind == DiskFull, f.Kind == DiskStuck)
		w.pause(f.duration())
		m.disk.set(false, false)
		return
	}
	w.pause(f.duration())
	m.start()
}

// cut cuts a machine off, in one direction or both. A leader takes some of the gateways with it.
func (w *world) cut(f Fault, m *machine) {
	var links [][2]string
	w.mu.Lock()
	for name, other := range w.machines {
		side := f.Kind == CutLeader && other.kind == roleGateway && (name[len(name)-1]-'0')%2 == 1
		if name == m.name || side || other.kind == roleOutside {
			continue
		}
		if f.Kind != CutOutbound {
			links = append(links, [2]string{name, m.name})
		}
		if f.Kind != CutInbound {
			links = append(links, [2]string{m.name, name})
		}
	}
	if f.Kind == CutLeader {
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
	w.isolate(f.duration(), links, m)
}

// retire orders a turn store to be emptied, and takes its machine away for good when it is.
func (w *world) retire(name string) {
	o := newOperator(w, operatorPrefix+"retire", outsideNet+"100")
	status, _ := o.order(func(ctx context.Context, at string) (int, string, error) {
		return o.call(ctx, "POST", at, "/saffronyard/Retire.Create/"+name, `{"duration_s":30}`, nil)
	}, retireLimit)
	w.note("the order to empty %s: %d", name, status)
	switch status {
	case 200:
	case 0, 409: // no clear answer, or too few would remain
		return
	default:
		w.report(RuleAnswer, "the order to empty %s was answered %d", name, status)
		return
	}
	w.mu.Lock()
	w.retiring = name
	w.mu.Unlock()
	for begun := w.now(); !w.ending(); w.pause(500 * time.Millisecond) {
		state := ""
		status, state = o.order(func(ctx context.Context, at string) (int, string, error) {
			return o.call(ctx, "GET", at, "/saffronyard/Retire.Describe/"+name, "", nil)
		}, orderLimit)
		if status == 200 && state == `{"lifecycle_state":"completed"}` {
			w.note("%s is empty after %v", name, w.now()-begun)
			w.mu.Lock()
			w.retired = true
			w.mu.Unlock()
			break
		}
		if status != 200 && status != 0 {
			w.report(RuleRepeat, "the order to empty %s was taken, and is answered %d", name, status)
			return
		}
	}
	if m := w.machine(name); m != nil && !w.ending() && w.take(name) {
		m.wipe() // it stays taken: nothing befalls it any more
		w.mu.Lock()
		delete(w.machines, name)
		w.mu.Unlock()
	}
}
