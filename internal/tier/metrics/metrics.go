// Package metrics writes the figures of a role in the text format of Prometheus. A role gives its figures when it is asked
// for them; nothing is registered, counted or kept in between. docs/operate/metrics.md lists all metrics.
package metrics

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Path is where each role serves its metrics, by GET.
const Path = "/metrics"

// ContentType is that of the text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Figures are the figures of a role at one moment.
type Figures interface {
	write(w io.Writer)
}

// Text gives figures in the text format.
func Text(figures Figures) []byte {
	var text bytes.Buffer
	figures.write(&text)
	return text.Bytes()
}

// Handler answers each request with the figures of that moment.
func Handler(collect func() Figures) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text := Text(collect())
		w.Header().Set("Content-Type", ContentType)
		_, _ = w.Write(text) // one who has hung up needs no answer
	})
}

// sample is a value of a metric under one value of its label.
type sample struct {
	label string
	value float64
}

// gauge writes a metric of one value.
func gauge(w io.Writer, name, help string, value float64) {
	writeHeader(w, name, help)
	metrics.WriteGaugeFloat64(w, name, value)
}

// gauges writes a metric with a value for each value of a label.
func gauges(w io.Writer, name, help, label string, samples ...sample) {
	writeHeader(w, name, help)
	for _, s := range samples {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("%s{%s=%q}", name, label, s.label), s.value)
	}
}

// writeHeader writes what a metric is. The library writes it by a switch of the whole program only, and without the help.
func writeHeader(w io.Writer, name, help string) {
	_, _ = fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s gauge\n", name, help, name)
}

// flag is 1 for true.
func flag(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// seconds gives a span in seconds; what is past is below 0.
func seconds(d time.Duration) float64 { return d.Seconds() }

// writeDisk writes 1 for the state that the disk is in, and 0 for the others. A state that is not known counts as failing.
func writeDisk(w io.Writer, state tierv1.DiskState) {
	const name, help = "saffronyard_disk_state", "Whether the disk of this process is in the state: 1 for one of them."
	full, stuck := state == tierv1.DiskState_DISK_FULL, state == tierv1.DiskState_DISK_STUCK
	sound := state == tierv1.DiskState_DISK_SOUND
	gauges(w, name, help, "state", sample{"sound", flag(sound)}, sample{"full", flag(full)},
		sample{"failing", flag(!sound && !full && !stuck)}, sample{"stuck", flag(stuck)})
}
