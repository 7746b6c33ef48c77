package script

import (
	"math"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/fault"
)

// locator returns the file and line of the i-th table of a kind, as in "day.toml:12".
type locator func(kind string, i int) string

// check fills in the defaults of a script and returns an error for the first invalid entry.
func (s *Script) check(where locator) error {
	if s.Day != nil {
		if err := s.Day.check(where("day", 0)); err != nil {
			return err
		}
	}
	if err := s.checkNamed(where); err != nil {
		return err
	}
	if err := s.checkEvents(where); err != nil {
		return err
	}
	return s.checkTraffic(where)
}

// names is the set of names that are taken, each as "kind name".
type names map[string]bool

// add adds a name. It fails if the name is missing, too long, not one word, or already taken by another entry of the kind.
func (n names) add(at, kind, name string) error {
	if name == "" {
		return invalid(at, "a %s needs a name", kind)
	}
	if len(name) > maxName || strings.ContainsAny(name, " ,\r\n\t") {
		return invalid(at, "%s name %q: want at most 64 bytes, without blanks, line breaks and commas", kind, name)
	}
	if n[kind+" "+name] {
		return invalid(at, "duplicate name: %s %q", kind, name)
	}
	n[kind+" "+name] = true
	return nil
}

// maxName is the maximum length of a name, in bytes.
const maxName = 64

// checkNamed checks the entries that have names: classes, kinds of receivers, and members.
func (s *Script) checkNamed(where locator) error {
	given := names{}
	for i := range s.Classes {
		if err := s.Classes[i].check(where("class", i)); err != nil {
			return err
		}
		if err := given.add(where("class", i), "class", s.Classes[i].Name); err != nil {
			return err
		}
	}
	for i := range s.Kinds {
		if err := s.Kinds[i].check(where("kind", i)); err != nil {
			return err
		}
		if err := given.add(where("kind", i), "kind", s.Kinds[i].Name); err != nil {
			return err
		}
	}
	for i, m := range s.Members {
		if err := given.add(where("member", i), "member", m.Name); err != nil {
			return err
		}
		if !(m.Weight > 0) || m.Weight > 1000 {
			return invalid(where("member", i), "member %q: share must be over 0", m.Name)
		}
	}
	return nil
}

// checkEvents checks the faults of receivers, the changes of the endpoint list, the actions on senders and the faults of links.
func (s *Script) checkEvents(where locator) error {
	for i := range s.Faults {
		t := &s.Faults[i]
		t.where = where("trouble", i)
		if err := t.check(); err != nil {
			return err
		}
	}
	for i := range s.Lists {
		l := &s.Lists[i]
		l.where = where("list", i)
		if err := l.check(); err != nil {
			return err
		}
	}
	for i := range s.Senders {
		c := &s.Senders[i]
		c.where = where("sender", i)
		if err := c.check(); err != nil {
			return err
		}
	}
	for i := range s.Links {
		l := &s.Links[i]
		l.where = where("link", i)
		if err := l.check(); err != nil {
			return err
		}
	}
	return nil
}

// checkTraffic checks the changes of the traffic: surges, sleeps and bursts.
func (s *Script) checkTraffic(where locator) error {
	for i := range s.Surges {
		g := &s.Surges[i]
		g.where = where("surge", i)
		if err := g.check(); err != nil {
			return err
		}
	}
	for i := range s.Sleeps {
		z := &s.Sleeps[i]
		z.where = where("sleep", i)
		if z.For == 0 {
			return invalid(z.where, `a sleep needs the key "for"`)
		}
		if err := z.Who.check(z.where); err != nil {
			return err
		}
	}
	for i := range s.Bursts {
		z := &s.Bursts[i]
		z.where = where("burst", i)
		setDefault(&z.Within, Span(time.Second))
		if z.Messages < 1 || z.Messages > 100_000 {
			return invalid(z.where, "messages = %d is not in [1, 100000]", z.Messages)
		}
		if err := z.Who.check(z.where); err != nil {
			return err
		}
	}
	return nil
}

func (g *Surge) check() error {
	setDefault(&g.Factor, 3)
	if !(g.Factor > 0) || g.Factor > 100 {
		return invalid(g.where, "factor %v is not in (0, 100]", g.Factor)
	}
	if g.For == 0 {
		return invalid(g.where, `a surge needs the key "for"`)
	}
	if g.Member != "" && g.Sender != "" {
		return invalid(g.where, "a surge takes member or sender, not both")
	}
	return nil
}

// inRange reports whether v lies in (from, to]. It returns false for NaN.
func inRange(v, from, to float64) bool { return v > from && v <= to && !math.IsNaN(v) }

