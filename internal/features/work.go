package features

import (
	"fmt"
	"math"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/tomlfile"
	"saffronyard.example/saffronyard/internal/undelivered"
	"saffronyard.example/saffronyard/internal/work"
)

// Work is how background work runs.
type Work struct {
	Folder      string             `toml:"folder"`       // default: "work" in the sender's state folder
	Workers     int                `toml:"workers"`      // slices at once; from 1 to 64, default 2
	Jobs        int                `toml:"jobs"`         // held at most; from 10 to 10000000, default 100000
	OwnerJobs   int                `toml:"owner_jobs"`   // of one owner; default: half of jobs
	Bytes       int64              `toml:"bytes"`        // of jobs that outlast the process; from 65536 to 2^40, default 16777216
	Slow        tomlfile.Span      `toml:"slow"`         // a slice that takes longer is named; from 100ms to 1h, default 30s
	Budget      map[string]float64 `toml:"budget"`       // a second, of all work, by currency; what is not named is not bounded
	OwnerBudget map[string]float64 `toml:"owner_budget"` // of each owner
	Weights     map[string]float64 `toml:"weights"`      // of owners; default 1
	Kinds       []WorkKind         `toml:"kind"`
	Targets     WorkTargets        `toml:"targets"`
}

// WorkKind is what one kind of work may do.
type WorkKind struct {
	Name    string             `toml:"name"`
	Budget  map[string]float64 `toml:"budget"`  // a second, guaranteed to it
	Running int                `toml:"running"` // slices at once; default: as many as there are workers
	From    string             `toml:"from"`    // "01:00": it runs from then
	To      string             `toml:"to"`      // to then
	Zone    string             `toml:"zone"`    // of these times; default "UTC"
}

// WorkTargets are what live work is to have; background work steps back beyond.
type WorkTargets struct {
	TurnLate    tomlfile.Span `toml:"turn_late"`    // how late the loop's turns are; default 5ms
	Calls       float64       `toml:"calls"`        // calls out, of the slots; default 0.8
	Held        float64       `toml:"held"`         // messages held, of their room; default 0.5
	Journal     float64       `toml:"journal"`      // of its room; default 0.7
	DiskLatency tomlfile.Span `toml:"disk_latency"` // of writing the journal; default 50ms
}

// Resend is a rule by which kept messages go again.
type Resend struct {
	Name     string        `toml:"name"`
	Members  []string      `toml:"members"` // default: all, as of reasons and classes
	Reasons  []string      `toml:"reasons"`
	Classes  []string      `toml:"classes"`
	WellFor  tomlfile.Span `toml:"well_for"` // the receiver has been well for so long; to 24h, default 30s
	From     string        `toml:"from"`     // "01:00", with to: only then; UTC
	To       string        `toml:"to"`
	ByHand   bool          `toml:"by_hand"`  // never by itself
	Share    float64       `toml:"share"`    // of the pace that the receiver takes; default 0.2
	Newest   bool          `toml:"newest"`   // first; default: the oldest
	Most     int           `toml:"most"`     // times; from 1 to 100, default 3
	Age      tomlfile.Span `toml:"age"`      // it goes until so long after its end; default: as long as it is kept
	Deadline tomlfile.Span `toml:"deadline"` // it may then take so long; from 1s to 1h, default 28s
	Then     string        `toml:"then"`     // what went so often, or is too old: "keep" or "drop"; default "keep"
}

