package simulation

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// At most as many counted machines (or zones or regions) are lost at once as are tolerated. Each counts as lost until syncTime after its
// return. Messages may be lost meanwhile, which does not count as a loss.
func TestGenerate_LossesWithinTolerance(t *testing.T) {
	withMessageLoss := 0 // losses of machines while messages are lost
	units := map[LossUnit]int{}
	for seed := range uint64(5000) {
		s := Generate(seed)
		assert.NilError(t, s.check())
		units[s.Unit]++
		for _, f := range s.Faults {
			lost := 0
			for _, other := range s.Faults {
				if overlap(f, other) {
					lost += countLosses(other)
				}
			}
			if countLosses(f) > 0 {
				assert.Assert(t, lost <= s.Losses, "%v%v", s, f)
				if slices.ContainsFunc(s.Faults, func(other Fault) bool { return other.Kind == LoseMessages && overlap(f, other) }) {
					withMessageLoss++
				}
			}
			if exceedsTolerance(f) {
				assert.Equal(t, lost, 0, "%v%v", s, f)
			}
			if countLosses(f) > 0 || exceedsTolerance(f) {
				for _, other := range s.Faults {
					assert.Assert(t, other.AtMS == f.AtMS && other.Kind == f.Kind || !exceedsTolerance(other) || !overlap(f, other), "%v%v", s, f)
				}
			}
		}
	}
	assert.Assert(t, withMessageLoss > 0, "no loss is drawn during lost messages")
	assert.Assert(t, units[Machines] > 2500 && units[Zones] > 500 && units[Regions] > 100, "%v", units)
}

// countLosses returns how many counted machines, or zones or regions, are lost in a fault.
func countLosses(f Fault) (n int) {
	if !slices.Contains(countedKinds, f.Kind) && !slices.Contains(domainKinds, f.Kind) {
		return 0
	}
	for _, name := range f.Side {
		if !strings.HasPrefix(name, "gateway-") {
			n++
		}
	}
	return n + 1
}

// exceedsTolerance reports whether more is lost in a fault than is tolerated.
func exceedsTolerance(f Fault) bool {
	return f.Kind == RestartAll || f.Kind == PowerLossAll || f.Kind == SplitCore || f.Kind == SplitOneWay
}

// Zones and regions are lost only in systems that tolerate such losses, and that have replicas and members in all zones or regions.
func TestGenerate_Zones(t *testing.T) {
	for seed := range uint64(2000) {
		s := Generate(seed)
		core, stores := map[string]bool{}, map[string]bool{}
		for i := range s.Core {
			core[s.domainOf(coreName(i))] = true
		}
		for i := range s.Stores {
			stores[s.domainOf(storeName(i))] = true
		}
		if s.Unit != Machines {
			assert.Assert(t, s.domains() >= 2*s.Losses+1 && s.domains() >= 3 && s.zones() <= 5, "%v", s)
			assert.Equal(t, len(core), s.domains(), "%v", s)
			assert.Equal(t, len(stores), s.domains(), "%v", s)
		}
		for _, f := range s.Faults {
			if slices.Contains(domainKinds, f.Kind) {
				assert.Assert(t, s.Unit != Machines && (f.Machine == Leader || f.Machine == Weakest || core[f.Machine]), "%v", s)
			}
		}
	}
	for seed := range uint64(100) {
		assert.Assert(t, Generate(seed, WipeZone).Unit != Machines)
		assert.Equal(t, Generate(seed, Wipe).Unit, Machines)
	}
}

