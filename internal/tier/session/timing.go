package session

import (
	"context"
	"time"
)

// Durations that are a fraction of the contact window (guarantees.contact_window_ms): the window divided by these numbers. A
// session that was lost must be found again well within the window.
const (
	// longPollDivisor is for the longest time that a call is held,
	longPollDivisor = 6
	// and turnStoreLongPollDivisor for that of a turn store, whose loss holds up all turns of its partitions.
	turnStoreLongPollDivisor = 12
	// answerGraceDivisor is for the least time that an answer is waited for after that. Where a distant primary needs more,
	// the call is held for less.
	answerGraceDivisor = 10
	// searchDivisor is for the time-out of a search for the primary.
	searchDivisor = 8
	// lateAnswerDivisor is for the time after which the calls of a search that is over are cancelled.
	lateAnswerDivisor = 1
	// searchPauseDivisor is for the pause between two attempts to find the primary.
	searchPauseDivisor = 60
)

// maxLongPoll returns how long the primary may hold a call where its answer takes no longer than a tenth of the contact window.
func (client *Client) maxLongPoll() time.Duration {
	window := client.config.Settings.ContactWindow
	if client.config.Folder != "" {
		return window / turnStoreLongPollDivisor
	}
	return window / longPollDivisor
}

// callTimeout returns how long a long poll is waited for in all. It bounds the age of what an answer brings, so it does not
// depend on how distant the primary is.
func (client *Client) callTimeout() time.Duration {
	return client.maxLongPoll() + client.config.Settings.ContactWindow/answerGraceDivisor
}

// longPoll returns how long the primary may hold the next call: what callTimeout leaves beside the time that the answer
// takes. The control plane reckons with the same sum: a session that asks to be held for less gets as much longer a TTL.
func (client *Client) longPoll() time.Duration {
	window := client.config.Settings.ContactWindow
	patience := client.callTimeout()
	client.mu.Lock()
	defer client.mu.Unlock()
	return patience - client.roundTrip.answerWait(window/answerGraceDivisor, patience-window/searchPauseDivisor)
}

// searchLimit returns the time-out of a search after so many in a row without success. Every second one has twice the time: a
// call that is cancelled takes its connection with it, so where a new connection and a call together take longer than a
// search, as between distant regions, none would ever succeed.
func searchLimit(window time.Duration, failures int) time.Duration {
	limit := window / searchDivisor
	if failures%2 == 1 {
		return 2 * limit
	}
	return limit
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
