package features

import (
	"fmt"
	"math"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/tomlfile"
	"saffronyard.example/saffronyard/internal/work"
)

// Work is the scheduling of background work.
type Work struct {
	Folder      string             `toml:"folder"`       // default: "work" in the sender's state folder
	Workers     int                `toml:"workers"`      // concurrent slices; from 1 to 64, default 2
	Jobs        int                `toml:"jobs"`         // maximum number of jobs; from 10 to 10000000, default 100000
	OwnerJobs   int                `toml:"owner_jobs"`   // maximum number of jobs of one owner; default: half of jobs
	Bytes       int64              `toml:"bytes"`        // of persistent jobs; from 65536 to 2^40, default 16777216
	Slow        tomlfile.Span      `toml:"slow"`         // a slice that takes longer is reported; from 100ms to 1h, default 30s
	Budget      map[string]float64 `toml:"budget"`       // of all work, per second and by currency; a missing currency is unbounded
	OwnerBudget map[string]float64 `toml:"owner_budget"` // of each owner, likewise
	Weights     map[string]float64 `toml:"weights"`      // by owner; default 1
	Kinds       []WorkKind         `toml:"kind"`
	Targets     WorkTargets        `toml:"targets"`
}

// WorkKind are the limits of one kind of work.
type WorkKind struct {
	Name    string             `toml:"name"`
	Budget  map[string]float64 `toml:"budget"`  // guaranteed, per second
	Running int                `toml:"running"` // concurrent slices; default: as many as there are workers
	From    string             `toml:"from"`    // start of the daily window in which it runs, such as "01:00"
	To      string             `toml:"to"`      // end of the window
	Zone    string             `toml:"zone"`    // time zone of the window; default "UTC"
}

// WorkTargets are the load limits above which background work is throttled in favour of message delivery.
type WorkTargets struct {
	TurnLate    tomlfile.Span `toml:"turn_late"`    // delay of the event loop's turns; default 5ms
	Calls       float64       `toml:"calls"`        // calls in flight, as a fraction of the slots; default 0.8
	Held        float64       `toml:"held"`         // pending messages, as a fraction of their capacity; default 0.5
	Journal     float64       `toml:"journal"`      // as a fraction of its capacity; default 0.7
	DiskLatency tomlfile.Span `toml:"disk_latency"` // of journal writes; default 50ms
}

func (t *WorkTargets) setDefaults() {
	defaults := work.DefaultTargets()
	setDefault(&t.TurnLate, tomlfile.Span(defaults.TurnLate))
	setDefault(&t.Calls, defaults.Calls)
	setDefault(&t.Held, defaults.Pending)
	setDefault(&t.Journal, defaults.Journal)
	setDefault(&t.DiskLatency, tomlfile.Span(defaults.DiskLatency))
}

func (w *Work) check(doc document) error {
	if w == nil {
		return nil
	}
	setDefault(&w.Workers, 2)
	setDefault(&w.Jobs, 100_000)
	setDefault(&w.OwnerJobs, max(1, w.Jobs/2))
	setDefault(&w.Bytes, 16<<20)
	setDefault(&w.Slow, tomlfile.Span(30*time.Second))
	w.Targets.setDefaults()
	for _, n := range []struct {
		key         string
		v, min, max int64
	}{{"workers", int64(w.Workers), 1, 64}, {"jobs", int64(w.Jobs), 10, 10_000_000}, {"owner_jobs", int64(w.OwnerJobs), 1, 10_000_000}, {"bytes", w.Bytes, 1 << 16, 1 << 40}} {
		if n.v < n.min || n.v > n.max {
			return doc.errorAt("work", 0, n.key, "work.%s = %d is not from %d to %d", n.key, n.v, n.min, n.max)
		}
	}
	if d := w.Slow.D(); d < 100*time.Millisecond || d > time.Hour {
		return doc.errorAt("work", 0, "slow", "work.slow = %v is not from 100ms to 1h", d)
	}
	for _, n := range []struct {
		key string
		v   float64
	}{{"calls", w.Targets.Calls}, {"held", w.Targets.Held}, {"journal", w.Targets.Journal}} {
		if !(n.v > 0 && n.v <= 1) {
			return doc.errorAt("work.targets", 0, n.key, "work.targets.%s = %v is not above 0 and at most 1", n.key, n.v)
		}
	}
	for table, m := range map[string]map[string]float64{"budget": w.Budget, "owner_budget": w.OwnerBudget} {
		if _, err := parseRates(m); err != nil {
			return doc.errorAt("work."+table, 0, "", "work.%s: %w", table, err)
		}
	}
	for owner, v := range w.Weights {
		if !(v > 0 && v <= 1000) {
			return doc.errorAt("work.weights", 0, owner, "work.weights.%s = %v is not above 0 and at most 1000", owner, v)
		}
	}
	return w.checkKinds(doc)
}

