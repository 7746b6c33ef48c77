package simulation

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// newStoppedWorld returns the system of a script with all its machines, none of which runs.
func newStoppedWorld(s Script) *world {
	w := newWorld(s, Options{})
	for i := range s.Core {
		w.addMachine(coreName(i), roleControlPlane, s.zoneOf(i, s.Core))
	}
	for i := range s.Stores {
		w.addMachine(storeName(i), roleTurnStore, s.zoneOf(i, s.Stores))
	}
	for i := range s.Gateways {
		w.addMachine(gatewayName(i), roleGateway, s.zoneOf(i, s.Gateways))
	}
	w.addOutsideMachine("endpoint", endpointIP)
	return w
}

// The failure domains of a system's machines are those that the generator assumes.
func TestScript_ZonesOfMachines(t *testing.T) {
	for seed := range uint64(200) {
		s := Generate(seed, KillZone)
		w := newStoppedWorld(s)
		for name, m := range w.machines {
			if m.kind != roleOutside {
				assert.Equal(t, m.failureDomain(), s.domainOf(name), "%v%s", s, name)
			}
		}
	}
}

func TestPartitionDomain_KeepsLinksInside(t *testing.T) {
	w := newStoppedWorld(Script{Core: 4, Stores: 3, Gateways: 2, Losses: 1, Unit: Zones, Zones: 3})
	side := w.machinesOf("zone-1")
	assert.DeepEqual(t, names(side), []string{"core-1", "core-4", "store-1", "gateway-1"})
	both := w.linksAcross(side, true, true)
	assert.Equal(t, len(both), 2*4*5)
	assert.Assert(t, !slices.Contains(both, [2]string{"core-1", "core-4"}))
	assert.Assert(t, !slices.Contains(both, [2]string{"core-1", "endpoint"}))
	in := w.linksAcross(side, true, false)
	assert.Equal(t, len(in), 4*5)
	assert.Assert(t, slices.Contains(in, [2]string{"core-2", "store-1"}) && !slices.Contains(in, [2]string{"store-1", "core-2"}))
	out := w.linksAcross(side, false, true)
	assert.Equal(t, len(out), 4*5)
	assert.Assert(t, slices.Contains(out, [2]string{"store-1", "core-2"}) && !slices.Contains(out, [2]string{"core-2", "store-1"}))
}
