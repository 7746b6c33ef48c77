package simulation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// maxMessageLossTime is how long messages are lost at most in a generated script: about the contact window. In a longer loss a
	// session may expire for longer than the control plane waits for it.
	maxMessageLossTime = 3 * time.Second

	// maxFaults is how many faults of a script are drawn at most; some bring others with them.
	maxFaults = 4

	// lossesInRowOneIn: one of so many LossesInRow is kept where all kinds are drawn, as one lasts as long as many other scripts.
	lossesInRowOneIn = 6

	// spareCoreOneIn: one of so many systems that tolerate one loss has one more machine of the control plane than members.
	spareCoreOneIn = 4

	// domainScriptOneIn: one of so many scripts loses zones or regions, where kinds of both groups are to be drawn.
	domainScriptOneIn = 5

	// maxNextLossDelay is how long after syncTime the next loss begins at most where losses follow each other.
	maxNextLossDelay = 50 * time.Millisecond

	minLossesInRowTime, maxLossesInRowTime     = 60 * time.Second, 110 * time.Second     // losses that follow each other
	maxLossInRowTime                           = 5 * time.Second                         // one of these
	minNearPartitionTime, maxNearPartitionTime = 10 * time.Second, 20 * time.Second      // of PartitionNear and its variants
	minSplitTime, maxSplitTime                 = time.Second, 8 * time.Second            // of the control plane
	minRivalsTime, maxRivalsTime               = 300 * time.Millisecond, 2 * time.Second // of ConcurrentChanges
	rivalsLeadTime                             = 100 * time.Millisecond                  // of ConcurrentChanges before the end of a partition
	rivalsOneIn, nearExtraOneIn                = 3, 2                                    // one of so many near partitions has ConcurrentChanges; a next loss, a new process
)

// Generate draws a script with faults of the given kinds; none: of all. Never are more than Losses machines, or zones or
// regions, lost at once; one counts as lost until syncTime after its return. Only RestartAll and PowerLossAll, which keep
// the disks, SplitCore and SplitOneWay take more, while nothing else is lost. Messages may be lost (LoseMessages) beside losses.
// The same seed and kinds give the same script in each release (see ScriptVersion).
func Generate(seed uint64, kinds ...FaultKind) Script {
	d := generator{random: rand.New(rand.NewPCG(seed, 0x5c21)), kinds: kinds}
	if len(kinds) == 0 {
		d.kinds, d.mixed = FaultKinds(), true
	}
	d.drawSystem(seed)
	d.losses = make([]loss, d.script.Losses)
	d.earliest = startupTime
	for range 1 + d.random.IntN(maxFaults) {
		d.drawFault(d.drawKind(d.kinds))
		if d.complete {
			break
		}
	}
	slices.SortStableFunc(d.script.Faults, func(a, b Fault) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return d.script
}

// generator draws one script.
type generator struct {
	random   *rand.Rand
	script   Script
	kinds    []FaultKind
	earliest time.Duration // before which no further fault begins
	losses   []loss
	retired  string
	added    bool
	mixed    bool // all kinds are drawn
	complete bool // no further fault is drawn
}

// loss is one of the machines, zones or regions that may be lost at once, and until when it counts as lost.
type loss struct {
	domain string
	until  time.Duration
}

// drawSystem draws the system that the faults are injected into.
func (d *generator) drawSystem(seed uint64) {
	d.script = Script{Version: ScriptVersion, Seed: seed, Gateways: 2, Losses: 1}
	ofDomains := func(kind FaultKind) bool { return slices.Contains(domainKinds, kind) }
	some := slices.ContainsFunc(d.kinds, ofDomains)
	others := slices.DeleteFunc(slices.Clone(d.kinds), ofDomains)
	if some && (len(others) == 0 || d.random.IntN(domainScriptOneIn) == 0) {
		d.drawDomainSystem()
		return
	}
	d.kinds = others
	d.script.Core, d.script.Stores = 3, 3+d.random.IntN(2)
	if d.random.IntN(spareCoreOneIn) == 0 {
		d.script.Core++
	}
	if d.random.IntN(5) == 0 {
		d.script.Core, d.script.Stores, d.script.Losses = 5, 4+d.random.IntN(2), 2
	}
}

// drawDomainSystem draws a system that loses zones or regions: each has a machine of the control plane and a turn store at least.
func (d *generator) drawDomainSystem() {
	d.script.Unit, d.script.Zones = Zones, 3+d.random.IntN(3)
	if d.random.IntN(4) == 0 {
		d.script.Unit, d.script.Regions, d.script.Zones = Regions, 3, 3+d.random.IntN(3)
	}
	if d.script.domains() == 5 && d.random.IntN(3) == 0 {
		d.script.Losses = 2
	}
	d.script.Core = max(d.script.Zones, 2*d.script.Losses+1) + d.random.IntN(2)
	d.script.Stores = d.script.Zones + d.random.IntN(2)
	d.script.Packed = d.random.IntN(4) == 0
}

// drawKind draws one of the kinds. Where zones or regions are lost, half of the draws are of these.
func (d *generator) drawKind(kinds []FaultKind) FaultKind {
	if d.script.Unit != Machines && d.random.IntN(2) == 0 {
		wanted := slices.DeleteFunc(slices.Clone(kinds), func(kind FaultKind) bool { return !slices.Contains(domainKinds, kind) })
		if len(wanted) > 0 {
			return wanted[d.random.IntN(len(wanted))]
		}
	}
	return kinds[d.random.IntN(len(kinds))]
}

func (d *generator) drawDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Int64N(int64(high-low)))
}

