package session

import "time"

// leaseTenths is the length of a lease in tenths of the contact window: a session that loses one call and finds the primary at
// once still renews the lease before it expires.
const leaseTenths = 6

// lease bounds how long the updates of a session may be acted on. It is measured from the start of the last call that was
// answered, because all that the primary had published by then is in force here. It expires by the clock alone, so also in a
// process that was paused, or so overloaded that the session makes no progress.
//
// A process that is partitioned from the primary continues to act on its updates, since it can't have anything newer. A search
// for the primary that used its full time-out without success shows that the process is partitioned.
type lease struct {
	length      time.Duration
	since       time.Time // zero: no answer has come yet
	partitioned bool
}

// renew extends the lease after an answer to a call that started at begun.
func (l *lease) renew(begun time.Time) {
	if begun.After(l.since) {
		l.since = begun
	}
	l.partitioned = false
}

// searchFailed records a search that did not find the primary. A search that took much longer than its limit was delayed in
// this process, and is no evidence of a partition.
func (l *lease) searchFailed(took, limit time.Duration) {
	if took <= 2*limit {
		l.partitioned = true
	}
}

// searchSucceeded records a search that found the primary. A process that was partitioned gets one lease length to receive an
// answer to a long poll.
func (l *lease) searchSucceeded(now time.Time) {
	if l.partitioned {
		l.since, l.partitioned = now, false
	}
}

// valid reports whether the updates may be acted on.
func (l *lease) valid(now time.Time) bool {
	return l.partitioned || l.since.IsZero() || now.Sub(l.since) < l.length
}

// Current reports whether the delivered updates may be acted on now: the primary had them within the last six tenths of the
// contact window, or this process is partitioned. It is true before the first answer, when there are no updates yet.
func (client *Client) Current() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.lease.valid(time.Now())
}

// renewLease records that all updates that were published when a call began are in force here.
func (client *Client) renewLease(begun time.Time) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.lease.renew(begun)
}

// recordSearch records the result of a search for the primary that took the time took, with the time-out limit. A failed
// search is no evidence of a partition if it could not have found the primary at its last known distance.
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

// recordLateAnswer records that the primary answered a call of a search that had already ended: this process is not
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
	client.config.Log.Warn().Str("event", "primary_distant").Str("primary", at).Dur("took", took).Msg("the primary answered after the search had ended")
}
