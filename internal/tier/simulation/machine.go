package simulation

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/settings"
)

// restartDelay is the time from the end of a process to the start of the next one on a machine that is up.
const restartDelay = 500 * time.Millisecond

// role is what a process does on a machine. start registers the handlers of the process by port. leave is the graceful shutdown.
type role interface {
	start(p *process) error
	leave(ctx context.Context)
}

// machine has a name, an address and a disk, and runs one process of a role at a time.
type machine struct {
	world    *world
	name     string
	ip       string
	zone     int
	kind     roleName
	settings settings.Settings
	disk     *disk
	random   *rand.Rand // for losses of power

	seedsPartitioned bool // guarded by the mutex of the world: the seeds of the next process are partitioned machines

	mu          sync.Mutex
	starting    *process
	current     *process
	up          bool // processes are started
	poweredOff  bool // without power
	incarnation int
}

// roleName is the kind of a machine.
type roleName string

const (
	roleControlPlane roleName = "controlplane"
	roleTurnStore    roleName = "turnstore"
	roleGateway      roleName = "gateway"
	roleOutside      roleName = "outside" // operators, the platform, endpoints: no fault is injected into them
)

// process is one incarnation of a role on a machine.
type process struct {
	machine  *machine
	link     *link
	ctx      context.Context
	cancel   context.CancelFunc
	log      *log.Logger
	role     role
	handlers map[string]http.Handler // by port

	floor          int64     // the minimum revision that was in force when the process began
	receivedBefore [2]uint64 // the highest versions that any process had received before
}

// ended reports whether the process has ended. Nothing that its goroutines still do may be visible outside.
func (p *process) ended() bool { return p.ctx.Err() != nil }

// files returns the file system of the machine for this process.
func (p *process) files() files { return files{p.machine.disk, p.ctx.Done()} }

// process returns the running process, or nil, and whether the machine is without power.
func (m *machine) process() (p *process, poweredOff bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current, m.poweredOff
}

// start starts a process, and a new one whenever the process ends by itself.
func (m *machine) start() {
	m.mu.Lock()
	m.up, m.poweredOff = true, false
	m.incarnation++
	incarnation := m.incarnation
	m.mu.Unlock()
	m.world.running.Go(func() {
		for m.mayRun(incarnation) {
			m.run(incarnation)
			m.world.sleep(restartDelay)
		}
	})
}

// mayRun reports whether a process of an incarnation may be started.
func (m *machine) mayRun(incarnation int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up && m.incarnation == incarnation && !m.world.ending()
}

// run runs one process from its start to its end.
func (m *machine) run(incarnation int) {
	ctx, cancel := context.WithCancel(m.world.ctx)
	defer cancel()
	p := &process{machine: m, ctx: ctx, cancel: cancel, log: m.world.logger(m.name), handlers: map[string]http.Handler{}}
	p.link = &link{m.world.network, p}
	p.floor, p.receivedBefore = m.world.checks.configuration.floor(), m.world.checks.views.highest()
	p.role = m.world.role(m)
	m.mu.Lock()
	if !m.up || m.incarnation != incarnation {
		m.mu.Unlock()
		return
	}
	m.starting = p
	m.mu.Unlock()
	err := p.role.start(p)
	m.mu.Lock()
	m.starting = nil
	started := err == nil && m.up && m.incarnation == incarnation
	if started {
		m.current = p
	}
	m.mu.Unlock()
	if err != nil {
		m.world.trace("%s: did not start: %v", m.name, err)
		return
	}
	if !started {
		return
	}
	<-ctx.Done()
	m.mu.Lock()
	if m.current == p {
		m.current = nil
	}
	m.mu.Unlock()
}

// stop ends the process; poweredOff: the machine is without power.
func (m *machine) stop(poweredOff bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up, m.poweredOff = false, poweredOff
	m.incarnation++
	for _, p := range []*process{m.starting, m.current} {
		if p != nil {
			p.cancel()
		}
	}
	m.current = nil
}

// kill ends the process; the disk stays as the process saw it. start starts the machine again.
func (m *machine) kill() {
	m.stop(false)
	m.disk.Kill()
}

// powerLoss cuts the machine's power; data that was not synced may be lost.
func (m *machine) powerLoss() {
	m.stop(true)
	m.disk.Crash(m.random)
}

// wipe cuts the machine's power and clears its disk.
func (m *machine) wipe() {
	m.stop(true)
	m.disk.Wipe()
}

// terminate has the process leave, and kills it when it has left or the grace period is over.
func (m *machine) terminate() {
	p, _ := m.process()
	if p == nil {
		return
	}
	m.mu.Lock()
	m.up = false
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, m.settings.GracePeriod)
	defer cancel()
	p.role.leave(ctx)
	m.kill()
}

// serve has the process serve a request. It returns nil if nothing listens at the port.
func (p *process) serve(caller context.Context, from, port string, r *http.Request, body []byte) *recorder {
	handler := p.handlers[port]
	if handler == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	stop := context.AfterFunc(caller, func() {
		// The end of the connection is delivered like a message.
		p.link.network.deliver(from, p.machine.name, minDelay)
		cancel()
	})
	defer stop()
	reply := &recorder{header: http.Header{}}
	handler.ServeHTTP(reply, request(ctx, r, body))
	return reply
}

// failureDomain returns the zone or region of the machine where zones or regions are lost, otherwise the machine's name.
func (m *machine) failureDomain() string {
	if m.world.script.Unit == Machines {
		return m.name
	}
	return m.world.script.domainName(m.zone % m.world.script.domains())
}

// incarnations returns the number of starts and stops of the machine.
func (m *machine) incarnations() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}
