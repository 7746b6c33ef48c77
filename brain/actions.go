package brain

import (
	"fmt"
	"time"
)

// Action is an output of Step: one of Send, Revoke, Reject, Fail, Cancel, CloseIdleConns, SetTimer,
// WatchEndpoints and Log.
type Action interface{ action() }

// Send starts an attempt of a message at an endpoint, which times out after Timeout. Attempts of a message
// are numbered from 0 in the order of their Sends. Sends of one step to one endpoint may share one call,
// up to Kind.MaxBatch.
type Send struct {
	Message  MessageID
	Endpoint EndpointID
	Timeout  time.Duration
}

// Revoke withdraws the permission to write an attempt, as it would not be sent now. An attempt of which
// nothing was written yet ends as NotSent at once, without using its connection; on any other attempt Revoke
// has no effect. It may be carried out before all other actions of its step, and a late one does no harm.
type Revoke struct {
	Message MessageID
	Attempt int
	Reason  RevokeReason
}

// RevokeReason is why an attempt is revoked.
type RevokeReason uint8

const (
	// RetryAfterReceived means that a retry-after for the route has been received meanwhile.
	RetryAfterReceived RevokeReason = iota
	// EndpointRemoved means that the endpoint drains or was removed.
	EndpointRemoved
	// RouteOutage means that an outage of the route has begun, or that a later probe has been sent to it.
	RouteOutage
	// MessagesEnded means that all messages of the call have ended.
	MessagesEnded
)

// String returns the reason as operators read it.
func (r RevokeReason) String() string {
	return [...]string{"told to wait", "off the list", "in an outage", "over"}[r]
}

// Reject ends a message. Its client may safely try again after RetryAfter.
type Reject struct {
	Message    MessageID
	RetryAfter time.Duration // 0 if clients get no retry-after
}

// Fail ends a message. An attempt of it may or may not have run.
type Fail struct{ Message MessageID }

// Cancel stops waiting for an attempt. The attempt ends as Cancelled, or with an outcome that came first.
type Cancel struct {
	Message MessageID
	Attempt int
}

// CloseIdleConns closes the connections to an endpoint that have no call.
type CloseIdleConns struct{ Endpoint EndpointID }

// SetTimer requests TimerFired at clock time At. A new timer replaces the last one.
type SetTimer struct{ At time.Duration }

// WatchEndpoints requests the endpoint list and its changes.
type WatchEndpoints struct{}

// Log is a line for the operators.
type Log struct{ Line string }

func (Send) action()           {}
func (Revoke) action()         {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Cancel) action()         {}
func (CloseIdleConns) action() {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
func (Log) action()            {}

// log reports a change of r to the operators, at most once in minLogInterval.
func (b *Brain) log(r *route, text string) {
	if b.now-r.loggedAt >= minLogInterval {
		r.loggedAt = b.now
		b.actions = append(b.actions, Log{fmt.Sprintf("%d %s", r.id, text)})
	}
}

// minLogInterval is the shortest time between two log lines on one route.
const minLogInterval = 5 * time.Second
