package loadbalancer

import (
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// minUnresponsiveTimeout is a bound of unresponsiveTimeout: a lost SYN is retransmitted within about so long.
const minUnresponsiveTimeout = 300 * time.Millisecond

// routeOracle returns the latency estimate of a route, made where it is new.
func (balancer *Balancer) routeOracle(route string) *restart.Oracle {
	return oracleOf(balancer.routeOracles, route)
}

// oracleOf returns the estimate of a route, made where it is new.
func oracleOf(oracles map[string]*restart.Oracle, route string) *restart.Oracle {
	oracle := oracles[route]
	if oracle == nil {
		oracle = &restart.Oracle{}
		oracles[route] = oracle
	}
	return oracle
}

// StallTimeout is the gap between two events of a route's stream after which it is better to have another endpoint resume it:
// the optimum of the same estimate over gaps. initial is the time-out while few samples are known.
func (balancer *Balancer) StallTimeout(route string, initial time.Duration) time.Duration {
	return attemptTimeout(oracleOf(balancer.gapOracles, route), initial)
}

// attemptTimeout is the time-out of an estimate. While it has few samples it is in proportion to initial instead of
// restart.FirstTimeout, and at least twice the mean of those.
func attemptTimeout(oracle *restart.Oracle, initial time.Duration) time.Duration {
	return scaleTimeout(oracle, oracle.Timeout(), initial)
}

// optimalTimeout is that time-out without the doublings by expired calls.
func optimalTimeout(oracle *restart.Oracle, initial time.Duration) time.Duration {
	return scaleTimeout(oracle, oracle.Optimum(), initial)
}

// scaleTimeout is attemptTimeout for a given time-out of the estimate.
func scaleTimeout(oracle *restart.Oracle, timeout, initial time.Duration) time.Duration {
	if oracle.Samples >= restart.MinSamples || initial <= 0 || initial >= restart.FirstTimeout {
		return timeout
	}
	proportional := time.Duration(float64(timeout) * float64(initial) / float64(restart.FirstTimeout))
	return max(proportional, min(timeout, time.Duration(2*oracle.MeanSeconds*float64(time.Second))))
}

// unresponsiveTimeout is how long a call may have no response before its endpoint counts as unresponsive: the time-out of its route
// before any doubling, whether or not the call itself may be retried.
func (call *Call) unresponsiveTimeout() time.Duration {
	return unresponsiveTimeout(call.oracle, call.initialTimeout)
}

// unresponsiveTimeout is the same for a route whose time-out is initial while few samples are known. For a stream it is never less
// than that: its first event may wait for a slot of a healthy endpoint, and latencies without load tell nothing of that wait.
func unresponsiveTimeout(oracle *restart.Oracle, initial time.Duration) time.Duration {
	return max(minUnresponsiveTimeout, initial, min(optimalTimeout(oracle, initial), restart.FirstTimeout))
}
