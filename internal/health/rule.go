package health

import (
	"time"
)

// Rule is how verdicts on a destination are found, and what they do.
type Rule struct {
	Quorum        int           // believed senders that have to hold it to be out; or one alone for Lone, if nobody else tells of it
	ProbeInterval time.Duration // while it is out one call of all senders goes there so often
	InitialRate   int64         // calls a second of all senders as it comes back,
	FullRate      int64         // which grow to so many
	SlowStart     time.Duration // in this time
	TTL           time.Duration // a verdict that is not said again is over
	TransitJitter time.Duration // by so much may the ways of two calls differ
}

// SoleReporterDelay is how long the word of one sender alone waits for others.
const SoleReporterDelay = 2 * time.Second
