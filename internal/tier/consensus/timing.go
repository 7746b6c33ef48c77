package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// timing are the durations that a replica goes by, all derived from the settings.
type timing struct {
	heartbeatInterval time.Duration // between two heartbeats of a primary to one node
	callTimeout       time.Duration // of a call that carries no state, see callTimeoutFor
	primaryProtection time.Duration // since the last sign of a primary, during which it is not deposed
	electionTimeout   time.Duration // since the last sign of a primary, after which others try to take over
	lease             time.Duration // since the start of a confirmed round trip to the backups
	replaceAfter      time.Duration // a member unresponsive for so long is replaced by a joiner
	joinInterval      time.Duration // between two calls to join
	transferRate      int           // bytes a second; tests change it
}

// newTiming derives the durations from the contact window; docs/design/consensus.md tells what follows from them. The interval between
// heartbeats is at most a quarter of the interval given; 0: no bound.
func newTiming(window, interval time.Duration) timing {
	heartbeat := window / 12
	if interval > 0 {
		heartbeat = min(heartbeat, interval/4)
	}
	return timing{
		heartbeatInterval: heartbeat,
		callTimeout:       window / 6,
		primaryProtection: window / 6,
		electionTimeout:   window / 4,
		lease:             window / 3,
		replaceAfter:      window * 2 / 5,
		joinInterval:      window / 6,
		transferRate:      transferRate,
	}
}

// transferTime is how much longer than others a call may take that carries so many bytes.
func (t timing) transferTime(size int) time.Duration {
	return time.Duration(size) * time.Second / time.Duration(t.transferRate)
}

// callTimeoutFor is after how long a call with a body counts as failed.
func (t timing) callTimeoutFor(body proto.Message) time.Duration {
	if _, ok := body.(*tierv1.WriteRequest); !ok {
		return t.callTimeout
	}
	return t.callTimeout + t.transferTime(proto.Size(body))
}
