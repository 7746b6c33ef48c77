package controlplane

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/consensus"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// cluster is a set of control-plane processes over the real consensus and disks in memory, connected by a network in memory. It
// runs in virtual time (package testing/synctest).
type cluster struct {
	t        *testing.T
	ctx      context.Context
	wrap     func(Store) Store // wraps the store of each process to inject a fault; nil: no fault
	machines []*coreMachine
	limit    int // of the control state, in bytes; 0: consensus.StateLimit

	mu       sync.Mutex
	random   *rand.Rand
	blocked  map[[2]string]bool // from, to: messages in this direction are lost
	lossRate float64            // fraction of operators' calls whose answer is lost
}

// coreMachine is one core machine with its disk. Its process may be down.
type coreMachine struct {
	node string
	ip   string
	disk *wal.Memory

	mu        sync.Mutex
	internal  http.Handler // nil: no process
	operators http.Handler
	store     *consensus.Node
	plane     *ControlPlane
	end       func()
}

const (
	internalPort = "7680"
	operatorPort = "8144"
	processDelay = 5 * time.Millisecond // between two starts, as the time seeds the jitter of a process
)

var (
	errNoProcess = errors.New("connection refused")
	errLost      = errors.New("connection reset")
)

// setUp starts the processes of machines for the first time.
func (c *cluster) setUp(ctx context.Context, t *testing.T, seed uint64, machines int) {
	c.addMachines(ctx, t, seed, machines)
	for _, m := range c.machines {
		c.start(m, true)
	}
}

// addMachines adds machines with empty disks and no process.
func (c *cluster) addMachines(ctx context.Context, t *testing.T, seed uint64, machines int) {
	c.t, c.ctx, c.random, c.blocked = t, ctx, rand.New(rand.NewPCG(seed, 7)), map[[2]string]bool{}
	for i := range machines {
		c.machines = append(c.machines, &coreMachine{node: fmt.Sprint("core-", i+1), ip: fmt.Sprint("10.0.0.", i+1), disk: wal.NewMemory()})
	}
}

// randomIntN returns a number below n.
func (c *cluster) randomIntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *cluster) settings(m *coreMachine) settings.Settings {
	return settings.Settings{Node: m.node, IP: m.ip, Control: m.ip + ":" + operatorPort, MachineFailures: 1, MemoryMB: 1,
		ContactWindow: 3 * time.Second, Heartbeat: 400 * time.Millisecond, ConfigApply: 2 * time.Second, DrainTimeout: 3 * time.Second,
		SyncTime: 4 * time.Second}
}

// start starts a process on a machine.
func (c *cluster) start(m *coreMachine, bootstrap bool) {
	<-time.After(processDelay)
	set := c.settings(m)
	var seeds []string
	for _, one := range c.machines[:min(3, len(c.machines))] {
		seeds = append(seeds, one.ip+":"+internalPort)
	}
	client := &http.Client{Transport: clusterTransport{c, m.ip}}
	node, err := consensus.Open(consensus.Config{Self: &tierv1.Member{Node: m.node, Address: m.ip + ":" + internalPort, Zone: m.node, Region: "r"},
		Seeds: seeds, Bootstrap: bootstrap, Losses: 1, Dir: "/data", FS: m.disk, ContactWindow: set.ContactWindow, Heartbeat: set.Heartbeat,
		StateLimit: c.limit, Dial: func(address string) tierv1.Election {
			return tierv1.NewElectionProtobufClient("http://"+address, client)
		}})
	assert.NilError(c.t, err)
	var store Store = node
	if c.wrap != nil {
		store = c.wrap(node)
	}
	plane := New(Config{Settings: set, Store: store, Dial: func(address string) tierv1.ControlPlane {
		return tierv1.NewControlPlaneProtobufClient("http://"+address, client)
	}})
	mux := http.NewServeMux()
	mux.Handle(tierv1.ElectionPathPrefix, node.Handler())
	mux.Handle(tierv1.ControlPlanePathPrefix, tierv1.NewControlPlaneServer(plane.Sessions()))
	ctx, cancel := context.WithCancel(c.ctx)
	var running sync.WaitGroup
	running.Go(func() { node.Run(ctx) })
	running.Go(func() { plane.Run(ctx) })
	m.mu.Lock()
	defer m.mu.Unlock()
	m.internal, m.operators, m.store, m.plane = mux, plane.Operators(), node, plane
	m.end = func() { cancel(); running.Wait() }
}

