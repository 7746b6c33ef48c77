package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// The events of Step.
type (
	// incomingCall is a call of another node; it is answered by a reply with its token.
	incomingCall struct {
		token uint64
		body  proto.Message
	}
	// callResult ends a call of this node. The body is nil where it failed.
	callResult struct {
		id   uint64
		body proto.Message
	}
	// putRequest asks for sets to be written under an epoch; its outcome has its token.
	putRequest struct {
		token uint64
		epoch uint64
		sets  map[string][]byte
	}
	// confirmRequest asks for a round trip to all backups under an epoch; its outcome has its token.
	confirmRequest struct {
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
	// outgoingCall is a call to another node. It ends with an answer of its id.
	outgoingCall struct {
		id      uint64
		address string
		body    proto.Message
		timeout time.Duration
	}
	// callReply answers the request with its token.
	callReply struct {
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
		unsyncedCalls []outgoingCall // that need not wait for the disk
		records       [][]byte       // to be appended to the file
		sync          bool           // the file is to be synced behind them
		calls         []outgoingCall
		replies       []callReply
		outcomes      []outcome
		changed       bool     // callers that wait for a change are to look again
		transitions   []string // for the log
	}
)
