// Package settings reads and checks the settings file of a process of the tier.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

const (
	pathVariable = "SAFFRONYARD_SETTINGS"
	pathDefault  = "/etc/saffronyard/settings.yaml"
)

var (
	space = errorx.NewNamespace("settings")
	// Invalid is the type of the error of a file that can't be read or has findings.
	Invalid = space.NewType("invalid")
)

// Settings are those of one process. Describe lists the field of the file, the unit and the default of each.
type Settings struct {
	Node, Role, Class            string
	Serves                       []string
	IP, Zone, Region             string
	Zones                        map[string]string // zone to region
	Frontend, Readiness, Control string            // listen addresses, empty if none
	PortFirst, PortLast          int               // first and last port for the calls between the tier's processes
	Seeds                        []string          // control addresses
	Bootstrap, Counted           bool
	CPU                          float64 // part of a core
	Cores                        int
	MemoryMB, Descriptors        int
	DiskMB                       int // 0: no disk, or not given
	LinkMbps                     float64
	DataDir                      string // empty if there is no disk
	Heartbeat                    time.Duration
	Contracts                    []string

	LoseMachines, LoseZones, LoseRegions int

	SeedStaleness, AddressReuse, ContactWindow, AckTimeout, SyncTime, DrainTimeout, Grace, LossSlack,
	ConfigApply, DowngradeSlack, ClockSkew, Recovery, Pass, Again, Completion, Settle time.Duration

	CloudAddress string
	CloudRate    float64 // calls a second, of all processes together; 0: not given
	CloudLag     time.Duration
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
	return max(settings.LoseMachines, settings.LoseZones, settings.LoseRegions)
}

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