// setDefaults sets the fields that a script leaves out to the defaults in the fields' comments.
func (d *Day) setDefaults() {
	setDefault(&d.Seconds, 15)
	setDefault(&d.Seed, 1)
	setDefault(&d.Rate, 30)
	setDefault(&d.Senders, 2)
	setDefault(&d.Receivers, 10)
	setDefault(&d.Zipf, 0.8)
	setDefault(&d.Load, 0.7)
	setDefault(&d.ClumpSpan, Span(1500*time.Millisecond))
	setDefault(&d.Body, 300)
	setDefault(&d.FirstBackoff, Span(500*time.Millisecond))
	setDefault(&d.Patience, Span(400*time.Millisecond))
	setDefault(&d.SlowStartCapacity, 0.18)
	setDefault(&d.SlowStart, Span(14*time.Second))
	setDefault(&d.FallMultiple, 2)
	setDefault(&d.FallSpan, Span(3*time.Second))
	setDefault(&d.DrainGrace, Span(2*time.Second))
	setDefault(&d.Grace, Span(50*time.Millisecond))
	setDefault(&d.OrderRest, Span(time.Second))
	setDefault(&d.ListDelay, Span(300*time.Millisecond))
	setDefault(&d.MemoryMB, 192)
	setDefault(&d.Sockets, 512)
	setDefault(&d.Disk, 3)
	setDefault(&d.SlotHeadroom, 2)
	setDefault(&d.ReportEach, Span(400*time.Millisecond))
	setDefault(&d.ReportLate, Span(100*time.Millisecond))
	if d.Retries == nil {
		three := 3
		d.Retries = &three
	}
	if d.Endpoints == nil {
		d.Endpoints = []int{1, 3}
	}
	setDefault(&d.Speak, encoding.Plain)
}

func (d *Day) check(at string) error {
	d.setDefaults()
	for _, c := range []struct {
		name     string
		v        float64
		from, to float64
	}{
		{"seconds", d.Seconds, 0, 3600}, {"rate", d.Rate, 0, 20000}, {"senders", float64(d.Senders), 0, 64},
		{"receivers", float64(d.Receivers), 0, 1000}, {"load", d.Load, 0, 10}, {"body", float64(d.Body), 0, 64 << 10},
		{"cold_from", d.SlowStartCapacity, 0, 1}, {"fall_multiple", d.FallMultiple, 0, 100}, {"memory_mb", float64(d.MemoryMB), 15, 1 << 20},
		{"sockets", float64(d.Sockets), 63, 1 << 20}, {"disk_mb", float64(d.Disk), 0, 1 << 20}, {"slots_room", d.SlotHeadroom, 0, 1000},
		{"clump_span", d.ClumpSpan.D().Seconds(), 0, 60}, {"patience", d.Patience.D().Seconds(), 0, 60},
		{"fall_span", d.FallSpan.D().Seconds(), 0, 60}, {"zipf", d.Zipf, -1e-9, 10}, {"clumps", d.Clumps, -1e-9, 0.9},
		{"retries", float64(*d.Retries), -1, 20}, {"lost_answers", d.LostAnswers, -1e-9, 0.9}, {"grace", d.Grace.D().Seconds(), 0.049, 0.4}, {"settle", d.OrderRest.D().Seconds(), d.Grace.D().Seconds(), 600},
	} {
		if !inRange(c.v, c.from, c.to) {
			return invalid(at, "day: %s = %v is not in (%v, %v]", c.name, c.v, c.from, c.to)
		}
	}
	if !d.Speak.Known(true) {
		return invalid(at, "day: unknown speak = %q; want plain, binary, structured, batched or mixed", d.Speak)
	}
	if len(d.Endpoints) != 2 || d.Endpoints[0] < 1 || d.Endpoints[1] < d.Endpoints[0] || d.Endpoints[1] > 16 {
		return invalid(at, "day: endpoints = %v: want minimum and maximum, from 1 to 16", d.Endpoints)
	}
	if d.SenderWeights != nil && len(d.SenderWeights) != d.Senders {
		return invalid(at, "day: sender_shares has %d shares for %d senders", len(d.SenderWeights), d.Senders)
	}
	for _, v := range d.SenderWeights {
		if !inRange(v, 0, 1e6) {
			return invalid(at, "day: sender_shares: %v is not in (0, 1000000]", v)
		}
	}
	return nil
}

func (c *Class) check(at string) error {
	setDefault(&c.Weight, 1)
	setDefault(&c.Effect, "keyed")
	setDefault(&c.Keys, 2)
	setDefault(&c.LatencyTarget, Span(2500*time.Millisecond))
	setDefault(&c.Deadline, Span(8*time.Second))
	setDefault(&c.KeyWindow, Span(7500*time.Millisecond))
	setDefault(&c.LateValue, 0.5)
	switch c.Effect {
	case "safe", "keyed", "unsafe":
	default:
		return invalid(at, "class %q: unknown effect = %q; want safe, keyed or unsafe", c.Name, c.Effect)
	}
	if !inRange(c.Weight, 0, 1000) || c.Keys < 1 || c.Keys > 10000 || !inRange(c.LateValue, -1e-9, 1) {
		return invalid(at, "class %q: share must be in (0, 1000], keys in [1, 10000], late_worth in [0, 1]", c.Name)
	}
	if c.LatencyTarget.D() > c.Deadline.D() || c.Deadline.D() > time.Minute {
		return invalid(at, "class %q: aim %v, deadline %v: the aim must not exceed the deadline, and the deadline must not exceed 1m", c.Name, c.LatencyTarget.D(), c.Deadline.D())
	}
	return nil
}

