// Package brain makes the decisions of a dispatcher of notifications: when a message is sent, to which
// endpoint, how long an attempt may take, and when a message is rejected or given up.
//
// # Contract
//
// A sender makes one Brain with New and calls Step with every batch of events. Step takes in all events, then
// decides once, and returns the actions in the order in which they are to be carried out. Time is the
// batch's: it may start anywhere and never goes back. All random choices follow from the seed, so the same
// events give the same actions (testdata records them). A Brain is not for concurrent use; separate Brains
// share nothing. The caller owns what it passes in and what it gets back. A Brain does no I/O and persists
// nothing: its owner keeps what UsualRates, Observations and Outages return, and hands it in again as events
// after a restart.
//
// # Messages
//
// A message is in one of four states. Waiting ones are in the queue of their destination (queue.go).
//
//	state      event or decision                              next        where
//	-          Message                                        waiting     message.go: admit
//	-          Message of an unknown class                    ended, Fail message.go: admit
//	waiting    a slot, an endpoint and a token are free       in flight,  dispatch.go
//	                                                          Send
//	waiting    no time, no attempt or no lawful repeat left   ended, Fail expiry.go
//	waiting    too many messages are pending                  ended,      shedding.go
//	                                                          Reject
//	in flight  AttemptResult, Final                           ended       outcomes.go
//	in flight  AttemptResult, not Final                       waiting,    outcomes.go, backoff.go
//	                                                          with back-off
//	any        Withdrawn                                      ended       message.go: closeMessage
//	ended      the last result of an attempt in flight        forgotten   message.go: closeMessage
//
// Of the messages with one ordering key only the first is sent; after an attempt that may still run the key
// cools down (ordering.go).
//
// # Routes
//
// Health, window, rate limit and latencies are those of a route: a destination, or one endpoint where the
// kind of destination has PerEndpointRoutes.
//
//	state       event                                                 next        where
//	healthy     consecutive failures, or a high failure rate          outage      outcomes.go
//	healthy     calls in flight are not answered                      outage      route.go: accepts
//	healthy     another sender, or an earlier process, observed one   outage      learn.go
//	healthy     another sender, or an earlier process, observed       warming up  learn.go
//	            its return
//	warming up  about half as many consecutive failures               outage      outcomes.go
//	warming up  SlowStartDuration has passed                          healthy     route.go: accepts
//	healthy,    a retry-after longer than OverloadWindow              outage      outcomes.go
//	warming up
//	outage      a call is served                                      warming up  outage.go: endOutage
//
// In an outage one probe at a time is sent, at the rate of recoveryRate (slow_start.go), which also bounds
// the slow start. In any state a retry-after or a back-off closes the route (rate_limits.go, learn.go), and
// the window (restart.Window) bounds its calls in flight. An endpoint that drains or is removed gets no new
// call; calls to it of which nothing was written are revoked (revocation.go). A destination that is quiet
// hibernates (hibernation.go).
//
// # Source
//
// Time-outs are those of the restart oracle of "The Fast and the Fair" (QEST), in package restart.
// docs/design.md tells what is the paper's, what was added, and when each departure acts.
package brain
