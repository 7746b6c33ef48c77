// Package fleetpolicy is the policy that operators change for the whole fleet in service: which calls are begun, where they go, which limits they
// are under, and how the health of destinations is decided. It does no I/O and reads no clock.
//
// A Document is the TOML that operators write; a Policy is a document that was checked, in the form that calls are judged by. Machine is the
// replicated state; a View is what one sender goes by at one index of the log; Coordinator decides at the leader when a change of the policy
// moves on, so that it takes effect everywhere or nowhere.
//
// States of a change, as Machine has them:
//
//	state     command                               next        condition at the leader (Coordinator.Step)
//	none      ProposePolicy on the current version  staging     none: the operator's
//	staging   freeze                                frozen      each sender that holds a lease has stored it, after the grace period
//	staging   abort                                 aborted     a sender rejects it, the stage time-out is over, or an operator aborts
//	frozen    commit                                committed   no lease is left under which somebody may act below the freeze
//	frozen    abort                                 aborted     an operator aborts, or a sender rejects it
//
// While a change is frozen no call that it affects (Affected) is begun by any sender that has heard so; the fence of leases (package lease)
// tells when all have. So no call is begun under a version after another sender has begun one under the next.
//
// A View and a Policy are immutable and safe for concurrent use; Machine and Coordinator are not. Machine's state is part of the replicated log's
// snapshot; a Coordinator is in memory only, and senders tell a new leader again.
package fleetpolicy
