// Package coordination keeps what applications coordinate by: locks with fencing tokens (elections are locks that are held for
// long), counters, and small keys whose changes can be watched. It decides only; the replicated control state keeps the records.
//
// # Contract
//
// Machine is the state machine: it does no I/O, has no clock and no goroutine. Step takes the time and calls, applies the calls in
// their order, and returns Actions: records to write, and responses. No response may leave before the writes are synced at all
// replicas; where there are none but Confirm is set, before a round trip to all replicas that began after the calls came. If either
// fails, the Machine must be dropped, as its state is ahead of what is stored; a new one is loaded from the records.
//
// Runtime does that on a Store: it orders all calls of one process, a batch at a time, and each batch is one write.
//
// # Locks
//
//	state     event                                   next state   effect
//	free      Acquire                                 held         a new fence, above all that were ever given out
//	held      Acquire or Renew by another             held         LockUnavailable, LockLost
//	held      Acquire by its owner                    held         a new fence; the hold is extended
//	held      Renew by its owner                      held         the hold is extended; no write unless it gets longer
//	held      Release with the newest fence           free
//	held      the hold time is over                   expired      nothing is written
//	expired   Acquire by anybody                      held         a new fence
//	expired   Renew                                   expired      LockLost
//	any       a Machine is loaded from the records    held         each lock that has a record, for its whole hold time
//
// A hold is counted from the Step that granted or extended it, with an allowance for clocks that run at different rates
// (maxClockDrift). Its owner counts from before it asked, so it gives up first.
//
// An owner that acquires again gets a new fence, so that a late Release or Renew of the time before cannot end the new hold: Release
// needs the newest fence, Renew one of this hold.
//
// # Keys
//
// Keys whose names are alike up to the first dot, it included, are a group. A group has one rising count of revisions, and a history
// of its puts, which watches are answered from. The values of a key are unique (the applications' contract): a put that brings the
// present value, or one in the history, is a repeat of that put and gets its revision.
//
// # Invariants
//
//   - A fence, a counter's value and a group's revision are above all that were handed out before, as each is written with its
//     counter before it is handed out, and one Machine at a time has the right to write (package consensus).
//   - Two holders at once: another one gets the lock only by a Step later than the end of the hold by this Machine's count, or
//     by a Machine that was loaded after the last extension and has counted the whole hold time since.
//   - The history has no gap from its oldest put to the newest. A revision before the oldest is answered HistoryGone.
//
// The design and what was weighed: docs/design/coordination.md. For operators: docs/operate/coordination.md.
package coordination
