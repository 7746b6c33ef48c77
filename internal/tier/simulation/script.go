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

// Kind is what a fault does.
type Kind string

// Kinds of faults. The first group takes a counted machine away, or its disk or its links; Duration is how long.
const (
	Kill        Kind = "kill"         // the process ends, the disk stays as the process saw it
	PowerLoss   Kind = "power-loss"   // the machine is dark; what was not synced may be gone, all or a part
	Wipe        Kind = "wipe"         // as a loss of power, and the disk comes back empty
	Replace     Kind = "replace"      // gone for good; another machine with an empty disk comes at another address
	Move        Kind = "move"         // planned: another machine of the control plane comes first, then this one goes for good
	Terminate   Kind = "terminate"    // SIGTERM: a turn store hands its partitions over first
	Pause       Kind = "pause"        // the process is frozen: nothing comes in or goes out, and nothing is lost
	Cut         Kind = "cut"          // no message comes in or goes out
	CutInbound  Kind = "cut-inbound"  // no message comes in
	CutOutbound Kind = "cut-outbound" // no message goes out
	CutLeader   Kind = "cut-leader"   // the primary is cut off together with the gateways of odd numbers

	CutNear         Kind = "cut-near"          // a machine of the control plane is cut off together with those beside it
	CutNearInbound  Kind = "cut-near-inbound"  // the same, and only no message comes in
	CutNearOutbound Kind = "cut-near-outbound" // the same, and only no message goes out
	CutConfirming   Kind = "cut-confirming"    // as cut-near, while the primary is writing an order

	DiskFull  Kind = "disk-full"  // each write fails
	DiskStuck Kind = "disk-stuck" // each sync waits

	ZoneKill        Kind = "zone-kill" // the second group takes all of a zone, or of a region: Machine is its name
	ZonePowerLoss   Kind = "zone-power-loss"
	ZoneWipe        Kind = "zone-wipe"
	ZoneCut         Kind = "zone-cut" // those in it reach each other
	ZoneCutInbound  Kind = "zone-cut-inbound"
	ZoneCutOutbound Kind = "zone-cut-outbound"

	RestartAll   Kind = "restart-all"    // all processes of the control plane and the turn stores are killed
	PowerLossAll Kind = "power-loss-all" // and their machines lose power; disks are kept

	SplitCore   Kind = "split-core"    // the control plane is cut into two halves; all others reach both
	SplitOneWay Kind = "split-one-way" // the same, and the other half still hears the first

	KillGateway Kind = "kill-gateway"  // gateways aren't counted
	SeedsCutOff Kind = "seeds-cut-off" // as kill-gateway, and the next process is told of no control-plane machines but those that are cut off
	Add         Kind = "add"           // one more turn store
	Retire      Kind = "retire"        // the order to empty a turn store
	LoseAnswers Kind = "lose-answers"  // half of the answers to operators are lost
	Reorder     Kind = "reorder"       // some messages come twice, or late
	Trouble     Kind = "trouble"       // some messages are lost
	RivalOrders Kind = "rival-orders"  // pairs of orders of the same revision on the same one, at two machines
	LossesInRow Kind = "losses-in-row" // losses follow each other as soon as they may, and operators order without rest
)

// Kinds gives all kinds, those that take a counted machine first.
func Kinds() []Kind { return slices.Concat(counted, domainKinds, others) }

var (
	counted = []Kind{Kill, PowerLoss, Wipe, Replace, Move, Terminate, Pause, Cut, CutInbound, CutOutbound, CutLeader, DiskFull, DiskStuck,
		CutNear, CutNearInbound, CutNearOutbound, CutConfirming}
	domainKinds = []Kind{ZoneKill, ZonePowerLoss, ZoneWipe, ZoneCut, ZoneCutInbound, ZoneCutOutbound}
	others      = []Kind{RestartAll, PowerLossAll, SplitCore, SplitOneWay, KillGateway, SeedsCutOff, Add, Retire, LoseAnswers, Reorder, Trouble, RivalOrders,
		LossesInRow}
	takeMore  = []Kind{RestartAll, PowerLossAll, SplitCore, SplitOneWay} // than is to be borne
	nearKinds = []Kind{CutNear, CutNearInbound, CutNearOutbound, CutConfirming}
)

// Leader as a fault's machine is the control plane's primary when the fault begins.
const Leader = "leader"

// Weakest as a fault's machine is the turn store whose loss would hurt most when the fault begins: it holds the most copies without
// which too few synced ones of a partition are left. Where all have as many as they should, it is the primary of the control plane.
const Weakest = "weakest"

// Fault is one entry of a script.
type Fault struct {
	AtMS       int64  `json:"at_ms"` // from the start of the system
	DurationMS int64  `json:"duration_ms,omitempty"`
	Kind       Kind   `json:"kind"`
	Machine    string `json:"machine,omitempty"`

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

// Unit is what is lost as one.
type Unit string

// Units. Machines are meant where there is none.
const (
	Machines Unit = ""
	Zones    Unit = "zones"
	Regions  Unit = "regions"
)

// Script is a system and what befalls it. Seed draws the rest: delays, and what operators and clients do.
type Script struct {
	Version  int     `json:"version"`
	Seed     uint64  `json:"seed"`
	Core     int     `json:"core"` // machines of the control plane
	Stores   int     `json:"stores"`
	Gateways int     `json:"gateways"`
	Losses   int     `json:"losses"` // counted machines, zones or regions that may be lost at once
	Unit     Unit    `json:"unit,omitempty"`
	Zones    int     `json:"zones,omitempty"`   // over which the machines are placed; 0: 3
	Packed   bool    `json:"packed,omitempty"`  // zone by zone, and not in turn: the seeds then lie in one or two zones
	Regions  int     `json:"regions,omitempty"` // over which the zones are; 0: 1
	Faults   []Fault `json:"faults"`
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
