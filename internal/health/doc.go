// Package health decides and keeps the fleet's common health status of destinations: ejected (outlier), warming up (slow start),
// or suspended by an operator. It does no I/O and reads no clock.
//
// Senders report what they observe of a destination to its owner, the sender that package coordinator assigns. The owner's Aggregator
// weighs the reports, since a sender with a broken network sees every destination fail, and proposes commands to the replicated log.
// All senders apply them in log order in a Machine, so setting and clearing a status never cross, and commands under an epoch that is
// over are rejected. A status expires at each sender after its TTL unless the owner renews it; an operator's does not expire.
//
// What a status does is done by limits (package quota): while a destination is ejected, one call of the whole fleet probes it per
// probe interval; while it warms up, its calls grow from an initial to its full rate, shared by all senders.
//
// Transitions of a destination as its owner sees it (Aggregator.Evaluate proposes, Machine applies):
//
//	from         event                                                      to
//	none         Quorum senders report it out, or a sole one for 2 s        ejected
//	ejected      a call served after the status began                       warming up
//	ejected      no report for TTL                                          none
//	warming up   Quorum senders report it out, on evidence since            ejected
//	warming up   SlowStart has passed                                       none
//	ejected,
//	warming up   not renewed for TTL                                        none (at each sender)
//	any          the policy has no rule for it any more                     none
//	any          operator suspends; operator lifts                          suspended beside the above; back
//
// Machine's state is part of the replicated log's snapshot (package replicatedlog); an Aggregator's is in memory only.
package health
