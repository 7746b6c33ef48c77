// Package script reads rehearsals: TOML files that say what a day looks like and what befalls it. Everything
// is checked here, with the file and line in each error, so that a day that begins can be played.
package script

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

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
