package replicatedlog

import (
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// leaseReport is the part of a lease request that a change or a membership may wait for. When it differs from the last request's, a
// request is sent at once.
type leaseReport struct {
	freezePassed     uint64 // the open change's freeze index once this sender acts at it; until then 1; 0: no change is open
	staged           uint64 // change
	rejected         uint64 // change
	membershipPassed uint64 // the proposed membership's fence index once this sender acts at it; until then, and without a proposal, 0
}

// renewInterval is the time between lease requests: a third of the lease's duration, so that two replies may be lost.
func (r *Replica) renewInterval() time.Duration { return r.terms.Duration / 3 }

// retryLeaseRequest makes the next request due an eighth of the renewal interval from now at the latest.
func (r *Replica) retryLeaseRequest(now time.Duration) {
	r.requestedAt = min(r.requestedAt, now-r.renewInterval()+r.renewInterval()/8)
}

// requestLease requests a lease when the renewal interval is over, or when the report that a change may wait for differs from the last
// one. next is when the next renewal is due.
func (r *Replica) requestLease(now time.Duration) (next time.Duration) {
	report := r.leaseReport()
	if due := r.requestedAt + r.renewInterval(); r.requestedAt >= 0 && report == r.reported && now < due {
		return due
	}
	r.requestedAt, r.reported = now, report
	request := &pb.LeaseRequest{Name: r.name, Incarnation: r.incarnation, ActingIndex: r.actingIndex, MaxCommandKind: MaxCommandKind, Address: r.address}
	if r.staged != 0 {
		request.Staged = append(request.Staged, &pb.StagedChange{ChangeId: r.staged})
	}
	if r.rejectedChange != 0 {
		request.Staged = append(request.Staged, &pb.StagedChange{ChangeId: r.rejectedChange, Rejection: r.rejection})
	}
	r.emit(SendLeaseRequest{RequestedAt: r.holder.Request(now), Request: request})
	return now + r.renewInterval()
}

func (r *Replica) leaseReport() leaseReport {
	report := leaseReport{staged: r.staged, rejected: r.rejectedChange}
	if s := r.membership.State(); s.NextEpoch != 0 && r.actingIndex >= s.FenceIndex {
		report.membershipPassed = s.FenceIndex
	}
	if open := r.policy.State().GetOpenChange(); open != nil {
		report.freezePassed = 1
		if open.FreezeIndex != 0 && r.actingIndex >= open.FreezeIndex {
			report.freezePassed = open.FreezeIndex
		}
	}
	return report
}

// submitJoin proposes to make this sender a member with its program's highest kind of command. It repeats the proposal until the state
// has such a member.
func (r *Replica) submitJoin(now time.Duration) {
	if m := r.state.Member(r.name); m != nil && (m.MaxCommandKind == MaxCommandKind || m.Removed) || r.state.Index() == 0 {
		return
	}
	if r.joinSubmittedAt >= 0 && now-r.joinSubmittedAt < r.renewInterval() {
		return
	}
	r.joinSubmittedAt = now
	r.emit(SubmitJoin{&pb.Join{Name: r.name, MaxCommandKind: MaxCommandKind}})
}