func (w *Work) check(c checker) error {
	set(&w.Workers, 2)
	set(&w.Jobs, 100_000)
	set(&w.OwnerJobs, max(1, w.Jobs/2))
	set(&w.Bytes, 16<<20)
	set(&w.Slow, tomlfile.Span(30*time.Second))
	t, usual := &w.Targets, work.DefaultTargets()
	set(&t.TurnLate, tomlfile.Span(usual.TurnLate))
	set(&t.Calls, usual.Calls)
	set(&t.Held, usual.Pending)
	set(&t.Journal, usual.Journal)
	set(&t.DiskLatency, tomlfile.Span(usual.DiskLatency))
	for _, n := range []struct {
		key            string
		v, least, most int64
	}{{"workers", int64(w.Workers), 1, 64}, {"jobs", int64(w.Jobs), 10, 10_000_000}, {"owner_jobs", int64(w.OwnerJobs), 1, 10_000_000}, {"bytes", w.Bytes, 1 << 16, 1 << 40}} {
		if n.v < n.least || n.v > n.most {
			return c.at("work", 0, n.key, "work.%s = %d is not from %d to %d", n.key, n.v, n.least, n.most)
		}
	}
	if d := w.Slow.D(); d < 100*time.Millisecond || d > time.Hour {
		return c.at("work", 0, "slow", "work.slow = %v is not from 100ms to 1h", d)
	}
	for _, n := range []struct {
		key string
		v   float64
	}{{"calls", t.Calls}, {"held", t.Held}, {"journal", t.Journal}} {
		if !(n.v > 0 && n.v <= 1) {
			return c.at("work.targets", 0, n.key, "work.targets.%s = %v is not above 0, and up to 1", n.key, n.v)
		}
	}
	for table, m := range map[string]map[string]float64{"budget": w.Budget, "owner_budget": w.OwnerBudget} {
		if _, err := rates(m); err != nil {
			return c.at("work."+table, 0, "", "work.%s: %w", table, err)
		}
	}
	for owner, v := range w.Weights {
		if !(v > 0 && v <= 1000) {
			return c.at("work.weights", 0, owner, "work.weights.%s = %v is not above 0, and up to 1000", owner, v)
		}
	}
	seen := map[string]bool{}
	for i := range w.Kinds {
		k := &w.Kinds[i]
		at := func(key, format string, args ...any) error {
			return c.at("work.kind", i, key, "work.kind %d: %w", i+1, fmt.Errorf(format, args...))
		}
		switch {
		case k.Name == "" || seen[k.Name]:
			return at("name", "name = %q is empty, or there twice", k.Name)
		case k.Running < 0 || k.Running > 64:
			return at("running", "running = %d is not from 0 to 64", k.Running)
		case (k.From == "") != (k.To == ""):
			return at("from", "from and to go together")
		}
		seen[k.Name] = true
		if _, err := rates(k.Budget); err != nil {
			return at("budget", "budget: %w", err)
		}
		if _, err := k.window(); err != nil {
			return at("from", "%w", err)
		}
	}
	return nil
}

// rates reads a budget: so much a second by currency, of which a second's can be saved up.
func rates(m map[string]float64) (r work.Rates, err error) {
	for name, v := range m {
		i := slices.Index(work.CurrencyNames(), name)
		if i < 0 {
			return r, fmt.Errorf("%q is no currency; there are %q", name, work.CurrencyNames())
		}
		if !(v > 0) || math.IsInf(v, 0) {
			return r, fmt.Errorf("%s = %v is not above 0", name, v)
		}
		r[i] = work.Rate{PerSecond: v, Burst: v}
	}
	return r, nil
}

