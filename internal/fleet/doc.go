// Package fleet runs a sender's part in its fleet: it connects the state machines of replicatedlog, quota and health to disk, network and
// clock, and has the gate that admits each call before it is written.
//
// A Node owns all of this. Its goroutines are workers (package worker) and background calls; Close stops them all and waits for them:
//
//	worker             state machine              inbox                        on a panic
//	log                replicatedlog.Voter        blocks                       this sender is no voter any more
//	copy               replicatedlog.Replica      blocks                       leases expire, no call is begun
//	limits, asking     quota.Client               merges by key                allowances expire
//	limits, lending    quota.Server               drops the oldest             clients' requests fail
//	verdicts           health.Aggregator          drops the oldest             statuses expire
//
// Admission of a call: Admit checks the call at the Gate, by the lease and the View that the replica published, and takes units of the call's
// limits; the caller reports when the call was written, and when it ended. Change of the policy: Propose submits a command to the leader, raft
// commits it, each replica applies it and publishes a View, and the replica is notified once all calls of the former view are written.
//
// Files in Config.Folder: log.db (see store), staged (the proposed policy that was stored last) and vouched (see Vouch).
//
// Calls between senders are gRPC (proto/saffronyard/fleet/v1), authenticated by a shared key and not encrypted: addresses must be loopback
// addresses.
package fleet
