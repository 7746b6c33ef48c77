// Package metrics writes the metrics of a role in the text format of Prometheus. A role collects its figures for each request;
// nothing is registered, counted or stored in between, so that the package has no state and is safe for concurrent use.
// docs/operate/metrics.md lists all metrics; names, labels and help texts are an interface to the operators.
package metrics

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Path is where each role serves its metrics, by GET.
const Path = "/metrics"

// ContentType is the media type of the text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Figures are the figures of a role at one moment: a Gateway, a ControlPlane or a TurnStore.
type Figures interface {
	write(w io.Writer)
}

// Text returns figures in the text format.
func Text(figures Figures) []byte {
	var text bytes.Buffer
	figures.write(&text)
	return text.Bytes()
}

// Handler answers each request with the figures that collect returns for it. Requests may be concurrent.
func Handler(collect func() Figures) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text := Text(collect())
		w.Header().Set("Content-Type", ContentType)
		_, _ = w.Write(text) // a client that has closed its connection needs no answer
	})
}

// metricType is the type of a metric in the text format.
type metricType string

const (
	gaugeType     metricType = "gauge"
	counterType   metricType = "counter"
	histogramType metricType = "histogram"
)

// sample is the value of a metric for one value of its label.
type sample struct {
	label string
	value float64
}

// gauge writes a metric without labels.
func gauge(w io.Writer, name, help string, value float64) {
	writeType(w, name, help, gaugeType)
	writeSample(w, name, value)
}

// gauges writes a metric with a value for each value of a label.
func gauges(w io.Writer, name, help, label string, samples ...sample) {
	writeType(w, name, help, gaugeType)
	for _, sample := range samples {
		writeSample(w, fmt.Sprintf("%s{%s=%q}", name, label, sample.label), sample.value)
	}
}

// writeType writes the help and the type of a metric. The library writes the type only, and only by a global switch.
func writeType(w io.Writer, name, help string, kind metricType) {
	_, _ = fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, kind)
}

// writeSample writes one value, under its name with its labels.
func writeSample(w io.Writer, name string, value float64) { metrics.WriteGaugeFloat64(w, name, value) }

// boolValue returns 1 for true, else 0.
func boolValue(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// seconds returns a duration in seconds; a time in the past is negative.
func seconds(duration time.Duration) float64 { return duration.Seconds() }

// writeDisk writes 1 for the state of the disk, and 0 for the others. An unknown state counts as failing.
func writeDisk(w io.Writer, state tierv1.DiskState) {
	const name, help = "saffronyard_disk_state", "Whether the disk of this process is in the state: 1 for one of them."
	isFull, isStuck := state == tierv1.DiskState_DISK_FULL, state == tierv1.DiskState_DISK_STUCK
	isSound := state == tierv1.DiskState_DISK_SOUND
	gauges(w, name, help, "state", sample{"sound", boolValue(isSound)}, sample{"full", boolValue(isFull)},
		sample{"failing", boolValue(!isSound && !isFull && !isStuck)}, sample{"stuck", boolValue(isStuck)})
}
