package nameserver

import (
	"time"

	"saffronyard.example/saffronyard/internal/membership"
)

// ZoneState is the state of a zone in a Report.
type ZoneState struct {
	Name    string `json:"name"`
	From    string `json:"from"`
	State   string `json:"state"` // "held", "expired", or "never had" for a zone that was never loaded
	Serial  uint32 `json:"serial"`
	Records int    `json:"records"`
	ForMS   int64  `json:"for_ms"` // time since the version became current
	Behind  bool   `json:"behind,omitempty"`
	Fault   string `json:"fault,omitempty"`
}

// Report is the state of a service, in the JSON of the command line.
type Report struct {
	Address string                   `json:"address,omitempty"`
	Zones   []ZoneState              `json:"zones"`
	Members []membership.MemberState `json:"members"`
	Counts  map[string]int64         `json:"counts"`
}

// Report returns the state of zones, members and counters.
func (s *Service) Report() Report {
	r := Report{Address: s.Address(), Zones: []ZoneState{}, Counts: map[string]int64{}}
	for _, z := range s.zoneList {
		z.mu.Lock()
		v := z.current.Load()
		st := ZoneState{Name: z.config.Name, From: z.config.File, State: "held", Behind: z.fileBehind, Fault: z.lastFault, ForMS: time.Since(z.currentSince).Milliseconds()}
		z.mu.Unlock()
		if z.config.Primary != "" {
			st.From = z.config.Primary
		}
		switch {
		case v.Zone == nil:
			st.State = "never had"
		case v.expired:
			st.State = "expired"
		}
		if v.Zone != nil {
			st.Serial, st.Records = v.Serial(), v.Records()
		}
		r.Zones = append(r.Zones, st)
	}
	n := &s.server.counts
	for name, c := range map[string]int64{"queries": n.queries.Load(), "updates": n.updates.Load(), "refused": n.refused.Load(),
		"notifies": n.notifies.Load(), "transfers": n.transfers.Load(), "dropped": n.dropped.Load()} {
		r.Counts[name] = c
	}
	s.mu.Lock()
	r.Members = s.follower.MemberStates()
	s.mu.Unlock()
	if r.Members == nil {
		r.Members = []membership.MemberState{}
	}
	return r
}
