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
	pending           int    // messages that are not forgotten
	restoredRate      float64
	sequence          uint64 // in the order of first mention
	removed           bool
	lastUsed          time.Duration
	inIdleQueue       bool // it is looked at for hibernation

	// The waiting messages, in the order in which they came to wait.
	firstWaiting, lastWaiting *message
	waiting                   int
	backoffs                  backoffHeap
	tenantQueues              []tenantQueue
}

// endpoint is an Endpoint of the list, or one that has left it and is remembered.
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
	connLimit           float64       // how many the endpoint takes; 0 if it never refused one
	connectBackoffUntil time.Duration // no connection is opened before
	connectBackoff      time.Duration // the last one
	idleSince           time.Duration // since the last call; 0 if no connection may be open
	idleReduction       time.Duration // its idle time-out is so much shorter than its kind's
	idleSequence        uint64        // in the order of becoming idle; 0 if there is nothing to close
	inIdleList          bool          // it is in Brain.idleEndpoints
	inReducedList       bool          // it is in Brain.reducedEndpoints
}

// destination returns the destination with this id. A new one is made, one that hibernates is woken up.
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

// dropRemovedDestinations takes out of the order what was removed.
func (b *Brain) dropRemovedDestinations() {
	b.destinationOrder = shrink(slices.DeleteFunc(b.destinationOrder, func(d *destination) bool {
		return d.removed
	}))
}

// maxBatch is how many messages one call to e may carry.
func (b *Brain) maxBatch(e *endpoint) int {
	if e.Kind < len(b.settings.Kinds) {
		return max(1, b.settings.Kinds[e.Kind].MaxBatch)
	}
	return 1
}
