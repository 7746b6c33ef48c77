package tierdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"dockshift.example/dockshift/internal/tier/consensus"
	"dockshift.example/dockshift/internal/tier/controlplane"
	"dockshift.example/dockshift/internal/tier/gateway"
	"dockshift.example/dockshift/internal/tier/rpcserver"
	"dockshift.example/dockshift/internal/tier/session"
	"dockshift.example/dockshift/internal/tier/settings"
	"dockshift.example/dockshift/internal/tier/turnstore"
	"dockshift.example/dockshift/internal/tier/wal"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Ports of a machine, from the first; they are the same on all machines.
const (
	controlPlanePort = iota // the two that the roles speak to each other at, in the roles' own order
	turnStorePort
	operatorPort
	frontendPort
	readinessPort
	portCount
)

// process is one process of the tier: a role on a machine, which is an address of the loopback network, with its folder.
type process struct {
	settings settings.Settings
	log      *log.Logger

	mu   sync.Mutex // guards what follows, and is held while it starts or stops
	stop context.CancelFunc
	done chan struct{} // closed when all of it has ended
}

func (p *process) node() string { return p.settings.Node }

// life is what a role is run with: its context ends with the process.
type life struct {
	ctx    context.Context
	client *http.Client
	loops  sync.WaitGroup
}

func dialer[T any](l *life, make func(url string, c tierv1.HTTPClient) T) func(address string) T {
	var mu sync.Mutex
	known := map[string]T{}
	return func(address string) T {
		mu.Lock()
		defer mu.Unlock()
		c, ok := known[address]
		if !ok {
			c = make("http://"+address, l.client)
			known[address] = c
		}
		return c
	}
}

func dialControlPlane(url string, c tierv1.HTTPClient) tierv1.ControlPlane {
	return tierv1.NewControlPlaneProtobufClient(url, c)
}
func dialRegister(url string, c tierv1.HTTPClient) tierv1.Election {
	return tierv1.NewElectionProtobufClient(url, c)
}
func dialTurnStore(url string, c tierv1.HTTPClient) tierv1.TurnStore {
	return tierv1.NewTurnStoreProtobufClient(url, c)
}

// start begins a life of the process. Its errors are those of its folder and its ports.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{ctx: ctx, client: rpcserver.NewClient()}
	run := map[string]func(*life) error{"controlplane": p.controlplane, "turnstore": p.turnstore, "gateway": p.gateway}[p.settings.Role]
	if err := run(l); err != nil {
		cancel()
		l.loops.Wait()
		return errorx.Decorate(err, "%s", p.node())
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.loops.Wait()
		l.client.CloseIdleConnections()
	}()
	p.stop, p.done = cancel, done
	return nil
}

// kill ends the process as a kill does: connections are reset, nothing is said, the folder stays.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop == nil {
		return
	}
	p.stop()
	<-p.done
	p.stop = nil
	p.settings.Bootstrap = false
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stop != nil
}

func (p *process) controlplane(l *life) error {
	s := p.settings
	node, err := consensus.Open(consensus.Config{Self: &tierv1.Member{Node: s.Node, Zone: s.Zone, Region: s.Region, Address: s.Internal(controlPlanePort)},
		Seeds: s.SeedInternal(), Bootstrap: s.Bootstrap, Losses: s.Losses(), Dir: s.DataDir, FS: wal.OS{}, ContactWindow: s.ContactWindow,
		Heartbeat: s.Heartbeat, SyncTime: s.SyncTime, Dial: dialer(l, dialRegister), Log: p.log})
	if err != nil {
		return err
	}
	l.loops.Go(func() { _ = node.Run(l.ctx) }) // it closes the folder
	role := controlplane.New(controlplane.Config{Settings: s, Store: node, Cloud: l.client, Log: p.log})
	mux := http.NewServeMux()
	mux.Handle(tierv1.ElectionPathPrefix, node.Handler())
	mux.Handle(tierv1.ControlPlanePathPrefix, tierv1.NewControlPlaneServer(role.Sessions()))
	if _, err := rpcserver.Serve(l.ctx, s.Internal(controlPlanePort), mux); err != nil {
		return err
	}
	if _, err := rpcserver.Serve(l.ctx, s.Control, role.Operators()); err != nil {
		return err
	}
	l.loops.Go(func() { role.Run(l.ctx) })
	return nil
}

func (p *process) turnstore(l *life) error {
	s := p.settings
	v, err := turnstore.Open(turnstore.Config{Node: s.Node, Dir: s.DataDir, FS: wal.OS{}, Dial: dialer(l, dialTurnStore), Log: p.log})
	if err != nil {
		return err
	}
	if _, err := rpcserver.Serve(l.ctx, s.Internal(turnStorePort), tierv1.NewTurnStoreServer(v)); err != nil {
		_ = v.Close()
		return err
	}
	held := session.New(session.Config{Settings: s, Role: "turnstore", Folder: v.Folder(), Address: s.Internal(turnStorePort), Empty: v.WasEmpty(),
		Dial: dialer(l, dialControlPlane), Synced: v.Synced, Log: p.log, PartitionMap: v.Apply})
	l.loops.Go(func() { held.Run(l.ctx) })
	l.loops.Go(func() {
		_ = v.Run(l.ctx)
		_ = v.Close()
	})
	return nil
}

