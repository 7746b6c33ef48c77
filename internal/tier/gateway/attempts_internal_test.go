package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A gateway whose session makes no progress writes to no endpoint after the lease of its endpoint list, whenever the endpoint was
// selected: it may be draining by now. Once the primary has answered the session, the endpoints that remain are written to again.
func TestAttempts_NotSentByExpiredEndpointList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 10 * time.Second
		control := tiertest.NewControlPlane()
		entry := func(instance string, draining bool) *tierv1.Endpoint {
			return &tierv1.Endpoint{Instance: instance, Service: "s", Address: "127.0.0.1:1", Capacity: 8, Draining: draining}
		}
		control.SetEndpoints(entry("i-1", false), entry("i-2", false))
		gateway := New(Config{Settings: tiertest.Settings("edge-1"), Log: tiertest.DiscardLogger(),
			ControlPlane: func(string) tierv1.ControlPlane { return control }})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go gateway.session.Run(ctx)
		control.AwaitAcknowledged(t)
		synctest.Wait()

		request := &clientRequest{gateway: gateway, exchange: &ingress.Exchange{Method: "GET", Target: "/"}, service: "s", ctx: ctx,
			route: &routing.Route{Name: "r", LatencyTarget: 400 * time.Millisecond, MaxAttempts: 2}, deadline: time.Now().Add(time.Hour)}
		picked := request.selectEndpoint()
		assert.Equal(t, picked.Decision, loadbalancer.Send)
		first := request.upstreamRequest(loadbalancer.Selection{Instance: "i-1"}).Permit
		second := request.upstreamRequest(loadbalancer.Selection{Instance: "i-2"}).Permit
		assert.Assert(t, first() && second())

		var paused atomic.Bool
		control.SetInterceptor(func(_ context.Context, _ *tierv1.WatchRequest, serve func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
			if !paused.Swap(true) {
				<-time.After(pause) // between the call and its answer, longer than the call may last
			}
			return serve()
		})
		<-time.After(time.Second) // the pending long poll ends
		control.SetEndpoints(entry("i-1", true), entry("i-2", false))
		<-time.After(pause / 2)
		assert.Assert(t, !first(), "permitted by a list that is not current")
		assert.Assert(t, !second(), "permitted by a list that is not current")
		assert.Assert(t, request.selectEndpoint().Decision != loadbalancer.Send)

		<-time.After(pause)
		assert.Assert(t, !first() && second())
		assert.Equal(t, request.selectEndpoint().Instance, "i-2")
		cancel()
		synctest.Wait()
	})
}

// The endpoint list is checked right before a request is written, not only when its endpoint is selected.
func TestAttempts_EndpointListIsCheckedBeforeWrite(t *testing.T) {
	gateway := New(Config{Settings: tiertest.Settings("edge-1"), Log: tiertest.DiscardLogger()})
	request := &clientRequest{gateway: gateway, exchange: &ingress.Exchange{Method: "GET", Target: "/"}, route: &routing.Route{}}
	permit := request.upstreamRequest(loadbalancer.Selection{Instance: "i-1"}).Permit
	entry := func(draining bool) *tierv1.Endpoint {
		return &tierv1.Endpoint{Instance: "i-1", Service: "s", Address: "127.0.0.1:1", Draining: draining}
	}
	for i, c := range []struct {
		list []*tierv1.Endpoint
		want bool
	}{
		{nil, false},
		{[]*tierv1.Endpoint{entry(false)}, true},
		{[]*tierv1.Endpoint{entry(true)}, false},
		{[]*tierv1.Endpoint{entry(false)}, true},
		{nil, false},
		{[]*tierv1.Endpoint{{Instance: "i-2", Service: "s", Address: "127.0.0.1:1"}}, false}, // another instance at the address
	} {
		gateway.applyEndpoints(&tierv1.Endpoints{Version: uint64(i + 1), List: c.list})
		assert.Equal(t, permit(), c.want, "list %d", i+1)
	}
}
