// Package replicatedlog is the replicated state machine of a fleet: a log that a few senders, the voters, replicate by raft
// (go.etcd.io/raft; Ongaro's thesis, "Consensus: Bridging Theory and Practice", 2014), and the state that results from applying its
// entries. The state is the same at all senders that have applied the log up to the same index.
//
// The package has three types, none of which does I/O or reads a clock. State applies committed entries in order. Voter is a raft
// voter: it takes events with the time and returns actions. Replica combines a sender's own State with the rules for what that sender
// may do under it; every sender has one, voters too. Package fleet connects them to disk, network and clock.
//
// Contract of Voter.Step and Replica.Step: only one goroutine may call Step, with a monotonic time that never goes back. The caller carries
// out the actions in order, and a Persist must be on the disk before any action behind it begins. If the log can't be applied (it is
// damaged, or has a command of an unknown kind), Step panics: the caller must end that voter or replica and keep none of its results.
//
// A starting voter first calls all other voters for their terms and log positions; see reconcile.
//
// States of a Voter:
//
//	state      event                                   next       what it does
//	starting   reconciled with its peers               follower   persists the term and vote that it starts with
//	follower   no leader for ElectionTicks, log is     candidate  requests votes (pre-vote first)
//	           up to date with the handshake's minimum
//	candidate  votes of a majority                     leader     creates a new Granter and new coordinators
//	leader     lost contact with a majority, or a      follower   fails all pending requests with ErrNotLeader
//	           higher term
//	leader     LeadershipTransferRequested             follower   another voter takes over
//
// States of a Replica, which together determine whether its sender may act:
//
//	state      event                                   next
//	no lease   LeaseGranted, log applied to its        acting
//	           required index
//	acting     a view that differs for some call       draining   PublishView with Drain; lease requests keep the old acting index
//	draining   Drained of that view                    acting     the acting index advances
//	any        the lease ends, and the policy's        no lease   LeaseExpired
//	           grace after it
//
// Messages that are stored or sent are defined in proto/saffronyard/fleet/v1; Snapshot is versioned by its format field.
package replicatedlog
