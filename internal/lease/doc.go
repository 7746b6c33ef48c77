// Package lease lets a sender act for a bounded time without further requests, and lets a change wait until no sender may act under an older
// state. It does no I/O and reads no clock: the caller passes each side the time of its own machine, and only durations are compared, never
// the clocks of two machines. (Gray and Cheriton, "Leases", SOSP 1989; the drift bound is that of Terms.)
//
// A Holder counts a lease from before its request. The Granter counts it from the time of granting and adds the maximum drift between two
// clocks, so a lease always expires at its holder first. Each request contains the index of the replicated log at which the holder acts. A
// fence at an index has passed when no holder may act below it any more: each lease that has not expired belongs to a holder that acts at
// that index or a later one, and a lease that is granted later is valid only once its holder has applied the log as far as the granter had.
//
// States of one holder's incarnation at a Granter:
//
//	state       event                               next        effect
//	unknown     NewGranter                          grace       leases of an earlier leader may exist until then
//	grace       Terms.GranterDuration has passed    none
//	none        Grant                               active      may act at the granter's index or later
//	active      RecordRequest at a higher index     active      may act at that index or later, under each of its leases
//	active      expired                             none        removed at the next call of ActiveLeases
//
// Nothing is persisted: a new leader starts with a grace period, a new process without a lease.
package lease