// A near partition lasts 10 to 20 s, and is of one control-plane machine, together with a gateway. Other faults are drawn for its end.
func TestGenerate_NearPartitions(t *testing.T) {
	faultsNearEnd := map[FaultKind]int{} // faults around the end of the partition, by kind; Kill: any following loss
	for seed := range uint64(1000) {
		s := Generate(seed, nearKinds...)
		for _, f := range s.Faults {
			if !slices.Contains(nearKinds, f.Kind) {
				continue
			}
			assert.Assert(t, f.duration() >= 10*time.Second && f.duration() <= 20*time.Second, "%v", s)
			assert.Assert(t, f.Machine == Leader || strings.HasPrefix(f.Machine, "core-"), "%v", s)
			assert.Assert(t, strings.HasPrefix(f.Side[0], "gateway-"), "%v", s)
			for _, other := range s.Faults {
				after := other.at() - f.at() - f.duration()
				if other.Kind == PartitionSeeds && other.at() > f.at() && after < 0 {
					faultsNearEnd[PartitionSeeds]++
				}
				if other.Kind == ConcurrentChanges && after >= -rivalsLeadTime-time.Millisecond && after <= 0 {
					faultsNearEnd[ConcurrentChanges]++
				}
				if other.Machine == Leader && (after >= 0 && after <= maxNextLossDelay || after >= syncTime-time.Millisecond && after <= syncTime+maxNextLossDelay) {
					faultsNearEnd[Kill]++
				}
			}
		}
	}
	for _, kind := range []FaultKind{PartitionSeeds, ConcurrentChanges, Kill} {
		assert.Assert(t, faultsNearEnd[kind] > 100, "%v", faultsNearEnd)
	}
}

// In LossesInRow, each loss begins 0 to 50 ms after an earlier one no longer counts.
func TestGenerate_LossesInRow(t *testing.T) {
	rows := 0
	for seed := range uint64(500) {
		s := Generate(seed, LossesInRow)
		i := slices.IndexFunc(s.Faults, func(f Fault) bool { return f.Kind == LossesInRow })
		assert.Assert(t, i >= 0, "%v", s)
		row := s.Faults[i]
		assert.Assert(t, row.at()+row.duration() <= 2*time.Minute, "%v", s)
		losses := slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return countLosses(f) == 0 })
		assert.Assert(t, len(losses) >= 6, "%v", s)
		for n, f := range losses {
			if n < s.Losses {
				continue
			}
			assert.Assert(t, slices.ContainsFunc(losses[:n], func(before Fault) bool {
				late := f.at() - before.at() - before.duration() - syncTime
				return late >= -time.Millisecond && late <= maxNextLossDelay+time.Millisecond
			}), "%v%v", s, f)
		}
		rows++
	}
	assert.Equal(t, rows, 500)
}

// overlap reports whether a fault begins between the begin of another and syncTime after the end of the other.
func overlap(f, other Fault) bool {
	return other.at() <= f.at() && f.at() < other.at()+other.duration()+syncTime-time.Millisecond
}

func TestGenerate_Deterministic(t *testing.T) {
	for seed := range uint64(100) {
		assert.DeepEqual(t, Generate(seed), Generate(seed))
	}
	kinds := map[FaultKind]bool{}
	for seed := range uint64(1000) {
		for _, f := range Generate(seed).Faults {
			kinds[f.Kind] = true
		}
	}
	assert.Equal(t, len(kinds), len(FaultKinds()))
	for _, f := range Generate(7, Kill).Faults {
		assert.Equal(t, f.Kind, Kill)
	}
}

// A script of each of these kinds is played without a violation.
func TestFaultKinds_Groups(t *testing.T) {
	for _, kind := range slices.Concat(domainKinds, nearKinds, []FaultKind{SplitCore, SplitOneWay, PartitionSeeds, ConcurrentChanges}) {
		t.Run(string(kind), func(t *testing.T) {
			if (testing.Short() || raceDetector) && kind != PartitionZone && kind != PartitionConfirming {
				t.Skip("played without -short and -race")
			}
			result, err := Play(Generate(1, kind), Options{})
			assert.NilError(t, err)
			assert.Assert(t, result.Violation == nil, "%v", result.Violation)
			assert.Assert(t, result.Orders > 0 && result.Turns > 0, "%+v", result)
		})
	}
}