func (k *Kind) check(at string) error {
	setDefault(&k.Format, encoding.Plain)
	if !k.Format.Known(false) {
		return invalid(at, "kind %q: unknown form = %q; want plain, binary, structured or batched", k.Name, k.Format)
	}
	setDefault(&k.Weight, 1)
	setDefault(&k.Service, Span(150*time.Millisecond))
	setDefault(&k.Spread, 0.6)
	setDefault(&k.Times, "lognormal")
	setDefault(&k.MinRate, 4)
	setDefault(&k.Queue, Span(500*time.Millisecond))
	setDefault(&k.Limit, "none")
	setDefault(&k.Window, Span(time.Second))
	setDefault(&k.MinConnections, 10)
	setDefault(&k.IdleClose, Span(15*time.Second))
	if k.Headroom == nil {
		k.Headroom = []float64{1.3, 2}
	}
	if k.LimitHeadroom == nil {
		k.LimitHeadroom = []float64{1.2, 2}
	}
	for name, r := range map[string][]float64{"headroom": k.Headroom, "limit_room": k.LimitHeadroom} {
		if len(r) != 2 || !inRange(r[0], 0, 1000) || !inRange(r[1], 0, 1000) || r[1] < r[0] {
			return invalid(at, "kind %q: %s = %v: want minimum and maximum, over 0", k.Name, name, r)
		}
	}
	switch k.Times {
	case "exp", "lognormal", "fixed":
	default:
		return invalid(at, "kind %q: unknown times = %q; want exp, lognormal or fixed", k.Name, k.Times)
	}
	switch k.Limit {
	case "none", "rate", "window":
	default:
		return invalid(at, "kind %q: unknown limit = %q; want none, rate or window", k.Name, k.Limit)
	}
	if !inRange(k.Weight, 0, 1000) || !inRange(k.Spread, 0, 10) || !inRange(k.MinRate, 0, 1e5) || k.Connections < 0 || k.MinConnections < 1 {
		return invalid(at, "kind %q: share, spread, least_rate and least_conns must be over 0, and connections must not be negative", k.Name)
	}
	if k.Service.D() > 10*time.Second || k.Window.D() > time.Minute {
		return invalid(at, "kind %q: service must be at most 10s, and window at most 1m", k.Name)
	}
	return nil
}

func (w Who) check(at string) error {
	n := 0
	for _, set := range []bool{w.Name != "", w.Kind != "", w.Member != "", w.Traffic != 0, w.Random != 0} {
		if set {
			n++
		}
	}
	if n != 1 {
		return invalid(at, "who needs exactly one of name, kind, member, traffic, random; it has %d", n)
	}
	if w.Traffic != 0 && !inRange(w.Traffic, 0, 1) {
		return invalid(at, "who: traffic = %v is not in (0, 1]", w.Traffic)
	}
	if w.Random < 0 {
		return invalid(at, "who: random = %d is negative", w.Random)
	}
	return nil
}

func (t *Fault) check() error {
	setDefault(&t.Fraction, 1)
	setDefault(&t.Factor, 8)
	setDefault(&t.Wait, Span(800*time.Millisecond))
	if err := t.Who.check(t.where); err != nil {
		return err
	}
	if !inRange(t.Fraction, 0, 1) {
		return invalid(t.where, "%s: share = %v is not in (0, 1]", t.What, t.Fraction)
	}
	if !inRange(t.Factor, 1, 1000) {
		return invalid(t.where, "%s: factor = %v is not in (1, 1000]", t.What, t.Factor)
	}
	if t.For == 0 && t.What != fault.SlowStart {
		return invalid(t.where, `%s needs the key "for"`, t.What)
	}
	if t.Only < 0 {
		return invalid(t.where, "%s: only = %d is negative", t.What, t.Only)
	}
	if t.Only > 0 && t.What != fault.Drain {
		return invalid(t.where, "only is allowed only with drain; %s affects all endpoints of the receiver", t.What)
	}
	return nil
}

func (l *List) check() error {
	setDefault(&l.Each, Span(500*time.Millisecond))
	setDefault(&l.Delay, Span(2*time.Second))
	switch l.Do {
	case "replace":
		return l.Who.check(l.where)
	case "down", "late":
		if l.For == 0 {
			return invalid(l.where, `%s needs the key "for"`, l.Do)
		}
	case "move":
	default:
		return invalid(l.where, "unknown do = %q; want replace, down, late or move", l.Do)
	}
	return nil
}
