package quota

import (
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// ClientEvent is an input of a Client.
//
//sumtype:decl
type ClientEvent interface{ clientEvent() }

type (
	// UnitsWanted reports that units of a limit are wanted now.
	UnitsWanted struct{ Key string }
	// LimitsChanged reports that SetLimits replaced the limits.
	LimitsChanged struct{}
	// ReplyReceived reports the outcome of a request.
	ReplyReceived struct {
		Owner    string
		Sequence uint64
		Reply    *pb.QuotaReply // nil: the request failed or timed out
	}
	// Wake makes the client act on a membership set by SetMembership.
	Wake struct{}
)

func (UnitsWanted) clientEvent()   {}
func (LimitsChanged) clientEvent() {}
func (ReplyReceived) clientEvent() {}
func (Wake) clientEvent()          {}

// ClientAction is an action that a Client asks its caller to execute.
//
//sumtype:decl
type ClientAction interface{ clientAction() }

type (
	// SendRequest sends a request to the owner of its limits.
	SendRequest struct {
		To      *pb.Participant
		Request *pb.QuotaRequest
		Timeout time.Duration // a later reply is ignored
	}
	// SharesChanged announces the limits whose share changed at this sender.
	SharesChanged struct{ Keys []string }
)

func (SendRequest) clientAction()   {}
func (SharesChanged) clientAction() {}
