package brain

import "time"

// MessageID names a message. It is returned as given.
type MessageID uint64

// EndpointID names an endpoint. It is returned as given.
type EndpointID uint32

// DestinationID names the receiver that a message is for. A destination has any number of endpoints.
type DestinationID uint32

// Event is the input of Step: one of Message, AttemptResult, UsualRate, Observation, RateGrant, Withdrawn,
// EndpointUpdate and TimerFired.
type Event interface{ event() }

// Message submits a message. The Brain ends it exactly once: by a result that is Final, by Fail or by
// Reject. A message whose class is not in Settings.Classes fails at once.
type Message struct {
	ID          MessageID
	Class       int // index into Settings.Classes
	Tenant      int // index into Settings.Tenants; any other value means no tenant
	Destination DestinationID
	OrderingKey uint64        // 0 for none; has an effect for an ordered class only
	Deadline    time.Duration // clock time until which it may be delivered

	// Attempts by an earlier process, set by a sender that has restarted. Zero for a new message.
	PriorAttempts int
	MayHaveRun    bool          // one of them may have run
	FirstRunAt    time.Duration // clock time at which the first of those was sent
	FirstRunZone  int           // zone that the first of those was sent to
	Resumed       bool          // from an earlier process: it is never rejected for lack of capacity
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt. Rejected, ConnectFailed and NotSent prove that the attempt never ran.
const (
	Served Outcome = iota
	Errored
	Rejected
	TimedOut
	ConnectFailed
	ConnectionLost // after the request was written, before its answer
	Cancelled
	NotSent
)

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Message  MessageID
	Attempt  int // 0 for the first Send of the message
	Endpoint EndpointID
	Outcome  Outcome
	Elapsed  time.Duration // since it was sent
	Final    bool          // the message needs no further attempt
	// Revoked is set with NotSent if a Revoke came in time: nothing was written, and the attempt does not
	// count.
	Revoked bool
	// ConnLimitReached is set with Rejected if the endpoint closed a new connection without handling the
	// call: it accepts no more connections.
	ConnLimitReached bool
	// RetryAfter is the wait that the destination asked for, 0 for none.
	RetryAfter time.Duration
	// LimitReported is set if the answer carried Remaining and Limit.
	LimitReported bool
	Remaining     float64 // fraction of the destination's allowance that is left
	Limit         float64 // rate limit of the destination in calls a second, 0 for none
}

// UsualRate is the rate at which a destination usually serves this sender, in calls a second.
// Brain.UsualRates returns the rates; as events they pass the measurements of an earlier process to a new
// one.
type UsualRate struct {
	Destination DestinationID
	Rate        float64
}

// Health is the state of health of a destination.
type Health uint8

// States of health. The zero value means that nothing is known.
const (
	HealthUnknown Health = iota
	Healthy              // calls are served
	WarmingUp            // it serves again after an outage (slow start)
	Unhealthy            // calls fail, are rejected or time out
)

// Observation is the state of a destination, or of one of its routes, with the age of the evidence. As an
// event it reports what another sender or an earlier process has observed; Brain.Observations returns what
// the Brain has observed itself. A zero field is unknown.
type Observation struct {
	Destination DestinationID
	Endpoint    EndpointID // for the route of one endpoint; 0 for the destination's
	Local       bool       // observed by this sender, in this process or an earlier one

	Samples       int // calls that the latencies are based on
	MeanLatency   time.Duration
	MedianLatency time.Duration
	MinLatency    time.Duration
	Timeout       time.Duration // optimal restart time-out
	LatencyAge    time.Duration

	Window    float64 // calls in flight that the route sustained
	WindowAge time.Duration

	Limit    float64 // rate limit of all senders together, in calls a second
	LimitAge time.Duration

	RetryAfter time.Duration // time left of the wait that the destination asked for

	Health       Health
	HealthFor    time.Duration // since it entered that state
	OutageFor    time.Duration // since the outage began, if unhealthy or warming up; 0: same as HealthFor
	HealthAge    time.Duration // of the newest evidence for the state
	Rate         float64       // calls a second usually served to the observer, before any outage
	OtherProbers int           // other senders that probe it at present
}

// RateGrant is this sender's part of a rate limit that is divided among all senders. It holds until the next
// grant for the destination and replaces the rate that the sender would derive from the limit by itself.
type RateGrant struct {
	Destination DestinationID
	Limited     bool    // false ends the grant: the limit is no longer divided
	Rate        float64 // calls a second of this sender; 0 for none
	TotalRate   float64 // calls a second of all senders
}

// Withdrawn means that no client waits for the message any more.
type Withdrawn struct{ Message MessageID }

// EndpointUpdate is a change of the endpoint list, or a failed request for it.
type EndpointUpdate struct {
	Failed     bool // the request failed; no other field but Overloaded is set
	Overloaded bool // discovery processed the request but is too busy to answer it in time
	Complete   bool // Endpoints is the complete list: an endpoint that is not in it is gone
	Endpoints  []Endpoint
}

// Endpoint is an entry of the endpoint list. It does not describe health.
type Endpoint struct {
	ID          EndpointID
	Destination DestinationID
	Kind        int // index into Settings.Kinds
	Zone        int
	Ready       bool // false if it drains or is gone
	Rating      float64
}

// TimerFired means that the time of the last SetTimer has come.
type TimerFired struct{}

func (Message) event()        {}
func (AttemptResult) event()  {}
func (UsualRate) event()      {}
func (Observation) event()    {}
func (RateGrant) event()      {}
func (Withdrawn) event()      {}
func (EndpointUpdate) event() {}
func (TimerFired) event()     {}
