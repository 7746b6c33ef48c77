// Package controlplane is the control plane role of the tier, on top of the replicated control state of package consensus:
// the operators' API, the sessions of gateways and turn stores, the placement of the turn stores' partitions, the platform's
// endpoint list, and the retirement of machines.
//
// # Contract
//
// New makes a ControlPlane, Run does the primary's work until its context ends, Operators and Sessions serve. Every control
// plane process runs one; only the process that is the primary of consensus shows anything, the others redirect operators and
// tell sessions where the primary is. What is shown is a publishedState: immutable, replaced as a whole, and made only of what
// all backups have on disk. After a write without a known outcome nothing is shown until the state has been replicated anew.
//
// # Who owns which state
//
//	key or field            owner and writer                          where
//	configuration           writeConfiguration (configuration.go)     control state, key "configuration"
//	change records          changeHistory.accept, in the same write   control state, keys "order/REVISION"
//	partition map, retired  writePartitionMap (reconcile.go)          control state, key "turnstores"
//	epoch marker            startEpoch (primary.go)                   control state, key "settled"
//	sessions                sessionRegistry (sessions.go)             memory of the primary; comes back with the sessions
//	endpoint list           endpointList (endpoint_list.go)           memory of the primary; read anew in each epoch
//	ejections               ejections (ejections.go)                  memory of the primary; lost with the epoch
//	retire deadlines        retireDeadlines (retire_deadlines.go)     memory of the process that accepted the order
//
// Package consensus keeps the control state on disk; this package has no files. Each write of it is one Store.Put under the
// writer lock (write.go); ControlPlane.mu guards all that is in memory.
//
// # States of a process
//
//	state       event                                        transition
//	not ready   Store.Primary says primary of an epoch       startEpoch: writes the epoch marker, loads and publishes -> ready
//	not ready   startEpoch fails                             stays; again after writeRetryBackoff
//	ready       Store.Primary says so no longer              stepDown: sessions and operators are shown nothing -> not ready
//	ready       Store.Primary names another epoch            startEpoch of that epoch; memory of the last one is dropped
//	ready       a write has no known outcome                 ready is cleared, Run is woken -> not ready
//	ready       a write is rejected as the state is too large stays; nothing was written
//	any         the context of Run ends                      stepDown; Run waits for pollPlatform
//
// # States of a replica of a partition
//
//	state      event                                                  transition
//	absent     too few replicas, or a move for balance                backup, unsynced: added by repair or rebalance
//	unsynced   its primary reports it synced in the current epoch     synced (applyReports)
//	unsynced   the sync is stalled                                    other primary or turn store is tried (retarget); retained
//	synced     the primary is lost or drains                          primary (failOver)
//	any        its turn store is lost                                 dropped and retained, or kept for a while (awaitsReturn)
//	any        its turn store departs, or there is one too many       dropped once enough others are synced (trim)
//	retained   all synced replicas are lost, the spans cover all      primary or source of a recovery (recoverPrimary)
//	retained   enough replicas are synced, or its disk is lost        forgotten (pruneRetained)
//
// Each change of a partition's primary or backups raises its epoch by one (advanceEpoch). Assign is pure; reconcile gives it
// what is known and writes what it returns.
//
// # The way of a configuration change
//
//  1. POST /saffronyard/Configuration.Replace comes to Operators (operators.go: dispatch) and replaceConfiguration; a process
//     that is not the primary redirects it (redirect.go).
//  2. The body is read (request_body.go) and checked (package routing).
//  3. changeHistory.decide: accept, repeat of an accepted change, conflict, not newer, or too old. Anything but accept is
//     answered after a read barrier (read_barrier.go), so that a deposed primary answers nothing its successor contradicts.
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
//	what is shown                published_state.go, compression.go, endpoint_push.go, ejection_push.go
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
