package consensus

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// identity is drawn when a folder is made and synced before anything is answered.
type identity struct {
	Folder  string
	Genesis bool     // made while bootstrap was true, at a seed's address
	Seeds   []string // internal addresses of the genesis members
}

// durableState is what a folder must not forget. It is changed in memory and on disk in the same step; nothing that rests on
// it leaves the process before it is synced.
type durableState struct {
	identity
	preparedEpoch uint64
	preparedFor   string
	accepted      *tierv1.View
	chosen        *tierv1.View // may be forgotten
	entries       map[string]*tierv1.Entry
	size          int // of data, by entrySize
	sequence      uint64
	stateEpoch    uint64 // under which the copy is held
}

// Kinds of records in the file: the first byte of each.
const (
	kindIdentity   = 'I' // JSON
	kindPrepared   = 'P' // uvarint epoch, folder
	kindAccepted   = 'A' // Record
	kindChosen     = 'C' // Record
	kindWrite      = 'W' // WriteRequest
	kindStateEpoch = 'M' // uvarint epoch: the copy is held under it
)

// encodeIdentity, encodePromise, encodeMark and encodeMessage make the records of the file; replay takes them.
func encodeIdentity(id identity) []byte {
	b, _ := json.Marshal(id)
	return append([]byte{kindIdentity}, b...)
}

func encodePrepared(epoch uint64, to string) []byte {
	return append(binary.AppendUvarint([]byte{kindPrepared}, epoch), to...)
}

func encodeStateEpoch(epoch uint64) []byte {
	return binary.AppendUvarint([]byte{kindStateEpoch}, epoch)
}

func encodeMessage(kind byte, m proto.Message) []byte {
	b, err := proto.MarshalOptions{}.MarshalAppend([]byte{kind}, m)
	if err != nil {
		panic(err) // only a string that is not UTF-8
	}
	return b
}

// replay takes one record of the file.
func (state *durableState) replay(record []byte) error {
	if len(record) == 0 {
		return errorx.IllegalFormat.New("consensus: empty record")
	}
	body := record[1:]
	switch record[0] {
	case kindIdentity:
		return json.Unmarshal(body, &state.identity)
	case kindPrepared:
		epoch, n := binary.Uvarint(body)
		if n <= 0 {
			return errorx.IllegalFormat.New("consensus: promise")
		}
		state.preparedEpoch, state.preparedFor = epoch, string(body[n:])
	case kindStateEpoch:
		epoch, n := binary.Uvarint(body)
		if n <= 0 {
			return errorx.IllegalFormat.New("consensus: mark")
		}
		state.stateEpoch = epoch
	case kindAccepted, kindChosen:
		r := new(tierv1.View)
		if err := proto.Unmarshal(body, r); err != nil {
			return err
		}
		if record[0] == kindAccepted {
			state.accepted = r
		} else {
			state.chosen = r
		}
	case kindWrite:
		w := new(tierv1.WriteRequest)
		if err := proto.Unmarshal(body, w); err != nil {
			return err
		}
		state.apply(w)
	default:
		return errorx.IllegalFormat.New("consensus: record of kind %q", record[0])
	}
	return nil
}

// apply makes the copy what a write says. The map is replaced, never changed: others may hold the former one.
func (state *durableState) apply(w *tierv1.WriteRequest) {
	data, size := make(map[string]*tierv1.Entry, len(w.Entries)), 0
	if !w.Snapshot && state.entries != nil {
		data, size = maps.Clone(state.entries), state.size
	}
	for _, e := range w.Entries {
		if before := data[e.Key]; before != nil {
			size -= entrySize(e.Key, before.Value)
			delete(data, e.Key)
		}
		if len(e.Value) > 0 {
			size += entrySize(e.Key, e.Value)
			data[e.Key] = e
		}
	}
	state.entries, state.size, state.sequence, state.stateEpoch = data, size, w.Sequence, w.Epoch
}

// snapshotWrite is the write that makes another copy the same as this one.
func (state *durableState) snapshotWrite(epoch uint64) *tierv1.WriteRequest {
	w := &tierv1.WriteRequest{Epoch: epoch, Sequence: state.sequence, Snapshot: true, From: state.Folder}
	for _, k := range slices.Sorted(maps.Keys(state.entries)) {
		w.Entries = append(w.Entries, state.entries[k])
	}
	return w
}

// records gives the records from which replay makes the same state.
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
