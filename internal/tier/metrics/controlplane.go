package metrics

import (
	"io"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// ControlPlane is the set of figures of a control-plane process.
type ControlPlane struct {
	Epoch          uint64        // of the newest record known there
	Members        int           // of that record
	LeaseRemaining time.Duration // until it stops leading unless its backups answer; 0 if it does not lead
	Disk           tierv1.DiskState
	Primary        *Primary // nil where the process is not the primary
}

// Primary is the set of figures that only the primary has.
type Primary struct {
	Revision                 int64         // of the operator's configuration
	Gateways                 int           // live sessions of gateways
	TurnStores               int           // live sessions of turn stores
	UnhealthyStores          int           // of these, those whose disk is not sound
	PartitionsAtRisk         int           // partitions that survive fewer losses than LossesToTolerate
	LossesToTolerate         int           // simultaneous losses that the tier must survive
	PartitionLossesTolerated int           // losses that the worst partition survives; -1: it has no synced copy that is alive
	ControlLossesTolerated   int           // losses that the control state survives; -1: not known
	UntilTolerated           time.Duration // until the partitions should survive all losses again; 0: they do, below 0: overdue
	Coordination             Coordination
}

// Coordination is the set of figures of the applications' locks, counters, keys and watches, as of the last call.
type Coordination struct {
	Locks       int // including those whose hold has expired and was not removed yet
	Counters    int
	Keys        int
	HistoryPuts int // puts that watches can still return
	Watches     int // pending watches
}

func (figures ControlPlane) write(w io.Writer) {
	gauge(w, "saffronyard_control_primary", "Whether this process is the primary and in touch with its backups.", boolValue(figures.Primary != nil))
	gauge(w, "saffronyard_control_epoch", "Epoch of the newest record known to this process.", float64(figures.Epoch))
	gauge(w, "saffronyard_control_members", "Members that decide who is primary, by that record.", float64(figures.Members))
	gauge(w, "saffronyard_control_lease_remaining_seconds", "How much longer this process leads without an answer of its backups; 0 where it does not lead.", seconds(figures.LeaseRemaining))
	writeDisk(w, figures.Disk)
	if figures.Primary != nil {
		figures.Primary.write(w)
	}
}

func (figures *Primary) write(w io.Writer) {
	gauge(w, "saffronyard_configuration_revision", "Revision of the operator's configuration in force.", float64(figures.Revision))
	gauges(w, "saffronyard_sessions", "Sessions that stand.", "role",
		sample{"gateway", float64(figures.Gateways)}, sample{"turnstore", float64(figures.TurnStores)})
	gauge(w, "saffronyard_turn_stores_unsound", "Turn stores with a session whose disk is full, failing or stuck.", float64(figures.UnhealthyStores))
	gauge(w, "saffronyard_partitions_at_risk", "Partitions that bear fewer losses than the settings ask for.", float64(figures.PartitionsAtRisk))
	gauge(w, "saffronyard_losses_wanted", "Losses to be borne at once, by the settings.", float64(figures.LossesToTolerate))
	gauges(w, "saffronyard_losses_borne", "Further losses that nothing acknowledged is lost by; -1: unknown for the control state, no copy for a partition.", "of",
		sample{"partitions", float64(figures.PartitionLossesTolerated)}, sample{"control_state", float64(figures.ControlLossesTolerated)})
	gauge(w, "saffronyard_next_loss_borne_seconds", "Seconds until all partitions should bear the next loss again; 0: they do, below 0: overdue.", seconds(figures.UntilTolerated))
	figures.Coordination.write(w)
}

func (figures Coordination) write(w io.Writer) {
	gauges(w, "saffronyard_coordination_records", "Records that applications coordinate by.", "kind",
		sample{"lock", float64(figures.Locks)}, sample{"counter", float64(figures.Counters)}, sample{"key", float64(figures.Keys)},
		sample{"history", float64(figures.HistoryPuts)})
	gauge(w, "saffronyard_coordination_watches", "Watches that wait for a put.", float64(figures.Watches))
}
