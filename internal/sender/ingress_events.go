package sender

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/cloudevents"
	"saffronyard.example/saffronyard/internal/identity"
	"saffronyard.example/saffronyard/internal/mapping"
)

// eventsPath is where events are submitted.
const eventsPath = "/events"

// Events is how CloudEvents are accepted.
type Events struct {
	Rules          mapping.Rules
	MaxBatchEvents int           // events in a batch, at most
	MaxBatchBytes  int           // bytes of a batch, at most
	Retention      time.Duration // how long the outcome of an event is remembered
	MaxRemembered  int           // outcomes and pending events together, at most
}

// eventIngress accepts CloudEvents in all three content modes of the HTTP binding (CloudEvents HTTP Protocol Binding 1.0.2,
// 3).
type eventIngress struct {
	config *Config
	clock  clock
	events *Events
}

// maxBody is the larger of the limits of a batch and of a single event.
func (f *eventIngress) maxBody() int64 { return int64(max(f.events.MaxBatchBytes, maxBodyBytes)) }

// readHead reads the content mode, and in binary mode the event except for its data.
func (f *eventIngress) readHead(r *http.Request) (ingressRequest, error) {
	if !r.ProtoAtLeast(1, 1) {
		return nil, &requestError{http.StatusHTTPVersionNotSupported, "events are handed in with HTTP/1.1"}
	}
	if r.Header.Get("Content-Length") == "" {
		return nil, &requestError{http.StatusLengthRequired, "Content-Length is missing"}
	}
	mode, err := cloudevents.ModeOf(r.Header)
	if err != nil {
		return nil, eventError(err)
	}
	if mode != cloudevents.BatchedMode && r.ContentLength > maxBodyBytes {
		return nil, &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the event is over %d bytes", maxBodyBytes)}
	}
	// The attributes of a binary event are in the head: an invalid event is answered before its body is read.
	var event *cloudevents.Event
	if mode == cloudevents.BinaryMode {
		if event, err = cloudevents.BinaryHead(r.Header); err != nil {
			return nil, eventError(err)
		}
	}
	id, err := headerName(r, "X-Request-Id")
	if err != nil {
		return nil, err
	}
	if mode == cloudevents.BatchedMode && len(id) > maxNameBytes-batchIDSuffixBytes {
		return nil, badRequest("X-Request-Id is longer than %d bytes, and a batch's messages get theirs from it", maxNameBytes-batchIDSuffixBytes)
	}
	return &eventRequest{ingress: f, mode: mode, event: event, id: id}, nil
}

// eventError is the answer to a request without a valid event.
func eventError(err error) error {
	var f *cloudevents.Fault
	if !errors.As(err, &f) {
		return badRequest("%v", err)
	}
	switch f.Kind {
	case cloudevents.Media, cloudevents.NotAnEvent:
		return &requestError{http.StatusUnsupportedMediaType, f.Text}
	case cloudevents.TooMany, cloudevents.TooLarge:
		return &requestError{http.StatusRequestEntityTooLarge, f.Text}
	default: // the other kinds are invalid content
		return &requestError{http.StatusBadRequest, f.Text}
	}
}

// eventRequest is one request with events.
type eventRequest struct {
	ingress *eventIngress
	mode    cloudevents.Mode
	event   *cloudevents.Event // in binary mode: the event except for its data
	id      string             // of the message, given by the client; "" if the sender generates it
	results []eventResult      // in the order of the batch
}

// submissions decodes the event, or the events of a batch.
func (h *eventRequest) submissions(body []byte, arrived time.Duration) ([]submission, error) {
	e := h.event
	var err error
	switch h.mode {
	case cloudevents.BinaryMode:
		e.SetBody(body)
	case cloudevents.StructuredMode:
		e, err = cloudevents.ReadStructured(body)
	default:
		return h.batchSubmissions(body, arrived)
	}
	if err != nil {
		return nil, eventError(err)
	}
	sub, err := h.ingress.submission(e, arrived, h.id)
	if err != nil {
		return nil, err
	}
	return []submission{sub}, nil
}

// unprocessable is the answer to a valid event that does not fit the rules or the settings.
func unprocessable(format string, args ...any) error {
	return &requestError{http.StatusUnprocessableEntity, fmt.Sprintf(format, args...)}
}

// submission makes an event a message, under an id given by its client or else a generated one. Its errors are answers.
func (f *eventIngress) submission(e *cloudevents.Event, arrived time.Duration, id string) (submission, error) {
	t, rule, err := f.events.Rules.Find(e)
	if err != nil {
		return submission{}, unprocessable("%v", err)
	}
	ruleName := func() string { return f.events.Rules.Name(rule) }
	sub := submission{answer: make(chan response, 1)}
	sub.Class, sub.Tenant, sub.Dest, sub.Key = t.Class, t.Tenant, t.Destination, t.Key
	if sub.class = indexOf(f.config.Classes, t.Class, -1); sub.class < 0 {
		return submission{}, unprocessable("%s: class %q is not among the settings", ruleName(), t.Class)
	}
	if sub.tenant = indexOf(f.config.Tenants, t.Tenant, -1); sub.tenant < 0 && len(f.config.Tenants) > 0 {
		return submission{}, unprocessable("%s: tenant %q is not among the settings", ruleName(), t.Tenant)
	}
	class := f.config.Settings.Classes[sub.class]
	deadline, err := eventDeadline(e, t.Deadline, class.Deadline, arrived, ruleName)
	if err != nil {
		return submission{}, err
	}
	if err := checkEventKeys(t, class, ruleName); err != nil {
		return submission{}, err
	}
	key := identity.KeyOf(e.Get("source"), e.Get("id"))
	if sub.OrderKey = t.Order; sub.Key == "" && class.Idempotency == brain.IdempotentByKey {
		sub.Key = hex.EncodeToString(key[:])
	}
	sub.Identity = &eventIdentity{key, eventDigest(e, t)}
	// Each submission has an id of its own, as in the platform's protocol: an event that was handed back and is submitted again is a
	// new message.
	if sub.ID = id; id == "" {
		sub.ID = "ce-" + hex.EncodeToString(key[:8]) + "-" + strconv.FormatInt(int64(arrived), 36)
	}
	sub.Deadline = arrived + deadline
	sub.Body, sub.Event = e.Data, e
	e.Data = nil // the record's Body has the data
	return sub, nil
}

