package controlplane

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	gatewaysession "saffronyard.example/saffronyard/internal/tier/session"
	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// distantLink is the network link of a process to the control plane. A call takes half a round trip in each direction. Without
// an idle connection it first opens a new one, which takes a round trip. A call that is aborted closes its connection.
type distantLink struct {
	service      tierv1.ControlPlane
	planeContext context.Context // of the control plane

	mu          sync.Mutex
	roundTrip   time.Duration
	idle        int // idle connections
	partitioned bool
}

func (l *distantLink) Watch(ctx context.Context, req *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	reply, err := l.call(ctx, cloneRequest(req))
	if err == nil {
		l.mu.Lock()
		l.idle++
		l.mu.Unlock()
	}
	return reply, err
}

func (l *distantLink) ReportEjections(context.Context, *tierv1.EjectionReport) (*tierv1.EjectionReportReply, error) {
	return nil, errLost
}

func (l *distantLink) Status(context.Context, *tierv1.StatusRequest) (*tierv1.StatusReply, error) {
	return nil, errLost
}

// dial returns the delays of a request, including that of a new connection, and of its answer, and whether the request is lost.
func (l *distantLink) dial() (toServer time.Duration, back time.Duration, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	toServer = l.roundTrip / 2
	if l.idle > 0 {
		l.idle--
	} else {
		toServer += l.roundTrip
	}
	return toServer, l.roundTrip / 2, l.partitioned
}

func (l *distantLink) call(ctx context.Context, req *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	toServer, back, lost := l.dial()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !delay(ctx, toServer) {
		return nil, ctx.Err()
	}
	served, cancel := context.WithCancel(l.planeContext)
	stop := context.AfterFunc(ctx, func() { // the control plane notices the abort half a round trip later
		time.AfterFunc(back, cancel)
	})
	defer stop()
	answers := make(chan *tierv1.WatchReply, 1)
	go func() {
		defer cancel()
		reply, err := l.service.Watch(served, req)
		if err == nil {
			answers <- reply
		}
	}()
	select {
	case reply := <-answers:
		if delay(ctx, back) {
			return reply, nil
		}
	case <-ctx.Done():
	}
	return nil, ctx.Err()
}

func delay(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *distantLink) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// distantProcess is a process with a session of the program's own client, over a distantLink.
type distantProcess struct {
	client *gatewaysession.Client
	link   *distantLink

	mu               sync.Mutex
	revision         int64  // of the configuration in force
	endpointsVersion uint64 // version of the endpoint list
	synced           []*tierv1.SyncedReplica
	changed          chan struct{} // closed at the next change of synced
}

// joinDistant starts a process whose round trips to the control plane take roundTrip.
func (h *harness) joinDistant(role, node string, roundTrip time.Duration) *distantProcess {
	p := &distantProcess{changed: make(chan struct{}), link: &distantLink{service: h.plane.Sessions(), planeContext: h.ctx, roundTrip: roundTrip}}
	set := settings.Settings{Node: node, IP: "10.0.1.1", ContactWindow: h.plane.Settings.ContactWindow, PortFirst: 7680, PortLast: 7690,
		Seeds: []string{"10.0.0.1:8144"}}
	config := gatewaysession.Config{Settings: set, Role: role, Address: node + ":1", Log: &log.Logger{Level: log.PanicLevel},
		Dial: func(string) tierv1.ControlPlane { return p.link },
		Configuration: func(v *tierv1.Configuration) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.revision = revisionOf(bodyOf(v))
		},
		Endpoints: func(v *tierv1.Endpoints) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.endpointsVersion = v.Version
		}}
	if role == roleTurnStore {
		config.Folder = node + ".1"
		config.PartitionMap = func(m *tierv1.PartitionMap) { p.syncAll(config.Folder, m) }
		config.Synced = p.syncedReplicas
	}
	p.client = gatewaysession.New(config)
	go p.client.Run(h.ctx)
	return p
}

