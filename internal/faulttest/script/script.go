// Package script reads rehearsals: TOML files that say what a day looks like and what befalls it. Everything
// is checked here, with the file and line in each error, so that a day that begins can be played.
package script

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/fault"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Span is a time as the file states it.
type Span = tomlfile.Span

// Script is a file, or several laid over each other.
type Script struct {
	About   string   `toml:"about"`
	Day     *Day     `toml:"day"`
	Classes []Class  `toml:"class"`
	Kinds   []Kind   `toml:"kind"`
	Members []Member `toml:"member"`
	Faults  []Fault  `toml:"trouble"`
	Lists   []List   `toml:"list"`
	Senders []Sender `toml:"sender"`
	Surges  []Surge  `toml:"surge"`
	Sleeps  []Sleep  `toml:"sleep"`
	Bursts  []Burst  `toml:"burst"`
	Links   []Link   `toml:"link"`

	Path string `toml:"-"`
}

// Day is the size of a day and the figures that hold all through it.
type Day struct {
	Seconds       float64   `toml:"seconds"`       // of arrivals; default 15
	Seed          uint64    `toml:"seed"`          // default 1
	Rate          float64   `toml:"rate"`          // messages a second in all; default 30
	Senders       int       `toml:"senders"`       // default 2
	SenderWeights []float64 `toml:"sender_shares"` // default even
	Receivers     int       `toml:"receivers"`     // default 10
	Endpoints     []int     `toml:"endpoints"`     // of a receiver, least and most; default [1, 3]
	Zipf          float64   `toml:"zipf"`          // how uneven traffic is among receivers; default 0.8
	Load          float64   `toml:"load"`          // traffic as a share of full load; default 0.7
	Clumps        float64   `toml:"clumps"`        // share of messages that come in clumps for one receiver; default 0
	ClumpSpan     Span      `toml:"clump_span"`    // a clump is as many as the receiver takes in this time; default 1.5s
	Body          int       `toml:"body"`          // bytes of a message; default 300

	Retries      *int `toml:"retries"`  // after refusals; default 3
	FirstBackoff Span `toml:"pause"`    // before the first of them, then doubled; default 500ms
	Patience     Span `toml:"patience"` // a client waits so long for the first answer; default 400ms

	SlowStartCapacity float64 `toml:"cold_from"`     // default 0.18
	SlowStart         Span    `toml:"cold"`          // default 14s
	FallMultiple      float64 `toml:"fall_multiple"` // default 2
	FallSpan          Span    `toml:"fall_span"`     // default 3s
	DrainGrace        Span    `toml:"drain_grace"`   // default 2s
	Grace             Span    `toml:"grace"`         // each limit is so much longer, and the kit may run so late; default 50ms
	OrderRest         Span    `toml:"settle"`        // an ordered key rests so long after doubt; default 1s

	ListDelay    Span            `toml:"list_delay"`   // discovery tells a change so long after it was made; default 300ms
	MemoryMB     int             `toml:"memory_mb"`    // the sender's limit; default 192
	Sockets      int             `toml:"sockets"`      // default 512
	Disk         int             `toml:"disk_mb"`      // default 3
	SlotHeadroom float64         `toml:"slots_room"`   // slots over what the load keeps busy; default 2
	ReportEach   Span            `toml:"report_each"`  // load reports are refreshed so often; default 400ms
	Speak        encoding.Format `toml:"speak"`        // how clients hand messages in: plain, binary, structured, batched or mixed; default plain
	LostAnswers  float64         `toml:"lost_answers"` // share of the answers to events that their clients never see: they hand the same in again; default 0
	Features     string          `toml:"features"`     // text of the operators' file that the senders are started with
	Names        bool            `toml:"names"`        // endpoints are told by a zone file that the senders follow, in place of discovery
	ReportLate   Span            `toml:"report_late"`  // and tell what was so long ago; default 100ms
}

// Class is a class of message.
type Class struct {
	Name          string  `toml:"name"`
	Weight        float64 `toml:"share"` // default 1
	Effect        string  `toml:"effect"`
	Ordered       bool    `toml:"ordered"`
	Keys          int     `toml:"keys"` // of the order, for each receiver; default 2
	LatencyTarget Span    `toml:"aim"`
	Deadline      Span    `toml:"deadline"`
	KeyWindow     Span    `toml:"key_window"`
	LateValue     float64 `toml:"late_worth"` // default 0.5
}