func (p *process) gateway(l *life) error {
	c := gateway.New(gateway.Config{Settings: p.settings, ControlPlane: dialer(l, dialControlPlane), TurnStore: dialer(l, dialTurnStore), Log: p.log})
	l.loops.Go(func() {
		if err := c.Run(l.ctx); err != nil && l.ctx.Err() == nil {
			p.log.Error().Str("event", "counter_ended").Err(err).Msg("")
		}
	})
	return nil
}

// tier is all processes.
type tier struct {
	controlPlanes, turnStores, gateways []*process
	network                             string // first three bytes of all addresses
	asking                              *life  // for questions of the rehearsal itself
}

// perRole is how many control plane and turn store processes there are: one may be lost, and is made good for by another.
const (
	perRole      = 3
	counterCount = 2
)

// layOut makes the processes, not started: their machines are addresses of a loopback network, their folders lie in dir.
func layOut(dir, platform string, logs *log.Logger) (*tier, error) {
	t := &tier{network: fmt.Sprintf("127.%d.%d.", 1+rand.N(254), rand.N(256)), asking: &life{client: rpcserver.NewClient()}}
	all := []struct {
		role  string
		count int
		to    *[]*process
	}{{"controlplane", perRole, &t.controlPlanes}, {"turnstore", perRole, &t.turnStores}, {"gateway", counterCount, &t.gateways}}
	var addresses []string
	for i := range 2*perRole + counterCount {
		addresses = append(addresses, t.network+strconv.Itoa(i+1))
	}
	first, err := freePorts(addresses)
	if err != nil {
		return nil, err
	}
	at := func(ip string, offset int) string { return net.JoinHostPort(ip, strconv.Itoa(first+offset)) }
	var seeds []string
	for _, ip := range addresses[:perRole] {
		seeds = append(seeds, at(ip, operatorPort))
	}
	for _, group := range all {
		for i := range group.count {
			ip := addresses[0]
			addresses = addresses[1:]
			s, err := settings.Parse(fmt.Appendf(nil, "node_name: %s-%d\nip_address: %s\ninternal_port_range: [%d, %d]\n",
				group.role, i+1, ip, first, first+turnStorePort))
			if err != nil {
				return nil, err
			}
			s.Role, s.Seeds, s.Bootstrap = group.role, seeds, true
			s.Zone, s.Region = zoneName(i), "region-1"
			s.Zones = map[string]string{}
			for z := range perRole {
				s.Zones[zoneName(z)] = s.Region
			}
			s.CloudAddress, s.CloudRate = platform, platformRate
			s.DrainTimeout, s.Grace = drainTime, drainTime/4
			switch group.role {
			case "controlplane":
				s.Control = at(ip, operatorPort)
			case "gateway":
				s.Frontend, s.Readiness = at(ip, frontendPort), at(ip, readinessPort)
			}
			if group.role != "gateway" {
				s.DataDir = filepath.Join(dir, s.Node)
				if err := os.Mkdir(s.DataDir, 0o700); err != nil {
					return nil, errorx.Decorate(err, "folder of %s", s.Node)
				}
			}
			l := *logs
			l.Context = log.NewContext(nil).Str("process", s.Node).Value()
			*group.to = append(*group.to, &process{settings: s, log: &l})
		}
	}
	return t, nil
}

func zoneName(i int) string { return "zone-" + strconv.Itoa(i+1) }

// freePorts finds a range of ports that is free on all addresses, below those that the system gives to callers.
func freePorts(addresses []string) (first int, err error) {
	for range 50 {
		first = 10000 + rand.N(20000)
		if err = tryPorts(addresses, first); err == nil {
			return first, nil
		}
	}
	return 0, errorx.Decorate(err, "no range of %d free ports on the loopback network", portCount)
}

func tryPorts(addresses []string, first int) error {
	for _, ip := range addresses {
		for offset := range portCount {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(first+offset)))
			if err != nil {
				return err
			}
			_ = l.Close()
		}
	}
	return nil
}

func (t *tier) all() []*process {
	return append(append(append([]*process(nil), t.controlPlanes...), t.turnStores...), t.gateways...)
}

func (t *tier) start() error {
	for _, p := range t.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// end stops all processes, those that call others first.
func (t *tier) end() {
	for _, group := range [][]*process{t.gateways, t.turnStores, t.controlPlanes} {
		var ending sync.WaitGroup
		for _, p := range group {
			ending.Go(p.kill)
		}
		ending.Wait()
	}
	t.asking.client.CloseIdleConnections()
}
