// Package coordinator keeps the fleet's membership: the processes that participate in owning things that are shared by name, such as
// limits and the health of destinations, each thing having one owner. It does no I/O and reads no clock.
//
// A membership has an epoch. The next one comes in two entries of the replicated log, so that no thing ever has two owners,
// whichever processes are partitioned, paused or dead:
//
//	state      event                                             next state  effect
//	stable     the leader proposes other participants            proposed    owners suspend what they are to lose
//	proposed   no lease may act below the proposal's index       stable      the next epoch is active; new owners begin
//	stable     an owner draws units of a daily quota             stable      units are counted for the period
//
// The proposal is a fence: once nobody may act who does not know of it (package lease), all that former owners did was done before the
// new epoch. A Machine applies the commands and is part of the log's snapshot; a Coordinator runs at the leader and is in memory
// only; an Ownership computes the owner of a key by rendezvous hashing.
package coordinator
