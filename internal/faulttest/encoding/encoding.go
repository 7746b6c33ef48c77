// Package encoding implements CloudEvents for the simulated clients and receivers: how clients write a message as an event, and how
// receivers read the events in a call. It shares no code with the sender, so that a fault of the sender's encoding is not hidden by
// the same fault in the decoding.
package encoding

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Format is the format in which a message is written.
type Format string

// The formats: the platform's own, and the content modes of the CloudEvents HTTP binding. Mixed alternates between all of them.
const (
	Plain      Format = "plain"
	Binary     Format = "binary"
	Structured Format = "structured"
	Batched    Format = "batched"
	Mixed      Format = "mixed"
)

// Known reports whether a script may use the format. Mixed is valid for clients only.
func (f Format) Known(client bool) bool {
	switch f {
	case Plain, Binary, Structured, Batched:
		return true
	case Mixed:
		return client
	default:
		return false
	}
}

// Of returns the format of the n-th message.
func (f Format) Of(n int) Format {
	if f == Mixed {
		return []Format{Plain, Binary, Structured, Batched}[n%4]
	}
	return f
}

// Message is a message that a client hands in.
type Message struct {
	ID                        string // of the event
	Request                   string // ID of this request, and of the message if it is new; "" means ID
	Class, Member, Key, Order string
	Dest                      int
	Expires                   time.Time
	Body                      []byte // text
}

// Path is the URL path at which events are handed in.
const Path = "/events"

// The attributes that the simulated clients set. The rules in a sender's features file refer to them.
const (
	Source     = "/rehearsal/clients"
	typePrefix = "rehearsal."
)

// Rules returns the text of a features file with which a sender accepts events as Request writes them. It has a rule for each class,
// with the key and the order key that the class needs.
func Rules(classes []Class) string {
	var b strings.Builder
	b.WriteString("[events]\nremember = \"1m\"\nremember_most = 10000\n")
	for _, c := range classes {
		fmt.Fprintf(&b, "[[events.rule]]\nname = %q\ntype = %q\nsource = %q\nsubject = \"dest/{dest}\"\nclass = %q\ntenant = \"{ext.member}\"\ndestination = \"{dest}\"\ndeadline = %q\n",
			c.Name, typePrefix+c.Name, Source, c.Name, c.Deadline)
		if c.Keyed {
			b.WriteString("key = \"{ext.idkey}\"\n")
		}
		if c.Ordered {
			b.WriteString("order = \"{ext.orderkey}\"\n")
		}
	}
	return b.String()
}

// Class has the properties of a message class that Rules needs.
type Class struct {
	Name           string
	Keyed, Ordered bool
	Deadline       time.Duration
}

// Delivery returns the text of a features file with which a sender writes its calls to each kind of receiver in the given format.
// Plain needs no text.
func Delivery(kinds map[string]Format) string {
	var b strings.Builder
	for _, f := range []Format{Binary, Structured, Batched} {
		var names []string
		for name, is := range kinds {
			if is == f {
				names = append(names, strconv.Quote(name))
			}
		}
		if names == nil {
			continue
		}
		if b.Len() == 0 {
			b.WriteString("[delivery]\nsource = \"/rehearsal/sender\"\n")
		}
		fmt.Fprintf(&b, "[[delivery.to]]\nkinds = [%s]\nform = %q\n", strings.Join(names, ", "), f)
	}
	return b.String()
}

