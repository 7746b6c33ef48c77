package controlplane

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	gatewaysession "saffronyard.example/saffronyard/internal/tier/session"
	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// testGateway is a gateway with the program's own session client, on an address of its own.
type testGateway struct {
	c  *cluster
	ip string

	mu       sync.Mutex
	applied  []appliedRevision
	answered time.Time // time of the newest reply of a process that reports that it is the primary
	from     string
}

type appliedRevision struct {
	revision int64
	at       time.Time
}

// startGateway starts a gateway with some of the core machines as its seeds.
func (c *cluster) startGateway(ip string, seeds ...*coreMachine) *testGateway {
	e := &testGateway{c: c, ip: ip}
	set := settings.Settings{Node: "edge-" + ip, IP: ip, ContactWindow: 3 * time.Second, PortFirst: 7680, PortLast: 7690}
	for _, m := range seeds {
		set.Seeds = append(set.Seeds, m.ip+":"+operatorPort)
	}
	client := &http.Client{Transport: clusterTransport{c, ip}}
	s := gatewaysession.New(gatewaysession.Config{Settings: set, Role: roleGateway, Address: ip + ":" + internalPort,
		Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		Dial: func(address string) tierv1.ControlPlane {
			return observedControlPlane{tierv1.NewControlPlaneProtobufClient("http://"+address, client), e, address}
		},
		Configuration: func(v *tierv1.Configuration) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.applied = append(e.applied, appliedRevision{revisionOf(string(v.Body)), time.Now()})
		}})
	go s.Run(c.ctx)
	return e
}

// observedControlPlane records when a process that reports that it is the primary answers a long poll.
type observedControlPlane struct {
	tierv1.ControlPlane
	gateway *testGateway
	address string
}

func (w observedControlPlane) Watch(ctx context.Context, q *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	reply, err := w.ControlPlane.Watch(ctx, q)
	if err == nil && reply.IsPrimary && q.Role != "" {
		w.gateway.mu.Lock()
		defer w.gateway.mu.Unlock()
		w.gateway.answered, w.gateway.from = time.Now(), w.address
	}
	return reply, err
}

// currentRevision returns the revision in force, 0 without one, and since when.
func (e *testGateway) currentRevision() (revision int64, since time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.applied) == 0 {
		return 0, time.Time{}
	}
	last := e.applied[len(e.applied)-1]
	return last.revision, last.at
}

func (e *testGateway) lastAnswer() (at time.Time, from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answered, e.from
}

// replaceConfiguration sends a change to the machines until one accepts it.
func (c *cluster) replaceConfiguration(base, revision int, to ...*coreMachine) {
	c.t.Helper()
	for range 100 {
		for _, m := range to {
			a, err := c.ask("POST", "http://"+m.ip+":"+operatorPort+"/saffronyard/Configuration.Replace", fmt.Sprint(base), string(configuration(revision, "s")))
			if err == nil && a.status == http.StatusOK {
				return
			}
		}
		<-time.After(20 * time.Millisecond)
	}
	c.t.Fatalf("no machine accepts revision %d", revision)
}

// withPartitionedPrimary calls f with a cluster of three machines, the primary, which f partitions from the others, and the others.
func withPartitionedPrimary(t *testing.T, seed uint64, wrap func(Store) Store, f func(c *cluster, old *coreMachine, rest []*coreMachine)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := &cluster{wrap: wrap}
		c.setUp(ctx, t, seed, 3)
		c.replaceConfiguration(0, 3, c.machines...)
		<-time.After(time.Duration(c.randomIntN(1000)) * time.Millisecond)
		old := c.leader()
		var rest []*coreMachine
		for _, m := range c.machines {
			if m != old {
				rest = append(rest, m)
			}
		}
		f(c, old, rest)
		c.stopAll()
		cancel()
		synctest.Wait()
	})
}

var partitionSeeds = flag.Int("cut-seeds", 6, "network partitions of each kind in TestStaleness")

