package session

import (
	"context"
	"time"
)

// Durations that are a fraction of the contact window (guarantees.contact_window_ms): the window divided by these numbers. A
// lost session must be re-established well within the window.
const (
	// longPollDivisor is for the maximum poll time-out of a call.
	longPollDivisor = 6
	// turnStoreLongPollDivisor is for the maximum poll time-out of a turn store, whose loss delays all turns of its partitions.
	turnStoreLongPollDivisor = 12
	// answerGraceDivisor is for the minimum time to wait for an answer after the poll time-out. If a distant primary needs
	// longer, the poll time-out is reduced.
	answerGraceDivisor = 10
	// searchDivisor is for the time-out of a search for the primary.
	searchDivisor = 8
	// lateAnswerDivisor is for the time-out of the calls of a search, which continue after the search has ended.
	lateAnswerDivisor = 1
	// searchPauseDivisor is for the pause between two attempts to find the primary.
	searchPauseDivisor = 60
)

// maxLongPoll returns the poll time-out of a call whose answer takes no longer than a tenth of the contact window.
func (client *Client) maxLongPoll() time.Duration {
	window := client.config.Settings.ContactWindow
	if client.config.Folder != "" {
		return window / turnStoreLongPollDivisor
	}
	return window / longPollDivisor
}

// callTimeout returns the time-out of a long poll with its answer. It bounds the age of the updates in an answer, so it does
// not depend on how distant the primary is.
func (client *Client) callTimeout() time.Duration {
	return client.maxLongPoll() + client.config.Settings.ContactWindow/answerGraceDivisor
}

// longPoll returns the poll time-out of the next call: callTimeout without the time that the answer takes. The control plane
// computes with the same sum: a session with a shorter poll time-out gets a TTL that is longer by the difference.
func (client *Client) longPoll() time.Duration {
	window := client.config.Settings.ContactWindow
	timeout := client.callTimeout()
	client.mu.Lock()
	defer client.mu.Unlock()
	return timeout - client.roundTrip.answerWait(window/answerGraceDivisor, timeout-window/searchPauseDivisor)
}

// searchLimit returns the time-out of a search after a number of failed searches in a row. Every second search has twice the
// time-out: cancelling a call closes its connection, so if a new connection and a call together took longer than a search, as
// between distant regions, no search would ever succeed.
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
