// Package features reads the operators' own file: what the sender does beyond the platform's configuration. All
// of it is off, or at the sender's own value, unless the file names it.
package features

import (
	"encoding/base64"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/mapping"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Features is what the file names.
type Features struct {
	Quiet    *Quiet    `toml:"quiet"`
	Events   *Events   `toml:"events"`
	Delivery *Delivery `toml:"delivery"`

	Undelivered *Undelivered `toml:"undelivered"`
	Knowledge   *Knowledge   `toml:"knowledge"`
	Peers       *Peers       `toml:"peers"`
	DNS         *DNS         `toml:"dns"`
	Work        *Work        `toml:"work"`
	Fleet       *Fleet       `toml:"fleet"`
}

// Peers is how this sender takes part among the others of its deployment.
type Peers struct {
	Cluster  string   `toml:"cluster"`   // the deployment's name: others do not mix in
	Listen   string   `toml:"listen"`    // of membership, TCP and UDP; a loopback address; default ":7946"
	Exchange string   `toml:"exchange"`  // where others ask what is known; a loopback address; default ":7947"
	Seeds    []string `toml:"seeds"`     // membership of some other senders
	KeysFile string   `toml:"keys_file"` // keys of membership, a line each in base64, the first for sending; default: none
	Follow   int      `toml:"follow"`    // so many are followed at once; from 1 to 16, default 3
	Facts    int      `toml:"facts"`     // held of what each tells; from 100 to 1000000, default 50000
	// Reach is where others are reached whose own addresses do not lead there; default: none
	Reach []PeerReach `toml:"reach"`
}

// PeerReach is one of them.
type PeerReach struct {
	Address string `toml:"address"` // as it tells it: of its membership, or of its exchange
	Via     string `toml:"via"`     // as this sender reaches it, TCP and UDP
}

// Reaches are all of them.
func (p *Peers) Reaches() []peers.Route { return reaches(p.Reach) }

func reaches(all []PeerReach) (is []peers.Route) {
	for _, r := range all {
		is = append(is, peers.Route(r))
	}
	return is
}

// Keys reads the file of keys.
func (p *Peers) Keys() ([][]byte, error) { return readKeys("peers", p.KeysFile) }

// readKeys reads a file of keys; there are none without one.
func readKeys(table, file string) ([][]byte, error) {
	if file == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%s: keys_file: %w", table, err)
	}
	var keys [][]byte
	for i, line := range strings.Split(string(raw), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		k, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: no key in base64: %w", file, i+1, err)
		}
		if n := len(k); n != 16 && n != 24 && n != 32 {
			return nil, fmt.Errorf("%s:%d: a key of %d bytes; 16, 24 or 32 are wanted", file, i+1, n)
		}
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: it holds no key", file)
	}
	return keys, nil
}

// Knowledge is how what the sender knows of receivers outlasts its process.
type Knowledge struct {
	Every tomlfile.Span `toml:"every"` // a snapshot is written so often; from 500ms to 1h, default 2s
	Bytes int64         `toml:"bytes"` // and takes so many at most, twice while it is written; default 131072
}

// Undelivered is where messages are kept that were not delivered.
type Undelivered struct {
	Folder string        `toml:"folder"` // default: "undelivered" in the sender's state folder
	Bytes  int64         `toml:"bytes"`  // of all entries; default 268435456
	Age    tomlfile.Span `toml:"age"`    // an entry is dropped so long after it ended; default 168h
	Resend []Resend      `toml:"resend"` // rules by which they go again, the first that fits; default: none, by hand only
}

// Quiet is how destinations without traffic are remembered.
type Quiet struct {
	// FoldAfter is how long a destination is quiet before it is remembered in short; from 1s to 24h.
	FoldAfter tomlfile.Span `toml:"fold_after"`
}

// Events is how CloudEvents are taken in, at POST /events.
type Events struct {
	Remember     tomlfile.Span     `toml:"remember"`      // how an event ended is remembered so long; default 10m
	RememberMost int               `toml:"remember_most"` // of so many events; default 10000
	BatchEvents  int               `toml:"batch_events"`  // in a batch, at most; default 100
	BatchBytes   int               `toml:"batch_bytes"`   // of a batch, at most; default 262144
	Deadline     tomlfile.Span     `toml:"deadline"`      // where a rule states none; default: the class's
	Destinations map[string]uint32 `toml:"destinations"`  // numbers by name
	Rules        []Rule            `toml:"rule"`
	Default      *Rule             `toml:"default"` // where no rule fits; without it such an event is turned away
}

