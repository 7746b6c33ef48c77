// Package replicatedlog is the replicated state machine of a fleet: a log that a few senders, the voters, keep by raft
// (go.etcd.io/raft; Ongaro's thesis, "Consensus: Bridging Theory and Practice", 2014), and the state that its entries make, which is
// the same at each sender that has applied as many of them.
//
// Three types, none of which does I/O or reads a clock. State applies committed entries in order. Voter is a raft voter: it takes
// events with the time and returns actions. Replica is any sender's own State with what that sender may do by it; voters have one
// as well. Package fleet joins them to disk, network and clock.
//
// Contract of Voter.Step and Replica.Step: one goroutine calls, with a monotonic time that never goes back; the actions are carried
// out in their order, and a Persist is on the disk before any action behind it begins. A log that can't be followed (damage, or a command
// that this program does not know) is a panic: the caller must end that voter or replica and keep none of its results.
//
// A starting voter first asks all other voters what they know of it; see reconcile.
//
// States of a Voter:
//
//	state      event                                   next       what it does
//	starting   reconciled with its peers               follower   persists the term whose vote is spent
//	follower   no leader for ElectionTicks, log is     candidate  asks for votes (pre-vote first)
//	           up to date with the handshake's minimum
//	candidate  votes of a majority                     leader     starts Granter and coordinators anew
//	leader     lost contact with a majority, or a      follower   answers all that waits with ErrNotLeader
//	           higher term
//	leader     LeadershipTransferRequested             follower   another voter takes over
//
// States of a Replica, which together say whether its sender may act:
//
//	state      event                                   next
//	no lease   LeaseGranted, log applied to its        acting
//	           required index
//	acting     a view that differs for some call       draining   PublishView with Drain; leases are asked for under the old index
//	draining   Drained of that view                    acting     the acting index moves on
//	any        the lease ends, and the policy's        no lease   LeaseExpired
//	           grace after it
//
// Stored and sent forms are those of proto/saffronyard/fleet/v1; Snapshot is versioned by its format field.
package replicatedlog
