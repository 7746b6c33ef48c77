// Package health maintains the fleet-wide health status of destinations: ejected (outlier), warming up (slow start), or suspended by an
// operator. It does no I/O and reads no clock.
//
// Senders report what they observe of a destination to its owner, the sender that package coordinator assigns. The owner's Aggregator
// weighs the reports, since a sender with a broken network sees every destination fail, and proposes commands to the replicated log.
// All senders apply the commands in log order in a Machine, so setting and clearing a status are never reordered, and commands of an
// earlier epoch are rejected. A status expires at each sender after its TTL unless the owner renews it; an operator's status does not
// expire.
//
// Limits (package quota) enforce a status: while a destination is ejected, the whole fleet sends one probe call per probe interval;
// while it warms up, the rate limit that all senders share grows from an initial to the full rate.
//
// Transitions of a destination at its owner (Aggregator.Evaluate proposes, Machine applies):
//
//	from         event                                                      to
//	none         Quorum senders report it out, or fewer for 2 s             ejected
//	ejected      a call was served after the status started                 warming up
//	ejected      no report for TTL                                          none
//	warming up   as from none, with evidence after the status started       ejected
//	warming up   SlowStart has passed                                       none
//	ejected,
//	warming up   not renewed for TTL                                        none (at each sender)
//	any          the policy has no rule for it any more                     none
//	any          an operator suspends the destination                       suspended, in addition to the status above
//	suspended    an operator ends the suspension                            the status above
//
// Machine's state is part of the replicated log's snapshot (package replicatedlog); an Aggregator's state is in memory only.
package health
