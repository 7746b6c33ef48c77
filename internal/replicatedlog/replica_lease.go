package replicatedlog

import (
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// renewInterval is how often a lease is asked for: three times in its length, so that two answers may be lost.
func (c *Replica) renewInterval() time.Duration { return c.terms.Duration / 3 }

// requestLease asks for a lease when it is time, or when there is something that a change waits for.
func (c *Replica) requestLease(now time.Duration) (next time.Duration) {
	told := [4]uint64{0, c.staged, c.rejectedChange, 0}
	if s := c.membership.State(); s.NextEpoch != 0 && c.actingIndex >= s.FenceIndex {
		told[3] = s.FenceIndex
	}
	if o := c.policy.State().GetOpenChange(); o != nil && o.FreezeIndex != 0 && c.actingIndex >= o.FreezeIndex {
		told[0] = o.FreezeIndex
	} else if o != nil {
		told[0] = 1
	}
	if due := c.requestedAt + c.renewInterval(); c.requestedAt >= 0 && told == c.reported && now < due {
		return due
	}
	c.requestedAt, c.reported = now, told
	r := &pb.LeaseRequest{Name: c.name, Incarnation: c.incarnation, ActingIndex: c.actingIndex, MaxCommandKind: MaxCommandKind, Address: c.address}
	if c.staged != 0 {
		r.Staged = append(r.Staged, &pb.StagedChange{ChangeId: c.staged})
	}
	if c.rejectedChange != 0 {
		r.Staged = append(r.Staged, &pb.StagedChange{ChangeId: c.rejectedChange, Rejection: c.rejection})
	}
	c.actions = append(c.actions, SendLeaseRequest{c.holder.Request(now), r})
	return now + c.renewInterval()
}

// submitJoin hands in that this sender belongs to the fleet, until the state says so.
func (c *Replica) submitJoin(now time.Duration) {
	if m := c.state.Member(c.name); m != nil && (m.MaxCommandKind == MaxCommandKind || m.Removed) || c.state.Index() == 0 {
		return
	}
	if c.joinSubmittedAt >= 0 && now-c.joinSubmittedAt < c.renewInterval() {
		return
	}
	c.joinSubmittedAt = now
	c.actions = append(c.actions, SubmitJoin{&pb.Join{Name: c.name, MaxCommandKind: MaxCommandKind}})
}
