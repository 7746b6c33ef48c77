// Package coordinator manages the fleet's membership: the processes among which the ownership of keys is divided. A key names shared state,
// such as a limit or the health of a destination, and has one owner. The package does no I/O and reads no clock.
//
// A membership has an epoch. The next membership takes two entries of the replicated log, so that no key ever has two owners, whichever
// processes are partitioned, paused or have crashed:
//
//	state      event                                             next state  effect
//	stable     the leader proposes other participants            proposed    owners stop acting on keys that they will lose
//	proposed   no lease may act below the proposal's index       stable      the next epoch is active; new owners start
//	stable     an owner draws units of a daily quota             stable      units are counted for the period
//
// The proposal is a fence: once no process may act that has not applied it (package lease), all actions of former owners precede the new
// epoch. A Machine applies the commands and is part of the log's snapshot; a Coordinator runs at the leader and is in memory only; an
// Ownership computes the owner of a key by rendezvous hashing.
package coordinator
