// Package settings reads the settings file of a process of the tier.
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

// Settings are those of one process. Describe tells the field of the file, the unit and the default of each.
type Settings struct {
	Node, Role, Class            string
	Serves                       []string
	IP, Zone, Region             string
	Zones                        map[string]string // zone to region
	Frontend, Readiness, Control string            // listen addresses, empty if none
	PortFirst, PortLast          int               // kept free for what the tier's processes say to each other
	Seeds                        []string          // control addresses
	Bootstrap, Counted           bool
	CPU                          float64 // part of a core
	Cores                        int
	MemoryMB, Descriptors        int
	DiskMB                       int // 0: no disk, or not told
	LinkMbps                     float64
	DataDir                      string // empty if there is no disk
	Heartbeat                    time.Duration
	Contracts                    []string

	LoseMachines, LoseZones, LoseRegions int

	SeedStaleness, AddressReuse, ContactWindow, AckTimeout, SyncTime, DrainTimeout, Grace, LossSlack,
	ConfigApply, DowngradeSlack, ClockSkew, Recovery, Pass, Again, Completion, Settle time.Duration

	CloudAddress string
	CloudRate    float64 // calls a second, of all processes together; 0: not told
	CloudLag     time.Duration
}

// Path gives the path of the settings file.
func Path() string {
	if path := os.Getenv(pathVariable); path != "" {
		return path
	}
	return pathDefault
}

// Load reads a settings file. The error, of type Invalid, tells all findings with field and line; the settings are then
// those that could be read, and defaults for the rest.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return defaults(), Invalid.Wrap(err, "settings file")
	}
	s, err := Parse(body)
	if err != nil {
		return s, errorx.Decorate(err, "%s", path)
	}
	return s, nil
}

// Internal gives the process's own address at an offset from the first internal port.
func (s Settings) Internal(offset int) string { return join(s.IP, s.PortFirst+offset) }

// SeedInternal gives the seeds' addresses at the first internal port.
func (s Settings) SeedInternal() []string {
	out := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, join(ip, s.PortFirst))
		}
	}
	return out
}

// Losses gives the number of losses to be borne at the same time, of whatever sort.
func (s Settings) Losses() int { return max(s.LoseMachines, s.LoseZones, s.LoseRegions) }

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
