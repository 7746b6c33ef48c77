package fleet

import (
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/health"
)

// HealthReport is a health status as this sender has it.
type HealthReport struct {
	Destination uint32 `json:"destination"`
	Status      string `json:"verdict"`
	Author      string `json:"by"`
	Reason      string `json:"why"`
	StartIndex  uint64 `json:"since"`              // entry of the log that first set it
	UpdateIndex uint64 `json:"at"`                 // of the entry that set or renewed it last
	Owner       string `json:"authority"`          // that may renew or clear it; empty: an operator set it
	TTLMS       int64  `json:"lasts_ms,omitempty"` // until it expires, from when this sender received it, unless it is renewed
	Bound       string `json:"bound"`
}

// HealthReports returns the statuses that have not expired here.
func (n *Node) HealthReports() ([]HealthReport, error) {
	v := n.gate.current()
	if v == nil {
		return nil, status.Error(codes.Unavailable, "the fleet's policy is not known yet")
	}
	ownership, all := v.Ownership(), []HealthReport{}
	for _, s := range v.Health.GetStatuses() {
		r := HealthReport{Destination: s.Destination, Status: health.Kind(s.Kind).String(), Author: s.Author, Reason: s.Reason, StartIndex: s.StartIndex, UpdateIndex: s.UpdateIndex,
			TTLMS: (time.Duration(s.TtlUs) * time.Microsecond).Milliseconds()}
		if health.Kind(s.Kind) == health.KindSuspended {
			r.Bound = fmt.Sprintf("a sender that has not heard of it begins no call %v after it was last granted a lease", n.cfg.LeaseTerms.Duration)
		} else {
			if p := ownership.Owner(destinationKey(s.Destination)); p != nil {
				r.Owner = p.Name
			}
			r.Bound = fmt.Sprintf("each sender that reaches a majority goes by it within a round trip to the one in charge, %v, a commit and a round trip to a voter; one that is cut off drops it after %v",
				evaluateInterval, time.Duration(s.TtlUs)*time.Microsecond)
		}
		all = append(all, r)
	}
	return all, nil
}
