package turnstore

import "saffronyard.example/saffronyard/internal/tier/metrics"

// Metrics returns the current metrics, except those of the session.
func (store *TurnStore) Metrics() metrics.TurnStore {
	store.mu.Lock()
	defer store.mu.Unlock()
	values := metrics.TurnStore{Memory: store.state.memory, MapVersion: store.mapVersion, Disk: store.diskState}
	for _, p := range store.state.partitions {
		values.Entries += len(p.entries)
		switch {
		case p.primary == store.folder:
			values.Primaries++
		case p.backup:
			values.Backups++
		}
	}
	return values
}
