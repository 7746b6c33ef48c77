package simulation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// troubleMost is how long messages are lost at most in a script that is drawn: about the contact window. In longer trouble
	// a session may lapse for longer than the control plane waits for it.
	troubleMost = 3 * time.Second

	// faultsMost is how many entries of a script are drawn at most; some bring others with them.
	faultsMost = 4

	// rowOf: of so many rows of losses one is drawn, where all kinds are, as one lasts as long as many other scripts.
	rowOf = 6

	// spareCoreOf: of so many systems that bear one loss one has a machine of the control plane more than members.
	spareCoreOf = 4

	// domainScriptOf: of so many scripts one loses zones or regions, where kinds of both sorts are to be drawn.
	domainScriptOf = 5

	// nextLossMost is how long after syncTime the next loss begins at most where losses follow each other.
	nextLossMost = 50 * time.Millisecond

	rowMin, rowMax         = 60 * time.Second, 110 * time.Second     // losses that follow each other
	rowLossMost            = 5 * time.Second                         // one of these
	nearMin, nearMax       = 10 * time.Second, 20 * time.Second      // a cut with those beside the machine
	splitMin, splitMax     = time.Second, 8 * time.Second            // of the control plane
	rivalsMin, rivalsMax   = 300 * time.Millisecond, 2 * time.Second // pairs of orders
	rivalsBefore           = 100 * time.Millisecond                  // the end of a cut, where they come with it
	rivalsOfReturn, ofNear = 3, 2                                    // of so many cuts one has pairs of orders, a next loss, new processes
)

// Draw draws a script with faults of the given kinds; none: of all. Never are more than Losses machines, or zones or
// regions, lost at once; one counts as lost until syncTime after its return. Only RestartAll, PowerLossAll, which keep
// the disks, SplitCore and SplitOneWay take more, while nothing else is lost. Messages may be lost (Trouble) beside losses.
func Draw(seed uint64, kinds ...Kind) Script {
	d := drawing{r: rand.New(rand.NewPCG(seed, 0x5c21)), kinds: kinds}
	if len(kinds) == 0 {
		d.kinds, d.mixed = Kinds(), true
	}
	d.system(seed)
	d.lost = make([]loss, d.s.Losses)
	d.at = settleIn
	for range 1 + d.r.IntN(faultsMost) {
		d.entry(d.kind(d.kinds))
		if d.ended {
			break
		}
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
	mixed   bool // all kinds are drawn
	ended   bool // nothing more is drawn
}

// loss is one of the machines, zones or regions that may be lost at a time.
type loss struct {
	domain string
	until  time.Duration
}

// system draws what the faults befall.
func (d *drawing) system(seed uint64) {
	d.s = Script{Version: ScriptVersion, Seed: seed, Gateways: 2, Losses: 1}
	ofDomains := func(kind Kind) bool { return slices.Contains(domainKinds, kind) }
	some := slices.ContainsFunc(d.kinds, ofDomains)
	others := slices.DeleteFunc(slices.Clone(d.kinds), ofDomains)
	if some && (len(others) == 0 || d.r.IntN(domainScriptOf) == 0) {
		d.domainSystem()
		return
	}
	d.kinds = others
	d.s.Core, d.s.Stores = 3, 3+d.r.IntN(2)
	if d.r.IntN(spareCoreOf) == 0 {
		d.s.Core++
	}
	if d.r.IntN(5) == 0 {
		d.s.Core, d.s.Stores, d.s.Losses = 5, 4+d.r.IntN(2), 2
	}
}

// domainSystem draws a system that loses zones or regions: each has a machine of the control plane and a turn store at least.
func (d *drawing) domainSystem() {
	d.s.Unit, d.s.Zones = Zones, 3+d.r.IntN(3)
	if d.r.IntN(4) == 0 {
		d.s.Unit, d.s.Regions, d.s.Zones = Regions, 3, 3+d.r.IntN(3)
	}
	if d.s.domains() == 5 && d.r.IntN(3) == 0 {
		d.s.Losses = 2
	}
	d.s.Core = max(d.s.Zones, 2*d.s.Losses+1) + d.r.IntN(2)
	d.s.Stores = d.s.Zones + d.r.IntN(2)
	d.s.Packed = d.r.IntN(4) == 0
}

// kind draws one of the kinds. Where zones or regions are lost, half of the draws are of these.
func (d *drawing) kind(kinds []Kind) Kind {
	if d.s.Unit != Machines && d.r.IntN(2) == 0 {
		wanted := slices.DeleteFunc(slices.Clone(kinds), func(kind Kind) bool { return !slices.Contains(domainKinds, kind) })
		if len(wanted) > 0 {
			return wanted[d.r.IntN(len(wanted))]
		}
	}
	return kinds[d.r.IntN(len(kinds))]
}

func (d *drawing) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.r.Int64N(int64(high-low)))
}