// Kind is a kind of receiver.
type Kind struct {
	Name           string          `toml:"name"`
	Weight         float64         `toml:"share"`       // of the receivers; default 1
	Large          bool            `toml:"large"`       // they get the most traffic
	Service        Span            `toml:"service"`     // mean time of a call; default 150ms
	Spread         float64         `toml:"spread"`      // its coefficient of variation; default 0.6
	Times          string          `toml:"times"`       // exp, lognormal or fixed; default lognormal
	Headroom       []float64       `toml:"headroom"`    // capacity over its calls at full load; default [1.3, 2]
	MinRate        float64         `toml:"least_rate"`  // calls a second; default 4
	Queue          Span            `toml:"queue"`       // calls that wait, as time at capacity; default 500ms
	Limit          string          `toml:"limit"`       // none, rate or window; default none
	LimitHeadroom  []float64       `toml:"limit_room"`  // limit over its calls at full load; default [1.2, 2]
	Window         Span            `toml:"window"`      // default 1s
	TellsWait      Span            `toml:"tells_wait"`  // above the limit, 429 with this wait; 0: 503 and no word
	Connections    float64         `toml:"connections"` // most, over the calls served at once; 0: any number
	MinConnections int             `toml:"least_conns"` // default 10
	IdleClose      Span            `toml:"idle_close"`  // default 15s
	Reports        bool            `toml:"reports"`     // answers hold x0 and x1 where there is a limit
	Format         encoding.Format `toml:"form"`        // of calls to them: plain, binary, structured or batched; default plain
}

