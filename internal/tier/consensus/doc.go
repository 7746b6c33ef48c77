// Package consensus replicates the control state of the tier, a small set of keys. The primary of a view writes and syncs each change
// locally and at all backups of the view before it acknowledges the change. The members of the view choose the next view by majority, in
// the manner of Vertical Paxos. As members they store only epochs and views; there is no log that a majority replicates.
//
// # Contract
//
// Node is the runtime: it opens the file, runs the loop (Run), serves the Election service (Handler) and offers the state to the control
// plane (Put, Get, Confirm, Primary, Changed). Its replica is the deterministic core, which does no I/O: Step takes events and returns
// actions. Node carries out the actions in this order: calls that need not wait for the disk, append and sync, then calls, replies and
// outcomes. Nothing that depends on a record leaves the process before the record is synced. A write is sent to the backups while the
// local disk syncs it; this is safe because no write is acknowledged before all replicas have synced it. One goroutine, Run, owns the
// replica, the file and the clients; all other methods of Node only touch the fields under its mutex.
//
// # Roles
//
//	primary   named by the view in force and confirmed by all its backups within the lease; serves reads and writes
//	backup    named by the view; acknowledges each write of the primary once it is synced
//	witness   a member that votes on views and does not store the state
//	joiner    a process that is not a member yet
//
// # Transitions of a replica
//
//	state           event                                    next state      effect
//	follower        heartbeat of the chosen view's primary   follower        restarts the election time-out
//	follower        election time-out at a voter             pre-vote        prepare with epoch 0, which records no promise
//	pre-vote        a majority would prepare, canLead        preparing       prepare with a new epoch
//	pre-vote        heartbeat of the primary                 follower
//	preparing       majorities of the newest view prepared   transferring    the target view is decided; snapshots to its backups
//	transferring    all backups of the target acknowledged   accepting       accept of the target
//	accepting       majorities accepted                      primary         the view is chosen; writes in progress are committed
//	any proposal    newer view, no majority, time-out        follower        retry after a jittered delay; a primary remains
//	                                                                         primary while its lease is valid
//	primary         put or confirm                           primary         write to all backups, acknowledged when all have synced
//	primary         backup or member fails, moves or joins   preparing       proposal of the next view; the lease continues
//	primary         lease expired, higher epoch prepared or  follower        writes in progress: ErrOutcomeUnknown; queued ones:
//	                chosen elsewhere                                         ErrNotPrimary
//	any             the disk fails                           no replica      as after a power loss; the file is reopened with backoff
//
// # What is persisted
//
// One write-ahead log, "control", with the records of record.go: identity, prepared epoch, accepted and chosen view, writes and the epoch
// of the state. When the log has grown enough, it is replaced by the records of the current state.
//
// Rules, invariants and time bounds are in docs/design/consensus.md.
package consensus
