// Package coordination implements the primitives by which applications coordinate: locks with fencing tokens (an election is a lock
// that is held for a long time), counters, and small keys whose changes can be watched. It only makes the decisions; the records
// are stored in the replicated control state.
//
// # Contract
//
// Machine is the state machine: it does no I/O and has neither a clock nor goroutines. Step takes the current time and calls,
// applies the calls in order, and returns Actions: records to write, and responses. No response may be sent before the writes are
// synced at all replicas. If there are no writes but Confirm is set, no response may be sent before a round trip to all replicas
// that began after the calls arrived. If the write or the round trip fails, the Machine must be discarded, because its state is
// ahead of the stored records; a new one is loaded from the records.
//
// Runtime drives a Machine on a Store: it orders all calls of one process into batches, and each batch is one write.
//
// # Locks
//
//	state     event                                   next state   effect
//	free      Acquire                                 held         a new fence, greater than all that were issued before
//	held      Acquire or Renew by another owner       held         LockUnavailable, LockLost
//	held      Acquire by its owner                    held         a new fence; the hold is extended
//	held      Renew by its owner                      held         the hold is extended; no write unless it gets longer
//	held      Release with the newest fence           free
//	held      the hold time has passed                expired      nothing is written
//	expired   Acquire by any owner                    held         a new fence
//	expired   Renew                                   expired      LockLost
//	any       a Machine is loaded from the records    held         each lock that has a record, for its full hold time
//
// A hold is measured from the Step that granted or extended it, with an allowance for clocks that run at different rates
// (maxClockDrift). Its owner measures it from before it sent the call, so the hold expires at the owner first.
//
// An owner that acquires a lock again gets a new fence, so that a delayed Release or Renew sent before it cannot end the new hold:
// Release requires the newest fence, Renew any fence of the current hold.
//
// # Keys
//
// Keys whose names are equal up to and including the first dot form a group. A group has one increasing revision counter and a
// history of its puts, from which watches are answered. The values of a key are unique (a contract with the applications): a put
// with the current value, or with one in the history, is a repeat of that put and returns its revision.
//
// # Invariants
//
//   - A fence, a counter's value and a group's revision are greater than all that were returned before, because each is written
//     together with its counter before it is returned, and only one Machine at a time may write (package consensus).
//   - A lock never has two holders at once: unless the lock was released, another owner gets it only by a Step later than the end of
//     the hold as measured by this Machine, or by a Machine that was loaded after the last extension and has measured the full hold
//     time since then.
//   - The history has no gap between its oldest and its newest put. A watch that needs older puts gets HistoryGone.
//
// The design and its alternatives: docs/design/coordination.md. For operators: docs/operate/coordination.md.
package coordination
