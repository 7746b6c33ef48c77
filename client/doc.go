// Package client lets applications coordinate through the serving tier. It has locks with fencing tokens, leader elections,
// counters that only increase, small keys, and watches of their changes.
//
// # Contract
//
// A Client is safe for concurrent use. Each call is sent to one of the control-plane addresses. After a failure, a redirect that
// leads to no answer, or no response within the time-out of an attempt (one second by default), the call is retried at the next
// address, with increasing backoff, until its context ends. All calls are safe to retry: a number that was issued but not received
// is skipped, a repeated put is recognized by its value, and a lock that is acquired twice has the fencing token of the last
// acquisition.
//
// The hold time of a lock is measured by a monotonic clock, from before the call that acquired or renewed it was sent. A process
// that was paused beyond the hold time finds the lock expired. The resource that the lock protects should nevertheless check the
// fencing token, and reject one that is lower than the highest it has seen.
//
// The values of a key must be unique: a put of an earlier value counts as a repeat of the earlier put.
package client
