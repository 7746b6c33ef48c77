package sender

import (
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/knowledge"
)

// newObservation returns an empty observation of a receiver or route; false if the endpoint list does not contain it.
func (s *Sender) newObservation(subject knowledge.Subject) (e brain.Observation, listed bool) {
	e.Destination = brain.DestinationID(subject.Destination)
	if subject.Endpoint == "" {
		_, listed = s.endpoints.Destinations[subject.Destination]
		return e, listed
	}
	endpoint := s.endpoints.ByID[subject.Endpoint]
	if endpoint == nil || endpoint.Entry.Destination != e.Destination {
		return e, false
	}
	e.Endpoint = endpoint.Number
	return e, true
}

// applyFacts sets the fields of the module's observation from facts.
func applyFacts(e *brain.Observation, facts []knowledge.Fact, now time.Duration) {
	for _, f := range facts {
		age := max(0, now-f.ObservedAt)
		switch f.Kind {
		case knowledge.Latency:
			e.Samples, e.MeanLatency, e.MedianLatency, e.MinLatency, e.Timeout, e.LatencyAge = int(f.Calls), f.Mean, f.Median, f.Min, f.Timeout, age
		case knowledge.Concurrency:
			e.Window, e.WindowAge = f.Window, age
		case knowledge.RateLimit:
			e.Limit, e.LimitAge = f.PerSecond, age
		case knowledge.RetryAfter:
			e.RetryAfter = max(0, f.Until-now)
		case knowledge.Health:
			e.Health, e.HealthFor, e.HealthAge, e.Rate = brain.Health(f.State), max(0, now-f.Since), age, f.Rate
		}
	}
}

// factsOf returns the facts in the module's observation of a receiver or route.
func factsOf(k brain.Observation, endpoint string, now time.Duration) []knowledge.Fact {
	var all []knowledge.Fact
	add := func(kind knowledge.Kind, age time.Duration, v knowledge.Value) {
		all = append(all, knowledge.Fact{Subject: knowledge.Subject{Destination: uint32(k.Destination), Endpoint: endpoint}, Kind: kind,
			ObservedAt: now - max(0, age), Calls: uint32(max(0, k.Samples)), Value: v})
	}
	if k.Samples > 0 {
		add(knowledge.Latency, k.LatencyAge, knowledge.Value{Mean: k.MeanLatency, Median: k.MedianLatency, Min: k.MinLatency, Timeout: k.Timeout})
	}
	if k.Window > 0 {
		add(knowledge.Concurrency, k.WindowAge, knowledge.Value{Window: k.Window})
	}
	if k.Limit > 0 {
		add(knowledge.RateLimit, k.LimitAge, knowledge.Value{PerSecond: k.Limit})
	}
	if k.RetryAfter > 0 {
		add(knowledge.RetryAfter, 0, knowledge.Value{Until: now + k.RetryAfter})
	}
	if k.Health != brain.HealthUnknown {
		add(knowledge.Health, min(k.HealthAge, k.HealthFor), knowledge.Value{State: knowledge.State(k.Health), Since: now - max(0, k.HealthFor), Rate: k.Rate})
	}
	return all
}

// knownFacts returns all that the module has observed, as this sender's own facts. The result is cached and reused for the same now.
func (s *Sender) knownFacts(now time.Duration) []knowledge.Fact {
	if s.knownFactsAt == now && s.knownFactsCache != nil { // several extensions call this in one tick
		return s.knownFactsCache
	}
	s.knownFactsAt, s.knownFactsCache = now, s.factsFrom(s.brain.Observations(), now)
	return s.knownFactsCache
}

// factsFrom returns the facts in some of the module's observations.
func (s *Sender) factsFrom(known []brain.Observation, now time.Duration) []knowledge.Fact {
	var all []knowledge.Fact
	for _, k := range known {
		id := ""
		if k.Endpoint != 0 {
			e := s.endpoints.ByNumber[k.Endpoint]
			if e == nil {
				continue
			}
			id = e.ID
		}
		all = append(all, factsOf(k, id, now)...)
	}
	return all
}
