package consensus

import (
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// The whole state is one message and one record of the file wherever a copy of it is made, so it must stay below
// wal.MaxRecord. A write that would make it larger than StateLimit is refused before anything of it is applied, stored or
// sent. A state that is larger already, left by a program without this limit, may still be written to as long as it
// does not grow.
const (
	// StateLimit bounds the control state, in bytes by entrySize. It is three quarters of wal.MaxRecord (64 MiB): the rest
	// is never filled by design, and covers the fields of the message around the entries, and entries that later versions
	// may add. All that a round writes is held within it, too.
	StateLimit = 48 << 20

	// entryFraming bounds what the encoding of an entry adds to its key and value: three tags with lengths of up to five
	// bytes, and the sequence. It is the same for each entry, so that a value replaced by one of its length changes nothing.
	entryFraming = 32

	// recordFraming is the byte before a message in the file that tells its kind.
	recordFraming = 1
)

var errorTypes = errorx.NewNamespace("consensus")

// StateTooLarge is the type of the error of a Put that would make the control state larger than its limit. Nothing was
// written, and the epoch goes on.
var StateTooLarge = errorTypes.NewType("state_too_large")

// entrySize bounds the bytes of an entry in a message.
func entrySize(key string, value []byte) int { return len(key) + len(value) + entryFraming }

// writeSize bounds the bytes of a write's entries, removals included.
func writeSize(sets map[string][]byte) (size int) {
	for key, value := range sets {
		size += entrySize(key, value)
	}
	return size
}

// sizeAfter is the size that the copy would have with a write.
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

// checkStateLimit gives the error, of type StateTooLarge, that refuses a write which would make the state too large.
func (machine *replica) checkStateLimit(sets map[string][]byte) error {
	if size := writeSize(sets); size > machine.stateLimit {
		return StateTooLarge.New("a write of %d bytes, more than %d", size, machine.stateLimit)
	}
	if size := machine.sizeAfter(sets); size > machine.stateLimit && size > machine.size {
		return StateTooLarge.New("a control state of %d bytes, more than %d", size, machine.stateLimit)
	}
	return nil
}

// fitsRecord tells whether a write fits one record of the file.
func fitsRecord(q *tierv1.WriteRequest) bool { return recordFraming+proto.Size(q) <= wal.MaxRecord }
