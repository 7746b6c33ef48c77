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

// hibernateAfter is how long a destination must be idle before the module reduces its state to a summary. It is longer than a usual
// idle period, because the learnt state ages from then on.
const hibernateAfter = 5 * time.Minute

// configPart names the platform's file in errors.
const configPart = "configuration"

// Limits is the resources that the machine allows the sender.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// maxClients is how many of the descriptors may be clients' connections.
func (l Limits) maxClients() int { return max(1, l.Sockets/2) }

// maxIdleClients is how many of the clients' connections may be idle. The platform's clients together use at most a third of the
// descriptors, and a part of that third must stay free for clients that wait for a connection.
func (l Limits) maxIdleClients() int { return max(1, l.Sockets/6) }

// maxEndpointConns is how many of the descriptors may be connections to endpoints, in use or idle. The rest is for files, the listener
// and discovery.
func (l Limits) maxEndpointConns() int { return max(1, l.Sockets-l.maxClients()-min(24, l.Sockets/8)) }

// Config is a sender's configuration. It does not change while the sender runs, except for what Sender.Reload takes over.
type Config struct {
	Name      string
	Listen    string // host:port where clients connect
	Discovery string // host:port of the platform's discovery
	StateDir  string // the folder of the files that a restarted process reads
	Seed      uint64 // of the module's random choices
	Limits    Limits
	Known     Targets // the platform's endpoint list when the file was written
	Settings  brain.Settings

	Classes, Tenants, Kinds, Zones []string // names, in the order of the settings
	ReportFields                   []string // names of the fields of load reports
	ConnectTimeout                 time.Duration

	// Features that the operators' file turns on.
	Events   *Events         // how CloudEvents are accepted; nil: they are not accepted
	Recorder Recorder        // stores undelivered messages; nil: they are not stored
	Delivery *calls.Delivery // the form in which messages are sent; nil: the platform's protocol for all

	Peers       *peers.Config                         // other senders, which share what they observe; nil: none
	Background  bool                                  // background work may query the sender: see Sender.Background
	Work        func(filter work.Filter) (any, error) // answers the command line's queries; WorkCommand takes its commands
	WorkCommand func(work.Command) error
	Fleet       Fleet       // the policy and limits that senders share; nil: none
	Names       *NameSource // DNS names as a second source of endpoints; nil: discovery is the only one
	Knowledge   *Knowledge  // keeps what is known of receivers over restarts; nil: only the rates and outages in the journal are kept
}

// LoadConfig reads the file that EDGE_CONFIG names. EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_STATE override its values. Its
// error is a *ConfigError.
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

// ReloadConfig reads the file again, for Sender.Reload. Here the file takes precedence over the environment variables, because it is
// newer than the environment that the process was started with.
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
		return nil, configError(configPart, "EDGE_CONFIG is not set; it must name the configuration file ('rehearse up' shows a running sender)")
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
	// A missing limit gets a modest default, because nothing may grow without a bound.
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = 1024
	}
	c.Settings.HibernateAfter = hibernateAfter
	// The module plans for a shortage of slots, but a call that finds no free descriptor would fail through no fault of its endpoint.
	if limit := c.Limits.maxEndpointConns(); c.Settings.Slots <= 0 || c.Settings.Slots > limit {
		c.Settings.Slots = limit
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

// journalDiskBytes is the bytes that the journal may take: the disk limit less the space for snapshots and for the outcomes of events.
func (c *Config) journalDiskBytes() (int64, error) {
	room := int64(c.Limits.DiskMB*1e6*journalDiskFraction) - c.knowledgeDiskBytes()
	if room < minJournalBytes && c.Knowledge != nil {
		return 0, configError("knowledge", "two snapshots of bytes = %d leave less than %d of the disk limit of %.0f bytes for the journal", c.Knowledge.MaxBytes, minJournalBytes, c.Limits.DiskMB*1e6)
	}
	if c.Events == nil {
		return room, nil
	}
	outcomeBytes := identity.MaxFileBytes(c.Events.MaxRemembered)
	if room-outcomeBytes < minJournalBytes {
		return 0, configError("events", "remember_most = %d takes %d of the disk limit of %.0f bytes and leaves less than %d for the journal", c.Events.MaxRemembered, outcomeBytes, c.Limits.DiskMB*1e6, minJournalBytes)
	}
	return room - outcomeBytes, nil
}

// CheckRules checks that the rules for events name only classes and tenants of the settings; its error is a *ConfigError. Names that
// are filled in from the event are checked with each event.
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
