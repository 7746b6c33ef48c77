package turnstore

// capacityThreshold is the fraction of the limits on memory and disk above which new attempts are rejected.
const capacityThreshold = 0.9

// atCapacity reports whether memory or disk usage is too high for new attempts. The caller holds mu.
func (store *TurnStore) atCapacity() bool {
	if limit := store.cfg.MemoryBytes; limit > 0 && float64(store.state.memory) > capacityThreshold*float64(limit) {
		return true
	}
	limit := store.cfg.DiskBytes
	return limit > 0 && float64(store.logSize()+store.state.disk) > capacityThreshold*float64(limit)
}

// logSize returns the size of both write-ahead logs, in bytes.
func (store *TurnStore) logSize() int64 { return store.logFiles[0].Size() + store.logFiles[1].Size() }
