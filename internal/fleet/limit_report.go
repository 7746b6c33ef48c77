package fleet

import (
	"context"
	"fmt"
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/quota"
)

// LimitReport is a limit as this sender has it, and as its owner has it if that is this sender.
type LimitReport struct {
	Key         string        `json:"key"`
	Description string        `json:"limit"`
	Units       int64         `json:"units"`
	Owner       string        `json:"authority"`          // under the active membership
	Granted     int64         `json:"holds"`              // units that this sender holds
	InUse       int64         `json:"busy"`               // of those, in flight or cooling down
	RemainingMS int64         `json:"left_ms"`            // of its grant
	Waiting     int64         `json:"waiting"`            // units of this sender's backlog
	Used        uint64        `json:"used"`               // by this process
	Rejected    uint64        `json:"refused"`            // calls of this process that were not written because no unit was left
	Rotating    bool          `json:"turns,omitempty"`    // there are not enough units for all senders: they rotate
	Bound       string        `json:"bound"`              // the most that a receiver sees, in words
	Outstanding *int64        `json:"out,omitempty"`      // granted or cooling down in all; at the owner
	GraceMS     int64         `json:"quiet_ms,omitempty"` // left of the owner's grace period
	Grants      []GrantReport `json:"lent,omitempty"`
}

// GrantReport is what the owner has granted to one process of a sender.
type GrantReport struct {
	Name        string `json:"name"`
	Units       int64  `json:"units"`
	Cooling     int64  `json:"rests"`
	RemainingMS int64  `json:"left_ms"`
	Wanted      int64  `json:"want"`
	WaitingMS   int64  `json:"waits_ms,omitempty"`
}

// Limits returns the fleet's limits as this sender has them.
func (n *Node) Limits(ctx context.Context) ([]LimitReport, error) {
	v := n.gate.current()
	if v == nil {
		return nil, status.Error(codes.Unavailable, "the fleet's policy is not known yet")
	}
	request := reportRequested{make(chan []quota.Report, 1)}
	n.quotas.server.Inbox.Offer(request)
	var owned []quota.Report
	select {
	case owned = <-request.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	now := n.cfg.Now()
	ownership := v.Ownership()
	all := []LimitReport{}
	for _, s := range n.quotas.allowances.Statuses(now) {
		r := LimitReport{Key: s.Limit.Key, Description: fleetpolicy.DescribeLimit(s.Limit), Units: s.Limit.Units, Granted: s.Granted, InUse: s.InUse, RemainingMS: s.Remaining.Milliseconds(), Waiting: s.Waiting,
			Used: s.Used, Rejected: s.Rejected, Rotating: s.Rotating, Bound: n.quotas.describeBound(s.Limit, len(v.Membership.GetParticipants()))}
		if p := ownership.Owner(s.Limit.Key); p != nil {
			r.Owner = p.Name
		}
		if i := slices.IndexFunc(owned, func(b quota.Report) bool { return b.Key == s.Limit.Key }); i >= 0 {
			b := owned[i]
			r.Outstanding, r.GraceMS = &b.Outstanding, b.GraceRemaining.Milliseconds()
			for _, client := range b.Clients {
				r.Grants = append(r.Grants, GrantReport{client.Name, client.Units, client.Cooling, client.Remaining.Milliseconds(), client.Wanted, client.Waiting.Milliseconds()})
			}
		}
		all = append(all, r)
	}
	return all, nil
}

// describeBound describes in words for operators what a limit guarantees in a fleet of the given number of senders.
func (q *quotaNode) describeBound(limit quota.Limit, senders int) string {
	text := fmt.Sprintf("%d in any %v at the receiver", limit.Units, limit.Span)
	if limit.Kind == quota.Daily {
		return fmt.Sprintf("%d in a day of the calendar of who is in charge; what is held as it ends may be used %v longer; what a sender holds that dies, and up to a hundredth for each authority that does, is lost for the day", limit.Units, q.terms.Duration)
	}
	if limit.Kind == quota.Concurrent {
		text = fmt.Sprintf("%d at once", limit.Units)
	}
	if limit.PartitionExtra > 0 {
		text += fmt.Sprintf(", and %d more for each sender that is cut off: %d if all %d are", limit.PartitionExtra, limit.WorstCase(senders), senders)
	}
	return text + fmt.Sprintf("; one that is cut off uses what it holds for %v at most, then %d; what it held is lent again %v after it asked last; a new authority lends anew after %v",
		q.terms.Duration, limit.Reserve+limit.PartitionExtra, q.terms.GracePeriod(limit), q.terms.GracePeriod(limit))
}
