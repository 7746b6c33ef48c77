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

func TestRecorderCounts(t *testing.T) {
	r := newRecorder(time.Now().Add(-1500 * time.Millisecond)) // in its second second
	for n := range 100 {
		r.turn(time.Duration(n+1) * 5 * time.Millisecond)
	}
	r.turnFailed()
	for _, o := range []Outcome{Whole, Spent, Failed, Ended} {
		r.asked()
		r.ended(o, "why")
	}
	c := r.counted()
	assert.Equal(t, c.Asked, 4)
	assert.Equal(t, [4]int{c.Whole, c.Spent, c.Failed, c.Ended}, [4]int{1, 1, 1, 1})
	assert.Equal(t, c.Turns, 100)
	assert.Equal(t, c.Late, 20) // those over 400 ms
	near := func(d, want time.Duration) {
		assert.Assert(t, d > want*98/100 && d < want*102/100, "%v for %v", d, want)
	}
	near(c.FirstP50, 250*time.Millisecond)
	near(c.FirstP99, 495*time.Millisecond)
	near(c.FirstMost, 500*time.Millisecond)
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

func testReport(spoilt bool) *Report {
	w := newWitness()
	for r := range ruleCount {
		w.check(r, true, "")
	}
	if spoilt {
		w.check(RunTwice, false, "%s ran 2 times", "<a>")
	}
	return &Report{Calm: 2 * time.Second, Lasted: 4 * time.Second, Rate: 5, Counts: Counts{Asked: 10, Whole: 8, Spent: 1, Failed: 1, Turns: 30},
		Seconds:   []Second{{Served: 5, P50: time.Millisecond, P99: 3 * time.Millisecond}, {}, {Served: 7, Late: 2, Failed: 1}},
		Events:    []Event{{time.Second, "turnstore-1 <stopped>"}},
		Takeovers: []Takeover{{"turnstore-1", "partitions", 300 * time.Millisecond, true}, {"controlplane-1", "control", time.Second, false}},
		Failures:  []string{"a turn got 502"}, Verdicts: w.verdict()}
}

func TestReportInText(t *testing.T) {
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

func TestARuleThatWasNeverLookedAtIsNotCalledKept(t *testing.T) {
	assert.Equal(t, Verdict{}.say(), "not seen (0 checks)")
}

func TestReportAsPage(t *testing.T) {
	var b strings.Builder
	assert.NilError(t, testReport(true).Page(&b))
	text := b.String()
	assert.Assert(t, !strings.Contains(text, "<a>") && !strings.Contains(text, "<stopped>"), "texts are escaped")
	for _, outside := range []string{"http://", "https://", "<script", "src="} {
		assert.Assert(t, !strings.Contains(text, outside), "it needs %s", outside)
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

func TestAPageWithoutSeconds(t *testing.T) {
	assert.NilError(t, (&Report{}).Page(io.Discard))
}
