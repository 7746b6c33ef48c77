// Package worker runs state machines as actors beside the sender's event loop.
//
// A Worker is a goroutine that owns a Stepper, a pure function from events and the time to actions, and an inbox, a bounded
// RingBuffer with a stated overflow policy. A Group runs workers: it owns their goroutines, the clock and the watchdog, and Stop waits
// for their end. A Scheduler runs the same workers step by step in virtual time, in an order drawn from a seed; tests use it.
//
// Concurrency: a Stepper is called by one goroutine at a time. A RingBuffer may be used from any goroutine. Nothing is persisted.
package worker
