// Package client is for applications that coordinate by the serving tier: locks with fencing tokens, elections, numbers that only rise,
// small keys, and watches of their changes.
//
// # Contract
//
// A Client may be used by any number of goroutines. Each call goes to one of the control-plane addresses and moves on to the next after
// a failure, a redirect that leads nowhere, or a second of silence, with a growing backoff, until its context ends. All calls may be
// repeated, and are: a number that was given out and not received is skipped, a put is recognized by its value, and a lock that is
// acquired twice has the fencing token of the last time.
//
// A lock is counted from before the call was sent that acquired or renewed it, by a monotonic clock. A process that was paused finds it
// expired; what is protected by the lock should check the fencing token all the same, and refuse one that is lower than the highest it
// has seen.
//
// The values of a key must be unique: a put that brings a value again is taken for a repeat of the first one.
package client
