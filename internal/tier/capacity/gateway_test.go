package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/routing"
)

// BenchmarkConfigurationParse measures how a gateway parses a new configuration, and the memory that one takes.
func BenchmarkConfigurationParse(b *testing.B) {
	for _, n := range []int{tenants, 2000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			body := configuration(1, n)
			before := heapInUse()
			c, err := routing.Parse(body)
			assert.NilError(b, err)
			retained := heapInUse() - before
			assert.Equal(b, len(c.Routes), n)
			b.ReportAllocs()
			report := measureProcessor(b)
			for b.Loop() {
				_, _ = routing.Parse(body)
			}
			report()
			b.ReportMetric(retained, "B-kept")
		})
	}
}

// BenchmarkConfigurationMatch measures the match of a request to its route.
func BenchmarkConfigurationMatch(b *testing.B) {
	c, err := routing.Parse(configuration(1, 2000))
	assert.NilError(b, err)
	var hosts, paths []string
	for i := range 2000 {
		hosts, paths = append(hosts, fmt.Sprintf("tenant-%04d.example", i%tenants)), append(paths, fmt.Sprintf("/part-%04d/x", i))
	}
	b.ReportAllocs()
	i := 0
	report := measureProcessor(b)
	for b.Loop() {
		if c.Match(hosts[i%2000], paths[i%2000]) == nil {
			b.Fatal(hosts[i%2000], paths[i%2000])
		}
		i++
	}
	report()
}

// BenchmarkBalancerPick measures the load balancer in one attempt, from its pick to its end, by the endpoints of a service.
func BenchmarkBalancerPick(b *testing.B) {
	for _, n := range []struct{ endpoints, services int }{{17, 1}, {65, 1}, {endpoints, models}, {endpoints, 1}} {
		b.Run(fmt.Sprintf("endpoints=%d,services=%d", n.endpoints, n.services), func(b *testing.B) {
			x := loadbalancer.New("zone-00", "edge-1")
			var list []loadbalancer.Endpoint
			for i, e := range endpointList(n.endpoints, 0).List {
				list = append(list, loadbalancer.Endpoint{Instance: e.Instance, Service: fmt.Sprintf("service-%02d", i%n.services), Address: e.Address,
					Zone: e.Zone, Capacity: 96, CacheTokens: 256505})
			}
			before := heapInUse()
			x.SetEndpoints(0, list)
			retained := heapInUse() - before
			b.ReportAllocs()
			now, i := time.Second, 0
			report := measureProcessor(b)
			for b.Loop() {
				now += 3 * time.Millisecond
				c := x.Pick(now, loadbalancer.Request{Route: fmt.Sprintf("r-%07d", i%2000), Service: fmt.Sprintf("service-%02d", i%n.services), FirstAttempt: true,
					Remaining: 6 * time.Second, LatencyTarget: time.Second, AffinityKey: fmt.Sprint(i % 400), CacheTokens: 4000})
				if c.Decision != loadbalancer.Send {
					b.Fatal(c.Decision)
				}
				x.ResponseStarted(now, c.Call)
				x.Done(now+time.Millisecond, c.Call, loadbalancer.Outcome{Kind: loadbalancer.Served, Latency: time.Millisecond})
				i++
			}
			report()
			b.ReportMetric(retained, "B-kept")
		})
	}
}

// BenchmarkBalancerSet measures how the load balancer applies a pushed list.
func BenchmarkBalancerSet(b *testing.B) {
	x := loadbalancer.New("zone-00", "edge-1")
	var list []loadbalancer.Endpoint
	for _, e := range endpointList(endpoints, 0).List {
		list = append(list, loadbalancer.Endpoint{Instance: e.Instance, Service: e.Service, Address: e.Address, Zone: e.Zone, Capacity: 96})
	}
	b.ReportAllocs()
	report := measureProcessor(b)
	for b.Loop() {
		x.SetEndpoints(0, list)
	}
	report()
}
