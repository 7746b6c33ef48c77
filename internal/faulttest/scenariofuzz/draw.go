// Package scenariofuzz draws deployments and days that nobody has seen, from a known site file and a seed: other
// zones, delays, machines, disks and bounds, with own mixes of troubles. The same seed draws the same day.
package scenariofuzz

import (
	"math"
	"math/rand"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
)

// Table is a TOML table as decoded.
type Table = map[string]any

// DrawnDay is one deployment with one day.
type DrawnDay struct {
	Seed     int64
	Scenario string
	Site     Table
	Day      Table
}

// AckMS is the bound of an operator's order in ms.
func (d *DrawnDay) AckMS() float64 {
	ms, _ := d.Site["bounds"].(Table)["ack_ms"].(int)
	return float64(ms)
}

// ScenarioNames lists all scenarios in the order in which seeds take them.
func ScenarioNames() []string {
	names := make([]string, 0, len(scenarios))
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return names
}

// Draw edits a site file's text by the seed and adds a day. Without a scenario's name, the seed takes one.
func Draw(text []byte, seed int64, name string) (*DrawnDay, error) {
	site := Table{}
	if err := toml.Unmarshal(text, &site); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "site file")
	}
	if missing := missingParts(site); len(missing) > 0 {
		return nil, errorx.IllegalFormat.New("site file: no %s", strings.Join(missing, ", no "))
	}
	chosen := scenarios[int(uint64(seed)%uint64(len(scenarios)))]
	if name != "" {
		at := slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == name })
		if at < 0 {
			return nil, errorx.IllegalArgument.New("no scenario is called %q; there are: %s", name, strings.Join(ScenarioNames(), "; "))
		}
		chosen = scenarios[at]
	}
	r := random{rand.New(rand.NewSource(seed))}
	delete(site, "day")
	site = plainNumbers(site).(Table)
	if !chosen.asItIs {
		r.deployment(site, chosen)
	}
	day := r.day(site, seed, chosen)
	return &DrawnDay{Seed: seed, Scenario: chosen.name, Site: site, Day: day}, nil
}

// missingParts names what a site file lacks of the parts that are edited.
func missingParts(site Table) []string {
	var missing []string
	for _, key := range []string{"zones", "machines", "services", "classes", "traffic"} {
		if len(tables(site[key])) == 0 {
			missing = append(missing, "list "+key)
		}
	}
	for _, key := range []string{"net", "tolerate", "bounds", "discovery", "timing"} {
		if _, ok := site[key].(Table); !ok {
			missing = append(missing, "table "+key)
		}
	}
	return missing
}

// plainNumbers makes the whole numbers of a decoded file ints, as those that are drawn are.
func plainNumbers(value any) any {
	switch v := value.(type) {
	case int64:
		return int(v)
	case []any:
		for i, entry := range v {
			v[i] = plainNumbers(entry)
		}
	case Table:
		for key, entry := range v {
			v[key] = plainNumbers(entry)
		}
	}
	return value
}

// tables is a decoded array of tables.
func tables(value any) []Table {
	list, _ := value.([]any)
	out := make([]Table, 0, len(list))
	for _, entry := range list {
		if t, ok := entry.(Table); ok {
			out = append(out, t)
		}
	}
	return out
}

// random draws the figures of one deployment and its day.
type random struct{ *rand.Rand }

// between is a figure from low to high, rounded to thousandths.
func (r random) between(low, high float64) float64 {
	return math.Round((low+r.Float64()*(high-low))*1000) / 1000
}

// integer is a whole number from low to high, both included.
func (r random) integer(low, high int) int { return low + r.Intn(high-low+1) }

// byFactor is a figure from low to high in which each doubling is equally likely.
func (r random) byFactor(low, high float64) float64 {
	return math.Round(low*math.Pow(high/low, r.Float64())*100) / 100
}

// pick is one of the values, each equally likely.
func pick[T any](r random, of ...T) T { return of[r.Intn(len(of))] }
