package calls

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/cloudevents"
)

// Delivery configures the formats in which messages are sent. With a nil Delivery, and for a destination
// that no target matches, the platform's format is used.
type Delivery struct {
	Source  string   // source attribute of events made of plain messages
	Type    string   // their type attribute; {class} stands for the class of the message
	Targets []Target // the first one that matches applies
}

// Target is the format for some destinations.
type Target struct {
	Destinations []uint32 // with no Destinations and no Kinds it matches all
	Kinds        []string
	Form         string // Binary, Structured, Batched or Plain
	Path         string // of the request; "" for the platform's
	BatchEvents  int    // Batched: most events in one call
	BatchBytes   int    // Batched: most bytes in one call; a single event may exceed it
	Validate     bool   // ask an endpoint for permission before the first call (CloudEvents web hooks, section 4)
	Origin       string // WebHook-Request-Origin
	Rate         int    // WebHook-Request-Rate in requests a minute; 0 omits the header
}

// Forms of messages: the platform's own, and the CloudEvents content modes.
const (
	Plain      = "plain"
	Binary     = "binary"
	Structured = "structured"
	Batched    = "batched"
)

// platformPath is the path of requests for targets without one.
const platformPath = "/hook"

// requestFormat defines how calls to an endpoint are written and their answers interpreted.
type requestFormat struct {
	Target
	path     string
	plain    bool
	delivery *Delivery
}

// platformFormat is the platform's own format.
var platformFormat = &requestFormat{path: platformPath, plain: true}

// requestFormats holds one format for each target of a Delivery.
type requestFormats struct {
	delivery *Delivery
	all      []*requestFormat
}

func newRequestFormats(d *Delivery) requestFormats {
	f := requestFormats{delivery: d}
	if d == nil {
		return f
	}
	for _, to := range d.Targets {
		path := to.Path
		if path == "" {
			path = platformPath
		}
		f.all = append(f.all, &requestFormat{Target: to, path: path, plain: to.Form == Plain, delivery: d})
	}
	return f
}

// find returns the format for a destination and its kind.
func (f *requestFormats) find(destination uint32, kind string) *requestFormat {
	for _, format := range f.all {
		if format.matches(destination, kind) {
			return format
		}
	}
	return platformFormat
}

// matches reports whether a target applies to a destination of a kind.
func (t *Target) matches(destination uint32, kind string) bool {
	if len(t.Destinations) == 0 && len(t.Kinds) == 0 {
		return true
	}
	return slices.Contains(t.Destinations, destination) || slices.Contains(t.Kinds, kind)
}

// cloudEvent returns a message as an event. A message that was submitted as an event keeps all attributes and extensions. A plain
// message gets the configured attributes, the same ones on every attempt.
func (f *requestFormat) cloudEvent(m *Message) *cloudevents.Event {
	if m.Event != nil {
		e := *m.Event
		e.Data = m.Body
		return &e
	}
	e := &cloudevents.Event{Attributes: make([]cloudevents.Attribute, 0, 5)}
	e.Set("id", m.ID)
	e.Set("source", f.delivery.Source)
	e.Set("specversion", "1.0")
	if m.Tenant != "" {
		e.Set("tenant", m.Tenant)
	}
	e.Set("type", strings.ReplaceAll(f.delivery.Type, "{class}", m.Class))
	if len(m.Body) > 0 {
		e.DataFormat, e.Data = cloudevents.Bytes, m.Body
	}
	return e
}

// appendRequest appends the request of a call.
func (f *requestFormat) appendRequest(b []byte, ms []Message, addr string, timeout time.Duration) []byte {
	m := &ms[0]
	if f.plain && m.Event == nil {
		return appendPlatformRequest(b, m, addr, timeout)
	}
	b = append(append(append(b, "POST "...), f.path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, addr...), "\r\nUser-Agent: saffronyard\r\n"...)
	if f.Form != Batched {
		b = append(append(append(b, "X-Request-Id: "...), m.ID...), "\r\n"...)
		if m.Key != "" {
			b = append(append(append(b, "Idempotency-Key: "...), m.Key...), "\r\n"...)
		}
	}
	b = append(strconv.AppendInt(append(b, "X-Deadline-Ms: "...), max(1, timeout.Milliseconds()), 10), "\r\n"...)
	if f.Validate {
		b = append(append(append(b, "Origin: "...), f.Origin...), "\r\n"...)
	}
	var body []byte
	switch f.Form {
	case Structured:
		b = append(append(append(b, "Content-Type: "...), cloudevents.ContentType(cloudevents.StructuredMode)...), "\r\n"...)
		body = f.cloudEvent(m).AppendJSON(make([]byte, 0, 512+len(m.Body)*4/3))
	case Batched:
		b = append(append(append(b, "Content-Type: "...), cloudevents.ContentType(cloudevents.BatchedMode)...), "\r\n"...)
		events := make([]*cloudevents.Event, len(ms))
		for i := range ms {
			events[i] = f.cloudEvent(&ms[i])
		}
		body = cloudevents.AppendBatch(nil, events)
	default: // also an event for a plain destination: binary mode has the same body and keeps the attributes
		b = f.cloudEvent(m).AppendHeaders(b)
		body = m.Body
	}
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// appendPlatformRequest appends the request of a call with one message in the platform's format. ID and Key need no escaping: each
// was read from one header line and is plain ASCII.
func appendPlatformRequest(b []byte, m *Message, addr string, timeout time.Duration) []byte {
	b = append(append(b, "POST /hook HTTP/1.1\r\nHost: "...), addr...)
	b = append(append(b, "\r\nUser-Agent: saffronyard\r\nX-Request-Id: "...), m.ID...)
	if m.Key != "" {
		b = append(append(b, "\r\nIdempotency-Key: "...), m.Key...)
	}
	b = strconv.AppendInt(append(b, "\r\nX-Deadline-Ms: "...), max(1, timeout.Milliseconds()), 10)
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(m.Body)), 10)
	return append(append(b, "\r\n\r\n"...), m.Body...)
}

// isDelivered reports whether a status says that a call was delivered: 200, or for web hooks (section 2.1) 200, 201, 202
// and 204.
func (f *requestFormat) isDelivered(status int) bool {
	if f.plain {
		return status == http.StatusOK
	}
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusAccepted, http.StatusNoContent:
		return true
	}
	return false
}