// Rule is one rule of the mapping; package mapping tells what its texts mean.
type Rule struct {
	Name        string            `toml:"name"`
	Type        string            `toml:"type"`
	Source      string            `toml:"source"`
	Subject     string            `toml:"subject"`
	Extensions  map[string]string `toml:"extensions"`
	Refuse      string            `toml:"refuse"`
	Class       string            `toml:"class"`
	Tenant      string            `toml:"tenant"`
	Destination string            `toml:"destination"`
	Key         string            `toml:"key"`
	Order       string            `toml:"order"`
	Deadline    tomlfile.Span     `toml:"deadline"`
}

// Delivery is in which form messages go out.
type Delivery struct {
	Source string `toml:"source"` // of events made of plain messages
	Type   string `toml:"type"`   // of those; {class} stands for the message's class; default "saffronyard.{class}"
	To     []To   `toml:"to"`
}

// To is the form for some destinations.
type To struct {
	Destinations []uint32 `toml:"destinations"`
	Kinds        []string `toml:"kinds"`
	Form         string   `toml:"form"`
	Path         string   `toml:"path"`         // default "/hook"
	BatchEvents  int      `toml:"batch_events"` // default 20
	BatchBytes   int      `toml:"batch_bytes"`  // default 65536
	Validate     bool     `toml:"validate"`     // ask with OPTIONS before the first call
	Origin       string   `toml:"origin"`       // WebHook-Request-Origin
	Rate         int      `toml:"rate"`         // WebHook-Request-Rate, requests a minute
}

const (
	foldLeast = time.Second
	foldMost  = 24 * time.Hour
	maxFile   = 1 << 20

	everyLeast = 500 * time.Millisecond
	everyMost  = time.Hour

	keptLeast = 1 << 20
	keptMost  = 1 << 40
	ageLeast  = time.Minute
	ageMost   = 366 * 24 * time.Hour

	rememberLeast  = time.Second
	rememberMost   = 24 * time.Hour
	endsMost       = 4 << 20
	batchMost      = 1000
	batchBytesMost = 4 << 20
	deadlineMost   = 24 * time.Hour
	rulesMost      = 1000
	destMost       = 1<<16 - 1
	rateMost       = 60_000_000 // requests a minute
)

// Load reads a file. An error names the file, and the line and key where there is one.
func Load(path string) (*Features, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	return Parse(path, raw)
}

