package brain

import (
	"slices"
	"time"
)

// destination is a receiver with its endpoints and its queue of waiting messages.
type destination struct {
	endpoints         []*endpoint
	sharedRoute       *route // nil where each endpoint has its own
	hasEndpointRoutes bool   // some endpoint has or had a route of its own
	pending           int    // messages that are not deleted
	restoredRate      float64
	sequence          uint64 // in the order of first mention
	removed           bool
	lastUsed          time.Duration
	inIdleQueue       bool // it is in Brain.idleQueue

	// The waiting messages, in the order in which they were queued.
	firstWaiting, lastWaiting *message
	waiting                   int
	backoffs                  backoffHeap
	tenantQueues              []tenantQueue
}

// endpoint is an Endpoint of the list, or one that has left the list and is still kept.
type endpoint struct {
	Endpoint
	listed        bool
	route         *route
	callsInFlight int
	lastSentAt    time.Duration
	recentLatency float64 // moving average, s
	failureRate   float64 // moving average of the share of failed calls

	// Connections.
	openConns           int           // with a call or idle
	connLimit           float64       // estimated limit of the endpoint, 0 if unknown
	connectBackoffUntil time.Duration // no connection is opened before this time
	connectBackoff      time.Duration // the last back-off
	idleSince           time.Duration // end of the last call; 0 if no connection may be open
	idleReduction       time.Duration // how much its idle time-out is shorter than its kind's
	idleSequence        uint64        // in the order of becoming idle; 0 if no connection is to be closed
	inIdleList          bool          // it is in Brain.idleEndpoints
	inReducedList       bool          // it is in Brain.reducedEndpoints
}

// destination returns the destination with this id. It creates an unknown destination and wakes up one
// that hibernates.
func (b *Brain) destination(id DestinationID) *destination {
	d := b.destinations[id]
	if d == nil {
		if f := b.hibernated[id]; f != nil {
			return b.wakeUp(f)
		}
		b.lastSequence++
		d = &destination{sequence: b.lastSequence}
		b.destinations[id], b.emptyDestinations[id] = d, d
		b.destinationOrder = append(b.destinationOrder, d)
		b.touch(d)
	}
	return d
}

// dropRemovedDestinations deletes removed destinations from destinationOrder.
func (b *Brain) dropRemovedDestinations() {
	b.destinationOrder = shrink(slices.DeleteFunc(b.destinationOrder, func(d *destination) bool {
		return d.removed
	}))
}

// maxBatch returns how many messages one call to e may carry.
func (b *Brain) maxBatch(e *endpoint) int {
	if e.Kind < len(b.settings.Kinds) {
		return max(1, b.settings.Kinds[e.Kind].MaxBatch)
	}
	return 1
}
