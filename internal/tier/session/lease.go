package session

import "time"

// leaseTenths is the length of a lease in tenths of the contact window: a session that loses one call and finds the primary
// at once renews it in good time.
const leaseTenths = 6

// lease bounds for how long the updates that a session has brought may be acted on. It counts from the begin of the last call
// that was answered, as all that the primary had published by then is in force here. It ends by the clock alone: also in a
// process that was paused, or so overloaded that the session makes no progress.
//
// A process that is partitioned from the primary goes on with what it has, since it can't have anything newer. A search for
// the primary that used its whole time and found none shows that it is.
type lease struct {
	length      time.Duration
	since       time.Time // zero: no answer has come yet
	partitioned bool
}

// renew takes an answer to a call that began at a time.
func (l *lease) renew(begun time.Time) {
	if begun.After(l.since) {
		l.since = begun
	}
	l.partitioned = false
}

// searchFailed takes a search for the primary that found none. One that took much longer than its limit was held up in this
// process, and shows nothing.
func (l *lease) searchFailed(took, limit time.Duration) {
	if took <= 2*limit {
		l.partitioned = true
	}
}

// searchSucceeded takes a search that found the primary. A process that was partitioned has the length of a lease to hear from it.
func (l *lease) searchSucceeded(now time.Time) {
	if l.partitioned {
		l.since, l.partitioned = now, false
	}
}

// holds tells whether the updates may be acted on.
func (l *lease) holds(now time.Time) bool {
	return l.partitioned || l.since.IsZero() || now.Sub(l.since) < l.length
}

// Current tells whether the updates that were brought may be acted on at this moment: they are as the primary had them within
// the last six tenths of the contact window, or this process is partitioned. Before the first answer there are none to act on.
func (client *Client) Current() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.lease.holds(time.Now())
}

// renewLease records that all is in force here that was published when a call began.
func (client *Client) renewLease(begun time.Time) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.lease.renew(begun)
}

// recordSearch records the result of a search for the primary that took a time, of limit at most. One that would not have
// found the primary at its last known distance shows nothing.
func (client *Client) recordSearch(took, limit time.Duration, primary searchAnswer) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if primary.address != "" {
		client.lease.searchSucceeded(time.Now())
		client.roundTrip.restart(primary.took)
		return
	}
	if client.roundTrip.findableWithin(limit) {
		client.lease.searchFailed(took, limit)
	}
	client.roundTrip.decay()
}

// recordLateAnswer records that the primary answered a call of a search that was over by then: this process is not
// partitioned, the primary is distant or busy.
func (client *Client) recordLateAnswer(at string, took time.Duration) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.active {
		return
	}
	client.hint = at
	client.lease.partitioned = false
	client.roundTrip.observe(took)
	client.config.Log.Warn().Str("event", "primary_distant").Str("primary", at).Dur("took", took).Msg("the primary answered after the search was over")
}
