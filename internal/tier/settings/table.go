package settings

import (
	"math"
	"time"
)

// entry is one setting: a field of the file, its type with the unit, its default, its meaning, and a function that checks
// and sets a value. The function returns a description of what is wrong with the value; empty if the value is valid.
type entry struct {
	path, typeName string
	defaultValue   any // nil: the field is required
	meaning        string
	set            func(s *Settings, value any) (problem string)
}

// maxNumber is the maximum of whole numbers.
const maxNumber = math.MaxInt32

// table lists all settings. It is read-only.
var table = []entry{
	text("node_name", nil, "name of the machine", func(s *Settings) *string { return &s.Node }, notEmpty),
	text("role", "", "role in the deploy file", func(s *Settings) *string { return &s.Role }),
	text("machine_type", "", "class of the machine", func(s *Settings) *string { return &s.MachineType }),
	texts("served_roles", "who may call from outside", func(s *Settings) *[]string { return &s.ServedRoles }),
	text("ip_address", nil, "address of the machine", func(s *Settings) *string { return &s.IP }, address),
	text("zone", "", "zone of the machine", func(s *Settings) *string { return &s.Zone }),
	text("region", "", "region of the machine", func(s *Settings) *string { return &s.Region }),
	textMap("zones", "all zones with their regions", func(s *Settings) *map[string]string { return &s.Zones }),
	text("listen_addresses.frontend", "", "where clients connect", func(s *Settings) *string { return &s.Frontend }, endpoint),
	text("listen_addresses.readiness", "", "where the platform asks", func(s *Settings) *string { return &s.Readiness }, endpoint),
	text("listen_addresses.control_plane", "", "where operators connect", func(s *Settings) *string { return &s.Control }, endpoint),
	ports("internal_port_range", "first and last port between processes"),
	texts("seed_nodes", "control addresses to begin with", func(s *Settings) *[]string { return &s.Seeds }, endpoint),
	flag("bootstrap", "first start of the whole system", func(s *Settings) *bool { return &s.Bootstrap }),
	flag("quorum_member", "machine counts among those that may be lost", func(s *Settings) *bool { return &s.QuorumMember }),

	number("limits.cpu_fraction", 1, above(0), "part of a core", func(s *Settings) *float64 { return &s.CPUFraction }),
	integer("limits.cpu_cores", 1, 1, "speed, in cores", func(s *Settings) *int { return &s.CPUCores }),
	integer("limits.memory_mb", 256, 1, "memory of the process, MB", func(s *Settings) *int { return &s.MemoryMB }),
	integer("limits.max_file_descriptors", 1024, 1, "descriptors of the process", func(s *Settings) *int { return &s.MaxFileDescriptors }),
	number("limits.bandwidth_mbps", 1000, above(0), "link of the machine, Mbit/s", func(s *Settings) *float64 { return &s.BandwidthMbps }),
	integer("limits.disk_mb", 0, 0, "disk of the machine, MB", func(s *Settings) *int { return &s.DiskMB }),
	text("data_directory", "", "folder for what lasts", func(s *Settings) *string { return &s.DataDir }),
	duration("heartbeat_interval_ms", 1000, above(0), "how often to tell that one is up", func(s *Settings) *time.Duration { return &s.Heartbeat }),
	texts("active_contracts", "parts of the rules in force", func(s *Settings) *[]string { return &s.Contracts }),

	integer("fault_tolerance.machine_failures", 1, 0, "machines lost at a time", func(s *Settings) *int { return &s.MachineFailures }),
	integer("fault_tolerance.zones", 0, 0, "zones lost at a time", func(s *Settings) *int { return &s.ZoneFailures }),
	integer("fault_tolerance.region_failures", 0, 0, "regions lost at a time", func(s *Settings) *int { return &s.RegionFailures }),

	duration("guarantees.seed_staleness_s", 5, atLeast(0), "lag of the list of control addresses", func(s *Settings) *time.Duration { return &s.SeedStaleness }),
	duration("guarantees.address_reuse_s", 1, atLeast(0), "rest of an address before another service has it", func(s *Settings) *time.Duration { return &s.AddressReuse }),
	duration("guarantees.contact_window_ms", 3000, above(0), "machines that hear each other so often are in touch", func(s *Settings) *time.Duration { return &s.ContactWindow }),
	duration("guarantees.ack_timeout_ms", 4000, above(0), "within it an order is acknowledged", func(s *Settings) *time.Duration { return &s.AckTimeout }),
	duration("guarantees.sync_time_s", 4, atLeast(0), "within it a machine that returned is sound", func(s *Settings) *time.Duration { return &s.SyncTime }),
	duration("guarantees.drain_timeout_ms", 3000, atLeast(0), "a leaving endpoint serves on", func(s *Settings) *time.Duration { return &s.DrainTimeout }),
	duration("guarantees.grace_period_s", 8, atLeast(0), "from SIGTERM to SIGKILL", func(s *Settings) *time.Duration { return &s.GracePeriod }),
	duration("guarantees.loss_slack_ms", 200, atLeast(0), "slack around a loss", func(s *Settings) *time.Duration { return &s.LossSlack }),
	duration("guarantees.history_retention_s", 20, atLeast(0), "a watch goes on from a revision that it was given", func(s *Settings) *time.Duration { return &s.HistoryRetention }),
	duration("guarantees.config_apply_ms", 2000, above(0), "from acknowledgement to force", func(s *Settings) *time.Duration { return &s.ConfigApply }),
	duration("guarantees.downgrade_slack_ms", 250, atLeast(0), "within it an older configuration may show", func(s *Settings) *time.Duration { return &s.DowngradeSlack }),
	duration("guarantees.clock_skew_ms", 5000, atLeast(0), "error of the time of day", func(s *Settings) *time.Duration { return &s.ClockSkew }),
	duration("guarantees.recovery_time_s", 12, atLeast(0), "within it a final fault is overcome", func(s *Settings) *time.Duration { return &s.RecoveryTime }),
	duration("guarantees.pass_ms", 120, atLeast(0), "time to pass a message on", func(s *Settings) *time.Duration { return &s.ForwardTime }),
	duration("guarantees.again_s", 0, atLeast(0), "time to do something again", func(s *Settings) *time.Duration { return &s.RetryTime }),
	duration("guarantees.completion_time_s", 10, atLeast(0), "time for programs after the end of traffic", func(s *Settings) *time.Duration { return &s.CompletionTime }),
	duration("guarantees.settle_time_ms", 1000, atLeast(0), "time to settle", func(s *Settings) *time.Duration { return &s.SettleTime }),

	text("cloud_api.address", "", "where the platform's list is", func(s *Settings) *string { return &s.CloudAddress }, endpoint),
	number("cloud_api.rate_per_s", 0, atLeast(0), "calls a second, of all processes", func(s *Settings) *float64 { return &s.CloudRate }),
	duration("cloud_api.max_lag_ms", 1000, atLeast(0), "lag of the platform's list", func(s *Settings) *time.Duration { return &s.CloudMaxLag }),
}
