// Package loadbalancer decides to which endpoint a request goes, for how long it may stay there, and whether it is sent at
// all. It is pure: times are of one steady clock and are passed in, and nothing here sleeps, reads or writes. It is not
// safe for concurrent use: its owner locks.
//
// Time-outs are those of a restart.Oracle for each route, calls at once those of a restart.Window for each endpoint.
package loadbalancer

import (
	"cmp"
	"slices"
	"time"

	"dockshift.example/dockshift/brain/restart"
)

// Endpoint is a line of the platform's list.
type Endpoint struct {
	Instance, Service, Address, Zone string
	Capacity                         int // requests that it works on at once, 0 if not reported
	Draining                         bool
	ColdRemaining                    time.Duration // it is slow for so long
	CacheTokens                      int64         // of an engine's memory, 0 if it is none
}

// Load is what an endpoint tells of itself.
type Load struct{ Running, Waiting, Slots int }

// Ask is one attempt of a request.
type Ask struct {
	Route, Service string
	Repeatable     bool          // it may be aborted and sent once more: idempotent, with attempts left
	First          bool          // its first attempt
	Left           time.Duration // until its deadline
	Aim            time.Duration // within which its answer has its full worth, 0 if not known
	Priority       int           // 0 is the most urgent
	Affinity       string        // whose requests share an endpoint's cache, such as a session; empty if none
	Home           string        // instance that ran what it goes on from; empty if none
	Prefix         []string      // shared parts of the prompt, outermost first
	Tokens         int64         // that it needs of an engine's memory for itself
	Tried          []string      // instances that it was sent to
}

// Verdict is what becomes of an attempt.
type Verdict uint8

const (
	Send       Verdict = iota
	Full               // all endpoints have what they bear; RetryAfter tells when there may be room
	Hopeless           // less time is left than the quickest call has taken
	NoEndpoint         // none that may be asked is known
)

// Choice is the answer to an Ask. Call is to be handed to Done, whatever became of it.
type Choice struct {
	Verdict           Verdict
	Instance, Address string
	Timeout           time.Duration // after which the attempt is aborted
	Explore           bool          // it could be restarted, and runs to its time left all the same
	RetryAfter        time.Duration
	Call              *Call
}

// Call is an attempt that is out.
type Call struct {
	at      *endpoint
	oracle  *restart.Oracle
	sent    time.Duration
	weight  float64 // of its sample, 0 if it gives none
	uncut   bool    // it runs to the time left
	probe   bool    // sent to an endpoint that is out
	ended   bool
	service *service
}

// Kind is how a call ended.
type Kind uint8

const (
	Served    Kind = iota
	Refused        // it has not run and will not: X-Not-Executed
	TimedOut       // it was aborted at its time-out
	Broken         // the connection ended after the request was sent
	Failed         // an answer of the endpoint that is a failure, or none in the protocol
	Abandoned      // the client left
	NotSent        // no connection came up, or it was gone before the first byte
	Gone           // the endpoint is found to be gone for good
)

// Outcome is the end of a call.
type Outcome struct {
	Kind        Kind
	First       time.Duration // of a served one: to the first piece of a stream, or to the whole answer
	Load        *Load         // reported with the answer; nil if it was not
	Misdirected bool          // 421: another endpoint has that address
}

// service is what is known of a service's endpoints together.
type service struct {
	list   []*endpoint // that may be asked: listed and not draining, by instance
	served meter
}

// Balancer is what one sender knows of the endpoints.
type Balancer struct {
	zone      string
	random    uint64
	turn      int // of the endpoint that a search starts at
	endpoints map[string]*endpoint
	services  map[string]*service
	routes    map[string]*restart.Oracle
}

// New makes the load balancer of a sender in that zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, random: hash(zone), endpoints: map[string]*endpoint{}, services: map[string]*service{},
		routes: map[string]*restart.Oracle{}}
}

// SetEndpoints takes a whole list. What is known of an instance stays with it; one that has left the list gets nothing
// new, and is forgotten when no call is out there.
func (balancer *Balancer) SetEndpoints(now time.Duration, list []Endpoint) {
	for _, endpoint := range balancer.endpoints {
		endpoint.listed = false
	}
	for _, service := range balancer.services {
		service.list = service.list[:0]
	}
	for _, line := range list {
		endpoint := balancer.endpoints[line.Instance]
		if endpoint == nil {
			endpoint = newEndpoint(line, now)
			balancer.endpoints[line.Instance] = endpoint
		}
		if endpoint.listed { // twice in the list
			continue
		}
		endpoint.Endpoint, endpoint.listed, endpoint.coldUntil = line, true, now+line.ColdRemaining
		endpoint.local = line.Zone == balancer.zone
		if line.Draining {
			continue
		}
		service := balancer.service(line.Service)
		service.list = append(service.list, endpoint)
	}
	for name, endpoint := range balancer.endpoints {
		if !endpoint.listed && endpoint.calls == 0 {
			delete(balancer.endpoints, name)
		}
	}
	for name, service := range balancer.services {
		if len(service.list) == 0 {
			delete(balancer.services, name)
		}
		slices.SortFunc(service.list, func(x, y *endpoint) int { return cmp.Compare(x.Instance, y.Instance) })
	}
}

// Stands reports whether requests may still go to an instance: it is listed, does not drain, and has its address.
func (balancer *Balancer) Stands(instance string) bool {
	endpoint := balancer.endpoints[instance]
	return endpoint != nil && endpoint.listed && !endpoint.Draining && !endpoint.misdirected
}

// KeepRoutes forgets what was seen of all other routes, for when the configuration has changed.
func (balancer *Balancer) KeepRoutes(keep func(route string) bool) {
	for name := range balancer.routes {
		if !keep(name) {
			delete(balancer.routes, name)
		}
	}
}

// service is what is known of a service, made where it is new.
func (balancer *Balancer) service(name string) *service {
	s := balancer.services[name]
	if s == nil {
		s = &service{}
		balancer.services[name] = s
	}
	return s
}

// oracle is what is known of a route's latencies, made where it is new.
func (balancer *Balancer) oracle(route string) *restart.Oracle {
	oracle := balancer.routes[route]
	if oracle == nil {
		oracle = &restart.Oracle{}
		balancer.routes[route] = oracle
	}
	return oracle
}

// draw is the next random number below n (splitmix64).
func (balancer *Balancer) draw(n uint64) uint64 {
	balancer.random += 0x9e3779b97f4a7c15
	return mix(balancer.random) % n
}

// mix spreads the bits of a number over all of it (the finalizer of splitmix64).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