// checksum returns a hash of the attributes and data of an event, which must reach the receiver unchanged.
func checksum(id, source, kind, subject, member, key, order string, body []byte) string {
	h := fnv.New64a()
	for _, s := range []string{id, source, kind, subject, member, key, order, string(body)} {
		fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Request returns the HTTP request that hands a message in.
func (f Format) Request(m Message) []byte {
	kind, subject := typePrefix+m.Class, "dest/"+strconv.Itoa(m.Dest)
	attributes := [][2]string{{"specversion", "1.0"}, {"id", m.ID}, {"source", Source}, {"type", kind}, {"subject", subject}, {"member", m.Member},
		{"expirytime", m.Expires.UTC().Format(time.RFC3339Nano)}, {"sum", checksum(m.ID, Source, kind, subject, m.Member, m.Key, m.Order, m.Body)}}
	if m.Key != "" {
		attributes = append(attributes, [2]string{"idkey", m.Key})
	}
	if m.Order != "" {
		attributes = append(attributes, [2]string{"orderkey", m.Order})
	}
	var head, body bytes.Buffer
	id, media := m.Request, "application/cloudevents+json; charset=utf-8"
	if id == "" {
		id = m.ID
	}
	switch f {
	case Binary:
		media = "text/plain"
		for _, a := range attributes {
			fmt.Fprintf(&head, "ce-%s: %s\r\n", a[0], strings.ReplaceAll(url.PathEscape(a[1]), "%2F", "/"))
		}
		body.Write(m.Body)
	default:
		object := map[string]string{"datacontenttype": "text/plain", "data": string(m.Body)}
		for _, a := range attributes {
			object[a[0]] = a[1]
		}
		raw, err := json.Marshal(object)
		if err != nil {
			panic(err) // a map of strings can always be marshalled
		}
		body.Write(raw)
	}
	if f == Batched { // the ID of a message in a batch is the ID of the request and the message's index
		media = "application/cloudevents-batch+json"
		id = strings.TrimSuffix(id, BatchTail)
		raw := "[" + body.String() + "]"
		body.Reset()
		body.WriteString(raw)
	}
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nContent-Type: %s\r\n%sContent-Length: %d\r\n\r\n", Path, id, media, head.String(), body.Len())
	return append([]byte(text), body.Bytes()...)
}

// BatchTail is the suffix of the ID of a message that is handed in as the only one of a batch.
const BatchTail = "-0"

// Read returns the IDs of the messages in a call that must have the given format. An error means that the sender corrupted an event
// or used another format.
func (f Format) Read(h http.Header, body []byte) ([]string, error) {
	if f == Plain || f == "" {
		id := h.Get("X-Request-Id")
		if h.Get("Ce-Id") == "" {
			return []string{id}, nil
		}
		// An event for a plain receiver: the call has the platform's ID and, in addition, the complete event.
		if err := binary(h, body).check(); err != nil {
			return nil, err
		}
		return []string{id}, nil
	}
	media := ""
	if text := h.Get("Content-Type"); text != "" { // binary data needs no content type
		var err error
		if media, _, err = mime.ParseMediaType(text); err != nil {
			return nil, fmt.Errorf("%s: Content-Type %q: %w", f, text, err)
		}
	}
	var events []event
	var err error
	switch {
	case f == Binary && !strings.HasPrefix(media, "application/cloudevents"):
		events = []event{binary(h, body)}
	case f == Structured && media == "application/cloudevents+json":
		events = []event{{}}
		err = json.Unmarshal(body, &events[0].members)
	case f == Batched && media == "application/cloudevents-batch+json":
		var all []map[string]any
		err = json.Unmarshal(body, &all)
		for _, m := range all {
			events = append(events, event{m})
		}
	default:
		return nil, invalidEvent("a call of %q is not %s", media, f)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f, err)
	}
	var ids []string
	for _, e := range events {
		if err := e.check(); err != nil {
			return nil, err
		}
		ids = append(ids, e.get("id"))
	}
	if len(ids) == 0 {
		return nil, invalidEvent("%s: no event in the call", f)
	}
	return ids, nil
}

// event has the attributes and data of an event, as in its JSON format.
type event struct{ members map[string]any }

func (e event) get(name string) string {
	s, _ := e.members[name].(string)
	return s
}

// binary reads an event from headers and body.
func binary(h http.Header, body []byte) event {
	e := event{map[string]any{"data": string(body)}}
	for name, values := range h {
		if rest, ok := strings.CutPrefix(name, "Ce-"); ok && len(values) == 1 {
			v, err := url.PathUnescape(values[0])
			if err != nil {
				v = ""
			}
			e.members[strings.ToLower(rest)] = v
		}
	}
	return e
}

// check returns an error if an event is invalid or if it differs from what a simulated client sent as an event.
func (e event) check() error {
	for _, name := range []string{"id", "source", "type"} {
		if e.get(name) == "" {
			return invalidEvent("an event without %s", name)
		}
	}
	if v := e.get("specversion"); v != "1.0" {
		return invalidEvent("event %s has the specversion %q", e.get("id"), v)
	}
	if e.get("source") != Source {
		return nil // the sender made this event from a plain message
	}
	want := checksum(e.get("id"), Source, e.get("type"), e.get("subject"), e.get("member"), e.get("idkey"), e.get("orderkey"), []byte(e.get("data")))
	if got := e.get("sum"); got != want {
		return invalidEvent("event %s is not what its client sent: sum %s, not %s", e.get("id"), got, want)
	}
	return nil
}

// InvalidEventError reports a call of a sender without a valid event.
type InvalidEventError struct{ Problem string }

// Error implements error.
func (e *InvalidEventError) Error() string { return e.Problem }

// invalidEvent makes an InvalidEventError from a format and its arguments.
func invalidEvent(format string, args ...any) error {
	return &InvalidEventError{Problem: fmt.Sprintf(format, args...)}
}
