// Package turnstore stores the turns of agent programs and accounts for their budgets. It is a replicated state machine: each
// partition has one primary and several backups, which are assigned by a partition map of the control plane.
//
// # Contract
//
// A gateway requests a turn by Begin, sends it to an endpoint, and ends it by Settle. Before the primary replies OK, the facts of the
// request are synced on its disk and on those of all backups of its epoch, so they survive the loss of all of these replicas but one.
// Any other verdict guarantees nothing: a Begin answered with BUSY may have reserved tokens, and the gateway retries it or settles
// the attempt. All requests are idempotent by their attempt ID. A gateway that gives up a turn releases it: it retries a Settle
// without a turn until that is answered.
//
// # What is stored
//
// A partition is a set of facts. Facts only add information, and state.add merges them in any order to the same state, so replicas
// agree as soon as they have the same facts, and a fact may be sent or replayed more than once. There are three kinds:
//
//	Reserved   an attempt was begun; its maximum of tokens is charged to its program's budget
//	Settled    an attempt has ended; the tokens handed out are charged instead. With a turn: its text is stored
//	Adopted    the text of a turn of another partition, stored here because a turn of this partition continues it
//
// # States of an attempt
//
//	state               event                                         next state          charged to the budget
//	(unknown)           Begin: OK                                     reserved            maximum of the reservation
//	(unknown)           Adopted                                       adopted             nothing
//	(unknown)           Settle                                        settled or stored   tokens of the settlement
//	reserved            Begin again (a retry)                         reserved            unchanged
//	reserved            Settle without a turn                         settled             tokens of the settlement
//	reserved            Settle with a turn                            stored              tokens of the settlement
//	settled             Begin again (a late copy of a request)        settled; BUSY       unchanged
//	settled             Settle with a turn                            stored              the larger of both settlements
//	settled, stored     Settle with more tokens                       unchanged           the larger of both settlements
//	stored              retention + TurnLinger have passed            settled             unchanged; the text is dropped
//	reserved, settled   unused for longest retention + BudgetLinger   (unknown)           nothing
//	adopted             retention + TurnLinger have passed            (unknown)           nothing
//
// A turn whose chain, the turns that it continues, is stored completely can be continued; see partition.chain.
//
// # Roles of a turn store in a partition
//
//	role           event                                       next role
//	none           map names it a backup                       backup
//	none, backup   map names it the primary of a newer epoch   primary: a term begins
//	primary        map of the next epoch names it again        primary: a new term, which continues the former one
//	primary        a backup replies that the epoch is stale    none until the next map: the term ends (turnstore_deposed)
//	any            a primary calls with a newer epoch          backup of that epoch: a term ends
//	any            map does not name it                        none: its facts are dropped after UnassignedRetention
//
// A primary whose term recovers (Partition.RecoverFrom) answers BUSY until the control plane confirms the recovery.
//
// A term is the time in which this process is primary of a partition in one epoch. In each term the primary replicates new facts to
// every backup (replicator) and compares the facts that both had before (synchronize); a backup that has all facts is reported to the
// control plane by SyncedReplicas.
//
// # States of the disk
//
// A full, failing or stuck disk does not end the process; see diskstate.go and recovery.go.
//
// # Concurrency
//
// All methods of TurnStore are safe for concurrent use. TurnStore.mu guards the state and is held only for computation; waiting for
// disks and replicas happens outside of it. TurnStore.maintenance serializes compaction and reopening, and is taken before
// mu. Replicators and synchronizations run in goroutines that Close awaits. The state machine (state.go, facts.go, chain.go, budget.go,
// retention.go) does no I/O and reads no clock: the time is passed in.
//
// # On disk
//
// The data folder holds write-ahead logs (package wal): "identity", whose one record is the folder's ID, and "facts-0" and "facts-1",
// whose records are encoded Facts. One of the two is appended to; Compact rewrites the live facts into the other one. Roles, terms
// and partition maps are not stored: a turn store serves nothing before it has received a map.
package turnstore
