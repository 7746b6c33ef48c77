package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/controlplane"
	"saffronyard.example/saffronyard/internal/tier/rpc"
	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// memoryStore is a control state in memory whose process is always the primary.
type memoryStore struct {
	mu        sync.Mutex
	values    map[string][]byte
	writtenAt map[string]uint64
	sequence  uint64
	changed   chan struct{}
}

func (store *memoryStore) Primary() (uint64, bool) { return 1 << 12, true }
func (store *memoryStore) PrimaryHint() string     { return "" }
func (store *memoryStore) View() *tierv1.View      { return &tierv1.View{Epoch: 1 << 12} }
func (store *memoryStore) Self() *tierv1.Member {
	return &tierv1.Member{Folder: "c1", Address: "10.0.0.1:7000"}
}
func (store *memoryStore) Members() []*tierv1.Member             { return []*tierv1.Member{store.Self()} }
func (store *memoryStore) Confirm(context.Context, uint64) error { return nil }
func (store *memoryStore) Changed() <-chan struct{} {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.changed
}
func (store *memoryStore) Get(key string) ([]byte, uint64) {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.values[key], store.writtenAt[key]
}

func (store *memoryStore) Scan(prefix string) map[string][]byte {
	store.mu.Lock()
	defer store.mu.Unlock()
	found := map[string][]byte{}
	for key, value := range store.values {
		if strings.HasPrefix(key, prefix) {
			found[key] = value
		}
	}
	return found
}

func (store *memoryStore) Put(_ context.Context, _ uint64, sets map[string][]byte) (uint64, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.sequence++
	for k, v := range sets {
		store.values[k], store.writtenAt[k] = v, store.sequence
	}
	close(store.changed)
	store.changed = make(chan struct{})
	return store.sequence, nil
}

// fakePlatform returns a list that changes at the next call after each value on change.
type fakePlatform struct {
	change   chan struct{}
	revision int
}

func (platform *fakePlatform) RoundTrip(*http.Request) (*http.Response, error) {
	select {
	case <-platform.change:
		platform.revision++
	default:
	}
	var list []map[string]any
	for i, e := range endpointList(endpoints, 0).List {
		one := map[string]any{"instance_id": e.Instance, "service_name": e.Service, "address": e.Address, "zone": e.Zone, "revision": e.Revision,
			"capacity": e.Capacity, "lifecycle_state": "running", "phase": e.Phase, "models": []map[string]any{{"name": e.Models[0].Name, "revision": 3}}}
		if i == 0 {
			one["revision"] = fmt.Sprint(platform.revision)
		}
		list = append(list, one)
	}
	body, err := json.Marshal(map[string]any{"instances": list, "next_page_token": nil})
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}, err
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	in, out *atomic.Int64
}

func (listener countingListener) Accept() (net.Conn, error) {
	c, err := listener.Listener.Accept()
	return countingConn{c, listener.in, listener.out}, err
}

type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (conn countingConn) Read(p []byte) (int, error) {
	n, err := conn.Conn.Read(p)
	conn.in.Add(int64(n))
	return n, err
}
func (conn countingConn) Write(p []byte) (int, error) {
	n, err := conn.Conn.Write(p)
	conn.out.Add(int64(n))
	return n, err
}

// cluster is a control-plane primary and fake sessions of all other processes, over loopback.
type cluster struct {
	primary        *controlplane.ControlPlane
	cloud          *fakePlatform
	received, sent atomic.Int64
	clients        []tierv1.ControlPlane
	sessions       []*fakeSession
}

// fakeSession is the state of the session of a process.
type fakeSession struct {
	request tierv1.WatchRequest
}