// Member owns receivers; their traffic is its own.
type Member struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"share"`
}

// Who names the receivers that are struck: one of name, kind, traffic and random.
type Who struct {
	Name    string  `toml:"name"`    // one receiver, r0 and up
	Kind    string  `toml:"kind"`    // all of a kind
	Traffic float64 `toml:"traffic"` // at random, until they get this share of the traffic
	Random  int     `toml:"random"`  // so many at random
	Member  string  `toml:"member"`  // all of a member
}

// Fault befalls receivers for a time.
type Fault struct {
	What     fault.Kind `toml:"what"`
	At       Span       `toml:"at"`
	For      Span       `toml:"for"`
	Who      Who        `toml:"who"`
	Fraction float64    `toml:"share"`  // default 1
	Factor   float64    `toml:"factor"` // default 8
	Wait     Span       `toml:"wait"`   // default 800ms
	Only     int        `toml:"only"`   // so many of the receiver's endpoints; 0: all

	where string
}

// List is what happens to discovery: replace, down, late, move or ask.
type List struct {
	Do    string `toml:"do"`
	At    Span   `toml:"at"`
	For   Span   `toml:"for"`
	Who   Who    `toml:"who"`   // replace
	Each  Span   `toml:"each"`  // replace: pause between endpoints; default 500ms
	Delay Span   `toml:"delay"` // late: news comes so much later; default 2s

	where string
}

// Sender is what happens to sender processes: kill, restart, lose, join; pause for a time; keep a copy of its folder, and
// old: kill it and start it with that copy.
type Sender struct {
	Do    string `toml:"do"`
	At    Span   `toml:"at"`
	For   Span   `toml:"for"`   // pause
	Which string `toml:"which"` // n0 and up, or all; for join none
	Each  Span   `toml:"each"`  // all: pause between them; default 0

	where string
}

// Surge is more traffic for a time: of a sender, a member, or all.
type Surge struct {
	At     Span    `toml:"at"`
	For    Span    `toml:"for"`
	Factor float64 `toml:"factor"` // default 3
	Member string  `toml:"member"`
	Sender string  `toml:"sender"`

	where string
}

// Sleep is a time without messages for receivers.
type Sleep struct {
	At  Span `toml:"at"`
	For Span `toml:"for"`
	Who Who  `toml:"who"`

	where string
}

// Burst is so many messages at once for each of the receivers, beside their usual traffic.
type Burst struct {
	At       Span `toml:"at"`
	Within   Span `toml:"within"` // default 1s
	Messages int  `toml:"messages"`
	Who      Who  `toml:"who"`

	where string
}

// Load reads one file.
func Load(path string) (*Script, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return Parse(path, raw)
}

// Parse reads a script's text; path is for its errors.
func Parse(path string, raw []byte) (*Script, error) {
	s := &Script{Path: path}
	if err := tomlfile.Decode(path, raw, s); err != nil {
		return nil, err
	}
	lines := tables(raw)
	if err := s.check(func(table string, i int) string {
		if at := lines[table]; i < len(at) {
			return fmt.Sprintf("%s:%d", path, at[i])
		}
		return path
	}); err != nil {
		return nil, err
	}
	return s, nil
}

var header = regexp.MustCompile(`^\s*\[{1,2}\s*([a-z_]+)\s*\]{1,2}`)

// tables finds the line of each table's header, for errors about what no single value shows.
func tables(raw []byte) map[string][]int {
	at := map[string][]int{}
	for i, line := range strings.Split(string(raw), "\n") {
		if m := header.FindStringSubmatch(line); m != nil {
			at[m[1]] = append(at[m[1]], i+1)
		}
	}
	return at
}

func set[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (s *Script) check(where func(string, int) string) error {
	if s.Day != nil {
		if err := s.Day.check(where("day", 0)); err != nil {
			return err
		}
	}
	seen := map[string]bool{}
	once := func(at, what, name string) error {
		if name == "" {
			return invalid(at, "a %s needs a name", what)
		}
		if len(name) > 64 || strings.ContainsAny(name, " ,\r\n\t") {
			return invalid(at, "%s name %q: at most 64 characters, none of them blank or a comma", what, name)
		}
		if seen[what+" "+name] {
			return invalid(at, "two of the name %s %q", what, name)
		}
		seen[what+" "+name] = true
		return nil
	}
	for i := range s.Classes {
		if err := s.Classes[i].check(where("class", i)); err != nil {
			return err
		}
		if err := once(where("class", i), "class", s.Classes[i].Name); err != nil {
			return err
		}
	}
	for i := range s.Kinds {
		if err := s.Kinds[i].check(where("kind", i)); err != nil {
			return err
		}
		if err := once(where("kind", i), "kind", s.Kinds[i].Name); err != nil {
			return err
		}
	}
	for i, m := range s.Members {
		if err := once(where("member", i), "member", m.Name); err != nil {
			return err
		}
		if !(m.Weight > 0) || m.Weight > 1000 {
			return invalid(where("member", i), "member %q: share must be over 0", m.Name)
		}
	}
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
	for i := range s.Surges {
		g := &s.Surges[i]
		g.where = where("surge", i)
		set(&g.Factor, 3)
		if !(g.Factor > 0) || g.Factor > 100 {
			return invalid(g.where, "factor %v is not in (0, 100]", g.Factor)
		}
		if g.For == 0 {
			return invalid(g.where, "a surge needs for")
		}
		if g.Member != "" && g.Sender != "" {
			return invalid(g.where, "a surge is a member's or a sender's, not both")
		}
	}
	for i := range s.Sleeps {
		z := &s.Sleeps[i]
		z.where = where("sleep", i)
		if z.For == 0 {
			return invalid(z.where, "a sleep needs for")
		}
		if err := z.Who.check(z.where); err != nil {
			return err
		}
	}
	for i := range s.Bursts {
		z := &s.Bursts[i]
		z.where = where("burst", i)
		set(&z.Within, Span(time.Second))
		if z.Messages < 1 || z.Messages > 100_000 {
			return invalid(z.where, "messages = %d is not from 1 to 100000", z.Messages)
		}
		if err := z.Who.check(z.where); err != nil {
			return err
		}
	}
	return nil
}

// inside is whether v lies in (from, to]; NaN does not.
func inside(v, from, to float64) bool { return v > from && v <= to && !math.IsNaN(v) }

func (d *Day) check(at string) error {
	set(&d.Seconds, 15)
	set(&d.Seed, 1)
	set(&d.Rate, 30)
	set(&d.Senders, 2)
	set(&d.Receivers, 10)
	set(&d.Zipf, 0.8)
	set(&d.Load, 0.7)
	set(&d.ClumpSpan, Span(1500*time.Millisecond))
	set(&d.Body, 300)
	set(&d.FirstBackoff, Span(500*time.Millisecond))
	set(&d.Patience, Span(400*time.Millisecond))
	set(&d.SlowStartCapacity, 0.18)
	set(&d.SlowStart, Span(14*time.Second))
	set(&d.FallMultiple, 2)
	set(&d.FallSpan, Span(3*time.Second))
	set(&d.DrainGrace, Span(2*time.Second))
	set(&d.Grace, Span(50*time.Millisecond))
	set(&d.OrderRest, Span(time.Second))
	set(&d.ListDelay, Span(300*time.Millisecond))
	set(&d.MemoryMB, 192)
	set(&d.Sockets, 512)
	set(&d.Disk, 3)
	set(&d.SlotHeadroom, 2)
	set(&d.ReportEach, Span(400*time.Millisecond))
	set(&d.ReportLate, Span(100*time.Millisecond))
	if d.Retries == nil {
		three := 3
		d.Retries = &three
	}
	if d.Endpoints == nil {
		d.Endpoints = []int{1, 3}
	}
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
		if !inside(c.v, c.from, c.to) {
			return invalid(at, "day: %s = %v is not in (%v, %v]", c.name, c.v, c.from, c.to)
		}
	}
	set(&d.Speak, encoding.Plain)
	if !d.Speak.Known(true) {
		return invalid(at, "day: speak = %q; there are plain, binary, structured, batched and mixed", d.Speak)
	}
	if len(d.Endpoints) != 2 || d.Endpoints[0] < 1 || d.Endpoints[1] < d.Endpoints[0] || d.Endpoints[1] > 16 {
		return invalid(at, "day: endpoints = %v: least and most, from 1 to 16", d.Endpoints)
	}
	if d.SenderWeights != nil && len(d.SenderWeights) != d.Senders {
		return invalid(at, "day: sender_shares names %d shares for %d senders", len(d.SenderWeights), d.Senders)
	}
	for _, v := range d.SenderWeights {
		if !inside(v, 0, 1e6) {
			return invalid(at, "day: sender_shares: %v is not over 0", v)
		}
	}
	return nil
}

func (c *Class) check(at string) error {
	set(&c.Weight, 1)
	set(&c.Effect, "keyed")
	set(&c.Keys, 2)
	set(&c.LatencyTarget, Span(2500*time.Millisecond))
	set(&c.Deadline, Span(8*time.Second))
	set(&c.KeyWindow, Span(7500*time.Millisecond))
	set(&c.LateValue, 0.5)
	switch c.Effect {
	case "safe", "keyed", "unsafe":
	default:
		return invalid(at, "class %q: effect = %q; there are safe, keyed, unsafe", c.Name, c.Effect)
	}
	if !inside(c.Weight, 0, 1000) || c.Keys < 1 || c.Keys > 10000 || !inside(c.LateValue, -1e-9, 1) {
		return invalid(at, "class %q: share must be over 0, keys 1 to 10000, late_worth 0 to 1", c.Name)
	}
	if c.LatencyTarget.D() > c.Deadline.D() || c.Deadline.D() > time.Minute {
		return invalid(at, "class %q: aim %v, deadline %v: the aim is not later than the deadline, and that at most 1m", c.Name, c.LatencyTarget.D(), c.Deadline.D())
	}
	return nil
}

func (k *Kind) check(at string) error {
	set(&k.Format, encoding.Plain)
	if !k.Format.Known(false) {
		return invalid(at, "kind %q: form = %q; there are plain, binary, structured and batched", k.Name, k.Format)
	}
	set(&k.Weight, 1)
	set(&k.Service, Span(150*time.Millisecond))
	set(&k.Spread, 0.6)
	set(&k.Times, "lognormal")
	set(&k.MinRate, 4)
	set(&k.Queue, Span(500*time.Millisecond))
	set(&k.Limit, "none")
	set(&k.Window, Span(time.Second))
	set(&k.MinConnections, 10)
	set(&k.IdleClose, Span(15*time.Second))
	if k.Headroom == nil {
		k.Headroom = []float64{1.3, 2}
	}
	if k.LimitHeadroom == nil {
		k.LimitHeadroom = []float64{1.2, 2}
	}
	for name, r := range map[string][]float64{"headroom": k.Headroom, "limit_room": k.LimitHeadroom} {
		if len(r) != 2 || !inside(r[0], 0, 1000) || !inside(r[1], 0, 1000) || r[1] < r[0] {
			return invalid(at, "kind %q: %s = %v: least and most, over 0", k.Name, name, r)
		}
	}
	switch k.Times {
	case "exp", "lognormal", "fixed":
	default:
		return invalid(at, "kind %q: times = %q; there are exp, lognormal, fixed", k.Name, k.Times)
	}
	switch k.Limit {
	case "none", "rate", "window":
	default:
		return invalid(at, "kind %q: limit = %q; there are none, rate, window", k.Name, k.Limit)
	}
	if !inside(k.Weight, 0, 1000) || !inside(k.Spread, 0, 10) || !inside(k.MinRate, 0, 1e5) || k.Connections < 0 || k.MinConnections < 1 {
		return invalid(at, "kind %q: share, spread, least_rate and least_conns must be over 0, connections not under", k.Name)
	}
	if k.Service.D() > 10*time.Second || k.Window.D() > time.Minute {
		return invalid(at, "kind %q: service is 10s at most, window 1m", k.Name)
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
		return invalid(at, "who needs one of name, kind, member, traffic, random; it has %d", n)
	}
	if w.Traffic != 0 && !inside(w.Traffic, 0, 1) {
		return invalid(at, "who: traffic = %v is not in (0, 1]", w.Traffic)
	}
	if w.Random < 0 {
		return invalid(at, "who: random = %d is negative", w.Random)
	}
	return nil
}

func (t *Fault) check() error {
	set(&t.Fraction, 1)
	set(&t.Factor, 8)
	set(&t.Wait, Span(800*time.Millisecond))
	if err := t.Who.check(t.where); err != nil {
		return err
	}
	if !inside(t.Fraction, 0, 1) {
		return invalid(t.where, "%s: share = %v is not in (0, 1]", t.What, t.Fraction)
	}
	if !inside(t.Factor, 1, 1000) {
		return invalid(t.where, "%s: factor = %v is not in (1, 1000]", t.What, t.Factor)
	}
	if t.For == 0 && t.What != fault.SlowStart {
		return invalid(t.where, "%s needs for", t.What)
	}
	if t.Only < 0 {
		return invalid(t.where, "%s: only = %d is negative", t.What, t.Only)
	}
	if t.Only > 0 && t.What != fault.Drain {
		return invalid(t.where, "only goes with drain; %s strikes the whole receiver", t.What)
	}
	return nil
}

func (l *List) check() error {
	set(&l.Each, Span(500*time.Millisecond))
	set(&l.Delay, Span(2*time.Second))
	switch l.Do {
	case "replace":
		return l.Who.check(l.where)
	case "down", "late":
		if l.For == 0 {
			return invalid(l.where, "%s needs for", l.Do)
		}
	case "move":
	default:
		return invalid(l.where, "do = %q; there are replace, down, late, move", l.Do)
	}
	return nil
}

// Name is the script's short name.
func (s *Script) Name() string { return strings.TrimSuffix(filepath.Base(s.Path), ".toml") }

// Over lays other scripts over s: their troubles and happenings are added, and of days the longest counts.
// Classes, kinds and members must not be named again.
func (s *Script) Over(more ...*Script) (*Script, error) {
	all := *s
	if all.Day != nil {
		day := *all.Day
		all.Day = &day
	}
	for _, m := range more {
		if m.Day != nil {
			if all.Day == nil {
				day := *m.Day
				all.Day = &day
			}
			all.Day.Seconds = max(all.Day.Seconds, m.Day.Seconds)
		}
		if len(all.Classes)+len(all.Kinds)+len(all.Members) == 0 {
			all.Classes, all.Kinds, all.Members = m.Classes, m.Kinds, m.Members
		}
		all.Faults = append(all.Faults[:len(all.Faults):len(all.Faults)], m.Faults...)
		all.Lists = append(all.Lists[:len(all.Lists):len(all.Lists)], m.Lists...)
		all.Senders = append(all.Senders[:len(all.Senders):len(all.Senders)], m.Senders...)
		all.Sleeps = append(all.Sleeps[:len(all.Sleeps):len(all.Sleeps)], m.Sleeps...)
		all.Bursts = append(all.Bursts[:len(all.Bursts):len(all.Bursts)], m.Bursts...)
		all.Links = append(all.Links[:len(all.Links):len(all.Links)], m.Links...)
		all.Surges = append(all.Surges[:len(all.Surges):len(all.Surges)], m.Surges...)
		all.Path = strings.TrimSuffix(all.Path, ".toml") + "+" + m.Name()
	}
	if all.Day == nil {
		return nil, invalid(all.Path, "no file of these has a [day]: troubles alone are laid over a day")
	}
	return &all, nil
}
