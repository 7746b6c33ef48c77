// Package settings reads and checks the settings file of a process of the tier: YAML, by default /etc/saffronyard/settings.yaml.
//
// Load reports all findings at once, each with its field and line. The fields of the file, with their types, units, defaults
// and checks, are the table in table.go; field_types.go has the types; parse.go applies the table to a file. The package
// keeps no state and writes nothing.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

const (
	pathVariable = "SAFFRONYARD_SETTINGS" // environment variable with the path of the file
	pathDefault  = "/etc/saffronyard/settings.yaml"
)

var (
	errorTypes = errorx.NewNamespace("settings")
	// Invalid is the type of the error of a file that can't be read or has findings.
	Invalid = errorTypes.NewType("invalid")
)

// Settings are the settings of one process, as read from the settings file. The comment of each field names the field of the
// file; Describe lists its unit and default. Durations above a year are reduced to a year.
type Settings struct {
	Node        string            // node_name
	Role        string            // role: that of the process in the deploy file
	MachineType string            // machine_type
	ServedRoles []string          // served_roles: external callers that are served
	IP          string            // ip_address
	Zone        string            // zone
	Region      string            // region
	Zones       map[string]string // zones: zone to region

	Frontend  string // listen_addresses.frontend: where clients connect; empty if none
	Readiness string // listen_addresses.readiness: for the platform's readiness checks; empty if none
	Control   string // listen_addresses.control_plane: where operators connect; empty if none
	PortFirst int    // internal_port_range: the first port for the calls between the tier's processes
	PortLast  int    // internal_port_range: the last one

	Seeds        []string // seed_nodes: initial addresses of control planes
	Bootstrap    bool     // bootstrap: this is the first start of the system
	QuorumMember bool     // quorum_member: the machine counts among those that may be lost

	CPUFraction        float64       // limits.cpu_fraction: fraction of a core
	CPUCores           int           // limits.cpu_cores
	MemoryMB           int           // limits.memory_mb
	MaxFileDescriptors int           // limits.max_file_descriptors
	BandwidthMbps      float64       // limits.bandwidth_mbps
	DiskMB             int           // limits.disk_mb; 0: no disk, or not given
	DataDir            string        // data_directory; empty: there is no disk
	Heartbeat          time.Duration // heartbeat_interval_ms
	Contracts          []string      // active_contracts: the parts of the platform's rules that are in force

	MachineFailures int // fault_tolerance.machine_failures: machines that may be lost at a time
	ZoneFailures    int // fault_tolerance.zones: zones that may be lost at a time
	RegionFailures  int // fault_tolerance.region_failures: regions that may be lost at a time

	SeedStaleness    time.Duration // guarantees.seed_staleness_s: maximum age of the seeds
	AddressReuse     time.Duration // guarantees.address_reuse_s: minimum time before another service gets an address
	ContactWindow    time.Duration // guarantees.contact_window_ms: maximum interval between messages of machines that are in contact
	AckTimeout       time.Duration // guarantees.ack_timeout_ms: maximum time until an order is acknowledged
	SyncTime         time.Duration // guarantees.sync_time_s: maximum time until a machine that returned is in sync
	DrainTimeout     time.Duration // guarantees.drain_timeout_ms: how long a draining endpoint continues to serve
	GracePeriod      time.Duration // guarantees.grace_period_s: from SIGTERM to SIGKILL
	LossSlack        time.Duration // guarantees.loss_slack_ms: tolerance around a loss
	ConfigApply      time.Duration // guarantees.config_apply_ms: from the acknowledgement of a configuration until it is in force
	DowngradeSlack   time.Duration // guarantees.downgrade_slack_ms: how long an older configuration may still be observed
	ClockSkew        time.Duration // guarantees.clock_skew_ms: maximum error of the time of day
	RecoveryTime     time.Duration // guarantees.recovery_time_s: maximum time to recover from a final fault
	ForwardTime      time.Duration // guarantees.pass_ms: for forwarding a message
	RetryTime        time.Duration // guarantees.again_s: for a retry
	HistoryRetention time.Duration // guarantees.history_retention_s: how long a watch can continue from a revision that it received
	CompletionTime   time.Duration // guarantees.completion_time_s: for programs after the end of traffic
	SettleTime       time.Duration // guarantees.settle_time_ms

	CloudAddress string        // cloud_api.address: address of the platform's list; empty if none
	CloudRate    float64       // cloud_api.rate_per_s: calls per second of all processes together; 0: not given
	CloudMaxLag  time.Duration // cloud_api.max_lag_ms: maximum lag of the platform's list
}

// Path returns the path of the settings file.
func Path() string {
	if path := os.Getenv(pathVariable); path != "" {
		return path
	}
	return pathDefault
}

// Load reads a settings file. The error, of type Invalid, lists all findings with field and line; the settings are then
// those that could be read, and defaults for the rest.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return defaults(), Invalid.Wrap(err, "settings file")
	}
	settings, err := Parse(body)
	if err != nil {
		return settings, errorx.Decorate(err, "%s", path)
	}
	return settings, nil
}

// Internal returns the process's own address at an offset from the first internal port.
func (settings Settings) Internal(offset int) string {
	return join(settings.IP, settings.PortFirst+offset)
}

// SeedInternal returns the seeds' addresses at the first internal port.
func (settings Settings) SeedInternal() []string {
	out := make([]string, 0, len(settings.Seeds))
	for _, seed := range settings.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, join(ip, settings.PortFirst))
		}
	}
	return out
}

// Losses returns how many simultaneous losses the tier must survive: of machines, zones or regions, whichever are more.
func (settings Settings) Losses() int {
	return max(settings.MachineFailures, settings.ZoneFailures, settings.RegionFailures)
}

// join returns an address with a port.
func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