// A gateway that starts while it reaches only a partitioned primary gets no configuration from that process, however long the
// process considers itself the primary: the backups have to confirm the first call of a gateway.
func TestStaleness_NewGatewayBesidePartitionedPrimary(t *testing.T) {
	for name, wrap := range map[string]func(Store) Store{"with a lease": nil, "with a lease far too long": func(s Store) Store { return newStaleLeaseStore(s) }} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*partitionSeeds) {
				withPartitionedPrimary(t, seed, wrap, func(c *cluster, old *coreMachine, rest []*coreMachine) {
					var gateways []*testGateway
					c.partition(old, true, true, true)
					for i := range 6 { // right after the partition, within the lease and after it
						ip := fmt.Sprint("10.0.1.", i)
						for _, m := range rest {
							c.block(ip, m.ip, true)
							c.block(m.ip, ip, true)
						}
						gateways = append(gateways, c.startGateway(ip, old))
						<-time.After(200 * time.Millisecond)
					}
					c.replaceConfiguration(3, 5, rest...)
					<-time.After(5 * time.Second)
					for _, e := range gateways {
						revision, _ := e.currentRevision()
						assert.Equal(t, revision, int64(0), "seed %d, %s", seed, e.ip)
					}
					for _, e := range gateways {
						for _, m := range rest {
							c.block(e.ip, m.ip, false)
							c.block(m.ip, e.ip, false)
						}
					}
					c.partition(old, true, true, false)
					<-time.After(5 * time.Second)
					for _, e := range gateways {
						revision, _ := e.currentRevision()
						assert.Equal(t, revision, int64(5), "seed %d, %s", seed, e.ip)
						assert.Equal(t, len(e.applied), 1)
					}
				})
			}
		})
	}
}

// Bounds of docs/design/hardening/1-answers.md.
const (
	testWindow = 3 * time.Second
	leaseBound = testWindow / 3                       // of a primary, from the begin of its last confirmed round trip
	callBound  = testWindow/6 + testWindow/10         // a held call, and the time-out after it
	findBound  = testWindow/8 + testWindow/30         // one search for the primary, and the pause before the next
	slackBound = 100 * time.Millisecond               // message latency and timer ticks
	forceBound = leaseBound + callBound + 2*findBound // from an acknowledgement until the revision is in force at a gateway that reaches the primary
)

// The primary serves a gateway that is partitioned together with it for no longer than a lease after the partition.
func TestStaleness_PartitionedPrimaryServesWithinLease(t *testing.T) {
	var longest time.Duration
	for _, way := range []struct {
		name              string
		outbound, inbound bool
	}{{"both ways", true, true}, {"outbound", true, false}, {"inbound", false, true}} {
		t.Run(way.name, func(t *testing.T) {
			for seed := range uint64(*partitionSeeds) {
				withPartitionedPrimary(t, seed, nil, func(c *cluster, old *coreMachine, rest []*coreMachine) {
					e := c.startGateway("10.0.1.1", old)
					<-time.After(time.Second)
					for _, m := range rest {
						c.block(e.ip, m.ip, true)
						c.block(m.ip, e.ip, true)
					}
					c.partition(old, way.outbound, way.inbound, true)
					partitionedAt := time.Now()
					if seed%2 == 1 { // the gateway's connection breaks, and it reconnects to the old primary with the versions that it has
						c.block(old.ip, e.ip, true)
						<-time.After(callBound)
						c.block(old.ip, e.ip, false)
					}
					c.replaceConfiguration(3, 5, rest...)
					<-time.After(6 * time.Second)
					at, from := e.lastAnswer()
					assert.Equal(t, from, old.ip+":"+internalPort)
					assert.Assert(t, at.Sub(partitionedAt) <= leaseBound+slackBound, "seed %d: %v", seed, at.Sub(partitionedAt))
					longest = max(longest, at.Sub(partitionedAt))
					revision, _ := e.currentRevision()
					assert.Equal(t, revision, int64(3))
				})
			}
		})
	}
	t.Logf("longest %v after the partition, the bound is %v", longest, leaseBound+slackBound)
}

// A gateway that reaches both sides of a partition has a revision that the new primary acknowledged in force within the bound,
// though it had a session with the old primary, and never reverts to an older revision.
func TestStaleness_GatewayFollowsNewPrimary(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(*partitionSeeds) {
		withPartitionedPrimary(t, seed, nil, func(c *cluster, old *coreMachine, rest []*coreMachine) {
			e := c.startGateway("10.0.1.1", old)
			<-time.After(time.Second)
			c.partition(old, true, true, true)
			if seed%2 == 1 { // messages from the old primary to the gateway are lost, too
				c.block(old.ip, e.ip, true)
			}
			c.replaceConfiguration(3, 5, rest...)
			acknowledged := time.Now()
			<-time.After(forceBound + slackBound)
			revision, since := e.currentRevision()
			assert.Equal(t, revision, int64(5), "seed %d", seed)
			longest = max(longest, since.Sub(acknowledged))
			c.partition(old, true, true, false)
			<-time.After(3 * time.Second)
			e.mu.Lock()
			defer e.mu.Unlock()
			assert.Equal(t, len(e.applied), 2)
		})
	}
	t.Logf("longest %v after the acknowledgement, the bound is %v", longest, forceBound+slackBound)
}
