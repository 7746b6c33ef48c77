package health

import "time"

// Rule contains the parameters of a destination's health: how its status is decided, and the limits that the status enforces.
type Rule struct {
	Quorum        int           // credible senders that must report it out; fewer are enough once it has been reported out for SoleReporterDelay
	ProbeInterval time.Duration // while it is ejected, all senders together send one call per interval
	InitialRate   int64         // calls per second of all senders at the start of warming up
	FullRate      int64         // calls per second of all senders at the end of warming up
	SlowStart     time.Duration // duration of warming up
	TTL           time.Duration // after which a status that is not renewed expires
	TransitJitter time.Duration // maximum difference between the transit times of two calls
}

// SoleReporterDelay is how long the report of a single sender waits for reports of others before it counts.
const SoleReporterDelay = 2 * time.Second