func (d *generator) addFault(kind FaultKind, machine string, at, duration time.Duration, side ...string) {
	d.script.Faults = append(d.script.Faults, Fault{AtMS: at.Milliseconds(), DurationMS: duration.Milliseconds(), Kind: kind, Machine: machine, Side: side})
}

// allRecoveredAt is when nothing is lost any more.
func (d *generator) allRecoveredAt() time.Duration {
	at := d.earliest
	for _, l := range d.losses {
		at = max(at, l.until)
	}
	return at
}

// drawFault draws one fault, or none where its kind is not possible now.
func (d *generator) drawFault(kind FaultKind) {
	d.earliest += d.drawDuration(100*time.Millisecond, 3*time.Second)
	switch {
	case takesCounted(kind):
		d.drawLoss(kind, d.earliestLoss().until)
	case slices.Contains(excessKinds, kind):
		d.earliest = d.allRecoveredAt()
		lasts := d.drawDuration(200*time.Millisecond, 3*time.Second)
		if kind == SplitCore || kind == SplitOneWay {
			lasts = d.drawDuration(minSplitTime, maxSplitTime)
		}
		d.addFault(kind, "", d.earliest, lasts)
		d.earliest += lasts + syncTime
	case kind == KillGateway || kind == PartitionSeeds:
		d.addFault(kind, d.drawGateway(), d.earliest, d.drawDuration(100*time.Millisecond, 2*time.Second))
	case kind == Add && !d.added:
		d.added = true
		d.addFault(kind, storeName(d.script.Stores), d.earliest, 0)
	case kind == Retire && d.retired == "" && d.retirable():
		d.retired = storeName(d.random.IntN(d.script.Stores))
		d.addFault(kind, d.retired, d.earliest, 0)
	case kind == LoseResponses || kind == Reorder:
		d.addFault(kind, "", d.earliest, d.drawDuration(time.Second, 8*time.Second))
	case kind == LoseMessages:
		d.addFault(kind, "", d.earliest, d.drawDuration(200*time.Millisecond, maxMessageLossTime))
	case kind == ConcurrentChanges:
		d.addFault(kind, "", d.earliest, d.drawDuration(minRivalsTime, maxRivalsTime))
	case kind == LossesInRow && (!d.mixed || d.random.IntN(lossesInRowOneIn) == 0):
		d.drawLossesInRow()
	}
}

// takesCounted reports whether a fault of the kind counts as a loss.
func takesCounted(kind FaultKind) bool {
	return slices.Contains(countedKinds, kind) || slices.Contains(domainKinds, kind)
}

// retirable reports whether one turn store fewer would be enough wherever it is.
func (d *generator) retirable() bool {
	if d.script.Unit == Machines {
		return d.script.Stores > d.script.Losses+1
	}
	return d.script.domains() > d.script.Losses+1
}

// earliestLoss returns the loss that ends first.
func (d *generator) earliestLoss() *loss {
	first := &d.losses[0]
	for i := range d.losses {
		if d.losses[i].until < first.until {
			first = &d.losses[i]
		}
	}
	return first
}

// drawLoss draws a fault that counts as a loss, at a time or later.
func (d *generator) drawLoss(kind FaultKind, at time.Duration) {
	at = max(d.earliest, at, d.earliestLoss().until)
	machine := d.drawMachine(kind, at)
	if machine == "" {
		return
	}
	if slices.Contains(nearKinds, kind) {
		d.drawNearPartition(kind, machine, at)
		return
	}
	duration := d.drawDuration(100*time.Millisecond, 6*time.Second)
	if kind == Partition || kind == PartitionLeader || strings.HasPrefix(string(kind), string(PartitionZone)) {
		duration = d.drawDuration(300*time.Millisecond, 20*time.Second)
	}
	d.addLoss(kind, machine, at, duration)
}

// addLoss adds a fault that counts as a loss.
func (d *generator) addLoss(kind FaultKind, machine string, at, duration time.Duration, side ...string) {
	d.addFault(kind, machine, at, duration, side...)
	*d.earliestLoss() = loss{d.script.domainOf(machine), at + duration + syncTime}
}

