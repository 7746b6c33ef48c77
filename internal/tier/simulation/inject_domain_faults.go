package simulation

// injectDomainFault injects a fault into a zone or region, that is, into its machines of all roles.
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
	default: // the kinds of other groups, which injectFault handles
	}
}

// machinesOf returns the machines of all roles in a zone or region.
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
		default: // partitions, which stop no machine
		}
	}
	w.sleep(f.duration())
	for _, m := range down {
		m.start()
		w.release(m.name)
	}
}
