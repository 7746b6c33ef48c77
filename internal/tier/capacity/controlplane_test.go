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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dockshift.example/dockshift/internal/tier/controlplane"
	"dockshift.example/dockshift/internal/tier/rpcserver"
	"dockshift.example/dockshift/internal/tier/settings"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// state is a control state that is always in touch.
type state struct {
	mu       sync.Mutex
	values   map[string][]byte
	at       map[string]uint64
	sequence uint64
	changed  chan struct{}
}

func (s *state) Primary() (uint64, bool)               { return 1 << 12, true }
func (s *state) Hint() string                          { return "" }
func (s *state) Record() *tierv1.Record                { return &tierv1.Record{Epoch: 1 << 12} }
func (s *state) Self() *tierv1.Member                  { return &tierv1.Member{Folder: "c1", Address: "10.0.0.1:7000"} }
func (s *state) Members() []*tierv1.Member             { return []*tierv1.Member{s.Self()} }
func (s *state) Confirm(context.Context, uint64) error { return nil }
func (s *state) Changed() <-chan struct{}              { s.mu.Lock(); defer s.mu.Unlock(); return s.changed }
func (s *state) Get(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], s.at[key]
}

func (s *state) Put(_ context.Context, _ uint64, sets map[string][]byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	for k, v := range sets {
		s.values[k], s.at[k] = v, s.sequence
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.sequence, nil
}

// platform answers with a list that changes with the next call after each change asked for.
type platform struct {
	change chan struct{}
	at     int
}

func (p *platform) RoundTrip(*http.Request) (*http.Response, error) {
	select {
	case <-p.change:
		p.at++
	default:
	}
	var list []map[string]any
	for i, e := range endpointList(endpoints, 0).List {
		one := map[string]any{"instance_id": e.Instance, "service_name": e.Service, "address": e.Address, "zone": e.Zone, "revision": e.Revision,
			"capacity": e.Capacity, "lifecycle_state": "running", "phase": e.Phase, "models": []map[string]any{{"name": e.Models[0].Name, "revision": 3}}}
		if i == 0 {
			one["revision"] = fmt.Sprint(p.at)
		}
		list = append(list, one)
	}
	body, err := json.Marshal(map[string]any{"instances": list, "next_page_token": nil})
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}, err
}

// counted counts what a listener's connections carry.
type counted struct {
	net.Listener
	in, out *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.in, l.out}, err
}

type countedConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	return n, err
}

// hall is a control primary and the hollow sessions of all processes, over loopback.
type hall struct {
	k        *controlplane.ControlPlane
	cloud    *platform
	in, out  atomic.Int64
	dial     []tierv1.ControlPlane
	sessions []*hollow
}

// hollow is what a process's session keeps.
type hollow struct {
	req tierv1.WatchRequest
}

