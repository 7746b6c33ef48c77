package quota

import (
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// ClientEvent is what a Client reacts to.
//
//sumtype:decl
type ClientEvent interface{ clientEvent() }

type (
	// UnitsWanted reports that units of a limit are wanted now.
	UnitsWanted struct{ Key string }
	// LimitsChanged reports that SetLimits replaced the limits.
	LimitsChanged struct{}
	// ReplyReceived is what became of a request.
	ReplyReceived struct {
		Owner    string
		Sequence uint64
		Reply    *pb.QuotaReply // nil: there was none in time
	}
	// Wake has the client look at what SetMembership set.
	Wake struct{}
)

func (UnitsWanted) clientEvent()   {}
func (LimitsChanged) clientEvent() {}
func (ReplyReceived) clientEvent() {}
func (Wake) clientEvent()          {}

// ClientAction is what a Client wants done.
//
//sumtype:decl
type ClientAction interface{ clientAction() }

type (
	// SendRequest goes to the owner of the limits that it names.
	SendRequest struct {
		To      *pb.Participant
		Request *pb.QuotaRequest
		Timeout time.Duration // a later reply is ignored
	}
	// SharesChanged names limits of which this sender's share changed.
	SharesChanged struct{ Keys []string }
)

func (SendRequest) clientAction()   {}
func (SharesChanged) clientAction() {}