func (w *Work) checkKinds(doc document) error {
	seen := map[string]bool{}
	for i := range w.Kinds {
		k := &w.Kinds[i]
		at := func(key, format string, args ...any) error {
			return doc.errorAt("work.kind", i, key, "work.kind %d: %w", i+1, settingError(format, args...))
		}
		switch {
		case k.Name == "" || seen[k.Name]:
			return at("name", "name = %q is empty or a duplicate", k.Name)
		case k.Running < 0 || k.Running > 64:
			return at("running", "running = %d is not from 0 to 64", k.Running)
		case (k.From == "") != (k.To == ""):
			return at("from", "from and to must be set together")
		}
		seen[k.Name] = true
		if _, err := parseRates(k.Budget); err != nil {
			return at("budget", "budget: %w", err)
		}
		if _, err := k.window(); err != nil {
			return at("from", "%w", err)
		}
	}
	return nil
}

// parseRates parses a budget: the rate per second by currency, with a burst of one second's rate.
func parseRates(m map[string]float64) (r work.Rates, err error) {
	for name, v := range m {
		i := slices.Index(work.CurrencyNames(), name)
		if i < 0 {
			return r, settingError("%q is not a currency; the currencies are %q", name, work.CurrencyNames())
		}
		if !(v > 0) || math.IsInf(v, 0) {
			return r, settingError("%s = %v is not above 0", name, v)
		}
		r[i] = work.Rate{PerSecond: v, Burst: v}
	}
	return r, nil
}

// parseTimeOfDay parses a time of day such as "01:00".
func parseTimeOfDay(text string) (time.Duration, error) {
	t, err := time.Parse("15:04", text)
	if err != nil {
		return 0, settingError("%q is not a time of day such as \"01:00\"", text)
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, nil
}

func (k *WorkKind) window() (*work.Window, error) {
	if k.From == "" {
		return nil, nil
	}
	w := &work.Window{Zone: time.UTC}
	var err error
	if w.From, err = parseTimeOfDay(k.From); err != nil {
		return nil, err
	}
	if w.To, err = parseTimeOfDay(k.To); err != nil {
		return nil, err
	}
	if k.Zone != "" {
		if w.Zone, err = time.LoadLocation(k.Zone); err != nil {
			return nil, fmt.Errorf("zone: %w", err)
		}
	}
	return w, nil
}

// Settings returns the settings of the scheduler.
func (w *Work) Settings() work.Settings {
	all, _ := parseRates(w.Budget) // all rates and windows were validated when the file was read
	owners, _ := parseRates(w.OwnerBudget)
	s := work.Settings{Limits: work.Limits{Jobs: w.Jobs, Bytes: w.Bytes * 4, OwnerJobs: w.OwnerJobs, Depth: 3}, Rates: all, Owners: owners,
		Weights: w.Weights, Kinds: map[string]work.Kind{}, Breaker: work.DefaultBreaker()}
	for _, k := range w.Kinds {
		r, _ := parseRates(k.Budget)
		window, _ := k.window()
		s.Kinds[k.Name] = work.Kind{Rates: r, Running: k.Running, Window: window, Retry: work.DefaultRetry()}
	}
	return s
}

// Pressure returns the load above which background work is throttled.
func (w *Work) Pressure() work.Targets {
	t := w.Targets
	return work.Targets{TurnLate: t.TurnLate.D(), Calls: t.Calls, Pending: t.Held, Journal: t.Journal, DiskLatency: t.DiskLatency.D()}
}

func (w *Work) lines() []string {
	if w == nil {
		return nil
	}
	line := fmt.Sprintf("work: at most %d concurrent slices and %d jobs", w.Workers, w.Jobs)
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
