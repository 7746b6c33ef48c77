package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Offsets of the ports of each machine from its first port.
const (
	internalPorts = 16
	controlPort   = internalPorts + iota - 1
	frontendPort
	readinessPort
	portCount
)

// machine is one process of the tier on an address of its own, with its settings file and its data folder.
type machine struct {
	role, name, ip, zone string
	dir                  string
	bootstrap            bool
	cmd                  *exec.Cmd
	ended                chan struct{} // closed when the process of cmd has ended
}

// tier is a small deployment of real processes.
type tier struct {
	dir, platform string
	network       string
	port          int
	machines      []*machine
	cores, stores []*machine
	gateways      []*machine
	seeds         []string
}

// newTier prepares machines on free addresses of the loopback network; nothing is started.
func newTier(dir, platform string, cores, stores, gateways int) (*tier, error) {
	created := &tier{dir: dir, platform: platform}
	for range 50 {
		created.network = fmt.Sprintf("127.%d.%d.", 1+rand.N(250), rand.N(250))
		created.port = 10000 + rand.N(20000)
		if created.free(cores + stores + gateways) {
			break
		}
	}
	next := 1
	add := func(role string, count int, into *[]*machine) error {
		for i := range count {
			added := &machine{role: role, name: fmt.Sprintf("%s-%d", role, i+1), ip: fmt.Sprintf("%s%d", created.network, next),
				zone: fmt.Sprintf("zone-%d", i%4+1), bootstrap: true}
			next++
			added.dir = filepath.Join(dir, added.name)
			if err := os.MkdirAll(added.dir, 0o700); err != nil {
				return err
			}
			*into = append(*into, added)
			created.machines = append(created.machines, added)
		}
		return nil
	}
	if err := add("control-plane", cores, &created.cores); err != nil {
		return nil, err
	}
	if err := add("turn-store", stores, &created.stores); err != nil {
		return nil, err
	}
	if err := add("gateway", gateways, &created.gateways); err != nil {
		return nil, err
	}
	for _, core := range created.cores[:min(3, cores)] {
		created.seeds = append(created.seeds, created.at(core, controlPort))
	}
	return created, nil
}

// free reports whether the first and last port are free on all addresses.
func (t *tier) free(count int) bool {
	for i := range count {
		for _, offset := range []int{0, 1, controlPort, frontendPort, readinessPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", t.network, i+1, t.port+offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// at returns an address of a machine.
func (t *tier) at(of *machine, offset int) string {
	return net.JoinHostPort(of.ip, fmt.Sprint(t.port+offset))
}

// settings returns the settings file of a machine.
func (t *tier) settings(of *machine) string {
	var b strings.Builder
	class := map[string]string{"control-plane": "core", "turn-store": "storage", "gateway": "edge"}[of.role]
	fmt.Fprintf(&b, "node_name: %q\nrole: %q\nmachine_type: %q\nip_address: %q\nzone: %q\nregion: \"r\"\n", of.name, of.role, class, of.ip, of.zone)
	b.WriteString("zones:\n  zone-1: \"r\"\n  zone-2: \"r\"\n  zone-3: \"r\"\n  zone-4: \"r\"\nlisten_addresses:\n")
	data := "null"
	switch of.role {
	case "control-plane":
		fmt.Fprintf(&b, "  control_plane: %q\nserved_roles:\n  - \"control_plane\"\n", t.at(of, controlPort))
	case "turn-store":
		b.WriteString("  {}\nserved_roles:\n  - \"storage\"\n")
	case "gateway":
		fmt.Fprintf(&b, "  frontend: %q\n  readiness: %q\nserved_roles:\n  - \"edge\"\n", t.at(of, frontendPort), t.at(of, readinessPort))
	}
	if of.role != "gateway" {
		data = fmt.Sprintf("%q", filepath.Join(of.dir, "data"))
	}
	fmt.Fprintf(&b, "internal_port_range:\n  - %d\n  - %d\nseed_nodes:\n", t.port, t.port+internalPorts-1)
	for _, seed := range t.seeds {
		fmt.Fprintf(&b, "  - %q\n", seed)
	}
	fmt.Fprintf(&b, "bootstrap: %v\nquorum_member: %v\ndata_directory: %s\ndiscovery_source: \"cloud_api\"\nentry_type: \"virtual_ip\"\nheartbeat_interval_ms: 1200\n",
		of.bootstrap, of.role != "gateway", data)
	b.WriteString("limits:\n  cpu_fraction: 0.8\n  cpu_cores: 1\n  memory_mb: 284\n  max_file_descriptors: 4100\n  bandwidth_mbps: 1000.0\n  disk_mb: 300\n")
	b.WriteString("active_contracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"agent\", \"stream\", \"engine\"]\n")
	b.WriteString("fault_tolerance:\n  machine_failures: 1\n  zones: 0\n  region_failures: 0\n")
	b.WriteString("guarantees:\n  seed_staleness_s: 3\n  address_reuse_s: 2\n  contact_window_ms: 3000\n  ack_timeout_ms: 4000\n  sync_time_s: 4.1\n  drain_timeout_ms: 3000\n  grace_period_s: 8\n")
	b.WriteString("  loss_slack_ms: 200\n  config_apply_ms: 2000\n  downgrade_slack_ms: 250\n  clock_skew_ms: 5000\n  recovery_time_s: 12\n  pass_ms: 120\n  again_s: 0\n  completion_time_s: 10\n  settle_time_ms: 1000\n  history_retention_s: 20\n  release_delay_ms: 1500\n")
	fmt.Fprintf(&b, "cloud_api:\n  address: %q\n  rate_per_s: 40.0\n  assigned_duties: []\n  max_lag_ms: 800\n", t.platform)
	return b.String()
}

// start starts the process of a machine.
func (t *tier) start(of *machine) error {
	path := filepath.Join(of.dir, "settings.yaml")
	if err := os.WriteFile(path, []byte(t.settings(of)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(of.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	of.cmd = exec.Command("target/serving-tier", of.role)
	of.cmd.Env = append(os.Environ(), "SAFFRONYARD_SETTINGS="+path)
	of.cmd.Stdout, of.cmd.Stderr = log, log
	of.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this program
	if err := of.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := of.cmd, make(chan struct{})
	of.ended = ended
	go func() { _ = cmd.Wait(); _ = log.Close(); close(ended) }()
	of.bootstrap = false
	return nil
}

// startAll starts all processes.
func (t *tier) startAll() error {
	for _, of := range t.machines {
		if err := t.start(of); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a machine.
func (of *machine) signal(s syscall.Signal) {
	if of.cmd != nil && of.cmd.Process != nil {
		_ = of.cmd.Process.Signal(s)
	}
}

// kill kills the process of a machine and waits for its end.
func (of *machine) kill() {
	if of.cmd == nil {
		return
	}
	of.signal(syscall.SIGKILL)
	select {
	case <-of.ended:
	case <-time.After(5 * time.Second):
	}
}

// killAll kills all processes.
func (t *tier) killAll() {
	for _, of := range t.machines {
		of.kill()
	}
}
