// Package session holds a process's session with the primary of the control plane: one long poll (Watch) after the other, each
// of which brings updates and acknowledges those that the last one brought. Gateways and turn stores have one.
//
// # Contract
//
// New makes a Client, Run keeps the session until its context ends, and delivers updates by the functions of Config. Versions
// only rise: an update is delivered if its version is above the one in force, and acknowledged by the call after its delivery.
// What came damaged is neither delivered nor acknowledged. Current tells whether what was delivered may be acted on: only
// within a lease, or while the process is partitioned from the primary and can't have anything newer. Nothing is persisted: a
// process that starts begins at version 0.
//
// # States
//
//	state      event                                             transition
//	searching  a candidate says that it is the primary           polling (search.go: findPrimary)
//	searching  nobody does within the time-out                   stays, after a pause; each second search in a row is longer
//	polling    the call is answered by the primary               active: updates are delivered, the lease is renewed
//	polling    the call fails, or is answered too late           searching, not active
//	polling    the reply says that it is not the primary         searching, not active; its hint is asked first
//	polling    replicas or the disk of a turn store change       the call is cancelled, and the next one reports it at once
//
// # Lease
//
//	state        event                                           transition
//	valid        six tenths of the contact window pass           expired: Current is false
//	any          the primary answers a call                      valid, from the begin of the call
//	any          a search used its time and found no primary     partitioned: Current is true
//	partitioned  a search finds the primary                      valid, for one length, to hear from it
//	partitioned  a call of an earlier search is answered late    as before the partition: the primary is distant
//
// docs/design/hardening/1-answers.md derives the times, docs/design/hardening/overload.md the lease.
package session
