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
	heartbeat time.Duration // between two heartbeats of a primary to one node
	call      time.Duration // after which a call that carries no state counts as failed, see timeout
	sticky    time.Duration // a primary observed this recently is not deposed
	silence   time.Duration // of a primary, after which others try to take over
	fresh     time.Duration // a confirmation this old still counts
	swap      time.Duration // of a member, after which a joiner takes its place
	join      time.Duration // between two calls to join
	rate      int           // transferRate, but in tests
}

// timings are those of a contact window. A heartbeat is at most a quarter of interval; 0: no bound.
func timings(window, interval time.Duration) timing {
	heartbeat := window / 12
	if interval > 0 {
		heartbeat = min(heartbeat, interval/4)
	}
	return timing{heartbeat: heartbeat, call: window / 6, sticky: window / 6, silence: window / 4, fresh: window / 3,
		swap: window * 2 / 5, join: window / 6, rate: transferRate}
}

// transfer is how much longer than others a call may take that carries so many bytes.
func (t timing) transfer(size int) time.Duration {
	return time.Duration(size) * time.Second / time.Duration(t.rate)
}

// timeout is after how long a call with a body counts as failed.
func (t timing) timeout(body proto.Message) time.Duration {
	if _, ok := body.(*tierv1.WriteRequest); !ok {
		return t.call
	}
	return t.call + t.transfer(proto.Size(body))
}
