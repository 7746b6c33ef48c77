// Package sender is the message sender that runs the decision module (package brain): it accepts messages from clients, keeps them in
// a journal that outlasts the process, calls endpoints, follows the endpoint list and notifies the platform of messages that ended
// undelivered. Package brain alone decides what is done with a message; this package does the I/O.
//
// # The loop and its contract
//
// One goroutine, the loop (Sender.loop), owns all of a Sender's state. Other goroutines pass it events through Sender.post and receive
// results on channels. A turn of the loop takes the queued events, calls the module once, writes its decisions to the journal in one
// write, and only then acts on them:
//
//	events -> handle -> brain.Step -> journal.update -> journal.flush -> answer clients, begin calls, send notices
//
// The contract:
//
//   - The loop never blocks on a network, a peer, a client or an extension. The channels that it sends to have room by construction (each
//     client's answer, one batch of notices, one batch for the recorder). It waits only for the write to the journal, which isn't synced.
//   - A message is in the journal before its client is answered 202, and an attempt is there before its call begins. A message
//     that can't be written is rejected with 503, and a call whose attempt can't be written isn't made, so a kill at any point loses
//     no accepted message and hides no attempt.
//   - Nothing grows without a bound: queues, names, bodies, connections and files have limits, most of them constants at their use.
//
// # Goroutines and the state that they own
//
//	loop                   sender.go, loop.go     messages, journal, endpoint list, event deduplication, all fields of Sender
//	server.serve           server.go              the listener; a goroutine for each client connection (server.serveConn); server.mu
//	calls                  send.go, batch.go      one for each call; the result comes back as callResult
//	sources.follow         sources.go             one for each source of endpoints (discovery, names)
//	discovery.postNotices  discovery_notices.go   the batch of notices under way
//	recorderQueue.run      extension_recorder.go  the batch offered to the recorder
//	knowledge writer       extension_knowledge.go the snapshot being written
//	peers, fleet, admin    extension_*.go         those of package peers, the wait for policy changes, the admin socket
//
// # States of a message
//
//	state          in the journal (record.Op, Outcome)   leaves it by
//	submitted      not yet                               flush: accepted, or rejected with 503
//	waiting        take                                  brain.Send: in flight; brain.Reject, brain.Fail: ended
//	in flight      send                                  callResult: delivered, waiting again (end), or failed for good
//	delivered      over delivered                        at once: nothing is left to do, the next compaction drops the record
//	answered       over answered                         at once, as delivered: its client was answered 500 or 503
//	given up       over given_up                         told: the platform has acknowledged its notice
//	handed back    over handed_back                      told: as given up; its client may submit it again
//	recorded       over with keep                        kept: the recorder has it (see Recorder), and its notice is acknowledged
//
// Background.Resend sends an undelivered message again as a new incarnation under the same id. Its record keeps the earlier attempts,
// because they decide whether the message may be repeated.
//
// # Start and shutdown
//
// New reads the journal. Run starts the workers, waits up to firstListTimeout for the endpoint list, gives the module the state that
// an earlier process left (Sender.resume), and only then listens. When its context ends, the sender goes on serving for the grace
// period and reports that it is not ready. After that no call begins, requests under way are answered, and the sender waits for calls
// and notices in flight until the shutdown timeout. Unfinished messages and notices stay in the journal for the next process.
//
// # Files
//
//	sender.go, loop.go, resume.go, shutdown.go      the Sender, its loop, its start and its end
//	submit.go, send.go, batch.go, finish.go         the path of a message: accepted, called, ended
//	message.go, repeatrules.go, event_dedup.go      state of a message; when it may be repeated; event deduplication
//	server*.go, ingress*.go                         client connections, requests, responses; the two client protocols
//	journal*.go, outages.go                         the journal: records, codec, recovery, compaction, endpoint list, outages
//	sources.go, discovery*.go                       sources of endpoints; the platform's list, its watch, and notices
//	extension*.go, fleet_policy.go, observations.go optional features called in the loop's turns
//	admin_reports.go, trace.go                      reports and trace lines for operators
//	config.go, clock.go                             configuration and time
package sender
