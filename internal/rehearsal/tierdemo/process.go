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

	"dockshift.example/dockshift/internal/tier/process"
	"dockshift.example/dockshift/internal/tier/rpcserver"
	"dockshift.example/dockshift/internal/tier/settings"
)

// Ports of a machine, from the first; they are the same on all machines.
const (
	controlPlanePort = process.ControlPlanePort
	turnStorePort    = process.TurnStorePort
	operatorPort     = iota // the others follow
	frontendPort
	readinessPort
	portCount
)

// member is one process of the tier: a role on a machine, which is an address of the loopback network, with its folder.
type member struct {
	settings settings.Settings
	log      *log.Logger

	mu      sync.Mutex // guards what follows, and is held while it starts or stops
	process *process.Process
}

func (m *member) node() string { return m.settings.Node }

// start begins a life of the process. Its errors are those of its folder and its ports.
func (m *member) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		return nil
	}
	started, err := process.Start(context.Background(), m.settings.Role, process.Config{Settings: m.settings, Log: m.log})
	if err != nil {
		return errorx.Decorate(err, "%s", m.node())
	}
	m.process = started
	return nil
}

// kill ends the process as a kill does: connections are reset, nothing is said, the folder stays.
func (m *member) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	m.process.Kill()
	m.process = nil
	m.settings.Bootstrap = false
}

func (m *member) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process != nil
}

// tier is all processes.
type tier struct {
	controlPlanes, turnStores, gateways []*member
	network                             string       // first three bytes of all addresses
	client                              *http.Client // for questions of the demo itself
}

// perRole is how many control plane and turn store processes there are: one may be lost, and is made good for by another.
const (
	perRole      = 3
	gatewayCount = 2
)

// layOut makes the processes, not started: their machines are addresses of a loopback network, their folders lie in dir.
func layOut(dir, platform string, logs *log.Logger) (*tier, error) {
	t := &tier{network: fmt.Sprintf("127.%d.%d.", 1+rand.N(254), rand.N(256)), client: rpcserver.NewClient()}
	all := []struct {
		role  string
		count int
		to    *[]*member
	}{{process.RoleControlPlane, perRole, &t.controlPlanes}, {process.RoleTurnStore, perRole, &t.turnStores}, {process.RoleGateway, gatewayCount, &t.gateways}}
	var addresses []string
	for i := range 2*perRole + gatewayCount {
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
			case process.RoleControlPlane:
				s.Control = at(ip, operatorPort)
			case process.RoleGateway:
				s.Frontend, s.Readiness = at(ip, frontendPort), at(ip, readinessPort)
			}
			if group.role != process.RoleGateway {
				s.DataDir = filepath.Join(dir, s.Node)
				if err := os.Mkdir(s.DataDir, 0o700); err != nil {
					return nil, errorx.Decorate(err, "folder of %s", s.Node)
				}
			}
			l := *logs
			l.Context = log.NewContext(nil).Str("process", s.Node).Value()
			*group.to = append(*group.to, &member{settings: s, log: &l})
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

func (t *tier) all() []*member {
	return append(append(append([]*member(nil), t.controlPlanes...), t.turnStores...), t.gateways...)
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
	for _, group := range [][]*member{t.gateways, t.turnStores, t.controlPlanes} {
		var ending sync.WaitGroup
		for _, p := range group {
			ending.Go(p.kill)
		}
		ending.Wait()
	}
	t.client.CloseIdleConnections()
}
