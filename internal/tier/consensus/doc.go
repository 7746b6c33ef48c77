// Package consensus keeps the control state of the tier: a small set of keys that the primary of a view writes and syncs here and
// at all backups of the view before it acknowledges. The members of the view choose the next view by majority, in the manner of
// Vertical Paxos; they keep only epochs and views. There is no log that a majority replicates.
//
// # Contract
//
// Node is the runtime: it opens the file, runs the loop (Run), serves the Election service (Handler) and offers the state to the
// control plane (Put, Get, Confirm, Primary, Changed). Its replica is the deterministic core, which does no I/O: Step takes events and
// returns actions, and Node carries these out in their order: calls that need not wait for the disk, append and sync, then calls, replies and
// outcomes. Nothing that depends on a record leaves the process before the record is synced; a write goes to
// the backups at the same time as to the own disk, as nothing is acknowledged before all have synced it. One goroutine, Run, owns replica, file
// and clients; all other methods of Node only touch the fields under its mutex.
//
// # Roles
//
//	primary   named by the view in force and confirmed by all its backups within the lease; serves reads and writes
//	backup    named by the view; acknowledges each write of the primary once it is synced
//	witness   a member that votes on views, without the state
//	joiner    a process that is no member yet
//
// # Transitions of a replica
//
//	state           event                                    next state      effect
//	follower        heartbeat of the chosen view's primary   follower        election time-out starts again
//	follower        election time-out, and it is a voter     pre-vote        prepare with epoch 0, which binds nobody
//	pre-vote        a majority would prepare, canLead        preparing       prepare with a new epoch
//	pre-vote        heartbeat of the primary                 follower
//	preparing       majorities of the newest view prepared   transferring    the target view is decided; snapshots to its backups
//	transferring    all backups of the target acknowledged   accepting       accept of the target
//	accepting       majorities accepted                      primary         the view is chosen; writes in progress are committed
//	any proposal    newer view, no majority, time-out        follower        new attempt after a jittered pause; a primary stays
//	                                                                         primary while its lease is valid
//	primary         put or confirm                           primary         write to all backups, acknowledged when all have synced
//	primary         backup or member fails, moves or joins   preparing       proposal of the next view, while the lease goes on
//	primary         lease over, higher epoch prepared or     follower        writes in progress: ErrOutcomeUnknown; queued ones:
//	                chosen elsewhere                                         ErrNotPrimary
//	any             the disk fails                           no replica      as by a power loss; the file is reopened with backoff
//
// # What is persisted
//
// One write-ahead log, "control", with the records of record.go: identity, prepared epoch, accepted and chosen view, writes and the epoch
// of the state. It is rewritten to its bare state when it has grown.
//
// Rules, invariants and bounds of time are in docs/design/consensus.md.
package consensus
