package controlplane

import (
	"context"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Sessions returns the service that gateways, turn stores and the command line call.
func (plane *ControlPlane) Sessions() tierv1.ControlPlane { return &sessionService{plane} }

// sessionService implements tierv1.ControlPlane: Watch here, Status in status.go and ReportEjections in ejection_push.go.
type sessionService struct{ plane *ControlPlane }

// Watch is a long poll. It answers at once if there is newer state than the caller has, else when the poll time is over. The
// error is that of ctx.
func (s *sessionService) Watch(ctx context.Context, req *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	plane := s.plane
	if _, ok := plane.Store.Primary(); !ok {
		return plane.notPrimaryReply(), nil
	}
	end := plane.beginWatch(ctx, req)
	defer end()
	hold := time.NewTimer(min(time.Duration(req.PollTimeoutMs)*time.Millisecond, plane.windowFraction(longPollDivisor)))
	defer hold.Stop()
	confirmed := req.ConfigurationVersion != 0
	over := false
	for {
		state, changed := plane.currentState()
		epoch, ok := plane.Store.Primary()
		if !ok {
			return plane.notPrimaryReply(), nil
		}
		if state.ready && state.epoch == epoch {
			if !confirmed { // the first call of an incarnation: the caller has no state to compare with
				if err := plane.barrier.wait(ctx, epoch); err != nil {
					return plane.notPrimaryReply(), nil
				}
				confirmed = true
				continue
			}
			if reply, newer := state.replyFor(req); newer || over || req.PollTimeoutMs == 0 {
				reply.PrimaryHint = plane.Store.PrimaryHint()
				return reply, nil
			}
		} else if over || req.PollTimeoutMs == 0 {
			return plane.notPrimaryReply(), nil
		}
		select {
		case <-changed:
		case <-hold.C:
			over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// beginWatch registers a call with the caller's session, if it has one, and returns a function to be called at the call's end.
func (plane *ControlPlane) beginWatch(ctx context.Context, req *tierv1.WatchRequest) (end func()) {
	plane.mu.Lock()
	session, fresh := plane.sessions.beginCall(time.Now(), req)
	plane.mu.Unlock()
	if session == nil {
		return func() {}
	}
	if fresh && req.Role == roleTurnStore {
		wake(plane.reconcileNow)
	}
	return func() {
		broken := ctx.Err() != nil
		plane.mu.Lock()
		plane.sessions.endCall(time.Now(), session, broken)
		plane.mu.Unlock()
		if broken && req.Role == roleTurnStore && req.Draining {
			wake(plane.reconcileNow)
		}
	}
}

// notPrimaryReply is the reply of a process that is not the primary, or can't confirm that it is.
func (plane *ControlPlane) notPrimaryReply() *tierv1.WatchReply {
	return &tierv1.WatchReply{PrimaryHint: plane.Store.PrimaryHint()}
}

// replyFor returns a reply with all state that is newer than the caller's, and whether there is any.
func (state *publishedState) replyFor(req *tierv1.WatchRequest) (reply *tierv1.WatchReply, newer bool) {
	reply = &tierv1.WatchReply{IsPrimary: true, Epoch: state.epoch}
	if state.configuration != nil && state.configuration.Version > req.ConfigurationVersion {
		reply.Configuration, newer = state.compressedConfiguration, true
	}
	if state.endpoints != nil && state.endpoints.Version > req.EndpointsVersion {
		reply.Endpoints, newer = state.endpointsFor(req), true
	}
	if state.partitionMap != nil && state.partitionMap.Version > req.PartitionMapVersion {
		reply.PartitionMap, newer = state.partitionMap, true
	}
	if state.members != nil && state.members.Version > req.MembersVersion {
		reply.Members, newer = state.members, true
	}
	if req.AcceptsEjections && state.ejections != nil && state.ejections.Version > req.EjectionsVersion {
		reply.Ejections, newer = state.ejections, true
	}
	return reply, newer
}
