package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"
)

type (
	// outgoingCall is a call to another node. A callResult with its ID ends it.
	outgoingCall struct {
		id      uint64
		address string
		body    proto.Message
		timeout time.Duration
	}
	// callReply answers the incomingCall with its token.
	callReply struct {
		token uint64
		body  proto.Message
	}
	// outcome ends the putRequest or confirmRequest with its token.
	outcome struct {
		token    uint64
		sequence uint64 // of the write; 0 for a confirm and with an error
		err      error
	}
	// transition is a change of the replica's role, a proposal that ended or a rejected write, for the log.
	transition struct {
		message string
		reason  string // may be empty
	}
	// actions are the output of replica.Step: what is to be done, in the order of the fields.
	actions struct {
		unsyncedCalls []outgoingCall // that need not wait for the disk
		records       [][]byte       // to be appended to the file
		sync          bool           // the file is to be synced after them
		calls         []outgoingCall
		replies       []callReply
		outcomes      []outcome
		changed       bool // callers that wait for a change are to be woken
		transitions   []transition
	}
)

// String returns the message, followed by the reason if there is one.
func (t transition) String() string {
	if t.reason == "" {
		return t.message
	}
	return t.message + ": " + t.reason
}
