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
	Owner       string `json:"authority"`          // that may renew or clear it; empty: an operator's
	TTLMS       int64  `json:"lasts_ms,omitempty"` // unless it is renewed, from when this sender received it
	Bound       string `json:"bound"`
}

// HealthReports shows the statuses that have not expired here.
func (n *Node) HealthReports() ([]HealthReport, error) {
	v := n.gate.current()
	if v == nil {
		return nil, status.Error(codes.Unavailable, "the fleet's policy is not known yet")
	}
	charge, all := v.Ownership(), []HealthReport{}
	for _, is := range v.Health.GetStatuses() {
		r := HealthReport{Destination: is.Destination, Status: health.Kind(is.Kind).String(), Author: is.Author, Reason: is.Reason, StartIndex: is.StartIndex, UpdateIndex: is.UpdateIndex,
			TTLMS: (time.Duration(is.TtlUs) * time.Microsecond).Milliseconds()}
		if health.Kind(is.Kind) == health.KindSuspended {
			r.Bound = fmt.Sprintf("a sender that has not heard of it begins no call %v after it was last granted a lease", n.cfg.LeaseTerms.Duration)
		} else {
			if p := charge.Owner(destinationKey(is.Destination)); p != nil {
				r.Owner = p.Name
			}
			r.Bound = fmt.Sprintf("each sender that reaches a majority goes by it within a round trip to the one in charge, %v, a commit and a round trip to a voter; one that is cut off drops it after %v",
				evaluateInterval, time.Duration(is.TtlUs)*time.Microsecond)
		}
		all = append(all, r)
	}
	return all, nil
}