func (d *drawing) add(kind Kind, machine string, at, duration time.Duration, side ...string) {
	d.s.Faults = append(d.s.Faults, Fault{AtMS: at.Milliseconds(), DurationMS: duration.Milliseconds(), Kind: kind, Machine: machine, Side: side})
}

// whole is when nothing is lost any more.
func (d *drawing) whole() time.Duration {
	at := d.at
	for _, l := range d.lost {
		at = max(at, l.until)
	}
	return at
}

// entry draws one fault, or none where its kind can't be at this place.
func (d *drawing) entry(kind Kind) {
	d.at += d.between(100*time.Millisecond, 3*time.Second)
	switch {
	case takesCounted(kind):
		d.loss(kind, d.slot().until)
	case slices.Contains(takeMore, kind):
		d.at = d.whole()
		lasts := d.between(200*time.Millisecond, 3*time.Second)
		if kind == SplitCore || kind == SplitOneWay {
			lasts = d.between(splitMin, splitMax)
		}
		d.add(kind, "", d.at, lasts)
		d.at += lasts + syncTime
	case kind == KillGateway || kind == SeedsCutOff:
		d.add(kind, d.gateway(), d.at, d.between(100*time.Millisecond, 2*time.Second))
	case kind == Add && !d.added:
		d.added = true
		d.add(kind, storeName(d.s.Stores), d.at, 0)
	case kind == Retire && d.retired == "" && d.retirable():
		d.retired = storeName(d.r.IntN(d.s.Stores))
		d.add(kind, d.retired, d.at, 0)
	case kind == LoseAnswers || kind == Reorder:
		d.add(kind, "", d.at, d.between(time.Second, 8*time.Second))
	case kind == Trouble:
		d.add(kind, "", d.at, d.between(200*time.Millisecond, troubleMost))
	case kind == RivalOrders:
		d.add(kind, "", d.at, d.between(rivalsMin, rivalsMax))
	case kind == LossesInRow && (!d.mixed || d.r.IntN(rowOf) == 0):
		d.row()
	}
}

// takesCounted tells whether a kind takes something that is counted as lost.
func takesCounted(kind Kind) bool {
	return slices.Contains(counted, kind) || slices.Contains(domainKinds, kind)
}

// retirable tells whether one turn store fewer would be enough wherever it is.
func (d *drawing) retirable() bool {
	if d.s.Unit == Machines {
		return d.s.Stores > d.s.Losses+1
	}
	return d.s.domains() > d.s.Losses+1
}

// slot is the loss that is over first.
func (d *drawing) slot() *loss {
	first := &d.lost[0]
	for i := range d.lost {
		if d.lost[i].until < first.until {
			first = &d.lost[i]
		}
	}
	return first
}

// loss draws a fault that takes something counted, at a time or later.
func (d *drawing) loss(kind Kind, at time.Duration) {
	at = max(d.at, at, d.slot().until)
	machine := d.machine(kind, at)
	if machine == "" {
		return
	}
	if slices.Contains(nearKinds, kind) {
		d.near(kind, machine, at)
		return
	}
	duration := d.between(100*time.Millisecond, 6*time.Second)
	if kind == Cut || kind == CutLeader || strings.HasPrefix(string(kind), string(ZoneCut)) {
		duration = d.between(300*time.Millisecond, 20*time.Second)
	}
	d.take(kind, machine, at, duration)
}

// take adds a fault that takes something counted.
func (d *drawing) take(kind Kind, machine string, at, duration time.Duration, side ...string) {
	d.add(kind, machine, at, duration, side...)
	*d.slot() = loss{d.s.domainOf(machine), at + duration + syncTime}
}

