package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// transferRate is the slowest rate, in bytes a second, at which a copy of the state still reaches a disk elsewhere before
// its call counts as failed. The largest state takes twelve seconds at it.
const transferRate = 4 << 20

// timing are the spans that the machine goes by, all from the settings.
type timing struct {
	heartbeatInterval time.Duration // between two heartbeats of a primary to one node
	callTimeout       time.Duration // after which a call that carries no state counts as failed, see timeout
	primaryProtection time.Duration // a primary observed this recently is not deposed
	electionTimeout   time.Duration // of a primary, after which others try to take over
	lease             time.Duration // a confirmation this old still counts
	replaceAfter      time.Duration // of a member, after which a joiner takes its place
	joinInterval      time.Duration // between two calls to join
	transferRate      int           // transferRate, but in tests
}

// newTiming are those of a contact window. A heartbeat is at most a quarter of interval; 0: no bound.
func newTiming(window, interval time.Duration) timing {
	heartbeat := window / 12
	if interval > 0 {
		heartbeat = min(heartbeat, interval/4)
	}
	return timing{heartbeatInterval: heartbeat, callTimeout: window / 6, primaryProtection: window / 6, electionTimeout: window / 4, lease: window / 3,
		replaceAfter: window * 2 / 5, joinInterval: window / 6, transferRate: transferRate}
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