// clockTime reads a time of day, "01:00".
func clockTime(text string) (time.Duration, error) {
	t, err := time.Parse("15:04", text)
	if err != nil {
		return 0, fmt.Errorf("%q is no time of day such as \"01:00\"", text)
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, nil
}

func (k *WorkKind) window() (*work.Window, error) {
	if k.From == "" {
		return nil, nil
	}
	w := &work.Window{Zone: time.UTC}
	var err error
	if w.From, err = clockTime(k.From); err != nil {
		return nil, err
	}
	if w.To, err = clockTime(k.To); err != nil {
		return nil, err
	}
	if k.Zone != "" {
		if w.Zone, err = time.LoadLocation(k.Zone); err != nil {
			return nil, fmt.Errorf("zone: %w", err)
		}
	}
	return w, nil
}

// Settings are the scheduler's.
func (w *Work) Settings() work.Settings {
	all, _ := rates(w.Budget) // checked as the file was read, as all of these
	owners, _ := rates(w.OwnerBudget)
	s := work.Settings{Limits: work.Limits{Jobs: w.Jobs, Bytes: w.Bytes * 4, OwnerJobs: w.OwnerJobs, Depth: 3}, Rates: all, Owners: owners,
		Weights: w.Weights, Kinds: map[string]work.Kind{}, Breaker: work.DefaultBreaker()}
	for _, k := range w.Kinds {
		r, _ := rates(k.Budget)
		window, _ := k.window()
		s.Kinds[k.Name] = work.Kind{Rates: r, Running: k.Running, Window: window, Retry: work.DefaultRetry()}
	}
	return s
}

// Pressure is what live work is to have.
func (w *Work) Pressure() work.Targets {
	t := w.Targets
	return work.Targets{TurnLate: t.TurnLate.D(), Calls: t.Calls, Pending: t.Held, Journal: t.Journal, DiskLatency: t.DiskLatency.D()}
}

func (w *Work) lines() []string {
	line := fmt.Sprintf("work: %d slices at once, %d jobs at most", w.Workers, w.Jobs)
	for i, name := range work.CurrencyNames() {
		if v, ok := w.Budget[name]; ok {
			line += fmt.Sprintf("; %v %s a second", v, work.Currency(i))
		}
	}
	lines := []string{line}
	for _, k := range w.Kinds {
		if k.From != "" {
			zone := k.Zone
			if zone == "" {
				zone = "UTC"
			}
			lines = append(lines, fmt.Sprintf("work: %s from %s to %s, %s", k.Name, k.From, k.To, zone))
		}
	}
	return lines
}

// checkResend checks the rules of kept messages.
func (u *Undelivered) checkResend(c checker, on bool) error {
	for i := range u.Resend {
		r := &u.Resend[i]
		set(&r.WellFor, tomlfile.Span(30*time.Second))
		set(&r.Share, 0.2)
		set(&r.Most, 3)
		set(&r.Deadline, tomlfile.Span(28*time.Second))
		set(&r.Then, "keep")
		at := func(key, format string, args ...any) error {
			return c.at("undelivered.resend", i, key, "undelivered.resend %d: %w", i+1, fmt.Errorf(format, args...))
		}
		if r.Then != "keep" && r.Then != "drop" {
			return at("then", "then = %q; there are keep and drop", r.Then)
		}
		if r.WellFor.D() > 24*time.Hour {
			return at("well_for", "well_for = %v is over 24h", r.WellFor.D())
		}
		if (r.From == "") != (r.To == "") {
			return at("from", "from and to go together")
		}
		for _, t := range []string{r.From, r.To} {
			if t != "" {
				if _, err := clockTime(t); err != nil {
					return at("from", "%w", err)
				}
			}
		}
		for _, name := range r.Reasons {
			if _, err := undelivered.ParseReason(name); err != nil {
				return at("reasons", "%w", err)
			}
		}
		if !on {
			return at("name", "kept messages go again as background work: the file has no [work]")
		}
	}
	if i, err := undelivered.CheckRules(u.Rules()); err != nil {
		return c.at("undelivered.resend", i, "name", "undelivered.resend %d: %w", i+1, err)
	}
	return nil
}

// Rules are the rules by which kept messages go again.
func (u *Undelivered) Rules() []undelivered.Rule {
	var rules []undelivered.Rule
	for i := range u.Resend {
		r := &u.Resend[i]
		rule := undelivered.Rule{Name: r.Name, Members: r.Members, Classes: r.Classes, HealthyFor: r.WellFor.D(), ManualOnly: r.ByHand, RateFraction: r.Share,
			NewestFirst: r.Newest, MaxResends: r.Most, MaxAge: r.Age.D(), Deadline: r.Deadline.D(), DropExhausted: r.Then == "drop"}
		for _, name := range r.Reasons {
			rule.Reasons = append(rule.Reasons, undelivered.Reason(name))
		}
		if r.From != "" {
			rule.From, _ = clockTime(r.From) // checked as the file was read
			rule.To, _ = clockTime(r.To)
		}
		rules = append(rules, rule)
	}
	return rules
}
