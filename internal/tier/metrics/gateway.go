package metrics

import (
	"io"
	"time"
)

// Gateway is the set of figures of a gateway.
type Gateway struct {
	Ready    bool          // it accepts new clients
	Revision int64         // of the configuration in force there; 0: none yet
	Calls    int64         // requests of clients under way
	Session  time.Duration // until the session lapses without an answer of the control plane
}

func (figures Gateway) write(w io.Writer) {
	gauge(w, "saffronyard_gateway_ready", "Whether this gateway calls itself ready.", zeroOrOne(figures.Ready))
	gauge(w, "saffronyard_configuration_revision", "Revision of the operator's configuration in force.", float64(figures.Revision))
	gauge(w, "saffronyard_gateway_calls", "Requests of clients under way.", float64(figures.Calls))
	writeSession(w, figures.Session)
}
