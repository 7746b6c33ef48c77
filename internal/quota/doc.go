// Package quota enforces limits that apply to all senders of a fleet together. It does no I/O and reads no clock.
//
// A limit is a number of units. One sender at a time owns it (package coordinator): the owner's Server grants units to the Client of
// each sender for a bounded time, like a lease. A used unit cools down for the limit's span before any sender may use it again. So in
// no span are there more uses than units, however the uses are distributed among senders, and no sender has to observe the others.
// (Compare the hierarchical token allocation of Raghavan et al., "Cloud control with distributed rate limiting", SIGCOMM 2007; here
// units are leased, so that the bound holds under partitions as well.)
//
// A grant expires. The client counts its duration from before the request. The server counts it from the time of granting, adds the
// maximum drift between two clocks, and then the cool-down of the units, as they may have been used at the last moment
// (Limit.ReclaimDelay). Each request declares the maximum number of units that the client keeps; units that it gives up are free at
// once, except those that still cool down.
//
// A new owner has no record of the grants of the former owner. During its grace period it only confirms the units that clients
// report to hold, which together are no more than the former owner granted, and grants no other units.
//
// States of a unit in the server's GrantTable:
//
//	state     event                                                  next
//	free      granted to a client                                    granted
//	granted   the client's next request gives it up, unused          free
//	granted   the client's next request gives it up, used            cooling, for the time given in the request
//	granted   the grant expires without a request                    reclaiming, for ReclaimDelay
//	cooling   the time has passed                                    free
//	reclaiming the time has passed                                   free
//
// States of a unit in the client's Allowance: available, in flight (Concurrent only, until Release), cooling (an entry of the usage log),
// available again until the grant expires.
//
// A unit of a daily quota (kind Daily) is used only once. The replicated log counts the units drawn for the day, so that the count
// survives the end of any process; a DailyPool draws units from the log before it grants them.
//
// Calls take units from Allowances in their own goroutines; Client and Server are state machines, each stepped by one goroutine. Only the
// drawn daily units are persisted.
package quota
