package calls

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/cloudevents"
)

// Delivery is in which form messages go out. A nil one, and a destination that it does not name, has the platform's.
type Delivery struct {
	Source  string   // of events made of plain messages
	Type    string   // of those; {class} stands for the message's class
	Targets []Target // the first that names a destination, or its kind, is its form
}

// Target is the form for some destinations.
type Target struct {
	Destinations []uint32 // both empty: all
	Kinds        []string
	Form         string // "binary", "structured", "batched" or "plain"
	Path         string // of the request; "" for the platform's
	BatchEvents  int    // batched: events in one call, at most
	BatchBytes   int    // and bytes of one call, at most, but for a single event
	Validate     bool   // ask an endpoint before the first call whether it wants any (web hooks, section 4)
	Origin       string // WebHook-Request-Origin
	Rate         int    // WebHook-Request-Rate, requests a minute; 0: none is asked for
}

// The forms that messages go out in.
const (
	Plain      = "plain"
	Binary     = "binary"
	Structured = "structured"
	Batched    = "batched"
)

const hookPath = "/hook"

// requestFormat is how calls to an endpoint are written and their answers read.
type requestFormat struct {
	Target
	path     string
	plain    bool
	delivery *Delivery
}

var platformFormat = &requestFormat{path: hookPath, plain: true}

// requestFormats works out the form of each endpoint, once for each To.
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
			path = hookPath
		}
		f.all = append(f.all, &requestFormat{Target: to, path: path, plain: to.Form == Plain, delivery: d})
	}
	return f
}

// find is the form for a destination and its kind.
func (f *requestFormats) find(dest uint32, kind string) *requestFormat {
	for _, one := range f.all {
		if one.matches(dest, kind) {
			return one
		}
	}
	return platformFormat
}

func (t *Target) matches(dest uint32, kind string) bool {
	for _, d := range t.Destinations {
		if d == dest {
			return true
		}
	}
	for _, k := range t.Kinds {
		if k == kind {
			return true
		}
	}
	return len(t.Destinations) == 0 && len(t.Kinds) == 0
}

// cloudEvent is a message as an event. What came in as one leaves as it came, with each attribute and extension; one that
// came plain gets stated ones, the same on every attempt.
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
		e.Form, e.Data = cloudevents.Bytes, m.Body
	}
	return e
}

// appendRequest renders a call in the form that its endpoint has.
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
	default: // an event for a plain destination, too: the body is the same, and nothing of it is lost
		b = f.cloudEvent(m).AppendHeaders(b)
		body = m.Body
	}
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// isDelivered is whether a status says that a call was delivered: for web hooks (section 2.1) 200, 201, 202 and 204.
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

// applyWebHookStatus translates what a web hook says beyond the platform's words.
func (f *requestFormat) applyWebHookStatus(resp *http.Response, end *brain.AttemptResult, now time.Time) (gone bool) {
	if f.plain {
		return false
	}
	switch {
	case f.isDelivered(resp.StatusCode):
		end.Outcome, end.Final = brain.Served, true
	case resp.StatusCode == http.StatusGone: // the endpoint wants no more; the message may go elsewhere
		end.Outcome, end.Final = brain.NotSent, false
		return true
	case end.Outcome == brain.Rejected && end.RetryAfter == 0:
		end.RetryAfter = retryAfter(resp.Header.Get("Retry-After"), now)
	}
	return false
}

// maxRetryAfter is the longest wait that a web hook may ask for; what is beyond counts as not told.
const maxRetryAfter = 24 * time.Hour

// retryAfter reads Retry-After (RFC 9110, section 10.2.3): seconds, or a date.
func retryAfter(text string, now time.Time) time.Duration {
	var d time.Duration
	if s, err := strconv.ParseFloat(text, 64); err == nil {
		if !(s > 0 && s <= maxRetryAfter.Seconds()) {
			return 0
		}
		d = time.Duration(math.Ceil(s*1000)) * time.Millisecond
	} else if at, err := http.ParseTime(text); err == nil {
		d = at.Sub(now)
	}
	if d <= 0 || d > maxRetryAfter {
		return 0
	}
	return d
}

// errOriginNotAllowed is that an endpoint does not want calls from us.
var errOriginNotAllowed = errors.New("the endpoint did not allow our origin")

const validationTimeout = 2 * time.Second // an endpoint answers whether it wants calls within this

// validate asks an endpoint, before its first call, whether it wants calls from our origin and how many (web hooks,
// section 4). One call at a time asks; the others wait for what it hears. An error is that none may be made: nothing
// of the message has been written.
func (p *Pool) validate(ctx context.Context, e *Endpoint, f *requestFormat, until time.Time) error {
	if !f.Validate {
		return nil
	}
	select {
	case e.validating <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-e.validating }()
	e.mu.Lock()
	addr, done := e.addr, e.validatedAddr == e.addr && e.addr != ""
	e.mu.Unlock()
	if done {
		return nil
	}
	c, err := p.acquire(ctx, e, until)
	if err != nil {
		return err
	}
	keep := false
	defer func() {
		if keep {
			p.release(e, c)
		} else {
			c.Close()
		}
	}()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	b := append(append(append(make([]byte, 0, 256), "OPTIONS "...), f.path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, c.addr...), "\r\nUser-Agent: saffronyard\r\nWebHook-Request-Origin: "...)
	b = append(append(b, f.Origin...), "\r\n"...)
	if f.Rate > 0 {
		b = append(strconv.AppendInt(append(b, "WebHook-Request-Rate: "...), int64(f.Rate), 10), "\r\n"...)
	}
	b = append(b, "Content-Length: 0\r\n\r\n"...)
	c.SetDeadline(time.Now().Add(min(validationTimeout, time.Until(until))))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if _, err := c.Write(b); err != nil {
		return fmt.Errorf("validation: %w", err)
	}
	c.Remaining = maxAnswer
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodOptions})
	if err != nil {
		return fmt.Errorf("validation: %w", err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBody+1))
	if err != nil || n > maxAnswerBody {
		return fmt.Errorf("validation: %w", errMalformedAnswer)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%w: %s", errOriginNotAllowed, resp.Status)
	}
	origins := resp.Header.Values("WebHook-Allowed-Origin")
	if len(origins) != 1 || origins[0] != "*" && !strings.EqualFold(origins[0], f.Origin) {
		return fmt.Errorf("%w: it allows %q", errOriginNotAllowed, origins)
	}
	rate := 0.0
	if text := resp.Header.Get("WebHook-Allowed-Rate"); text != "" && text != "*" {
		// Requests a minute (section 4.2.2). What can't be a rate counts as not told.
		if v, err := strconv.ParseUint(text, 10, 31); err == nil && v > 0 {
			rate = float64(v) / 60
		}
	}
	if !stop() {
		return ctx.Err()
	}
	c.SetDeadline(time.Time{})
	keep = !resp.Close && c.r.Buffered() == 0
	e.mu.Lock()
	if e.addr == addr {
		e.validatedAddr, e.allowedRate = addr, rate
	}
	e.mu.Unlock()
	return nil
}
