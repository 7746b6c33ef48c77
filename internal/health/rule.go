package health

import "time"

// Rule is how the health of a destination is decided, and what its statuses do.
type Rule struct {
	Quorum        int           // believed senders that have to report it out; one alone counts after SoleReporterDelay, if no other reports
	ProbeInterval time.Duration // while it is ejected one call of all senders goes there in each
	InitialRate   int64         // calls per second of all senders as it comes back
	FullRate      int64         // which grow to this rate
	SlowStart     time.Duration // within this time
	TTL           time.Duration // after which a status that is not renewed expires
	TransitJitter time.Duration // by which the transit of two calls may differ
}

// SoleReporterDelay is how long the report of a single sender waits for reports of others.
const SoleReporterDelay = 2 * time.Second
