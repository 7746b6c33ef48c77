package consensus

import (
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A snapshot of the complete state is one message and one record of the file, so the state must stay below wal.MaxRecord. A write that
// would make it larger than StateLimit is rejected before anything of it is applied, stored or sent. A state that is already larger,
// written by a version without this limit, may still be changed as long as it does not grow.
const (
	// StateLimit bounds the control state, in bytes as counted by entrySize. It is three quarters of wal.MaxRecord (64 MiB): the rest is
	// reserved for the fields of the message around the entries, and for entries that later versions may add. A batch of writes is bounded
	// by it, too.
	StateLimit = 48 << 20

	// entryFraming bounds what the encoding of an entry adds to its key and value: three tags with lengths of up to five bytes, and the
	// sequence. It is the same for each entry, so that replacing a value by one of the same length does not change the size.
	entryFraming = 32

	// recordFraming is the size of the byte before a message in the file that states its kind.
	recordFraming = 1
)

// entrySize bounds the bytes of an entry in a message.
func entrySize(key string, value []byte) int { return len(key) + len(value) + entryFraming }

// writeSize bounds the bytes of a write's entries, removals included.
func writeSize(sets map[string][]byte) (size int) {
	for key, value := range sets {
		size += entrySize(key, value)
	}
	return size
}

// sizeAfter is the size that the state would have after a write.
func (state *durableState) sizeAfter(sets map[string][]byte) int {
	size := state.size
	for key, value := range sets {
		if before := state.entries[key]; before != nil {
			size -= entrySize(key, before.Value)
		}
		if len(value) > 0 {
			size += entrySize(key, value)
		}
	}
	return size
}

// checkStateLimit returns an error of type StateTooLarge for a write that would make the state too large.
func (r *replica) checkStateLimit(sets map[string][]byte) error {
	if size := writeSize(sets); size > r.stateLimit {
		return StateTooLarge.New("a write of %d bytes exceeds the limit of %d", size, r.stateLimit)
	}
	if size := r.sizeAfter(sets); size > r.stateLimit && size > r.size {
		return StateTooLarge.New("a control state of %d bytes would exceed the limit of %d", size, r.stateLimit)
	}
	return nil
}

// fitsRecord reports whether a write fits one record of the file.
func fitsRecord(q *tierv1.WriteRequest) bool { return recordFraming+proto.Size(q) <= wal.MaxRecord }
