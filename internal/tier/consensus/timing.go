package consensus

import (
	"time"
)

// timing are the spans that the machine goes by, all from the settings.
type timing struct {
	heartbeat time.Duration // between two heartbeats of a primary to one node
	call      time.Duration // after which a call counts as failed
	sticky    time.Duration // a primary observed this recently is not deposed
	silence   time.Duration // of a primary, after which others try to take over
	fresh     time.Duration // a confirmation this old still counts
	swap      time.Duration // of a member, after which a joiner takes its place
	join      time.Duration // between two calls to join
}

// timings are those of a contact window. A heartbeat is at most a quarter of interval; 0: no bound.
func timings(window, interval time.Duration) timing {
	heartbeat := window / 12
	if interval > 0 {
		heartbeat = min(heartbeat, interval/4)
	}
	return timing{heartbeat: heartbeat, call: window / 6, sticky: window / 6, silence: window / 4, fresh: window / 3,
		swap: window * 2 / 5, join: window / 6}
}
