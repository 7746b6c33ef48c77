package sender

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/knowledge"
)

// A process that restarts while a receiver is out, or comes back cold, finds messages for it taken on and knows nothing of
// that: it would send them all at once, and so would every other process of a release. So the journal keeps, beside the usual
// rates and as often, who is out and since when, and the next process begins there.

// outage is a receiver that is out of service, or comes back. Times are the clock's.
type outage struct {
	Dest            uint32        `json:"dest"`
	Endpoint        string        `json:"endpoint,omitempty"` // of a route apart
	Began           time.Duration `json:"began"`
	RecoveringSince time.Duration `json:"back,omitempty"` // it has answered again since then
	Rate            float64       `json:"rate,omitempty"` // calls a second usually served there, by this sender
}

// outageSnapshot is all of them as of a time.
type outageSnapshot struct {
	at   time.Duration
	list []outage
}

func roundRate(r float64) float64 { return math.Round(r*1000) / 1000 }

// truncated is those where most is sent, as many as fit into so many bytes.
func (o outageSnapshot) truncated(most int) outageSnapshot {
	kept := outageSnapshot{at: o.at}
	all := slices.Clone(o.list)
	slices.SortStableFunc(all, func(x, y outage) int { return cmp.Compare(y.Rate, x.Rate) })
	for _, out := range all {
		raw, err := json.Marshal(out) // a rate that is no number is none
		if most -= len(raw) + 1; err == nil && most < 0 {
			break
		}
		if err == nil {
			kept.list = append(kept.list, out)
		}
	}
	return kept
}

// currentOutages is what the journal is to keep.
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

// restoredOutages tells the module who was out as the earlier process wrote that down last.
func (s *Sender) restoredOutages(now time.Duration) []brain.Event {
	var events []brain.Event
	for _, o := range s.journal.outages.list {
		k, listed := s.newLearnt(knowledge.Subject{Destination: o.Dest, Endpoint: o.Endpoint})
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
