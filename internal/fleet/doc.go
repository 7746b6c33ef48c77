// Package fleet is a sender's part in its fleet: it joins the state machines of replicatedlog, quota and health to disk, network and clock, and
// holds the gate that each call passes before it is written.
//
// A Node owns all of it. Its goroutines are workers (package worker) and background calls; Close stops and awaits them all:
//
//	worker             state machine              inbox                        on a panic
//	log                replicatedlog.Voter        blocks                       this sender is no voter any more
//	copy               replicatedlog.Replica      blocks                       leases expire, no call is begun
//	limits, asking     quota.Client               merges by key                allowances expire
//	limits, lending    quota.Server               drops the oldest             clients' requests fail
//	verdicts           health.Aggregator          drops the oldest             statuses expire
//
// The way of a call: Admit asks the Gate, which knows the lease and the View that the replica published, and takes units of the call's limits;
// the caller reports when the call was written, and when it ended. The way of a change: Propose submits a command to the leader, the log
// commits it, each replica applies it and publishes a View, and the gate tells the replica when calls of the former view are written.
//
// On disk, in Config.Folder: log.db (see store), staged (the proposed policy that was stored last) and vouched (an operator's word, see Vouch).
//
// Calls between senders are gRPC (proto/saffronyard/fleet/v1), authenticated by a shared key and not encrypted: addresses are loopback ones.
package fleet
