package loadbalancer

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// Endpoint is an entry of the platform's endpoint list.
type Endpoint struct {
	Instance, Service, Address, Zone string
	Capacity                         int // requests that it runs at once; 0: not reported
	Draining                         bool
	SlowStartRemaining               time.Duration // until it has warmed up; 0: it has
	CacheTokens                      int64         // size of an inference engine's KV cache; 0: it is no engine
}

// service is the endpoints of one service.
type service struct {
	endpoints  []*endpoint // listed and not draining, sorted by instance
	servedRate rateMeter   // of served calls
}

// maxFirstRotation bounds the initial rotation of a sender. It is far above the number of endpoints of a service.
const maxFirstRotation = 1 << 20

// Balancer is the load balancer of one sender, with its observations of endpoints and routes. Its owner must lock it.
type Balancer struct {
	zone         string
	randomState  uint64
	rotation     int                        // offset at which a search begins; it grows with each pick
	endpoints    map[string]*endpoint       // by instance: listed ones, and unlisted ones with calls in flight
	services     map[string]*service        // by name: those that have endpoints
	routeOracles map[string]*restart.Oracle // by route: estimates from the latencies of calls
	gapOracles   map[string]*restart.Oracle // by route: estimates from the longest gap between two events of each stream
	reports      Reports                    // since TakeReports
}

// New returns the load balancer of a sender in a zone. The sender's name seeds its random choices and its initial rotation: otherwise
// hundreds of senders without observations would all select the same few endpoints.
func New(zone, sender string) *Balancer {
	seed := hash(sender)
	return &Balancer{zone: zone, randomState: seed, rotation: int(mix(seed) % maxFirstRotation), endpoints: map[string]*endpoint{}, services: map[string]*service{},
		routeOracles: map[string]*restart.Oracle{}, gapOracles: map[string]*restart.Oracle{}}
}

// SetEndpoints replaces the list of endpoints. The observations of an instance that remains are kept. An instance that is no longer
// listed gets no new requests, and is removed when its last call has ended.
func (balancer *Balancer) SetEndpoints(now time.Duration, listed []Endpoint) {
	for _, endpoint := range balancer.endpoints {
		endpoint.listed = false
	}
	for _, service := range balancer.services {
		service.endpoints = service.endpoints[:0]
	}
	for _, entry := range listed {
		endpoint := balancer.endpoints[entry.Instance]
		if endpoint == nil {
			endpoint = newEndpoint(entry, now)
			endpoint.reports = &balancer.reports
			balancer.endpoints[entry.Instance] = endpoint
		}
		if endpoint.listed { // listed twice
			continue
		}
		endpoint.Endpoint, endpoint.listed, endpoint.slowStartUntil = entry, true, now+entry.SlowStartRemaining
		endpoint.sameZone = entry.Zone == balancer.zone
		if entry.Draining {
			continue
		}
		service := balancer.service(entry.Service)
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

// RetainRoutes drops the observations of the routes for which keep returns false, after a change of the configuration.
func (balancer *Balancer) RetainRoutes(keep func(route string) bool) {
	for name := range balancer.routeOracles {
		if !keep(name) {
			delete(balancer.routeOracles, name)
			delete(balancer.gapOracles, name)
		}
	}
}

// service returns the service of a name, and creates it if there is none.
func (balancer *Balancer) service(name string) *service {
	s := balancer.services[name]
	if s == nil {
		s = &service{}
		balancer.services[name] = s
	}
	return s
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

// hash returns a well-mixed hash of a name.
func hash(name string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(name))
	return mix(sum.Sum64())
}
