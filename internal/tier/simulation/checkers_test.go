package simulation

import (
	"fmt"
)

// recordedRules collects what checks report.
type recordedRules struct{ rules []Rule }

func (f *recordedRules) report(rule Rule, format string, args ...any) {
	_ = fmt.Sprintf(format, args...)
	f.rules = append(f.rules, rule)
}
