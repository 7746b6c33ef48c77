package simulation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// maxMessageLossTime bounds how long messages are lost in a generated script: about the contact window. With a longer loss, a
	// session may stay expired for longer than the control plane waits for it.
	maxMessageLossTime = 3 * time.Second

	// maxFaults bounds the number of faults that are drawn for a script. Some of them add further faults.
	maxFaults = 4

	// lossesInRowOneIn: where all kinds are drawn, one in this many LossesInRow is kept, as it takes as long as many other scripts.
	lossesInRowOneIn = 6

	// spareCoreOneIn: one in this many systems that tolerate one loss has one control-plane machine more than members.
	spareCoreOneIn = 4

	// domainScriptOneIn: one in this many scripts loses zones or regions, where the kinds to draw include both these and others.
	domainScriptOneIn = 5

	// maxNextLossDelay bounds how long after syncTime the next loss begins where losses follow each other.
	maxNextLossDelay = 50 * time.Millisecond

	minLossesInRowTime, maxLossesInRowTime     = 60 * time.Second, 110 * time.Second     // losses that follow each other
	maxLossInRowTime                           = 5 * time.Second                         // one of these
	minNearPartitionTime, maxNearPartitionTime = 10 * time.Second, 20 * time.Second      // of PartitionNear and its variants
	minSplitTime, maxSplitTime                 = time.Second, 8 * time.Second            // of the control plane
	minRivalsTime, maxRivalsTime               = 300 * time.Millisecond, 2 * time.Second // of ConcurrentChanges
	rivalsLeadTime                             = 100 * time.Millisecond                  // of ConcurrentChanges before the end of a partition
	rivalsOneIn, nearExtraOneIn                = 3, 2                                    // one in this many near partitions has ConcurrentChanges; a following loss, PartitionSeeds
)

// Generate draws a script with faults of the given kinds, or of all kinds if none is given. At most Losses machines (or zones or
// regions) are lost at once; each counts as lost until syncTime after its return. Only RestartAll and PowerLossAll, which keep the
// disks, and SplitCore and SplitOneWay exceed this, while nothing else is lost. Messages may be lost (LoseMessages) during losses.
// The same seed and kinds give the same script in each release (see ScriptVersion).
func Generate(seed uint64, kinds ...FaultKind) Script {
	g := generator{random: rand.New(rand.NewPCG(seed, 0x5c21)), kinds: kinds}
	if len(kinds) == 0 {
		g.kinds, g.mixed = FaultKinds(), true
	}
	g.drawSystem(seed)
	g.losses = make([]loss, g.script.Losses)
	g.earliest = startupTime
	for range 1 + g.random.IntN(maxFaults) {
		g.drawFault(g.drawKind(g.kinds))
		if g.complete {
			break
		}
	}
	slices.SortStableFunc(g.script.Faults, func(a, b Fault) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return g.script
}

// generator draws one script.
type generator struct {
	random   *rand.Rand
	script   Script
	kinds    []FaultKind
	earliest time.Duration // no further fault begins before this time
	losses   []loss
	retired  string
	added    bool
	mixed    bool // all kinds are drawn
	complete bool // no further fault is drawn
}

// loss is one of the losses that are tolerated at once: a machine, zone or region, and the time until which it counts as lost.
type loss struct {
	domain string
	until  time.Duration
}

// drawSystem draws the system that the faults are injected into.
func (g *generator) drawSystem(seed uint64) {
	g.script = Script{Version: ScriptVersion, Seed: seed, Gateways: 2, Losses: 1}
	ofDomains := func(kind FaultKind) bool { return slices.Contains(domainKinds, kind) }
	hasDomainKinds := slices.ContainsFunc(g.kinds, ofDomains)
	machineKinds := slices.DeleteFunc(slices.Clone(g.kinds), ofDomains)
	if hasDomainKinds && (len(machineKinds) == 0 || g.random.IntN(domainScriptOneIn) == 0) {
		g.drawDomainSystem()
		return
	}
	g.kinds = machineKinds
	g.script.Core, g.script.Stores = 3, 3+g.random.IntN(2)
	if g.random.IntN(spareCoreOneIn) == 0 {
		g.script.Core++
	}
	if g.random.IntN(5) == 0 {
		g.script.Core, g.script.Stores, g.script.Losses = 5, 4+g.random.IntN(2), 2
	}
}

// drawDomainSystem draws a system that loses zones or regions: each has at least one control-plane machine and one turn store.
func (g *generator) drawDomainSystem() {
	g.script.Unit, g.script.Zones = Zones, 3+g.random.IntN(3)
	if g.random.IntN(4) == 0 {
		g.script.Unit, g.script.Regions, g.script.Zones = Regions, 3, 3+g.random.IntN(3)
	}
	if g.script.domains() == 5 && g.random.IntN(3) == 0 {
		g.script.Losses = 2
	}
	g.script.Core = max(g.script.Zones, 2*g.script.Losses+1) + g.random.IntN(2)
	g.script.Stores = g.script.Zones + g.random.IntN(2)
	g.script.Packed = g.random.IntN(4) == 0
}

// drawKind draws one of the kinds. Where zones or regions are lost, half of the draws are of the kinds that hit these, if any is given.
func (g *generator) drawKind(kinds []FaultKind) FaultKind {
	if g.script.Unit != Machines && g.random.IntN(2) == 0 {
		wanted := slices.DeleteFunc(slices.Clone(kinds), func(kind FaultKind) bool { return !slices.Contains(domainKinds, kind) })
		if len(wanted) > 0 {
			return wanted[g.random.IntN(len(wanted))]
		}
	}
	return kinds[g.random.IntN(len(kinds))]
}

// drawDuration draws a duration of at least low and below high.
func (g *generator) drawDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(g.random.Int64N(int64(high-low)))
}

