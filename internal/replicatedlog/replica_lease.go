package replicatedlog

import (
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// leaseReport is what a lease request tells that a change or a membership may wait for. When it differs, a request goes out at once.
type leaseReport struct {
	freezePassed     uint64 // index of the open change's freeze once it is acted under; 1: a change is open; 0: none is
	staged           uint64 // change
	rejected         uint64 // change
	membershipPassed uint64 // index of the proposed membership once it is acted under; 0: none is proposed
}

// renewInterval is how often a lease is requested: three times in its duration, so that two answers may be lost.
func (r *Replica) renewInterval() time.Duration { return r.terms.Duration / 3 }

// retryLeaseRequest has the next request go out soon, an eighth of the interval from now at the latest.
func (r *Replica) retryLeaseRequest(now time.Duration) {
	r.requestedAt = min(r.requestedAt, now-r.renewInterval()+r.renewInterval()/8)
}

// requestLease requests a lease when it is time, or when there is something to tell that a change waits for. next is when it is time
// again.
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

// submitJoin proposes that this sender is a member with what its program knows, until the state says so.
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
