package brain

import "time"

// Settings is the static configuration of a sender. A zero value means that the deployment does not set it.
type Settings struct {
	// Senders is how many senders share the destinations. Shares of limits are derived from it.
	Senders int
	// Zone is the failure domain of this sender.
	Zone int
	// Slots bounds the calls in flight, over all destinations.
	Slots int
	// MaxPending bounds the messages that have not ended, in flight or queued.
	MaxPending int
	// MaxAttempts bounds the attempts of one message.
	MaxAttempts int
	// MayCancel permits Cancel actions.
	MayCancel bool
	// SendsRetryAfter is set if rejected clients get a retry-after, at most MaxRetryAfter.
	SendsRetryAfter bool
	MaxRetryAfter   time.Duration
	// IdleConnTimeout is how long the transport keeps a connection without a call.
	IdleConnTimeout time.Duration
	// RequestsEndpoints is set if the endpoint list is sent only on request (WatchEndpoints).
	RequestsEndpoints bool
	// StepInterval is the shortest time between two calls of Step.
	StepInterval time.Duration
	// ReportsChanges makes ChangedObservations record what has changed.
	ReportsChanges bool
	// HibernateAfter is the idle time after which a destination is reduced to a short record; 0 for never.
	HibernateAfter time.Duration
	// OrderingCooldown is how long an ordering key waits after an attempt that may still be running.
	OrderingCooldown time.Duration

	// OverloadMultiple is the multiple of its capacity above which a destination that warms up fails again.
	OverloadMultiple float64
	// SlowStartCapacity is the smallest fraction of its capacity that a destination has when it returns.
	SlowStartCapacity float64
	// OverloadWindow is the time over which the load for OverloadMultiple is measured.
	OverloadWindow time.Duration
	// SlowStartDuration is how long a destination warms up after an outage.
	SlowStartDuration time.Duration

	// OverShareValue is the value of a message beyond its tenant's share, as a fraction of Class.Value.
	OverShareValue float64
	// CrossZoneCost is the cost of an attempt that leaves the zone, in units of value.
	CrossZoneCost float64
	// ExponentialDecay halves the value of a late message with each further latency target; otherwise it
	// decays linearly until the deadline.
	ExponentialDecay bool
	// RatingIsLimit makes Endpoint.Rating the rate limit of its destination, in calls a second.
	RatingIsLimit bool
	// ZoneFees is the fee, by zone, for a message that is sent to an endpoint with a route of its own.
	ZoneFees []float64

	// Kinds, Classes and Tenants are referred to by their index. Tenants may be empty.
	Kinds   []Kind
	Classes []Class
	Tenants []Tenant
}

// Kind is a kind of destination.
type Kind struct {
	// PerEndpointRoutes gives each endpoint a rate limit, send rate and health of its own in place of its
	// destination's.
	PerEndpointRoutes bool
	// MaxBatch bounds the messages of one call.
	MaxBatch int
}

// Idempotency says whether an attempt that may have run may be repeated.
type Idempotency uint8

const (
	// Idempotent messages may always be repeated.
	Idempotent Idempotency = iota
	// IdempotentByKey messages may be repeated for as long as the destination remembers their key.
	IdempotentByKey
	// NonIdempotent messages are never repeated once they may have run.
	NonIdempotent
)

// Class is a class of message.
type Class struct {
	// LatencyTarget is the time after submission until which a message has its full value (SLO).
	LatencyTarget time.Duration
	// Deadline is the time after submission at which a message is given up.
	Deadline    time.Duration
	Idempotency Idempotency
	// IdempotencyKeyZonal is set if only the endpoints of the first attempt's zone remember a key.
	IdempotencyKeyZonal bool
	// IdempotencyKeyTTL is how long a key is remembered after the first attempt that may have run.
	IdempotencyKeyTTL time.Duration
	// Ordered has messages with the same ordering key sent one at a time, in the order of arrival.
	Ordered bool
	// Value is the value of a message that is served in time. LateValue is the fraction left at the
	// deadline.
	Value     float64
	LateValue float64
}

// Tenant is one of the clients that share the service.
type Tenant struct {
	// Share is the tenant's fraction of the service.
	Share float64
	// Allowance is the rate within that share, in messages a second over all senders.
	Allowance float64
}