// Parse reads a file's text; path is for its errors.
func Parse(path string, raw []byte) (*Features, error) {
	if len(raw) > maxFile {
		return nil, fmt.Errorf("%s: longer than %d bytes", path, maxFile)
	}
	f := &Features{}
	if err := tomlfile.Decode(path, raw, f); err != nil {
		return nil, err
	}
	c := checker{path, raw}
	if q := f.Quiet; q != nil {
		if d := q.FoldAfter.D(); d < foldLeast || d > foldMost {
			return nil, c.at("quiet", 0, "fold_after", "quiet.fold_after = %v is not from %v to %v", d, foldLeast, foldMost)
		}
	}
	if f.Events != nil {
		if err := f.Events.check(c); err != nil {
			return nil, err
		}
	}
	if f.Delivery != nil {
		if err := f.Delivery.check(c); err != nil {
			return nil, err
		}
	}
	if k := f.Knowledge; k != nil {
		set(&k.Every, tomlfile.Span(2*time.Second))
		set(&k.Bytes, 128<<10)
		if d := k.Every.D(); d < everyLeast || d > everyMost {
			return nil, c.at("knowledge", 0, "every", "knowledge.every = %v is not from %v to %v", d, everyLeast, everyMost)
		}
		if k.Bytes < knowledge.MinSnapshotBytes || k.Bytes > knowledge.MaxSnapshotBytes {
			return nil, c.at("knowledge", 0, "bytes", "knowledge.bytes = %d is not from %d to %d", k.Bytes, knowledge.MinSnapshotBytes, knowledge.MaxSnapshotBytes)
		}
	}
	if p := f.Peers; p != nil {
		set(&p.Listen, ":7946")
		set(&p.Exchange, ":7947")
		set(&p.Follow, peers.DefaultMaxFollowed)
		set(&p.Facts, peers.DefaultMaxFacts)
		if p.Follow < 1 || p.Follow > 16 {
			return nil, c.at("peers", 0, "follow", "peers.follow = %d is not from 1 to 16", p.Follow)
		}
		if p.Facts < 100 || p.Facts > 1_000_000 {
			return nil, c.at("peers", 0, "facts", "peers.facts = %d is not from 100 to 1000000", p.Facts)
		}
		for _, one := range []struct {
			key  string
			edit func(*peers.Config)
		}{{"cluster", func(c *peers.Config) { c.Cluster = p.Cluster }}, {"listen", func(c *peers.Config) { c.Listen = p.Listen }},
			{"exchange", func(c *peers.Config) { c.Exchange = p.Exchange }}, {"seeds", func(c *peers.Config) { c.Seeds = p.Seeds }},
			{"reach", func(c *peers.Config) { c.Routes = p.Reaches() }}} {
			// Without a host it is the one that clients connect to, which the file does not know.
			sound := peers.Config{Name: "n", Cluster: "c", Listen: "127.0.0.1:0", Exchange: "127.0.0.1:0"}
			one.edit(&sound)
			sound.Listen, sound.Exchange = peers.WithHost(sound.Listen, "127.0.0.1"), peers.WithHost(sound.Exchange, "127.0.0.1")
			if err := sound.Check(); err != nil {
				return nil, c.at("peers", 0, one.key, "%w", err)
			}
		}
	}
	if f.Fleet != nil {
		if err := f.Fleet.check(c); err != nil {
			return nil, err
		}
	}
	if f.DNS != nil {
		if err := f.DNS.check(c); err != nil {
			return nil, err
		}
	}
	if f.Work != nil {
		if err := f.Work.check(c); err != nil {
			return nil, err
		}
	}
	if u := f.Undelivered; u != nil {
		set(&u.Bytes, 256<<20)
		set(&u.Age, tomlfile.Span(7*24*time.Hour))
		if u.Bytes < keptLeast || u.Bytes > keptMost {
			return nil, c.at("undelivered", 0, "bytes", "undelivered.bytes = %d is not from %d to %d", u.Bytes, keptLeast, int64(keptMost))
		}
		if d := u.Age.D(); d < ageLeast || d > ageMost {
			return nil, c.at("undelivered", 0, "age", "undelivered.age = %v is not from %v to %v", d, ageLeast, ageMost)
		}
		if err := u.checkResend(c, f.Work != nil); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func set[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (e *Events) check(c checker) error {
	set(&e.Remember, tomlfile.Span(10*time.Minute))
	set(&e.RememberMost, 10000)
	set(&e.BatchEvents, 100)
	set(&e.BatchBytes, 256<<10)
	if d := e.Remember.D(); d < rememberLeast || d > rememberMost {
		return c.at("events", 0, "remember", "events.remember = %v is not from %v to %v", d, rememberLeast, rememberMost)
	}
	if d := e.Deadline.D(); d > deadlineMost {
		return c.at("events", 0, "deadline", "events.deadline = %v is over %v", d, deadlineMost)
	}
	for _, n := range []struct {
		key        string
		v, to, min int
	}{{"remember_most", e.RememberMost, endsMost, 1}, {"batch_events", e.BatchEvents, batchMost, 1}, {"batch_bytes", e.BatchBytes, batchBytesMost, 64 << 10}} {
		if n.v < n.min || n.v > n.to {
			return c.at("events", 0, n.key, "events.%s = %d is not from %d to %d", n.key, n.v, n.min, n.to)
		}
	}
	for name, n := range e.Destinations {
		if n > destMost {
			return c.at("events.destinations", 0, name, "events.destinations.%s = %d is over %d", name, n, destMost)
		}
	}
	if len(e.Rules) == 0 && e.Default == nil {
		return c.at("events", 0, "", "events has neither a rule nor a default: every event would be turned away")
	}
	if len(e.Rules) > rulesMost {
		return c.at("events.rule", rulesMost, "", "events.rule: more than %d rules", rulesMost)
	}
	rules := e.Mapping()
	for i := range rules.List {
		if err := e.checkRule(&rules.List[i]); err != nil {
			return c.at("events.rule", i, "", "%s: %w", rules.Name(i), err)
		}
	}
	if i, before, ok := rules.Reachable(); ok {
		return c.at("events.rule", i, "", "%s is never reached: all that it fits %s fits before it", rules.Name(i), rules.Name(before))
	}
	if d := e.Default; d != nil {
		if d.Type+d.Source+d.Subject != "" || len(d.Extensions) > 0 {
			return c.at("events.default", 0, "", "default: it has no conditions; a rule has")
		}
		if err := e.checkRule(rules.Fallback); err != nil {
			return c.at("events.default", 0, "", "default: %w", err)
		}
	}
	return nil
}

func (e *Events) checkRule(r *mapping.Rule) error {
	if r.Deadline > deadlineMost {
		return fmt.Errorf("deadline = %v is over %v", r.Deadline, deadlineMost)
	}
	if err := r.Check(); err != nil {
		return err
	}
	if r.Refuse == "" && !strings.ContainsAny(r.Destination, "{}") {
		if _, ok := e.Destinations[r.Destination]; !ok && strings.Trim(r.Destination, "0123456789") != "" {
			return fmt.Errorf("destination = %q is neither a number nor named in events.destinations", r.Destination)
		}
	}
	return nil
}

// Mapping is the rules as package mapping takes them.
func (e *Events) Mapping() mapping.Rules {
	one := func(r Rule) mapping.Rule {
		return mapping.Rule{Name: r.Name, Type: r.Type, Source: r.Source, Subject: r.Subject, Extensions: r.Extensions, Refuse: r.Refuse,
			Class: r.Class, Tenant: r.Tenant, Destination: r.Destination, Key: r.Key, Order: r.Order, Deadline: r.Deadline.D()}
	}
	m := mapping.Rules{Destinations: e.Destinations, Deadline: e.Deadline.D()}
	for _, r := range e.Rules {
		m.List = append(m.List, one(r))
	}
	if e.Default != nil {
		f := one(*e.Default)
		m.Fallback = &f
	}
	return m
}

func (d *Delivery) check(c checker) error {
	set(&d.Type, "saffronyard.{class}")
	if len(d.To) == 0 {
		return c.at("delivery", 0, "", "delivery names no destinations: it has no [[delivery.to]]")
	}
	events := false
	for i := range d.To {
		t := &d.To[i]
		set(&t.Path, "/hook")
		at := func(key, format string, args ...any) error {
			return c.at("delivery.to", i, key, "delivery.to %d: %w", i+1, fmt.Errorf(format, args...))
		}
		if !slices.Contains([]string{"plain", "binary", "structured", "batched"}, t.Form) {
			return at("form", "form = %q; there are plain, binary, structured and batched", t.Form)
		}
		events = events || t.Form != "plain"
		if t.Form == "batched" {
			set(&t.BatchEvents, 20)
			set(&t.BatchBytes, 64<<10)
		} else if t.BatchEvents != 0 || t.BatchBytes != 0 {
			return at("batch_events", "batch_events and batch_bytes are for the form batched")
		}
		if t.Form == "batched" && (t.BatchEvents < 1 || t.BatchEvents > batchMost || t.BatchBytes < 1024 || t.BatchBytes > batchBytesMost) {
			return at("batch_events", "batch_events is not from 1 to %d, or batch_bytes not from 1024 to %d", batchMost, batchBytesMost)
		}
		if t.Form == "plain" && (t.Validate || t.Path != "/hook") {
			return at("form", "plain calls go to /hook and are not validated")
		}
		for _, n := range t.Destinations {
			if n > destMost {
				return at("destinations", "destination %d is over %d", n, destMost)
			}
		}
		if !printable(t.Path) || !strings.HasPrefix(t.Path, "/") {
			return at("path", "path = %q is not a path: it begins with / and holds no blanks", t.Path)
		}
		if t.Validate && (t.Origin == "" || !printable(t.Origin)) {
			return at("origin", "validate asks in the name of an origin, such as the sender's DNS name: origin = %q", t.Origin)
		}
		if !t.Validate && (t.Origin != "" || t.Rate != 0) {
			return at("origin", "origin and rate are for validate = true")
		}
		if t.Rate < 0 || t.Rate > rateMost {
			return at("rate", "rate = %d is not from 0 to %d requests a minute", t.Rate, rateMost)
		}
	}
	if events && !printable(d.Source) {
		return c.at("delivery", 0, "source", "delivery.source = %q: events made of plain messages need a source, a URI-reference", d.Source)
	}
	if !printable(d.Type) {
		return c.at("delivery", 0, "type", "delivery.type = %q is not plain ASCII without blanks", d.Type)
	}
	return nil
}

func printable(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return s != ""
}

// checker writes errors with their place.
type checker struct {
	path string
	raw  []byte
}

// at is an error at a key of the n-th table of a name, or at the table's header if the key is not there.
func (c checker) at(table string, n int, key, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %w", c.path, c.line(table, n, key), fmt.Errorf(format, args...))
}

func (c checker) line(table string, n int, key string) int {
	at, in := 1, false
	for i, text := range strings.Split(string(c.raw), "\n") {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			if in {
				return at
			}
			if strings.HasPrefix(text, "["+table+"]") || strings.HasPrefix(text, "[["+table+"]]") {
				if in = n == 0; in {
					at = i + 1
				}
				n--
			}
		}
		if rest, ok := strings.CutPrefix(text, key); ok && in && key != "" && strings.HasPrefix(strings.TrimSpace(rest), "=") {
			return i + 1
		}
	}
	return at
}

// Lines says what is on, a line each.
func (f *Features) Lines() []string {
	var lines []string
	if f.Quiet != nil {
		lines = append(lines, fmt.Sprintf("quiet: destinations fold after %v", f.Quiet.FoldAfter.D()))
	}
	if e := f.Events; e != nil {
		lines = append(lines, fmt.Sprintf("events: CloudEvents are taken in at POST /events by %d rules; ends are remembered for %v, %d at most", len(e.Rules), e.Remember.D(), e.RememberMost))
	}
	if d := f.Delivery; d != nil {
		for _, t := range d.To {
			who := "all destinations"
			if len(t.Destinations)+len(t.Kinds) > 0 {
				who = fmt.Sprintf("destinations %v, kinds %v", t.Destinations, t.Kinds)
			}
			line := fmt.Sprintf("delivery: %s as %s to %s", who, t.Form, t.Path)
			if t.Validate {
				line += ", validated as " + t.Origin
			}
			lines = append(lines, line)
		}
	}
	if u := f.Undelivered; u != nil {
		folder := u.Folder
		if folder == "" {
			folder = "the state folder's undelivered"
		}
		lines = append(lines, fmt.Sprintf("undelivered: kept in %s, %d bytes at most, for %v", folder, u.Bytes, u.Age.D()))
	}
	if k := f.Knowledge; k != nil {
		lines = append(lines, fmt.Sprintf("knowledge: what is known of receivers is written down every %v, in %d bytes at most", k.Every.D(), k.Bytes))
	}
	if p := f.Peers; p != nil {
		keys := "in clear"
		if p.KeysFile != "" {
			keys = "with the keys in " + p.KeysFile
		}
		lines = append(lines, fmt.Sprintf("peers: of cluster %s, membership at %s %s, %d seeds; what is known is told at %s; %d peers are followed", p.Cluster, p.Listen, keys, len(p.Seeds), p.Exchange, p.Follow))
	}
	if u := f.Undelivered; u != nil {
		for _, r := range u.Resend {
			when := fmt.Sprintf("once the receiver has been well for %v", r.WellFor.D())
			if r.ByHand {
				when = "by hand"
			}
			lines = append(lines, fmt.Sprintf("undelivered: rule %s: sent again %s, at %v of the receiver's pace, %d times at most, then %s", r.Name, when, r.Share, r.Most, r.Then))
		}
	}
	if f.Fleet != nil {
		lines = append(lines, f.Fleet.lines()...)
	}
	if f.Work != nil {
		lines = append(lines, f.Work.lines()...)
	}
	if f.DNS != nil {
		lines = append(lines, f.DNS.lines()...)
	}
	if lines == nil {
		return []string{"nothing is on: the sender does as without the file"}
	}
	return lines
}
