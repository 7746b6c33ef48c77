// Package loadbalancer decides to which endpoint a request goes, after what time-out it is aborted there, and whether it is
// sent at all. It is pure: times are of one steady clock and are passed in, and nothing here sleeps, reads or writes. It is
// not safe for concurrent use: its owner locks.
//
// Time-outs are those of a restart.Oracle for each route; how many calls may be out at once is that of a restart.Window for
// each endpoint.
package loadbalancer

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// Endpoint is an entry of the platform's list.
type Endpoint struct {
	Instance, Service, Address, Zone string
	Capacity                         int // requests that it runs at once, 0 if not reported
	Draining                         bool
	SlowStartRemaining               time.Duration // until it has warmed up: it is slow so far
	CacheTokens                      int64         // size of an engine's cache, 0 if it is no engine
}

// Load is what an endpoint reports of itself: requests that run and that wait, and how many may run at once.
type Load struct{ Running, Waiting, Slots int }

// Request is one attempt of a request.
type Request struct {
	Route, Service     string
	Retryable          bool          // it may be aborted and sent once more: idempotent, with attempts left
	FirstAttempt       bool          // its first attempt
	InitialTimeout     time.Duration // time-out while few samples are known, where it is below restart.FirstTimeout; 0: that
	Remaining          time.Duration // until its deadline
	LatencyTarget      time.Duration // target latency of its answer, 0 if not known
	Priority           int           // 0 is the highest
	AffinityKey        string        // key of the requests that share an endpoint's cache, such as a session; empty if none
	StickyInstance     string        // instance that ran the request before it; empty if none
	PromptPrefixes     []string      // shared parts of the prompt, outermost first
	CacheTokens        int64         // that it needs of an engine's cache
	AttemptedInstances []string      // instances that it was sent to, one entry for each attempt
}

// Decision is the decision on an attempt.
type Decision uint8

const (
	Send             Decision = iota
	AtCapacity                // all endpoints are at their limit; RetryAfter is when one may have room
	DeadlineTooShort          // less time is left than the quickest call has taken
	NoEndpoint                // no endpoint that accepts the request is listed
)

// Selection is the answer to an Ask. Its Call must be passed to Done, whatever the outcome.
type Selection struct {
	Decision          Decision
	Instance, Address string
	Timeout           time.Duration // after which the attempt is aborted
	Exploratory       bool          // it could be restarted, and runs until its deadline instead, as a sample
	RetryAfter        time.Duration
	Call              *Call
}

// Call is an attempt that has been sent and has not ended.
type Call struct {
	endpoint       *endpoint
	oracle         *restart.Oracle
	gapOracle      *restart.Oracle // of its route's pauses
	sentAt         time.Duration
	initialTimeout time.Duration // as in Ask
	sampleWeight   float64       // of its latency sample, 0 if it gives none
	runsToDeadline bool          // its time-out is its deadline
	probe          bool          // sent to an ejected endpoint
	done           bool
	service        *service
}

// OutcomeKind is how a call ended.
type OutcomeKind uint8

const (
	Served   OutcomeKind = iota
	Rejected             // it has not run and will not: X-Not-Executed
	TimedOut             // it was aborted at its time-out
	Broken               // the connection ended after the request was sent
	Failed               // the endpoint answered with a failure, or not by the protocol
	Canceled             // the client left
	NotSent              // no connection was made, or it ended before the first byte
	Gone                 // the endpoint is gone for good
	Stalled              // it was aborted after a silence between two pieces
)

// Outcome is the end of a call.
type Outcome struct {
	Kind        OutcomeKind
	Latency     time.Duration // latency of a served one: to the first piece of a stream, or to the whole answer
	LongestGap  time.Duration // longest silence between two pieces of a served stream; 0 where it had fewer
	Load        *Load         // reported with the answer; nil if there was none
	Misdirected bool          // 421: another endpoint has that address
}

// service is what is known of a service's endpoints together.
type service struct {
	endpoints  []*endpoint // that requests may be sent to: listed and not draining, sorted by instance
	servedRate rateMeter
}

// Balancer is the load balancer of one sender, with what it has observed of endpoints and routes.
type Balancer struct {
	zone         string
	randomState  uint64
	rotation     int // offset at which a search begins; it grows with each pick
	endpoints    map[string]*endpoint
	services     map[string]*service
	routeOracles map[string]*restart.Oracle
	reports      Reports                    // since TakeReports
	gapOracles   map[string]*restart.Oracle // by route: of the longest silence between two pieces of a stream
}

// New makes the load balancer of a sender in a zone. What it draws at random differs from sender to sender, by their names.
func New(zone, sender string) *Balancer {
	return &Balancer{zone: zone, randomState: hash(sender), endpoints: map[string]*endpoint{}, services: map[string]*service{},
		routeOracles: map[string]*restart.Oracle{}, gapOracles: map[string]*restart.Oracle{}}
}

