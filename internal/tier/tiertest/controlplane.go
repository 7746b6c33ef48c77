package tiertest

import (
	"context"
	"math"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// ControlPlane is a fake control-plane process. It is the primary, unless its interceptor replies otherwise.
type ControlPlane struct {
	mu          sync.Mutex
	state       *tierv1.WatchReply
	calls       []*tierv1.WatchRequest
	changed     chan struct{} // closed at every call and every new view
	interceptor WatchInterceptor
}

// WatchInterceptor intercepts the calls of a ControlPlane; serve returns the regular reply.
type WatchInterceptor func(ctx context.Context, r *tierv1.WatchRequest, serve func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error)

// NewControlPlane returns a control plane without any view: configuration, endpoints, partition map.
func NewControlPlane() *ControlPlane {
	return &ControlPlane{state: &tierv1.WatchReply{IsPrimary: true, Epoch: 1}, changed: make(chan struct{})}
}

var _ tierv1.ControlPlane = (*ControlPlane)(nil)

// signal wakes all waiters. The caller holds mu.
func (plane *ControlPlane) signal() {
	close(plane.changed)
	plane.changed = make(chan struct{})
}

// Update changes the views.
func (plane *ControlPlane) Update(change func(views *tierv1.WatchReply)) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	change(plane.state)
	plane.signal()
}

// SetInterceptor sets the function that intercepts its calls; nil: none.
func (plane *ControlPlane) SetInterceptor(interceptor WatchInterceptor) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	plane.interceptor = interceptor
}

// SetConfiguration publishes a configuration, as the next version.
func (plane *ControlPlane) SetConfiguration(body string) {
	plane.Update(func(v *tierv1.WatchReply) {
		v.Configuration = &tierv1.Configuration{Version: v.GetConfiguration().GetVersion() + 1, Body: []byte(body)}
	})
}

// SetEndpoints publishes a list of endpoints, as the next version.
func (plane *ControlPlane) SetEndpoints(list ...*tierv1.Endpoint) {
	plane.Update(func(v *tierv1.WatchReply) {
		v.Endpoints = &tierv1.Endpoints{Version: v.GetEndpoints().GetVersion() + 1, List: list}
	})
}

// SetPartitionMap publishes a partition map, which has its own version.
func (plane *ControlPlane) SetPartitionMap(m *tierv1.PartitionMap) {
	plane.Update(func(v *tierv1.WatchReply) { v.PartitionMap = m })
}

// Watch implements tierv1.ControlPlane, as a primary does.
func (plane *ControlPlane) Watch(ctx context.Context, request *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	request = proto.Clone(request).(*tierv1.WatchRequest)
	plane.mu.Lock()
	plane.calls = append(plane.calls, request)
	plane.signal()
	interceptor := plane.interceptor
	plane.mu.Unlock()
	serve := func() (*tierv1.WatchReply, error) { return plane.serve(ctx, request) }
	if interceptor != nil {
		return interceptor(ctx, request, serve)
	}
	return serve()
}

// serve is the long poll: it returns the state that is newer than the versions of the request as soon as there is any, or none when
// the poll times out.
func (plane *ControlPlane) serve(ctx context.Context, request *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	pollTimer := time.NewTimer(time.Duration(request.PollTimeoutMs) * time.Millisecond)
	defer pollTimer.Stop()
	for expired := false; ; {
		plane.mu.Lock()
		views := plane.state
		newer := &tierv1.WatchReply{IsPrimary: views.IsPrimary, PrimaryHint: views.PrimaryHint, Epoch: views.Epoch}
		if views.GetConfiguration().GetVersion() > request.ConfigurationVersion {
			newer.Configuration = views.Configuration
		}
		if views.GetEndpoints().GetVersion() > request.EndpointsVersion {
			newer.Endpoints = views.Endpoints
		}
		if views.GetPartitionMap().GetVersion() > request.PartitionMapVersion {
			newer.PartitionMap = views.PartitionMap
		}
		if views.GetMembers().GetVersion() > request.MembersVersion {
			newer.Members = views.Members
		}
		if request.AcceptsEjections && views.GetEjections().GetVersion() > request.EjectionsVersion {
			newer.Ejections = views.Ejections
		}
		newer = proto.Clone(newer).(*tierv1.WatchReply)
		changed := plane.changed
		plane.mu.Unlock()
		if expired || !newer.IsPrimary || newer.Configuration != nil || newer.Endpoints != nil || newer.PartitionMap != nil || newer.Members != nil || newer.Ejections != nil {
			return newer, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-pollTimer.C:
			expired = true
		case <-changed:
		}
	}
}

// ReportEjections implements tierv1.ControlPlane: each report is published at once.
func (plane *ControlPlane) ReportEjections(_ context.Context, report *tierv1.EjectionReport) (*tierv1.EjectionReportReply, error) {
	plane.Update(func(v *tierv1.WatchReply) {
		version := v.GetEjections().GetVersion() + 1
		next := &tierv1.Ejections{Version: version}
		for _, instance := range report.Ejected {
			next.List = append(next.List, &tierv1.Ejection{Instance: instance, Version: version})
		}
		v.Ejections = next
	})
	return &tierv1.EjectionReportReply{IsPrimary: true}, nil
}

// Status implements tierv1.ControlPlane. Its reply is empty.
func (plane *ControlPlane) Status(context.Context, *tierv1.StatusRequest) (*tierv1.StatusReply, error) {
	return &tierv1.StatusReply{}, nil
}

// Calls returns the calls so far.
func (plane *ControlPlane) Calls() []*tierv1.WatchRequest {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	return append([]*tierv1.WatchRequest(nil), plane.calls...)
}

// Await waits until a call meets a condition, and returns the first that does.
func (plane *ControlPlane) Await(t testing.TB, what string, met func(*tierv1.WatchRequest) bool) *tierv1.WatchRequest {
	t.Helper()
	timeout := time.After(Timeout)
	for n := 0; ; {
		plane.mu.Lock()
		calls, changed := plane.calls[n:], plane.changed
		n += len(calls)
		plane.mu.Unlock()
		for _, request := range calls {
			if met(request) {
				return request
			}
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("timed out waiting for a call: %s", what)
		}
	}
}

// AwaitAcknowledged waits until a process has acknowledged all current views.
func (plane *ControlPlane) AwaitAcknowledged(t testing.TB) {
	t.Helper()
	plane.mu.Lock()
	views := proto.Clone(plane.state).(*tierv1.WatchReply)
	plane.mu.Unlock()
	plane.Await(t, "views are acknowledged", func(r *tierv1.WatchRequest) bool {
		return r.Role != "" && r.ConfigurationVersion != math.MaxUint64 && r.ConfigurationVersion >= views.GetConfiguration().GetVersion() &&
			r.EndpointsVersion >= views.GetEndpoints().GetVersion() && r.PartitionMapVersion >= views.GetPartitionMap().GetVersion()
	})
}
