// Package restart has the decisions on one destination or route that both programs share: after which time-out a call is
// aborted and retried (Oracle), and how many calls may be in flight at once (Window).
//
// The Oracle is that of "The Fast and the Fair" (QEST, section III.D): from a histogram of latencies it selects the bound
// tau that minimises the expected time of a call which is restarted at tau until it is served,
//
//	E(tau) = mean(tau)/F(tau) + (1-F(tau))/F(tau) * (tau+c)
//
// with the share F(tau) of the calls that take no longer than tau, their mean, and the cost c of a restart. The time-out
// doubles when it expires, until a first attempt is served again. docs/design.md lists the additions.
//
// The package is pure: all times are those of one monotonic clock and are passed in; nothing is read, stored or logged.
package restart
