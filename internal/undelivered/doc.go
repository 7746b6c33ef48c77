// Package undelivered is the dead-letter store of the sender: messages that were not delivered, with their attempts, the reason why
// delivery failed, and whether they may be resent.
//
// Reasons (ReasonOf), the permission to resend (MayResend) and the rules that choose among what is permitted (Choose, Pacer) are plain
// functions and values without I/O. Store keeps the entries in one bbolt file; LazyStore opens it on first use and serves the
// command line on a Unix socket, for which Remote is the client.
//
// An entry's state:
//
//	stored     recorded; it may be resent, resolved, dropped by an operator, or dropped by retention
//	resending  marked before it is handed to the sender again; after that the sender's journal has the message, and its next end
//	           (delivered, or undelivered once more) is recorded. Reconcile returns it to stored if the journal does not have it.
//	resolved   an operator, or the client by a new message under the same key, has dealt with it
//
// Store and LazyStore are safe for concurrent use; Pacer is for one goroutine. All times are Unix nanoseconds of the wall clock, except
// Pacer's, which is a clock that does not go back. docs/operate/undelivered.md is the operators' page.
package undelivered
