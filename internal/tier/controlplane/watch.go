package controlplane

import (
	"context"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Sessions is the service that gateways, turn stores and the command line call.
func (plane *ControlPlane) Sessions() tierv1.ControlPlane { return &watchService{plane} }

type watchService struct{ plane *ControlPlane }

// Watch answers at once where there is news for the caller, else when its time is over.
func (s *watchService) Watch(ctx context.Context, req *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	plane := s.plane
	if _, ok := plane.Store.Primary(); !ok {
		return plane.notPrimary(), nil
	}
	plane.mu.Lock()
	me, fresh := plane.sessions.beginCall(time.Now(), req)
	plane.mu.Unlock()
	if me != nil {
		if fresh && req.Role == roleTurnStore {
			wake(plane.reconcileNow)
		}
		defer func() {
			broken := ctx.Err() != nil
			plane.mu.Lock()
			plane.sessions.endCall(time.Now(), me, broken)
			plane.mu.Unlock()
			if broken && req.Role == roleTurnStore && req.Draining {
				wake(plane.reconcileNow)
			}
		}()
	}
	hold := time.NewTimer(min(time.Duration(req.PollTimeoutMs)*time.Millisecond, plane.windowFraction(longPollDivisor)))
	defer hold.Stop()
	confirmed := req.ConfigurationVersion != 0
	over := false
	for {
		v, changed := plane.currentView()
		epoch, ok := plane.Store.Primary()
		if !ok {
			return plane.notPrimary(), nil
		}
		if v.ready && v.epoch == epoch {
			if !confirmed { // the first of a life: it has nothing to compare with
				if err := plane.barrier.wait(ctx, epoch); err != nil {
					return plane.notPrimary(), nil
				}
				confirmed = true
				continue
			}
			if n, some := v.replyFor(req); some || over || req.PollTimeoutMs == 0 {
				n.PrimaryHint = plane.Store.PrimaryHint()
				return n, nil
			}
		} else if over || req.PollTimeoutMs == 0 {
			return plane.notPrimary(), nil
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

// notPrimary is the answer of one that is not the primary, or can't be sure of it.
func (plane *ControlPlane) notPrimary() *tierv1.WatchReply {
	return &tierv1.WatchReply{PrimaryHint: plane.Store.PrimaryHint()}
}

func (v *view) replyFor(req *tierv1.WatchRequest) (n *tierv1.WatchReply, some bool) {
	n = &tierv1.WatchReply{IsPrimary: true, Epoch: v.epoch}
	if v.configuration != nil && v.configuration.Version > req.ConfigurationVersion {
		n.Configuration, some = v.compressedConfiguration, true
	}
	if v.endpoints != nil && v.endpoints.Version > req.EndpointsVersion {
		n.Endpoints, some = v.endpointsFor(req), true
	}
	if v.partitionMap != nil && v.partitionMap.Version > req.PartitionMapVersion {
		n.PartitionMap, some = v.partitionMap, true
	}
	if v.members != nil && v.members.Version > req.MembersVersion {
		n.Members, some = v.members, true
	}
	if req.AcceptsEjections && v.ejections != nil && v.ejections.Version > req.EjectionsVersion {
		n.Ejections, some = v.ejections, true
	}
	return n, some
}