func newCluster(b *testing.B, n int, drain time.Duration) *cluster {
	cluster := &cluster{cloud: &fakePlatform{change: make(chan struct{})}}
	store := &memoryStore{values: map[string][]byte{}, writtenAt: map[string]uint64{}, changed: make(chan struct{})}
	configured := settings.Settings{Node: "core-1", IP: "127.0.0.1", MachineFailures: 1, MemoryMB: 256, ContactWindow: 3 * time.Second,
		ConfigApply: 5 * time.Second, DrainTimeout: drain, CloudAddress: "platform:80"}
	cluster.primary = controlplane.New(controlplane.Config{Settings: configured, Store: store, Cloud: &http.Client{Transport: cluster.cloud}})
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	running.Go(func() { cluster.primary.Run(ctx) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{Handler: tierv1.NewControlPlaneServer(cluster.primary.Sessions())}
	running.Go(func() { _ = server.Serve(countingListener{listener, &cluster.received, &cluster.sent}) })
	b.Cleanup(func() { cancel(); _ = server.Close(); running.Wait() })
	for i := range n {
		client := rpc.NewClient()
		b.Cleanup(client.CloseIdleConnections)
		cluster.clients = append(cluster.clients, tierv1.NewControlPlaneProtobufClient("http://"+listener.Addr().String(), client))
		session := &fakeSession{}
		session.request.Node, session.request.Role, session.request.Incarnation, session.request.Address = fmt.Sprintf("edge-%03d", i), "gateway", rpc.NewIncarnation(), fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		session.request.Zone, session.request.Region = fmt.Sprintf("zone-%02d", i%zones), fmt.Sprintf("region-%d", i%3)
		cluster.sessions = append(cluster.sessions, session)
	}
	return cluster
}

// watch makes one call of a session, and records the versions received.
func (cluster *cluster) watch(ctx context.Context, i int, pollTimeout time.Duration) (*tierv1.WatchReply, error) {
	request := &cluster.sessions[i].request
	request.PollTimeoutMs = uint32(pollTimeout.Milliseconds())
	reply, err := cluster.clients[i].Watch(ctx, request)
	if err != nil {
		return nil, err
	}
	request.ConfigurationVersion, request.EndpointsVersion = max(request.ConfigurationVersion, reply.Configuration.GetVersion()), max(request.EndpointsVersion, reply.Endpoints.GetVersion())
	request.PartitionMapVersion, request.MembersVersion = max(request.PartitionMapVersion, reply.PartitionMap.GetVersion()), max(request.MembersVersion, reply.Members.GetVersion())
	return reply, nil
}

func (cluster *cluster) forEachSession(f func(i int)) {
	var all sync.WaitGroup
	for i := range cluster.sessions {
		all.Go(func() { f(i) })
	}
	all.Wait()
}

func (cluster *cluster) replaceConfiguration(b *testing.B, revision, routes int) {
	request := httptest.NewRequest("POST", "http://127.0.0.1/saffronyard/Configuration.Replace", bytes.NewReader(configuration(revision, routes)))
	request.Header.Set("X-Base-Revision", fmt.Sprint(revision-1))
	response := httptest.NewRecorder()
	cluster.primary.Operators().ServeHTTP(response, request)
	assert.Check(b, response.Code == http.StatusOK, response.Body.String())
}

// synchronize calls until every session has the list of endpoints.
func (cluster *cluster) synchronize(b *testing.B) {
	cluster.forEachSession(func(i int) {
		for cluster.sessions[i].request.EndpointsVersion == 0 {
			_, err := cluster.watch(b.Context(), i, 50*time.Millisecond)
			assert.Check(b, err)
		}
	})
}

// BenchmarkPoll measures a call without an update, server and client together, with all sessions calling at once.
func BenchmarkPoll(b *testing.B) {
	cluster := newCluster(b, sessionCount, time.Second)
	cluster.synchronize(b)
	cluster.forEachSession(func(i int) { _, _ = cluster.watch(b.Context(), i, 0) })
	used, in, out, n := processorTime(), cluster.received.Load(), cluster.sent.Load(), 0
	for b.Loop() {
		cluster.forEachSession(func(i int) { _, err := cluster.watch(b.Context(), i, 0); assert.Check(b, err) })
		n += sessionCount
	}
	b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(n), "cpu-µs/poll")
	b.ReportMetric(float64(cluster.received.Load()-in)/float64(n), "B-in/poll")
	b.ReportMetric(float64(cluster.sent.Load()-out)/float64(n), "B-out/poll")
}

// BenchmarkPollWithoutNetwork measures the decision on a call without an update, without any network.
func BenchmarkPollWithoutNetwork(b *testing.B) {
	cluster := newCluster(b, sessionCount, time.Second)
	cluster.synchronize(b)
	sessions := cluster.primary.Sessions()
	for _, session := range cluster.sessions {
		session.request.PollTimeoutMs = 0
	}
	i := 0
	report := measureProcessor(b)
	for b.Loop() {
		_, err := sessions.Watch(b.Context(), &cluster.sessions[i%sessionCount].request)
		assert.NilError(b, err)
		i++
	}
	report()
}

// measurePush makes changes one after the other, and measures each until every session has acknowledged it.
func (cluster *cluster) measurePush(b *testing.B, change func() (acknowledged func(*tierv1.WatchRequest) bool)) {
	var took, longest time.Duration
	used, out, n := processorTime(), cluster.sent.Load(), 0
	for b.Loop() {
		began := time.Now()
		reached := change()
		cluster.forEachSession(func(i int) {
			for !reached(&cluster.sessions[i].request) {
				if _, err := cluster.watch(b.Context(), i, 500*time.Millisecond); err != nil {
					b.Error(err)
					return
				}
			}
			_, err := cluster.watch(b.Context(), i, 0) // the acknowledgement
			assert.Check(b, err)
		})
		duration := time.Since(began)
		took, longest, n = took+duration, max(longest, duration), n+1
	}
	b.ReportMetric(float64(took.Milliseconds())/float64(n), "ms/change")
	b.ReportMetric(float64(longest.Milliseconds()), "ms-max")
	b.ReportMetric(float64((processorTime()-used).Milliseconds())/float64(n), "cpu-ms/change")
	b.ReportMetric(float64(cluster.sent.Load()-out)/float64(n*len(cluster.sessions)), "B-out/session")
}

// BenchmarkPushEndpoints measures one changed entry of the platform's list, until all sessions have acknowledged it.
func BenchmarkPushEndpoints(b *testing.B) {
	for _, n := range []int{40, 130, sessionCount} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			cluster := newCluster(b, n, 150*time.Millisecond)
			cluster.synchronize(b)
			cluster.measurePush(b, func() func(*tierv1.WatchRequest) bool {
				before := uint64(0)
				for _, session := range cluster.sessions {
					before = max(before, session.request.EndpointsVersion)
				}
				cluster.cloud.change <- struct{}{}
				return func(r *tierv1.WatchRequest) bool { return r.EndpointsVersion > before }
			})
		})
	}
}

