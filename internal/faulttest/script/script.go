// Package script reads the scripts of fault tests: TOML files that describe a day's traffic and the faults in it. It checks
// everything before a day starts, and each error names the file and line.
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

// Span is a duration in a script, written with its unit.
type Span = tomlfile.Span

// Script is one script file, or several combined by Over.
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

// Day has the size of a day and the parameters that apply to all of it.
type Day struct {
	Seconds       float64   `toml:"seconds"`       // duration of the arrivals; default 15
	Seed          uint64    `toml:"seed"`          // default 1
	Rate          float64   `toml:"rate"`          // messages a second in total; default 30
	Senders       int       `toml:"senders"`       // default 2
	SenderWeights []float64 `toml:"sender_shares"` // default even
	Receivers     int       `toml:"receivers"`     // default 10
	Endpoints     []int     `toml:"endpoints"`     // minimum and maximum for a receiver; default [1, 3]
	Zipf          float64   `toml:"zipf"`          // Zipf exponent of the traffic over the receivers; default 0.8
	Load          float64   `toml:"load"`          // traffic as a share of full load; default 0.7
	Clumps        float64   `toml:"clumps"`        // share of the clumps in the traffic, each for one receiver; default 0
	ClumpSpan     Span      `toml:"clump_span"`    // a clump has as many messages as the receiver serves in this time; default 1.5s
	Body          int       `toml:"body"`          // bytes of a message's body; default 300

	Retries      *int `toml:"retries"`  // of a client after a refusal; default 3
	FirstBackoff Span `toml:"pause"`    // before the first retry, then doubled; default 500ms
	Patience     Span `toml:"patience"` // how long a client waits for the first answer; default 400ms

	SlowStartCapacity float64 `toml:"cold_from"`     // default 0.18
	SlowStart         Span    `toml:"cold"`          // default 14s
	FallMultiple      float64 `toml:"fall_multiple"` // default 2
	FallSpan          Span    `toml:"fall_span"`     // default 3s
	DrainGrace        Span    `toml:"drain_grace"`   // default 2s
	Grace             Span    `toml:"grace"`         // tolerance added to each time limit, and the lateness allowed for the kit; default 50ms
	OrderRest         Span    `toml:"settle"`        // pause of an ordered key after a call with an unknown outcome; default 1s

	ListDelay    Span            `toml:"list_delay"`   // delay before discovery reports a change; default 300ms
	MemoryMB     int             `toml:"memory_mb"`    // the sender's limit; default 192
	Sockets      int             `toml:"sockets"`      // default 512
	Disk         int             `toml:"disk_mb"`      // default 3
	SlotHeadroom float64         `toml:"slots_room"`   // slots as a multiple of those that the load keeps busy; default 2
	ReportEach   Span            `toml:"report_each"`  // interval at which load reports are refreshed; default 400ms
	Speak        encoding.Format `toml:"speak"`        // how clients hand messages in: plain, binary, structured, batched or mixed; default plain
	LostAnswers  float64         `toml:"lost_answers"` // share of the answers to events that never reach the client, which hands the same event in again; default 0
	Features     string          `toml:"features"`     // text of the features file that the senders are started with
	Names        bool            `toml:"names"`        // senders read the endpoints from a DNS zone file instead of discovery
	ReportLate   Span            `toml:"report_late"`  // age of the load in a report; default 100ms
}

// Class is a message class.
type Class struct {
	Name          string  `toml:"name"`
	Weight        float64 `toml:"share"` // default 1
	Effect        string  `toml:"effect"`
	Ordered       bool    `toml:"ordered"`
	Keys          int     `toml:"keys"` // number of order keys for each receiver; default 2
	LatencyTarget Span    `toml:"aim"`
	Deadline      Span    `toml:"deadline"`
	KeyWindow     Span    `toml:"key_window"`
	LateValue     float64 `toml:"late_worth"` // default 0.5
}

