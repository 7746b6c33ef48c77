package scenariofuzz

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/joomcode/errorx"
)

// Report is the part of a day's report that is needed to find broken rules.
type Report struct {
	Value   float64        `json:"G"`
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Fault   any            `json:"fault"`
	Short   []any          `json:"short"`
	Breaks  map[string]any `json:"breaks"`
	First   []any          `json:"first"`
	Missed  []any          `json:"missed"`
	Exits   int            `json:"exits_n"`
	AckMS   float64        `json:"config_ack_ms"`
}

// ParseReport parses the JSON report of one day.
func ParseReport(raw []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "report")
	}
	return &r, nil
}

// Findings lists what went wrong on a day, one line each; the list is empty if nothing did. It includes a configuration that
// was acknowledged later than ackMS, although this breaks no rule while the core is not settled.
func (r *Report) Findings(ackMS float64) []string {
	var out []string
	if r.AckMS > ackMS {
		out = append(out, fmt.Sprintf("a configuration took %.0f ms of %.0f", r.AckMS, ackMS))
	}
	for rule, n := range r.Breaks {
		out = append(out, fmt.Sprintf("rule %s: %v", rule, n))
	}
	sort.Strings(out)
	if r.Fault != nil {
		out = append(out, fmt.Sprintf("fault: %v", r.Fault))
	}
	for _, s := range r.Short {
		out = append(out, fmt.Sprintf("short: %v", s))
	}
	if r.Exits > 0 {
		out = append(out, fmt.Sprintf("processes that ended by themselves: %d", r.Exits))
	}
	for _, m := range r.Missed {
		out = append(out, fmt.Sprintf("missed: %v", m))
	}
	if r.Served < 0.6 {
		out = append(out, fmt.Sprintf("served only %.2f", r.Served))
	}
	if r.Refused+r.Failed > 0.6 {
		out = append(out, fmt.Sprintf("gate: refused %.2f and failed %.2f", r.Refused, r.Failed))
	}
	return out
}

// Evidence returns the first three broken rules as the bench reports them, with strings cut to 600 characters.
func (r *Report) Evidence() string {
	var lines []string
	for i, f := range r.First {
		if i == 3 {
			break
		}
		lines = append(lines, fmt.Sprintf("%.600v", f))
	}
	return strings.Join(lines, "\n")
}
