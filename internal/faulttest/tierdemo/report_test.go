package tierdemo

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRecorder_Counts(t *testing.T) {
	r := newRecorder(time.Now().Add(-1500 * time.Millisecond)) // the current second is the recorder's second one
	for n := range 100 {
		r.turn(time.Duration(n+1) * 5 * time.Millisecond)
	}
	r.turnFailed()
	for _, o := range []Outcome{Completed, BudgetExhausted, Failed, Interrupted} {
		r.programStarted()
		r.programEnded(o, "why")
	}
	c := r.totals()
	assert.Equal(t, c.Started, 4)
	assert.Equal(t, [4]int{c.Completed, c.BudgetExhausted, c.Failed, c.Interrupted}, [4]int{1, 1, 1, 1})
	assert.Equal(t, c.Turns, 100)
	assert.Equal(t, c.Late, 20) // those over 400 ms
	near := func(d, want time.Duration) {
		assert.Assert(t, d > want*98/100 && d < want*102/100, "got %v, want about %v", d, want)
	}
	near(c.FirstP50, 250*time.Millisecond)
	near(c.FirstP99, 495*time.Millisecond)
	near(c.FirstMax, 500*time.Millisecond)
	seconds, reasons := r.series()
	assert.DeepEqual(t, reasons, []string{"why"})
	total := Second{}
	for _, s := range seconds {
		total.Served += s.Served
		total.Late += s.Late
		total.Failed += s.Failed
	}
	assert.Equal(t, total, Second{Served: 100, Late: 20, Failed: 1})
}

func testReport(broken bool) *Report {
	w := newRuleChecker()
	for r := range ruleCount {
		w.check(r, true, "")
	}
	if broken {
		w.check(RuleRunOnce, false, "%s ran 2 times", "<a>")
	}
	return &Report{Calm: 2 * time.Second, Lasted: 4 * time.Second, Rate: 5, Counts: Counts{Started: 10, Completed: 8, BudgetExhausted: 1, Failed: 1, Turns: 30},
		Seconds:   []Second{{Served: 5, P50: time.Millisecond, P99: 3 * time.Millisecond}, {}, {Served: 7, Late: 2, Failed: 1}},
		Events:    []Event{{time.Second, "turnstore-1 <stopped>"}},
		Takeovers: []Takeover{{"turnstore-1", "partitions", 300 * time.Millisecond, true}, {"controlplane-1", "control", time.Second, false}},
		Failures:  []string{"a turn got 502"}, Verdicts: w.results()}
}

func TestReport_Text(t *testing.T) {
	var b strings.Builder
	r := testReport(false)
	r.Print(&b)
	assert.Equal(t, r.Broken(), 0)
	assert.Equal(t, strings.Count(b.String(), ": kept (1 checks)"), int(ruleCount))
	assert.Assert(t, !strings.Contains(b.String(), "BROKEN"))
	for _, want := range []string{"10 asked, 8 whole, 1 ended by their budget, 1 failed", "failed: a turn got 502", "after turnstore-1 was stopped: 300.0 ms", "not within 1000.0 ms"} {
		assert.Assert(t, strings.Contains(b.String(), want), "%s\nin\n%s", want, &b)
	}
	b.Reset()
	r = testReport(true)
	r.Print(&b)
	assert.Equal(t, r.Broken(), 1)
	assert.Assert(t, strings.Contains(b.String(), "none runs twice: BROKEN 1 times (2 checks)"), b.String())
	assert.Assert(t, strings.Contains(b.String(), "<a> ran 2 times"))
}

func TestReport_UncheckedRuleNotKept(t *testing.T) {
	assert.Equal(t, Verdict{}.text(), "not seen (0 checks)")
}

func TestReport_Page(t *testing.T) {
	var b strings.Builder
	assert.NilError(t, testReport(true).Page(&b))
	text := b.String()
	assert.Assert(t, !strings.Contains(text, "<a>") && !strings.Contains(text, "<stopped>"), "texts are not escaped")
	for _, outside := range []string{"http://", "https://", "<script", "src="} {
		assert.Assert(t, !strings.Contains(text, outside), "the page refers to %s", outside)
	}
	plots := 0
	for rest := text; ; plots++ {
		_, after, found := strings.Cut(rest, "<svg")
		if !found {
			break
		}
		svg, left, found := strings.Cut(after, "</svg>")
		assert.Assert(t, found)
		rest = left
		for d := xml.NewDecoder(strings.NewReader("<svg" + svg + "</svg>")); ; {
			if _, err := d.Token(); errors.Is(err, io.EOF) {
				break
			} else {
				assert.NilError(t, err)
			}
		}
		assert.Assert(t, !strings.Contains(svg, "NaN"))
	}
	assert.Equal(t, plots, 2)
}

func TestReport_PageWithoutSeconds(t *testing.T) {
	assert.NilError(t, (&Report{}).Page(io.Discard))
}
