package quota

import (
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Events of an Asker.
type (
	// UnitsWanted is that units of a limit are wanted now.
	UnitsWanted struct{ Key string }
	// LimitsChanged is that other things are limited, or otherwise.
	LimitsChanged struct{}
	// ReplyReceived is what became of a question.
	ReplyReceived struct {
		Owner    string
		Sequence uint64
		Reply    *pb.QuotaReply // nil: there is no answer
	}
)

// Actions of an Asker.
type (
	// SendRequest goes to the authority of the limits that it names.
	SendRequest struct {
		To      *pb.Participant
		Request *pb.QuotaRequest
		Timeout time.Duration // an answer that comes later is none
	}
	// SharesChanged is that what this sender may use of some limits is another.
	SharesChanged struct{ Keys []string }
)