// addFault adds a fault to the script.
func (g *generator) addFault(kind FaultKind, machine string, at, duration time.Duration, side ...string) {
	g.script.Faults = append(g.script.Faults, Fault{AtMS: at.Milliseconds(), DurationMS: duration.Milliseconds(), Kind: kind, Machine: machine, Side: side})
}

// allRecoveredAt returns the earliest time at which a further fault may begin and no loss counts any more.
func (g *generator) allRecoveredAt() time.Duration {
	at := g.earliest
	for _, l := range g.losses {
		at = max(at, l.until)
	}
	return at
}

// drawFault draws one fault, or none if its kind is not possible now.
func (g *generator) drawFault(kind FaultKind) {
	g.earliest += g.drawDuration(100*time.Millisecond, 3*time.Second)
	switch {
	case countsAsLoss(kind):
		g.drawLoss(kind, g.earliestLoss().until)
	case slices.Contains(excessKinds, kind):
		g.earliest = g.allRecoveredAt()
		duration := g.drawDuration(200*time.Millisecond, 3*time.Second)
		if kind == SplitCore || kind == SplitOneWay {
			duration = g.drawDuration(minSplitTime, maxSplitTime)
		}
		g.addFault(kind, "", g.earliest, duration)
		g.earliest += duration + syncTime
	case kind == KillGateway || kind == PartitionSeeds:
		g.addFault(kind, g.drawGateway(), g.earliest, g.drawDuration(100*time.Millisecond, 2*time.Second))
	case kind == Add && !g.added:
		g.added = true
		g.addFault(kind, storeName(g.script.Stores), g.earliest, 0)
	case kind == Retire && g.retired == "" && g.retirable():
		g.retired = storeName(g.random.IntN(g.script.Stores))
		g.addFault(kind, g.retired, g.earliest, 0)
	case kind == LoseResponses || kind == Reorder:
		g.addFault(kind, "", g.earliest, g.drawDuration(time.Second, 8*time.Second))
	case kind == LoseMessages:
		g.addFault(kind, "", g.earliest, g.drawDuration(200*time.Millisecond, maxMessageLossTime))
	case kind == ConcurrentChanges:
		g.addFault(kind, "", g.earliest, g.drawDuration(minRivalsTime, maxRivalsTime))
	case kind == LossesInRow && (!g.mixed || g.random.IntN(lossesInRowOneIn) == 0):
		g.drawLossesInRow()
	}
}

// countsAsLoss reports whether a fault of the kind counts as a loss.
func countsAsLoss(kind FaultKind) bool {
	return slices.Contains(countedKinds, kind) || slices.Contains(domainKinds, kind)
}

// retirable reports whether the turn stores suffice without any one of them.
func (g *generator) retirable() bool {
	if g.script.Unit == Machines {
		return g.script.Stores > g.script.Losses+1
	}
	return g.script.domains() > g.script.Losses+1
}

// earliestLoss returns the loss that ends first.
func (g *generator) earliestLoss() *loss {
	first := &g.losses[0]
	for i := range g.losses {
		if g.losses[i].until < first.until {
			first = &g.losses[i]
		}
	}
	return first
}

// drawLoss draws a fault that counts as a loss and begins at a given time or later.
func (g *generator) drawLoss(kind FaultKind, at time.Duration) {
	at = max(g.earliest, at, g.earliestLoss().until)
	machine := g.drawMachine(kind, at)
	if machine == "" {
		return
	}
	if slices.Contains(nearKinds, kind) {
		g.drawNearPartition(kind, machine, at)
		return
	}
	duration := g.drawDuration(100*time.Millisecond, 6*time.Second)
	if kind == Partition || kind == PartitionLeader || strings.HasPrefix(string(kind), string(PartitionZone)) {
		duration = g.drawDuration(300*time.Millisecond, 20*time.Second)
	}
	g.addLoss(kind, machine, at, duration)
}

// addLoss adds a fault that counts as a loss.
func (g *generator) addLoss(kind FaultKind, machine string, at, duration time.Duration, side ...string) {
	g.addFault(kind, machine, at, duration, side...)
	*g.earliestLoss() = loss{g.script.domainOf(machine), at + duration + syncTime}
}

