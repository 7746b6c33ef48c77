package simulation

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/settings"
)

// Settings of all processes. All bounds of the checkers follow from these.
const (
	contactWindow = 3 * time.Second
	heartbeat     = time.Second
	syncTime      = 4 * time.Second
	gracePeriod   = 8 * time.Second
	drainTimeout  = 3 * time.Second
	configApply   = 2 * time.Second
	retention     = 10 * time.Minute // no turn expires in a script
	startupTime   = 4 * time.Second  // from the first start to the first fault
)

// Load.
const (
	operatorCount     = 2
	programCount      = 4
	programBudget     = 400 // tokens
	clientsPerGateway = 2
	seedCount         = 3
)

// Addresses. The address of a machine consists of the prefix of its kind and a number.
const (
	coreNet    = "10.0.1."
	storeNet   = "10.0.2."
	gatewayNet = "10.0.3."
	outsideNet = "10.0.9."
	rivalsNet  = "10.0.8."
	platformIP = outsideNet + "1"
	endpointIP = outsideNet + "2"
	watcherIP  = outsideNet + "3"

	operatorPrefix = "operator-"
)

// checkers are the checkers of one play.
type checkers struct {
	configuration *configurationChecker
	views         *viewChecker
	turns         *turnChecker
}

// world is one simulated system, in a bubble of virtual time.
type world struct {
	script      Script
	options     Options
	network     *network
	checks      checkers
	began       time.Time
	ctx         context.Context // ends with the play
	cancel      context.CancelFunc
	running     sync.WaitGroup // goroutines of the simulator itself
	load        sync.WaitGroup // goroutines of operators and clients
	loadStopped chan struct{}  // closed when operators and clients are to stop

	mu                 sync.Mutex
	machines           map[string]*machine
	addresses          map[string]int // last number in use, by address prefix
	underFault         map[string]bool
	partitionedCore    map[string]int // number of faults that partition a control-plane machine, by its name
	busyOperatorFaults int            // active faults during which operators change the configuration without pause
	violation          *Violation
	retiringNode       string // the machine whose retirement was acknowledged
	retired            bool   // the retirement of retiringNode has completed
	bootstrap          bool
}

// newWorld returns a world without machines.
func newWorld(script Script, options Options) *world {
	w := &world{script: script, options: options, network: newNetwork(script.Seed), began: time.Now(), machines: map[string]*machine{},
		addresses: map[string]int{}, underFault: map[string]bool{}, partitionedCore: map[string]int{},
		loadStopped: make(chan struct{}), bootstrap: true}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.network.tamperReply = options.Hooks.TamperReply
	w.checks = checkers{configuration: newConfigurationChecker(w.reportViolation), views: newViewChecker(w.reportViolation), turns: newTurnChecker(w.reportViolation)}
	return w
}

// now is the virtual time since the start of the play.
func (w *world) now() time.Duration { return time.Since(w.began) }

// ending reports whether the play ends: a rule was broken, or all checks are done.
func (w *world) ending() bool { return w.ctx.Err() != nil }

// loadRunning reports whether operators and clients are to continue.
func (w *world) loadRunning() bool {
	select {
	case <-w.loadStopped:
		return false
	default:
		return !w.ending()
	}
}

// sleep waits for a duration, or for the end of the play.
func (w *world) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
	}
}

// reportViolation records a broken rule. The first one ends the play.
func (w *world) reportViolation(rule Rule, format string, args ...any) {
	if w.ending() || slices.Contains(w.options.Ignore, rule) {
		return
	}
	v := &Violation{At: w.now(), Rule: rule, Text: fmt.Sprintf(format, args...)}
	w.mu.Lock()
	if w.violation == nil {
		w.violation = v
	}
	w.mu.Unlock()
	w.trace("BROKEN: %v", v)
	w.cancel()
}

// trace writes a line of the trace.
func (w *world) trace(format string, args ...any) {
	if w.options.Trace != nil {
		fmt.Fprintf(w.options.Trace, "%9.4f %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
	}
}

// logger returns a machine's log, which goes to the trace.
func (w *world) logger(name string) *log.Logger {
	if w.options.Trace == nil {
		return &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	}
	return &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: traceWriter{w, name}}}
}

