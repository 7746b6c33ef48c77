package metrics

import (
	"fmt"
	"io"
	"strconv"
	"time"
)

// Gateway is the set of figures of a gateway.
type Gateway struct {
	Ready            bool          // it accepts new clients
	Revision         int64         // of the configuration in force there; 0: none yet
	InFlight         int64         // requests of clients under way
	SessionRemaining time.Duration // until the session expires unless the control plane answers
	Totals           GatewayTotals
}

func (figures Gateway) write(w io.Writer) {
	gauge(w, "saffronyard_gateway_ready", "Whether this gateway calls itself ready.", boolValue(figures.Ready))
	gauge(w, "saffronyard_configuration_revision", "Revision of the operator's configuration in force.", float64(figures.Revision))
	gauge(w, "saffronyard_gateway_calls", "Requests of clients under way.", float64(figures.InFlight))
	writeSession(w, figures.SessionRemaining)
	figures.Totals.write(w)
}

// GatewayTotals are the counters of a gateway since its process started. Kinds and outcomes that never occurred are left out.
type GatewayTotals struct {
	Requests   []RequestTotal
	Attempts   []AttemptTotal
	Resumed    uint64    // runs that continued a stream where another run had ended
	FirstEvent Histogram // from a send to the first event of a streamed answer
}

// RequestTotal is the number of requests of one kind whose answers ended with one outcome.
type RequestTotal struct {
	Kind, Outcome string
	Count         uint64
}

// AttemptTotal is the number of sends to endpoints that ended with one outcome.
type AttemptTotal struct {
	Outcome string
	Count   uint64
}

// Histogram counts durations up to each of its bounds.
type Histogram struct {
	Bounds []time.Duration // in increasing order
	Counts []uint64        // one more than bounds: the last count is that of durations above the last bound
	Sum    time.Duration
}

func (totals GatewayTotals) write(w io.Writer) {
	writeType(w, "saffronyard_gateway_requests_total", "Requests of clients by kind and by how the answer ended.", counterType)
	for _, total := range totals.Requests {
		writeSample(w, fmt.Sprintf("saffronyard_gateway_requests_total{kind=%q,outcome=%q}", total.Kind, total.Outcome), float64(total.Count))
	}
	writeType(w, "saffronyard_gateway_runs_total", "Sends to endpoints by how they ended.", counterType)
	for _, total := range totals.Attempts {
		writeSample(w, fmt.Sprintf("saffronyard_gateway_runs_total{end=%q}", total.Outcome), float64(total.Count))
	}
	writeType(w, "saffronyard_gateway_resumed_total", "Runs of a stream that went on where another one had ended.", counterType)
	writeSample(w, "saffronyard_gateway_resumed_total", float64(totals.Resumed))
	totals.FirstEvent.write(w, "saffronyard_gateway_first_event_seconds", "From a send to the first event of a streamed answer.")
}

// write writes the histogram. Its bucket counts are cumulative.
func (histogram Histogram) write(w io.Writer, name, help string) {
	writeType(w, name, help, histogramType)
	var count uint64
	for i, bound := range histogram.Bounds {
		count += histogram.Counts[i]
		writeSample(w, fmt.Sprintf("%s_bucket{le=%q}", name, strconv.FormatFloat(bound.Seconds(), 'g', -1, 64)), float64(count))
	}
	if len(histogram.Counts) > len(histogram.Bounds) {
		count += histogram.Counts[len(histogram.Bounds)]
	}
	writeSample(w, name+`_bucket{le="+Inf"}`, float64(count))
	writeSample(w, name+"_sum", histogram.Sum.Seconds())
	writeSample(w, name+"_count", float64(count))
}
