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
	Rules        mapping.Rules
	BatchEvents  int           // events in a batch, at most
	BatchBytes   int           // bytes of a batch, at most
	Remember     time.Duration // the end of an event is remembered so long
	RememberMost int           // ends and held events together, at most
}

// CheckRules finds a rule that names a class or tenant which the settings lack. Names that are filled in are looked up
// with each event.
func (c *Config) CheckRules() error {
	if c.Events == nil {
		return nil
	}
	known := func(list []string, name string) bool {
		return name == "" || len(list) == 0 || place(list, name, -1) >= 0 || containsBrace(name)
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

// eventsFront takes in CloudEvents in all three content modes of the HTTP binding.
type eventsFront struct {
	c     *Config
	clock clock
	e     *Events
}

func (f *eventsFront) most() int64 { return int64(max(f.e.BatchBytes, maxBody)) }

func (f *eventsFront) begin(r *http.Request) (handIn, error) {
	if !r.ProtoAtLeast(1, 1) {
		return nil, &refusal{http.StatusHTTPVersionNotSupported, "events are handed in with HTTP/1.1"}
	}
	if r.Header.Get("Content-Length") == "" {
		return nil, &refusal{http.StatusLengthRequired, "Content-Length is missing"}
	}
	mode, err := cloudevents.ModeOf(r.Header)
	if err != nil {
		return nil, faulty(err)
	}
	if mode != cloudevents.BatchedMode && r.ContentLength > maxBody {
		return nil, &refusal{http.StatusRequestEntityTooLarge, fmt.Sprintf("the event is over %d bytes", maxBody)}
	}
	// What a binary event's head says is known before its body: one that can't be right is answered without it.
	var event *cloudevents.Event
	if mode == cloudevents.BinaryMode {
		if event, err = cloudevents.BinaryHead(r.Header); err != nil {
			return nil, faulty(err)
		}
	}
	id, err := name(r, "X-Request-Id")
	if err != nil {
		return nil, err
	}
	if mode == cloudevents.BatchedMode && len(id) > maxName-idTail {
		return nil, bad("X-Request-Id is longer than %d bytes, and a batch's messages get theirs from it", maxName-idTail)
	}
	return &eventsHandIn{f: f, mode: mode, event: event, id: id}, nil
}

// idTail is the bytes that the place in a batch may add to an id.
const idTail = 8

// faulty is the answer to a request that holds no sound event.
func faulty(err error) error {
	var f *cloudevents.Fault
	if !errors.As(err, &f) {
		return bad("%v", err)
	}
	status := http.StatusBadRequest
	switch f.Kind {
	case cloudevents.Media, cloudevents.NotAnEvent:
		status = http.StatusUnsupportedMediaType
	case cloudevents.TooMany, cloudevents.TooLarge:
		status = http.StatusRequestEntityTooLarge
	}
	return &refusal{status, f.Text}
}

// eventsHandIn is one request with events.
type eventsHandIn struct {
	f      *eventsFront
	mode   cloudevents.Mode
	event  *cloudevents.Event // in binary mode: all but its data
	id     string             // that the client gives its message; "" for one of ours
	events []eventAnswer      // in the order of the batch
}

// eventAnswer is what became of an event of a batch.
type eventAnswer struct {
	Source string `json:"source,omitempty"`
	ID     string `json:"id,omitempty"`
	As     string `json:"message,omitempty"` // id of the message: notices to the platform go by it
	Status int    `json:"status"`
	Text   string `json:"text,omitempty"`
	Retry  int64  `json:"retry_after_ms,omitempty"`

	handed bool
}

func (h *eventsHandIn) take(body []byte, arrived time.Duration) ([]submission, error) {
	e := h.event
	var err error
	switch h.mode {
	case cloudevents.BinaryMode:
		e.SetBody(body)
	case cloudevents.StructuredMode:
		e, err = cloudevents.ReadStructured(body)
	default:
		return h.takeBatch(body, arrived)
	}
	if err != nil {
		return nil, faulty(err)
	}
	sub, err := h.f.submission(e, arrived, h.id)
	if err != nil {
		return nil, err
	}
	return []submission{sub}, nil
}

func (h *eventsHandIn) takeBatch(body []byte, arrived time.Duration) ([]submission, error) {
	items, err := cloudevents.ReadBatch(body, h.f.e.BatchEvents, maxBody)
	if err != nil {
		return nil, faulty(err)
	}
	var subs []submission
	for n, it := range items {
		var a eventAnswer
		err := it.Err
		if err != nil {
			err = faulty(err)
		} else {
			a.Source, a.ID = it.Event.Get("source"), it.Event.Get("id")
			var sub submission
			id := ""
			if h.id != "" {
				id = h.id + "-" + strconv.Itoa(n)
			}
			if sub, err = h.f.submission(it.Event, arrived, id); err == nil {
				subs = append(subs, sub)
				a.handed = true
			}
		}
		var r *refusal
		if errors.As(err, &r) {
			a.Status, a.Text = r.status, r.text
		}
		h.events = append(h.events, a)
	}
	return subs, nil
}

// submission makes an event a message, under an id that its client gave or, without one, one of ours.
func (f *eventsFront) submission(e *cloudevents.Event, arrived time.Duration, id string) (submission, error) {
	unfit := func(format string, args ...any) (submission, error) {
		return submission{}, &refusal{http.StatusUnprocessableEntity, fmt.Sprintf(format, args...)}
	}
	t, rule, err := f.e.Rules.Find(e)
	if err != nil {
		return unfit("%v", err)
	}
	name := func() string { return f.e.Rules.Name(rule) }
	sub := submission{answer: make(chan answerLine, 1)}
	sub.Class, sub.Tenant, sub.Dest, sub.Key = t.Class, t.Tenant, t.Destination, t.Key
	if sub.class = place(f.c.Classes, t.Class, -1); sub.class < 0 {
		return unfit("%s: class %q is not among the settings", name(), t.Class)
	}
	if sub.tenant = place(f.c.Tenants, t.Tenant, -1); sub.tenant < 0 && len(f.c.Tenants) > 0 {
		return unfit("%s: tenant %q is not among the settings", name(), t.Tenant)
	}
	class := f.c.Settings.Classes[sub.class]
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
		if len(f.v) > maxName {
			return unfit("%s: %s is longer than %d bytes", name(), f.name, maxName)
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
	if sub.Order = t.Order; sub.Key == "" && class.Idempotency == brain.IdempotentByKey {
		sub.Key = hex.EncodeToString(key[:])
	}
	content := e.Content(make([]byte, 0, 256+len(e.Data)))
	content = strconv.AppendUint(append(content, 0), uint64(t.Destination), 10)
	for _, v := range [...]string{t.Class, t.Tenant, t.Key, t.Order} { // each with its length, or two of them could be a third
		content = append(strconv.AppendInt(append(content, ' '), int64(len(v)), 10), ':')
		content = append(content, v...)
	}
	sub.Ident = &ident{key, identity.DigestOf(content)}
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

func (h *eventsHandIn) answer(all []answerLine) answerLine {
	if h.mode != cloudevents.BatchedMode {
		return all[0]
	}
	next := 0
	for i := range h.events {
		if h.events[i].handed {
			a := all[next]
			next++
			h.events[i].Status, h.events[i].Text, h.events[i].As = a.status, a.text, a.id
			if a.status == http.StatusServiceUnavailable {
				if a.retry <= 0 {
					a.retry = refusedRetry
				}
				h.events[i].Retry = a.retry.Milliseconds()
			}
		}
	}
	whole := answerLine{status: batchStatus(h.events), kind: "application/json"}
	for _, e := range h.events {
		whole.retry = max(whole.retry, time.Duration(e.Retry)*time.Millisecond)
	}
	if h.events == nil {
		h.events = []eventAnswer{} // an empty batch has an empty answer
	}
	text, err := json.Marshal(h.events)
	if err != nil {
		return answerLine{status: http.StatusInternalServerError, text: err.Error()}
	}
	whole.text = string(text)
	return whole
}

// batchStatus is the status of a batch from those of its events, for a client that looks at nothing else. If one may
// come again the batch may: those that were taken on are known by their identity and get the same answer. Else, if
// one failed, the batch says that: no failed event passes for one that is taken on. Only if all are taken on does it.
func batchStatus(events []eventAnswer) int {
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