// drawNearPartition draws a partition of a control-plane machine together with some of the gateways and, where one more machine may be
// lost, a turn store. It also draws faults during the partition and at its end.
func (g *generator) drawNearPartition(kind FaultKind, machine string, at time.Duration) {
	duration := g.drawDuration(minNearPartitionTime, maxNearPartitionTime)
	side := []string{g.drawGateway()}
	if g.random.IntN(4) == 0 {
		side = []string{gatewayName(0), gatewayName(1)}
	}
	var store string
	if g.script.Unit == Machines && g.script.Losses > 1 && g.allRecoveredAt() <= at {
		if store = storeName(g.random.IntN(g.script.Stores)); store != g.retired {
			side = append(side, store)
		}
	}
	g.addLoss(kind, machine, at, duration, side...)
	if len(side) > 0 && side[len(side)-1] == store {
		*g.earliestLoss() = loss{store, at + duration + syncTime}
	}
	end := at + duration
	if g.random.IntN(nearExtraOneIn) == 0 {
		g.addFault(PartitionSeeds, g.drawGateway(), at+g.drawDuration(300*time.Millisecond, duration/2), g.drawDuration(100*time.Millisecond, 2*time.Second))
	}
	if g.random.IntN(rivalsOneIn) == 0 {
		g.addFault(ConcurrentChanges, "", end-rivalsLeadTime, g.drawDuration(minRivalsTime, maxRivalsTime))
	}
	if g.random.IntN(nearExtraOneIn) == 0 {
		next := [...]FaultKind{Kill, PowerLoss, Pause, Partition}[g.random.IntN(4)]
		g.addLoss(next, Leader, max(end, g.earliestLoss().until)+g.drawDuration(0, maxNextLossDelay), g.drawDuration(100*time.Millisecond, 6*time.Second))
	}
}

// drawLossesInRow draws losses each of which begins as soon as an earlier one no longer counts. No fault is drawn after them.
func (g *generator) drawLossesInRow() {
	var kinds []FaultKind
	for _, kind := range g.kinds {
		if countsAsLoss(kind) && !slices.Contains(nearKinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	if len(kinds) == 0 {
		kinds = slices.DeleteFunc(slices.Clone(countedKinds), func(kind FaultKind) bool { return slices.Contains(nearKinds, kind) })
	}
	begin := g.allRecoveredAt()
	for i := range g.losses { // with two tolerated losses, the first two begin at about the same time
		g.losses[i].until = begin
	}
	end := begin + g.drawDuration(minLossesInRowTime, maxLossesInRowTime)
	g.addFault(LossesInRow, "", begin, end-begin)
	for g.earliestLoss().until < end {
		at := g.earliestLoss().until + g.drawDuration(0, maxNextLossDelay)
		kind := g.drawKind(kinds)
		if machine := g.drawMachine(kind, at); machine != "" {
			g.addLoss(kind, machine, at, g.drawDuration(100*time.Millisecond, maxLossInRowTime))
		}
	}
	g.complete = true
}

// drawGateway draws the name of a gateway.
func (g *generator) drawGateway() string { return gatewayName(g.random.IntN(g.script.Gateways)) }

// drawMachine draws a machine, or a zone or region, for a fault. It returns "" if the drawn one is lost, or is a machine that is being
// retired, as the fault would end its retirement.
func (g *generator) drawMachine(kind FaultKind, at time.Duration) string {
	if slices.Contains(domainKinds, kind) {
		return g.drawDomain(at)
	}
	near := slices.Contains(nearKinds, kind)
	if kind == PartitionLeader || kind == PartitionConfirming || near && g.random.IntN(4) > 0 || kind != Terminate && g.random.IntN(4) == 0 {
		return Leader
	}
	if kind != Terminate && kind != Move && !near && g.retired == "" && g.random.IntN(4) == 0 {
		return Weakest
	}
	name := storeName(g.random.IntN(g.script.Stores))
	if kind == Move || near || kind != Terminate && g.random.IntN(2) == 0 {
		name = coreName(g.random.IntN(g.script.Core))
	}
	if g.isLost(g.script.domainOf(name), at) || name == g.retired {
		return ""
	}
	return name
}

// drawDomain draws a zone or region. It returns "" if the drawn one is lost, or if a machine in it is being retired.
func (g *generator) drawDomain(at time.Duration) string {
	if g.retired == "" && g.random.IntN(2) == 0 {
		return [...]string{Leader, Weakest}[g.random.IntN(2)]
	}
	name := g.script.domainName(g.random.IntN(g.script.domains()))
	if g.isLost(name, at) || g.retired != "" && g.script.domainOf(g.retired) == name {
		return ""
	}
	return name
}

// isLost reports whether a failure domain counts as lost at a time.
func (g *generator) isLost(domain string, at time.Duration) bool {
	return slices.ContainsFunc(g.losses, func(l loss) bool { return l.domain == domain && l.until > at })
}
