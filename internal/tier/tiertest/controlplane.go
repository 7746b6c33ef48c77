package tiertest

import (
	"context"
	"math"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// ControlPlane is a control-plane process that is the primary, unless its Via says otherwise.
type ControlPlane struct {
	mu      sync.Mutex
	views   *tierv1.WatchReply
	calls   []*tierv1.WatchRequest
	changed chan struct{} // closed at every call and every new view
	via     Via
}

// Via stands between a caller and ControlPlane; serve gives the plain answer.
type Via func(ctx context.Context, r *tierv1.WatchRequest, serve func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error)

// NewControl makes one that has no views yet.
func NewControlPlane() *ControlPlane {
	return &ControlPlane{views: &tierv1.WatchReply{Primary: true, Epoch: 1}, changed: make(chan struct{})}
}

var _ tierv1.ControlPlane = (*ControlPlane)(nil)

func (c *ControlPlane) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Change changes what it tells and how.
func (c *ControlPlane) Change(f func(views *tierv1.WatchReply)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.views)
	c.signal()
}

// SetVia sets what stands before it; nil: nothing.
func (c *ControlPlane) SetVia(v Via) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.via = v
}

// SetConfiguration brings a configuration.
func (c *ControlPlane) SetConfiguration(body string) {
	c.Change(func(v *tierv1.WatchReply) {
		v.Configuration = &tierv1.Configuration{Version: v.GetConfiguration().GetVersion() + 1, Body: []byte(body)}
	})
}

// SetEndpoints brings a list of endpoints.
func (c *ControlPlane) SetEndpoints(list ...*tierv1.Endpoint) {
	c.Change(func(v *tierv1.WatchReply) {
		v.Endpoints = &tierv1.Endpoints{Version: v.GetEndpoints().GetVersion() + 1, List: list}
	})
}

// SetPartitionMap brings a map, whose version is its own.
func (c *ControlPlane) SetPartitionMap(m *tierv1.PartitionMap) {
	c.Change(func(v *tierv1.WatchReply) { v.PartitionMap = m })
}

// Watch answers as a primary does.
func (c *ControlPlane) Watch(ctx context.Context, r *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	r = proto.Clone(r).(*tierv1.WatchRequest)
	c.mu.Lock()
	c.calls = append(c.calls, r)
	c.signal()
	via := c.via
	c.mu.Unlock()
	serve := func() (*tierv1.WatchReply, error) { return c.serve(ctx, r) }
	if via != nil {
		return via(ctx, r, serve)
	}
	return serve()
}

func (c *ControlPlane) serve(ctx context.Context, r *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	hold := time.NewTimer(time.Duration(r.HoldMs) * time.Millisecond)
	defer hold.Stop()
	for over := false; ; {
		c.mu.Lock()
		v := c.views
		news := &tierv1.WatchReply{Primary: v.Primary, Hint: v.Hint, Epoch: v.Epoch}
		if v.GetConfiguration().GetVersion() > r.Configuration {
			news.Configuration = v.Configuration
		}
		if v.GetEndpoints().GetVersion() > r.Endpoints {
			news.Endpoints = v.Endpoints
		}
		if v.GetPartitionMap().GetVersion() > r.PartitionMap {
			news.PartitionMap = v.PartitionMap
		}
		if v.GetMembers().GetVersion() > r.Members {
			news.Members = v.Members
		}
		news = proto.Clone(news).(*tierv1.WatchReply)
		changed := c.changed
		c.mu.Unlock()
		if over || !news.Primary || news.Configuration != nil || news.Endpoints != nil || news.PartitionMap != nil || news.Members != nil {
			return news, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-hold.C:
			over = true
		case <-changed:
		}
	}
}

// Status is not asked for.
func (c *ControlPlane) Status(context.Context, *tierv1.StatusRequest) (*tierv1.StatusReply, error) {
	return &tierv1.StatusReply{}, nil
}

// Calls gives the calls so far.
func (c *ControlPlane) Calls() []*tierv1.WatchRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*tierv1.WatchRequest(nil), c.calls...)
}

// Await waits until one of the calls meets a condition, and gives the first that does.
func (c *ControlPlane) Await(t testing.TB, what string, met func(*tierv1.WatchRequest) bool) *tierv1.WatchRequest {
	t.Helper()
	timeout := time.After(Patience)
	for n := 0; ; {
		c.mu.Lock()
		calls, changed := c.calls[n:], c.changed
		n += len(calls)
		c.mu.Unlock()
		for _, r := range calls {
			if met(r) {
				return r
			}
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("no such call: %s", what)
		}
	}
}

// Taken waits until a process has acknowledged all views as they stand.
func (c *ControlPlane) Taken(t testing.TB) {
	t.Helper()
	c.mu.Lock()
	v := proto.Clone(c.views).(*tierv1.WatchReply)
	c.mu.Unlock()
	c.Await(t, "views are acknowledged", func(r *tierv1.WatchRequest) bool {
		return r.Role != "" && r.Configuration != math.MaxUint64 && r.Configuration >= v.GetConfiguration().GetVersion() &&
			r.Endpoints >= v.GetEndpoints().GetVersion() && r.PartitionMap >= v.GetPartitionMap().GetVersion()
	})
}
