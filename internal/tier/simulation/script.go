package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ScriptVersion is the version of scripts that this package draws and plays.
const ScriptVersion = 2

// FaultKind is what a fault does.
type FaultKind string

// Kinds of faults. The first group takes a counted machine away, or its disk or its links; Duration is how long.
const (
	Kill              FaultKind = "kill"         // the process ends, the disk stays as the process saw it
	PowerLoss         FaultKind = "power-loss"   // the machine is dark; what was not synced may be gone, all or a part
	Wipe              FaultKind = "wipe"         // as a loss of power, and the disk comes back empty
	Replace           FaultKind = "replace"      // gone for good; another machine with an empty disk comes at another address
	Move              FaultKind = "move"         // planned: another machine of the control plane comes first, then this one goes for good
	Terminate         FaultKind = "terminate"    // SIGTERM: a turn store hands its partitions over first
	Pause             FaultKind = "pause"        // the process is frozen: nothing comes in or goes out, and nothing is lost
	Partition         FaultKind = "cut"          // no message comes in or goes out
	PartitionInbound  FaultKind = "cut-inbound"  // no message comes in
	PartitionOutbound FaultKind = "cut-outbound" // no message goes out
	PartitionLeader   FaultKind = "cut-leader"   // the primary is cut off together with the gateways of odd numbers

	PartitionNear         FaultKind = "cut-near"          // a machine of the control plane is cut off together with those beside it
	PartitionNearInbound  FaultKind = "cut-near-inbound"  // the same, and only no message comes in
	PartitionNearOutbound FaultKind = "cut-near-outbound" // the same, and only no message goes out
	PartitionConfirming   FaultKind = "cut-confirming"    // as cut-near, while the primary is writing an order

	DiskFull  FaultKind = "disk-full"  // each write fails
	DiskStuck FaultKind = "disk-stuck" // each sync waits

	KillZone              FaultKind = "zone-kill" // the second group takes all of a zone, or of a region: Machine is its name
	PowerLossZone         FaultKind = "zone-power-loss"
	WipeZone              FaultKind = "zone-wipe"
	PartitionZone         FaultKind = "zone-cut" // those in it reach each other
	PartitionZoneInbound  FaultKind = "zone-cut-inbound"
	PartitionZoneOutbound FaultKind = "zone-cut-outbound"

	RestartAll   FaultKind = "restart-all"    // all processes of the control plane and the turn stores are killed
	PowerLossAll FaultKind = "power-loss-all" // and their machines lose power; disks are kept

	SplitCore   FaultKind = "split-core"    // the control plane is cut into two halves; all others reach both
	SplitOneWay FaultKind = "split-one-way" // the same, and the other half still hears the first

	KillGateway       FaultKind = "kill-gateway"  // gateways aren't counted
	PartitionSeeds    FaultKind = "seeds-cut-off" // as kill-gateway, and the next process is told of no control-plane machines but those that are cut off
	Add               FaultKind = "add"           // one more turn store
	Retire            FaultKind = "retire"        // the order to empty a turn store
	LoseResponses     FaultKind = "lose-answers"  // half of the answers to operators are lost
	Reorder           FaultKind = "reorder"       // some messages come twice, or late
	LoseMessages      FaultKind = "trouble"       // some messages are lost
	ConcurrentChanges FaultKind = "rival-orders"  // pairs of orders of the same revision on the same one, at two machines
	LossesInRow       FaultKind = "losses-in-row" // losses follow each other as soon as they may, and operators order without rest
)

// FaultKinds gives all kinds, those that take a counted machine first.
func FaultKinds() []FaultKind { return slices.Concat(countedKinds, domainKinds, otherKinds) }

var (
	countedKinds = []FaultKind{Kill, PowerLoss, Wipe, Replace, Move, Terminate, Pause, Partition, PartitionInbound, PartitionOutbound, PartitionLeader, DiskFull, DiskStuck,
		PartitionNear, PartitionNearInbound, PartitionNearOutbound, PartitionConfirming}
	domainKinds = []FaultKind{KillZone, PowerLossZone, WipeZone, PartitionZone, PartitionZoneInbound, PartitionZoneOutbound}
	otherKinds  = []FaultKind{RestartAll, PowerLossAll, SplitCore, SplitOneWay, KillGateway, PartitionSeeds, Add, Retire, LoseResponses, Reorder, LoseMessages, ConcurrentChanges,
		LossesInRow}
	excessKinds = []FaultKind{RestartAll, PowerLossAll, SplitCore, SplitOneWay} // than is to be borne
	nearKinds   = []FaultKind{PartitionNear, PartitionNearInbound, PartitionNearOutbound, PartitionConfirming}
)

// Leader as a fault's machine is the control plane's primary when the fault begins.
const Leader = "leader"

// Weakest as a fault's machine is the turn store whose loss would hurt most when the fault begins: it holds the most copies without
// which too few synced ones of a partition are left. Where all have as many as they should, it is the primary of the control plane.
const Weakest = "weakest"

// Fault is one entry of a script.
type Fault struct {
	AtMS       int64     `json:"at_ms"` // from the start of the system
	DurationMS int64     `json:"duration_ms,omitempty"`
	Kind       FaultKind `json:"kind"`
	Machine    string    `json:"machine,omitempty"`

	Side []string `json:"side,omitempty"` // machines that are cut off together with it
}

func (f Fault) at() time.Duration       { return time.Duration(f.AtMS) * time.Millisecond }
func (f Fault) duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

// String gives the entry as one line.
func (f Fault) String() string {
	line := fmt.Sprintf("%8.3f s  %-17s %-12s %.3f s", f.at().Seconds(), f.Kind, f.Machine, f.duration().Seconds())
	if len(f.Side) > 0 {
		line += " with " + strings.Join(f.Side, ", ")
	}
	return line
}

// LossUnit is what is lost as one.
type LossUnit string

// Units. Machines are meant where there is none.
const (
	Machines LossUnit = ""
	Zones    LossUnit = "zones"
	Regions  LossUnit = "regions"
)

// Script is a system and what befalls it. Seed draws the rest: delays, and what operators and clients do.
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

// String gives the script as lines.
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

func coreName(i int) string    { return fmt.Sprint("core-", i+1) }
func storeName(i int) string   { return fmt.Sprint("store-", i+1) }
func gatewayName(i int) string { return fmt.Sprint("gateway-", i+1) }
func zoneName(i int) string    { return fmt.Sprint("zone-", i+1) }
func regionName(i int) string  { return fmt.Sprint("region-", i+1) }

func (s Script) zones() int   { return cmp.Or(s.Zones, 3) }
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
// machines are lost, and of Leader and Weakest, whose place isn't known.
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
