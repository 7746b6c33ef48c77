package metrics

import (
	"io"
	"time"
)

// Gateway is the figures of a gateway.
type Gateway struct {
	Ready    bool          // new clients may come
	Revision int64         // of the configuration in force there; 0: none has come
	Calls    int64         // requests of clients under way
	Session  time.Duration // how much longer the session stands without an answer of the control plane
}

func (g Gateway) write(w io.Writer) {
	gauge(w, "saffronyard_gateway_ready", "Whether this gateway calls itself ready.", flag(g.Ready))
	gauge(w, "saffronyard_configuration_revision", "Revision of the operator's configuration in force.", float64(g.Revision))
	gauge(w, "saffronyard_gateway_calls", "Requests of clients under way.", float64(g.Calls))
	writeSession(w, g.Session)
}
