package loadbalancer

import (
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// minUnresponsiveTimeout is the least unresponsiveTimeout: a lost SYN is retransmitted within about this time.
const minUnresponsiveTimeout = 300 * time.Millisecond

// routeOracle returns the latency estimate of a route, and creates it if there is none.
func (balancer *Balancer) routeOracle(route string) *restart.Oracle {
	return oracleOf(balancer.routeOracles, route)
}

// oracleOf returns the estimate of a route, and creates it if there is none.
func oracleOf(oracles map[string]*restart.Oracle, route string) *restart.Oracle {
	oracle := oracles[route]
	if oracle == nil {
		oracle = &restart.Oracle{}
		oracles[route] = oracle
	}
	return oracle
}

// StallTimeout is the gap between two events of a route's stream after which another endpoint should resume the stream. It is estimated
// from gaps as the time-out of an attempt is from latencies. initial is the time-out while there are few samples.
func (balancer *Balancer) StallTimeout(route string, initial time.Duration) time.Duration {
	return attemptTimeout(oracleOf(balancer.gapOracles, route), initial)
}

// attemptTimeout is the time-out of an estimate. While there are few samples it is scaled by the ratio of initial to
// restart.FirstTimeout, but not below twice the mean of the samples.
func attemptTimeout(oracle *restart.Oracle, initial time.Duration) time.Duration {
	return scaleTimeout(oracle, oracle.Timeout(), initial)
}

// optimalTimeout is attemptTimeout without the doublings by expired calls.
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

// unresponsiveTimeout is Call.unresponsiveTimeout for the estimate of a route, whose time-out is initial while there are few samples.
// It is never below initial, which is set for streams: their first event may wait for a slot of a healthy endpoint, and latencies
// without load do not include that wait.
func unresponsiveTimeout(oracle *restart.Oracle, initial time.Duration) time.Duration {
	return max(minUnresponsiveTimeout, initial, min(optimalTimeout(oracle, initial), restart.FirstTimeout))
}