// Kind is a kind of receiver.
type Kind struct {
	Name           string          `toml:"name"`
	Weight         float64         `toml:"share"`       // weight among the receivers; default 1
	Large          bool            `toml:"large"`       // receivers of this kind get the most traffic
	Service        Span            `toml:"service"`     // mean service time of a call; default 150ms
	Spread         float64         `toml:"spread"`      // coefficient of variation of the service time; default 0.6
	Times          string          `toml:"times"`       // distribution of the service time: exp, lognormal or fixed; default lognormal
	Headroom       []float64       `toml:"headroom"`    // minimum and maximum capacity, as a multiple of the calls at full load; default [1.3, 2]
	MinRate        float64         `toml:"least_rate"`  // minimum of the capacity and of the limit, in calls a second; default 4
	Queue          Span            `toml:"queue"`       // size of the queue, as the time to serve it at capacity; default 500ms
	Limit          string          `toml:"limit"`       // none, rate or window; default none
	LimitHeadroom  []float64       `toml:"limit_room"`  // minimum and maximum limit, as a multiple of the calls at full load; default [1.2, 2]
	Window         Span            `toml:"window"`      // default 1s
	TellsWait      Span            `toml:"tells_wait"`  // calls above the limit are answered 429 with this wait; 0: 503 without a wait
	Connections    float64         `toml:"connections"` // maximum, as a multiple of an endpoint's slots; 0: no limit
	MinConnections int             `toml:"least_conns"` // lower bound of that maximum; default 10
	IdleClose      Span            `toml:"idle_close"`  // default 15s
	Reports        bool            `toml:"reports"`     // answers carry the load fields x0 and x1 if there is a limit
	Format         encoding.Format `toml:"form"`        // format of the calls: plain, binary, structured or batched; default plain
}

// Member is a tenant that owns receivers and whose traffic goes to them.
type Member struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"share"`
}

// Who selects the receivers that an entry of the script affects. Exactly one of its fields must be set.
type Who struct {
	Name    string  `toml:"name"`    // the receiver of this name: r0, r1, ...
	Kind    string  `toml:"kind"`    // all receivers of this kind
	Traffic float64 `toml:"traffic"` // random receivers that together get at most this share of the traffic; if there are none, the smallest receiver
	Random  int     `toml:"random"`  // this number of random receivers
	Member  string  `toml:"member"`  // all receivers of this member
}

// Fault is a fault of receivers for a period.
type Fault struct {
	What     fault.Kind `toml:"what"`
	At       Span       `toml:"at"`
	For      Span       `toml:"for"`
	Who      Who        `toml:"who"`
	Fraction float64    `toml:"share"`  // default 1
	Factor   float64    `toml:"factor"` // default 8
	Wait     Span       `toml:"wait"`   // default 800ms
	Only     int        `toml:"only"`   // drain: number of the receiver's endpoints; 0: all

	where string
}

// List is a change of discovery or of its list: replace, down, late or move.
type List struct {
	Do    string `toml:"do"`
	At    Span   `toml:"at"`
	For   Span   `toml:"for"`
	Who   Who    `toml:"who"`   // replace
	Each  Span   `toml:"each"`  // replace: pause between receivers; default 500ms
	Delay Span   `toml:"delay"` // late: additional delay of changes; default 2s

	where string
}

// Sender is an action on sender processes: kill, restart, lose (kill it and delete its folder), join, pause for a period, keep
// (save a copy of its folder) and old (kill it and start it with that copy).
type Sender struct {
	Do    string `toml:"do"`
	At    Span   `toml:"at"`
	For   Span   `toml:"for"`   // pause
	Which string `toml:"which"` // n0, n1, ... or all; not set for join
	Each  Span   `toml:"each"`  // all: pause between the senders; default 0

	where string
}

// Surge multiplies the traffic for a period: of a sender, of a member, or of all.
type Surge struct {
	At     Span    `toml:"at"`
	For    Span    `toml:"for"`
	Factor float64 `toml:"factor"` // default 3
	Member string  `toml:"member"`
	Sender string  `toml:"sender"`

	where string
}

// Sleep is a period without messages for receivers.
type Sleep struct {
	At  Span `toml:"at"`
	For Span `toml:"for"`
	Who Who  `toml:"who"`

	where string
}

// Burst is a number of messages within a short period for each of the receivers, in addition to their usual traffic.
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

// Parse reads a script's text. Errors name path as the file.
func Parse(path string, raw []byte) (*Script, error) {
	s := &Script{Path: path}
	if err := tomlfile.Decode(path, raw, s); err != nil {
		return nil, err
	}
	lines := tableLines(raw)
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

// tableLines finds the line of each table's header, for errors that concern more than one value.
func tableLines(raw []byte) map[string][]int {
	at := map[string][]int{}
	for i, line := range strings.Split(string(raw), "\n") {
		if m := header.FindStringSubmatch(line); m != nil {
			at[m[1]] = append(at[m[1]], i+1)
		}
	}
	return at
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Name is the script's short name.
func (s *Script) Name() string { return strings.TrimSuffix(filepath.Base(s.Path), ".toml") }

// Over combines s with other scripts: it adds their faults and other entries, and the day is as long as the longest of them.
// Classes, kinds and members must not be defined again: later definitions are ignored.
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
		return nil, invalid(all.Path, "none of these files has a [day]: a file without [day] can only be laid over a day")
	}
	return &all, nil
}
