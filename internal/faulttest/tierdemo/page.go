package tierdemo

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
)

// Sizes of a plot, in pixels.
const (
	plotWidth  = 720
	plotHeight = 140
	plotLeft   = 56
	plotBottom = 20
)

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Rehearsal of the serving tier</title>
<style>body{font:14px/1.5 sans-serif;max-width:800px;margin:2em auto;padding:0 1em}pre{background:#f4f4f4;padding:1em;overflow:auto}
td{padding-right:1.5em}svg{display:block;width:100%}text{font:11px sans-serif;fill:#444}</style></head><body>
<h1>Rehearsal of the serving tier</h1>
<pre>{{.Text}}</pre>
{{range .Plots}}<h2>{{.Title}}</h2>
<p>{{range .Lines}}<span style="color:{{.Color}}">&#9632;</span> {{.Name}} &nbsp; {{end}}</p>
{{.SVG}}
{{end}}<h2>What happened</h2>
<table>{{range .Events}}<tr><td>{{.At}}</td><td>{{.What}}</td></tr>
{{end}}</table></body></html>
`))

// line is one series of a plot with a value for each second.
type line struct {
	Name, Color string
	values      []float64
}

// plot is a chart over time.
type plot struct {
	Title string
	Lines []line
	SVG   template.HTML
}

// Page writes the report as a self-contained HTML page.
func (report *Report) Page(out io.Writer) error {
	var text strings.Builder
	report.Print(&text)
	values := func(of func(Second) float64) (list []float64) {
		for _, s := range report.Seconds {
			list = append(list, of(s))
		}
		return list
	}
	inMS := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	plots := []plot{
		{Title: "Turns by second", Lines: []line{
			{"served whole", "#2a6", values(func(s Second) float64 { return float64(s.Served) })},
			{"of them late", "#e80", values(func(s Second) float64 { return float64(s.Late) })},
			{"given up", "#c22", values(func(s Second) float64 { return float64(s.Failed) })}}},
		{Title: "First event by second, ms", Lines: []line{
			{"p50", "#26c", values(func(s Second) float64 { return inMS(s.P50) })},
			{"p99", "#a3c", values(func(s Second) float64 { return inMS(s.P99) })}}},
	}
	for i := range plots {
		plots[i].SVG = plots[i].draw(report.Events)
	}
	type row struct{ At, What string }
	var events []row
	for _, e := range report.Events {
		events = append(events, row{fmt.Sprintf("%.1f s", e.At.Seconds()), e.What})
	}
	return page.Execute(out, map[string]any{"Text": text.String(), "Plots": plots, "Events": events})
}

// draw returns the plot with a mark for each event. The texts of events are escaped.
func (plot plot) draw(events []Event) template.HTML {
	top, count := 1.0, 1
	for _, l := range plot.Lines {
		count = max(count, len(l.values))
		for _, v := range l.values {
			top = max(top, v)
		}
	}
	x := func(second float64) float64 {
		return plotLeft + min(max(second/float64(count), 0), 1)*(plotWidth-plotLeft)
	}
	y := func(v float64) float64 { return plotHeight - plotBottom - v/top*(plotHeight-plotBottom-8) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %d %d" role="img">`, plotWidth, plotHeight)
	for _, v := range []float64{0, top / 2, top} {
		fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.4g</text>`,
			plotLeft, plotWidth, y(v), y(v), plotLeft-6, y(v)+4, v)
	}
	for s := 0; s < count; s += max(1, count/8) {
		fmt.Fprintf(&b, `<text x="%.1f" y="%d">%d s</text>`, x(float64(s)), plotHeight-4, s)
	}
	for _, e := range events {
		at := x(e.At.Seconds())
		fmt.Fprintf(&b, `<line x1="%.1f" x2="%.1f" y1="4" y2="%d" stroke="#bbb" stroke-dasharray="2 3"><title>%s</title></line>`,
			at, at, plotHeight-plotBottom, template.HTMLEscapeString(e.What))
	}
	for _, l := range plot.Lines {
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, l.Color)
		for i, v := range l.values {
			fmt.Fprintf(&b, "%.1f,%.1f ", x(float64(i)+.5), y(v))
		}
		b.WriteString(`"/>`)
	}
	b.WriteString("</svg>")
	return template.HTML(b.String())
}
