// Package brain makes the decisions of a dispatcher of notifications: when a message is sent, to
// which endpoint, how long an attempt may take, and when a message is refused or given up.
//
// A sender makes one Brain with New and calls Step with every batch of events. Step takes in all
// events, then decides once, and returns the actions in the order in which they are to be carried
// out. Time is the batch's: it may start anywhere and never goes back. A Brain draws randomness from
// its seed only, so the same events give the same actions. It is not for concurrent use; separate
// Brains share nothing. The caller owns what it passes in and what it gets back.
package brain

import "time"

// Settings is what a sender is told at its start. Zero values mean "not stated".
type Settings struct {
	Senders           int           // senders in this deployment
	Zone              int           // zone that this sender stands in
	Slots             int           // calls out at once, at most
	MaxPending        int           // messages held, sent or not, at most
	MaxAttempts       int           // attempts for one message, at most
	MayCancel         bool          // attempts may be called off
	SendsRetryAfter   bool          // clients are told how long to stay away after a refusal
	MaxRetryAfter     time.Duration // the longest hold-off that a client heeds
	IdleConnTimeout   time.Duration // a connection without a call is kept this long
	RequestsEndpoints bool          // the endpoint list comes only when asked for
	StepInterval      time.Duration // batches come at most this often
	ReportsChanges    bool          // News is asked for after each step
	HibernateAfter    time.Duration // a destination that was quiet for so long is remembered in short; 0: never
	OrderingCooldown  time.Duration // an ordered key rests this long after an attempt that may still run
	OverloadMultiple  float64       // a cold destination falls over above this multiple of its capacity
	SlowStartCapacity float64       // share of its capacity that it has at the least on return
	OverloadWindow    time.Duration // length of the span over which that load is counted
	SlowStartDuration time.Duration // after this a returned destination is warm
	OverShareValue    float64       // worth of a message beyond its tenant's share, as a fraction
	CrossZoneCost     float64       // price of an attempt that leaves its zone
	ExponentialDecay  bool          // late worth halves with each further aim; otherwise it falls evenly
	RatingIsLimit     bool          // Endpoint.Rating is the destination's limit in calls a second
	ZoneFees          []float64     // by zone: fee for a message taken on by a route apart
	Kinds             []Kind        // kinds of destination
	Classes           []Class       // classes of message
	Tenants           []Tenant      // tenants; may be empty
}

// Kind is a kind of destination.
type Kind struct {
	PerEndpointRoutes bool // endpoints are routes apart, each with its own limit, pace and outages
	MaxBatch          int  // messages that may travel in one call
}

// Idempotency says what a repeat of a message does.
type Idempotency uint8

// The effects: a Safe message may be repeated, a Keyed one while its key is remembered, an Unsafe one never.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

// Class is a class of message.
type Class struct {
	LatencyTarget       time.Duration // full worth until then
	Deadline            time.Duration // given up after this, from the first hand-in
	Idempotency         Idempotency
	IdempotencyKeyZonal bool          // a key is remembered by the endpoints of one zone only
	IdempotencyKeyTTL   time.Duration // a key is remembered this long after the first send that may have run
	Ordered             bool          // messages with one key go in turn
	Value               float64
	LateValue           float64 // share of the worth left at the deadline
}

// Tenant is one of those who share the service.
type Tenant struct {
	Share     float64 // share of the service
	Allowance float64 // messages a second within its share, over all senders
}

// MessageID and EndpointID are returned as given and mean nothing else.
type (
	MessageID  uint64
	EndpointID uint32
	// DestinationID names the receiver that a message is for.
	DestinationID uint32
)

// Event is one of Message, AttemptEnd, Earlier, Learnt, Granted, Withdrawn, ListNews and Alarm.
type Event interface{ event() }

