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

	"saffronyard.example/saffronyard/internal/tier/process"
	"saffronyard.example/saffronyard/internal/tier/rpc"
	"saffronyard.example/saffronyard/internal/tier/settings"
)

// Ports of a machine, counted from the first. They are the same on all machines.
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

	mu      sync.Mutex // guards process; held while the process starts or stops
	process *process.Process
}

// node returns the name of the member's machine.
func (member *member) node() string { return member.settings.Node }

// start starts the process unless it is running. Errors come from its folder and its ports.
func (member *member) start() error {
	member.mu.Lock()
	defer member.mu.Unlock()
	if member.process != nil {
		return nil
	}
	started, err := process.Start(context.Background(), member.settings.Role, process.Config{Settings: member.settings, Log: member.log})
	if err != nil {
		return errorx.Decorate(err, "%s", member.node())
	}
	member.process = started
	return nil
}

// kill ends the process like SIGKILL: connections are reset, there is no handover, and the folder remains.
func (member *member) kill() {
	member.mu.Lock()
	defer member.mu.Unlock()
	if member.process == nil {
		return
	}
	member.process.Kill()
	member.process = nil
	member.settings.Bootstrap = false
}

// running reports whether the process has been started and not been killed since.
func (member *member) running() bool {
	member.mu.Lock()
	defer member.mu.Unlock()
	return member.process != nil
}

// tier has the processes of all roles.
type tier struct {
	controlPlanes, turnStores, gateways []*member
	network                             string       // first three bytes of all addresses
	client                              *http.Client // for calls of the demo itself
}

// perRole is the number of control-plane processes, and of turn-store processes: with three, one of them may be lost.
const (
	perRole      = 3
	gatewayCount = 2
)

// newTier configures the processes without starting them. Their machines are addresses of a loopback network, their folders are
// in dir.
func newTier(dir, platform string, logs *log.Logger) (*tier, error) {
	tier := &tier{network: fmt.Sprintf("127.%d.%d.", 1+rand.N(254), rand.N(256)), client: rpc.NewClient()}
	var addresses []string
	for index := range 2*perRole + gatewayCount {
		addresses = append(addresses, tier.network+strconv.Itoa(index+1))
	}
	firstPort, err := freePorts(addresses)
	if err != nil {
		return nil, err
	}
	site := site{dir: dir, platform: platform, firstPort: firstPort}
	for _, ip := range addresses[:perRole] {
		site.seeds = append(site.seeds, site.at(ip, operatorPort))
	}
	groups := []struct {
		role    string
		count   int
		members *[]*member
	}{{process.RoleControlPlane, perRole, &tier.controlPlanes}, {process.RoleTurnStore, perRole, &tier.turnStores}, {process.RoleGateway, gatewayCount, &tier.gateways}}
	for _, group := range groups {
		for index := range group.count {
			configured, err := site.settings(group.role, index, addresses[0])
			if err != nil {
				return nil, err
			}
			addresses = addresses[1:]
			logger := *logs
			logger.Context = log.NewContext(nil).Str("process", configured.Node).Value()
			*group.members = append(*group.members, &member{settings: configured, log: &logger})
		}
	}
	return tier, nil
}

// site has the settings that the processes of a tier share.
type site struct {
	dir       string // parent of their folders
	platform  string // address of the platform
	firstPort int    // first port of each machine
	seeds     []string
}

// at returns the address of a port of a machine. The offset counts from the first port.
func (site site) at(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(site.firstPort+offset))
}

// settings returns the settings of a role's process with an index, and creates its data folder if the role has one.
func (site site) settings(role string, index int, ip string) (settings.Settings, error) {
	configured, err := settings.Parse(fmt.Appendf(nil, "node_name: %s-%d\nip_address: %s\ninternal_port_range: [%d, %d]\n",
		role, index+1, ip, site.firstPort, site.firstPort+turnStorePort))
	if err != nil {
		return configured, err
	}
	configured.Role, configured.Seeds, configured.Bootstrap = role, site.seeds, true
	configured.Zone, configured.Region = zoneName(index), "region-1"
	configured.Zones = map[string]string{}
	for zone := range perRole {
		configured.Zones[zoneName(zone)] = configured.Region
	}
	configured.CloudAddress, configured.CloudRate = site.platform, platformRate
	configured.DrainTimeout, configured.GracePeriod = drainTime, drainTime/4
	switch role {
	case process.RoleControlPlane:
		configured.Control = site.at(ip, operatorPort)
	case process.RoleGateway:
		configured.Frontend, configured.Readiness = site.at(ip, frontendPort), site.at(ip, readinessPort)
		return configured, nil
	}
	configured.DataDir = filepath.Join(site.dir, configured.Node)
	if err := os.Mkdir(configured.DataDir, 0o700); err != nil {
		return configured, errorx.Decorate(err, "folder of %s", configured.Node)
	}
	return configured, nil
}

// zoneName returns the name of the zone with an index.
func zoneName(i int) string { return "zone-" + strconv.Itoa(i+1) }

// freePorts finds a range of ports that is free on all addresses, below the ephemeral ports of the system.
func freePorts(addresses []string) (first int, err error) {
	for range 50 {
		first = 10000 + rand.N(20000)
		if err = checkPortsFree(addresses, first); err == nil {
			return first, nil
		}
	}
	return 0, errorx.Decorate(err, "no range of %d free ports on the loopback network", portCount)
}

// checkPortsFree returns an error if a port of the range is in use on an address.
func checkPortsFree(addresses []string, first int) error {
	for _, ip := range addresses {
		for offset := range portCount {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(first+offset)))
			if err != nil {
				return err
			}
			_ = listener.Close()
		}
	}
	return nil
}

// all returns the members of all roles.
func (tier *tier) all() []*member {
	return append(append(append([]*member(nil), tier.controlPlanes...), tier.turnStores...), tier.gateways...)
}

// start starts all processes.
func (tier *tier) start() error {
	for _, process := range tier.all() {
		if err := process.start(); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all processes, callers before the processes that they call.
func (tier *tier) killAll() {
	for _, group := range [][]*member{tier.gateways, tier.turnStores, tier.controlPlanes} {
		var stopping sync.WaitGroup
		for _, process := range group {
			stopping.Go(process.kill)
		}
		stopping.Wait()
	}
	tier.client.CloseIdleConnections()
}
