package features

import (
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/undelivered"
	"saffronyard.example/saffronyard/internal/work"
)

const workFile = `[work]
workers = 3
[work.budget]
calls = 50
[work.weights]
evergreen = 2
[[work.kind]]
name = "undelivered.expire"
from = "22:00"
to = "05:30"
[work.targets]
calls = 0.6
[undelivered]
[[undelivered.resend]]
name = "first"
members = ["evergreen"]
reasons = ["refused", "timed-out"]
from = "01:00"
to = "05:00"
[[undelivered.resend]]
name = "all"
share = 0.5
then = "drop"
`

func TestParse_Work(t *testing.T) {
	f, err := Parse("x.toml", []byte(workFile))
	if err != nil {
		t.Fatal(err)
	}
	s := f.Work.Settings()
	if w := s.Kinds["undelivered.expire"].Window; w == nil || w.From != 22*time.Hour || w.To != 5*time.Hour+30*time.Minute || w.Zone != time.UTC {
		t.Errorf("%+v", w)
	}
	if s.Rates[work.Calls].PerSecond != 50 || s.Weights["evergreen"] != 2 || s.Limits.Jobs != 100_000 || s.Limits.OwnerJobs != 50_000 {
		t.Errorf("%+v", s)
	}
	if p := f.Work.Pressure(); p.Calls != 0.6 || p.TurnLate != work.DefaultTargets().TurnLate {
		t.Errorf("%+v", p)
	}
	rules := f.Undelivered.Rules()
	if len(rules) != 2 || rules[0].From != time.Hour || rules[0].Reasons[1] != undelivered.ReasonTimedOut || rules[0].MaxResends != 3 || rules[0].HealthyFor != 30*time.Second || !rules[1].DropExhausted || rules[1].RateFraction != 0.5 {
		t.Errorf("%+v", rules)
	}
	if lines := strings.Join(f.Lines(), "\n"); !strings.Contains(lines, "50 calls a second") || !strings.Contains(lines, "rule all: resent once") || !strings.Contains(lines, "from 22:00 to 05:30, UTC") {
		t.Error(lines)
	}
}

// Each error names the line of the invalid setting.
func TestParse_WorkErrors(t *testing.T) {
	edit := func(old, new string) string { return strings.Replace(workFile, old, new, 1) }
	for says, text := range map[string]string{
		`x.toml:2: work.workers = 65 is not from 1`:                    edit("= 3", "= 65"),
		`x.toml:3: work.budget: "call" is not a currency`:              edit("calls = 50", "call = 50"),
		`x.toml:3: work.budget: calls = -1 is not above 0`:             edit("calls = 50", "calls = -1"),
		`x.toml:6: work.weights.evergreen = 0 is not above 0`:          edit("evergreen = 2", "evergreen = 0"),
		`x.toml:9: work.kind 1: "25:00" is not a time of day`:          edit("22:00", "25:00"),
		`x.toml:9: work.kind 1: from and to must be set together`:      edit("to = \"05:30\"\n", ""),
		`x.toml:12: work.targets.calls = 2 is not above 0`:             edit("0.6", "2"),
		`x.toml:17: undelivered.resend 1: there is no reason "odd"`:    edit(`"refused", `, `"odd", `),
		`x.toml:21: undelivered.resend 2: rule all: share = 2`:         edit("0.5", "2"),
		`x.toml:23: undelivered.resend 2: then = "go"`:                 edit(`"drop"`, `"go"`),
		`x.toml:21: undelivered.resend 2: there is another rule`:       edit(`"all"`, `"first"`),
		`undelivered.resend 1: messages are resent by background work`: workFile[strings.Index(workFile, "[undelivered]"):],
	} {
		if _, err := Parse("x.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v, want %q", err, says)
		}
	}
}
