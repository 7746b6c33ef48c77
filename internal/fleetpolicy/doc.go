// Package fleetpolicy implements the fleet's policy, which operators change while the fleet is in service: which calls may be begun, where they
// go, which limits apply to them, and how the health of destinations is decided. It does no I/O and reads no clock.
//
// A Document is the TOML that operators write; a Policy is a checked document, in the form that calls are checked against. Machine is the
// replicated state; a View is the policy of one sender at one index of the log; Coordinator decides at the leader when a change of the policy
// advances to its next state, so that the change takes effect everywhere or nowhere.
//
// States of a change, as Machine has them:
//
//	state     command                               next        condition at the leader (Coordinator.Step)
//	none      ProposePolicy on the current version  staging     none: an operator proposes it
//	staging   freeze                                frozen      each sender that holds a lease has stored it, after the grace period
//	staging   abort                                 aborted     a sender rejects it, the stage time-out is over, or an operator aborts
//	frozen    commit                                committed   no lease is left whose holder may act below the freeze index
//	frozen    abort                                 aborted     an operator aborts, or a sender rejects it
//
// While a change is frozen, no sender that has applied the freeze begins a call that the change affects (Affected). The required indexes of
// leases (package lease) show when all senders that may act have applied it. So no sender begins such a call under a version after another
// sender has begun one under the next version.
//
// A View and a Policy are immutable and safe for concurrent use; Machine and Coordinator are not. Machine's state is part of the replicated log's
// snapshot; a Coordinator is in memory only, and senders report again to a new leader.
package fleetpolicy