// syncAll reports all replicas of a turn store's partitions as synced at once.
func (p *distantProcess) syncAll(folder string, m *tierv1.PartitionMap) {
	var synced []*tierv1.SyncedReplica
	for i, one := range m.Partitions {
		for _, c := range one.Backups {
			if one.Primary == folder && !c.Synced {
				synced = append(synced, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: one.Epoch, Folder: c.Folder})
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(synced) == 0 && len(p.synced) == 0 {
		return
	}
	p.synced = synced
	close(p.changed)
	p.changed = make(chan struct{})
}

// syncedReplicas returns the replicas that are synced.
func (p *distantProcess) syncedReplicas() ([]*tierv1.SyncedReplica, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.synced, p.changed
}

func (p *distantProcess) applied() (revision int64, endpoints uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision, p.endpointsVersion
}

// inactiveSessions returns the processes whose sessions are not active at the control plane.
func (h *harness) inactiveSessions() (nodes []string) {
	h.plane.mu.Lock()
	defer h.plane.mu.Unlock()
	for at, s := range h.plane.sessions.byKey {
		if !h.plane.sessions.active(time.Now(), s) || !h.plane.sessions.storeAlive(time.Now(), s) {
			nodes = append(nodes, at.node)
		}
	}
	return nodes
}

// Sessions stay active, at both ends and without interruption, if a contact window has at least eight round trips: changes are
// acknowledged when they are in force at all gateways, and no turn store counts as lost.
func TestDistantSessions_StayActive(t *testing.T) {
	window := testSettings().ContactWindow
	for _, trips := range []time.Duration{75, 20, 16, 12, 11, 10, 9, 8} {
		t.Run(fmt.Sprint(int(trips), " round trips"), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				roundTrip := window / trips
				gateways := []*distantProcess{h.joinDistant(roleGateway, "e1", roundTrip), h.joinDistant(roleGateway, "e2", window/100)}
				for i := range 3 {
					h.joinDistant(roleTurnStore, fmt.Sprint("v", i+1), roundTrip)
				}
				h.advance(2 * window)
				assertStatus(t, h.replace(0, 3), 200)
				h.advance(window)
				before := h.partitionMap().Version
				revision := 3
				for began := time.Now(); time.Since(began) < 20*window; {
					h.advance(window / 50)
					assert.Equal(t, len(h.inactiveSessions()), 0, "%v after %v", h.inactiveSessions(), time.Since(began))
					for _, one := range gateways {
						active, _ := one.client.Active()
						assert.Assert(t, active && one.client.Current(), "after %v", time.Since(began))
					}
					if int(time.Since(began)/window) > revision-3 {
						assertStatus(t, h.replace(revision, revision+1), 200)
						revision++
						for _, one := range gateways {
							has, _ := one.applied()
							assert.Equal(t, has, int64(revision), "acknowledged before it is in force")
						}
					}
				}
				assert.Equal(t, h.partitionMap().Version, before, "the map was changed")
			})
		})
	}
}

// The end of a turn store or gateway is noticed within the same time, whatever long poll it requests.
func TestDistantSessions_ExpireInTime(t *testing.T) {
	window := testSettings().ContactWindow
	for _, role := range []string{roleGateway, roleTurnStore} {
		longest := window / longPollDivisor
		if role == roleTurnStore {
			longest = window / turnStoreLongPollDivisor
		}
		for _, hold := range []time.Duration{0, window / 60, window / 20, longest, window} {
			r := newRegistry(window)
			now := time.Now()
			req := &tierv1.WatchRequest{Role: role, Node: "n", Folder: "n.1", Incarnation: "1", PollTimeoutMs: uint32(hold.Milliseconds())}
			s, _ := r.beginCall(now, req)
			r.endCall(now.Add(min(hold, longest)), s, false)
			bound := longest + window/sessionTTLDivisor
			assert.Assert(t, r.active(now.Add(min(hold, longest)+window/sessionTTLDivisor-time.Millisecond), s))
			assert.Assert(t, !r.active(now.Add(bound), s) && !r.storeAlive(now.Add(bound), s), "%s with a long poll of %v", role, hold)
		}
	}
}

// A gateway whose round trips to the primary become so long that no session is active does not consider itself partitioned: it
// sends no requests by a stale endpoint list, except within its lease or the time in which it detects the long round trips.
func TestDistantSessions_NothingSentByStaleList(t *testing.T) {
	window := testSettings().ContactWindow
	for _, percent := range []time.Duration{5, 8, 10, 12, 15, 20, 25, 30, 40, 45} {
		t.Run(fmt.Sprint("a round trip is ", int(percent), "% of the window"), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				one := h.joinDistant(roleGateway, "e1", window/100)
				h.advance(2 * window)
				roundTrip := window * percent / 100
				one.link.set(func() { one.link.roundTrip, one.link.idle = roundTrip, 0 })
				// The lease; or a held call that times out, and a search for the primary whose answer is late.
				bound := max(window*6/10, window/longPollDivisor+window/sessionTTLDivisor+2*roundTrip) + window/10
				epoch := h.store.epoch
				type push struct {
					version uint64
					at      time.Time
				}
				var pushes []push
				activeSteps := 0
				for began := time.Now(); time.Since(began) < 30*window; {
					version := uint64(0)
					h.plane.updatePublished(epoch, func(v *publishedState) {
						version = uint64(len(pushes) + 1)
						v.setEndpoints(&tierv1.Endpoints{Version: version})
					})
					pushes = append(pushes, push{version, time.Now()})
					h.advance(window / 20)
					if active, _ := one.client.Active(); active {
						activeSteps++
					}
					if !one.client.Current() {
						continue
					}
					_, has := one.applied()
					for _, p := range pushes {
						assert.Assert(t, p.version <= has || time.Since(p.at) <= bound, "%v after a push the gateway neither has its version nor rejects requests: %v after the begin",
							time.Since(p.at), time.Since(began))
					}
				}
				t.Logf("the session was active %d%% of the time", activeSteps*100/len(pushes))
			})
		})
	}
}

// A distant gateway that is partitioned rejects requests for some contact windows, and then serves requests again like any
// other partitioned gateway.
func TestDistantSessions_PartitionedGatewayGoesOn(t *testing.T) {
	window := testSettings().ContactWindow
	withHarness(t, func(h *harness) {
		one := h.joinDistant(roleGateway, "e1", window/9)
		h.advance(3 * window)
		one.link.set(func() { one.link.partitioned = true })
		h.advance(4 * window)
		for range 100 {
			assert.Assert(t, one.client.Current())
			h.advance(window / 20)
		}
	})
}
