package metrics

import (
	"io"
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// ControlPlane is the figures of a control-plane process.
type ControlPlane struct {
	Epoch   uint64 // of the newest record known there
	Members int    // of that record
	Lease   time.Duration
	Disk    tierv1.DiskState
	Primary *Primary // nil where the process is not the primary
}

// Primary is what only the primary knows.
type Primary struct {
	Revision         int64 // of the operator's configuration
	Gateways         int   // sessions that stand
	TurnStores       int   // sessions that stand
	UnsoundStores    int   // of these: turn stores whose disk is not sound
	PartitionsAtRisk int
	Losses           int           // to be borne at once
	PartitionsBear   int           // losses; -1: a partition has no synced copy that is alive
	ControlBears     int           // losses; -1: not known
	Until            time.Duration // until the partitions should bear all losses again; 0: they do, below 0: overdue
}

func (c ControlPlane) write(w io.Writer) {
	gauge(w, "saffronyard_control_primary", "Whether this process is the primary and in touch with its backups.", flag(c.Primary != nil))
	gauge(w, "saffronyard_control_epoch", "Epoch of the newest record known to this process.", float64(c.Epoch))
	gauge(w, "saffronyard_control_members", "Members that decide who is primary, by that record.", float64(c.Members))
	gauge(w, "saffronyard_control_lease_remaining_seconds", "How much longer this process leads without an answer of its backups; 0 where it does not lead.", seconds(c.Lease))
	writeDisk(w, c.Disk)
	if c.Primary != nil {
		c.Primary.write(w)
	}
}

func (p *Primary) write(w io.Writer) {
	gauge(w, "saffronyard_configuration_revision", "Revision of the operator's configuration in force.", float64(p.Revision))
	gauges(w, "saffronyard_sessions", "Sessions that stand.", "role",
		sample{"gateway", float64(p.Gateways)}, sample{"turnstore", float64(p.TurnStores)})
	gauge(w, "saffronyard_turn_stores_unsound", "Turn stores with a session whose disk is full, failing or stuck.", float64(p.UnsoundStores))
	gauge(w, "saffronyard_partitions_at_risk", "Partitions that bear fewer losses than the settings ask for.", float64(p.PartitionsAtRisk))
	gauge(w, "saffronyard_losses_wanted", "Losses to be borne at once, by the settings.", float64(p.Losses))
	gauges(w, "saffronyard_losses_borne", "Further losses that nothing acknowledged is lost by; -1: unknown for the control state, no copy for a partition.", "of",
		sample{"partitions", float64(p.PartitionsBear)}, sample{"control_state", float64(p.ControlBears)})
	gauge(w, "saffronyard_next_loss_borne_seconds", "Seconds until all partitions should bear the next loss again; 0: they do, below 0: overdue.", seconds(p.Until))
}