// Message hands in a new message. The Brain ends it exactly once; one of a class that the settings lack is
// failed at once.
type Message struct {
	ID          MessageID
	Class       int
	Tenant      int
	Destination DestinationID
	OrderingKey uint64        // key of the order; 0 for none
	Deadline    time.Duration // clock time until which it may be delivered

	// What a sender that restarted knows of a message it had before; zero for a new one.
	PriorAttempts int           // attempts already made
	MayHaveRun    bool          // one of them may have run
	FirstRunAt    time.Duration // and was sent at this clock time, the first of those that may have
	FirstRunZone  int           // to this zone
	Resumed       bool          // it was taken on by an earlier process: it is tried, and not refused for want of room
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. Refused, ConnectFailed and NotSent prove that the attempt never ran.
const (
	Served Outcome = iota
	Errored
	Rejected
	TimedOut
	ConnectFailed
	ConnectionLost
	Cancelled
	NotSent
)

// AttemptResult says that an attempt is over.
type AttemptResult struct {
	Message          MessageID
	Attempt          int // 0 for the first send of the message
	Endpoint         EndpointID
	Outcome          Outcome
	Elapsed          time.Duration // since it was sent
	Final            bool          // the message needs no further answer
	Revoked          bool          // with NotSent: it was recalled before anything was written, and counts as no attempt
	ConnLimitReached bool          // with Refused: the endpoint ended a connection opened for it, unheard: it takes no more of them
	RetryAfter       time.Duration // with Refused: told to send nothing for so long; 0 if nothing was told
	LimitReported    bool          // Left and Limit were reported
	Remaining        float64       // share of the destination's allowance that is left
	Limit            float64       // its limit in calls a second, 0 if it has none
}

// UsualRate is what this sender's earlier process knew of a destination, as Rates gave it.
type UsualRate struct {
	Destination DestinationID
	Rate        float64
}

// Health is how a destination does.
type Health uint8

// The states of health; the zero value is that nothing is known.
const (
	HealthUnknown Health = iota
	Healthy              // calls are served
	WarmingUp            // it serves again after an outage
	Unhealthy            // calls fail, are refused or go unanswered
)

// Observation is what is known of a destination, or of one route of it, with the age of its evidence. As an event it tells a
// Brain what it has not seen itself; Known gives what it has. Whatever is zero is not known.
type Observation struct {
	Destination DestinationID
	Endpoint    EndpointID // of a route apart; 0 for all of the destination's
	Local       bool       // seen by this sender, in an earlier process

	Samples                                         int // that the pace rests on
	MeanLatency, MedianLatency, MinLatency, Timeout time.Duration
	LatencyAge                                      time.Duration

	Window    float64 // calls at once that it bore
	WindowAge time.Duration

	Limit    float64 // calls a second, told for all senders
	LimitAge time.Duration

	RetryAfter time.Duration // told, and so much is left of it

	Health       Health
	HealthFor    time.Duration // how long ago it came to be so
	OutageFor    time.Duration // of one that is out or warms up: how long ago the outage began; 0: as For
	HealthAge    time.Duration // of the newest evidence for it
	Rate         float64       // calls a second usually served there for who saw it, before any outage
	OtherProbers int           // other senders that hold it out just now
}

// RateGrant says what the fleet lends this sender of a destination's limit, until the next word: its calls are spread by that, in place
// of what this sender would make of the limit by itself.
type RateGrant struct {
	Destination DestinationID
	Limited     bool    // false: the fleet shares no limit of it out any more
	Rate        float64 // calls a second that this sender may make; 0: none
	TotalRate   float64 // that all may
}

// Withdrawn says that nobody wants the message any more.
type Withdrawn struct{ Message MessageID }

// EndpointUpdate is news of the endpoint list.
type EndpointUpdate struct {
	Failed     bool // a request for the list failed; nothing is set but InVain
	Overloaded bool // and discovery has worked on it: it has more of them than it can answer in time
	Complete   bool // Endpoints is the whole list: what it lacks is gone
	Endpoints  []Endpoint
}

// Endpoint is a line of the list. It tells nothing of health.
type Endpoint struct {
	ID          EndpointID
	Destination DestinationID
	Kind        int
	Zone        int
	Ready       bool // false: draining or gone
	Rating      float64
}

// TimerFired says that a time asked for has come.
type TimerFired struct{}

func (Message) event()        {}
func (AttemptResult) event()  {}
func (UsualRate) event()      {}
func (Observation) event()    {}
func (RateGrant) event()      {}
func (Withdrawn) event()      {}
func (EndpointUpdate) event() {}
func (TimerFired) event()     {}

// Action is one of Send, Recall, Refuse, Fail, Cancel, CloseIdle, SetAlarm, WatchList and Log.
type Action interface{ action() }

// Send calls an endpoint with a message and gives the attempt up after Timeout.
type Send struct {
	Message  MessageID
	Endpoint EndpointID
	Timeout  time.Duration
}

// Revoke takes back the leave to write an attempt: what was decided when it was sent would not be decided now. One of
// which nothing is written yet ends as NotSent, at once and without use of its connection; for any other it means
// nothing. It may be carried out before all other actions of its step, and is never late.
type Revoke struct {
	Message MessageID
	Attempt int
	Reason  RevokeReason
}

// RevokeReason is why an attempt is recalled.
type RevokeReason uint8

// The reasons.
const (
	RetryAfterReceived RevokeReason = iota // the destination, or the route, asked for a wait meanwhile
	EndpointRemoved                        // the endpoint drains or is gone
	RouteOutage                            // its route has gone out, or another probe has gone there since
	MessagesEnded                          // all its messages have ended
)

func (r RevokeReason) String() string {
	return [...]string{"told to wait", "off the list", "in an outage", "over"}[r]
}

// Reject ends a message and tells its client that trying again, after HoldOff, is harmless.
type Reject struct {
	Message    MessageID
	RetryAfter time.Duration
}

// Fail ends a message and promises nothing.
type Fail struct{ Message MessageID }

// Cancel stops waiting for an attempt; it ends as Cancelled or as it would have.
type Cancel struct {
	Message MessageID
	Attempt int
}

// CloseIdleConns shuts the connections to an endpoint that have no call.
type CloseIdleConns struct{ Endpoint EndpointID }

// SetTimer asks for an Alarm at clock time At.
type SetTimer struct{ At time.Duration }

// WatchEndpoints asks for the endpoint list and its changes.
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
