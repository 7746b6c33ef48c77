package consensus

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// identity is generated when a folder is created, and synced before the node replies to any call. It is stored as JSON, so the names of
// its fields must not change.
type identity struct {
	Folder  string   // ID of the member
	Genesis bool     // created while bootstrap was true, at a seed's address
	Seeds   []string // internal addresses of the genesis members
}

// durableState is the state of a member that must survive a restart. Each step changes it in memory and on disk; nothing that depends on a
// change leaves the process before the change is synced.
type durableState struct {
	identity
	preparedEpoch uint64       // highest epoch prepared (the promise in Paxos): the member accepts views and writes under this epoch only
	preparedFor   string       // folder of the proposer of that epoch
	accepted      *tierv1.View // newest
	chosen        *tierv1.View // newest known to be chosen; may be lost in a crash
	entries       map[string]*tierv1.Entry
	size          int    // of the entries in bytes, by entrySize
	sequence      uint64 // of the last write in entries
	stateEpoch    uint64 // epoch that entries and sequence belong to
}

// replay applies one record of the file. Errors are of type CorruptRecord, or those of the decoders.
func (state *durableState) replay(record []byte) error {
	if len(record) == 0 {
		return CorruptRecord.New("empty record")
	}
	body := record[1:]
	switch record[0] {
	case kindIdentity:
		return json.Unmarshal(body, &state.identity)
	case kindPrepared:
		epoch, n := binary.Uvarint(body)
		if n <= 0 {
			return CorruptRecord.New("the prepared epoch is not a valid uvarint")
		}
		state.preparedEpoch, state.preparedFor = epoch, string(body[n:])
	case kindStateEpoch:
		epoch, n := binary.Uvarint(body)
		if n <= 0 {
			return CorruptRecord.New("the epoch of the state is not a valid uvarint")
		}
		state.stateEpoch = epoch
	case kindAccepted, kindChosen:
		view := new(tierv1.View)
		if err := proto.Unmarshal(body, view); err != nil {
			return err
		}
		if record[0] == kindAccepted {
			state.accepted = view
		} else {
			state.chosen = view
		}
	case kindWrite:
		write := new(tierv1.WriteRequest)
		if err := proto.Unmarshal(body, write); err != nil {
			return err
		}
		state.apply(write)
	default:
		return CorruptRecord.New("unknown record kind %q", record[0])
	}
	return nil
}

// apply applies a write to the state. The map of entries is replaced, never modified, as readers may still use the previous map.
func (state *durableState) apply(write *tierv1.WriteRequest) {
	entries, size := make(map[string]*tierv1.Entry, len(write.Entries)), 0
	if !write.Snapshot && state.entries != nil {
		entries, size = maps.Clone(state.entries), state.size
	}
	for _, entry := range write.Entries {
		if before := entries[entry.Key]; before != nil {
			size -= entrySize(entry.Key, before.Value)
			delete(entries, entry.Key)
		}
		if len(entry.Value) > 0 {
			size += entrySize(entry.Key, entry.Value)
			entries[entry.Key] = entry
		}
	}
	state.entries, state.size, state.sequence, state.stateEpoch = entries, size, write.Sequence, write.Epoch
}

// snapshotWrite returns the write that replaces another replica's state by this one, under an epoch.
func (state *durableState) snapshotWrite(epoch uint64) *tierv1.WriteRequest {
	write := &tierv1.WriteRequest{Epoch: epoch, Sequence: state.sequence, Snapshot: true, From: state.Folder}
	for _, key := range slices.Sorted(maps.Keys(state.entries)) {
		write.Entries = append(write.Entries, state.entries[key])
	}
	return write
}

// records returns the records from which replay restores this state.
func (state *durableState) records() (records [][]byte) {
	records = append(records, encodeIdentity(state.identity))
	if state.preparedEpoch > 0 {
		records = append(records, encodePrepared(state.preparedEpoch, state.preparedFor))
	}
	if state.accepted != nil {
		records = append(records, encodeMessage(kindAccepted, state.accepted))
	}
	if state.chosen != nil {
		records = append(records, encodeMessage(kindChosen, state.chosen))
	}
	if state.stateEpoch > 0 {
		records = append(records, encodeMessage(kindWrite, state.snapshotWrite(state.stateEpoch)))
	}
	return records
}
