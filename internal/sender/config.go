package sender

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
	"saffronyard.example/saffronyard/internal/identity"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/settings"
	"saffronyard.example/saffronyard/internal/work"
)

// foldAfter is how long a destination is quiet before it is remembered in short: longer than a usual lull, as what was learnt
// of it ages from then on.
const foldAfter = 5 * time.Minute

// configPart names the platform's file in errors.
const configPart = "configuration"

// Limits is what the sender's machine allows it.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// maxClients is how many of the descriptors may be clients' connections.
func (l Limits) maxClients() int { return max(1, l.Sockets/2) }

// maxIdleClients is how many of those may be idle: clients hold a third of the descriptors at most, and those who wait for a
// connection must find some left of that.
func (l Limits) maxIdleClients() int { return max(1, l.Sockets/6) }

// maxEndpointConns is how many may be connections to endpoints, in use or idle. The rest is for files, the listener and
// discovery.
func (l Limits) maxEndpointConns() int { return max(1, l.Sockets-l.maxClients()-min(24, l.Sockets/8)) }

// Config is a sender's configuration. It does not change while the sender runs, but for what Sender.Reload takes over.
type Config struct {
	Name      string
	Listen    string // host:port where clients connect
	Discovery string // host:port of the platform's discovery
	StateDir  string // the folder that outlasts the process
	Seed      uint64 // of the module's random choices
	Limits    Limits
	Known     Targets // the endpoint list as the platform had it last
	Settings  brain.Settings

	Classes, Tenants, Kinds, Zones []string // names, in the order of the settings
	ReportFields                   []string // of load reports
	ConnectTimeout                 time.Duration

	// What the operators' file turns on.
	Events   *Events         // CloudEvents are accepted; nil: they are not
	Recorder Recorder        // undelivered messages are kept; nil: they are not
	Delivery *calls.Delivery // in which form messages go out; nil: all as in the platform's protocol

	Peers       *peers.Config                         // other senders, which share what they observe; nil: none
	Background  bool                                  // work behind the messages asks of the sender: see Sender.Background
	Work        func(filter work.Filter) (any, error) // answers the command line's queries; WorkCommand takes its commands
	WorkCommand func(work.Command) error
	Fleet       Fleet       // what senders agree on; nil: nothing
	Names       *NameSource // names say where endpoints are, beside discovery; nil: discovery alone does
	Knowledge   *Knowledge  // what is known of receivers outlasts the process; nil: only their usual rates do
}

// LoadConfig reads the file that EDGE_CONFIG names. EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_STATE win over what it
// says. Its error is a *ConfigError.
func LoadConfig(getenv func(string) string) (*Config, error) {
	c, err := readConfig(getenv)
	if err != nil {
		return nil, err
	}
	for name, field := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen,
		"EDGE_DISCOVERY": &c.Discovery, "EDGE_STATE": &c.StateDir} {
		if v := getenv(name); v != "" {
			*field = v
		}
		if *field == "" {
			return nil, configError(configPart, "%s is not set", name)
		}
	}
	return c, nil
}

// ReloadConfig reads the file again, for Sender.Reload. Here the file wins: it is newer than the variables that the process
// was started with.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	c, err := readConfig(getenv)
	if err == nil && c.Discovery == "" {
		err = configError(configPart, "discovery is not set")
	}
	return c, err
}

// readConfig reads the file that EDGE_CONFIG names.
func readConfig(getenv func(string) string) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, configError(configPart, "EDGE_CONFIG is not set; it names the configuration's file ('rehearse up' shows a sender running)")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{Part: configPart, Err: err}
	}
	c, err := ParseConfig(raw)
	if err != nil {
		return nil, &ConfigError{Part: configPart, Err: err}
	}
	return c, nil
}