// SetEndpoints replaces the list of endpoints. What has been observed of an instance is kept with it. One that is no longer
// listed gets no new requests, and is removed when its last call has ended.
func (balancer *Balancer) SetEndpoints(now time.Duration, list []Endpoint) {
	for _, endpoint := range balancer.endpoints {
		endpoint.listed = false
	}
	for _, service := range balancer.services {
		service.endpoints = service.endpoints[:0]
	}
	for _, line := range list {
		endpoint := balancer.endpoints[line.Instance]
		if endpoint == nil {
			endpoint = newEndpoint(line, now)
			endpoint.reports = &balancer.reports
			balancer.endpoints[line.Instance] = endpoint
		}
		if endpoint.listed { // twice in the list
			continue
		}
		endpoint.Endpoint, endpoint.listed, endpoint.slowStartUntil = line, true, now+line.SlowStartRemaining
		endpoint.sameZone = line.Zone == balancer.zone
		if line.Draining {
			continue
		}
		service := balancer.service(line.Service)
		service.endpoints = append(service.endpoints, endpoint)
	}
	for name, endpoint := range balancer.endpoints {
		if !endpoint.listed && endpoint.inFlight == 0 {
			delete(balancer.endpoints, name)
		}
	}
	for name, service := range balancer.services {
		if len(service.endpoints) == 0 {
			delete(balancer.services, name)
		}
		slices.SortFunc(service.endpoints, func(x, y *endpoint) int { return cmp.Compare(x.Instance, y.Instance) })
	}
}

// Available reports whether requests may still go to an instance: it is listed, is not draining, and still has its address.
func (balancer *Balancer) Available(instance string) bool {
	endpoint := balancer.endpoints[instance]
	return endpoint != nil && endpoint.listed && !endpoint.Draining && !endpoint.misdirected
}

// RetainRoutes drops what was observed of the routes that keep does not report, for when the configuration has changed.
func (balancer *Balancer) RetainRoutes(keep func(route string) bool) {
	for name := range balancer.routeOracles {
		if !keep(name) {
			delete(balancer.routeOracles, name)
			delete(balancer.gapOracles, name)
		}
	}
}

// service returns the record of a service, made where it is new.
func (balancer *Balancer) service(name string) *service {
	s := balancer.services[name]
	if s == nil {
		s = &service{}
		balancer.services[name] = s
	}
	return s
}

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

// StallTimeout is the silence between two pieces of a route's stream after which it is better to have another endpoint go on:
// the optimum of the same estimate over pauses. first is the time-out while few are known.
func (balancer *Balancer) StallTimeout(route string, first time.Duration) time.Duration {
	return attemptTimeout(oracleOf(balancer.gapOracles, route), first)
}

// attemptTimeout is the time-out of an estimate. While it has few samples it is in proportion to first instead of
// restart.FirstTimeout, and at least twice the mean of those.
func attemptTimeout(oracle *restart.Oracle, first time.Duration) time.Duration {
	return scaleTimeout(oracle, oracle.Timeout(), first)
}

// optimalTimeout is that time-out without the doublings by expired calls.
func optimalTimeout(oracle *restart.Oracle, first time.Duration) time.Duration {
	return scaleTimeout(oracle, oracle.Optimum(), first)
}

// scaleTimeout is timeoutOf for a time-out of the estimate.
func scaleTimeout(oracle *restart.Oracle, timeout, first time.Duration) time.Duration {
	if oracle.Seen >= restart.FewSamples || first <= 0 || first >= restart.FirstTimeout {
		return timeout
	}
	proportional := time.Duration(float64(timeout) * float64(first) / float64(restart.FirstTimeout))
	return max(proportional, min(timeout, time.Duration(2*oracle.Mean*float64(time.Second))))
}

// Reports are what other senders should hear of.
type Reports struct {
	Ejected  []string // instances ejected by what this sender has observed, failed probes of ejected ones included
	Restored []string // instances that were ejected by the word of others, and that have answered
}

// TakeReports returns the reports since it was called last.
func (balancer *Balancer) TakeReports() Reports {
	taken := balancer.reports
	balancer.reports = Reports{}
	return taken
}

// EjectReported ejects an endpoint that other senders have ejected, as long as that leaves half of its service's. Unless this sender
// is to probe it, it sends nothing there for hold, within which it should hear more.
func (balancer *Balancer) EjectReported(now time.Duration, instance string, isProber bool, probeDelay time.Duration) {
	endpoint := balancer.endpoints[instance]
	if endpoint == nil {
		return
	}
	service := balancer.services[endpoint.Service]
	if service == nil || !endpoint.ejected && !service.mayEject() {
		return
	}
	if !endpoint.ejected {
		endpoint.eject(now)
	}
	endpoint.ejectionShared = true
	if !isProber {
		endpoint.nextProbeAt = max(endpoint.nextProbeAt, now+probeDelay)
	}
}

// RestoreReported ends an ejection, as the endpoint has answered another sender.
func (balancer *Balancer) RestoreReported(instance string) {
	if endpoint := balancer.endpoints[instance]; endpoint != nil && endpoint.ejectionShared {
		endpoint.ejectionShared = false
		endpoint.restore()
	}
}

// draw returns the next random number below n (splitmix64).
func (balancer *Balancer) draw(n uint64) uint64 {
	balancer.randomState += 0x9e3779b97f4a7c15
	return mix(balancer.randomState) % n
}

// mix spreads the bits of a number over all of it (the finalizer of splitmix64).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
