// Package run runs background jobs: it adds worker goroutines, cancellation and a watchdog to the decisions of package work, and keeps the
// jobs that must outlast the process in package store.
//
// One goroutine, the loop, owns the scheduler and all records; other goroutines reach it by Runner's methods, which are safe for
// concurrent use. Each slice runs in a worker goroutine of its own, with a context that ends when the job is dropped or the runner
// closes. Close waits for the loop and, up to a time-out, for the workers.
//
// The result of a slice is written to the store before it is passed to the scheduler. A slice of a kind that is not idempotent is marked as
// intended in the store before it starts; after a kill Kind.CheckDone finds out whether it was done, and without CheckDone the job is
// parked. Volatile kinds are kept in memory only. docs/operate/work.md is the operators' page.
package run
