package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine, counted from the first. They are the same on all machines.
const (
	controlPort   = 2 // listen_addresses.control_plane; the first two are internal
	frontendPort  = 3
	readinessPort = 4
	portCount     = 5
)

// program is the tier's program as deploy/system.toml builds it.
const program = "target/serving-tier"

// lab has the processes of a small tier, and the record of a case.
type lab struct {
	dir      string
	network  string // first three bytes of all addresses
	port     int    // the first of each machine
	begun    time.Time
	platform *platform
	machines []*machine

	mu     sync.Mutex // guards record and closed
	record *os.File
	closed bool
}

// machine is one process of the tier on a loopback address of its own.
type machine struct {
	lab      *lab
	role, ip string
	node     string
	settings string // path of its settings file

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// newLab returns a lab without processes.
func newLab(recordPath string) (*lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, record: record, begun: time.Now()}
	for range 50 {
		l.network = fmt.Sprintf("127.%d.%d.", 1+rand.N(250), rand.N(250))
		l.port = 10000 + rand.N(20000)
		if err = l.portsFree(); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	l.platform, err = newPlatform(l)
	return l, err
}

// portsFree returns an error if a port of the first addresses is in use.
func (l *lab) portsFree() error {
	for host := range 16 {
		for offset := range portCount {
			listener, err := net.Listen("tcp", l.address(host+1, offset))
			if err != nil {
				return err
			}
			_ = listener.Close()
		}
	}
	return nil
}

// address returns a port of a machine.
func (l *lab) address(host, offset int) string {
	return net.JoinHostPort(l.network+strconv.Itoa(host), strconv.Itoa(l.port+offset))
}

// note writes a line of the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	fmt.Fprintf(l.record, "%9.4f ", time.Since(l.begun).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

// startTimeOfProcesses is how long the processes may take to read their settings files, which are then those of a later start.
const startTimeOfProcesses = 500 * time.Millisecond

// tierSize is the number of processes of each role.
type tierSize struct{ cores, stores, gateways int }

// start starts a tier of a size, with settings like those of the pages.
func (l *lab) start(size tierSize) error {
	host := 0
	var seeds []string
	for i := range min(3, size.cores) {
		seeds = append(seeds, l.address(i+1, controlPort))
	}
	for _, group := range []struct {
		role  string
		count int
	}{{"control-plane", size.cores}, {"turn-store", size.stores}, {"gateway", size.gateways}} {
		for i := range group.count {
			host++
			m := &machine{lab: l, role: group.role, ip: l.network + strconv.Itoa(host), node: fmt.Sprintf("%s-%d", group.role, i+1)}
			if err := m.writeSettings(host, i, seeds, true); err != nil {
				return err
			}
			l.machines = append(l.machines, m)
		}
	}
	for _, m := range l.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	time.Sleep(startTimeOfProcesses)
	for i, m := range l.machines {
		if err := m.writeSettings(i+1, i, seeds, false); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file of the machine.
func (m *machine) writeSettings(host, index int, seeds []string, bootstrap bool) error {
	l := m.lab
	folder := filepath.Join(l.dir, m.node)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name: %q\nrole: %q\nip_address: %q\n", m.node, m.role, m.ip)
	fmt.Fprintf(&b, "zone: \"z-%d\"\nregion: \"r\"\nzones:\n  z-0: \"r\"\n  z-1: \"r\"\n  z-2: \"r\"\n  z-3: \"r\"\n", index%4)
	memory, disk, member := 284, 300, true
	b.WriteString("listen_addresses:\n")
	switch m.role {
	case "gateway":
		fmt.Fprintf(&b, "  frontend: %q\n  readiness: %q\n", l.address(host, frontendPort), l.address(host, readinessPort))
		disk, member = 0, false
	case "control-plane":
		fmt.Fprintf(&b, "  control_plane: %q\n", l.address(host, controlPort))
		memory, disk = 280, 128
	default:
		b.WriteString("  readiness: \"\"\n")
	}
	fmt.Fprintf(&b, "internal_port_range:\n  - %d\n  - %d\nseed_nodes:\n", l.port, l.port+1)
	for _, seed := range seeds {
		fmt.Fprintf(&b, "  - %q\n", seed)
	}
	fmt.Fprintf(&b, "bootstrap: %v\nquorum_member: %v\n", bootstrap, member)
	fmt.Fprintf(&b, "limits:\n  cpu_fraction: 0.4\n  cpu_cores: 1\n  memory_mb: %d\n  max_file_descriptors: 4100\n  bandwidth_mbps: 1000.0\n  disk_mb: %d\n", memory, disk)
	if disk > 0 {
		fmt.Fprintf(&b, "data_directory: %q\n", folder)
	}
	b.WriteString("heartbeat_interval_ms: 1200\n")
	b.WriteString("fault_tolerance:\n  machine_failures: 1\n  zones: 0\n  region_failures: 0\n")
	b.WriteString("guarantees:\n  seed_staleness_s: 3\n  address_reuse_s: 2\n  contact_window_ms: 3000\n  ack_timeout_ms: 4000\n  sync_time_s: 4.1\n" +
		"  drain_timeout_ms: 3000\n  grace_period_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  downgrade_slack_ms: 250\n  clock_skew_ms: 5000\n" +
		"  recovery_time_s: 12\n  history_retention_s: 20\n  pass_ms: 120\n  again_s: 0\n  completion_time_s: 10\n  settle_time_ms: 1000\n")
	fmt.Fprintf(&b, "cloud_api:\n  address: %q\n  rate_per_s: 40.0\n  assigned_duties: []\n  max_lag_ms: 800\n", l.platform.address)
	m.settings = filepath.Join(l.dir, m.node+".yaml")
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// start starts the process of the machine.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	logs, err := os.OpenFile(filepath.Join(m.lab.dir, m.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	command := exec.Command(program, m.role)
	command.Env = append(os.Environ(), "SAFFRONYARD_SETTINGS="+m.settings)
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = command.Wait(); close(exited) }()
	m.command, m.exited = command, exited
	m.lab.note("started %s, process %d", m.node, command.Process.Pid)
	return nil
}

// signal sends a signal to the process, and records it.
func (m *machine) signal(s syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return errors.New("no process")
	}
	m.lab.note("signal %v to %s", s, m.node)
	return m.command.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return
	}
	_ = m.command.Process.Signal(syscall.SIGCONT)
	_ = m.command.Process.Kill()
	<-m.exited
	m.command = nil
}

// of returns the machines of a role.
func (l *lab) of(role string) (list []*machine) {
	for _, m := range l.machines {
		if m.role == role {
			list = append(list, m)
		}
	}
	return list
}

// frontend returns the address of the gateway with an index where clients connect.
func (l *lab) frontend(index int) string {
	return net.JoinHostPort(l.of("gateway")[index].ip, strconv.Itoa(l.port+frontendPort))
}

// controls returns the control_plane addresses.
func (l *lab) controls() (list []string) {
	for _, m := range l.of("control-plane") {
		list = append(list, net.JoinHostPort(m.ip, strconv.Itoa(l.port+controlPort)))
	}
	return list
}

// close ends all processes and stand-ins, and removes the temporary folder.
func (l *lab) close() {
	for _, m := range l.machines {
		m.kill()
	}
	if l.platform != nil {
		l.platform.close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
}
