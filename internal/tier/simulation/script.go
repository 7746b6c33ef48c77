package simulation

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// ScriptVersion is the version of scripts that this package generates and plays.
const ScriptVersion = 2

// Leader as a fault's machine is the control plane's primary when the fault begins.
const Leader = "leader"

// Weakest as a fault's machine is the turn store whose loss would hurt most when the fault begins: it holds the most replicas without
// which too few synced ones of a partition are left. Where all have as many as they should, it is the primary of the control plane.
const Weakest = "weakest"

// Fault is one fault of a script.
type Fault struct {
	AtMS       int64     `json:"at_ms"` // from the start of the system
	DurationMS int64     `json:"duration_ms,omitempty"`
	Kind       FaultKind `json:"kind"`
	Machine    string    `json:"machine,omitempty"`

	Side []string `json:"side,omitempty"` // machines that are partitioned together with it
}

// at is when the fault begins, from the start of the system.
func (f Fault) at() time.Duration { return time.Duration(f.AtMS) * time.Millisecond }

// duration is how long the fault lasts.
func (f Fault) duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

// String returns the fault as one line. The simulator seeds random choices of a fault by it, so that its format may not change.
func (f Fault) String() string {
	line := fmt.Sprintf("%8.3f s  %-17s %-12s %.3f s", f.at().Seconds(), f.Kind, f.Machine, f.duration().Seconds())
	if len(f.Side) > 0 {
		line += " with " + strings.Join(f.Side, ", ")
	}
	return line
}

// LossUnit is the failure domain whose losses are counted.
type LossUnit string

// The units. Machines are meant where there is none.
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
	Losses   int      `json:"losses"` // counted machines, zones or regions that may be lost at once
	Unit     LossUnit `json:"unit,omitempty"`
	Zones    int      `json:"zones,omitempty"`   // over which the machines are placed; 0: 3
	Packed   bool     `json:"packed,omitempty"`  // zone by zone, and not in turn: the seeds then lie in one or two zones
	Regions  int      `json:"regions,omitempty"` // over which the zones are; 0: 1
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

// domains is how many zones or regions there are, as these or those are lost.
func (s Script) domains() int {
	if s.Unit == Regions {
		return s.regions()
	}
	return s.zones()
}

// zoneOf is the zone of machine i of a number of one kind.
func (s Script) zoneOf(i, count int) int {
	if s.Packed {
		return i * s.zones() / count
	}
	return i % s.zones()
}

// domainName is the name of a zone or a region, as these or those are lost.
func (s Script) domainName(i int) string {
	if s.Unit == Regions {
		return regionName(i)
	}
	return zoneName(i)
}

// domainOf is the zone or region of a machine that is there from the beginning, where these are lost. It is the name itself where
// machines are lost, and of Leader and Weakest, whose domain isn't known.
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
