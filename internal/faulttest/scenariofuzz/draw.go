// Package scenariofuzz generates random deployments and days of faults from a site file and a seed: it varies zones,
// delays, machines, disks and bounds, and mixes faults. The same seed generates the same day.
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

// DrawnDay is one generated deployment with one day of faults.
type DrawnDay struct {
	Seed     int64
	Scenario string
	Site     Table
	Day      Table
}

// AckMS returns the time limit in ms for the acknowledgement of an operator's command.
func (d *DrawnDay) AckMS() float64 {
	ms, _ := d.Site["bounds"].(Table)["ack_ms"].(int)
	return float64(ms)
}

// ScenarioNames lists all scenarios. A seed selects the scenario at its value modulo their number.
func ScenarioNames() []string {
	names := make([]string, 0, len(scenarios))
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return names
}

// Draw varies the deployment of a site file by the seed and generates a day for it. If name is empty, the seed selects the scenario.
func Draw(text []byte, seed int64, name string) (*DrawnDay, error) {
	site := Table{}
	if err := toml.Unmarshal(text, &site); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "site file")
	}
	if missing := missingParts(site); len(missing) > 0 {
		return nil, errorx.IllegalFormat.New("site file: missing %s", strings.Join(missing, ", missing "))
	}
	chosen := scenarios[int(uint64(seed)%uint64(len(scenarios)))]
	if name != "" {
		at := slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == name })
		if at < 0 {
			return nil, errorx.IllegalArgument.New("unknown scenario %q; known scenarios: %s", name, strings.Join(ScenarioNames(), "; "))
		}
		chosen = scenarios[at]
	}
	r := random{rand.New(rand.NewSource(seed))}
	delete(site, "day")
	site = convertInts(site).(Table)
	if !chosen.unmodified {
		r.deployment(site, chosen)
	}
	day := r.day(site, seed, chosen)
	return &DrawnDay{Seed: seed, Scenario: chosen.name, Site: site, Day: day}, nil
}

// missingParts lists the required lists and tables that a site file lacks.
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

// convertInts converts the int64 values of a decoded file to int, the type of the generated values.
func convertInts(value any) any {
	switch v := value.(type) {
	case int64:
		return int(v)
	case []any:
		for i, entry := range v {
			v[i] = convertInts(entry)
		}
	case Table:
		for key, entry := range v {
			v[key] = convertInts(entry)
		}
	}
	return value
}

// tables returns the tables of a decoded array.
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

// random draws the values of one deployment and its day.
type random struct{ *rand.Rand }

// between draws a number from low to high, rounded to thousandths.
func (r random) between(low, high float64) float64 {
	return math.Round((low+r.Float64()*(high-low))*1000) / 1000
}

// integer draws an integer from low to high, both included.
func (r random) integer(low, high int) int { return low + r.Intn(high-low+1) }

// logUniform draws a number from a log-uniform distribution between low and high, rounded to hundredths.
func (r random) logUniform(low, high float64) float64 {
	return math.Round(low*math.Pow(high/low, r.Float64())*100) / 100
}

// pick draws one of the values with equal probability.
func pick[T any](r random, of ...T) T { return of[r.Intn(len(of))] }
