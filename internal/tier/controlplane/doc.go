// Package controlplane is the control plane role of the tier, on top of the replicated control state of package consensus:
// the operators' API, the sessions of gateways and turn stores, the placement of the turn stores' partitions, the platform's
// endpoint list, and the retirement of machines.
//
// # Contract
//
// New makes a ControlPlane, Run does the primary's work until its context ends, Operators returns the handler of operators'
// calls, and Sessions the service for sessions. Every control plane process runs one ControlPlane. Only the primary of
// consensus serves state; the other processes redirect operators and send sessions the address of the primary. The primary
// serves a publishedState, which is immutable and replaced as a whole. Of the control state it contains only what all backups
// have on disk. After a write with an unknown outcome nothing is served until the state has been replicated again.
//
// # Ownership of state
//
//	key or field            owner and writer                          stored in
//	configuration           writeConfiguration (configuration.go)     control state, key "configuration"
//	change records          changeHistory.accept, in the same write   control state, keys "order/REVISION"
//	partition map, retired  writePartitionMap (reconcile.go)          control state, key "turnstores"
//	epoch marker            startEpoch (primary.go)                   control state, key "settled"
//	sessions                sessionRegistry (sessions.go)             memory of the primary; rebuilt from the sessions' calls
//	endpoint list           endpointList (endpoint_list.go)           memory of the primary; read again in each epoch
//	ejections               ejections (ejections.go)                  memory of the primary; lost with the epoch
//	retire deadlines        retireDeadlines (retire_deadlines.go)     memory of the process that accepted the retire order
//
// Package consensus keeps the control state on disk; this package has no files. Each write of the control state is one
// Store.Put under the writer lock (write.go). ControlPlane.mu guards the state in memory.
//
// # States of a process
//
//	state       event                                        transition
//	not ready   Store.Primary reports true for an epoch      startEpoch: writes the epoch marker, loads and publishes -> ready
//	not ready   startEpoch fails                             stays not ready; retries after writeRetryBackoff
//	ready       Store.Primary reports false                  stepDown: no state is served -> not ready
//	ready       Store.Primary reports another epoch          startEpoch of that epoch; memory of the last epoch is dropped
//	ready       the outcome of a write is unknown            ready is cleared, Run is woken -> not ready
//	ready       a write is rejected: the state is too large  stays ready; nothing was written
//	any         the context of Run ends                      stepDown; Run waits for pollPlatform
//
// # States of a replica of a partition
//
//	state      event                                                  transition
//	absent     too few replicas, or a move for balance                backup, unsynced: added by repair or rebalance
//	unsynced   its primary reports it synced in the current epoch     synced (applyReports)
//	unsynced   the sync is stalled                                    other primary or turn store is tried (retarget); retained
//	synced     the primary is lost or draining                        primary (failOver)
//	any        its turn store is lost                                 dropped and retained, or kept while it is awaited (awaitsReturn)
//	any        its turn store departs, or the replica is surplus      dropped once enough others are synced (trim)
//	retained   all synced replicas are lost, spans cover all epochs   primary or source of a recovery (recoverPrimary)
//	retained   enough replicas are synced, or its disk is lost        dropped (pruneRetained)
//
// Each change of a partition's primary or backups raises its epoch by one (advanceEpoch). Assign is pure; reconcile passes it
// the observed turn stores and writes the map that it returns.
//
// # Path of a configuration change
//
//  1. POST /saffronyard/Configuration.Replace reaches Operators (operators.go: dispatch) and replaceConfiguration; a process
//     that is not the primary redirects it (redirect.go).
//  2. The body is read (request_body.go) and checked (package routing).
//  3. changeHistory.decide: accept, repeat of an accepted change, conflict, not newer, or too old. Any decision but accept is
//     answered after a read barrier (read_barrier.go), so that a deposed primary gives no answer that contradicts its successor.
//  4. decideAndWrite decides once more under the writer lock; writeConfiguration writes configuration and change record in
//     one Store.Put, which returns once all backups have them on disk, and publishes.
//  5. Watch (watch.go) wakes and pushes the configuration, compressed, to each session; the next call of a session
//     acknowledges its version (sessions.go).
//  6. awaitAcknowledgements waits for the active gateways, for a bounded time, and the 200 is sent if this process is still
//     the primary (response.go: withholdUnlessPrimary).
//
// # Files
//
//	the primary's loop           primary.go, reconcile.go, platform_poll.go
//	published state              published_state.go, compression.go, endpoint_push.go, ejection_push.go
//	the control state            store.go, write.go, read_barrier.go
//	operators' API               operators.go, request_body.go, response.go, redirect.go, configuration.go, retire.go
//	decisions (pure)             change_history.go, retire_decision.go, retire_progress.go, retire_deadlines.go, risk.go
//	sessions                     watch.go, sessions.go, status.go, metrics.go
//	placement (pure)             assignment.go, repair.go, retained_replicas.go, rebalance.go, store_selection.go, replicas.go, sync_stall.go
//	endpoints                    platform_client.go, endpoint_list.go, ejections.go
//
// The design and its proofs: docs/design/hardening/1-answers.md (responses by process, staleness), 2-orders.md (idempotency of
// changes), 3-second-loss-stores.md (partitions). Operators' pages: docs/operate/control.md and turnstore.md.
package controlplane
