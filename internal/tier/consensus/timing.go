package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// timing holds the durations of the protocol, all derived from the settings.
type timing struct {
	heartbeatInterval time.Duration // between two heartbeats of a primary to one node
	callTimeout       time.Duration // of a call that carries no state, see callTimeoutFor
	primaryProtection time.Duration // after the last heartbeat of a primary, during which it is not deposed
	electionTimeout   time.Duration // after the last heartbeat of a primary, until other members try to take over
	lease             time.Duration // validity, from the start of a confirmed round trip to the backups
	replaceAfter      time.Duration // a member that is unresponsive for longer is replaced by a joiner
	joinInterval      time.Duration // between two calls to join
	transferRate      int           // bytes per second; tests change it
}

// newTiming derives the durations from the contact window; docs/design/consensus.md states the resulting bounds. The heartbeat interval is
// at most a quarter of interval; 0: no such bound.
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

// transferTime returns how much longer than other calls a call with size bytes of state may take.
func (t timing) transferTime(size int) time.Duration {
	return time.Duration(size) * time.Second / time.Duration(t.transferRate)
}

// callTimeoutFor returns the time after which a call with this body counts as failed.
func (t timing) callTimeoutFor(body proto.Message) time.Duration {
	if _, ok := body.(*tierv1.WriteRequest); !ok {
		return t.callTimeout
	}
	return t.callTimeout + t.transferTime(proto.Size(body))
}