// traceWriter writes the log of a machine to the trace.
type traceWriter struct {
	w    *world
	name string
}

// Write implements io.Writer.
func (n traceWriter) Write(line []byte) (int, error) {
	n.w.trace("%s: %s", n.name, line[:max(0, len(line)-1)])
	return len(line), nil
}

// randomFor returns a random source that is seeded by the seed of the script and a name.
func (w *world) randomFor(name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return rand.New(rand.NewPCG(w.script.Seed, h.Sum64()))
}

// addMachine creates a machine of a kind at the next address. It replaces a machine of the same name.
func (w *world) addMachine(name string, kind roleName, zone int) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	network := map[roleName]string{roleControlPlane: coreNet, roleTurnStore: storeNet, roleGateway: gatewayNet}[kind]
	w.addresses[network]++
	ip := fmt.Sprint(network, w.addresses[network])
	return w.addMachineAt(name, kind, ip, zone%w.script.zones())
}

// addMachineAt creates a machine at an address. The caller holds mu.
func (w *world) addMachineAt(name string, kind roleName, ip string, zone int) *machine {
	random := w.randomFor(name + "@" + ip)
	m := &machine{world: w, name: name, ip: ip, zone: zone, kind: kind, random: random, disk: newDisk(random.Uint64())}
	m.settings = settings.Settings{Node: name, IP: ip, Zone: zoneName(zone), Region: regionName(zone % w.script.regions()), Control: ip + ":" + operatorsPort, PortFirst: internalPort,
		PortLast: internalPort + 10, ContactWindow: contactWindow, Heartbeat: heartbeat, SyncTime: syncTime,
		GracePeriod: gracePeriod, ConfigApply: configApply, DrainTimeout: drainTimeout, CloudAddress: platformIP + ":" + outsidePort, CloudRate: 40,
		MemoryMB: 64, MaxFileDescriptors: 1000}
	switch w.script.Unit {
	case Zones:
		m.settings.ZoneFailures = w.script.Losses
	case Regions:
		m.settings.RegionFailures = w.script.Losses
	default:
		m.settings.MachineFailures = w.script.Losses
	}
	if w.options.Hooks.Settings != nil {
		w.options.Hooks.Settings(&m.settings)
	}
	w.machines[name] = m
	w.network.update(func() { w.network.machines[ip] = m })
	return m
}

// addOutsideMachine creates a machine that no fault is injected into.
func (w *world) addOutsideMachine(name, ip string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addMachineAt(name, roleOutside, ip, 0)
}

// machine returns the machine with a name, or nil.
func (w *world) machine(name string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[name]
}

// machinesOfKind returns the machines of a kind, sorted by number.
func (w *world) machinesOfKind(kind roleName) (list []*machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.kind == kind {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(len(a.name), len(b.name)), cmp.Compare(a.name, b.name))
	})
	return list
}

// role creates the role of a new process, and sets the seeds and the bootstrap flag in the machine's settings.
func (w *world) role(m *machine) role {
	w.mu.Lock()
	cutOff := m.seedsPartitioned && len(w.partitionedCore) > 0
	m.seedsPartitioned = false
	w.mu.Unlock()
	m.settings.Seeds = nil
	for _, one := range w.machinesOfKind(roleControlPlane) {
		if len(m.settings.Seeds) < seedCount && (!cutOff || w.isPartitioned(one.name)) {
			m.settings.Seeds = append(m.settings.Seeds, one.settings.Control)
		}
	}
	w.mu.Lock()
	m.settings.Bootstrap = w.bootstrap
	w.mu.Unlock()
	switch m.kind {
	case roleControlPlane:
		return &controlPlaneRole{hooks: w.options.Hooks}
	case roleTurnStore:
		return &turnStoreRole{hooks: w.options.Hooks}
	case roleGateway:
		return &gatewayRole{}
	case roleOutside:
		return outsideRole{w.outsideHandler(m.ip)}
	default:
		panic("simulation: no such role: " + string(m.kind))
	}
}

// nextCoreName returns the name of an additional control-plane machine. Names are never reused, as the addresses by which they are
// numbered are never reused.
func (w *world) nextCoreName() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return coreName(w.addresses[coreNet])
}