// BenchmarkPushConfiguration measures a new configuration, until all sessions have acknowledged it and Replace has answered.
func BenchmarkPushConfiguration(b *testing.B) {
	for _, c := range []struct{ sessions, routes int }{{40, 2000}, {130, 2000}, {sessionCount, 2000}, {sessionCount, tenants}} {
		b.Run(fmt.Sprintf("sessions=%d,routes=%d", c.sessions, c.routes), func(b *testing.B) {
			cluster := newCluster(b, c.sessions, time.Second)
			cluster.synchronize(b)
			revision := 0
			answered := make(chan struct{}, 1)
			answered <- struct{}{}
			cluster.measurePush(b, func() func(*tierv1.WatchRequest) bool {
				<-answered // of the previous change
				revision++
				before := cluster.sessions[0].request.ConfigurationVersion
				go func() { cluster.replaceConfiguration(b, revision, c.routes); answered <- struct{}{} }()
				return func(r *tierv1.WatchRequest) bool { return r.ConfigurationVersion > before }
			})
			<-answered
		})
	}
}

// BenchmarkAssign measures the placement of partitions: in a stable state, with a turn store just lost, and in the steps by
// which its replicas are restored.
func BenchmarkAssign(b *testing.B) {
	for _, n := range []int{32, 256, 1024} {
		in := controlplane.Input{FaultTolerance: controlplane.FaultTolerance{Losses: 1, Domain: func(k *tierv1.StoreNode) string { return k.Zone }},
			Alive: map[string]*tierv1.StoreNode{}, Draining: map[string]bool{}, GraceOver: true, MayMove: true}
		m := partitionMap(n, turnStores)
		for _, k := range m.StoreNodes {
			in.Alive[k.Folder] = k
		}
		m, _ = assignUntilStable(m, in)
		run := func(name string, in controlplane.Input) {
			b.Run(fmt.Sprintf("partitions=%d,%s", n, name), func(b *testing.B) {
				report := measureProcessor(b)
				for b.Loop() {
					controlplane.Assign(m, in)
				}
				report()
			})
		}
		run("rest", in)
		in.Alive = maps.Clone(in.Alive)
		delete(in.Alive, m.StoreNodes[0].Folder)
		run("one-lost", in)
		b.Run(fmt.Sprintf("partitions=%d,until-even", n), func(b *testing.B) {
			report, changes := measureProcessor(b), 0
			for b.Loop() {
				_, changes = assignUntilStable(m, in)
			}
			report()
			b.ReportMetric(float64(changes), "maps")
		})
	}
}

// assignUntilStable repeats the placement until the map is stable; new replicas are synced from one step to the next.
func assignUntilStable(m *tierv1.PartitionMap, in controlplane.Input) (rest *tierv1.PartitionMap, changes int) {
	for ; changes < 1000; changes++ {
		next, changed := controlplane.Assign(m, in)
		if !changed {
			break
		}
		m = proto.Clone(next).(*tierv1.PartitionMap)
		for _, p := range m.Partitions {
			for _, c := range p.Backups {
				c.Synced = true
			}
		}
	}
	return m, changes
}
