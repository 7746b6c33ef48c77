package sender

import (
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/knowledge"
)

// currentOutages returns the outages that are to be stored in the journal.
func (s *Sender) currentOutages(now time.Duration) outageSnapshot {
	o := outageSnapshot{at: now}
	for _, k := range s.brain.Outages() {
		out := outage{Dest: uint32(k.Destination), Began: now - k.OutageFor, Rate: roundRate(k.Rate)}
		if k.Health == brain.WarmingUp {
			out.RecoveringSince = now - k.HealthFor
		}
		if k.Endpoint != 0 {
			e := s.endpoints.ByNumber[k.Endpoint]
			if e == nil || len(e.ID) > maxNameBytes {
				continue
			}
			out.Endpoint = e.ID
		}
		o.list = append(o.list, out)
	}
	return o
}

// restoredOutages returns the events that inform the module of the outages that the earlier process stored last.
func (s *Sender) restoredOutages(now time.Duration) []brain.Event {
	var events []brain.Event
	for _, o := range s.journal.outages.list {
		k, listed := s.newObservation(knowledge.Subject{Destination: o.Dest, Endpoint: o.Endpoint})
		if !listed {
			continue
		}
		k.Local, k.Health, k.HealthAge = true, brain.Unhealthy, max(0, now-s.journal.outages.at)
		k.HealthFor, k.OutageFor, k.Rate = max(0, now-o.Began), max(0, now-o.Began), o.Rate
		if o.RecoveringSince != 0 {
			k.Health, k.HealthFor = brain.WarmingUp, max(0, now-o.RecoveringSince)
		}
		events = append(events, k)
	}
	return events
}
