package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// The list that stands at the last moment before a request is written decides, whatever stood when its endpoint was picked.
func TestAttempts_EndpointListIsCheckedBeforeWrite(t *testing.T) {
	k := New(Config{Settings: tiertest.Settings("edge-1"), Log: tiertest.DiscardLogger()})
	w := &clientRequest{gateway: k, x: &ingress.Exchange{Method: "GET", Target: "/"}, route: &routing.Route{}}
	permit := w.upstreamRequest(loadbalancer.Selection{Instance: "i-1"}).Permit
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
		{[]*tierv1.Endpoint{{Instance: "i-2", Service: "s", Address: "127.0.0.1:1"}}, false}, // another one at its address
	} {
		k.applyEndpoints(&tierv1.Endpoints{Version: uint64(i + 1), List: c.list})
		assert.Equal(t, permit(), c.want, "list %d", i+1)
	}
}
