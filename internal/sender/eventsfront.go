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

// eventsPath is where events are handed in.
const eventsPath = "/events"

// Events is how events are taken in.
type Events struct {
	Rules          mapping.Rules
	MaxBatchEvents int           // events in a batch, at most
	MaxBatchBytes  int           // bytes of a batch, at most
	Retention      time.Duration // the end of an event is remembered so long
	MaxRemembered  int           // ends and held events together, at most
}

// CheckRules finds a rule that names a class or tenant which the settings lack. Names that are filled in are looked up
// with each event.
func (c *Config) CheckRules() error {
	if c.Events == nil {
		return nil
	}
	known := func(list []string, name string) bool {
		return name == "" || len(list) == 0 || indexOf(list, name, -1) >= 0 || containsBrace(name)
	}
	r := &c.Events.Rules
	for i, rule := range r.List {
		if !known(c.Classes, rule.Class) || !known(c.Tenants, rule.Tenant) {
			return fmt.Errorf("events: %s: class %q or tenant %q is not among the settings", r.Name(i), rule.Class, rule.Tenant)
		}
	}
	if f := r.Fallback; f != nil && (!known(c.Classes, f.Class) || !known(c.Tenants, f.Tenant)) {
		return fmt.Errorf("events: default: class %q or tenant %q is not among the settings", f.Class, f.Tenant)
	}
	return nil
}

func containsBrace(s string) bool {
	for i := range len(s) {
		if s[i] == '{' {
			return true
		}
	}
	return false
}

// eventIngress takes in CloudEvents in all three content modes of the HTTP binding.
type eventIngress struct {
	config *Config
	clock  clock
	events *Events
}

func (f *eventIngress) maxBody() int64 { return int64(max(f.events.MaxBatchBytes, maxBodyBytes)) }

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
	// What a binary event's head says is known before its body: one that can't be right is answered without it.
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

// batchIDSuffixBytes is the bytes that the place in a batch may add to an id.
const batchIDSuffixBytes = 8

// eventError is the answer to a request that holds no sound event.
func eventError(err error) error {
	var f *cloudevents.Fault
	if !errors.As(err, &f) {
		return badRequest("%v", err)
	}
	status := http.StatusBadRequest
	switch f.Kind {
	case cloudevents.Media, cloudevents.NotAnEvent:
		status = http.StatusUnsupportedMediaType
	case cloudevents.TooMany, cloudevents.TooLarge:
		status = http.StatusRequestEntityTooLarge
	}
	return &requestError{status, f.Text}
}

// eventRequest is one request with events.
type eventRequest struct {
	ingress *eventIngress
	mode    cloudevents.Mode
	event   *cloudevents.Event // in binary mode: all but its data
	id      string             // that the client gives its message; "" for one of ours
	results []eventResult      // in the order of the batch
}

// eventResult is what became of an event of a batch.
type eventResult struct {
	Source       string `json:"source,omitempty"`
	ID           string `json:"id,omitempty"`
	MessageID    string `json:"message,omitempty"` // id of the message: notices to the platform go by it
	Status       int    `json:"status"`
	Text         string `json:"text,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`

	submitted bool
}

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

func (h *eventRequest) batchSubmissions(body []byte, arrived time.Duration) ([]submission, error) {
	items, err := cloudevents.ReadBatch(body, h.ingress.events.MaxBatchEvents, maxBodyBytes)
	if err != nil {
		return nil, eventError(err)
	}
	var subs []submission
	for n, it := range items {
		var a eventResult
		err := it.Err
		if err != nil {
			err = eventError(err)
		} else {
			a.Source, a.ID = it.Event.Get("source"), it.Event.Get("id")
			var sub submission
			id := ""
			if h.id != "" {
				id = h.id + "-" + strconv.Itoa(n)
			}
			if sub, err = h.ingress.submission(it.Event, arrived, id); err == nil {
				subs = append(subs, sub)
				a.submitted = true
			}
		}
		var r *requestError
		if errors.As(err, &r) {
			a.Status, a.Text = r.status, r.text
		}
		h.results = append(h.results, a)
	}
	return subs, nil
}