// eventDeadline is how long after its arrival an event's message may be delivered: the rule's deadline, else the class's, but not
// beyond the event's own expirytime. It is 0 for an event that has expired, which the module fails at once.
func eventDeadline(e *cloudevents.Event, byRule, byClass, arrived time.Duration, ruleName func() string) (time.Duration, error) {
	deadline := byRule
	if deadline <= 0 {
		deadline = byClass
	}
	if deadline <= 0 || deadline > maxDeadline {
		return 0, unprocessable("%s: the deadline %v is not from 1ms to %v", ruleName(), deadline, maxDeadline)
	}
	if text := e.Get("expirytime"); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return 0, unprocessable("extension expirytime: %q is no time by RFC 3339", text)
		}
		deadline = min(deadline, max(0, time.Duration(at.UnixNano())-arrived))
	}
	return deadline, nil
}

// checkEventKeys checks that the idempotency key and the ordering key that a rule gives an event are valid and fit its class.
func checkEventKeys(t mapping.Target, class brain.Class, ruleName func() string) error {
	for _, key := range [...]struct{ name, value string }{{"key", t.Key}, {"order", t.Order}} {
		if len(key.value) > maxNameBytes {
			return unprocessable("%s: %s is longer than %d bytes", ruleName(), key.name, maxNameBytes)
		}
		for _, c := range []byte(key.value) {
			if c < 0x20 || c > 0x7e {
				return unprocessable("%s: %s %q is not plain ASCII", ruleName(), key.name, key.value)
			}
		}
	}
	switch {
	case t.Order != "" && !class.Ordered:
		return unprocessable("%s: order %q is asked for, and class %s keeps none", ruleName(), t.Order, t.Class)
	case t.Key != "" && class.Idempotency == brain.NonIdempotent:
		return unprocessable("%s: key %q is given, and class %s may not be repeated", ruleName(), t.Key, t.Class)
	}
	return nil
}

// eventDigest is a digest of an event's content and of the target that the rules give it.
func eventDigest(e *cloudevents.Event, t mapping.Target) identity.Digest {
	content := e.Content(make([]byte, 0, 256+len(e.Data)))
	content = strconv.AppendUint(append(content, 0), uint64(t.Destination), 10)
	for _, v := range [...]string{t.Class, t.Tenant, t.Key, t.Order} { // each after its length, so that different fields never give the same bytes
		content = append(strconv.AppendInt(append(content, ' '), int64(len(v)), 10), ':')
		content = append(content, v...)
	}
	return identity.DigestOf(content)
}

// response is the answer to the event, or for a batch a JSON array with a result for each event.
func (h *eventRequest) response(all []response) response {
	if h.mode != cloudevents.BatchedMode {
		return all[0]
	}
	next := 0
	for i := range h.results {
		if h.results[i].submitted {
			a := all[next]
			next++
			h.results[i].Status, h.results[i].Text, h.results[i].MessageID = a.status, a.text, a.messageID
			if a.status == http.StatusServiceUnavailable {
				if a.retryAfter <= 0 {
					a.retryAfter = defaultRetryAfter
				}
				h.results[i].RetryAfterMS = a.retryAfter.Milliseconds()
			}
		}
	}
	combined := response{status: batchStatus(h.results), contentType: "application/json"}
	for _, e := range h.results {
		combined.retryAfter = max(combined.retryAfter, time.Duration(e.RetryAfterMS)*time.Millisecond)
	}
	if h.results == nil {
		h.results = []eventResult{} // an empty batch is answered with an empty array
	}
	text, err := json.Marshal(h.results)
	if err != nil {
		return response{status: http.StatusInternalServerError, text: err.Error()}
	}
	combined.text = string(text)
	return combined
}

// eventIdentity is the key of an event and the digest of its content. In the journal it is hexadecimal digits.
type eventIdentity struct {
	key    identity.Key
	digest identity.Digest
}

// append appends the identity in hexadecimal digits.
func (i *eventIdentity) append(b []byte) []byte {
	b = hex.AppendEncode(b, i.key[:])
	return hex.AppendEncode(b, i.digest[:])
}

// MarshalText encodes the identity as append does.
func (i *eventIdentity) MarshalText() ([]byte, error) { return i.append(nil), nil }

// UnmarshalText decodes the output of MarshalText.
func (i *eventIdentity) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(i.key)+len(i.digest) {
		return &identityError{string(text)}
	}
	copy(i.key[:], raw)
	copy(i.digest[:], raw[len(i.key):])
	return nil
}