func (m *coreMachine) up() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.internal != nil
}

// stop kills the process. On a power loss the disk also loses what was not synced.
func (c *cluster) stop(m *coreMachine, powerLoss bool) {
	m.mu.Lock()
	end := m.end
	m.internal, m.operators, m.end = nil, nil, nil
	m.mu.Unlock()
	if powerLoss {
		c.mu.Lock()
		m.disk.Crash(c.random)
		c.mu.Unlock()
	} else {
		m.disk.Kill()
	}
	if end != nil {
		end()
	}
}

func (c *cluster) stopAll() {
	for _, m := range c.machines {
		c.stop(m, false)
	}
}

// leader returns the machine whose process is the primary and in contact with its backups, the one of the newest epoch if there
// are two; nil if there is none.
func (c *cluster) leader() (found *coreMachine) {
	newest := uint64(0)
	for _, m := range c.machines {
		if !m.up() {
			continue
		}
		if epoch, ok := m.store.Primary(); ok && epoch > newest {
			found, newest = m, epoch
		}
	}
	return found
}

// block drops all messages from one address to another, or lets them through again.
func (c *cluster) block(from, to string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[[2]string{from, to}] = blocked
}

// partition drops the messages that a machine sends to the others, those that it receives from them, or both; or lets them
// through again.
func (c *cluster) partition(m *coreMachine, outbound, inbound, blocked bool) {
	for _, other := range c.machines {
		if other == m {
			continue
		}
		if outbound {
			c.block(m.ip, other.ip, blocked)
		}
		if inbound {
			c.block(other.ip, m.ip, blocked)
		}
	}
}

func (c *cluster) reachable(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.blocked[[2]string{from, to}]
}

// delay waits for the latency of a message.
func (c *cluster) delay(ctx context.Context) error {
	delay := time.Millisecond + time.Duration(c.randomIntN(4000))*time.Microsecond
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// clusterTransport carries the calls of one address. The caller notices a lost message only by its time-out.
type clusterTransport struct {
	c    *cluster
	from string
}

func (t clusterTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	ctx := q.Context()
	to, handler := t.c.handler(q.URL.Hostname(), q.URL.Port())
	var body []byte
	if q.Body != nil {
		var err error
		if body, err = io.ReadAll(q.Body); err != nil {
			return nil, err
		}
		q.Body.Close()
	}
	if err := t.c.delay(ctx); err != nil {
		return nil, err
	}
	if !t.c.reachable(t.from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if handler == nil {
		return nil, errNoProcess
	}
	// The server continues when its caller has gone: a request that was read is carried out.
	serverCtx, cancel := context.WithCancel(t.c.ctx)
	defer context.AfterFunc(ctx, cancel)()
	request := httptest.NewRequestWithContext(serverCtx, q.Method, q.URL.String(), bytes.NewReader(body))
	request.Header = q.Header.Clone()
	answers := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		defer cancel()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, request)
		answers <- w
	}()
	var w *httptest.ResponseRecorder
	select {
	case w = <-answers:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := t.c.delay(ctx); err != nil {
		return nil, err
	}
	if !t.c.reachable(to, t.from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if _, still := t.c.handler(q.URL.Hostname(), q.URL.Port()); still == nil {
		return nil, errLost // the process ended, and its connections were reset
	}
	response := w.Result()
	response.Request = q
	return response, nil
}

// handler returns the handler that listens at an address; nil if there is none.
func (c *cluster) handler(ip, port string) (machineIP string, h http.Handler) {
	for _, m := range c.machines {
		if m.ip != ip {
			continue
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if port == internalPort {
			return ip, m.internal
		}
		return ip, m.operators
	}
	return ip, nil
}
