package consensus

import (
	"google.golang.org/protobuf/proto"
)

// event is an input of replica.Step.
//
//sumtype:decl
type event interface{ isEvent() }

type (
	// incomingCall is a call of another node; a callReply with its token answers it.
	incomingCall struct {
		token uint64
		body  proto.Message
	}
	// callResult ends an outgoingCall. The body is nil if it failed.
	callResult struct {
		id   uint64
		body proto.Message
	}
	// putRequest asks for a write under an epoch; an outcome with its token ends it.
	putRequest struct {
		token uint64
		epoch uint64
		sets  map[string][]byte // values by key; empty ones remove their keys
	}
	// confirmRequest asks for a round trip to all backups under an epoch; an outcome with its token ends it.
	confirmRequest struct {
		token uint64
		epoch uint64
	}
	// tick has no content: it only makes Step run the timers.
	tick struct{}
)

func (incomingCall) isEvent()   {}
func (callResult) isEvent()     {}
func (putRequest) isEvent()     {}
func (confirmRequest) isEvent() {}
func (tick) isEvent()           {}
