package script

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/fault"
	"saffronyard.example/saffronyard/internal/faulttest/links"
	"saffronyard.example/saffronyard/internal/faulttest/receiver"
)

// Plan is a day with all random choices made. The same script and seed give the same plan.
type Plan struct {
	Name      string
	Day       Day
	Classes   []Class
	Members   []Member
	Receivers []Receiver
	Arrivals  []Arrival
	Acts      []Act
	Senders   int // at the start; senders that join are not included
	Wakes     []Wake
}

// Receiver is a destination. Its number is its index in Plan.Receivers.
type Receiver struct {
	Name, Kind, Member string
	Weight             float64 // fraction of the traffic
	Endpoints          int
	Spec               receiver.Spec
}

// Arrival is a message that a client hands in.
type Arrival struct {
	At     time.Duration
	Sender int // sender to which the client hands it in; if that sender is not available, the next available one gets the message
	Class  int
	Dest   int
	Order  string // order key; set only in an ordered class
}

// Wake is a burst for one receiver.
type Wake struct {
	At       time.Duration
	Dest     int
	Messages int
}

// Act is an action that the kit performs at a given time.
type Act struct {
	At     time.Duration
	Do     string // trouble, end, replace, down, up, late, punctual, move, kill, restart, lose, join, keep, old, pause, resume, link, reset
	Fault  fault.Fault
	Number int // of the fault; the act that ends the fault has the same number
	Dests  []int
	Only   int
	Sender int
	Delay  time.Duration
	Ways   []Way           // link, reset
	Link   links.Condition // condition of the link from now on
}

// Make draws the plan of the day. It fails, with the file and line, if an entry names a receiver, sender or member that the day does not have.
func (s *Script) Make() (*Plan, error) {
	if s.Day == nil {
		return nil, invalid(s.Path, "no [day]")
	}
	d := *s.Day
	p := &Plan{Name: s.Name(), Day: d, Classes: s.Classes, Members: s.Members, Senders: d.Senders}
	if len(p.Classes) == 0 {
		c := Class{Name: "card-event"}
		if err := c.check(s.Path); err != nil {
			return nil, err
		}
		p.Classes = []Class{c}
	}
	kinds := s.Kinds
	if len(kinds) == 0 {
		var err error
		if kinds, err = UsualKinds(); err != nil {
			return nil, err
		}
	}
	if len(p.Members) == 0 {
		p.Members = []Member{{"evergreen", 0.4}, {"sound", 0.25}, {"ridge", 0.2}, {"tide", 0.15}}
	}
	// Each part of the plan draws from its own random stream, so that an additional fault does not change the arrivals.
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(d.Seed, n)) }
	p.receivers(kinds, stream(1))
	if err := p.arrivals(s.Surges, stream(2)); err != nil {
		return nil, err
	}
	if err := p.sleeps(s.Sleeps, stream(4)); err != nil {
		return nil, err
	}
	if err := p.bursts(s.Bursts, stream(5)); err != nil {
		return nil, err
	}
	if err := p.acts(s, stream(3)); err != nil {
		return nil, err
	}
	return p, nil
}

// arrivals draws a Poisson process by thinning from the highest rate. Some of its arrivals are clumps of messages.
func (p *Plan) arrivals(surges []Surge, rng *rand.Rand) error {
	d := p.Day
	shares := d.SenderWeights
	if shares == nil {
		shares = slices.Repeat([]float64{1}, d.Senders)
	}
	for _, g := range surges {
		if g.Member != "" && !slices.ContainsFunc(p.Members, func(m Member) bool { return m.Name == g.Member }) {
			return invalid(g.where, "there is no member %q", g.Member)
		}
		if g.Sender != "" {
			if _, err := p.senderIndex(g.Sender, g.where); err != nil {
				return err
			}
		}
	}
	// surgeFactor returns the factor by which surges multiply the traffic of a sender to a receiver at a time.
	surgeFactor := func(at time.Duration, sender, dest int) float64 {
		f := 1.0
		for _, g := range surges {
			if at < g.At.D() || at >= g.At.D()+g.For.D() || (g.Member != "" && g.Member != p.Receivers[dest].Member) ||
				(g.Sender != "" && g.Sender != "n"+strconv.Itoa(sender)) {
				continue
			}
			f *= g.Factor
		}
		return f
	}
	top := 1.0
	for _, g := range surges {
		top *= max(1, g.Factor)
	}
	receivers := make([]float64, len(p.Receivers))
	for i, r := range p.Receivers {
		receivers[i] = r.Weight
	}
	classes := make([]float64, len(p.Classes))
	for i, c := range p.Classes {
		classes[i] = c.Weight
	}
	addArrival := func(at time.Duration, sender, dest int) {
		class := pickWeighted(rng, classes)
		a := Arrival{At: at, Sender: sender, Class: class, Dest: dest}
		if c := p.Classes[class]; c.Ordered {
			a.Order = fmt.Sprintf("%s-k%d", p.Receivers[dest].Name, rng.IntN(c.Keys))
		}
		p.Arrivals = append(p.Arrivals, a)
	}
	// A clump has as many messages as its receiver serves in clump_span. The rate of clumps is such that they make up
	// their share of all messages.
	size := func(dest int) int { return max(2, int(p.Receivers[dest].rate()*d.ClumpSpan.D().Seconds())) }
	mean := 0.0
	for i, r := range p.Receivers {
		mean += r.Weight * float64(size(i))
	}
	single, clump := d.Rate*(1-d.Clumps), d.Rate*d.Clumps/max(1, mean)
	end := time.Duration(d.Seconds * float64(time.Second))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / ((single + clump) * top) * float64(time.Second))
		if at >= end {
			break
		}
		sender, dest := pickWeighted(rng, shares), pickWeighted(rng, receivers)
		isClump := rng.Float64()*(single+clump) < clump
		if rng.Float64()*top >= surgeFactor(at, sender, dest) {
			continue
		}
		if !isClump {
			addArrival(at, sender, dest)
			continue
		}
		for range size(dest) {
			addArrival(at+time.Duration(rng.Float64()*float64(50*time.Millisecond)), sender, dest)
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return nil
}

