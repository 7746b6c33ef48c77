package metrics

import (
	"io"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TurnStore is the set of figures of a turn store.
type TurnStore struct {
	Primaries, Backups int           // number of partitions of which this turn store is the primary, or a backup
	Entries            int           // attempts known, in all partitions
	Memory             int64         // estimated bytes that they take
	MapVersion         uint64        // of the partition map applied last
	SessionRemaining   time.Duration // until the session expires unless the control plane answers
	Disk               tierv1.DiskState
}

func (figures TurnStore) write(w io.Writer) {
	gauges(w, "saffronyard_turn_store_partitions", "Partitions that this turn store has a copy of.", "as",
		sample{"primary", float64(figures.Primaries)}, sample{"backup", float64(figures.Backups)})
	gauge(w, "saffronyard_turn_store_entries", "Attempts known: reservations, settlements, turns.", float64(figures.Entries))
	gauge(w, "saffronyard_turn_store_memory_bytes", "Estimate of the memory that the entries take.", float64(figures.Memory))
	gauge(w, "saffronyard_partition_map_version", "Version of the partition map applied last.", float64(figures.MapVersion))
	writeSession(w, figures.SessionRemaining)
	writeDisk(w, figures.Disk)
}

// writeSession writes the time until a session expires.
func writeSession(w io.Writer, remaining time.Duration) {
	gauge(w, "saffronyard_session_remaining_seconds", "How much longer the session stands without an answer of the control plane; 0: it does not.", seconds(remaining))
}
