// Package brain makes the decisions of a dispatcher of notifications: when a message is sent, to which
// endpoint, how long an attempt may take, and when a message is rejected or given up.
//
// # Contract
//
// A sender creates one Brain with New and calls Step with every batch of events. Step applies all events,
// then decides once, and returns the actions in the order in which they must be carried out. The time is
// passed in with each batch: it may start at any value and never goes back. All random choices are derived
// from the seed, so the same events give the same actions (testdata records them). A Brain is not for
// concurrent use; separate Brains share nothing. The caller owns what it passes in and what it gets back. A
// Brain does no I/O and persists nothing: its owner stores what UsualRates, Observations and Outages return,
// and passes it in as events after a restart.
//
// # Messages
//
// A message is in one of four states. Waiting messages are in the queue of their destination (queue.go).
//
//	state      event or decision                              next        where
//	-          Message                                        waiting     message.go: admit
//	-          Message of an unknown class                    ended, Fail message.go: admit
//	waiting    a slot, an endpoint and a token are free       in flight,  dispatch.go
//	                                                          Send
//	waiting    no time or attempt left, or repeat forbidden   ended, Fail expiry.go
//	waiting    too many messages are pending                  ended,      shedding.go
//	                                                          Reject
//	in flight  AttemptResult, Final                           ended       outcomes.go
//	in flight  AttemptResult, not Final                       waiting,    outcomes.go, backoff.go
//	                                                          with back-off
//	any        Withdrawn                                      ended       message.go: closeMessage
//	ended      the last result of an attempt in flight        deleted     message.go: closeMessage
//
// Only the first message of each ordering key is sent. After an attempt that may still be running, the key
// cools down (ordering.go).
//
// # Routes
//
// Health, window, rate limit and latencies are kept by route: one for each destination, or one for each
// endpoint where the kind of destination has PerEndpointRoutes.
//
//	state       event                                                 next        where
//	healthy     consecutive failures, or a high failure rate          outage      outcomes.go
//	healthy     calls in flight are not answered                      outage      route.go: accepts
//	healthy     outage seen by another sender or an earlier process   outage      learn.go
//	healthy     slow start seen by another sender or an earlier       warming up  learn.go
//	            process
//	warming up  about half as many consecutive failures               outage      outcomes.go
//	warming up  SlowStartDuration has passed                          healthy     route.go: accepts
//	healthy,    a retry-after longer than OverloadWindow              outage      outcomes.go
//	warming up
//	outage      a call is served                                      warming up  outage.go: endOutage
//
// In an outage one probe at a time is sent, at the rate of recoveryRate (slow_start.go), which also bounds
// the slow start. In any state a retry-after or a back-off closes the route (rate_limits.go, learn.go), and
// the window (restart.Window) bounds its calls in flight. An endpoint that drains or is removed gets no new
// call, and calls to it are revoked if nothing of them was written (revocation.go). An idle destination
// hibernates (hibernation.go).
//
// # Source
//
// Time-outs are those of the restart oracle of "The Fast and the Fair" (QEST), in package restart.
// docs/design.md describes what is taken from the paper, what was added, and when each deviation applies.
package brain