// sleeps removes the messages for receivers that sleep. The messages for other receivers do not change.
func (p *Plan) sleeps(all []Sleep, rng *rand.Rand) error {
	type span struct{ from, to time.Duration }
	spans := make([][]span, len(p.Receivers))
	for _, s := range all {
		dests, err := p.selectReceivers(s.Who, s.where, rng)
		if err != nil {
			return err
		}
		for _, d := range dests {
			spans[d] = append(spans[d], span{s.At.D(), s.At.D() + s.For.D()})
		}
	}
	p.Arrivals = slices.DeleteFunc(p.Arrivals, func(a Arrival) bool {
		return slices.ContainsFunc(spans[a.Dest], func(s span) bool { return a.At >= s.from && a.At < s.to })
	})
	return nil
}

// bursts adds the messages of bursts, each handed in at a random sender with equal probability.
func (p *Plan) bursts(all []Burst, rng *rand.Rand) error {
	classes := make([]float64, len(p.Classes))
	for i, c := range p.Classes {
		classes[i] = c.Weight
	}
	for _, b := range all {
		dests, err := p.selectReceivers(b.Who, b.where, rng)
		if err != nil {
			return err
		}
		for _, dest := range dests {
			p.Wakes = append(p.Wakes, Wake{b.At.D(), dest, b.Messages})
			for range b.Messages {
				a := Arrival{At: b.At.D() + time.Duration(rng.Float64()*float64(b.Within.D())), Sender: rng.IntN(p.Senders), Class: pickWeighted(rng, classes), Dest: dest}
				if c := p.Classes[a.Class]; c.Ordered {
					a.Order = fmt.Sprintf("%s-k%d", p.Receivers[dest].Name, rng.IntN(c.Keys))
				}
				p.Arrivals = append(p.Arrivals, a)
			}
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return nil
}

// rate returns how many calls a receiver serves in a second.
func (r Receiver) rate() float64 {
	if r.Spec.Limit > 0 {
		return min(r.Spec.Limit, r.Spec.Capacity)
	}
	return r.Spec.Capacity
}

func pickWeighted(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (p *Plan) senderIndex(name, where string) (int, error) {
	if len(name) > 1 && name[0] == 'n' {
		if i, err := strconv.Atoi(name[1:]); err == nil && i >= 0 && i < p.Senders {
			return i, nil
		}
	}
	return 0, invalid(where, "there is no sender %q; the senders are n0 to n%d", name, p.Senders-1)
}

// selectReceivers resolves the selected receivers. Random selections are drawn in the order of the script.
func (p *Plan) selectReceivers(w Who, where string, rng *rand.Rand) ([]int, error) {
	var dests []int
	order := rng.Perm(len(p.Receivers)) // always drawn, so that a change of this selection does not change later draws
	switch {
	case w.Random > 0:
		if w.Random > len(order) {
			return nil, invalid(where, "random = %d of %d receivers", w.Random, len(order))
		}
		dests = order[:w.Random]
	case w.Traffic > 0:
		sum := 0.0
		for _, i := range order {
			if share := p.Receivers[i].Weight; sum+share <= w.Traffic {
				dests, sum = append(dests, i), sum+share
			}
		}
		if len(dests) == 0 { // each receiver has a larger share: the smallest one is closest
			dests = []int{len(p.Receivers) - 1}
		}
	default:
		for i, r := range p.Receivers {
			if r.Name == w.Name || (w.Kind != "" && r.Kind == w.Kind) || (w.Member != "" && r.Member == w.Member) {
				dests = append(dests, i)
			}
		}
	}
	if len(dests) == 0 {
		return nil, invalid(where, "who matches no receiver of this day: name %q, kind %q, member %q", w.Name, w.Kind, w.Member)
	}
	slices.Sort(dests)
	return dests, nil
}

// acts turns the script's faults, lists, senders and links into acts, sorted by time.
func (p *Plan) acts(s *Script, rng *rand.Rand) error {
	if err := p.faultActs(s.Faults, rng); err != nil {
		return err
	}
	if err := p.listActs(s.Lists, rng); err != nil {
		return err
	}
	if err := p.senderActs(s.Senders); err != nil {
		return err
	}
	if err := p.linkActs(s.Links, rng); err != nil {
		return err
	}
	slices.SortStableFunc(p.Acts, func(a, b Act) int { return cmp.Compare(a.At, b.At) })
	return nil
}

// faultActs adds the acts that begin and end each fault. A slow start has no end.
func (p *Plan) faultActs(faults []Fault, rng *rand.Rand) error {
	for i, t := range faults {
		dests, err := p.selectReceivers(t.Who, t.where, rng)
		if err != nil {
			return err
		}
		a := Act{At: t.At.D(), Do: "trouble", Number: i, Dests: dests, Only: t.Only,
			Fault: fault.Fault{Kind: t.What, Fraction: t.Fraction, Factor: t.Factor, Wait: t.Wait.D()}}
		p.Acts = append(p.Acts, a)
		if t.What != fault.SlowStart {
			a.At, a.Do = a.At+t.For.D(), "end"
			p.Acts = append(p.Acts, a)
		}
	}
	return nil
}

// listActs adds the changes of the endpoint list and of discovery.
func (p *Plan) listActs(lists []List, rng *rand.Rand) error {
	for _, l := range lists {
		a := Act{At: l.At.D(), Do: l.Do, Delay: l.Delay.D()}
		switch l.Do {
		case "replace":
			dests, err := p.selectReceivers(l.Who, l.where, rng)
			if err != nil {
				return err
			}
			for i, dest := range dests {
				p.Acts = append(p.Acts, Act{At: a.At + time.Duration(i)*l.Each.D(), Do: "replace", Dests: []int{dest}})
			}
			continue
		case "down", "late":
			p.Acts = append(p.Acts, Act{At: a.At + l.For.D(), Do: map[string]string{"down": "up", "late": "punctual"}[l.Do]})
		}
		p.Acts = append(p.Acts, a)
	}
	return nil
}

// senderActs adds the actions on sender processes.
func (p *Plan) senderActs(senders []Sender) error {
	joined := p.Senders
	for _, c := range senders {
		a := Act{At: c.At.D(), Do: c.Do}
		add := func() {
			if c.Do == "pause" {
				p.Acts = append(p.Acts, suspendActs(a, c.For.D())...)
			} else {
				p.Acts = append(p.Acts, a)
			}
		}
		switch {
		case c.Do == "join":
			a.Sender = joined
			joined++
			p.Acts = append(p.Acts, a)
		case c.Which == "all":
			for i := range p.Senders {
				a.Sender = i
				add()
				a.At += c.Each.D()
			}
		default:
			i, err := p.senderIndex(c.Which, c.where)
			if err != nil {
				return err
			}
			a.Sender = i
			add()
		}
	}
	return nil
}

// FeaturesText returns the features file that the day's senders are started with: the script's own text, and the rules that the
// formats of its clients and receivers need.
func (p *Plan) FeaturesText() string {
	text := p.Day.Features
	if p.Day.Speak != encoding.Plain && p.Day.Speak != "" {
		var classes []encoding.Class
		for _, c := range p.Classes {
			classes = append(classes, encoding.Class{Name: c.Name, Keyed: c.Effect == "keyed", Ordered: c.Ordered, Deadline: c.Deadline.D()})
		}
		text += "\n" + encoding.Rules(classes)
	}
	kinds := map[string]encoding.Format{}
	for _, r := range p.Receivers {
		kinds[r.Kind] = r.Spec.Format
	}
	if delivery := encoding.Delivery(kinds); delivery != "" {
		text += "\n" + delivery
	}
	return text
}

// MaxSenders returns the maximum number of senders on the day: those at the start and all that join.
func (p *Plan) MaxSenders() int {
	n := p.Senders
	for _, a := range p.Acts {
		if a.Do == "join" {
			n++
		}
	}
	return n
}
