package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// ScriptVersion is the version of scripts that this package draws and plays.
const ScriptVersion = 1

// troubleMost is how long messages are lost at most in a script that is drawn: about the contact window. In longer trouble a session
// may lapse for longer than the control plane waits for it.
const troubleMost = 3 * time.Second

// faultsMost is how many faults a script that is drawn has at most.
const faultsMost = 4

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
	DiskFull    Kind = "disk-full"    // each write fails
	DiskStuck   Kind = "disk-stuck"   // each sync waits

	RestartAll   Kind = "restart-all"    // all processes of the control plane and the turn stores are killed
	PowerLossAll Kind = "power-loss-all" // and their machines lose power; disks are kept

	KillGateway Kind = "kill-gateway" // gateways aren't counted
	Add         Kind = "add"          // one more turn store
	Retire      Kind = "retire"       // the order to empty a turn store
	LoseAnswers Kind = "lose-answers" // half of the answers to operators are lost
	Reorder     Kind = "reorder"      // some messages come twice, or late
	Trouble     Kind = "trouble"      // some messages are lost
)

// Kinds gives all kinds, those that take a counted machine first.
func Kinds() []Kind { return append(slices.Clone(counted), others...) }

var (
	counted = []Kind{Kill, PowerLoss, Wipe, Replace, Move, Terminate, Pause, Cut, CutInbound, CutOutbound, CutLeader, DiskFull, DiskStuck}
	others  = []Kind{RestartAll, PowerLossAll, KillGateway, Add, Retire, LoseAnswers, Reorder, Trouble}
)

// Leader as a fault's machine is the control plane's primary when the fault begins.
const Leader = "leader"

// Fault is one entry of a script.
type Fault struct {
	AtMS       int64  `json:"at_ms"` // from the start of the system
	DurationMS int64  `json:"duration_ms,omitempty"`
	Kind       Kind   `json:"kind"`
	Machine    string `json:"machine,omitempty"`
}

func (f Fault) at() time.Duration       { return time.Duration(f.AtMS) * time.Millisecond }
func (f Fault) duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

// String gives the entry as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%8.3f s  %-14s %-12s %.3f s", f.at().Seconds(), f.Kind, f.Machine, f.duration().Seconds())
}

// Script is a system and what befalls it. Seed draws the rest: delays, and what operators and clients do.
type Script struct {
	Version  int     `json:"version"`
	Seed     uint64  `json:"seed"`
	Core     int     `json:"core"` // machines of the control plane
	Stores   int     `json:"stores"`
	Gateways int     `json:"gateways"`
	Losses   int     `json:"losses"` // counted machines that may be lost at once
	Faults   []Fault `json:"faults"`
}

// String gives the script as lines.
func (s Script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d core, %d turn stores, %d gateways, losses borne: %d\n", s.Seed, s.Core, s.Stores, s.Gateways, s.Losses)
	for _, f := range s.Faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

func coreName(i int) string    { return fmt.Sprint("core-", i+1) }
func storeName(i int) string   { return fmt.Sprint("store-", i+1) }
func gatewayName(i int) string { return fmt.Sprint("gateway-", i+1) }

// Draw draws a script with faults of the given kinds; none: of all. Never are more than Losses counted machines lost at
// once; a machine counts as lost until syncTime after its return. Only RestartAll and PowerLossAll, which keep the disks,
// take more, while no other is lost. Messages may be lost (Trouble) beside losses.
func Draw(seed uint64, kinds ...Kind) Script {
	d := drawing{r: rand.New(rand.NewPCG(seed, 0x5c21)), kinds: kinds}
	if len(kinds) == 0 {
		d.kinds = Kinds()
	}
	d.s = Script{Version: ScriptVersion, Seed: seed, Core: 3, Stores: 3 + d.r.IntN(2), Gateways: 2, Losses: 1}
	if d.r.IntN(5) == 0 {
		d.s.Core, d.s.Stores, d.s.Losses = 5, 4+d.r.IntN(2), 2
	}
	d.lost = make([]loss, d.s.Losses)
	d.at = settleIn
	for range 1 + d.r.IntN(faultsMost) {
		d.entry(d.kinds[d.r.IntN(len(d.kinds))])
	}
	slices.SortStableFunc(d.s.Faults, func(a, b Fault) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return d.s
}

// drawing is a script in the making.
type drawing struct {
	r       *rand.Rand
	s       Script
	kinds   []Kind
	at      time.Duration // before which nothing more begins
	lost    []loss
	retired string
	added   bool
}

// loss is one of the machines that may be lost at a time.
type loss struct {
	machine string
	until   time.Duration
}

func (d *drawing) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.r.Int64N(int64(high-low)))
}

func (d *drawing) add(kind Kind, machine string, at, duration time.Duration) {
	d.s.Faults = append(d.s.Faults, Fault{AtMS: at.Milliseconds(), DurationMS: duration.Milliseconds(), Kind: kind, Machine: machine})
}

// entry draws one fault, or none where its kind can't be at this place.
func (d *drawing) entry(kind Kind) {
	d.at += d.between(100*time.Millisecond, 3*time.Second)
	switch {
	case slices.Contains(counted, kind):
		d.loss(kind)
	case kind == RestartAll || kind == PowerLossAll:
		for _, l := range d.lost {
			d.at = max(d.at, l.until)
		}
		lasts := d.between(200*time.Millisecond, 3*time.Second)
		d.add(kind, "", d.at, lasts)
		d.at += lasts + syncTime
	case kind == KillGateway:
		d.add(kind, gatewayName(d.r.IntN(d.s.Gateways)), d.at, d.between(100*time.Millisecond, 2*time.Second))
	case kind == Add && !d.added:
		d.added = true
		d.add(kind, storeName(d.s.Stores), d.at, 0)
	case kind == Retire && d.retired == "" && d.s.Stores > d.s.Losses+1:
		d.retired = storeName(d.r.IntN(d.s.Stores))
		d.add(kind, d.retired, d.at, 0)
	case kind == LoseAnswers || kind == Reorder:
		d.add(kind, "", d.at, d.between(time.Second, 8*time.Second))
	case kind == Trouble:
		d.add(kind, "", d.at, d.between(200*time.Millisecond, troubleMost))
	}
}

// loss draws a fault that takes a counted machine.
func (d *drawing) loss(kind Kind) {
	slot := 0
	for i, l := range d.lost {
		if l.until < d.lost[slot].until {
			slot = i
		}
	}
	at := max(d.at, d.lost[slot].until)
	machine := d.machine(kind, at)
	if machine == "" {
		return
	}
	duration := d.between(100*time.Millisecond, 6*time.Second)
	if kind == Cut || kind == CutLeader {
		duration = d.between(300*time.Millisecond, 20*time.Second)
	}
	d.add(kind, machine, at, duration)
	d.lost[slot] = loss{machine, at + duration + syncTime}
}

// machine draws one that is not lost. A machine that is to be emptied is spared what would end the order.
func (d *drawing) machine(kind Kind, at time.Duration) string {
	if kind == CutLeader || kind != Terminate && d.r.IntN(4) == 0 {
		return Leader
	}
	name := storeName(d.r.IntN(d.s.Stores))
	if kind == Move || kind != Terminate && d.r.IntN(2) == 0 {
		name = coreName(d.r.IntN(d.s.Core))
	}
	for _, l := range d.lost {
		if l.machine == name && l.until > at {
			return ""
		}
	}
	if name == d.retired {
		return ""
	}
	return name
}