func newHall(b *testing.B, n int, drain time.Duration) *hall {
	h := &hall{cloud: &platform{change: make(chan struct{})}}
	s := &state{values: map[string][]byte{}, at: map[string]uint64{}, changed: make(chan struct{})}
	set := settings.Settings{Node: "core-1", IP: "127.0.0.1", LoseMachines: 1, MemoryMB: 256, ContactWindow: 3 * time.Second,
		ConfigApply: 5 * time.Second, DrainTimeout: drain, CloudAddress: "platform:80"}
	h.k = controlplane.New(controlplane.Config{Settings: set, Store: s, Cloud: &http.Client{Transport: h.cloud}})
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	running.Go(func() { h.k.Run(ctx) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{Handler: tierv1.NewControlPlaneServer(h.k.Sessions())}
	running.Go(func() { _ = server.Serve(counted{listener, &h.in, &h.out}) })
	b.Cleanup(func() { cancel(); _ = server.Close(); running.Wait() })
	for i := range n {
		client := rpcserver.NewClient()
		b.Cleanup(client.CloseIdleConnections)
		h.dial = append(h.dial, tierv1.NewControlPlaneProtobufClient("http://"+listener.Addr().String(), client))
		o := &hollow{}
		o.req.Node, o.req.Role, o.req.Life, o.req.Address = fmt.Sprintf("edge-%03d", i), "gateway", rpcserver.Life(), fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		o.req.Zone, o.req.Region = fmt.Sprintf("zone-%02d", i%zones), fmt.Sprintf("region-%d", i%3)
		h.sessions = append(h.sessions, o)
	}
	return h
}

// watch is one call of a session, which takes in what comes.
func (h *hall) watch(ctx context.Context, i int, hold time.Duration) (*tierv1.WatchReply, error) {
	r := &h.sessions[i].req
	r.HoldMs = uint32(hold.Milliseconds())
	n, err := h.dial[i].Watch(ctx, r)
	if err != nil {
		return nil, err
	}
	r.Configuration, r.Endpoints = max(r.Configuration, n.Configuration.GetVersion()), max(r.Endpoints, n.Endpoints.GetVersion())
	r.PartitionMap, r.Members = max(r.PartitionMap, n.PartitionMap.GetVersion()), max(r.Members, n.Members.GetVersion())
	return n, nil
}

func (h *hall) each(f func(i int)) {
	var all sync.WaitGroup
	for i := range h.sessions {
		all.Go(func() { f(i) })
	}
	all.Wait()
}

func (h *hall) replace(b *testing.B, revision, routes int) {
	q := httptest.NewRequest("POST", "http://127.0.0.1/saffronyard/Configuration.Replace", bytes.NewReader(configuration(revision, routes)))
	q.Header.Set("X-Base-Revision", fmt.Sprint(revision-1))
	w := httptest.NewRecorder()
	h.k.Operators().ServeHTTP(w, q)
	assert.Check(b, w.Code == http.StatusOK, w.Body.String())
}

// settle brings every session up to date.
func (h *hall) settle(b *testing.B) {
	h.each(func(i int) {
		for h.sessions[i].req.Endpoints == 0 {
			_, err := h.watch(b.Context(), i, 50*time.Millisecond)
			assert.Check(b, err)
		}
	})
}

// BenchmarkPoll gives what one call without news costs, server and client together, all sessions calling at once.
func BenchmarkPoll(b *testing.B) {
	h := newHall(b, holders, time.Second)
	h.settle(b)
	h.each(func(i int) { _, _ = h.watch(b.Context(), i, 0) })
	used, in, out, n := processor(), h.in.Load(), h.out.Load(), 0
	for b.Loop() {
		h.each(func(i int) { _, err := h.watch(b.Context(), i, 0); assert.Check(b, err) })
		n += holders
	}
	b.ReportMetric(float64((processor()-used).Microseconds())/float64(n), "cpu-µs/poll")
	b.ReportMetric(float64(h.in.Load()-in)/float64(n), "B-in/poll")
	b.ReportMetric(float64(h.out.Load()-out)/float64(n), "B-out/poll")
}

// BenchmarkPollBare gives what the deciding part of one call without news costs, without any network.
func BenchmarkPollBare(b *testing.B) {
	h := newHall(b, holders, time.Second)
	h.settle(b)
	s := h.k.Sessions()
	for _, one := range h.sessions {
		one.req.HoldMs = 0
	}
	i := 0
	report := measured(b)
	for b.Loop() {
		_, err := s.Watch(b.Context(), &h.sessions[i%holders].req)
		assert.NilError(b, err)
		i++
	}
	report()
}

// push measures one change after the other until every session has acknowledged it.
func (h *hall) push(b *testing.B, change func() (acknowledged func(*tierv1.WatchRequest) bool)) {
	var took, most time.Duration
	used, out, n := processor(), h.out.Load(), 0
	for b.Loop() {
		began := time.Now()
		reached := change()
		h.each(func(i int) {
			for !reached(&h.sessions[i].req) {
				if _, err := h.watch(b.Context(), i, 500*time.Millisecond); err != nil {
					b.Error(err)
					return
				}
			}
			_, err := h.watch(b.Context(), i, 0) // the acknowledgement
			assert.Check(b, err)
		})
		d := time.Since(began)
		took, most, n = took+d, max(most, d), n+1
	}
	b.ReportMetric(float64(took.Milliseconds())/float64(n), "ms/change")
	b.ReportMetric(float64(most.Milliseconds()), "ms-most")
	b.ReportMetric(float64((processor()-used).Milliseconds())/float64(n), "cpu-ms/change")
	b.ReportMetric(float64(h.out.Load()-out)/float64(n*len(h.sessions)), "B-out/session")
}

// BenchmarkPushEndpoints gives what one changed line of the platform's list costs, until all have acknowledged it.
func BenchmarkPushEndpoints(b *testing.B) {
	for _, n := range []int{40, 130, holders} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			h := newHall(b, n, 150*time.Millisecond)
			h.settle(b)
			h.push(b, func() func(*tierv1.WatchRequest) bool {
				before := uint64(0)
				for _, s := range h.sessions {
					before = max(before, s.req.Endpoints)
				}
				h.cloud.change <- struct{}{}
				return func(r *tierv1.WatchRequest) bool { return r.Endpoints > before }
			})
		})
	}
}

// BenchmarkPushConfiguration gives what a new configuration costs, until all have acknowledged it and Replace has answered.
func BenchmarkPushConfiguration(b *testing.B) {
	for _, c := range []struct{ sessions, routes int }{{40, 2000}, {130, 2000}, {holders, 2000}, {holders, tenants}} {
		b.Run(fmt.Sprintf("sessions=%d,routes=%d", c.sessions, c.routes), func(b *testing.B) {
			h := newHall(b, c.sessions, time.Second)
			h.settle(b)
			revision := 0
			answered := make(chan struct{}, 1)
			answered <- struct{}{}
			h.push(b, func() func(*tierv1.WatchRequest) bool {
				<-answered // of the one before
				revision++
				before := h.sessions[0].req.Configuration
				go func() { h.replace(b, revision, c.routes); answered <- struct{}{} }()
				return func(r *tierv1.WatchRequest) bool { return r.Configuration > before }
			})
			<-answered
		})
	}
}

// BenchmarkAssign gives the time in which the map of partitions is looked at: at rest, with a turn store just lost, and in the
// steps by which its copies come back.
func BenchmarkAssign(b *testing.B) {
	for _, n := range []int{32, 256, 1024} {
		in := controlplane.Input{Spread: controlplane.Spread{Losses: 1, Domain: func(k *tierv1.StoreNode) string { return k.Zone }},
			Alive: map[string]*tierv1.StoreNode{}, Leaving: map[string]bool{}, Certain: true, Move: true}
		m := partitionMap(n, turnStores)
		for _, k := range m.StoreNodes {
			in.Alive[k.Folder] = k
		}
		m, _ = steps(m, in)
		run := func(name string, in controlplane.Input) {
			b.Run(fmt.Sprintf("partitions=%d,%s", n, name), func(b *testing.B) {
				report := measured(b)
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
			report, changes := measured(b), 0
			for b.Loop() {
				_, changes = steps(m, in)
			}
			report()
			b.ReportMetric(float64(changes), "maps")
		})
	}
}

// steps brings a map to rest, its new copies being whole from one step to the next.
func steps(m *tierv1.PartitionMap, in controlplane.Input) (rest *tierv1.PartitionMap, changes int) {
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
