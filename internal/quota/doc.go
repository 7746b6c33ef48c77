// Package quota shares limits that no sender can check alone among the senders of a fleet. It does no I/O and reads no clock.
//
// A limit is a number of units. One sender at a time owns it (package coordinator): its Server grants units to the Client of each
// sender for a bounded time, as a lease does. A unit that was used cools down for the limit's span before anybody may use it again.
// So in no span are there more uses than units, however they are spread, and no sender has to see what the others do. (Compare
// the hierarchical token allocation of Raghavan et al., "Cloud control with distributed rate limiting", SIGCOMM 2007; here units are
// leased, so that the bound holds under partitions as well.)
//
// A grant expires. A client counts it from before its request; the server counts it from when it granted, longer by how far two clocks
// may drift apart, and then for the units' cool-down, as they may have been used at the last moment (Limit.ReclaimDelay). With each request a
// client promises how many units it keeps at the most; what it gives up is free at once, but for what still cools down.
//
// A new owner knows nothing of what the former one granted. During its grace period it confirms what clients say that they hold, which
// together is no more than was granted, and grants nothing else.
//
// States of a unit, as the server's GrantTable accounts for it:
//
//	state     event                                                  next
//	free      granted to a client                                    granted
//	granted   the client's next request gives it up, unused          free
//	granted   the client's next request gives it up, used            cooling, for the time that the request tells
//	granted   the grant expires without a request                    reclaiming, for ReclaimDelay
//	cooling   the time has passed                                    free
//	reclaiming the time has passed                                   free
//
// States of a unit at the client's Allowance: available, in flight (Concurrent only, until Release), cooling (an entry of the usage log),
// available again while the grant lasts.
//
// A daily quota (kind Daily) is different: a unit is used once. What outlasts every process is how many units were drawn for the day,
// which the replicated log counts; a DailyPool draws some before it grants them.
//
// Calls take units from Allowances in their own goroutines; Client and Server are state machines, each stepped by one goroutine. Nothing but
// the drawn daily units is persisted.
package quota
