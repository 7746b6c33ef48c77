package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"

	"saffronyard.example/saffronyard/internal/faulttest/judge"
)

//go:embed report.html
var page string

// The dimensions of the picture, in SVG units.
const (
	pictureWide = 1000
	labelWide   = 90
	chartHigh   = 160
	rowHigh     = 26
	rowGap      = 4
)

// view is the data of the page's template.
type view struct {
	Verdict judge.Report
	Sum     Summary
	Exit    string
	Percent func(float64) string
	Chart   chart
	Rows    []row
	Ticks   []tick
	Wide    int
	High    int
	RowsTop int
}

type chart struct {
	Top   int // value at the top of the chart, a second
	Lines []line
}

type line struct{ Name, Class, Points string }

type row struct {
	Name         string
	Y            int
	Bands        []shape
	Points       string // calls in flight
	PeakInFlight int
}

type shape struct {
	X, W  float64
	Class string
	What  string
	From  string
	To    string
}

type tick struct {
	X    float64
	Text string
}

// HTML writes the report as one self-contained page without scripts or references to other files.
func HTML(w io.Writer, v judge.Report, s Summary) error {
	t, err := template.New("report").Parse(page)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	d := view{Verdict: v, Sum: s, Wide: pictureWide, RowsTop: chartHigh + 40, Percent: func(f float64) string { return fmt.Sprintf("%.1f%%", f*100) }}
	switch v.Exit() {
	case judge.ExitPass:
		d.Exit = "PASS"
	case judge.ExitFail:
		d.Exit = "FAIL"
	default:
		d.Exit = "INCONCLUSIVE"
	}
	d.drawChart(s)
	d.drawTicks(s)
	d.drawRows(s)
	if err := t.Execute(w, d); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// x returns the x coordinate of a time in the picture, in seconds of the day.
func (s *Summary) x(second float64) float64 {
	if s.Length <= 0 {
		return labelWide
	}
	return labelWide + min(1, max(0, second/s.Length))*(pictureWide-labelWide-10)
}

// drawChart draws a line for each of the counts by second.
func (d *view) drawChart(s Summary) {
	top := 1
	for _, c := range s.Seconds {
		top = max(top, c.Arrived, c.Delivered, c.HandedBack, c.Failed, c.AboveLimit)
	}
	d.Chart.Top = top
	for _, l := range []struct {
		name, class string
		of          func(Second) int
	}{
		{"asked", "asked", func(c Second) int { return c.Arrived }},
		{"delivered", "delivered", func(c Second) int { return c.Delivered }},
		{"handed back", "back", func(c Second) int { return c.HandedBack }},
		{"failed", "failed", func(c Second) int { return c.Failed }},
		{"calls refused", "above", func(c Second) int { return c.AboveLimit }},
	} {
		var p strings.Builder
		for i, c := range s.Seconds {
			fmt.Fprintf(&p, "%.1f,%.1f ", s.x(float64(i)+0.5), 20+chartHigh*(1-float64(l.of(c))/float64(top)))
		}
		d.Chart.Lines = append(d.Chart.Lines, line{l.name, l.class, strings.TrimSpace(p.String())})
	}
}

// maxTicks bounds the number of ticks on the time axis.
const maxTicks = 16

// drawTicks draws the ticks of the time axis in steps of 1, 2, 5, 10, 20 ... seconds.
func (d *view) drawTicks(s Summary) {
	step := 1.0
	for s.Length/step > maxTicks {
		step *= 2
		if step == 8 || step == 4 {
			step = 5
		}
	}
	for at := 0.0; at <= s.Length; at += step {
		d.Ticks = append(d.Ticks, tick{s.x(at), fmt.Sprintf("%.0f s", at)})
	}
}

// drawRows draws a row for each receiver and sender: the calls in flight, and the bands of faults, outages and absences.
func (d *view) drawRows(s Summary) {
	y := d.RowsTop
	add := func(name string) *row {
		for i := range d.Rows {
			if d.Rows[i].Name == name {
				return &d.Rows[i]
			}
		}
		d.Rows = append(d.Rows, row{Name: name, Y: y})
		y += rowHigh + rowGap
		return &d.Rows[len(d.Rows)-1]
	}
	peak := 1
	for _, f := range s.Flights {
		for _, n := range f.Out {
			peak = max(peak, n)
		}
	}
	for _, f := range s.Flights {
		r := add(f.Receiver)
		var p strings.Builder
		fmt.Fprintf(&p, "%.1f,%d ", s.x(0), r.Y+rowHigh)
		for i, n := range f.Out {
			r.PeakInFlight = max(r.PeakInFlight, n)
			fmt.Fprintf(&p, "%.1f,%.1f ", s.x(float64(i)*stepSeconds), float64(r.Y)+rowHigh*(1-float64(n)/float64(peak)))
		}
		fmt.Fprintf(&p, "%.1f,%d", s.x(s.Length), r.Y+rowHigh)
		r.Points = p.String()
	}
	for _, b := range s.Bands {
		r := add(b.Row)
		from, to := s.x(b.From), s.x(b.To)
		r.Bands = append(r.Bands, shape{X: from, W: max(1, to-from), Class: b.Kind, What: b.What, From: fmt.Sprintf("%.1f", b.From), To: fmt.Sprintf("%.1f", b.To)})
	}
	d.High = y + 20
}

// stepSeconds is the sampling interval of Flight, in seconds.
const stepSeconds = float64(step) / 1e6
