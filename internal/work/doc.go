// Package work is the scheduler of background work, free of I/O and clocks. It decides which slice of which job runs next, by priority,
// fairness between owners and budgets in several currencies; when a failed job is retried; and how much of the budget live traffic leaves
// to background work.
//
// The caller (package work/run) passes Scheduler.Step the events that happened, with the time, and performs the actions that it returns:
// Start, Reject, Finished, Park and Stop. Step is called again with each event, and at Scheduler.Next at the latest. A Scheduler is for one
// goroutine. It persists nothing: package work/store keeps the jobs, and the caller submits them again after a restart.
//
// A job's states:
//
//	ready                in its owner's queue, until its owner's turn comes and budgets, kind and window permit a slice
//	running              a slice of it runs; SliceEnded ends this state
//	delayed              it waits for its earliest start time, or for the backoff after a failure
//	awaitingLock         another job holds its lock, and meanwhile inherits its priority
//	awaitingResource     the circuit breaker of its resource is open; after the open time one job is admitted as the trial
//	awaitingRetryBudget  its kind has no credit for a retry (retries are a fraction of successes)
//	parked               it waits for an operator: it failed too often, or its slice returned an error that parks it
//
// Fairness: within a priority the owner with the least virtual time goes next. An owner's virtual time grows by the dominant share (the
// largest part of a second's budget, over all currencies) of what its slices use, divided by its weight. Budgets are token buckets that
// may go into debt, since what a slice uses is known only after it ended. docs/design/work.md gives the reasons.
package work
