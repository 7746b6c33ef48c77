// Package sender is the message sender round the decision module (package brain): it accepts messages from clients, keeps them in a
// journal that outlasts the process, calls endpoints, follows the endpoint list and notifies the platform of messages that ended
// undelivered. What is done with a message is decided by package brain alone; this package does the I/O.
//
// # The loop and its contract
//
// One goroutine, the loop (Sender.loop), owns all of a Sender's state. Others hand it events through Sender.post and hear from it by
// channels. A turn of the loop takes the events that wait, has the module decide once, writes the decisions to the journal in one
// write, and only then acts on them:
//
//	events -> handle -> brain.Step -> journal.update -> journal.flush -> answer clients, begin calls, send notices
//
// The contract:
//
//   - The loop never blocks on a network, a peer, a client or an extension. Channels that it sends to have room by construction (each
//     client's answer, one batch of notices, one batch for the recorder). Its only wait is the write to the journal, which isn't synced.
//   - A message is in the journal before its client is answered 202, and an attempt is there before its call begins. What can't be
//     written is rejected with 503 and its call isn't made, so a kill at any point loses no accepted message and hides no attempt.
//   - Nothing grows without a bound: queues, names, bodies, connections and files have limits, most of them constants by their use.
//
// # Goroutines and the state that they own
//
//	loop                   sender.go, loop.go     messages, journal, endpoint list, event deduplication, all fields of Sender
//	server.serve           server.go              the listener; a goroutine for each client connection (server.serveConn); server.mu
//	calls                  send.go, batch.go      one for each call; the result comes back as callResult
//	sources.follow         sources.go             one for each source of endpoints (discovery, names)
//	discovery.postNotices  discovery_notices.go   the batch of notices under way
//	recorderQueue.run      extension_recorder.go  the batch that the recorder is offered
//	knowledge writer       extension_knowledge.go the snapshot that is being written
//	peers, fleet, admin    extension_*.go         those of package peers, the wait for policy changes, the admin socket
//
// # States of a message
//
//	state          in the journal (record.Op, Outcome)   leaves it by
//	submitted      not yet                               flush: accepted, or rejected with 503
//	waiting        take                                  brain.Send: in flight; brain.Reject, brain.Fail: ended
//	in flight      send                                  callResult: delivered, waiting again (end), or failed for good
//	delivered      over delivered                        at once: nobody is owed anything, the record goes with a compaction
//	answered       over answered                         it ended in the answer to its client (500 or 503): as delivered
//	given up       over given_up                         told: the platform has acknowledged the notice of it
//	handed back    over handed_back                      told: as given up; its client may submit it again
//	recorded       over with keep                        kept: the recorder has it (see Recorder), and its notice is acknowledged
//
// A message that was undelivered and goes again (Background.Resend) is a new incarnation of it under the same id; its earlier
// attempts stay in its record, as they decide whether a repeat is lawful.
//
// # Start and shutdown
//
// New reads the journal. Run starts the workers, waits a moment for the endpoint list, gives the module what an earlier process left
// (Sender.resume) and only then listens. When its context ends, the sender serves on for the grace period and says that it is not
// ready; then no call begins, requests under way are answered, and it waits for calls and notices under way up to the shutdown
// timeout. What is left stays in the journal for the next process.
//
// # Files
//
//	sender.go, loop.go, resume.go, shutdown.go      the Sender, its loop, its start and its end
//	submit.go, send.go, batch.go, finish.go         a message's way: accepted, called, ended
//	message.go, repeatrules.go, event_dedup.go      what is known of a message; when it may be repeated; events that come again
//	server*.go, ingress*.go                         clients' connections, requests, responses; the two protocols on top
//	journal*.go, outages.go                         the journal: records, codec, recovery, compaction, endpoint list, outages
//	sources.go, discovery*.go                       where endpoints come from; the platform's list, its watch, and notices
//	extension*.go, fleet_policy.go, observations.go       features that take part in the loop's turns
//	admin_reports.go, trace.go                      what operators are shown
//	config.go, clock.go                             configuration and time
package sender