// submission makes an event a message, under an id that its client gave or, without one, one of ours.
func (f *eventIngress) submission(e *cloudevents.Event, arrived time.Duration, id string) (submission, error) {
	unfit := func(format string, args ...any) (submission, error) {
		return submission{}, &requestError{http.StatusUnprocessableEntity, fmt.Sprintf(format, args...)}
	}
	t, rule, err := f.events.Rules.Find(e)
	if err != nil {
		return unfit("%v", err)
	}
	name := func() string { return f.events.Rules.Name(rule) }
	sub := submission{answer: make(chan response, 1)}
	sub.Class, sub.Tenant, sub.Dest, sub.Key = t.Class, t.Tenant, t.Destination, t.Key
	if sub.class = indexOf(f.config.Classes, t.Class, -1); sub.class < 0 {
		return unfit("%s: class %q is not among the settings", name(), t.Class)
	}
	if sub.tenant = indexOf(f.config.Tenants, t.Tenant, -1); sub.tenant < 0 && len(f.config.Tenants) > 0 {
		return unfit("%s: tenant %q is not among the settings", name(), t.Tenant)
	}
	class := f.config.Settings.Classes[sub.class]
	if t.Deadline <= 0 {
		t.Deadline = class.Deadline
	}
	if t.Deadline <= 0 || t.Deadline > maxDeadline {
		return unfit("%s: the deadline %v is not from 1ms to %v", name(), t.Deadline, maxDeadline)
	}
	// Of what the event itself says of its end, nothing is left once that is over: the module fails it at once.
	if text := e.Get("expirytime"); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return unfit("extension expirytime: %q is no time by RFC 3339", text)
		}
		t.Deadline = min(t.Deadline, max(0, time.Duration(at.UnixNano())-arrived))
	}
	for _, f := range [...]struct{ name, v string }{{"key", t.Key}, {"order", t.Order}} {
		if len(f.v) > maxNameBytes {
			return unfit("%s: %s is longer than %d bytes", name(), f.name, maxNameBytes)
		}
		for _, c := range []byte(f.v) {
			if c < 0x20 || c > 0x7e {
				return unfit("%s: %s %q is not plain ASCII", name(), f.name, f.v)
			}
		}
	}
	switch {
	case t.Order != "" && !class.Ordered:
		return unfit("%s: order %q is asked for, and class %s keeps none", name(), t.Order, t.Class)
	case t.Key != "" && class.Idempotency == brain.NonIdempotent:
		return unfit("%s: key %q is given, and class %s may not be repeated", name(), t.Key, t.Class)
	}
	key := identity.KeyOf(e.Get("source"), e.Get("id"))
	if sub.OrderKey = t.Order; sub.Key == "" && class.Idempotency == brain.IdempotentByKey {
		sub.Key = hex.EncodeToString(key[:])
	}
	content := e.Content(make([]byte, 0, 256+len(e.Data)))
	content = strconv.AppendUint(append(content, 0), uint64(t.Destination), 10)
	for _, v := range [...]string{t.Class, t.Tenant, t.Key, t.Order} { // each with its length, or two of them could be a third
		content = append(strconv.AppendInt(append(content, ' '), int64(len(v)), 10), ':')
		content = append(content, v...)
	}
	sub.Identity = &eventIdentity{key, identity.DigestOf(content)}
	// Each hand-in has an id of its own, as each of the platform's protocol has: one that was handed back and comes
	// again is a new message.
	if sub.ID = id; id == "" {
		sub.ID = "ce-" + hex.EncodeToString(key[:8]) + "-" + strconv.FormatInt(int64(arrived), 36)
	}
	sub.Deadline = arrived + t.Deadline
	sub.Body, sub.Event = e.Data, e
	e.Data = nil // the record's body has it
	return sub, nil
}

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
	whole := response{status: batchStatus(h.results), contentType: "application/json"}
	for _, e := range h.results {
		whole.retryAfter = max(whole.retryAfter, time.Duration(e.RetryAfterMS)*time.Millisecond)
	}
	if h.results == nil {
		h.results = []eventResult{} // an empty batch has an empty answer
	}
	text, err := json.Marshal(h.results)
	if err != nil {
		return response{status: http.StatusInternalServerError, text: err.Error()}
	}
	whole.text = string(text)
	return whole
}

// batchStatus is the status of a batch from those of its events, for a client that looks at nothing else. If one may
// come again the batch may: those that were taken on are known by their identity and get the same answer. Else, if
// one failed, the batch says that: no failed event passes for one that is taken on. Only if all are taken on does it.
func batchStatus(events []eventResult) int {
	status := http.StatusOK
	for _, e := range events {
		switch {
		case e.Status == http.StatusServiceUnavailable:
			return e.Status
		case e.Status >= 300:
			status = max(status, e.Status)
		case status < 300:
			status = max(status, e.Status)
		}
	}
	return status
}
