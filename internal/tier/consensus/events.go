package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// The events of Step.
type (
	// request is a call of another node; it is answered by a reply with its token.
	request struct {
		token uint64
		body  proto.Message
	}
	// answer ends a call of this node. The body is nil where it failed.
	answer struct {
		id   uint64
		body proto.Message
	}
	// put asks for sets to be written under an epoch; its outcome has its token.
	put struct {
		token uint64
		epoch uint64
		sets  map[string][]byte
	}
	// confirm asks for a round trip to all backups under an epoch; its outcome has its token.
	confirm struct {
		token uint64
		epoch uint64
	}
	// tick says that time has gone by.
	tick struct{}
	// event is one of the above.
	event any
)

// What comes out of Step.
type (
	// call is a call to another node. It ends with an answer of its id.
	call struct {
		id      uint64
		address string
		body    proto.Message
		timeout time.Duration
	}
	// reply answers the request with its token.
	reply struct {
		token uint64
		body  proto.Message
	}
	// outcome ends the put or confirm with its token. The sequence is that of the write; 0 for a confirm and with an error.
	outcome struct {
		token    uint64
		sequence uint64
		err      error
	}
	// actions are what is to be done after a step, in the order of the fields.
	actions struct {
		early    []call   // that need not wait for the disk
		records  [][]byte // to be appended to the file
		sync     bool     // the file is to be synced behind them
		calls    []call
		replies  []reply
		outcomes []outcome
		changed  bool     // callers that wait for a change are to look again
		news     []string // for the log
	}
)
