package controlplane

import (
	"bytes"
	"compress/gzip"
	"context"
	"slices"
	"strings"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Roles of those who hold sessions.
const (
	roleGateway   = "gateway"
	roleTurnStore = "turnstore"
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
				n.PrimaryHint = plane.Store.Hint()
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
	return &tierv1.WatchReply{PrimaryHint: plane.Store.Hint()}
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

// Status tells operators what this process is and knows.
func (s *watchService) Status(context.Context, *tierv1.StatusRequest) (*tierv1.StatusReply, error) {
	plane := s.plane
	v, primary := plane.primary()
	r := &tierv1.StatusReply{Self: plane.Store.Self(), Primary: primary, Record: plane.Store.Record(), DiskError: plane.diskError()}
	r.Highest = r.Record.GetEpoch()
	for _, key := range []string{keyConfiguration, keyPartitionMap, keyEpochMarker} {
		_, sequence := plane.Store.Get(key)
		r.Sequence = max(r.Sequence, sequence)
	}
	if !primary {
		return r, nil
	}
	r.PartitionMap, r.Configuration, r.Endpoints, r.Revision = v.partitionMap, v.configuration.GetVersion(), v.endpoints.GetVersion(), v.changes.current
	r.Orders = uint32(len(v.changes.records))
	now := time.Now()
	plane.mu.Lock()
	r.Risk = plane.riskReport(now, v.partitionMap)
	for _, one := range plane.sessions.sessions {
		t := &tierv1.Session{Node: one.node, Role: one.role, Address: one.address, Configuration: one.configuration,
			Endpoints: one.endpoints, PartitionMap: one.partitionMap, Disk: one.disk}
		if one.openCalls == 0 {
			t.SilentMs = now.Sub(one.lastCallEnded).Milliseconds()
		}
		r.Sessions = append(r.Sessions, t)
	}
	plane.mu.Unlock()
	slices.SortFunc(r.Sessions, func(a, b *tierv1.Session) int {
		return strings.Compare(a.Role+" "+a.Node, b.Role+" "+b.Node)
	})
	return r, nil
}

// compressConfiguration gives a configuration as sessions get it. Routes are much alike, and all sessions take it at each change.
func compressConfiguration(c *tierv1.Configuration) *tierv1.Configuration {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err == nil {
		if _, err = w.Write(c.Body); err == nil {
			err = w.Close()
		}
	}
	if err != nil || b.Len() >= len(c.Body) {
		return c
	}
	return &tierv1.Configuration{Version: c.Version, Packed: b.Bytes()}
}