// drawNearPartition draws a partition of a machine of the control plane with some of the gateways and, where one more may be lost, a
// turn store on its side, and what may happen in it and at its end.
func (d *generator) drawNearPartition(kind FaultKind, machine string, at time.Duration) {
	duration := d.drawDuration(minNearPartitionTime, maxNearPartitionTime)
	side := []string{d.drawGateway()}
	if d.random.IntN(4) == 0 {
		side = []string{gatewayName(0), gatewayName(1)}
	}
	var store string
	if d.script.Unit == Machines && d.script.Losses > 1 && d.allRecoveredAt() <= at {
		if store = storeName(d.random.IntN(d.script.Stores)); store != d.retired {
			side = append(side, store)
		}
	}
	d.addLoss(kind, machine, at, duration, side...)
	if len(side) > 0 && side[len(side)-1] == store {
		*d.earliestLoss() = loss{store, at + duration + syncTime}
	}
	end := at + duration
	if d.random.IntN(nearExtraOneIn) == 0 {
		d.addFault(PartitionSeeds, d.drawGateway(), at+d.drawDuration(300*time.Millisecond, duration/2), d.drawDuration(100*time.Millisecond, 2*time.Second))
	}
	if d.random.IntN(rivalsOneIn) == 0 {
		d.addFault(ConcurrentChanges, "", end-rivalsLeadTime, d.drawDuration(minRivalsTime, maxRivalsTime))
	}
	if d.random.IntN(nearExtraOneIn) == 0 {
		next := [...]FaultKind{Kill, PowerLoss, Pause, Partition}[d.random.IntN(4)]
		d.addLoss(next, Leader, max(end, d.earliestLoss().until)+d.drawDuration(0, maxNextLossDelay), d.drawDuration(100*time.Millisecond, 6*time.Second))
	}
}

// drawLossesInRow draws losses each of which begins as soon as the one before no longer counts, and nothing after them.
func (d *generator) drawLossesInRow() {
	var kinds []FaultKind
	for _, kind := range d.kinds {
		if takesCounted(kind) && !slices.Contains(nearKinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	if len(kinds) == 0 {
		kinds = slices.DeleteFunc(slices.Clone(countedKinds), func(kind FaultKind) bool { return slices.Contains(nearKinds, kind) })
	}
	begin := d.allRecoveredAt()
	for i := range d.losses { // with two, each begins beside the other
		d.losses[i].until = begin
	}
	end := begin + d.drawDuration(minLossesInRowTime, maxLossesInRowTime)
	d.addFault(LossesInRow, "", begin, end-begin)
	for d.earliestLoss().until < end {
		at := d.earliestLoss().until + d.drawDuration(0, maxNextLossDelay)
		kind := d.drawKind(kinds)
		if machine := d.drawMachine(kind, at); machine != "" {
			d.addLoss(kind, machine, at, d.drawDuration(100*time.Millisecond, maxLossInRowTime))
		}
	}
	d.complete = true
}

func (d *generator) drawGateway() string { return gatewayName(d.random.IntN(d.script.Gateways)) }

// drawMachine draws a machine, or a zone or region, that is not lost. A machine that is to be emptied is not drawn for what
// would end its retirement.
func (d *generator) drawMachine(kind FaultKind, at time.Duration) string {
	if slices.Contains(domainKinds, kind) {
		return d.drawZone(at)
	}
	near := slices.Contains(nearKinds, kind)
	if kind == PartitionLeader || kind == PartitionConfirming || near && d.random.IntN(4) > 0 || kind != Terminate && d.random.IntN(4) == 0 {
		return Leader
	}
	if kind != Terminate && kind != Move && !near && d.retired == "" && d.random.IntN(4) == 0 {
		return Weakest
	}
	name := storeName(d.random.IntN(d.script.Stores))
	if kind == Move || near || kind != Terminate && d.random.IntN(2) == 0 {
		name = coreName(d.random.IntN(d.script.Core))
	}
	if d.isLost(d.script.domainOf(name), at) || name == d.retired {
		return ""
	}
	return name
}

// drawZone draws a zone or a region that is not lost, in which no machine is to be emptied.
func (d *generator) drawZone(at time.Duration) string {
	if d.retired == "" && d.random.IntN(2) == 0 {
		return [...]string{Leader, Weakest}[d.random.IntN(2)]
	}
	name := d.script.domainName(d.random.IntN(d.script.domains()))
	if d.isLost(name, at) || d.retired != "" && d.script.domainOf(d.retired) == name {
		return ""
	}
	return name
}

func (d *generator) isLost(domain string, at time.Duration) bool {
	return slices.ContainsFunc(d.losses, func(l loss) bool { return l.domain == domain && l.until > at })
}
