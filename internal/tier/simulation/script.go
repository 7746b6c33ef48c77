package simulation

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// ScriptVersion is the version of scripts that this package generates and plays.
const ScriptVersion = 2

// Leader as a fault's machine stands for the control plane's primary at the time when the fault begins.
const Leader = "leader"

// Weakest as a fault's machine stands for the turn store whose loss would do the most damage at the time when the fault begins: the one
// with the most synced replicas of partitions whose synced replicas lie in no more failure domains than may be lost at once. If there is
// no such partition, it stands for the primary of the control plane.
const Weakest = "weakest"

// Fault is one fault of a script.
type Fault struct {
	AtMS       int64     `json:"at_ms"` // from the start of the system
	DurationMS int64     `json:"duration_ms,omitempty"`
	Kind       FaultKind `json:"kind"`
	Machine    string    `json:"machine,omitempty"`

	Side []string `json:"side,omitempty"` // machines that are partitioned together with Machine
}

// at returns when the fault begins, from the start of the system.
func (f Fault) at() time.Duration { return time.Duration(f.AtMS) * time.Millisecond }

// duration returns how long the fault lasts.
func (f Fault) duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

// String returns the fault as one line. The simulator seeds random choices of a fault with this line, so that its format must not change.
func (f Fault) String() string {
	line := fmt.Sprintf("%8.3f s  %-17s %-12s %.3f s", f.at().Seconds(), f.Kind, f.Machine, f.duration().Seconds())
	if len(f.Side) > 0 {
		line += " with " + strings.Join(f.Side, ", ")
	}
	return line
}

// LossUnit is the failure domain whose losses are counted.
type LossUnit string

// The units. A script without a unit counts machines.
const (
	Machines LossUnit = ""
	Zones    LossUnit = "zones"
	Regions  LossUnit = "regions"
)

// Script is a system and the faults that are injected. Seed draws the rest: delays, and what operators and clients do.
type Script struct {
	Version  int      `json:"version"`
	Seed     uint64   `json:"seed"`
	Core     int      `json:"core"` // machines of the control plane
	Stores   int      `json:"stores"`
	Gateways int      `json:"gateways"`
	Losses   int      `json:"losses"` // how many of Unit may be lost at once; gateways do not count
	Unit     LossUnit `json:"unit,omitempty"`
	Zones    int      `json:"zones,omitempty"`   // number of zones in which machines are placed; 0: 3
	Packed   bool     `json:"packed,omitempty"`  // machines are placed zone by zone, not in rotation: the seeds then lie in one or two zones
	Regions  int      `json:"regions,omitempty"` // number of regions in which the zones lie; 0: 1
	Faults   []Fault  `json:"faults"`
}

// String returns the script as lines.
func (s Script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d core, %d turn stores, %d gateways, losses borne: %d", s.Seed, s.Core, s.Stores, s.Gateways, s.Losses)
	if s.Unit != Machines {
		fmt.Fprintf(&b, " of %d %s (%d zones)", s.domains(), s.Unit, s.zones())
	}
	if s.Packed {
		b.WriteString(", placed zone by zone")
	}
	b.WriteByte('\n')
	for _, f := range s.Faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// Names of machines, zones and regions, by their index.

func coreName(i int) string { return fmt.Sprint("core-", i+1) }

func storeName(i int) string { return fmt.Sprint("store-", i+1) }

func gatewayName(i int) string { return fmt.Sprint("gateway-", i+1) }

func zoneName(i int) string { return fmt.Sprint("zone-", i+1) }

func regionName(i int) string { return fmt.Sprint("region-", i+1) }

func (s Script) zones() int { return cmp.Or(s.Zones, 3) }

func (s Script) regions() int { return cmp.Or(s.Regions, 1) }

// domains returns the number of regions where regions are lost, otherwise that of zones.
func (s Script) domains() int {
	if s.Unit == Regions {
		return s.regions()
	}
	return s.zones()
}

// zoneOf returns the zone of machine i of the count machines of one kind.
func (s Script) zoneOf(i, count int) int {
	if s.Packed {
		return i * s.zones() / count
	}
	return i % s.zones()
}

// domainName returns the name of region i where regions are lost, otherwise that of zone i.
func (s Script) domainName(i int) string {
	if s.Unit == Regions {
		return regionName(i)
	}
	return zoneName(i)
}

// domainOf returns the zone or region of a machine of the initial system, where zones or regions are lost. It returns the name itself
// where machines are lost, and for Leader and Weakest, whose domain isn't known.
func (s Script) domainOf(name string) string {
	if s.Unit == Machines {
		return name
	}
	for _, list := range []struct {
		count int
		name  func(int) string
	}{{s.Core, coreName}, {s.Stores, storeName}, {s.Gateways, gatewayName}} {
		for i := range list.count {
			if list.name(i) == name {
				return s.domainName(s.zoneOf(i, list.count) % s.domains())
			}
		}
	}
	return name
}
