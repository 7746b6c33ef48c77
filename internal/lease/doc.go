// Package lease lets a sender act for a bounded time without asking, and lets a change wait for those that may act under an older state. It
// does no I/O and reads no clock: each side is given the time of its own machine, and only durations are compared, never the clocks of two
// machines. (Gray and Cheriton, "Leases", SOSP 1989; the drift bound is that of Terms.)
//
// A Holder counts a lease from before its request. The Granter counts it from when it granted, and longer by how far two clocks may drift
// apart meanwhile, so a lease always ends at its holder first. With each request the holder tells from which index of the
// replicated log on it acts. A fence at an index has passed when nobody may act below it any more: each lease that has not expired
// belongs to a holder that acts at that index or a later one, and one that is granted later counts only once its holder has applied the
// log as far as the granter had.
//
// States of one holder's incarnation, as a Granter has them:
//
//	state       event                               next        effect
//	unknown     NewGranter                          grace       leases of an earlier leader may exist until then
//	grace       Terms.GranterDuration has passed    none
//	none        Grant                               active      may act at the granter's index or later
//	active      RecordRequest at a higher index     active      may act at that index or later, under each of its leases
//	active      expired                             none        forgotten at the next look
//
// Nothing is persisted: a new leader starts with a grace period, a new process with no lease.
package lease