// near draws a cut of a machine of the control plane with some of the gateways and, where one more may be lost, a turn store
// beside it, and what may come in it and as it ends.
func (d *drawing) near(kind Kind, machine string, at time.Duration) {
	duration := d.between(nearMin, nearMax)
	side := []string{d.gateway()}
	if d.r.IntN(4) == 0 {
		side = []string{gatewayName(0), gatewayName(1)}
	}
	var store string
	if d.s.Unit == Machines && d.s.Losses > 1 && d.whole() <= at {
		if store = storeName(d.r.IntN(d.s.Stores)); store != d.retired {
			side = append(side, store)
		}
	}
	d.take(kind, machine, at, duration, side...)
	if len(side) > 0 && side[len(side)-1] == store {
		*d.slot() = loss{store, at + duration + syncTime}
	}
	end := at + duration
	if d.r.IntN(ofNear) == 0 {
		d.add(SeedsCutOff, d.gateway(), at+d.between(300*time.Millisecond, duration/2), d.between(100*time.Millisecond, 2*time.Second))
	}
	if d.r.IntN(rivalsOfReturn) == 0 {
		d.add(RivalOrders, "", end-rivalsBefore, d.between(rivalsMin, rivalsMax))
	}
	if d.r.IntN(ofNear) == 0 {
		next := [...]Kind{Kill, PowerLoss, Pause, Cut}[d.r.IntN(4)]
		d.take(next, Leader, max(end, d.slot().until)+d.between(0, nextLossMost), d.between(100*time.Millisecond, 6*time.Second))
	}
}

// row draws losses each of which begins as soon as the one before counts no more, and nothing after them.
func (d *drawing) row() {
	var kinds []Kind
	for _, kind := range d.kinds {
		if takesCounted(kind) && !slices.Contains(nearKinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	if len(kinds) == 0 {
		kinds = slices.DeleteFunc(slices.Clone(counted), func(kind Kind) bool { return slices.Contains(nearKinds, kind) })
	}
	begin := d.whole()
	for i := range d.lost { // with two, each begins beside the other
		d.lost[i].until = begin
	}
	end := begin + d.between(rowMin, rowMax)
	d.add(LossesInRow, "", begin, end-begin)
	for d.slot().until < end {
		at := d.slot().until + d.between(0, nextLossMost)
		kind := d.kind(kinds)
		if machine := d.machine(kind, at); machine != "" {
			d.take(kind, machine, at, d.between(100*time.Millisecond, rowLossMost))
		}
	}
	d.ended = true
}

func (d *drawing) gateway() string { return gatewayName(d.r.IntN(d.s.Gateways)) }

// machine draws a machine, or a zone or region, that is not lost. A machine that is to be emptied is spared what would end
// the order.
func (d *drawing) machine(kind Kind, at time.Duration) string {
	if slices.Contains(domainKinds, kind) {
		return d.zone(at)
	}
	near := slices.Contains(nearKinds, kind)
	if kind == CutLeader || kind == CutConfirming || near && d.r.IntN(4) > 0 || kind != Terminate && d.r.IntN(4) == 0 {
		return Leader
	}
	if kind != Terminate && kind != Move && !near && d.retired == "" && d.r.IntN(4) == 0 {
		return Weakest
	}
	name := storeName(d.r.IntN(d.s.Stores))
	if kind == Move || near || kind != Terminate && d.r.IntN(2) == 0 {
		name = coreName(d.r.IntN(d.s.Core))
	}
	if d.isLost(d.s.domainOf(name), at) || name == d.retired {
		return ""
	}
	return name
}

// zone draws a zone or a region that is not lost, in which no machine is to be emptied.
func (d *drawing) zone(at time.Duration) string {
	if d.retired == "" && d.r.IntN(2) == 0 {
		return [...]string{Leader, Weakest}[d.r.IntN(2)]
	}
	name := d.s.domainName(d.r.IntN(d.s.domains()))
	if d.isLost(name, at) || d.retired != "" && d.s.domainOf(d.retired) == name {
		return ""
	}
	return name
}

func (d *drawing) isLost(domain string, at time.Duration) bool {
	return slices.ContainsFunc(d.lost, func(l loss) bool { return l.domain == domain && l.until > at })
}