// ParseConfig reads the configuration's JSON.
func ParseConfig(raw []byte) (*Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		State     string          `json:"state"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     Targets         `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, err
	}
	env, err := settings.Flatten(file.Settings)
	if err != nil {
		return nil, err
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, StateDir: file.State,
		Limits: file.Limits, Known: file.Known, Settings: settings.Translate(env),
		Kinds: env.List("models"), Zones: env.List("zones"), ReportFields: env.List("telemetry.fields"),
		ConnectTimeout: settings.DurationFromMs(env.Float("limits.connectTimeout"))}
	for i := range env.Count("services") {
		c.Classes = append(c.Classes, env.Text(fmt.Sprintf("services.%d.name", i)))
	}
	for i := range env.Count("orgs") {
		c.Tenants = append(c.Tenants, env.Text(fmt.Sprintf("orgs.%d.name", i)))
	}
	if err := env.Err(); err != nil {
		return nil, err
	}
	if file.Seed != "" {
		if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	// What is not stated gets a modest value: nothing may grow without a bound.
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = 1024
	}
	c.Settings.HibernateAfter = foldAfter
	// The module foresees a shortage of slots; a call that finds no descriptor would fail for no fault of its
	// endpoint's.
	if most := c.Limits.maxEndpointConns(); c.Settings.Slots <= 0 || c.Settings.Slots > most {
		c.Settings.Slots = most
	}
	if c.Limits.DiskMB <= 0 {
		c.Limits.DiskMB = 3
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = 1500 * time.Millisecond
	}
	return c, nil
}

// endpointNames are the names of zones and kinds by which endpoints are listed.
func (c *Config) endpointNames() calls.Names { return calls.Names{Zones: c.Zones, Kinds: c.Kinds} }

// maxIdleEndpointConns is how many connections to endpoints may be idle: the descriptors are few.
func (c *Config) maxIdleEndpointConns() int { return c.Limits.maxEndpointConns() - c.Settings.Slots }

// indexOf is the position of a name in a list of the settings, or def if it is not there.
func indexOf(list []string, name string, def int) int {
	if i := slices.Index(list, name); i >= 0 {
		return i
	}
	return def
}

// minJournalBytes is the least room that the journal needs.
const minJournalBytes = 512 << 10

// journalDiskBytes is the bytes that the journal may take: what the disk's limit leaves of snapshots and of the ends of
// events.
func (c *Config) journalDiskBytes() (int64, error) {
	room := int64(c.Limits.DiskMB*1e6*journalDiskFraction) - c.knowledgeDiskBytes()
	if room < minJournalBytes && c.Knowledge != nil {
		return 0, configError("knowledge", "bytes = %d, twice, leaves less than %d of the disk's %.0f to the journal", c.Knowledge.MaxBytes, minJournalBytes, c.Limits.DiskMB*1e6)
	}
	if c.Events == nil {
		return room, nil
	}
	ends := identity.MaxFileBytes(c.Events.MaxRemembered)
	if room-ends < minJournalBytes {
		return 0, configError("events", "remember_most = %d takes %d bytes of the disk's %.0f and leaves less than %d to the journal", c.Events.MaxRemembered, ends, c.Limits.DiskMB*1e6, minJournalBytes)
	}
	return room - ends, nil
}

// CheckRules finds a rule for events that names a class or tenant which the settings lack; the error is a *ConfigError. Names
// that are filled in from the event are looked up with each event.
func (c *Config) CheckRules() error {
	if c.Events == nil {
		return nil
	}
	known := func(list []string, name string) bool {
		return name == "" || len(list) == 0 || indexOf(list, name, -1) >= 0 || strings.Contains(name, "{")
	}
	r := &c.Events.Rules
	for i, rule := range r.List {
		if !known(c.Classes, rule.Class) || !known(c.Tenants, rule.Tenant) {
			return configError("events", "%s: class %q or tenant %q is not among the settings", r.Name(i), rule.Class, rule.Tenant)
		}
	}
	if f := r.Fallback; f != nil && (!known(c.Classes, f.Class) || !known(c.Tenants, f.Tenant)) {
		return configError("events", "default: class %q or tenant %q is not among the settings", f.Class, f.Tenant)
	}
	return nil
}
