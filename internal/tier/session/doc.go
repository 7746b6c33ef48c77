// Package session maintains a process's session with the primary of the control plane: consecutive long polls (Watch), each of
// which returns updates and acknowledges those of the previous one. Each gateway and each turn store has a session.
//
// # Contract
//
// New creates a Client. Run maintains the session until its context ends, and delivers updates through the functions of
// Config. Versions only increase: an update is delivered if its version is above the one in force, and acknowledged by the
// call after its delivery. An update that arrives damaged is neither delivered nor acknowledged. Current reports whether the
// delivered updates may be acted on: only within a lease, or while the process is partitioned from the primary and can't have
// anything newer. Nothing is persisted: a process that starts begins at version 0.
//
// # States
//
//	state      event                                             transition
//	searching  a candidate says that it is the primary           polling (search.go: findPrimary)
//	searching  no candidate does within the time-out             searching, after a pause; every second search has twice the time-out
//	polling    the call is answered by the primary               active: updates are delivered, the lease is renewed
//	polling    the call fails, or is answered too late           searching, not active
//	polling    the reply says that it is not the primary         searching, not active; its hint is queried first
//	polling    replicas or the disk of a turn store change       the call is cancelled, and the next one reports the change at once
//
// # Lease
//
//	state        event                                           transition
//	valid        six tenths of the contact window pass           expired: Current is false
//	any          the primary answers a call                      valid, from the start of the call
//	any          a search times out and finds no primary         partitioned: Current is true
//	partitioned  a search finds the primary                      valid for one lease length, to receive an answer
//	partitioned  a call of an earlier search is answered late    valid or expired as before: the primary is distant
//
// docs/design/hardening/1-answers.md derives the times, docs/design/hardening/overload.md the lease.
package session
