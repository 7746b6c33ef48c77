package controlplane

import (
	"time"

	"github.com/joomcode/errorx"

	"saffronyard.example/saffronyard/internal/tier/consensus"
	"saffronyard.example/saffronyard/internal/tier/metrics"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Metrics returns the current figures, from the same state and under the same locks as Status.
func (plane *ControlPlane) Metrics() metrics.ControlPlane {
	record := plane.Store.View()
	figures := metrics.ControlPlane{Epoch: record.GetEpoch(), Members: len(record.GetMembers()), Disk: tierv1.DiskState_DISK_SOUND}
	if store, ok := plane.Store.(healthStore); ok {
		health := store.Health()
		figures.LeaseRemaining, figures.Disk = health.Lease, diskState(health.Disk)
	}
	if state, primary := plane.primary(); primary {
		figures.Primary = plane.primaryMetrics(time.Now(), state)
	}
	return figures
}

// diskState returns the state of a disk for the error that prevents this process from writing; nil if there is none.
func diskState(failure error) tierv1.DiskState {
	switch {
	case failure == nil:
		return tierv1.DiskState_DISK_SOUND
	case errorx.IsOfType(failure, consensus.DiskStuck):
		return tierv1.DiskState_DISK_STUCK
	case wal.IsDiskFull(failure):
		return tierv1.DiskState_DISK_FULL
	}
	return tierv1.DiskState_DISK_FAILING
}

// primaryMetrics returns the figures that only the primary has.
func (plane *ControlPlane) primaryMetrics(now time.Time, state *publishedState) *metrics.Primary {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	risk := plane.riskReport(now, state.partitionMap)
	coordination := plane.coordination.Figures()
	figures := &metrics.Primary{Revision: state.changes.current, PartitionsAtRisk: int(risk.Partitions), LossesToTolerate: int(risk.Losses),
		PartitionLossesTolerated: int(risk.PartitionsBorne), ControlLossesTolerated: int(risk.ControlBorne),
		UntilTolerated: time.Duration(risk.PartitionsUntilMs) * time.Millisecond, Coordination: metrics.Coordination(coordination)}
	for _, s := range plane.sessions.byKey {
		switch {
		case !plane.sessions.active(now, s):
		case s.role == roleGateway:
			figures.Gateways++
		case s.role == roleTurnStore:
			figures.TurnStores++
			if !diskUsable(s.disk) {
				figures.UnhealthyStores++
			}
		}
	}
	return figures
}
