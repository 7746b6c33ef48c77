package session

import "time"

// leaseTenths is how long a lease is, in tenths of the contact window: a session that loses one call and finds the primary
// at once renews it well within.
const leaseTenths = 6

// lease bounds for how long the views that a session has brought may be acted on. It counts from the begin of the last call
// that was answered, as all that the primary had published by then is in force here. It ends by the clock alone: also in a
// process that was paused, or so overloaded that the session does not get on.
//
// A process that is cut off goes on with the views that it has, since it can't have newer ones. That it is cut off is shown by
// a search for the primary that ran its time and found none.
type lease struct {
	length time.Duration
	since  time.Time // zero: nothing has come yet
	cutOff bool
}

// renew takes an answer to a call that began at begun.
func (l *lease) renew(begun time.Time) {
	if begun.After(l.since) {
		l.since = begun
	}
	l.cutOff = false
}

// missed takes a search for the primary that found none. One that took longer than it may was held up in this process, and
// shows nothing.
func (l *lease) missed(took, limit time.Duration) {
	if took <= 2*limit {
		l.cutOff = true
	}
}

// found takes a search that found the primary. One that was cut off until now has the length of a lease to hear from it.
func (l *lease) found(now time.Time) {
	if l.cutOff {
		l.since, l.cutOff = now, false
	}
}

func (l *lease) holds(now time.Time) bool {
	return l.cutOff || l.since.IsZero() || now.Sub(l.since) < l.length
}

// Current tells whether the views that were brought may be acted on at this moment: they are as the primary had them within
// the last six tenths of the contact window, or this process is cut off. Before the first answer there are none to act on.
func (client *Client) Current() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.lease.holds(time.Now())
}

// renewLease notes that all is in force here that was published when a call began.
func (client *Client) renewLease(begun time.Time) {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.lease.renew(begun)
}

// noteSearch notes how a search for the primary ended that took so long, and was to take limit at most. One that would not
// have found the primary where it was last shows nothing.
func (client *Client) noteSearch(took, limit time.Duration, primary answer) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if primary.at != "" {
		client.lease.found(time.Now())
		client.roundTrip.restart(primary.took)
		return
	}
	if client.roundTrip.mayBeFound(limit) {
		client.lease.missed(took, limit)
	}
	client.roundTrip.forget()
}

// noteLateAnswer notes that the primary answered a call of a search that was over by then: this process is not cut off, the
// primary is distant or busy.
func (client *Client) noteLateAnswer(at string, took time.Duration) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.stands {
		return
	}
	client.hint = at
	client.lease.cutOff = false
	client.roundTrip.observe(took)
	client.config.Log.Warn().Str("event", "primary_distant").Str("primary", at).Dur("took", took).Msg("")
}
